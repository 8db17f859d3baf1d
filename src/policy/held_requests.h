// Held requests: how long a request waits for an eligible replica when none is ready, or when the only ready
// ones are in slow start with exhausted budgets. Pure functions; times are seconds.
#pragma once

#include <algorithm>

#include "policy/request.h"

namespace flintglade::policy {

// The time until which a request may be held: half of the time to its deadline, so that its client is not
// kept waiting for a replica that may never come, and no longer than its answer has any value.
inline double held_until(const Request& request, const ClassSettings& request_class) {
  constexpr double kMaxHeldFraction = 0.5;
  const double time_to_deadline = request.received.deadline - request.arrived_at;
  return std::min(useful_until(request, request_class),
                  request.arrived_at + kMaxHeldFraction * time_to_deadline);
}

// Seconds after which a held request is tried again.
inline double held_retry_delay(const Request& request, double until, double now) {
  constexpr double kMinDelayS = 0.005;
  constexpr double kTriesPerObjective = 10.0;
  return std::max(kMinDelayS, std::min(request.latency_objective / kTriesPerObjective, until - now));
}

}  // namespace flintglade::policy
