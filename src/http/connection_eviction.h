// Whom of many clients to let go when their connections fill the room that there is. Pure: no clock, no I/O.
//
// Clients may come by the thousands and never finish a request, while each true request comes on a new
// connection. A connection costs a descriptor whatever it says, so room is made for those that come:
//  - beyond half of the room, answers end their connection, and those that are quiet for long go;
//  - beyond seven eighths, those go of which least is lost, each after a time in which a true client would
//    have gone on: first who has had an answer, then who has said nothing, then who stopped in its request;
//  - who has a request open, or is being written to, never goes.
#pragma once

#include <cstddef>

#include "core/ports.h"

namespace flintglade::http {

struct Client {
  bool busy = false;           // a request is open, or an answer is not written yet
  bool asked = false;          // a whole request has come on it
  bool half = false;           // a part of a request has come, and not the rest
  core::Micros connected = 0;  // when the connection was made
  core::Micros moved = 0;      // when it last brought a byte, or took one
};

class ConnectionEviction {
 public:
  // Who goes first, after how long. An answer has been read by then; a client that still uses the connection
  // sends its request once more on another.
  static constexpr core::Micros kAnswered = 100 * core::kMilli;
  // A client writes as soon as it is connected, and one that takes 2 s for its request does so in pieces:
  // within a round trip, or the wait for one lost segment (200 ms at the least).
  static constexpr core::Micros kStopped = 250 * core::kMilli;

  explicit ConnectionEviction(std::size_t room) : room_(room) {}
  bool filling(std::size_t connections) const { return connections > room_ / 2; }
  bool pressing(std::size_t connections) const { return connections > room_ - room_ / 8; }
  std::size_t room() const { return room_; }

  // Who may go, and who sooner: lower goes first. kNobody: it may not go yet.
  static constexpr int kNobody = 3;
  static int order(const Client& c, core::Micros now) {
    if (c.busy) return kNobody;
    if (c.half) return now - c.moved >= kStopped ? 2 : kNobody;
    if (c.asked) return now - c.moved >= kAnswered ? 0 : kNobody;
    return now - c.connected >= kStopped ? 1 : kNobody;
  }

 private:
  std::size_t room_;
};

}  // namespace flintglade::http
