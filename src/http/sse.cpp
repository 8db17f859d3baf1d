#include "http/sse.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "core/string_memory.h"

namespace flintglade::http {
namespace {

bool is_event_line(std::string_view line) {
  static constexpr std::array<std::string_view, 5> kFieldNames = {"data", ":", "event", "id", "retry"};
  return std::any_of(kFieldNames.begin(), kFieldNames.end(), [line](std::string_view field) {
    return line.substr(0, field.size()) == field &&
           (field == ":" || line.size() == field.size() || line[field.size()] == ':');
  });
}

}  // namespace

// An event ends with an empty line; lines may end in LF or CRLF. Stops before the first event that contains
// an invalid line.
std::size_t EventStream::scan() {
  std::size_t event_end = 0;
  for (std::size_t end; (end = partial_.find('\n', scanned_)) != std::string::npos;) {
    std::string_view line = std::string_view(partial_).substr(line_start_, end - line_start_);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty() ? event_lines_ == 0 : !is_event_line(line)) {
      malformed_ = true;
      break;
    }
    event_lines_ = line.empty() ? 0 : event_lines_ + 1;
    line_start_ = scanned_ = end + 1;
    if (line.empty()) event_end = end + 1;
  }
  scanned_ = partial_.size();
  return event_end;
}

std::string EventStream::feed(std::string_view bytes) {
  if (malformed_) return {};
  partial_.append(bytes);
  const std::size_t event_end = scan();
  std::string events = std::move(partial_);
  partial_ = events.substr(event_end);  // in memory of its own size
  events.resize(event_end);
  line_start_ -= event_end;
  scanned_ -= event_end;
  read_cached_tokens(events);
  return events;
}

std::string EventStream::finish() {
  if (!partial_.empty() && !is_event_line(partial_.substr(0, partial_.find_first_of("\r\n"))))
    malformed_ = true;
  if (malformed_) return {};
  read_cached_tokens(partial_);
  line_start_ = scanned_ = event_lines_ = 0;
  return std::exchange(partial_, {});
}

void EventStream::clear() {
  core::free_memory(partial_);
  line_start_ = scanned_ = event_lines_ = 0;
  malformed_ = false;
  cached_tokens_ = 0;
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
