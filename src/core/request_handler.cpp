#include "core/request_handler.h"

#include <utility>

namespace flintglade::core {

namespace {

using QuotaStatus = SharedStatePort::QuotaStatus;

// Retry-After of a request that is rejected before admission, for lack of memory or because this process is
// about to end.
constexpr Micros kRetryAfterUnadmitted = kSecond;

policy::QuotaStatus to_policy_status(QuotaStatus status) {
  if (status == QuotaStatus::unknown) return policy::QuotaStatus::unknown;
  return status == QuotaStatus::over ? policy::QuotaStatus::over : policy::QuotaStatus::within;
}

}  // namespace

void RequestHandler::handle(RequestReceived& event) {
  Counters& counters = context_.counters;
  ++counters.requests;
  context_.requests.uncount_queued_body(*event.request);
  context_.trace_event(
      {.kind = TraceEvent::Kind::request_received, .request = event.id, .detail = event.request->trace_id});
  counters.client_retries += event.request->is_retry;
  counters.requests_resumed += event.request->resumed;
  SharedStatePort::QuotaDecision quota;
  if (!admit(event, quota)) return;
  RequestState& state =
      context_.requests.insert(event.id, std::move(event.request), std::move(event.response_writer));
  context_.requests.count_body(*state.request);
  state.received_at = context_.now;
  state.deadline = context_.now + state.request->first_event_timeout;
  context_.timers.set(state.deadline + context_.settings.answer_grace, RequestDeadline{event.id});
  if (context_.lifecycle.draining())
    context_.timers.set(context_.lifecycle.drain_deadline(), RequestDeadline{event.id});
  submit(event.id, state, quota.status);
}

// The bodies of waiting requests are the router's largest use of memory. A request beyond the budget is
// rejected at once; otherwise the process could be killed for lack of memory and lose all its requests. A
// request that arrives on a keep-alive connection late in a drain is rejected too: it could still be open,
// and would be lost, when the process is killed.
bool RequestHandler::admit(const RequestReceived& event, SharedStatePort::QuotaDecision& quota) {
  Counters& counters = context_.counters;
  if (!context_.lifecycle.accepts_requests(context_.now)) {
    ++counters.requests_rejected;
    responder_.reject_unadmitted(event, kRetryAfterUnadmitted);
    return false;
  }
  if (context_.requests.body_bytes() + event.request->bytes() > context_.settings.body_budget) {
    ++counters.requests_shed;
    responder_.reject_unadmitted(event, kRetryAfterUnadmitted);
    return false;
  }
  if (context_.shared_state != nullptr)
    quota = context_.shared_state->check_quota(context_.now, *event.request);
  if (quota.status == QuotaStatus::refused) {
    ++counters.requests_over_quota;
    responder_.reject_unadmitted(event, quota.retry_after);
    return false;
  }
  return true;
}

void RequestHandler::submit(RequestId id, const RequestState& state, QuotaStatus quota) {
  const Request& request = *state.request;
  policy::NewRequest new_request;
  new_request.id = id;
  new_request.request_class = request.request_class;
  new_request.tenant = request.tenant;
  new_request.key = request.session;
  new_request.deadline = to_seconds(state.deadline);
  new_request.prefix_id = request.prefix;
  new_request.prompt_tokens = request.prompt_tokens;
  new_request.prefix_tokens = request.prefix_tokens;
  new_request.output_cap = request.output_cap;
  new_request.hint = request.work_hint;
  new_request.is_retry = request.is_retry;
  new_request.resumed = request.resumed;
  new_request.quota_status = to_policy_status(quota);
  context_.module.on_request(context_.now_seconds(), new_request, context_.actions);
}

void RequestHandler::handle(const ClientDisconnected& event) {
  RequestState* state = context_.requests.find(event.request);
  if (state == nullptr || state->closed()) return;
  ++context_.counters.clients_disconnected;
  trace(TraceEvent::Kind::client_disconnected, event.request, *state);
  responder_.close(*state);
  context_.module.on_client_disconnected(context_.now_seconds(), event.request, context_.actions);
  // This includes the streaming attempt, which the module may not cancel. Its replica may continue to work;
  // the module is notified of the attempt's outcome in any case.
  attempts_.cancel_all(event.request, static_cast<std::uint32_t>(state->attempts.size()));
  context_.requests.mark_if_finished(event.request, *state);
}

void RequestHandler::handle(const ClientWritable& event) {
  RequestState* state = context_.requests.find(event.request);
  if (state == nullptr || state->closed() || !state->client_blocked) return;
  state->client_blocked = false;
  state->last_event_at = context_.now;
  if (!state->streaming()) return;
  const AttemptId attempt{event.request, static_cast<std::uint32_t>(state->streaming_attempt)};
  context_.replica_client(*state).pause_attempt(attempt, false);
}

void RequestHandler::handle_expired(const RequestDeadline& timer) {
  RequestState* state = context_.requests.find(timer.request);
  if (!awaits_first_event(state)) return;
  ++context_.counters.requests_overdue;
  trace(TraceEvent::Kind::request_failed, timer.request, *state, "overdue");
  fail(*state);
  context_.module.on_client_disconnected(context_.now_seconds(), timer.request, context_.actions);
  context_.requests.mark_if_finished(timer.request, *state);
}

void RequestHandler::execute(const RejectRequest& action) {
  RequestState* state = context_.requests.find(action.request);
  if (!awaits_first_event(state)) return;
  trace(TraceEvent::Kind::request_rejected, action.request, *state);
  responder_.reject(*state, to_micros(action.retry_after_seconds), context_.now >= state->deadline);
  context_.requests.mark_if_finished(action.request, *state);
}

void RequestHandler::execute(const FailRequest& action) {
  RequestState* state = context_.requests.find(action.request);
  if (!awaits_first_event(state)) return;
  trace(TraceEvent::Kind::request_failed, action.request, *state);
  fail(*state);
  context_.requests.mark_if_finished(action.request, *state);
}

void RequestHandler::on_drain_started() {
  for (const auto& [id, state] : context_.requests.all()) {
    if (!state.closed()) {
      context_.timers.set(context_.lifecycle.drain_deadline(), RequestDeadline{id});
      continue;
    }
    // The client has disconnected: attempts on hold are released now.
    for (std::uint32_t attempt = 0; attempt < state.attempts.size(); ++attempt)
      context_.timers.set(context_.lifecycle.drain_started_at(), CancelHoldExpiry{{id, attempt}});
  }
}

bool RequestHandler::awaits_first_event(const RequestState* state) {
  return state != nullptr && !state->closed() && !state->streaming();
}

void RequestHandler::trace(TraceEvent::Kind kind, RequestId id, const RequestState& state,
                           std::string_view detail) const {
  context_.trace_event(
      {.kind = kind, .request = id, .detail = detail, .took = context_.now - state.received_at});
}

void RequestHandler::fail(RequestState& state) {
  responder_.fail(state, context_.now >= state.deadline ? Failure::deadline : Failure::error);
}

}  // namespace flintglade::core
