#include "http/sse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace flintglade::http {
namespace {

bool is_line(std::string_view line) {
  static constexpr std::array<std::string_view, 5> kStarts = {"data", ":", "event", "id", "retry"};
  return std::any_of(kStarts.begin(), kStarts.end(), [line](std::string_view start) {
    return line.substr(0, start.size()) == start &&
           (start == ":" || line.size() == start.size() || line[start.size()] == ':');
  });
}

// The end of the last whole event: just behind an empty line, whichever of LF and CRLF ends the lines. Stops
// before the first event with a line that is none.
std::size_t last_border(std::string_view text, bool& spoilt) {
  std::size_t best = 0, lines = 0;
  for (std::size_t from = 0, end; (end = text.find('\n', from)) != std::string_view::npos; from = end + 1) {
    std::string_view line = text.substr(from, end - from);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty() ? lines == 0 : !is_line(line)) {
      spoilt = true;
      break;
    }
    lines = line.empty() ? 0 : lines + 1;
    if (line.empty()) best = end + 1;
  }
  return best;
}

}  // namespace

std::string EventStream::feed(std::string_view bytes) {
  partial_.append(bytes);
  if (spoilt_) return {};
  const std::size_t border = last_border(partial_, spoilt_);
  std::string whole = partial_.substr(0, border);
  partial_.erase(0, border);
  read(whole);
  return whole;
}

std::string EventStream::rest() {
  if (!partial_.empty() && !is_line(partial_.substr(0, partial_.find_first_of("\r\n")))) spoilt_ = true;
  if (spoilt_) return {};
  read(partial_);
  return std::exchange(partial_, {});
}

void EventStream::read(std::string_view events) {
  static constexpr std::string_view kCached = "\"cached_tokens\":";
  const std::size_t at = events.rfind(kCached);
  if (at == std::string_view::npos) return;
  const char* from = events.data() + at + kCached.size();
  const char* end = events.data() + events.size();
  while (from < end && *from == ' ') ++from;
  std::from_chars(from, end, cached_tokens_);
}

std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields) {
  std::vector<float> report;
  for (const std::string& field : fields) {
    double value = -1.0;
    for (std::size_t from = 0; from < text.size();) {
      const std::size_t end = std::min(text.find_first_of(", ;\r\n", from), text.size());
      const std::string_view pair = text.substr(from, end - from);
      from = end + 1;
      if (pair.substr(0, field.size()) != field || pair.substr(field.size(), 1) != "=") continue;
      const auto [at, code] =
          std::from_chars(pair.data() + field.size() + 1, pair.data() + pair.size(), value);
      if (code != std::errc() || at != pair.data() + pair.size() || !(value >= 0.0 && value <= 1e12))
        return {};
    }
    // A report with a field missing or unreadable is none: a 0 in its place would pass for an idle replica.
    if (value < 0.0) return {};
    report.push_back(static_cast<float>(value));
  }
  return report;
}

}  // namespace flintglade::http
