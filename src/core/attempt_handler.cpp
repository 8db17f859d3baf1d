#include "core/attempt_handler.h"

#include <algorithm>
#include <utility>

namespace flintglade::core {

using policy::Outcome;

namespace {

// An attempt timeout that is capped at the request's deadline expires this much after the deadline, as in the
// simulator: the module's own deadline timer then expires first, and the attempt counts as cancelled rather
// than timed out.
constexpr Micros kTimeoutSlackAtDeadline = 5 * kMilli;

}  // namespace

void AttemptHandler::handle(AttemptEvents& event) {
  context_.queued_event_bytes -= event.bytes.size();
  const AttemptId id = event.attempt;
  const RunningAttempt running = context_.requests.find_running(id);
  if (!running || running.attempt->stopped) return;
  RequestState& request = *running.request;
  const bool other_attempt_streams = request.streaming() && !request.is_streaming_attempt(id);
  if (request.closed() || other_attempt_streams) return cancel(id, running, Outcome::cancelled);
  if (!request.streaming()) {
    select_stream(id, request, *running.attempt);
    context_.timers.set(context_.now + context_.settings.stall_timeout, StallCheck{id});
  }
  request.last_event_at = context_.now;
  const bool client_keeps_up = request.response_writer->write_events(event.bytes);
  if (client_keeps_up || request.client_blocked) return;
  request.client_blocked = true;
  ++context_.counters.slow_clients;
  context_.replica_client(request).pause_attempt(id, true);
}

void AttemptHandler::handle(AttemptEnded& event) {
  const AttemptId id = event.attempt;
  const RunningAttempt running = context_.requests.find_running(id);
  if (!running) return;
  RequestState& request = *running.request;
  const bool complete_without_events = event.outcome == Outcome::ok && !request.streaming() &&
                                       !request.closed() && !running.attempt->stopped &&
                                       request.request->may_be_empty;
  if (complete_without_events) select_stream(id, request, *running.attempt);
  end(id, running, event.outcome, event.cached_tokens, std::move(event.report));
}

// A request that a replica rejects as invalid is the client's fault. The outcome is not counted against the
// replica, which would otherwise look unhealthy because of faulty clients, and no other replica is tried.
void AttemptHandler::handle(const AttemptRejected& event) {
  const AttemptId id = event.attempt;
  const RunningAttempt running = context_.requests.find_running(id);
  if (!running) return;
  if (!running.request->closed() && !running.request->streaming()) {
    ++context_.counters.requests_invalid;
    responder_.fail(*running.request, Failure::rejected);
    context_.module.on_client_disconnected(context_.now_seconds(), id.request, context_.actions);
  }
  end(id, running, Outcome::cancelled);
}

void AttemptHandler::handle_expired(const AttemptTimeout& timer) {
  const RunningAttempt running = context_.requests.find_running(timer.attempt);
  // The timeout covers the time to the first event only; an attempt that already streams has none.
  if (!running || running.attempt->stopped || running.request->is_streaming_attempt(timer.attempt)) return;
  cancel(timer.attempt, running, Outcome::timeout);
}

// A machine that disappears in the middle of a response sends nothing, and TCP does not detect it. An aborted
// stream serves the client better than a silent one: the client can resume it.
void AttemptHandler::handle_expired(const StallCheck& timer) {
  const RunningAttempt running = context_.requests.find_running(timer.attempt);
  if (!running || running.request->closed()) return;
  const RequestState& request = *running.request;
  const Micros idle_time = request.client_blocked ? 0 : context_.now - request.last_event_at;
  const Micros stall_timeout = context_.settings.stall_timeout;
  if (idle_time < stall_timeout) {
    return context_.timers.set(context_.now + stall_timeout - idle_time, StallCheck{timer.attempt});
  }
  ++context_.counters.streams_stalled;
  cancel(timer.attempt, running, Outcome::reset);
}

void AttemptHandler::handle_expired(const CancelHoldExpiry& timer) {
  const RunningAttempt running = context_.requests.find_running(timer.attempt);
  if (running && running.attempt->held) end(timer.attempt, running, Outcome::cancelled);
}

void AttemptHandler::execute(const StartAttempt& action) {
  RequestState* request = context_.requests.find(action.request);
  if (request == nullptr) return;
  const AttemptId id{action.request, static_cast<std::uint32_t>(request->attempts.size())};
  request->attempts.push_back({.replica = action.replica, .started_at = context_.now});
  const Micros remaining = request->deadline - context_.now;
  if (request->closed() || request->streaming() || remaining <= 0) {
    // The attempt is never sent; the module gets its outcome in the next iteration.
    context_.events.emplace_back(AttemptEnded{id, Outcome::inconclusive, 0, {}});
    return;
  }
  ++context_.counters.attempts;
  if (id.attempt > 0) ++context_.counters.further_attempts;
  context_.trace_event({.kind = TraceEvent::Kind::attempt_started,
                        .request = id.request,
                        .attempt = id.attempt,
                        .replica = action.replica,
                        .took = context_.now - request->received_at});
  const bool until_deadline = action.timeout_seconds == 0.0;
  const Micros timeout = until_deadline ? remaining : std::min(remaining, to_micros(action.timeout_seconds));
  const Micros slack = timeout == remaining ? kTimeoutSlackAtDeadline : 0;
  context_.timers.set(context_.now + timeout + slack, AttemptTimeout{id});
  context_.replica_client(*request).start_attempt(id, action.replica, request->request, timeout);
}

void AttemptHandler::execute(const StopAttempt& action) {
  const AttemptId id = action.attempt;
  const RunningAttempt running = context_.requests.find_running(id);
  if (!running || running.attempt->held || running.request->is_streaming_attempt(id)) return;
  running.attempt->stopped = true;
  // The replica client cancels the attempt now. The module gets the outcome in the next iteration, since it
  // must not be called while its actions are executed.
  context_.replica_client(*running.request).cancel_attempt(id);
  context_.events.emplace_back(AttemptEnded{id, Outcome::cancelled, 0, {}});
}

void AttemptHandler::cancel_all(RequestId id, std::uint32_t attempts) {
  for (std::uint32_t i = 0; i < attempts; ++i) {
    const AttemptId attempt{id, i};
    const RunningAttempt running = context_.requests.find_running(attempt);
    if (!running) continue;
    if (context_.settings.cancel_hold > 0) {
      hold(attempt, running);
    } else {
      cancel(attempt, running, Outcome::cancelled);
    }
  }
}

// From here on the client gets the response of this attempt and of no other.
void AttemptHandler::select_stream(AttemptId id, RequestState& request, const AttemptState& attempt) {
  request.streaming_attempt = static_cast<int>(id.attempt);
  const Micros latency = context_.now - attempt.started_at;
  if (context_.shared_state != nullptr) context_.shared_state->on_first_event(context_.now, attempt.replica);
  context_.trace_event({.kind = TraceEvent::Kind::first_event,
                        .request = id.request,
                        .attempt = id.attempt,
                        .replica = attempt.replica,
                        .took = latency});
  context_.requests.drop_content(request);  // no attempt is sent any more
  const policy::FirstEvent first_event{id.request, id.attempt, attempt.replica, to_seconds(latency)};
  context_.module.on_first_event(context_.now_seconds(), first_event, context_.actions);
}

void AttemptHandler::cancel(AttemptId id, RunningAttempt running, Outcome outcome) {
  context_.replica_client(*running.request).cancel_attempt(id);
  end(id, running, outcome);
}

// Inference engines often finish a request that they have started, even though the client has disconnected.
// The attempt is cancelled now; the module gets its outcome, and counts the replica's capacity as free, only
// after the hold, or at once during a drain.
void AttemptHandler::hold(AttemptId id, RunningAttempt running) {
  context_.replica_client(*running.request).cancel_attempt(id);
  running.attempt->stopped = running.attempt->held = true;
  ++context_.counters.attempts_held;
  context_.requests.drop_content(*running.request);
  const Micros hold_time = context_.lifecycle.draining() ? 0 : context_.settings.cancel_hold;
  context_.timers.set(context_.now + hold_time, CancelHoldExpiry{id});
}

void AttemptHandler::end(AttemptId id, RunningAttempt running, Outcome outcome, std::uint32_t cached_tokens,
                         std::vector<float> report) {
  RequestState& request = *running.request;
  AttemptState& attempt = *running.attempt;
  attempt.running = false;
  const bool is_streaming = request.is_streaming_attempt(id);
  // The client gets nothing of a response that completed in the iteration in which its attempt was stopped,
  // or that completed without any event although the request does not allow an empty response.
  if (outcome == Outcome::ok && !is_streaming) outcome = Outcome::cancelled;
  const std::size_t index = static_cast<std::size_t>(outcome) % context_.counters.outcomes.size();
  ++context_.counters.outcomes[index];
  if (context_.shared_state != nullptr)
    context_.shared_state->on_attempt_ended(context_.now, attempt.replica, outcome);
  if (context_.trace) trace_end(id, attempt, kOutcomes[index], cached_tokens);
  if (is_streaming && !request.closed()) {
    if (outcome == Outcome::ok) {
      responder_.finish(request);
    } else {
      responder_.abort_stream(request);
    }
  }
  policy::AttemptResult result;
  result.id = id.request;
  result.attempt = id.attempt;
  result.replica = attempt.replica;
  result.outcome = outcome;
  result.latency = to_seconds(context_.now - attempt.started_at);
  result.closed = request.closed();
  result.cached_tokens = cached_tokens;
  result.report = std::move(report);
  context_.module.on_attempt_result(context_.now_seconds(), result, context_.actions);
  context_.requests.mark_if_finished(id.request, request);
}

void AttemptHandler::trace_end(AttemptId id, const AttemptState& attempt, const char* outcome,
                               std::uint32_t cached_tokens) {
  const policy::Replica& replica = context_.endpoints.find_or_add(attempt.replica).replica;
  context_.trace_event({.kind = TraceEvent::Kind::attempt_ended,
                        .request = id.request,
                        .attempt = id.attempt,
                        .replica = attempt.replica,
                        .detail = outcome,
                        .took = context_.now - attempt.started_at,
                        .cached_tokens = cached_tokens,
                        .replica_kind = replica.kind,
                        .replica_zone = replica.zone});
}

}  // namespace flintglade::core
