// Placement: maps the slots of the key space to replicas.
//
// Slots are assigned in order of start time and id. The slot of a replica that leaves becomes a tombstone, so
// that only its keys are rehashed. It is reused by the same replica id when that returns, or else by a new
// replica; further new replicas get new slots. Indices are those of the ReplicaTable. Not thread-safe.
#pragma once

#include <vector>

#include "policy/replica_table.h"

namespace flintglade::policy {

class SlotTable {
 public:
  // The replicas have changed. ready_in_order: the ready replicas, by start time and id. fixed_slots: the
  // number of slots, whose assignment depends only on the set of ready replicas; 0: one slot per replica.
  void update(const ReplicaTable& replicas, const std::vector<int>& ready_in_order, int fixed_slots);
  // Restores the slots of a previous process. All are tombstones until the next update.
  void restore(std::vector<int> slots);

  const std::vector<int>& slots() const { return slots_; }
  // The ready replicas that have a slot, without duplicates.
  const std::vector<int>& members() const { return members_; }
  bool is_tombstone(int slot) const { return !occupied_[slot]; }

 private:
  void fill_fixed(const ReplicaTable& replicas, const std::vector<int>& ready, int fixed_slots);

  std::vector<int> slots_, members_;
  std::vector<bool> occupied_;  // by slot
};

}  // namespace flintglade::policy
