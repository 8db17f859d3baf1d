// Reassembles server-sent events that are split across chunks: passes on complete events byte for byte, and
// reads the values from them that the decision module uses.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flintglade::http {

class EventStream {
 public:
  // Appends received bytes; returns all events that are complete by now, unchanged.
  std::string feed(std::string_view bytes);
  // Returns what is left at the end of a complete stream: an event without its terminating empty line.
  std::string finish();
  // Whether the received bytes are not an event stream: an event that is too long, or lines that are not
  // fields of an event. The bytes of a chunk with a wrong size look like this, and none of them may be passed
  // on. feed() returns the complete events before them.
  bool malformed() const { return malformed_ || partial_.size() > kMaxEventSize; }
  std::uint32_t cached_tokens() const { return cached_tokens_; }
  // Forgets all that has been received.
  void clear();
  // The received part of the next event; with cached_tokens(), the whole state that restore() needs.
  const std::string& partial() const { return partial_; }
  void restore(std::string partial, std::uint32_t cached_tokens) {
    partial_ = std::move(partial);
    line_start_ = scanned_ = event_lines_ = 0;
    cached_tokens_ = cached_tokens;
  }

 private:
  static constexpr std::size_t kMaxEventSize = 256u << 10;
  // Scans the received bytes from where the last scan ended. Returns the end offset of the last complete
  // event, 0 if there is none.
  std::size_t scan();
  void read_cached_tokens(std::string_view events);
  std::string partial_;
  std::size_t line_start_ = 0,
              scanned_ = 0;      // of the first line without an end; no line ends before scanned_
  std::size_t event_lines_ = 0;  // complete lines of the next event
  bool malformed_ = false;
  std::uint32_t cached_tokens_ = 0;
};

// Parses a load report, `TEXT inflight=7, queue=2`: returns the values of `fields` in their order. Returns an
// empty vector if one is missing or unreadable, so that the last valid report stays in force.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields);

}  // namespace flintglade::http
