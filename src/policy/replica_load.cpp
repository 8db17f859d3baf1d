#include "policy/replica_load.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

// A replica is overloaded if its attempts in flight relative to its size exceed this multiple of the mean
// over all ready replicas, and also exceed this number: below it, such differences arise by chance.
constexpr double kOverloadMultiple = 1.5, kMinOverloadAttempts = 6;

}  // namespace

template <typename Change>
void ReplicaLoad::change_statistics(int index, double now, const Change& change) {
  ReplicaState& state = replicas_[index];
  for (TimeInSystem* statistics :
       {&state.time_in_system, &learned_.time_in_system_by_kind[state.replica.kind],
        &learned_.time_in_system}) {
    statistics->advance_to(now, window_s_);
    change(*statistics);
  }
}

void ReplicaLoad::on_attempt_sent(int index, double now) {
  change_statistics(index, now, [](TimeInSystem& statistics) {
    statistics.arrivals += 1.0;
    statistics.in_flight += 1.0;
  });
}

void ReplicaLoad::on_attempt_completed(int index, double now) {
  change_statistics(index, now, [](TimeInSystem& statistics) {
    statistics.in_flight -= 1.0;
    statistics.arrivals = std::max(0.0, statistics.arrivals);
    statistics.in_flight_seconds = std::max(0.0, statistics.in_flight_seconds);
  });
}

void ReplicaLoad::on_attempt_failed(int index, double now, double sent_at) {
  const double duration = now - sent_at;
  const double remaining = std::exp(-duration / window_s_);
  change_statistics(index, now, [=](TimeInSystem& statistics) {
    statistics.in_flight -= 1.0;
    statistics.arrivals = std::max(0.0, statistics.arrivals - remaining);
    statistics.in_flight_seconds = std::max(0.0, statistics.in_flight_seconds - duration * remaining);
  });
}

void ReplicaLoad::advance_fleet_to(double now) {
  for (auto& [kind, statistics] : learned_.time_in_system_by_kind) statistics.advance_to(now, window_s_);
  learned_.time_in_system.advance_to(now, window_s_);
}

void ReplicaLoad::advance_replica_to(ReplicaState& state, double now) const {
  state.time_in_system.advance_to(now, window_s_);
}

bool ReplicaLoad::is_overloaded(int index, double now) const {
  const ReplicaState& state = replicas_[index];
  if (now < state.rejecting_until) return true;
  const double mean_per_size = ratio_or_zero(learned_.time_in_system.in_flight, fleet_.total_size);
  return state.time_in_system.in_flight >
         std::max(kMinOverloadAttempts, kOverloadMultiple * mean_per_size * capacity_.size(index));
}

}  // namespace flintglade::policy
