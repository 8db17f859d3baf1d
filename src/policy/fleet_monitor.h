// Keeps the FleetSummary up to date: iterates over the fleet at most ten times per second, or when something
// has changed that picks depend on. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/outlier_detection.h"
#include "policy/replica_capacity.h"
#include "policy/replica_load.h"
#include "policy/replica_table.h"
#include "policy/slow_start.h"

namespace flintglade::policy {

class FleetMonitor {
 public:
  // All references must outlive this object. load_window_s: the time window of load, in seconds.
  FleetMonitor(const Settings& settings, ReplicaTable& replicas, LearnedState& learned,
               ReplicaCapacity& capacity, ReplicaLoad& load, const OutlierDetection& outliers,
               const SlowStart& slow_start, FleetSummary& fleet, double load_window_s);

  // Something has changed: the next update recomputes the summary.
  void invalidate() { stale_ = true; }
  // Recomputes the summary if it is stale. Returns whether it did.
  bool update_if_stale(double now);

 private:
  FleetSummary summarize(double now);

  const Settings& settings_;
  ReplicaTable& replicas_;
  LearnedState& learned_;
  ReplicaCapacity& capacity_;
  ReplicaLoad& load_;
  const OutlierDetection& outliers_;
  const SlowStart& slow_start_;
  FleetSummary& fleet_;
  double peak_window_s_;
  bool stale_ = true;
  double updated_at_;  // seconds
};

}  // namespace flintglade::policy
