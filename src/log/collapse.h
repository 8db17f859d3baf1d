// Limits how many events of one name are written per time window and counts the rest. No I/O; the caller
// passes the time.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::log {

class Collapse {
 public:
  struct Count {
    std::string name;
    std::uint64_t left_out;
  };
  Collapse(unsigned max_per_window, std::int64_t window_us)
      : max_per_window_(max_per_window), window_us_(window_us) {}

  // Whether to write an event of this name. The number of names is bounded: they are constants of the program
  // and never come from clients.
  bool take(std::string_view name, std::int64_t now_us) {
    Window& window = windows_.try_emplace(std::string(name)).first->second;
    if (now_us - window.started_us >= window_us_) {
      // The caller has called due() before, which returned the count of the last window.
      window.started_us = now_us;
      window.event_count = 0;
    }
    if (++window.event_count <= max_per_window_) return true;
    ++window.left_out;
    return false;
  }
  // Returns and resets the counts of windows that have ended by now; with the maximum time, all counts.
  std::vector<Count> due(std::int64_t now_us) {
    std::vector<Count> out;
    for (auto& [name, window] : windows_) {
      if (window.left_out == 0 || now_us - window.started_us < window_us_) continue;
      out.push_back({name, window.left_out});
      window.left_out = 0;
    }
    return out;
  }

 private:
  struct Window {
    std::int64_t started_us = INT64_MIN / 2;
    unsigned event_count = 0;
    std::uint64_t left_out = 0;
  };
  unsigned max_per_window_;
  std::int64_t window_us_;
  std::map<std::string, Window> windows_;
};

}  // namespace flintglade::log
