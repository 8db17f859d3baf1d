// Policy for connection eviction: which client connections to close when their number approaches the limit.
// Pure: no clock, no I/O.
//
// Thousands of clients may connect and never complete a request, while each genuine request arrives on a new
// connection. Every connection costs a descriptor whether or not it sends anything, so connections are closed
// to accept new ones:
//  - Above half of the capacity, connections are closed after their next response, and those that have been
//    idle for long are evicted.
//  - Above seven eighths, the least valuable connections are evicted, each after a grace period in which a
//    genuine client would have continued: first those that have received a response, then those that have
//    sent nothing, then those that stalled in the middle of a request.
//  - A connection with an open request, or with a response still being written, is never evicted.
#pragma once

#include <cstddef>

#include "core/ports.h"

namespace flintglade::http {

struct ConnectionState {
  bool busy = false;               // a request is open, or a response is not fully written yet
  bool received_request = false;   // a complete request has been received on it
  bool partial_request = false;    // a request has been received in part
  core::Micros connected_at = 0;   // when the connection was established
  core::Micros last_activity = 0;  // when a byte was last received or sent
};

class ConnectionEviction {
 public:
  // How long a connection stays open after a response. The client has read the response by then; if it still
  // uses the connection, it sends its next request again on another one.
  static constexpr core::Micros kAnsweredGrace = 100 * core::kMilli;
  // How long a connection without a complete request may be silent. A client writes as soon as it has
  // established the connection, and one that takes 2 s to send its request sends it in pieces: the gap is a
  // round trip, or the retransmission timeout of one lost segment (at least 200 ms).
  static constexpr core::Micros kStalledGrace = 250 * core::kMilli;

  explicit ConnectionEviction(std::size_t capacity) : capacity_(capacity) {}
  bool above_soft_limit(std::size_t connections) const { return connections > capacity_ / 2; }
  bool above_hard_limit(std::size_t connections) const { return connections > capacity_ - capacity_ / 8; }
  std::size_t capacity() const { return capacity_; }

  // Position in the order of eviction: connections of a lower rank are evicted first. kNotEvictable:
  // it must not be evicted yet.
  static constexpr int kNotEvictable = 3;
  static int eviction_rank(const ConnectionState& connection, core::Micros now) {
    if (connection.busy) return kNotEvictable;
    if (connection.partial_request)
      return now - connection.last_activity >= kStalledGrace ? 2 : kNotEvictable;
    if (connection.received_request)
      return now - connection.last_activity >= kAnsweredGrace ? 0 : kNotEvictable;
    return now - connection.connected_at >= kStalledGrace ? 1 : kNotEvictable;
  }

 private:
  std::size_t capacity_;
};

}  // namespace flintglade::http
