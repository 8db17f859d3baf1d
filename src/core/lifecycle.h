// The phases of the router's process: starting until a replica is ready, serving, draining after SIGTERM,
// stopped. Says what a draining router still accepts and when it may stop. On the core's thread only; times
// in microseconds.
#pragma once

#include <cstddef>

#include "core/broker_settings.h"
#include "core/time.h"

namespace flintglade::core {

enum class Phase { starting, serving, draining, stopped };
const char* to_string(Phase phase);

class Lifecycle {
 public:
  // settings: borrowed, and has to outlive this object.
  explicit Lifecycle(const BrokerSettings& settings) : settings_(settings) {}

  Phase phase() const { return phase_; }
  bool draining() const { return phase_ == Phase::draining; }

  // From starting to serving; nothing in any other phase.
  void serve();
  // To draining; false if that has been done already. has_successor: another process serves, and answers
  // migrate there once they have begun, so requests that are partially read by now can be waited for.
  bool drain(Micros now, bool has_successor);
  // To stopped, if the drain is over. idle: no request is in the table.
  void stop_if_drained(Micros now, bool idle);

  // kNever before the drain.
  Micros drain_started_at() const { return drain_started_at_; }
  // In a drain: by when each request has its first event or a final response.
  Micros drain_deadline() const { return drain_started_at_ + settings_.drain_limit; }
  // Whether a request that comes now is taken, memory permitting.
  bool accepts_requests(Micros now) const;
  // Draining, and clients that connect now are still accepted.
  bool accepts_new_clients(Micros now) const;
  // How many clients are in the middle of sending a request; told while draining.
  void set_partially_read_requests(std::size_t count, Micros now);
  // A final response was given, which takes some time to reach its client.
  void on_final_response(Micros now) { last_final_response_at_ = now; }
  // When the next of these times is over; kNever if none is waited for.
  Micros next_timer(Micros now, bool idle) const;

 private:
  Micros accepts_requests_until() const;
  Micros drained_at() const;

  const BrokerSettings& settings_;
  Phase phase_ = Phase::starting;
  Micros drain_started_at_ = kNever;
  bool has_successor_ = false;
  std::size_t partially_read_requests_ = 0;
  Micros last_final_response_at_ = 0;
};

}  // namespace flintglade::core
