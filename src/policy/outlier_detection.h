// Outlier detection: which replicas get fewer keys, or none, for how they serve this router.
//
// A replica's health is a running mean of how its attempts went; it is forgotten towards 1, so that an
// ejected one is tried again by itself. One that cannot be reached is passed over with exponential backoff
// and jitter, and so is its zone after several in a row. Ejection is soft: what is left over takes requests
// where nothing else can. After 'Outlier detection' in Envoy. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/replica_table.h"
#include "policy/request.h"

namespace flintglade::policy {

class OutlierDetection {
 public:
  // All outlive this. health_window: seconds over which health is forgotten.
  OutlierDetection(ReplicaTable& replicas, LearnedState& learned, const FleetSummary& fleet,
                   RandomState& random, double health_window_s)
      : replicas_(replicas),
        learned_(learned),
        fleet_(fleet),
        random_(random),
        health_window_s_(health_window_s) {}

  // A new process serves at this replica: nothing of the old one counts.
  void on_replica_started(int index, double now);

  // The first event of an attempt arrived, or is still out although one sent later had its first event.
  void record_latency(const Request& request, const Attempt& attempt, double now);
  // An attempt is out for longer than usual. Known now, not when it ends.
  void record_silence(int index, double now);
  // An attempt ended with this outcome. Outcomes that say nothing of how the replica serves are passed over.
  void record_outcome(int index, Outcome outcome, double now);
  // It answered: it can be reached.
  void record_reached(int index);
  // Others saw it fail: it is passed over for so many seconds, 10 at the most.
  void record_warning(int index, double duration_s, double now);

  // From 0 (fails) to 1 (answers within the objectives).
  double health(const ReplicaState& state, double now) const;
  // Whether the replica or its zone could not be reached a moment ago.
  bool is_unreachable(const ReplicaState& state, double now) const;
  // The share of its keys that a replica keeps. warm_share: what its slow start leaves of them.
  double kept_share(const ReplicaState& state, double warm_share, double now) const;

 private:
  void record(int index, double quality, double weight, double now);
  void record_connect_failure(int index, double now);
  double backoff_until(int consecutive_failures, double now);

  ReplicaTable& replicas_;
  LearnedState& learned_;
  const FleetSummary& fleet_;
  RandomState& random_;
  double health_window_s_;
};

}  // namespace flintglade::policy
