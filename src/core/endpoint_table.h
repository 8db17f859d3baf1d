// The replicas that the endpoint list names, by id, and since when each that drains or is gone has been known
// to (its retirement). On the core's thread only; times in microseconds.
//
// A list can be stale: service discovery that has moved may give a full list that is older than the update
// that announced a drain. Believed, it would send new work to a replica that is about to stop. So an entry of
// an older list that calls a retired replica ready is put aside, and is believed only when no list can be
// that old any more (BrokerSettings::list_lag after the retirement): another discovery service may count
// versions otherwise. A replica that has been started again since is a new process, and is believed at once.
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
  std::uint32_t version = 0;  // of the latest list that said so
};

class EndpointTable {
 public:
  // list_lag: no list is older than this; longer ago, a retirement is no reason to doubt a list.
  explicit EndpointTable(Micros list_lag) : list_lag_(list_lag) {}

  // --- reading
  const Endpoint* find(ReplicaId id) const;
  const Retirement* find_retirement(ReplicaId id) const;
  std::size_t count(policy::Health health) const;
  std::vector<ReplicaId> ready_replicas() const;
  std::uint32_t version() const { return version_; }
  // Whether discovery has given a list; and whether it has answered or failed to.
  bool has_list() const { return has_list_; }
  bool was_answered() const { return was_answered_; }
  // In a few words, for the operators' log.
  std::string not_ready_reason() const;
  // The time after which no first byte may be written to the replica; kNever while it is ready.
  Micros no_new_after(ReplicaId id, Micros drain_grace) const;

  // --- applying one update, in this order
  // Keeps the update's version, and that discovery has answered.
  void record_update(const EndpointListUpdate& update);
  // Adds to a full list the replicas that it leaves out, as gone; to be held as they are if they are
  // unreadable.
  void append_missing(EndpointListUpdate& update) const;
  // The retirement that makes this entry of a list of that version stale; null if the entry is to be
  // believed.
  const Retirement* contradicting_retirement(const Endpoint& entry, std::uint32_t version, Micros now) const;
  // Stores the entry, and the retirement's start or end.
  void store(const Endpoint& entry, std::uint32_t version, Micros now);

  // The entry of this replica. One that no list has named is added, as gone.
  const Endpoint& find_or_add(ReplicaId id) { return endpoints_[id]; }

  // --- hot restart
  // Everything but what the decision module has learned.
  ProcessSnapshot snapshot(Micros now) const;
  // As if discovery had answered: a list has been taken over.
  void record_restored_list() { was_answered_ = has_list_ = true; }
  // Takes over a retirement, whose start goes back to the earlier of the two. own_list_prevails: only where
  // our own list does not call the replica ready. Returns whether it was taken.
  bool merge_retirement(const ProcessSnapshot::RetiredReplica& retired, bool own_list_prevails);

 private:
  Micros list_lag_;
  std::unordered_map<ReplicaId, Endpoint> endpoints_;
  std::unordered_map<ReplicaId, Retirement> retirements_;
  bool was_answered_ = false;
  bool has_list_ = false;
  std::uint32_t version_ = 0;
};

}  // namespace flintglade::core
