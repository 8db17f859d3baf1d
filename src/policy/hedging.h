// Hedged requests: when and after how long a second attempt may be sent while the first has no response yet.
// Based on 'The Tail at Scale' (Dean and Barroso, 2013): late enough that few requests need it, limited by a
// budget, and only while answers are in time, because hedged requests make an overload worse. Not
// thread-safe.
#pragma once

#include "policy/admission.h"
#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class Hedging {
 public:
  // All references must outlive this object.
  Hedging(const Settings& settings, LearnedState& learned, const Admission& admission);

  // Adds to the budget.
  void on_new_request();
  // A first event arrived this long after its attempt was sent: updates the usual latency of the class.
  void on_first_event(const Request& request, double latency_s);

  // Whether a hedged request may be sent now.
  bool allowed(double now) const;
  void spend() { learned_.hedge_tokens -= 1.0; }
  // Seconds without a first event after which a hedged request is sent.
  double delay(const Request& request) const;

 private:
  LearnedState& learned_;
  const Admission& admission_;
};

}  // namespace flintglade::policy
