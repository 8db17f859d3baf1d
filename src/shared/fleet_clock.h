// Estimates from the timestamps in other routers' packets: how much longer a packet was in transit than the
// fastest one, and the Unix time of the fleet.
//
// A packet carries its sender's Unix time at sending, so a delayed packet looks like a clock that is behind.
// Of each router's packets the one with the shortest transit time counts, as in the clock filter of NTP (RFC
// 5905, section 10). Measurements of Unix time lose weight with age, since clocks drift apart; the shortest
// transit time from a process does not age.
//
// No I/O. Times are microseconds of this router's monotonic clock unless stated otherwise.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/ports.h"

namespace flintglade::shared {

using core::Micros;

class FleetClock {
 public:
  // Records a packet from the router process `router`, `birth`, sent at `sent` on the sender's clock. Returns
  // how much longer it was in transit than the fastest packet from the same process.
  Micros on_packet(Micros now, const std::string& router, std::uint64_t birth, Micros sent);
  // Records the sender's Unix time from a packet that has just arrived.
  void on_unix_time(Micros now, const std::string& router, Micros unix_time);
  // The median of the Unix times of this router and of all others with a recent measurement.
  Micros fleet_unix_time(Micros now, Micros own_unix_time) const;
  // Number of other routers whose Unix time was received recently enough to count.
  std::size_t known_clocks(Micros now) const;

 private:
  struct Clock {
    std::uint64_t birth = 0;
    Micros min_difference = 0;  // lowest receiving time minus sending time, each on its own router's clock
    Micros received_at = -1;    // of the last Unix time; -1: none yet
    // From the packet that counts: the sender's Unix time minus this router's monotonic clock, so that a step
    // of this router's Unix time does not affect it.
    Micros unix_offset = 0;
    Micros measured_at = 0;
  };
  static bool is_current(Micros now, const Clock& clock);

  std::map<std::string, Clock> clocks_;  // by router
};

}  // namespace flintglade::shared
