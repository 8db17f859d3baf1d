// When to renew the subscription to the endpoint list: after a failure with exponential backoff and jitter;
// shortly after a cached list if lists are sent only on request. Not thread-safe; the sink is borrowed for
// the call.
#pragma once

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
  // The timer of kind endpoint_list expired. Subscribes unless already subscribed.
  void on_timer(ActionSink& sink);

 private:
  void subscribe_after(double wait_s, ActionSink& sink);

  const Settings& settings_;
  RandomState& random_;
  bool subscribed_ = false;
  int consecutive_failures_ = 0;
};

}  // namespace flintglade::policy
