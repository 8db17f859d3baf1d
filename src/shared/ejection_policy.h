// Which replicas this router avoids because other routers have seen them fail.
//
// No replica is avoided because of one router, or of routers of one site where the fleet has several; never
// more than a stated share of the ready replicas; never for longer than the observations count; never against
// what this router has seen itself meanwhile. An avoided replica can still be picked where nothing else is
// left: the decision module judges.
//
// No I/O; times are of one monotonic clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "coordination.pb.h"
#include "shared/health_observer.h"
#include "shared/settings.h"
#include "shared/versioned_table.h"

namespace flintglade::shared {

// What all routers have said of one replica.
struct ReplicaHealthSummary {
  core::ReplicaId replica = 0;
  std::uint32_t bad = 0;    // routers that see it fail
  std::uint32_t good = 0;   // routers that it serves again
  std::uint32_t sites = 0;  // of the routers that see it fail
  Micros age = 0;           // of the newest observation of a failure
};

// Summarizes all observations that still count, one vote for each router but this one; of several processes
// of one router, the last counts.
std::vector<ReplicaHealthSummary> summarize_health(
    Micros now, const Settings& settings,
    const VersionedTable<coordination::HealthObservations>& observations, const std::string& this_router);

// How many routers and sites are alive.
struct FleetSize {
  std::size_t routers = 0;
  std::size_t sites = 0;
};

class EjectionPolicy {
 public:
  explicit EjectionPolicy(const Settings& settings) : settings_(settings) {}

  struct Ejection {
    core::ReplicaId replica = 0;
    Micros span = 0;  // from now on
  };
  // ready: the replicas that this router's own list calls ready.
  std::vector<Ejection> ejections(Micros now, const std::vector<ReplicaHealthSummary>& summaries,
                                  const std::set<core::ReplicaId>& ready, const HealthObserver& own,
                                  FleetSize fleet) const;

 private:
  bool is_eligible(Micros now, const ReplicaHealthSummary& summary, const HealthObserver& own,
                   FleetSize fleet) const;

  Settings settings_;
};

}  // namespace flintglade::shared
