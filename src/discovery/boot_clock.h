// When replicas started, on the monotonic clock. Discovery tells Unix times, and the wall clock of this
// machine may be stepped, before the router's start or after it: so it is read once, and put right by what
// lists prove.
//   - Nothing has started in the future: a start that would be tells that the wall clock was behind.
//   - A replica that is listed with a new start has started since the list before, or a little earlier, as
//   far
//     as lists may be late: a start long before that tells that the wall clock was ahead.
// A start that was told once keeps its time, however the clock is put right later: a time that changes would
// pass for another start.
#pragma once

#include <unordered_map>

#include "core/ports.h"

namespace flintglade::discovery {

class BootClock {
 public:
  // No list is older than this, however far discovery has fallen behind.
  static constexpr core::Micros kListLag = 30 * core::kSecond;

  // unix_to_monotonic: added to Unix time it gives the monotonic clock's, as the wall clock has it at the
  // start.
  explicit BootClock(core::Micros unix_to_monotonic) : offset_(unix_to_monotonic) {}

  // A list has come: the start times of its entries, seconds of Unix time, become those of the monotonic
  // clock.
  void put_right(core::Micros now, core::EndpointListUpdate& news);
  // The list that the router knew at its start, which may be of any age: it proves nothing of later starts.
  void known(core::Micros now, core::EndpointListUpdate& news);
  // Word from discovery that brought no list: what is held is as new as that.
  void heard(core::Micros now) { heard_ = now; }

 private:
  struct Start {
    core::Micros unix_time = 0, monotonic = 0;
  };
  core::Micros monotonic(core::Micros now, core::ReplicaId id, core::Micros unix_time);

  core::Micros offset_;
  core::Micros heard_ = core::kNever;                  // the last word from discovery; kNever: none yet
  std::unordered_map<core::ReplicaId, Start> starts_;  // the latest known start of each replica
};

}  // namespace flintglade::discovery
