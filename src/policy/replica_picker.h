// The pick: which replica gets the next attempt of a request.
//
// A request's key is put on a slot by jump consistent hash (Lamping and Veach, 2014); rehashes of the key
// give the replicas that come next. A replica declines keys beyond its size, while it is in slow start,
// crowded or an outlier, and each condition is dropped in turn where no replica is left. Not thread-safe.
#pragma once

#include <cstdint>
#include <vector>

#include "policy/outlier_detection.h"
#include "policy/replica_capacity.h"
#include "policy/replica_load.h"
#include "policy/replica_table.h"
#include "policy/slot_table.h"
#include "policy/slow_start.h"
#include "policy/zone_preference.h"

namespace flintglade::policy {

// How many rehashes of a key look for a replica before all members are tried in the order of the slots.
inline constexpr int kMaxRehashes = 48;

class ReplicaPicker {
 public:
  // All outlive this.
  ReplicaPicker(const Settings& settings, ReplicaTable& replicas, const ReplicaCapacity& capacity,
                const ReplicaLoad& load, const OutlierDetection& outliers, SlowStart& slow_start,
                const ZonePreference& zones);

  // The index of the replica for the next attempt, or -1 if none may take it now.
  int pick(const Request& request, double now);
  // Whether any ready replica is left that the request may still go to, now or later.
  bool any_candidate_left(const Request& request) const;

  // The table has changed: joiners get slots, those of leavers become tombstones.
  void update_slots();
  // Takes over the slots of a former process, by ids of replicas. Without effect on fixed slots.
  void restore_slots(const std::vector<std::uint64_t>& slots,
                     const std::vector<std::uint64_t>& own_zone_slots);
  // Append the ids of the replicas that the slots belong to, in order of the slots.
  void append_slot_ids(std::vector<std::uint64_t>& ids) const { append_ids(slots_, ids); }
  void append_own_zone_slot_ids(std::vector<std::uint64_t>& ids) const { append_ids(own_zone_slots_, ids); }

 private:
  // Which replicas decline: nobody but those that may not take the request; the unreachable too; those that
  // are crowded, outliers or cold too, beyond their share.
  enum class Strictness { allowed, reachable, healthy };

  bool is_candidate(const Request& request, int index) const;
  bool fits(const Request& request, int index, Strictness strictness, double now);
  int walk(const Request& request, const SlotTable& table, Strictness strictness, double now);
  int first_that_fits(const Request& request, Strictness strictness, double now);
  void append_ids(const SlotTable& table, std::vector<std::uint64_t>& ids) const;
  void restore(SlotTable& table, const std::vector<std::uint64_t>& ids);

  const Settings& settings_;
  ReplicaTable& replicas_;
  const ReplicaCapacity& capacity_;
  const ReplicaLoad& load_;
  const OutlierDetection& outliers_;
  SlowStart& slow_start_;
  const ZonePreference& zones_;
  SlotTable slots_, own_zone_slots_;
};

}  // namespace flintglade::policy
