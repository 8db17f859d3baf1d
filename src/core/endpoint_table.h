// The replicas of the endpoint list, by id, and for each replica that is draining or gone the time since when
// this is known (its retirement). Used on the core's thread only; times in microseconds.
//
// A list can be stale: after a reload has moved service discovery to another address, a full list may be
// older than the update that announced a drain. If it were applied, new work would go to a replica that is
// about to stop. So an entry of an older list that has a retired replica as ready is deferred until no list
// can be that old any more (BrokerSettings::list_lag after the retirement). It is applied then, because
// another discovery service may number its versions differently. An entry with a later start time is applied
// at once: the replica is a new process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/process_snapshot.h"
#include "core/time.h"

namespace flintglade::core {

// Since when a replica is known to be draining or gone.
struct Retirement {
  Micros since = 0;
  std::uint32_t version = 0;  // of the latest list that has the replica as draining or gone
};

class EndpointTable {
 public:
  // list_lag: the maximum age of a list; a retirement longer ago than this makes no entry stale.
  explicit EndpointTable(Micros list_lag) : list_lag_(list_lag) {}

  // --- reading
  const Endpoint* find(ReplicaId id) const;
  const Retirement* find_retirement(ReplicaId id) const;
  std::size_t count(policy::Health health) const;
  std::vector<ReplicaId> ready_replicas() const;
  std::uint32_t version() const { return version_; }
  // Whether service discovery has delivered a list.
  bool has_list() const { return has_list_; }
  // Whether service discovery has delivered a list or has failed to.
  bool has_discovery_result() const { return has_discovery_result_; }
  // A short text for the log.
  std::string not_ready_reason() const;
  // The time after which no first byte may be written to the replica; kNever while it is ready.
  Micros no_new_after(ReplicaId id, Micros drain_grace) const;

  // --- applying one update, in this order
  // Records the update's version, and that service discovery has responded.
  void record_update(const EndpointListUpdate& update);
  // Adds the known replicas that are missing from a full list: with their current entries if the update has
  // them as unreadable, else as gone.
  void append_missing(EndpointListUpdate& update) const;
  // The retirement that makes this entry, from a list of this version, stale; null if the entry is to be
  // applied.
  const Retirement* contradicting_retirement(const Endpoint& entry, std::uint32_t version, Micros now) const;
  // Stores the entry, and the retirement's start or end.
  void store(const Endpoint& entry, std::uint32_t version, Micros now);

  // The entry of this replica. An unknown replica is added as gone.
  const Endpoint& find_or_add(ReplicaId id) { return endpoints_[id]; }

  // --- hot restart
  // The process snapshot without the decision module's learned state.
  ProcessSnapshot snapshot(Micros now) const;
  // Records that a list was restored from another process, which counts like a list from service discovery.
  void record_restored_list() { has_discovery_result_ = has_list_ = true; }
  // Merges a retirement known to another process; the earlier start time is kept. If own_list_prevails, it is
  // merged only if this process's list has the replica as draining or gone. Returns whether it was merged.
  bool merge_retirement(const ProcessSnapshot::RetiredReplica& retired, bool own_list_prevails);

 private:
  Micros list_lag_;
  std::unordered_map<ReplicaId, Endpoint> endpoints_;
  std::unordered_map<ReplicaId, Retirement> retirements_;
  bool has_discovery_result_ = false;
  bool has_list_ = false;
  std::uint32_t version_ = 0;
};

}  // namespace flintglade::core
