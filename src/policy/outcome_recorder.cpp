#include "policy/outcome_recorder.h"

namespace flintglade::policy {
namespace {

// Whether the attempt was in the replica until its answer, or until this router cancelled it or timed it out.
bool ran_to_completion(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::cancelled || outcome == Outcome::timeout;
}

bool is_late(const Request& request, double now) {
  return now - request.arrived_at > request.latency_objective;
}

}  // namespace

void OutcomeRecorder::on_first_event(const Request& request, const Attempt& attempt, double now) {
  modules_.outliers.record_reachable(attempt.replica_index);
  modules_.hedging.on_first_event(request, attempt.first_event_latency);
  modules_.outliers.record_latency(request, attempt, now);
  on_answer(request, is_late(request, now), now);
}

void OutcomeRecorder::on_overtaken(const Request& request, const Attempt& attempt, double now) {
  modules_.outliers.record_latency(request, attempt, now);
}

void OutcomeRecorder::on_attempt_result(const Request& request, const Attempt& attempt, Outcome outcome,
                                        double cached_tokens, double now) {
  record_load(attempt, outcome, now);
  if (outcome == Outcome::ok) record_success(request, attempt, cached_tokens, now);
  // The retry after a timeout before the deadline takes the place of a hedged request.
  if (outcome == Outcome::timeout && now < request.received.deadline) modules_.hedging.spend();
  modules_.outliers.record_outcome(attempt.replica_index, outcome, now);
  if (outcome == Outcome::connect_failed) modules_.fleet_monitor.invalidate();
}

void OutcomeRecorder::record_load(const Attempt& attempt, Outcome outcome, double now) {
  if (ran_to_completion(outcome)) {
    modules_.load.on_attempt_completed(attempt.replica_index, now);
  } else {
    modules_.load.on_attempt_failed(attempt.replica_index, now, attempt.sent_at);
  }
}

void OutcomeRecorder::record_success(const Request& request, const Attempt& attempt, double cached_tokens,
                                     double now) {
  const std::uint32_t kind = modules_.replicas[attempt.replica_index].replica.kind;
  const double latency = attempt.has_first_event ? attempt.first_event_latency : now - attempt.sent_at;
  modules_.learned.prefill_costs[kind].add(latency, request.received.prompt_tokens - cached_tokens);
  modules_.hot_prefixes.on_answer(request, cached_tokens);
  if (attempt.has_first_event) return;
  modules_.outliers.record_latency(request, attempt, now);
  on_answer(request, is_late(request, now), now);
}

void OutcomeRecorder::on_answer(const Request& request, bool late, double now) {
  if (modules_.zones.active() && !request.attempts.empty()) {
    const Replica& replica = modules_.replicas[request.attempts.back().replica_index].replica;
    modules_.zones.on_answer(replica.zone, late, modules_.admission.step(now));
  }
  modules_.admission.on_answer(now, request, late);
}

}  // namespace flintglade::policy
