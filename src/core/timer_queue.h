// The core's timers, each of a type that says what is to be done when it expires. Timers are not cancelled:
// who handles one looks whether it still matters. On the core's thread only; times in microseconds.
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

// The decision module asked for it.
struct ModuleTimer {
  std::uint64_t cookie;
};
// The attempt has had its time to the first event.
struct AttemptTimeout {
  AttemptId attempt;
};
// The request's deadline and the grace after it are over, or a drain can wait for it no longer.
struct RequestDeadline {
  RequestId request;
};
// When the attempt's stream counts as stalled, unless an event has come meanwhile.
struct StallCheck {
  AttemptId attempt;
};
// The attempt that its client gave up no longer counts as its replica's work.
struct CancelHoldExpiry {
  AttemptId attempt;
};
// An older list said that a draining replica is ready. By now, that is believed; see EndpointTable.
struct StaleEntryExpiry {
  Endpoint entry;
  std::uint32_t version;  // of the list that had the entry
  Micros retired_since;   // the retirement that the entry contradicts
};

using Timer = std::variant<ModuleTimer, AttemptTimeout, RequestDeadline, StallCheck, CancelHoldExpiry,
                           StaleEntryExpiry>;

class TimerQueue {
 public:
  void set(Micros expires_at, Timer timer);
  // Takes the earliest timer that has expired by now; timers of one time in the order in which they were set.
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
