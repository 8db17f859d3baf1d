#include "policy/request_lifecycle.h"

#include <algorithm>

#include "policy/held_requests.h"
#include "policy/retry_rules.h"
#include "policy/timer_cookie.h"

namespace flintglade::policy {
namespace {

constexpr double kMaxDeadlineS = 4000.0;  // from now; longer than any hard limit
constexpr double kMaxPromptTokens = 1e9;  // of a prompt
constexpr double kTimerSlackS = 1e-6;     // a timer that expires this early counts as on time

// Whether an attempt with this outcome may have had an effect.
bool may_have_run(Outcome outcome) {
  return outcome != Outcome::full && outcome != Outcome::connect_failed && outcome != Outcome::inconclusive;
}
// Whether the replica failed for a reason other than load.
bool is_fault(Outcome outcome) {
  return outcome == Outcome::error || outcome == Outcome::connect_failed || outcome == Outcome::reset;
}

double latency_objective(const ClassSettings& request_class, double prompt_tokens) {
  return request_class.latency_objective +
         request_class.latency_objective_per_1000_tokens * prompt_tokens / 1000.0;
}

}  // namespace

void RequestLifecycle::on_request(const NewRequest& received, EventContext context) {
  const auto [entry, is_new] = requests_.try_emplace(received.id);
  if (!is_new) return;
  Request& request = entry->second;
  initialize(request, received, context);
  const double random = unit_interval(mix(modules_.random.seed, received.id));
  if (modules_.admission.rejects(request, random)) return reject_or_fail(request, context);
  advance(request, context);
}

// Clamps the request's numbers, determines its work, quota status and key, and sets its deadline timer.
void RequestLifecycle::initialize(Request& request, const NewRequest& received, EventContext context) {
  const double now = context.now;
  request.received = received;
  request.received.deadline = clamp_finite(received.deadline, now, now + kMaxDeadlineS);
  request.received.prompt_tokens = clamp_finite(received.prompt_tokens, 0.0, kMaxPromptTokens);
  request.received.prefix_tokens = clamp_finite(received.prefix_tokens, 0.0, kMaxPromptTokens);
  request.class_index = std::min<std::size_t>(received.request_class, modules_.settings.classes.size() - 1);
  request.arrived_at = now;
  request.latency_objective = latency_objective(class_settings(request), request.received.prompt_tokens);
  modules_.work.measure(request, now);
  modules_.quotas.charge(request, now);
  modules_.hot_prefixes.choose_key(request, now);
  context.sink.set_timer(std::max(0.0, request.received.deadline - now),
                         timer_cookie(TimerKind::deadline, received.id));
  modules_.retry_budget.on_new_request();
  modules_.hedging.on_new_request();
}

// The next step of a request that is neither finished nor streaming: an attempt, a wait, or the final answer.
void RequestLifecycle::advance(Request& request, EventContext context) {
  if (!may_advance(request, context.now)) {
    if (!any_in_flight(request)) give_up(request, context);
    return;
  }
  const int index = pick(request, context.now);
  if (index >= 0) {
    if (!request.attempts.empty()) modules_.retry_budget.spend();
    return send(request, index, context);
  }
  if (!any_in_flight(request)) hold_or_give_up(request, context);
}

bool RequestLifecycle::may_advance(const Request& request, double now) const {
  if (now >= request.received.deadline) return false;
  if (!may_send(request, class_settings(request), modules_.settings, now)) return false;
  return request.attempts.empty() || !modules_.retry_budget.exhausted();
}

bool RequestLifecycle::attempts_left(const Request& request) const {
  return static_cast<int>(request.attempts.size()) < modules_.settings.max_attempts;
}

int RequestLifecycle::pick(const Request& request, double now) {
  if (modules_.fleet_monitor.update_if_stale(now)) {
    modules_.zones.update(modules_.fleet, modules_.work.arrival_rate(now), modules_.quotas.total_per_s());
  }
  return modules_.picker.pick(request, now);
}

void RequestLifecycle::send(Request& request, int index, EventContext context) {
  const double now = context.now;
  modules_.slow_start.spend(request, index, now);
  modules_.load.on_attempt_sent(index, now);
  request.attempts.push_back(Attempt{.replica_index = index, .sent_at = now});
  const double time_left = request.received.deadline - now;
  const bool idempotent = class_settings(request).semantics != Semantics::not_idempotent;
  const bool may_hedge = modules_.settings.may_duplicate && idempotent;
  double attempt_timeout = 0.0;
  // If hedged requests are not allowed, an attempt without a response times out early enough for a retry.
  if (!may_hedge && idempotent && attempts_left(request) && modules_.hedging.allowed(now))
    attempt_timeout = std::min(time_left, modules_.hedging.delay(request));
  context.sink.attempt(request.received.id, modules_.replicas[index].replica.id, attempt_timeout);
  if (may_hedge && attempts_left(request)) {
    context.sink.set_timer(std::min(time_left, modules_.hedging.delay(request)),
                           timer_cookie(TimerKind::hedge, request.received.id));
  }
}

// No replica is eligible now: none is ready, the ready ones have been tried or are barred by the idempotency
// scope, or the remaining ones are in slow start with exhausted budgets. A request that was never sent is
// held in each of these cases, until held_until(). After an attempt it is held only while a ready replica is
// left that it may be sent to: it does not wait for another one to become ready.
void RequestLifecycle::hold_or_give_up(Request& request, EventContext context) {
  const double until = held_until(request, class_settings(request));
  const bool tried_all = !request.attempts.empty() && !modules_.picker.any_candidate_left(request);
  if (context.now >= until || tried_all) return give_up(request, context);
  context.sink.set_timer(held_retry_delay(request, until, context.now),
                         timer_cookie(TimerKind::held_request, request.received.id));
}

void RequestLifecycle::on_timer(std::uint64_t cookie, EventContext context) {
  const auto found = requests_.find(timer_number(cookie));
  if (found == requests_.end() || found->second.finished || found->second.streaming) return;
  Request& request = found->second;
  const TimerKind kind = timer_kind(cookie);
  if (kind == TimerKind::hedge) return on_hedge_timer(request, context);
  if (kind == TimerKind::held_request) {
    if (!any_in_flight(request)) advance(request, context);
    return;
  }
  if (context.now < request.received.deadline - kTimerSlackS)  // the timer expired early
    return context.sink.set_timer(request.received.deadline - context.now, cookie);
  // Each request gets its final answer by its deadline, regardless of the state of its attempts.
  give_up(request, context);
}

void RequestLifecycle::on_hedge_timer(Request& request, EventContext context) {
  int in_flight = 0;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.in_flight) continue;
    ++in_flight;
    modules_.outliers.record_overdue(attempt.replica_index, context.now);
  }
  const bool too_late = context.now >= useful_until(request, class_settings(request));
  if (in_flight != 1 || too_late || !modules_.hedging.allowed(context.now)) return;
  modules_.hedging.spend();
  advance(request, context);
}

void RequestLifecycle::on_first_event(const FirstEvent& event, EventContext context) {
  const auto [request, attempt] = find_attempt(event.id, event.attempt);
  if (attempt == nullptr || attempt->has_first_event) return;
  attempt->has_first_event = true;
  attempt->first_event_latency = context.now - attempt->sent_at;
  request->streaming = true;
  recorder_.on_first_event(*request, *attempt, context.now);
  cancel_unanswered_attempts(*request, *attempt, context);
}

void RequestLifecycle::cancel_unanswered_attempts(const Request& request, const Attempt& answered,
                                                  EventContext context) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& other = request.attempts[i];
    if (!other.in_flight || other.has_first_event) continue;
    if (other.sent_at < answered.sent_at) recorder_.on_overtaken(request, other, context.now);
    if (modules_.settings.may_cancel)
      context.sink.stop_attempt(request.received.id, static_cast<std::uint16_t>(i));
  }
}

void RequestLifecycle::on_attempt_result(const AttemptResult& result, EventContext context) {
  const auto [request, attempt] = find_attempt(result.id, result.attempt);
  if (attempt == nullptr || !attempt->in_flight) return;
  attempt->in_flight = false;
  attempt->may_have_run = may_have_run(result.outcome);
  attempt->faulty = is_fault(result.outcome);
  recorder_.on_attempt_result(*request, *attempt, result.outcome, result.cached_tokens, context.now);
  if (result.closed) return finish(*request, context);
  if (request->finished) return erase_if_done(*request);
  if (!request->streaming && !any_in_flight(*request)) advance(*request, context);
}

void RequestLifecycle::on_client_disconnected(RequestId id, EventContext context) {
  const auto found = requests_.find(id);
  if (found != requests_.end() && !found->second.finished) finish(found->second, context);
}

RequestLifecycle::AttemptRef RequestLifecycle::find_attempt(RequestId id, std::uint32_t number) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || number >= found->second.attempts.size()) return {};
  return {&found->second, &found->second.attempts[number]};
}

// Sends the final answer for a request that no replica answered.
void RequestLifecycle::give_up(Request& request, EventContext context) {
  // Faulty and unreachable replicas are no sign of overload: admitting fewer requests would not have helped.
  const auto is_faulty = [](const Attempt& attempt) { return attempt.faulty; };
  const bool caused_by_load = request.attempts.empty()
                                  ? modules_.fleet.ready > 0.0
                                  : !std::all_of(request.attempts.begin(), request.attempts.end(), is_faulty);
  if (caused_by_load) recorder_.on_answer(request, true, context.now);
  reject_or_fail(request, context);
}

void RequestLifecycle::reject_or_fail(Request& request, EventContext context) {
  const Settings& settings = modules_.settings;
  const double retry_after =
      settings.retry_after ? std::min(settings.max_retry_after, request.latency_objective) : 0.0;
  if (may_reject(request, class_settings(request))) {
    context.sink.reject(request.received.id, retry_after);
  } else {
    context.sink.fail(request.received.id);
  }
  finish(request, context);
}

// May erase the request.
void RequestLifecycle::finish(Request& request, EventContext context) {
  request.finished = true;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& attempt = request.attempts[i];
    if (attempt.in_flight && !attempt.has_first_event && modules_.settings.may_cancel)
      context.sink.stop_attempt(request.received.id, static_cast<std::uint16_t>(i));
  }
  erase_if_done(request);
}

void RequestLifecycle::erase_if_done(const Request& request) {
  if (request.finished && !any_in_flight(request)) requests_.erase(request.received.id);
}

}  // namespace flintglade::policy
