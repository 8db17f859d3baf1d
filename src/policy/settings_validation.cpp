#include "policy/settings_validation.h"

#include <algorithm>

#include "policy/statistics.h"

namespace flintglade::policy {
namespace {

constexpr double kLongestAim = 3600.0, kMostAimPer1000 = 60.0;  // seconds
constexpr int kMostSlots = 65536;

void bound(ClassSettings& c) {
  c.hard_limit = sane(c.hard_limit, 0.01, kLongestAim);
  c.latency_objective = sane(c.latency_objective, 0.001, c.hard_limit);
  c.priority_weight = sane(c.priority_weight, 0.0, 1e9);
  c.late_value = sane(c.late_value, 0.0, 1.0);
  c.latency_objective_per_1000_tokens = sane(c.latency_objective_per_1000_tokens, 0.0, kMostAimPer1000);
}

}  // namespace

Settings within_bounds(Settings settings) {
  if (settings.classes.empty()) settings.classes.emplace_back();
  for (ClassSettings& c : settings.classes) bound(c);
  settings.balancers = std::max(settings.balancers, 1);
  settings.zones = std::max(settings.zones, 1);
  settings.max_attempts = std::max(settings.max_attempts, 1);
  settings.slots = std::clamp(settings.slots, 0, kMostSlots);
  settings.cold_from = sane(settings.cold_from, 0.01, 1.0);
  settings.cold_s = sane(settings.cold_s, 0.0, 3600.0);
  settings.dial_timeout = sane(settings.dial_timeout, 0.0, 60.0);
  settings.fall_multiple = sane(settings.fall_multiple, 0.1, 100.0);
  settings.fall_s = sane(settings.fall_s, 0.01, 600.0);
  return settings;
}

}  // namespace flintglade::policy
