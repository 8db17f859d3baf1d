// What packets of other routers show of time: how long a packet was on its way beyond the quickest one, and
// the Unix time that most routers agree on.
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
  // The Unix time of that router's packet, less our own at this moment.
  void on_unix_time(Micros now, const std::string& router, Micros difference);
  // The median, over all routers that were heard lately and this one, of how far their Unix time is ahead of
  // ours.
  Micros median_unix_difference(Micros now) const;

 private:
  struct Clock {
    std::uint64_t birth = 0;
    Micros min_difference = 0;   // of receiving less sending, each on its own clock
    Micros unix_difference = 0;  // theirs less ours
    Micros heard_at = -1;
  };
  std::map<std::string, Clock> clocks_;  // by router
};

}  // namespace flintglade::shared
