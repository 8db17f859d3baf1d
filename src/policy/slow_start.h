// Slow start: a replica that started a short time ago takes a growing part of its keys, under a hard budget.
//
// The platform's replicas fall over if they get a multiple of what they can do while cold. No router knows
// what the others send, so each keeps to its own part: what a replica of this size gets of this router's work
// when warm, times how warm it is, times a part of that multiple. The budget is a token bucket of work for
// each replica. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/replica_capacity.h"
#include "policy/replica_table.h"
#include "policy/request.h"
#include "policy/request_work.h"

namespace flintglade::policy {

class SlowStart {
 public:
  // All outlive this.
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

  // A replica started: its budget begins anew.
  void on_replica_started(int index, double now);
  // The part of its capacity that a replica has by now: 1 once it is warm.
  double warm_share(const ReplicaState& state, double now) const;

  // Whether the budget of a replica in slow start allows this request; a warm one has no budget.
  bool allows(const Request& request, int index, double now);
  // The request is sent there: its work is taken out of the budget, if the budget covers it.
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
