#include "policy/settings_validation.h"

#include <algorithm>

#include "policy/statistics.h"

namespace flintglade::policy {
namespace {

// Seconds. The maximum exceeds any client's timeout, and keeps times well below the magnitude at which a
// double can no longer represent microseconds.
constexpr double kMinHardLimitS = 0.01, kMaxHardLimitS = 3600.0, kMinObjectiveS = 0.001;
constexpr double kMaxObjectivePer1000TokensS = 60.0;
constexpr double kMaxPriorityWeight = 1e9;
constexpr double kMinColdFrom = 0.01;  // a replica that gets no requests would never warm up
constexpr double kMaxColdS = 3600.0, kMaxDialTimeoutS = 60.0;
constexpr double kMinFallMultiple = 0.1, kMaxFallMultiple = 100.0;
constexpr double kMinFallS = 0.01, kMaxFallS = 600.0;
constexpr int kMaxSlots = 65536;  // limits the cost of rebuilding the slot table with each list

void clamp_class_settings(ClassSettings& settings) {
  settings.hard_limit = clamp_finite(settings.hard_limit, kMinHardLimitS, kMaxHardLimitS);
  settings.latency_objective = clamp_finite(settings.latency_objective, kMinObjectiveS, settings.hard_limit);
  settings.priority_weight = clamp_finite(settings.priority_weight, 0.0, kMaxPriorityWeight);
  settings.late_value = clamp_finite(settings.late_value, 0.0, 1.0);
  settings.latency_objective_per_1000_tokens =
      clamp_finite(settings.latency_objective_per_1000_tokens, 0.0, kMaxObjectivePer1000TokensS);
}

}  // namespace

Settings clamped_settings(Settings settings) {
  if (settings.classes.empty()) settings.classes.emplace_back();
  for (ClassSettings& request_class : settings.classes) clamp_class_settings(request_class);
  settings.balancers = std::max(settings.balancers, 1);
  settings.zones = std::max(settings.zones, 1);
  settings.max_attempts = std::max(settings.max_attempts, 1);
  settings.slots = std::clamp(settings.slots, 0, kMaxSlots);
  settings.cold_from = clamp_finite(settings.cold_from, kMinColdFrom, 1.0);
  settings.cold_s = clamp_finite(settings.cold_s, 0.0, kMaxColdS);
  settings.dial_timeout = clamp_finite(settings.dial_timeout, 0.0, kMaxDialTimeoutS);
  settings.fall_multiple = clamp_finite(settings.fall_multiple, kMinFallMultiple, kMaxFallMultiple);
  settings.fall_s = clamp_finite(settings.fall_s, kMinFallS, kMaxFallS);
  return settings;
}

}  // namespace flintglade::policy
