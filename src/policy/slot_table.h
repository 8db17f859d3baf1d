// Placement: which replica a slot of the key space belongs to.
//
// Slots stand in order of start time and id. A leaver keeps its slot as a tombstone, so that only its keys
// rehash; the same id back, or else a successor, fills it; other joiners take the next slots.
#pragma once

#include <vector>

#include "policy/replica_state.h"

namespace flintglade::policy {

struct SlotTable {
  std::vector<int> slots, members;  // replica indices; members: the ready ones, each once
  std::vector<bool> standing;       // false: tombstone

  // The replicas have changed. ready_in_order: indices of the ready ones, by start time and id. fixed: so
  // many slots, filled by the set alone; 0: a slot for each replica.
  void update(const std::vector<ReplicaState>& replicas, const std::vector<int>& ready_in_order, int fixed);

 private:
  void fill(const std::vector<ReplicaState>& replicas, const std::vector<int>& ready, int fixed);
};

}  // namespace flintglade::policy
