#include "http/recent_peak.h"

#include <algorithm>

namespace flintglade::http {

void RecentPeak::record(std::size_t value, core::Micros now) {
  const core::Micros age = now - period_start_;
  if (age >= period_) {
    previous_ = age < 2 * period_ ? current_ : 0;
    current_ = 0;
    period_start_ = now;
  }
  current_ = std::max(current_, value);
}

std::size_t RecentPeak::at(core::Micros now) const {
  const core::Micros age = now - period_start_;
  if (age >= 2 * period_) return 0;
  return age < period_ ? std::max(current_, previous_) : current_;
}

}  // namespace flintglade::http
