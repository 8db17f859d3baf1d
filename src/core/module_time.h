// The one place where the core's microseconds become the decision module's seconds, and back.
#pragma once

#include <algorithm>
#include <cmath>

#include "core/time.h"

namespace flintglade::core {

// The longest span that the module can ask for, in seconds; longer ones are cut to it.
inline constexpr double kMaxModuleSpanSeconds = 4300.0;

inline double to_seconds(Micros time) { return static_cast<double>(time) / 1e6; }

// 0 for spans that are negative or no finite number.
inline Micros to_micros(double seconds) {
  if (!std::isfinite(seconds) || seconds <= 0.0) return 0;
  return static_cast<Micros>(std::min(seconds, kMaxModuleSpanSeconds) * 1e6);
}

}  // namespace flintglade::core
