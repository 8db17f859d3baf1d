// The cookies of a Balancer's timers: the kind of timer in the upper bits, a number in the lower ones. The
// number is the request's id, or counts the timers of kind endpoint_list.
#pragma once

#include <cstdint>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

enum class TimerKind : std::uint64_t { deadline = 0, hedge = 1, held_request = 2, endpoint_list = 3 };

// The numbers are below 2^52.
inline constexpr int kTimerKindShift = 52;

inline std::uint64_t timer_cookie(TimerKind kind, std::uint64_t number) {
  return number | static_cast<std::uint64_t>(kind) << kTimerKindShift;
}
inline TimerKind timer_kind(std::uint64_t cookie) {
  return static_cast<TimerKind>(cookie >> kTimerKindShift);
}
inline std::uint64_t timer_number(std::uint64_t cookie) {
  return cookie & ((std::uint64_t{1} << kTimerKindShift) - 1);
}

}  // namespace flintglade::policy
