// Conversion between the core's microseconds and the decision module's seconds, which is done only here.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/time.h"

namespace flintglade::core {

// The maximum duration that the module can request, in seconds; longer ones are capped to it.
inline constexpr double kMaxModuleDurationSeconds = 4300.0;

inline double to_seconds(Micros time) { return static_cast<double>(time) / 1e6; }

// 0 for durations that are negative, infinite or NaN.
inline Micros to_micros(double seconds) {
  if (!std::isfinite(seconds) || seconds <= 0.0) return 0;
  return static_cast<Micros>(std::min(seconds, kMaxModuleDurationSeconds) * 1e6);
}

}  // namespace flintglade::core
