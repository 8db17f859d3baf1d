// Outlier detection: replicas get fewer keys, or none, depending on how they have served this router.
//
// A replica's health is a running mean of the quality of its attempts. It decays towards 1, so that an
// ejected replica is tried again without a probe. An unreachable replica is skipped with exponential backoff
// and jitter, and so is its zone after several consecutive connect failures. Ejection is soft: an ejected
// replica still gets requests that no other replica can take. Based on 'Outlier detection' in Envoy. Not
// thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/replica_table.h"
#include "policy/request.h"

namespace flintglade::policy {

class OutlierDetection {
 public:
  // All references must outlive this object. health_window_s: the time constant of health's decay, in
  // seconds.
  OutlierDetection(ReplicaTable& replicas, LearnedState& learned, const FleetSummary& fleet,
                   RandomState& random, double health_window_s)
      : replicas_(replicas),
        learned_(learned),
        fleet_(fleet),
        random_(random),
        health_window_s_(health_window_s) {}

  // A new process runs on this replica: resets the state of the old one.
  void on_replica_started(int index, double now);

  // The first event of an attempt arrived, or has not arrived although a later attempt got its first event,
  // or the attempt succeeded without any event.
  void record_latency(const Request& request, const Attempt& attempt, double now);
  // An attempt has had no response for longer than usual. Recorded now rather than when the attempt ends.
  void record_overdue(int index, double now);
  // An attempt ended with this outcome. Outcomes that are no evidence about the replica are ignored.
  void record_outcome(int index, Outcome outcome, double now);
  // The replica answered: it is reachable.
  void record_reachable(int index);
  // Other routers saw the replica fail: it is skipped for duration_s seconds, 10 at most.
  void record_warning(int index, double duration_s, double now);

  // From 0 (fails) to 1 (answers within the objectives).
  double health(const ReplicaState& state, double now) const;
  // Whether the replica or its zone is being skipped because it could not be reached.
  bool is_unreachable(const ReplicaState& state, double now) const;
  // The share of its keys that a replica keeps. warm_share: the share that slow start allows.
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
