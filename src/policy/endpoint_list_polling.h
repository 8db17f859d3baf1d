// When to subscribe to the endpoint list again: after a failure with exponential backoff and jitter, after a
// list from a cache at once where nobody pushes it. Not thread-safe; the sink is borrowed for the call.
#pragma once

#include "flintglade/policy/balancer.h"
#include "policy/statistics.h"

namespace flintglade::policy {

class EndpointListPolling {
 public:
  // Both outlive this.
  EndpointListPolling(const Settings& settings, RandomState& random) : settings_(settings), random_(random) {}

  // A list, a change of it, or the failure to get one arrived. Sets the timer for the next subscription.
  void on_list(ListKind kind, ActionSink& sink);
  // The timer of kind endpoint_list expired. Subscribes unless a subscription is in force.
  void on_timer(ActionSink& sink);

 private:
  void subscribe_after(double wait_s, ActionSink& sink);

  const Settings& settings_;
  RandomState& random_;
  bool subscribed_ = false;
  int consecutive_failures_ = 0;
};

}  // namespace flintglade::policy
