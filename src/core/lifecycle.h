// The phases of the router's process: starting until a replica is ready, serving, draining after SIGTERM,
// stopped. Determines what a draining router still accepts and when it may stop. Used on the core's thread
// only; times in microseconds.
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

  // Changes the phase from starting to serving; does nothing in any other phase.
  void serve();
  // Changes the phase to draining; returns false if the router is already draining or stopped. has_successor:
  // another process serves, and streams migrate there once they have started, so there is time to wait for
  // requests that are partially read by now.
  bool drain(Micros now, bool has_successor);
  // Changes the phase to stopped if the drain is complete. idle: the request table is empty.
  void stop_if_drained(Micros now, bool idle);

  // kNever before the drain.
  Micros drain_started_at() const { return drain_started_at_; }
  // In a drain: the time by which each request has its first event or a final response.
  Micros drain_deadline() const { return drain_started_at_ + settings_.drain_limit; }
  // Whether a request that arrives now is accepted, if there is memory for it.
  bool accepts_requests(Micros now) const;
  // Whether the router is draining and still accepts clients that connect now.
  bool accepts_new_clients(Micros now) const;
  // Sets how many clients are in the middle of sending a request. Called while draining.
  void set_partially_read_requests(std::size_t count, Micros now);
  // A final response was written; it takes some time to reach its client.
  void on_final_response(Micros now) { last_final_response_at_ = now; }
  // When the next of these periods ends; kNever if none is running.
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
