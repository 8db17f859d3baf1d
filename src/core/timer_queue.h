// The core's timers; the type of a timer determines what is done when it expires. Timers are not cancelled:
// the handler of an expired timer checks whether it still applies. Used on the core's thread only; times in
// microseconds.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <variant>
#include <vector>

#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/time.h"

namespace flintglade::core {

// A timer of the decision module.
struct ModuleTimer {
  std::uint64_t cookie;
};
// The attempt's timeout for the first event.
struct AttemptTimeout {
  AttemptId attempt;
};
// The request's deadline and the grace after it have passed, or the drain deadline has.
struct RequestDeadline {
  RequestId request;
};
// The attempt's stream counts as stalled, unless an event has arrived in the meantime.
struct StallCheck {
  AttemptId attempt;
};
// The end of the hold: the attempt, cancelled by its client, no longer counts as its replica's work.
struct CancelHoldExpiry {
  AttemptId attempt;
};
// The time to apply a deferred entry, in which an older list has a retired replica as ready; see
// EndpointTable.
struct StaleEntryExpiry {
  Endpoint entry;
  std::uint32_t version;  // of the list that contained the entry
  Micros retired_since;   // start of the retirement that the entry contradicts
};

using Timer = std::variant<ModuleTimer, AttemptTimeout, RequestDeadline, StallCheck, CancelHoldExpiry,
                           StaleEntryExpiry>;

class TimerQueue {
 public:
  void set(Micros expires_at, Timer timer);
  // Removes and returns the earliest expired timer; timers with equal times come in the order in which they
  // were set.
  std::optional<Timer> pop_expired(Micros now);
  // When the earliest timer expires; kNever if there is none.
  Micros next_expiry() const { return timers_.empty() ? kNever : timers_.top().expires_at; }

 private:
  struct Entry {
    Micros expires_at = 0;
    std::uint64_t sequence = 0;
    Timer timer;
    bool operator>(const Entry& other) const {
      return expires_at != other.expires_at ? expires_at > other.expires_at : sequence > other.sequence;
    }
  };
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> timers_;
  std::uint64_t timers_set_ = 0;
};

}  // namespace flintglade::core
