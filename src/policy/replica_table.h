// The replicas that this router has been told of, with what it has learned of each.
//
// A replica has an index for as long as the table lives, so that slots and attempts can refer to it after it
// has left the endpoint list. Not thread-safe.
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
    bool started = false;  // new to this router, or with another start time than before
  };

  // Takes an entry of the endpoint list in. A size that is no positive number leaves the known one (1 if none
  // is known); a start time in the future counts as now.
  AppliedEntry apply(const Replica& entry, double now);
  // A whole list follows: replicas that it does not name have left.
  void mark_all_gone();

  // The index of the replica with this id, or -1.
  int find(ReplicaId id) const;
  // The same; one that is not known yet is added as gone.
  int find_or_add(ReplicaId id);

  // The indices of the ready replicas by start time and id: the order in which slots are given.
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
