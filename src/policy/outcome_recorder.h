// Tells the parts of the decision module how attempts and requests went: what each outcome counts for.
// Decides nothing itself. Not thread-safe; times are seconds.
#pragma once

#include "policy/modules.h"
#include "policy/request.h"

namespace flintglade::policy {

class OutcomeRecorder {
 public:
  // modules outlives this.
  explicit OutcomeRecorder(Modules& modules) : modules_(modules) {}

  // The first event of an attempt arrived; the attempt carries its latency.
  void on_first_event(const Request& request, const Attempt& attempt, double now);
  // A later attempt had its first event before this one, which is still silent.
  void on_overtaken(const Request& request, const Attempt& attempt, double now);
  // An attempt ended. cached_tokens: of its prompt, as the replica reported.
  void on_attempt_result(const Request& request, const Attempt& attempt, Outcome outcome,
                         double cached_tokens, double now);
  // A request got its answer, or none. late: after its latency objective.
  void on_answer(const Request& request, bool late, double now);

 private:
  void record_load(const Attempt& attempt, Outcome outcome, double now);
  void record_success(const Request& request, const Attempt& attempt, double cached_tokens, double now);

  Modules& modules_;
};

}  // namespace flintglade::policy
