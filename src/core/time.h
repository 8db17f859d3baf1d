// Time as the core counts it: whole microseconds on the monotonic clock of the machine, so that a time is
// comparable between two processes of one router. Constants only; safe from any thread.
#pragma once

#include <cstdint>

namespace flintglade::core {

using Micros = std::int64_t;  // a point in time, or a span, in microseconds
inline constexpr Micros kSecond = 1'000'000;
inline constexpr Micros kMilli = 1'000;
inline constexpr Micros kNever = INT64_MAX;  // as a point in time: later than any other

// The longest time for which the process may be held up (not scheduled) between reading its clock and writing
// to a socket, which its operators promise. A bound on writes that has no slack of its own leaves room for
// it.
inline constexpr Micros kHoldUp = 150 * kMilli;

}  // namespace flintglade::core
