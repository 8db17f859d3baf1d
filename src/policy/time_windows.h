// The time constants of the decision module's decaying statistics, derived from the settings of the classes.
#pragma once

#include <algorithm>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

struct TimeWindows {
  double load_s = 1.0;                // of observed work, and of attempts' time in system
  double longest_hard_limit_s = 0.0;  // window of health: no client waits longer
};

inline TimeWindows time_windows(const Settings& settings) {
  // Long enough for a few dozen requests at each router.
  constexpr double kLoadWindowObjectives = 10.0;
  double objectives = 0.0;
  TimeWindows windows;
  for (const ClassSettings& request_class : settings.classes) {
    objectives += request_class.latency_objective;
    windows.longest_hard_limit_s = std::max(windows.longest_hard_limit_s, request_class.hard_limit);
  }
  const auto classes = static_cast<double>(settings.classes.size());
  windows.load_s = std::max(kLoadWindowObjectives * objectives / classes, 1.0);
  return windows;
}

}  // namespace flintglade::policy
