#include "http/sse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace flintglade::http {
namespace {

bool is_event_line(std::string_view line) {
  static constexpr std::array<std::string_view, 5> kFieldNames = {"data", ":", "event", "id", "retry"};
  return std::any_of(kFieldNames.begin(), kFieldNames.end(), [line](std::string_view field) {
    return line.substr(0, field.size()) == field &&
           (field == ":" || line.size() == field.size() || line[field.size()] == ':');
  });
}

// Returns the end offset of the last complete event, which is just after an empty line; lines may end in LF
// or CRLF. Stops before the first event that contains an invalid line.
std::size_t last_event_end(std::string_view text, bool& malformed) {
  std::size_t event_end = 0, event_lines = 0;
  for (std::size_t from = 0, end; (end = text.find('\n', from)) != std::string_view::npos; from = end + 1) {
    std::string_view line = text.substr(from, end - from);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty() ? event_lines == 0 : !is_event_line(line)) {
      malformed = true;
      break;
    }
    event_lines = line.empty() ? 0 : event_lines + 1;
    if (line.empty()) event_end = end + 1;
  }
  return event_end;
}

}  // namespace

std::string EventStream::feed(std::string_view bytes) {
  partial_.append(bytes);
  if (malformed_) return {};
  const std::size_t event_end = last_event_end(partial_, malformed_);
  std::string events = partial_.substr(0, event_end);
  partial_.erase(0, event_end);
  read_cached_tokens(events);
  return events;
}

std::string EventStream::finish() {
  if (!partial_.empty() && !is_event_line(partial_.substr(0, partial_.find_first_of("\r\n"))))
    malformed_ = true;
  if (malformed_) return {};
  read_cached_tokens(partial_);
  return std::exchange(partial_, {});
}

void EventStream::read_cached_tokens(std::string_view events) {
  static constexpr std::string_view kCached = "\"cached_tokens\":";
  const std::size_t found = events.rfind(kCached);
  if (found == std::string_view::npos) return;
  const char* from = events.data() + found + kCached.size();
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
    // A report without one of the fields is rejected: a 0 in its place would make the replica look idle.
    if (value < 0.0) return {};
    report.push_back(static_cast<float>(value));
  }
  return report;
}

}  // namespace flintglade::http
