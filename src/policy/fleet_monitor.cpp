#include "policy/fleet_monitor.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

constexpr double kUpdateIntervalS = 0.1;
// The peak fleet size decays over this multiple of the load window: longer than a rollout takes.
constexpr double kPeakWindows = 10.0;
constexpr double kNever = -1e300;     // seconds; earlier than any time of a host
constexpr double kMaxElapsedS = 1e6;  // keeps the exponent finite after kNever

}  // namespace

FleetMonitor::FleetMonitor(const Settings& settings, ReplicaTable& replicas, LearnedState& learned,
                           ReplicaCapacity& capacity, ReplicaLoad& load, const OutlierDetection& outliers,
                           const SlowStart& slow_start, FleetSummary& fleet, double load_window_s)
    : settings_(settings),
      replicas_(replicas),
      learned_(learned),
      capacity_(capacity),
      load_(load),
      outliers_(outliers),
      slow_start_(slow_start),
      fleet_(fleet),
      peak_window_s_(kPeakWindows * load_window_s),
      updated_at_(kNever) {}

bool FleetMonitor::update_if_stale(double now) {
  if (!stale_ && now - updated_at_ < kUpdateIntervalS) return false;
  stale_ = false;
  capacity_.update_if_stale(now);
  const double elapsed = std::min(now - updated_at_, kMaxElapsedS);
  updated_at_ = now;
  load_.advance_fleet_to(now);
  fleet_ = summarize(now);
  // After a loss, or while a rollout has most replicas down, the arrival rate is still that of the larger
  // fleet. The usual load of one replica must not be derived from the few that remain.
  learned_.peak_fleet_size =
      std::max(fleet_.total_size, learned_.peak_fleet_size * std::exp(-elapsed / peak_window_s_));
  return true;
}

FleetSummary FleetMonitor::summarize(double now) {
  FleetSummary sums;
  double health_sum = 0.0;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    const int index = static_cast<int>(i);
    ReplicaState& state = replicas_[index];
    if (!state.ready()) continue;
    load_.advance_replica_to(state, now);
    const double size = capacity_.size(index);
    const double warm_size = size * slow_start_.warm_share(state, now);
    health_sum += outliers_.health(state, now);
    sums.ready += 1.0;
    sums.total_size += size;
    sums.warm_size += warm_size;
    const bool in_own_zone = static_cast<int>(state.replica.zone) == settings_.zone;
    if (in_own_zone && !outliers_.is_unreachable(state, now)) sums.own_zone_warm_size += warm_size;
  }
  sums.mean_health = sums.ready > 0.0 ? health_sum / sums.ready : 1.0;
  return sums;
}

}  // namespace flintglade::policy
