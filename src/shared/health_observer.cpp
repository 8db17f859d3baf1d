#include "shared/health_observer.h"

#include <algorithm>

namespace flintglade::shared {
namespace {

constexpr std::uint32_t kFailingFrom = 2;  // failures in a row: a single one can be chance
constexpr std::size_t kMaxRecords = 4096;
constexpr std::uint32_t kMaxInRow = 1000;

}  // namespace

HealthObserver::Record& HealthObserver::record_of(Micros now, core::ReplicaId replica) {
  if (records_.size() >= kMaxRecords) prune(now);
  return records_[replica];
}

void HealthObserver::on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome) {
  using policy::Outcome;
  if (outcome == Outcome::ok) return on_first_event(now, replica);
  // A rejection says that the replica is full, and an attempt that this router gave up says nothing.
  if (outcome == Outcome::full || outcome == Outcome::cancelled || outcome == Outcome::inconclusive) return;
  Record& record = record_of(now, replica);
  record.failed_in_row = std::min(record.failed_in_row + 1, kMaxInRow);
  record.served_in_row = 0;
  record.at = now;
  // While another change waits to be told, this one is not noted: such a replica's recovery is not told later
  // on.
  if (record.failed_in_row < kFailingFrom || changed_) return;
  changed_ = !record.was_failing;
  record.was_failing = true;
}

void HealthObserver::on_first_event(Micros now, core::ReplicaId replica) {
  Record& record = record_of(now, replica);
  changed_ = changed_ || record.failed_in_row >= kFailingFrom;
  record.failed_in_row = 0;
  record.served_in_row = std::min(record.served_in_row + 1, kMaxInRow);
  record.at = record.served_at = now;
}

void HealthObserver::prune(Micros now) {
  std::erase_if(records_,
                [&](const auto& entry) { return now - entry.second.at > settings_.observation_ttl; });
  if (records_.size() >= kMaxRecords) records_.clear();
}

std::vector<coordination::ReplicaObservation> HealthObserver::observations(Micros now) const {
  std::vector<coordination::ReplicaObservation> observations;
  for (const auto& [replica, record] : records_) {
    const bool failing = record.failed_in_row >= kFailingFrom;
    const bool recovered = record.was_failing && record.failed_in_row == 0;
    if (now - record.at > settings_.observation_ttl || (!failing && !recovered)) continue;
    coordination::ReplicaObservation& observation = observations.emplace_back();
    observation.set_replica(replica);
    observation.set_bad(failing);
    observation.set_count(failing ? record.failed_in_row : record.served_in_row);
    observation.set_age_us(now - record.at);
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
