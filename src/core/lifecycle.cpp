#include "core/lifecycle.h"

#include <algorithm>

namespace flintglade::core {

const char* to_string(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::stopped:
      return "stopped";
  }
  return "?";
}

void Lifecycle::serve() {
  if (phase_ == Phase::starting) phase_ = Phase::serving;
}

bool Lifecycle::drain(Micros now, bool has_successor) {
  if (phase_ == Phase::draining || phase_ == Phase::stopped) return false;
  phase_ = Phase::draining;
  has_successor_ = has_successor;
  drain_started_at_ = now;
  return true;
}

void Lifecycle::stop_if_drained(Micros now, bool idle) {
  if (draining() && idle && now >= drained_at()) phase_ = Phase::stopped;
}

bool Lifecycle::accepts_requests(Micros now) const {
  return phase_ != Phase::stopped && (!draining() || now < accepts_requests_until());
}

bool Lifecycle::accepts_new_clients(Micros now) const {
  return draining() && now < drain_started_at_ + settings_.drain_accept_window;
}

void Lifecycle::set_partially_read_requests(std::size_t count, Micros now) {
  partially_read_requests_ = count;
  // These requests get rejected, and the process waits until the rejections have reached their clients.
  if (count > 0 && !accepts_requests(now)) last_final_response_at_ = std::min(now, drain_deadline());
}

Micros Lifecycle::next_timer(Micros now, bool idle) const {
  Micros next = kNever;
  if (draining() && idle) next = std::min(next, drained_at());
  if (accepts_new_clients(now)) next = std::min(next, drain_started_at_ + settings_.drain_accept_window);
  if (draining() && accepts_requests(now)) next = std::min(next, accepts_requests_until());
  return next;
}

Micros Lifecycle::accepts_requests_until() const {
  return drain_started_at_ +
         (has_successor_ ? settings_.drain_accept_window_with_successor : settings_.drain_accept_window);
}

// The grace after the last final response is needed because the connections of a process are reset when it
// ends: during a rolling restart, responses that had just been written were lost in transit.
Micros Lifecycle::drained_at() const {
  const Micros accepted_until = partially_read_requests_ > 0
                                    ? accepts_requests_until()
                                    : drain_started_at_ + settings_.drain_accept_window;
  return std::max(accepted_until, last_final_response_at_) + settings_.final_response_grace;
}

}  // namespace flintglade::core
