// Settings of the core: time limits (microseconds) and the budget for request bodies.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace flintglade::core {

// Of the time for which a draining replica may still be written to, what a router may use: the rule counts
// the write itself, which may come kHoldUp after our look at the clock.
inline Micros write_grace(Micros grace) { return std::max<Micros>(0, grace - kHoldUp); }

struct BrokerSettings {
  // How long a replica may be written to once it is known to be draining or gone; see write_grace().
  Micros drain_grace = 2 * kSecond;
  // After a request's deadline, for its final response.
  Micros answer_grace = 20 * kMilli;
  // Bytes of request bodies held at once.
  std::size_t body_budget = 48u << 20;
  // A stream without an event for this long counts as broken.
  Micros stall_timeout = 2 * kSecond;
  // No endpoint list is older than this; discovery's own lag is under 6 s.
  Micros list_lag = 10 * kSecond;
  // How long a draining router accepts new requests. One that comes 0.7 s after SIGTERM may still be open at
  // SIGKILL, and SIGTERM may be seen kHoldUp late.
  Micros drain_accept_window = 700 * kMilli - kHoldUp - 50 * kMilli;
  // The same where a successor process can go on with the answers.
  Micros drain_accept_window_with_successor = 2400 * kMilli;
  // After the start of a drain, when each accepted request has its first event or a final response.
  Micros drain_limit = 3400 * kMilli;
  // From the last final response to the end of the process, for the response to reach its client.
  Micros final_response_grace = 300 * kMilli;
  // How long an attempt that its client gave up counts as its replica's work.
  Micros cancel_hold = 0;
};

}  // namespace flintglade::core
