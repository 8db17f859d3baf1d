// The replicas that have appeared in the endpoint list, with what this router has learned about each.
//
// A replica keeps its index for the lifetime of the table, so that slots and attempts can refer to it after
// it has left the endpoint list. Not thread-safe.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "policy/replica_state.h"

namespace flintglade::policy {

class ReplicaTable {
 public:
  struct AppliedEntry {
    int index = 0;
    bool started = false;  // new to this router, or its start time has changed
  };

  // Adds or updates the replica of a list entry. If the size is not a positive finite number, the previous
  // size is kept (1 for a new replica); a start time in the future is replaced by now.
  AppliedEntry apply(const Replica& entry, double now);
  // To be called before the entries of a complete list are applied: replicas that it lacks have left.
  void mark_all_gone();

  // The index of the replica with this id, or -1.
  int find(ReplicaId id) const;
  // The same, but an unknown replica is added with Health::gone.
  int find_or_add(ReplicaId id);

  // The indices of the ready replicas by start time and id: the order in which slots are assigned.
  std::vector<int> ready_in_start_order() const;

  ReplicaState& operator[](int index) { return replicas_[index]; }
  const ReplicaState& operator[](int index) const { return replicas_[index]; }
  std::size_t size() const { return replicas_.size(); }
  auto begin() { return replicas_.begin(); }
  auto end() { return replicas_.end(); }
  auto begin() const { return replicas_.begin(); }
  auto end() const { return replicas_.end(); }

 private:
  std::vector<ReplicaState> replicas_;
  std::map<ReplicaId, int> index_of_;
};

}  // namespace flintglade::policy
