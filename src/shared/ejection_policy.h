// Decides which replicas this router avoids because other routers report that they fail.
//
// - A replica is not avoided because of a single router's reports, nor, in a fleet with several sites,
// because
//   of reports from a single site.
// - At most Settings::max_ejected_share of the ready replicas are avoided.
// - An ejection lasts no longer than the observations are valid.
// - A replica that has served this router since those observations is not avoided.
//
// The decision module can still pick an avoided replica if there is no other choice.
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

// The other routers' observations of one replica.
struct ReplicaHealthSummary {
  core::ReplicaId replica = 0;
  std::uint32_t bad = 0;    // number of routers that report it as failing
  std::uint32_t good = 0;   // number of routers that report it as recovered
  std::uint32_t sites = 0;  // number of sites of the routers that report it as failing
  Micros age = 0;           // age of the newest observation of a failure
};

// Summarizes all observations that have not expired, with one vote for each router except this one. Of
// several processes of one router, only the latest counts.
std::vector<ReplicaHealthSummary> summarize_health(
    Micros now, const Settings& settings,
    const VersionedTable<coordination::HealthObservations>& observations, const std::string& this_router);

// Numbers of live routers and of their sites, including this router.
struct FleetSize {
  std::size_t routers = 0;
  std::size_t sites = 0;
};

class EjectionPolicy {
 public:
  explicit EjectionPolicy(const Settings& settings) : settings_(settings) {}

  struct Ejection {
    core::ReplicaId replica = 0;
    Micros span = 0;  // duration, starting now
  };
  // ready: the replicas that are ready according to this router's endpoint list.
  std::vector<Ejection> ejections(Micros now, const std::vector<ReplicaHealthSummary>& summaries,
                                  const std::set<core::ReplicaId>& ready, const HealthObserver& own,
                                  FleetSize fleet) const;

 private:
  bool is_eligible(Micros now, const ReplicaHealthSummary& summary, const HealthObserver& own,
                   FleetSize fleet) const;

  Settings settings_;
};

}  // namespace flintglade::shared
