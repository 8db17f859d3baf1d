#include "policy/outlier_detection.h"

#include <algorithm>
#include <cmath>

#include "policy/replica_load.h"

namespace flintglade::policy {
namespace {

// A replica is an outlier below this part of the mean health; above it, picks are ordinary.
constexpr double kOutlierHealth = 0.7;
// A replica whose attempts stay for this multiple of the usual time declines keys.
constexpr double kSlowMultiple = 2.0;
// The weight of one result in a replica's health. A stream that breaks says more than one error.
constexpr double kFirstEventWeight = 0.35, kErrorWeight = 0.35, kTimeoutWeight = 0.5, kResetWeight = 0.8;
// A first event counts as wholly good up to half of the objective, as a failure from 1.25 of it on.
constexpr double kFailedLatency = 1.25, kLatencyRange = 0.75;
// One that rejected an attempt as full is passed over for so long: it may be draining.
constexpr double kFullBackoffS = 1.0;
// One that could not be reached is passed over for so long, twice that the next time, and so on.
constexpr double kFirstUnreachableBackoffS = 0.5;
constexpr int kMaxUnreachableBackoffDoublings = 3;
// So many connects in a row that fail in one zone count as the loss of the zone: else each replica there
// would cost a failure.
constexpr int kZoneLossConnectFailures = 2;
constexpr double kMaxWarningS = 10.0;
constexpr std::uint64_t kBackoffSalt = 23;

}  // namespace

void OutlierDetection::on_replica_started(int index, double now) {
  replicas_[index].health = 1.0;
  replicas_[index].health_updated_at = now;
  record_reached(index);
}

// quality: 1 = well within the objective, 0 = failed.
void OutlierDetection::record(int index, double quality, double weight, double now) {
  ReplicaState& state = replicas_[index];
  state.health = health(state, now);
  state.health += weight * (quality - state.health);
  state.health_updated_at = now;
}

void OutlierDetection::record_latency(const Request& request, const Attempt& attempt, double now) {
  const double ratio = (now - attempt.sent_at) / request.latency_objective;
  const double quality = std::clamp((kFailedLatency - ratio) / kLatencyRange, 0.0, 1.0);
  record(attempt.replica_index, quality, kFirstEventWeight, now);
}

void OutlierDetection::record_silence(int index, double now) { record(index, 0.0, kFirstEventWeight, now); }

void OutlierDetection::record_outcome(int index, Outcome outcome, double now) {
  switch (outcome) {
    case Outcome::error:
      return record(index, 0.0, kErrorWeight, now);
    case Outcome::reset:
      return record(index, 0.0, kResetWeight, now);
    case Outcome::timeout:
      return record(index, 0.0, kTimeoutWeight, now);
    case Outcome::connect_failed:  // it never ran: nothing is known of how it serves
      return record_connect_failure(index, now);
    case Outcome::full:  // no failure of the replica: it never ran it
      replicas_[index].rejecting_until = now + kFullBackoffS;
      return;
    case Outcome::ok:
    case Outcome::cancelled:
    case Outcome::inconclusive:
      return;  // recorded with the first event, or our own doing
  }
}

void OutlierDetection::record_connect_failure(int index, double now) {
  ReplicaState& state = replicas_[index];
  state.unreachable_until = backoff_until(++state.consecutive_connect_failures, now);
  ZoneState& zone = learned_.zones[state.replica.zone];
  if (++zone.consecutive_connect_failures >= kZoneLossConnectFailures)
    zone.unreachable_until = backoff_until(zone.consecutive_connect_failures, now);
}

// Jittered: routers that lost the same replica do not try it again in step.
double OutlierDetection::backoff_until(int consecutive_failures, double now) {
  const int doublings = std::min(consecutive_failures - 1, kMaxUnreachableBackoffDoublings);
  return now + kFirstUnreachableBackoffS * (1 << doublings) * (0.5 + random_.next(kBackoffSalt));
}

void OutlierDetection::record_reached(int index) {
  ReplicaState& state = replicas_[index];
  state.unreachable_until = 0.0;
  state.consecutive_connect_failures = 0;
  learned_.zones[state.replica.zone] = {};
}

void OutlierDetection::record_warning(int index, double duration_s, double now) {
  ReplicaState& state = replicas_[index];
  state.unreachable_until =
      std::max(state.unreachable_until, now + clamp_finite(duration_s, 0.0, kMaxWarningS));
}

double OutlierDetection::health(const ReplicaState& state, double now) const {
  return 1.0 - (1.0 - state.health) * std::exp((state.health_updated_at - now) / health_window_s_);
}

bool OutlierDetection::is_unreachable(const ReplicaState& state, double now) const {
  const auto zone = learned_.zones.find(state.replica.zone);
  return now < state.unreachable_until ||
         (zone != learned_.zones.end() && now < zone->second.unreachable_until);
}

double OutlierDetection::kept_share(const ReplicaState& state, double warm_share, double now) const {
  const double usual_time = learned_.time_in_system.mean(1.0, kPriorArrivalsOfKind);
  const double own_time = state.time_in_system.mean(usual_time, kPriorArrivalsOfReplica);
  return warm_share * std::min(1.0, health(state, now) / (kOutlierHealth * fleet_.mean_health)) *
         std::min(1.0, kSlowMultiple * usual_time / own_time);
}

}  // namespace flintglade::policy
