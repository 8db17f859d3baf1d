// The monotonic clock of the commands that run an event loop.
#pragma once

#include <chrono>

#include "core/ports.h"

namespace flintglade::commands {

class MonotonicClock final : public core::Clock {
 public:
  core::Micros now() override {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
};

// Monotonic time minus Unix time, at present.
inline core::Micros unix_to_monotonic(core::Clock& clock) {
  const auto unix_now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return clock.now() - unix_now.count();
}

}  // namespace flintglade::commands
