// Keeps the FleetSummary up to date: one walk over the fleet, ten times a second at most, or when something
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
  // All outlive this. peak_window: seconds over which the fleet's largest size is forgotten.
  FleetMonitor(const Settings& settings, ReplicaTable& replicas, LearnedState& learned,
               ReplicaCapacity& capacity, ReplicaLoad& load, const OutlierDetection& outliers,
               const SlowStart& slow_start, FleetSummary& fleet, double load_window_s);

  // Something has changed: the next update walks the fleet.
  void invalidate() { stale_ = true; }
  // Renews the summary if it is old. Returns whether it did.
  bool update_if_old(double now);

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
