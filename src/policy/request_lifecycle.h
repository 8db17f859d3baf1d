// The steps of a request, from its arrival to its final answer: admitted or rejected, sent, held, hedged,
// retried, given up. Each step asks the module that decides it. Not thread-safe; times are seconds.
//
// A request is over once it has its final answer, and is forgotten when none of its attempts is in flight.
// Each request that is not over has a timer at its deadline.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "policy/modules.h"
#include "policy/outcome_recorder.h"
#include "policy/request.h"

namespace flintglade::policy {

class RequestLifecycle {
 public:
  // modules outlives this.
  explicit RequestLifecycle(Modules& modules) : modules_(modules), recorder_(modules) {}

  // The events of the Balancer's interface of the same names.
  void on_request(const NewRequest& received, EventContext context);
  void on_first_event(const FirstEvent& event, EventContext context);
  void on_attempt_result(const AttemptResult& result, EventContext context);
  void on_client_disconnected(RequestId id, EventContext context);
  // A timer of a request expired: its deadline, its hedge delay, or the retry of a held one.
  void on_timer(std::uint64_t cookie, EventContext context);

 private:
  // An attempt together with its request; both empty if either is unknown.
  struct AttemptRef {
    Request* request = nullptr;
    Attempt* attempt = nullptr;
  };
  AttemptRef find_attempt(RequestId id, std::uint32_t number);

  void admit(Request& request, const NewRequest& received, EventContext context);
  void advance(Request& request, EventContext context);
  bool may_advance(const Request& request, double now) const;
  bool attempts_left(const Request& request) const;
  int pick(const Request& request, double now);
  void send(Request& request, int index, EventContext context);
  void hold_or_give_up(Request& request, EventContext context);
  void on_hedge_timer(Request& request, EventContext context);
  void cancel_silent_attempts(const Request& request, const Attempt& answered, EventContext context);
  void give_up(Request& request, EventContext context);
  void reject_or_fail(Request& request, EventContext context);
  void finish(Request& request, EventContext context);
  void erase_if_done(const Request& request);

  const ClassSettings& class_settings(const Request& request) const {
    return class_of(request, modules_.settings);
  }

  Modules& modules_;
  OutcomeRecorder recorder_;
  std::unordered_map<RequestId, Request> requests_;  // looked up only, never walked: its order is not defined
};

}  // namespace flintglade::policy
