#include "policy/replica_capacity.h"

#include <algorithm>
#include <cmath>

#include "policy/replica_load.h"

namespace flintglade::policy {
namespace {

constexpr double kSizeUpdateIntervalS = 1.0;
// Rough and live sizes understate the differences between machines: a large one is rarely seen without load.
constexpr double kUnderstatedSizeExponent = 1.6;
// Limits the speed of a kind to this multiple of the fleet's mean speed, and to its inverse.
constexpr double kMaxSpeed = 4.0;
// Number of samples at which the prefill cost has half of its full weight.
constexpr double kPrefillPriorSamples = 0.5;

}  // namespace

void ReplicaCapacity::update(double now) {
  Kinds kinds = ready_kinds();
  if (sized_by_kind()) compare_speeds(kinds);
  updated_at_ = now;
  sizes_.resize(replicas_.size(), 1.0);
  double largest = 0.0;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    const ReplicaState& state = replicas_[static_cast<int>(i)];
    if (!state.ready()) continue;
    const Kind& kind = kinds[state.replica.kind];
    const double listed = settings_.weights == WeightSource::live
                              ? learned_.largest_live_size[state.replica.kind]
                              : state.replica.size;
    sizes_[i] = sized_by_kind() ? kind.mean_size() * kind.speed : listed;
    largest = std::max(largest, sizes_[i]);
  }
  const bool understated =
      settings_.weights == WeightSource::rough || settings_.weights == WeightSource::live;
  key_acceptance_ = sizes_;
  for (double& acceptance : key_acceptance_)
    acceptance = std::pow(acceptance / largest, understated ? kUnderstatedSizeExponent : 1.0);
}

void ReplicaCapacity::update_if_stale(double now) {
  if (sized_by_kind() && now - updated_at_ > kSizeUpdateIntervalS) update(now);
}

ReplicaCapacity::Kinds ReplicaCapacity::ready_kinds() {
  Kinds kinds;
  for (const ReplicaState& state : replicas_) {
    if (!state.ready()) continue;
    const Replica& replica = state.replica;
    double& largest_live = learned_.largest_live_size[replica.kind];
    largest_live = std::max(largest_live, replica.size);
    Kind& kind = kinds[replica.kind];
    kind.total_size += settings_.weights == WeightSource::silent ? 1.0 : replica.size;
    kind.count += 1.0;
  }
  return kinds;
}

// The prefill speed of a kind is known after a few first events; its generation speed takes longer to show,
// in the time in system of its attempts. Both have equal weight once the prefill speed is known; until then
// only the time in system counts.
void ReplicaCapacity::compare_speeds(Kinds& kinds) {
  const double usual_time = learned_.time_in_system.mean(1.0, kPriorArrivalsOfKind);
  double log_sum = 0.0, samples = 0.0;
  for (auto& [id, kind] : kinds) {
    const PrefillCost& cost = learned_.prefill_costs[id];
    kind.speed = cost.samples > 0.0 ? -std::log(cost.seconds_per_token * kind.total_size / kind.count) : 0.0;
    log_sum += cost.samples * kind.speed;
    samples += cost.samples;
  }
  for (auto& [id, kind] : kinds) {
    const double own_samples = learned_.prefill_costs[id].samples;
    const double prefill_weight = 0.5 * own_samples / (own_samples + kPrefillPriorSamples);
    const double log_by_time =
        std::log(usual_time / learned_.time_in_system_by_kind[id].mean(usual_time, kPriorArrivalsOfKind));
    const double log_speed = prefill_weight * (kind.speed - ratio_or_zero(log_sum, samples)) +
                             (1.0 - prefill_weight) * log_by_time;
    kind.speed = std::clamp(std::exp(log_speed), 1.0 / kMaxSpeed, kMaxSpeed);
  }
}

}  // namespace flintglade::policy
