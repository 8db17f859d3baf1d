// What packets of other routers show of time: how long a packet was on its way beyond the quickest one, and
// the Unix time that most routers agree on.
//
// A packet shows its sender's Unix time as it was when the packet was sent, so a late packet looks like a
// clock that is behind. Of each router's packets the one that was on its way for the shortest time counts, as
// in the clock filter of NTP (RFC 5905, section 10); an older one counts for less, as clocks drift apart.
//
// No I/O; times are microseconds of this router's monotonic clock where not said otherwise.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "core/ports.h"

namespace flintglade::shared {

using core::Micros;

class FleetClock {
 public:
  // A packet of this process has come. sent: by its sender's clock. Returns how much longer than the quickest
  // packet of the same process it was on its way.
  Micros on_packet(Micros now, const std::string& router, std::uint64_t birth, Micros sent);
  // What the clock of that router showed when it sent the packet that has come now.
  void on_unix_time(Micros now, const std::string& router, Micros unix_time);
  // The median of the Unix times of this router and of all that were heard lately.
  Micros fleet_unix_time(Micros now, Micros own_unix_time) const;
  // Other routers whose Unix time is known and not too old.
  std::size_t known_clocks(Micros now) const;

 private:
  struct Clock {
    std::uint64_t birth = 0;
    Micros min_difference = 0;  // of receiving less sending, each on its own clock
    Micros heard_at = -1;
    // Of the packet that counts: their Unix time less our monotonic clock, so that a step of our own Unix
    // time changes nothing here.
    Micros unix_offset = 0;
    Micros measured_at = 0;
  };
  static bool is_current(Micros now, const Clock& clock);

  std::map<std::string, Clock> clocks_;  // by router
};

}  // namespace flintglade::shared
