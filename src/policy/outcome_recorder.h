// Reports the outcomes of attempts and requests to the components of the decision module that they affect.
// Makes no decisions itself. Not thread-safe; times are seconds.
#pragma once

#include "policy/modules.h"
#include "policy/request.h"

namespace flintglade::policy {

class OutcomeRecorder {
 public:
  // modules must outlive this object.
  explicit OutcomeRecorder(Modules& modules) : modules_(modules) {}

  // The first event of an attempt arrived; attempt.first_event_latency is set.
  void on_first_event(const Request& request, const Attempt& attempt, double now);
  // A later attempt of the request got its first event before this one, which has none yet.
  void on_overtaken(const Request& request, const Attempt& attempt, double now);
  // An attempt ended. cached_tokens: the number of cached prompt tokens that the replica reported.
  void on_attempt_result(const Request& request, const Attempt& attempt, Outcome outcome,
                         double cached_tokens, double now);
  // A request was answered, or was given up without an answer. late: after its latency objective.
  void on_answer(const Request& request, bool late, double now);

 private:
  void record_load(const Attempt& attempt, Outcome outcome, double now);
  void record_success(const Request& request, const Attempt& attempt, double cached_tokens, double now);

  Modules& modules_;
};

}  // namespace flintglade::policy
