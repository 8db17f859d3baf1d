#include "policy/outlier_detection.h"

#include <algorithm>
#include <cmath>

#include "policy/replica_load.h"

namespace flintglade::policy {
namespace {

// A replica below this fraction of the mean health is an outlier and loses keys.
constexpr double kOutlierHealth = 0.7;
// A replica loses keys if its attempts take more than this multiple of the usual time.
constexpr double kSlowMultiple = 2.0;
// The weight of one result in a replica's health. A broken stream is stronger evidence than an error.
constexpr double kFirstEventWeight = 0.35, kErrorWeight = 0.35, kTimeoutWeight = 0.5, kResetWeight = 0.8;
// The quality of a first event is 1 up to half of the objective, and 0 from 1.25 times the objective on.
constexpr double kFailedLatency = 1.25, kLatencyRange = 0.75;
// A replica that rejected an attempt as full is skipped for this long: it may be draining.
constexpr double kFullBackoffS = 1.0;
// An unreachable replica is skipped for this long, doubled with each further failure.
constexpr double kFirstUnreachableBackoffS = 0.5;
constexpr int kMaxUnreachableBackoffDoublings = 3;
// This many consecutive connect failures in one zone count as the loss of the zone. Otherwise each replica of
// a lost zone would cost one failed attempt.
constexpr int kZoneLossConnectFailures = 2;
constexpr double kMaxWarningS = 10.0;
constexpr std::uint64_t kBackoffSalt = 23;

}  // namespace

void OutlierDetection::on_replica_started(int index, double now) {
  replicas_[index].health = 1.0;
  replicas_[index].health_updated_at = now;
  record_reachable(index);
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

void OutlierDetection::record_overdue(int index, double now) { record(index, 0.0, kFirstEventWeight, now); }

void OutlierDetection::record_outcome(int index, Outcome outcome, double now) {
  switch (outcome) {
    case Outcome::error:
      return record(index, 0.0, kErrorWeight, now);
    case Outcome::reset:
      return record(index, 0.0, kResetWeight, now);
    case Outcome::timeout:
      return record(index, 0.0, kTimeoutWeight, now);
    case Outcome::connect_failed:  // the request did not run: no evidence about the replica's health
      return record_connect_failure(index, now);
    case Outcome::full:  // not a failure of the replica: the request did not run
      replicas_[index].rejecting_until = now + kFullBackoffS;
      return;
    case Outcome::ok:
    case Outcome::cancelled:
    case Outcome::inconclusive:
      return;  // recorded by record_latency(), or caused by this router
  }
}

void OutlierDetection::record_connect_failure(int index, double now) {
  ReplicaState& state = replicas_[index];
  state.unreachable_until = backoff_until(++state.consecutive_connect_failures, now);
  ZoneState& zone = learned_.zones[state.replica.zone];
  if (++zone.consecutive_connect_failures >= kZoneLossConnectFailures)
    zone.unreachable_until = backoff_until(zone.consecutive_connect_failures, now);
}

// With jitter, so that routers which lost the same replica do not retry it at the same time.
double OutlierDetection::backoff_until(int consecutive_failures, double now) {
  const int doublings = std::min(consecutive_failures - 1, kMaxUnreachableBackoffDoublings);
  return now + kFirstUnreachableBackoffS * (1 << doublings) * (0.5 + random_.next(kBackoffSalt));
}

void OutlierDetection::record_reachable(int index) {
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
