// Picks the replica that gets the next attempt of a request.
//
// Jump consistent hash (Lamping and Veach, 2014) maps a request's key to a slot; rehashes of the key give the
// replicas to try next. A replica is skipped for keys beyond its size, and while it is in slow start,
// overloaded or an outlier. If no replica remains, these conditions are relaxed step by step. Not
// thread-safe.
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

// The number of slots that are tried for a key, the first one without a rehash, before all members are tried
// in the order of the slots.
inline constexpr int kMaxRehashes = 48;

class ReplicaPicker {
 public:
  // All references must outlive this object.
  ReplicaPicker(const Settings& settings, ReplicaTable& replicas, const ReplicaCapacity& capacity,
                const ReplicaLoad& load, const OutlierDetection& outliers, SlowStart& slow_start,
                const ZonePreference& zones);

  // The index of the replica for the next attempt, or -1 if no replica is eligible now.
  int pick(const Request& request, double now);
  // Whether there is a ready replica that the request may still be sent to, now or later.
  bool any_candidate_left(const Request& request) const;

  // The replica table has changed: assigns slots to new replicas and marks those of removed ones as
  // tombstones.
  void update_slots();
  // Restores the slots of a previous process, given as replica ids. Has no effect with fixed slots.
  void restore_slots(const std::vector<std::uint64_t>& slots,
                     const std::vector<std::uint64_t>& own_zone_slots);
  // Append the ids of the replicas that the slots belong to, in order of the slots.
  void append_slot_ids(std::vector<std::uint64_t>& ids) const { append_ids(slots_, ids); }
  void append_own_zone_slot_ids(std::vector<std::uint64_t>& ids) const { append_ids(own_zone_slots_, ids); }

 private:
  // Which replicas are eligible: all that the request may be sent to; only the reachable ones of these; only
  // those that, in addition, are not overloaded and keep this key as outliers or in slow start.
  enum class Strictness { allowed, reachable, healthy };

  bool is_candidate(const Request& request, int index) const;
  bool is_eligible(const Request& request, int index, Strictness strictness, double now);
  int pick_from_slots(const Request& request, const SlotTable& table, Strictness strictness, double now);
  int first_eligible(const Request& request, Strictness strictness, double now);
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
