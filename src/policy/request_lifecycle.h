// The steps of a request, from its arrival to its final answer: admitted or rejected, sent, held, hedged,
// retried, given up. Each step is decided by the component in charge of it. Not thread-safe; times are
// seconds.
//
// A request is finished once it has its final answer, and is erased when none of its attempts is in flight.
// Each unfinished request has a timer at its deadline.
#pragma once

#include <cstdint>
#include <unordered_map>

#include "policy/modules.h"
#include "policy/outcome_recorder.h"
#include "policy/request.h"

namespace flintglade::policy {

class RequestLifecycle {
 public:
  // modules must outlive this object.
  explicit RequestLifecycle(Modules& modules) : modules_(modules), recorder_(modules) {}

  // See the functions of the same names in Balancer.
  void on_request(const NewRequest& received, EventContext context);
  void on_first_event(const FirstEvent& event, EventContext context);
  void on_attempt_result(const AttemptResult& result, EventContext context);
  void on_client_disconnected(RequestId id, EventContext context);
  // A timer of a request expired: its deadline, its hedge delay, or the retry delay of a held request.
  void on_timer(std::uint64_t cookie, EventContext context);

 private:
  // An attempt and its request; both null if either is unknown.
  struct AttemptRef {
    Request* request = nullptr;
    Attempt* attempt = nullptr;
  };
  AttemptRef find_attempt(RequestId id, std::uint32_t number);

  void initialize(Request& request, const NewRequest& received, EventContext context);
  void advance(Request& request, EventContext context);
  bool may_advance(const Request& request, double now) const;
  bool attempts_left(const Request& request) const;
  int pick(const Request& request, double now);
  void send(Request& request, int index, EventContext context);
  void hold_or_give_up(Request& request, EventContext context);
  void on_hedge_timer(Request& request, EventContext context);
  void cancel_unanswered_attempts(const Request& request, const Attempt& answered, EventContext context);
  void give_up(Request& request, EventContext context);
  void reject_or_fail(Request& request, EventContext context);
  void finish(Request& request, EventContext context);
  void erase_if_done(const Request& request);

  const ClassSettings& class_settings(const Request& request) const {
    return class_of(request, modules_.settings);
  }

  Modules& modules_;
  OutcomeRecorder recorder_;
  // Never iterated over: the order is unspecified, and equal events must give equal actions.
  std::unordered_map<RequestId, Request> requests_;
};

}  // namespace flintglade::policy
