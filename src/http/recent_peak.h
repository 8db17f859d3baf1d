// The highest value that was recorded recently: within the last one to two periods. Constant size, for any
// number of records. Pure; times in microseconds.
#pragma once

#include <cstddef>

#include "core/time.h"

namespace flintglade::http {

class RecentPeak {
 public:
  explicit RecentPeak(core::Micros period) : period_(period) {}
  void record(std::size_t value, core::Micros now);
  std::size_t at(core::Micros now) const;

 private:
  core::Micros period_;
  core::Micros period_start_ = 0;
  std::size_t current_ = 0, previous_ = 0;  // the highest of this period, and of the one before it
};

}  // namespace flintglade::http
