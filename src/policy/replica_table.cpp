#include "policy/replica_table.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

// In seconds. Start times may be negative: replicas may have started before the clock's origin.
constexpr double kLongPast = -1e300;

}  // namespace

ReplicaTable::AppliedEntry ReplicaTable::apply(const Replica& entry, double now) {
  const std::size_t known = replicas_.size();
  const int index = find_or_add(entry.id);
  const bool is_new = replicas_.size() > known;
  Replica& replica = replicas_[index].replica;
  const bool started = is_new || entry.started_at != replica.started_at;
  const double known_size = replica.size;
  replica = entry;
  if (!(entry.size > 0.0 && std::isfinite(entry.size))) replica.size = is_new ? 1.0 : known_size;
  // The check suspects swapped arguments, but kLongPast is the lower bound and now the upper bound.
  // NOLINTNEXTLINE(readability-suspicious-call-argument): see above
  replica.started_at = clamp_finite(entry.started_at, kLongPast, now);
  return {index, started};
}

void ReplicaTable::mark_all_gone() {
  for (ReplicaState& state : replicas_) state.replica.health = Health::gone;
}

int ReplicaTable::find(ReplicaId id) const {
  const auto found = index_of_.find(id);
  return found == index_of_.end() ? -1 : found->second;
}

int ReplicaTable::find_or_add(ReplicaId id) {
  const auto [entry, is_new] = index_of_.try_emplace(id, static_cast<int>(replicas_.size()));
  if (is_new) replicas_.emplace_back().replica.id = id;
  return entry->second;
}

std::vector<int> ReplicaTable::ready_in_start_order() const {
  std::vector<int> order;
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (replicas_[i].ready()) order.push_back(static_cast<int>(i));
  }
  std::sort(order.begin(), order.end(), [this](int left, int right) {
    const Replica& first = replicas_[left].replica;
    const Replica& second = replicas_[right].replica;
    return first.started_at != second.started_at ? first.started_at < second.started_at
                                                 : first.id < second.id;
  });
  return order;
}

}  // namespace flintglade::policy
