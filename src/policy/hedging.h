// Hedged requests: when a request whose first attempt is silent may get a second one, and after how long.
// After 'The Tail at Scale' (Dean and Barroso, 2013): late enough that few need it, under a budget, and only
// while answers are in time, because hedged requests feed an overload. Not thread-safe.
#pragma once

#include "policy/admission.h"
#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class Hedging {
 public:
  // All outlive this.
  Hedging(const Settings& settings, LearnedState& learned, const Admission& admission);

  // Each request adds to the budget.
  void on_new_request();
  // A first event arrived this long after its attempt was sent, and so shows the usual latency of its class.
  void on_first_event(const Request& request, double latency_s);

  // Whether a hedged request may be sent now.
  bool allowed(double now) const;
  void spend() { learned_.hedge_tokens -= 1.0; }
  // How long a first attempt may be silent, in seconds.
  double delay(const Request& request) const;

 private:
  LearnedState& learned_;
  const Admission& admission_;
};

}  // namespace flintglade::policy
