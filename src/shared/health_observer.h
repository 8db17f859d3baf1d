// What this router's own attempts show of the health of replicas, as it is told to other routers: attempts in
// a row that failed, and replicas that serve again.
//
// No I/O; times are of one monotonic clock. One thread, the core's.
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
  // The replica serves.
  void on_first_event(Micros now, core::ReplicaId replica);

  // What to tell others: replicas that fail now, and those that have lately begun to serve again. The newest
  // first.
  std::vector<coordination::ReplicaObservation> observations(Micros now) const;
  // True once after something to tell has changed.
  bool take_changed() { return std::exchange(changed_, false); }
  // When the replica last served this router. Empty: never.
  std::optional<Micros> last_served(core::ReplicaId replica) const;

 private:
  struct Record {
    std::uint32_t failed_in_row = 0;
    std::uint32_t served_in_row = 0;
    Micros at = 0;  // of the last attempt
    Micros served_at = -1;
    bool was_failing = false;
  };
  Record& record_of(Micros now, core::ReplicaId replica);
  // Makes room in the table.
  void prune(Micros now);

  Settings settings_;
  std::map<core::ReplicaId, Record> records_;
  bool changed_ = false;
};

}  // namespace flintglade::shared
