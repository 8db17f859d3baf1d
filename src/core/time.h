// Time in the core: whole microseconds on the monotonic clock of the machine, so that times are comparable
// between two processes of one router. Constants only; safe from any thread.
#pragma once

#include <cstdint>

namespace flintglade::core {

using Micros = std::int64_t;  // a point in time or a duration, in microseconds
inline constexpr Micros kSecond = 1'000'000;
inline constexpr Micros kMilli = 1'000;
inline constexpr Micros kNever = INT64_MAX;  // as a point in time: later than any other

// The maximum time for which the process may not be scheduled between reading its clock and writing to a
// socket, as guaranteed by its operators. Time limits on writes that have no margin of their own are reduced
// by it.
inline constexpr Micros kMaxSchedulingDelay = 150 * kMilli;

}  // namespace flintglade::core
