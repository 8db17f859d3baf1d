// The work of requests relative to this router's mean one, and the rate at which work arrives. Not
// thread-safe.
#pragma once

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class RequestWork {
 public:
  // learned outlives this. window: seconds over which arrivals count.
  RequestWork(LearnedState& learned, double window_s) : learned_(learned), window_s_(window_s) {}

  // Sets the work of a new request, by its hint, or else by the length of its prompt, and counts it.
  void measure(Request& request, double now);
  // This router's new requests a second, in units of the mean one.
  double arrival_rate(double now) const;

 private:
  LearnedState& learned_;
  double window_s_;
};

}  // namespace flintglade::policy
