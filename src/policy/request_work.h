// The work of requests relative to this router's mean request, and the rate at which work arrives. Not
// thread-safe.
#pragma once

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class RequestWork {
 public:
  // learned must outlive this object. window_s: time window over which arrivals count, in seconds.
  RequestWork(LearnedState& learned, double window_s) : learned_(learned), window_s_(window_s) {}

  // Sets the work of a new request from its hint, or from the length of its prompt if it has none, and counts
  // it.
  void measure(Request& request, double now);
  // The work of this router's new requests per second, in units of the mean request.
  double arrival_rate(double now) const;

 private:
  LearnedState& learned_;
  double window_s_;
};

}  // namespace flintglade::policy
