// What a test tells the injected library (faults.cpp) while the program runs, in a page that both have mapped
// from one file: which system calls fail next and how, and by how much the wall clock is off.
#pragma once

#include <atomic>
#include <cstdint>
#include <string_view>

namespace flintglade::tests {

enum class Call : std::uint8_t {
  accept,
  socket,
  connect,
  wait,
  receive,
  send,
  write,
  sync,
  rename,
  truncate
};
inline constexpr std::string_view kCallNames[] = {"accept", "socket", "connect", "wait",   "receive",
                                                  "send",   "write",  "sync",    "rename", "truncate"};
inline constexpr std::size_t kCalls = std::size(kCallNames);
inline constexpr int kShort = -1;  // in place of an errno: the call takes one byte only

struct Fault {
  std::atomic<std::int32_t> left;   // so many of the next calls fail
  std::atomic<std::int32_t> error;  // errno, or kShort
  std::atomic<std::int32_t> port;   // only sockets whose peer has this port; 0: all
  std::atomic<std::int32_t> hits;   // calls that have failed so far
};

struct Control {
  std::atomic<std::int64_t> wall_offset_us;
  Fault faults[kCalls];
};

// The variable that names the file.
inline constexpr char kControlVariable[] = "FLINTGLADE_TEST_FAULTS";

}  // namespace flintglade::tests
