#include "policy/replica_capacity.h"

#include <algorithm>
#include <cmath>

#include "policy/replica_load.h"

namespace flintglade::policy {
namespace {

constexpr double kSizeUpdateIntervalS = 1.0;
// Rough and live sizes understate how far machines differ: a large one is hardly ever seen without load.
constexpr double kUnderstatedSizeExponent = 1.6;
// No kind counts for more than this multiple of the fleet's mean speed, or for less than its inverse.
constexpr double kMaxSpeed = 4.0;
// Samples of the prefill cost at which it counts half of its full weight.
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
  for (double& part : key_acceptance_)
    part = std::pow(part / largest, understated ? kUnderstatedSizeExponent : 1.0);
}

void ReplicaCapacity::update_if_old(double now) {
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

// How quickly a kind reads prompts shows after a few first events, how quickly it makes tokens after longer:
// in its attempts' time in system. Each counts half where both are known, else the time in system alone.
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
