// Policy for connection eviction: which client connections give way when descriptors or memory are short.
// Pure: no clock, no I/O.
//
// Thousands of clients may connect and never complete a request, while each genuine request arrives on a new
// connection. Every connection costs a descriptor whether or not it sends anything, so connections are closed
// to accept new ones:
//  - Above half of the capacity, connections are closed after their next response, and those that have been
//    idle for long are evicted.
//  - Above seven eighths, the least valuable connections are evicted, each after a grace period in which a
//    genuine client would have continued: first those that have received a response, then those that have
//    sent nothing or send a few bytes now and then, then those that stalled in the middle of a request.
//  - A connection with an open request, or with a response still being written, is never evicted.
//
// A request that is still being received costs memory too. Where the budget is exceeded, one that holds at
// least half of the average gives way, so that small requests are served however many large ones are never
// completed. Half: one large request raises the average, and must not thereby become the only one above it.
#pragma once

#include <compare>
#include <cstddef>
#include <optional>
#include <span>

#include "core/ports.h"

namespace flintglade::http {

struct ConnectionState {
  bool busy = false;                     // a request is open, or a response is not fully written yet
  bool received_request = false;         // a complete request has been received on it
  bool partial_request = false;          // a request has been received in part
  core::Micros connected_at = 0;         // when the connection was established
  core::Micros last_activity = 0;        // of a partial request: its last progress; else the last byte
  core::Micros request_started_at = 0;   // of a partial request
  bool received_since_progress = false;  // a partial request: bytes, too few to be progress
  std::size_t held_bytes = 0;            // allocated for what has been received of a request
};

class ConnectionEviction {
 public:
  // How long a connection stays open after a response. The client has read the response by then; if it still
  // uses the connection, it sends its next request again on another one.
  static constexpr core::Micros kAnsweredGrace = 100 * core::kMilli;
  // How long a connection without a complete request may be silent or make no progress. A client writes as
  // soon as it has established the connection, and one that takes 2 s to send its request sends it in pieces:
  // the gap is a round trip, or the retransmission timeout of one lost segment (at least 200 ms).
  static constexpr core::Micros kStalledGrace = 250 * core::kMilli;
  // How long a client may go on sending without progress. One that takes 2 s to send its request, in however
  // many pieces, makes progress more often than that (ReceiveProgress).
  static constexpr core::Micros kTricklingGrace = 150 * core::kMilli;
  // Most clients send their request at once: it is complete within this time.
  static constexpr core::Micros kCompletionGrace = 100 * core::kMilli;

  explicit ConnectionEviction(std::size_t capacity) : capacity_(capacity) {}
  bool above_soft_limit(std::size_t connections) const { return connections > capacity_ / 2; }
  bool above_hard_limit(std::size_t connections) const { return connections > capacity_ - capacity_ / 8; }
  std::size_t capacity() const { return capacity_; }

  // Position in the order of eviction: connections of a lower rank are evicted first. kNotEvictable:
  // it must not be evicted yet.
  static constexpr int kNotEvictable = 3;
  static int eviction_rank(const ConnectionState& connection, core::Micros now) {
    if (connection.busy) return kNotEvictable;
    if (connection.partial_request) {
      if (is_trickling(connection, now)) return 1;
      return now - connection.last_activity >= kStalledGrace ? 2 : kNotEvictable;
    }
    if (connection.received_request)
      return now - connection.last_activity >= kAnsweredGrace ? 0 : kNotEvictable;
    return now - connection.connected_at >= kStalledGrace ? 1 : kNotEvictable;
  }

  // The position of a partial request among those that give way where memory is short; the lowest goes first.
  // One of which only a few bytes come now and then goes first, then a stalled one; of each kind the one
  // without progress for longest. Of those that make progress the newest one goes: the oldest is the closest
  // to its end. One that has just begun goes last, since most requests are complete in a moment.
  struct Priority {
    int group;
    core::Micros order;
    auto operator<=>(const Priority&) const = default;
  };
  static constexpr int kTricklingGroup = 0, kStalledGroup = 1, kProgressingGroup = 2, kBegunGroup = 3;
  static Priority priority(const ConnectionState& partial, core::Micros now) {
    if (is_trickling(partial, now)) return {kTricklingGroup, partial.last_activity};
    if (now - partial.last_activity >= kStalledGrace) return {kStalledGroup, partial.last_activity};
    if (now - partial.request_started_at >= kCompletionGrace)
      return {kProgressingGroup, -partial.request_started_at};
    return {kBegunGroup, partial.last_activity};
  }

  // Chooses the partial request that is refused because the memory budget is exceeded: always one, if any
  // partial request holds memory.
  static std::optional<std::size_t> choose_for_memory(std::span<const ConnectionState> connections,
                                                      core::Micros now) {
    std::size_t holders = 0, held = 0;
    for (const ConnectionState& connection : connections) {
      if (!connection.partial_request || connection.held_bytes == 0) continue;
      ++holders;
      held += connection.held_bytes;
    }
    std::optional<std::size_t> chosen;
    for (std::size_t i = 0; i < connections.size(); ++i) {
      const ConnectionState& connection = connections[i];
      if (!connection.partial_request || connection.held_bytes == 0) continue;
      if (2 * connection.held_bytes < held / holders) continue;
      if (!chosen || priority(connection, now) < priority(connections[*chosen], now)) chosen = i;
    }
    return chosen;
  }

 private:
  static bool is_trickling(const ConnectionState& partial, core::Micros now) {
    return partial.received_since_progress && now - partial.last_activity >= kTricklingGrace;
  }

  std::size_t capacity_;
};

}  // namespace flintglade::http
