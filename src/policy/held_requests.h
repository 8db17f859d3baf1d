// Held requests: how long a request waits for a replica that may take it, when none is ready or those left
// are in slow start with their budgets spent. Pure functions; times are seconds.
#pragma once

#include <algorithm>

#include "policy/request.h"

namespace flintglade::policy {

// Until when a request is held at the most. A client is never kept until near its deadline on the mere hope
// of a replica, nor for longer than its answer is worth something.
inline double held_until(const Request& request, const ClassSettings& request_class) {
  constexpr double kMaxPartOfDeadline = 0.5;
  const double patience = request.received.deadline - request.arrived_at;
  return std::min(worthless_after(request, request_class),
                  request.arrived_at + kMaxPartOfDeadline * patience);
}

// After how long a held request tries again.
inline double held_retry_delay(const Request& request, double until, double now) {
  constexpr double kMinDelayS = 0.005;
  constexpr double kTriesPerObjective = 10.0;
  return std::max(kMinDelayS, std::min(request.latency_objective / kTriesPerObjective, until - now));
}

}  // namespace flintglade::policy
