// Memory shared between a test and the injected library (faults.cpp), mapped by both from one file: which
// system calls fail next and how, and the offset of the wall clock. The test changes it while the program
// runs.
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
inline constexpr int kShort = -1;  // in place of an errno: the call transfers one byte only

struct Fault {
  std::atomic<std::int32_t> remaining;  // number of calls that are still to fail
  std::atomic<std::int32_t> error;      // errno, or kShort
  std::atomic<std::int32_t> port;       // restricts the fault to sockets with this peer port; 0: all
  std::atomic<std::int32_t> hits;       // calls that have failed so far
};

struct Control {
  std::atomic<std::int64_t> wall_offset_us;
  Fault faults[kCalls];
};

// The environment variable with the path of the mapped file.
inline constexpr char kControlVariable[] = "FLINTGLADE_TEST_FAULTS";

}  // namespace flintglade::tests
