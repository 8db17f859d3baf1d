// The load that this router's attempts put on each replica: how many are in flight, and how long they stay
// (TimeInSystem). Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/replica_capacity.h"
#include "policy/replica_table.h"

namespace flintglade::policy {

// Attempts of the usual duration that a mean time in system starts from: few for a replica, so that a slow
// one shows soon; more for a kind, whose mean steers many keys.
inline constexpr double kPriorArrivalsOfReplica = 2.0, kPriorArrivalsOfKind = 4.0;

class ReplicaLoad {
 public:
  // All outlive this. window: seconds over which attempts count.
  ReplicaLoad(ReplicaTable& replicas, LearnedState& learned, const ReplicaCapacity& capacity,
              const FleetSummary& fleet, double window_s)
      : replicas_(replicas), learned_(learned), capacity_(capacity), fleet_(fleet), window_s_(window_s) {}

  void on_attempt_sent(int index, double now);
  // An attempt that ran until its answer, its cancellation or its time-out.
  void on_attempt_completed(int index, double now);
  // One that failed earlier says nothing of how long answers take: it is taken out of the mean again.
  void on_attempt_failed(int index, double now, double sent_at);
  // Brings the times in system of the fleet and of each kind up to now.
  void advance_fleet_to(double now);
  // The same for one replica.
  void advance_replica_to(ReplicaState& state, double now) const;

  // Whether a replica declines further keys: it rejected an attempt as full a moment ago, or it has more of
  // this router's attempts in flight for its size than a multiple of the fleet's mean.
  bool is_crowded(int index, double now) const;

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
