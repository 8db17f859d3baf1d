// Port: the clock. Called on the core's thread only.
#pragma once

#include "core/time.h"

namespace flintglade::core {

class Clock {
 public:
  virtual ~Clock() = default;
  // The monotonic time; never less than the result of an earlier call.
  virtual Micros now() = 0;
};

}  // namespace flintglade::core
