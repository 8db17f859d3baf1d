// Slow start: a recently started replica gets a growing share of its keys, limited by a strict budget.
//
// The platform's replicas fail if they get more than a multiple (fall_multiple) of their capacity while cold.
// A router does not know what the others send, so each limits its own portion: the usual work that it sends
// to a warm replica of this size, times the warm share, times a fraction of that multiple. The budget is a
// token bucket of work per replica. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/replica_capacity.h"
#include "policy/replica_table.h"
#include "policy/request.h"
#include "policy/request_work.h"

namespace flintglade::policy {

class SlowStart {
 public:
  // All references must outlive this object.
  SlowStart(const Settings& settings, ReplicaTable& replicas, const LearnedState& learned,
            const ReplicaCapacity& capacity, const RequestWork& work, const FleetSummary& fleet,
            const RandomState& random)
      : settings_(settings),
        replicas_(replicas),
        learned_(learned),
        capacity_(capacity),
        work_(work),
        fleet_(fleet),
        random_(random) {}

  // A replica started: resets its budget.
  void on_replica_started(int index, double now);
  // The fraction of its capacity that a replica has reached: 1 once it is warm.
  double warm_share(const ReplicaState& state, double now) const;

  // Whether the budget of a replica in slow start allows this request. A warm replica has no budget limit.
  bool allows(const Request& request, int index, double now);
  // The request is sent to the replica: deducts its work from the budget, if the budget covers it.
  void spend(const Request& request, int index, double now);

 private:
  double budget_rate(const ReplicaState& state, double size, double now) const;
  bool gets_few_requests(const ReplicaState& state, double now) const;
  bool refill(const Request& request, int index, double now);

  const Settings& settings_;
  ReplicaTable& replicas_;
  const LearnedState& learned_;
  const ReplicaCapacity& capacity_;
  const RequestWork& work_;
  const FleetSummary& fleet_;
  const RandomState& random_;
};

}  // namespace flintglade::policy
