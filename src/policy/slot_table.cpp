#include "policy/slot_table.h"

#include "policy/statistics.h"

namespace flintglade::policy {

std::int32_t jump_hash(std::uint64_t key, std::int32_t buckets) {
  std::int64_t b = -1, j = 0;
  while (j < buckets) {
    b = j;
    key = key * 2862933555777941757ull + 1;
    j = ((b + 1) << 31) / static_cast<std::int64_t>((key >> 33) + 1);
  }
  return static_cast<std::int32_t>(b);
}

void SlotTable::update(const std::vector<ReplicaState>& replicas, const std::vector<int>& ready_in_order,
                       int fixed) {
  if (fixed > 0) return fill(replicas, ready_in_order, fixed);
  std::vector<bool> held(replicas.size(), false);
  for (std::size_t s = 0; s < slots.size(); ++s) {
    held[slots[s]] = standing[s] = replicas[slots[s]].ready();
  }
  std::size_t hole = 0;
  for (int r : ready_in_order) {
    if (held[r]) continue;
    while (hole < slots.size() && standing[hole]) ++hole;
    if (hole == slots.size()) slots.push_back(r), standing.push_back(true);
    slots[hole] = r;
    standing[hole] = true;
  }
  members.clear();
  for (std::size_t s = 0; s < slots.size(); ++s) {
    if (standing[s]) members.push_back(slots[s]);
  }
}

// Where no start times are told: a fixed number of slots, each with the replica that scores highest there
// (rendezvous hashing; Thaler and Ravishankar, 1998). That is made of the set alone, whatever a router saw
// before, and one that joins or leaves moves only the slots that it gets or had.
void SlotTable::fill(const std::vector<ReplicaState>& replicas, const std::vector<int>& ready, int fixed) {
  std::vector<bool> before(replicas.size(), false);
  for (int r : members) before[r] = true;
  slots.resize(fixed, -1);
  const auto score = [&](int r, int slot) { return mix(replicas[r].replica.id, slot + 1); };
  const auto take = [&](int r, int slot) {
    if (slots[slot] < 0 || score(r, slot) > score(slots[slot], slot)) slots[slot] = r;
  };
  for (int slot = 0; slot < fixed; ++slot) {
    if (slots[slot] < 0 || replicas[slots[slot]].ready()) continue;
    slots[slot] = -1;
    for (int r : ready) {
      if (before[r]) take(r, slot);
    }
  }
  for (int r : ready) {
    for (int slot = 0; !before[r] && slot < fixed; ++slot) take(r, slot);
  }
  members = ready;
  standing.assign(fixed, !ready.empty());
}

}  // namespace flintglade::policy
