// When to subscribe to the endpoint list: after a failure with exponential backoff and jitter, shortly after
// a cached list if lists are sent only on request, and again if a subscription gets no answer.
//
// Only the timer that was set last counts. Timers cannot be cancelled, so each one has a number in its
// cookie, and an earlier one is ignored when it expires. This way there is one call at a time, and the number
// of calls does not grow with the time for which the list is unavailable. Not thread-safe; the sink is
// borrowed for the call.
#pragma once

#include <cstdint>

#include "flintglade/policy/balancer.h"
#include "policy/statistics.h"

namespace flintglade::policy {

class EndpointListPolling {
 public:
  // Both must outlive this object.
  EndpointListPolling(const Settings& settings, RandomState& random) : settings_(settings), random_(random) {}

  // A list, a change to it, or the failure to fetch one arrived. Sets the timer for the next subscription
  // unless this confirms that the router is subscribed.
  void on_list(ListKind kind, ActionSink& sink);
  // The timer of kind endpoint_list with this number expired. Subscribes if it is the one that was set last,
  // unless already subscribed.
  void on_timer(std::uint64_t number, ActionSink& sink);

 private:
  enum class State {
    unsubscribed,         // nothing was requested yet, and no timer is set
    subscribe_scheduled,  // the timer for the next subscription is set
    requested,            // subscribed, and the answer has not come yet
    subscribed,           // the answer has come
  };

  void on_failure(ActionSink& sink);
  void on_cached_list(ActionSink& sink);
  void schedule_subscribe(double wait_s, ActionSink& sink);
  // Sets the timer that counts from now on.
  void set_timer(double mean_wait_s, ActionSink& sink);

  const Settings& settings_;
  RandomState& random_;
  State state_ = State::unsubscribed;
  std::uint64_t latest_timer_ = 0;
  int consecutive_failures_ = 0;
};

}  // namespace flintglade::policy
