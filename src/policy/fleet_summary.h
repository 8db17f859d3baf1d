// Sums over the ready replicas, renewed a few times a second at most so that a request does not cost a walk
// over the fleet (fleet_monitor.h).
#pragma once

namespace flintglade::policy {

struct FleetSummary {
  double ready = 0.0;  // number of ready replicas
  double mean_health = 1.0;
  double total_size = 0.0;          // of the ready ones, as if all were warm
  double warm_size = 0.0;           // the same, those in slow start by the part that they may take
  double own_zone_warm_size = 0.0;  // of that, in this router's zone and reachable

  double mean_size() const { return ready > 0.0 ? total_size / ready : 0.0; }
};

}  // namespace flintglade::policy
