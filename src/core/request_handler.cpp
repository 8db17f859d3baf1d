#include "core/request_handler.h"

#include <utility>

namespace flintglade::core {

namespace {

using QuotaStatus = SharedStatePort::QuotaStatus;

// Retry-After of a request that is rejected for lack of memory, or because this process is about to end.
constexpr Micros kRetryAfterUnseen = kSecond;

policy::QuotaStatus to_module(QuotaStatus status) {
  if (status == QuotaStatus::unknown) return policy::QuotaStatus::unknown;
  return status == QuotaStatus::over ? policy::QuotaStatus::over : policy::QuotaStatus::within;
}

}  // namespace

void RequestHandler::handle(RequestReceived& event) {
  Counters& counters = context_.counters;
  ++counters.requests;
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
  state.deadline = context_.now + state.request->patience;
  context_.timers.set(state.deadline + context_.settings.answer_grace, RequestDeadline{event.id});
  if (context_.lifecycle.draining())
    context_.timers.set(context_.lifecycle.drain_deadline(), RequestDeadline{event.id});
  submit(event.id, state, quota.status);
}

// The bodies of waiting requests are the router's largest use of memory: past the budget a new one is
// rejected on the spot, rather than have the process killed with all it holds. So is one that comes on a kept
// connection long into a drain: it could still be open when the process is killed, and would be lost.
bool RequestHandler::admit(const RequestReceived& event, SharedStatePort::QuotaDecision& quota) {
  Counters& counters = context_.counters;
  if (!context_.lifecycle.accepts_requests(context_.now)) {
    ++counters.requests_rejected;
    responder_.reject_unseen(event, kRetryAfterUnseen);
    return false;
  }
  if (context_.requests.body_bytes() + event.request->bytes() > context_.settings.body_budget) {
    ++counters.requests_shed;
    responder_.reject_unseen(event, kRetryAfterUnseen);
    return false;
  }
  if (context_.shared_state != nullptr)
    quota = context_.shared_state->check_quota(context_.now, *event.request);
  if (quota.status == QuotaStatus::refused) {
    ++counters.requests_over_quota;
    responder_.reject_unseen(event, quota.retry_after);
    return false;
  }
  return true;
}

void RequestHandler::submit(RequestId id, const RequestState& state, QuotaStatus quota) {
  const Request& request = *state.request;
  policy::NewRequest query;
  query.id = id;
  query.request_class = request.request_class;
  query.tenant = request.tenant;
  query.key = request.session;
  query.deadline = to_seconds(state.deadline);
  query.prefix_id = request.prefix;
  query.prompt_tokens = request.prompt_tokens;
  query.prefix_tokens = request.prefix_tokens;
  query.output_cap = request.output_cap;
  query.hint = request.work_hint;
  query.is_retry = request.is_retry;
  query.resumed = request.resumed;
  query.quota_status = to_module(quota);
  context_.module.on_request(context_.now_seconds(), query, context_.actions);
}

void RequestHandler::handle(const ClientDisconnected& event) {
  RequestState* state = context_.requests.find(event.request);
  if (state == nullptr || state->closed()) return;
  ++context_.counters.clients_disconnected;
  trace(TraceEvent::Kind::client_disconnected, event.request, *state);
  responder_.close(*state);
  context_.module.on_client_disconnected(context_.now_seconds(), event.request, context_.actions);
  // Also the attempt whose answer streams, which the module may not cancel. Its replica may work on; the
  // module is notified of its outcome all the same.
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
    // What its client gave up is held no longer.
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
