#include "core/endpoint_table.h"

#include <algorithm>
#include <unordered_set>

namespace flintglade::core {

using policy::Health;
using policy::ListKind;

const Endpoint* EndpointTable::find(ReplicaId id) const {
  const auto it = endpoints_.find(id);
  return it == endpoints_.end() ? nullptr : &it->second;
}

const Retirement* EndpointTable::find_retirement(ReplicaId id) const {
  const auto it = retirements_.find(id);
  return it == retirements_.end() ? nullptr : &it->second;
}

std::size_t EndpointTable::count(Health health) const {
  return static_cast<std::size_t>(
      std::count_if(endpoints_.begin(), endpoints_.end(),
                    [health](const auto& item) { return item.second.replica.health == health; }));
}

std::vector<ReplicaId> EndpointTable::ready_replicas() const {
  std::vector<ReplicaId> ready;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.replica.health == Health::ready) ready.push_back(id);
  }
  return ready;
}

std::string EndpointTable::not_ready_reason() const {
  if (!has_list_)
    return has_discovery_result_ ? "no list yet: every request for it has failed" : "no list yet";
  if (endpoints_.empty()) return "the endpoint list is empty";
  return "none of " + std::to_string(endpoints_.size()) + " replicas in the endpoint list is ready";
}

Micros EndpointTable::no_new_after(ReplicaId id, Micros drain_grace) const {
  const Retirement* retirement = find_retirement(id);
  return retirement == nullptr ? kNever : retirement->since + drain_grace;
}

void EndpointTable::record_update(const EndpointListUpdate& update) {
  if (update.kind != ListKind::cached) has_discovery_result_ = true;
  if (update.kind != ListKind::failed) version_ = update.version;
  if (update.kind == ListKind::full || update.kind == ListKind::delta) has_list_ = true;
}

void EndpointTable::append_missing(EndpointListUpdate& update) const {
  if (update.kind != ListKind::full && update.kind != ListKind::cached) return;
  std::unordered_set<ReplicaId> listed;
  for (const Endpoint& entry : update.entries) listed.insert(entry.replica.id);
  for (const auto& [id, known] : endpoints_) {
    if (listed.contains(id) || known.replica.health == Health::gone) continue;
    update.entries.push_back(known);
    const bool unreadable =
        std::find(update.unreadable.begin(), update.unreadable.end(), id) != update.unreadable.end();
    if (!unreadable) update.entries.back().replica.health = Health::gone;
  }
}

const Retirement* EndpointTable::contradicting_retirement(const Endpoint& entry, std::uint32_t version,
                                                          Micros now) const {
  const Retirement* retirement = find_retirement(entry.replica.id);
  const Endpoint* current = find(entry.replica.id);
  if (retirement == nullptr || current == nullptr || entry.replica.health != Health::ready) return nullptr;
  const bool stale = version < retirement->version && now < retirement->since + list_lag_ &&
                     entry.replica.started_at <= current->replica.started_at;
  return stale ? retirement : nullptr;
}

void EndpointTable::store(const Endpoint& entry, std::uint32_t version, Micros now) {
  const ReplicaId id = entry.replica.id;
  endpoints_[id] = entry;
  if (entry.replica.health == Health::ready) {
    retirements_.erase(id);
    return;
  }
  // A retirement that is already known keeps its start time.
  Retirement& retirement = retirements_.try_emplace(id, Retirement{now, version}).first->second;
  retirement.version = std::max(retirement.version, version);
}

ProcessSnapshot EndpointTable::snapshot(Micros now) const {
  ProcessSnapshot snapshot;
  snapshot.version = version_;
  for (const auto& [id, endpoint] : endpoints_) {
    const Retirement* retirement = find_retirement(id);
    const bool recent = retirement != nullptr && now < retirement->since + list_lag_;
    if (recent) snapshot.retired.push_back({id, retirement->since, retirement->version});
    if (recent || endpoint.replica.health != Health::gone) snapshot.entries.push_back(endpoint);
  }
  return snapshot;
}

bool EndpointTable::merge_retirement(const ProcessSnapshot::RetiredReplica& retired, bool own_list_prevails) {
  const Endpoint* current = find(retired.replica);
  if (own_list_prevails && (current == nullptr || current->replica.health == Health::ready)) return false;
  Retirement& retirement =
      retirements_.try_emplace(retired.replica, Retirement{retired.since, retired.version}).first->second;
  retirement.since = std::min(retirement.since, retired.since);
  return true;
}

}  // namespace flintglade::core
