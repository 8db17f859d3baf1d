// Server-sent events across the borders of chunks: hands on whole events, byte for byte, and reads from them
// what the module wants to know.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace flintglade::http {

class EventStream {
 public:
  // Takes bytes as they come; gives all events that are whole by now, unchanged.
  std::string feed(std::string_view bytes);
  // What is left at the end of a whole stream: an event without its empty line.
  std::string rest();
  // What came is no event stream: an event without end, or lines that no event has. The bytes of a chunk
  // whose size was wrong look so; nothing of them may be passed on. feed() gives what stood whole before
  // them.
  bool spoilt() const { return spoilt_ || partial_.size() > kLongestEvent; }
  std::uint32_t cached_tokens() const { return cached_tokens_; }
  // What has come of the next event; with cached_tokens(), all there is to go on with elsewhere.
  const std::string& partial() const { return partial_; }
  void go_on(std::string partial, std::uint32_t cached_tokens) {
    partial_ = std::move(partial);
    cached_tokens_ = cached_tokens;
  }

 private:
  static constexpr std::size_t kLongestEvent = 256u << 10;
  void read(std::string_view events);
  std::string partial_;
  bool spoilt_ = false;
  std::uint32_t cached_tokens_ = 0;
};

// A load report, `TEXT inflight=7, queue=2`: the values of the named fields in their order; empty
// unless all are there and can be read, so that the last good one stays in force.
std::vector<float> parse_report(std::string_view text, const std::vector<std::string>& fields);

}  // namespace flintglade::http
