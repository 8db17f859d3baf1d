// Sums over the ready replicas. Recomputed at most a few times per second (fleet_monitor.h), so that handling
// a request does not iterate over the fleet.
#pragma once

namespace flintglade::policy {

struct FleetSummary {
  double ready = 0.0;  // number of ready replicas
  double mean_health = 1.0;
  double total_size = 0.0;          // of the ready replicas, as if all were warm
  double warm_size = 0.0;           // as total_size, but replicas in slow start count by their warm share
  double own_zone_warm_size = 0.0;  // the portion of warm_size in this router's zone that is reachable

  double mean_size() const { return ready > 0.0 ? total_size / ready : 0.0; }
};

}  // namespace flintglade::policy
