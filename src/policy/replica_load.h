// The load that this router's attempts put on each replica: how many are in flight, and how long they take
// (TimeInSystem). Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/replica_capacity.h"
#include "policy/replica_table.h"

namespace flintglade::policy {

// Weight of the prior of a mean time in system, as a number of attempts with the usual duration: small for a
// replica, so that a slow one is detected soon; larger for a machine kind, whose mean affects many keys.
inline constexpr double kPriorArrivalsOfReplica = 2.0, kPriorArrivalsOfKind = 4.0;

class ReplicaLoad {
 public:
  // All references must outlive this object. window_s: time window over which attempts count, in seconds.
  ReplicaLoad(ReplicaTable& replicas, LearnedState& learned, const ReplicaCapacity& capacity,
              const FleetSummary& fleet, double window_s)
      : replicas_(replicas), learned_(learned), capacity_(capacity), fleet_(fleet), window_s_(window_s) {}

  void on_attempt_sent(int index, double now);
  // An attempt ran until its answer, its cancellation or its timeout.
  void on_attempt_completed(int index, double now);
  // An attempt failed earlier: it does not show how long answers take, so it is removed from the mean.
  void on_attempt_failed(int index, double now, double sent_at);
  // Advances the times in system of the fleet and of each kind to now.
  void advance_fleet_to(double now);
  // The same for one replica.
  void advance_replica_to(ReplicaState& state, double now) const;

  // Whether a replica gets no further keys: it recently rejected an attempt as full, or its number of this
  // router's attempts in flight relative to its size exceeds a multiple of the fleet's mean.
  bool is_overloaded(int index, double now) const;

 private:
  template <typename Change>
  void change_statistics(int index, double now, const Change& change);

  ReplicaTable& replicas_;
  LearnedState& learned_;
  const ReplicaCapacity& capacity_;
  const FleetSummary& fleet_;
  double window_s_;
};

}  // namespace flintglade::policy
