#include "policy/slot_table.h"

#include <utility>

#include "policy/statistics.h"

namespace flintglade::policy {

std::int32_t jump_hash(std::uint64_t key, std::int32_t buckets) {
  std::int64_t bucket = -1, next = 0;
  while (next < buckets) {
    bucket = next;
    key = key * 2862933555777941757ull + 1;
    next = ((bucket + 1) << 31) / static_cast<std::int64_t>((key >> 33) + 1);
  }
  return static_cast<std::int32_t>(bucket);
}

void SlotTable::update(const ReplicaTable& replicas, const std::vector<int>& ready_in_order,
                       int fixed_slots) {
  if (fixed_slots > 0) return fill_fixed(replicas, ready_in_order, fixed_slots);
  std::vector<bool> has_slot(replicas.size(), false);
  for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
    const bool ready = replicas[slots_[slot]].ready();
    has_slot[slots_[slot]] = ready;
    occupied_[slot] = ready;
  }
  std::size_t next_free = 0;
  for (const int replica : ready_in_order) {
    if (has_slot[replica]) continue;
    while (next_free < slots_.size() && occupied_[next_free]) ++next_free;
    if (next_free == slots_.size()) {
      slots_.push_back(replica);
      occupied_.push_back(true);
    }
    slots_[next_free] = replica;
    occupied_[next_free] = true;
  }
  members_.clear();
  for (std::size_t slot = 0; slot < slots_.size(); ++slot) {
    if (occupied_[slot]) members_.push_back(slots_[slot]);
  }
}

void SlotTable::restore(std::vector<int> slots) {
  slots_ = std::move(slots);
  occupied_.assign(slots_.size(), false);
}

// Used if the endpoint list has no start times: a fixed number of slots, each assigned to the replica with
// the highest score (rendezvous hashing; Thaler and Ravishankar, 1998). The result depends only on the set of
// ready replicas and not on the router's history, and a replica that joins or leaves moves only its own
// slots.
void SlotTable::fill_fixed(const ReplicaTable& replicas, const std::vector<int>& ready, int fixed_slots) {
  std::vector<bool> was_member(replicas.size(), false);
  for (const int replica : members_) was_member[replica] = true;
  slots_.resize(fixed_slots, -1);
  const auto score = [&](int replica, int slot) { return mix(replicas[replica].replica.id, slot + 1); };
  const auto assign_if_highest = [&](int replica, int slot) {
    if (slots_[slot] < 0 || score(replica, slot) > score(slots_[slot], slot)) slots_[slot] = replica;
  };
  for (int slot = 0; slot < fixed_slots; ++slot) {
    if (slots_[slot] < 0 || replicas[slots_[slot]].ready()) continue;
    slots_[slot] = -1;
    for (const int replica : ready) {
      if (was_member[replica]) assign_if_highest(replica, slot);
    }
  }
  for (const int replica : ready) {
    if (was_member[replica]) continue;
    for (int slot = 0; slot < fixed_slots; ++slot) assign_if_highest(replica, slot);
  }
  members_ = ready;
  occupied_.assign(fixed_slots, !ready.empty());
}

}  // namespace flintglade::policy
