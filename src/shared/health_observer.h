// Replica health as observed in this router's own attempts, for reporting to other routers: consecutive
// failed attempts, and recoveries.
//
// No I/O; times are of one monotonic clock. Used on the core's thread only.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination.pb.h"
#include "flintglade/policy/balancer.h"
#include "shared/settings.h"

namespace flintglade::shared {

class HealthObserver {
 public:
  explicit HealthObserver(const Settings& settings) : settings_(settings) {}

  void on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome);
  // The replica has sent the first event of a response, so it is serving.
  void on_first_event(Micros now, core::ReplicaId replica);

  // The observations to report to other routers, newest first: replicas that are failing, and replicas that
  // have recently recovered.
  std::vector<coordination::ReplicaObservation> observations(Micros now) const;
  // Whether the observations to report have changed since the last call.
  bool take_changed() { return std::exchange(changed_, false); }
  // When the replica last served this router; empty if never.
  std::optional<Micros> last_served(core::ReplicaId replica) const;

 private:
  struct Record {
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_successes = 0;
    Micros last_attempt_at = 0;
    Micros served_at = -1;  // -1: never
    bool was_failing = false;
  };
  Record& record_of(Micros now, core::ReplicaId replica);
  // Drops expired records, and all records if none has expired.
  void prune(Micros now);

  Settings settings_;
  std::map<core::ReplicaId, Record> records_;
  bool changed_ = false;
};

}  // namespace flintglade::shared
