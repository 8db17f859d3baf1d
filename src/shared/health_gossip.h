// What routers tell one another of model replicas. Pure; times are of one monotonic clock.
//
//   Witness   what this router saw itself: calls in a row that failed, and that it serves again
//   weigh     what all have said, one count for each router; and of how many sites they are
//   Caution   what of it this router acts on
//
// Nobody is avoided because of one router, or of one site where the fleet has several; never more than a
// stated part of the ready replicas; never past the age of the words; never against what this router has seen
// itself meanwhile. What is avoided can still be picked where nothing else is left: the module judges.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination.pb.h"
#include "flintglade/policy/balancer.h"
#include "shared/replicated_counter.h"
#include "shared/settings.h"

namespace flintglade::shared {

class HealthObserver {
 public:
  explicit HealthObserver(const Settings& settings) : settings_(settings) {}
  void on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome);
  void first_event(Micros now, core::ReplicaId replica);  // it serves
  // What to tell: replicas that fail now, and those that have lately begun to serve again.
  std::vector<coordination::ReplicaObservation> cases(Micros now) const;
  // True once after something to tell has changed.
  bool changed() { return std::exchange(changed_, false); }
  // When it last served us; kNever's opposite if never.
  std::optional<Micros> served(core::ReplicaId replica) const;

 private:
  struct Known {
    std::uint32_t failed = 0, served = 0;  // in a row
    Micros at = 0, served_at = -1;
    bool was_bad = false;
  };
  void prune(Micros now);
  Settings settings_;
  std::map<core::ReplicaId, Known> known_;
  bool changed_ = false;
};

struct ReplicaHealthSummary {
  core::ReplicaId replica = 0;
  std::uint32_t bad = 0, good = 0, sites = 0;  // sites of those who say it is bad
  Micros age = 0;                              // of the newest bad word
};
// All that was heard and still counts; of the words of one router, the last life's.
std::vector<ReplicaHealthSummary> weigh(Micros now, const Settings& settings,
                                        const VersionedTable<coordination::HealthObservations>& heard,
                                        const std::string& but_not);

class EjectionPolicy {
 public:
  explicit EjectionPolicy(const Settings& settings) : settings_(settings) {}
  struct Warning {
    core::ReplicaId replica = 0;
    Micros span = 0;  // from now on
  };
  // ready: those that this router's own list calls ready. sites: of the living routers. routers: how many
  // live.
  std::vector<Warning> act(Micros now, const std::vector<ReplicaHealthSummary>& opinions,
                           const std::set<core::ReplicaId>& ready, const HealthObserver& own,
                           std::size_t routers, std::size_t sites) const;

 private:
  Settings settings_;
};

}  // namespace flintglade::shared
