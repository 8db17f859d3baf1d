#include "http/sse.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace flintglade::http {
namespace {

// The end of the last whole event: just behind an empty line, whichever of LF and CRLF ends the lines.
std::size_t last_border(std::string_view text) {
  std::size_t best = 0;
  for (const std::string_view mark : {std::string_view("\n\n"), std::string_view("\n\r\n")}) {
    const std::size_t at = text.rfind(mark);
    if (at != std::string_view::npos) best = std::max(best, at + mark.size());
  }
  return best;
}

}  // namespace

std::string EventStream::feed(std::string_view bytes) {
  partial_.append(bytes);
  const std::size_t border = last_border(partial_);
  std::string whole = partial_.substr(0, border);
  partial_.erase(0, border);
  read(whole);
  return whole;
}

std::string EventStream::rest() {
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
    const std::size_t at = text.find(field + "=");
    double value = 0.0;
    if (at != std::string_view::npos) {
      std::from_chars(text.data() + at + field.size() + 1, text.data() + text.size(), value);
    }
    report.push_back(static_cast<float>(value));
  }
  return report;
}

}  // namespace flintglade::http
