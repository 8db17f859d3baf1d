#include "shared/health_observer.h"

#include <algorithm>

namespace flintglade::shared {
namespace {

constexpr std::uint32_t kMinFailures = 2;  // consecutive ones, since a single failure can be chance
constexpr std::size_t kMaxRecords = 4096;
constexpr std::uint32_t kMaxConsecutive = 1000;

}  // namespace

HealthObserver::Record& HealthObserver::record_of(Micros now, core::ReplicaId replica) {
  if (records_.size() >= kMaxRecords) prune(now);
  return records_[replica];
}

void HealthObserver::on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome) {
  using policy::Outcome;
  if (outcome == Outcome::ok) return on_first_event(now, replica);
  // A rejection means that the replica is full, not failing. An attempt that this router abandoned shows
  // nothing about the replica.
  if (outcome == Outcome::full || outcome == Outcome::cancelled || outcome == Outcome::inconclusive) return;
  Record& record = record_of(now, replica);
  record.consecutive_failures = std::min(record.consecutive_failures + 1, kMaxConsecutive);
  record.consecutive_successes = 0;
  record.last_attempt_at = now;
  // While another change is waiting to be reported, `was_failing` is not set, so the recovery of this replica
  // will not be reported.
  if (record.consecutive_failures < kMinFailures || changed_) return;
  changed_ = !record.was_failing;
  record.was_failing = true;
}

void HealthObserver::on_first_event(Micros now, core::ReplicaId replica) {
  Record& record = record_of(now, replica);
  changed_ = changed_ || record.consecutive_failures >= kMinFailures;
  record.consecutive_failures = 0;
  record.consecutive_successes = std::min(record.consecutive_successes + 1, kMaxConsecutive);
  record.last_attempt_at = record.served_at = now;
}

void HealthObserver::prune(Micros now) {
  std::erase_if(records_, [&](const auto& entry) {
    return now - entry.second.last_attempt_at > settings_.observation_ttl;
  });
  if (records_.size() >= kMaxRecords) records_.clear();
}

std::vector<coordination::ReplicaObservation> HealthObserver::observations(Micros now) const {
  std::vector<coordination::ReplicaObservation> observations;
  for (const auto& [replica, record] : records_) {
    const bool failing = record.consecutive_failures >= kMinFailures;
    const bool recovered = record.was_failing && record.consecutive_failures == 0;
    if (now - record.last_attempt_at > settings_.observation_ttl || (!failing && !recovered)) continue;
    coordination::ReplicaObservation& observation = observations.emplace_back();
    observation.set_replica(replica);
    observation.set_bad(failing);
    observation.set_count(failing ? record.consecutive_failures : record.consecutive_successes);
    observation.set_age_us(now - record.last_attempt_at);
  }
  std::sort(observations.begin(), observations.end(),
            [](const auto& a, const auto& b) { return a.age_us() < b.age_us(); });
  if (observations.size() > settings_.max_observations) observations.resize(settings_.max_observations);
  return observations;
}

std::optional<Micros> HealthObserver::last_served(core::ReplicaId replica) const {
  const auto it = records_.find(replica);
  if (it == records_.end() || it->second.served_at < 0) return std::nullopt;
  return it->second.served_at;
}

}  // namespace flintglade::shared
