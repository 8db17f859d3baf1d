// Converts the start times of replicas to the monotonic clock. Discovery gives them in Unix time, and the
// wall clock of this machine may be stepped before or after the router's start. So the offset between the two
// clocks is read once, at the start, and corrected by what the lists prove:
//   - No replica has started in the future. If a start time would be, the wall clock was behind.
//   - A replica that is listed with a new start time has restarted since the previous list, or at most
//     kListLag earlier. If its start time would be older than that, the wall clock was ahead.
// A start time that was converted once keeps its result when the offset is corrected later, as a changed
// start time means a restart.
#pragma once

#include <unordered_map>

#include "core/ports.h"

namespace flintglade::discovery {

class BootClock {
 public:
  // The maximum age of a list, even when discovery lags.
  static constexpr core::Micros kListLag = 30 * core::kSecond;

  // unix_to_monotonic: monotonic time minus Unix time, read at the start.
  explicit BootClock(core::Micros unix_to_monotonic) : offset_(unix_to_monotonic) {}

  // Converts the start times of a received list from seconds of Unix time to seconds of the monotonic clock.
  void convert_start_times(core::Micros now, core::EndpointListUpdate& update);
  // The same for the list cached before the router's start. It may have any age, so it does not count
  // as the previous list in the rule above.
  void convert_cached_start_times(core::Micros now, core::EndpointListUpdate& update);
  // Discovery sent data: the list held was still current at this time.
  void on_data_received(core::Micros now) { last_received_ = now; }

 private:
  struct Start {
    core::Micros unix_time = 0, monotonic = 0;
  };
  core::Micros monotonic(core::Micros now, core::ReplicaId id, core::Micros unix_time);

  core::Micros offset_;
  core::Micros last_received_ = core::kNever;          // when discovery last sent data; kNever: not yet
  std::unordered_map<core::ReplicaId, Start> starts_;  // the latest known start of each replica
};

}  // namespace flintglade::discovery
