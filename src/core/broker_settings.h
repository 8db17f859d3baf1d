// Settings of the core: time limits (microseconds) and the budget for request bodies.
#pragma once

#include <algorithm>
#include <cstddef>

#include "core/time.h"

namespace flintglade::core {

// The part of a draining replica's grace that this router may use. The grace applies to the time of the write
// itself, which may come kMaxSchedulingDelay after the router has read the clock.
inline Micros write_grace(Micros grace) { return std::max<Micros>(0, grace - kMaxSchedulingDelay); }

struct BrokerSettings {
  // How long attempts may still be written to a replica that is known to be draining or gone; see
  // write_grace().
  Micros drain_grace = 2 * kSecond;
  // Time after a request's deadline in which the module may still give its final response.
  Micros answer_grace = 20 * kMilli;
  // Maximum total size of the request bodies in memory, in bytes.
  std::size_t body_budget = 48u << 20;
  // A stream without an event for this long counts as broken.
  Micros stall_timeout = 2 * kSecond;
  // Maximum age of an endpoint list on arrival; the lag of service discovery itself is under 6 s.
  Micros list_lag = 10 * kSecond;
  // How long a draining router accepts new requests. A request that arrives 0.7 s after SIGTERM may still be
  // open at SIGKILL, and SIGTERM may be handled kMaxSchedulingDelay late.
  Micros drain_accept_window = 700 * kMilli - kMaxSchedulingDelay - 50 * kMilli;
  // The same with a successor process, which can continue the streams.
  Micros drain_accept_window_with_successor = 2400 * kMilli;
  // Time after the start of a drain by which each accepted request has its first event or a final response.
  Micros drain_limit = 3400 * kMilli;
  // Time between the last final response and the end of the process, so that the response reaches its client.
  Micros final_response_grace = 300 * kMilli;
  // How long an attempt still counts as its replica's work after its client has disconnected; 0: not at all.
  Micros cancel_hold = 0;
};

}  // namespace flintglade::core
