// Placement: which replica a slot of the key space belongs to.
//
// Slots stand in order of start time and id. A replica that leaves keeps its slot as a tombstone, so that
// only its keys are rehashed; the same id back, or else a successor, fills it; other joiners take the next
// slots. Indices are those of the ReplicaTable. Not thread-safe.
#pragma once

#include <vector>

#include "policy/replica_table.h"

namespace flintglade::policy {

class SlotTable {
 public:
  // The replicas have changed. ready_in_order: the ready ones, by start time and id. fixed_slots: so many
  // slots, filled by the set of ready replicas alone; 0: a slot for each replica.
  void update(const ReplicaTable& replicas, const std::vector<int>& ready_in_order, int fixed_slots);
  // Takes the slots over that a former process had. All count as tombstones until the next update.
  void restore(std::vector<int> slots);

  const std::vector<int>& slots() const { return slots_; }
  // The ready replicas that have a slot, each once.
  const std::vector<int>& members() const { return members_; }
  bool is_tombstone(int slot) const { return !occupied_[slot]; }

 private:
  void fill_fixed(const ReplicaTable& replicas, const std::vector<int>& ready, int fixed_slots);

  std::vector<int> slots_, members_;
  std::vector<bool> occupied_;  // by slot
};

}  // namespace flintglade::policy
