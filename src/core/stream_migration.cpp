#include "core/stream_migration.h"

#include <algorithm>
#include <unordered_set>
#include <variant>

namespace flintglade::core {

namespace {

// The request that a queued event refers to; 0 if it refers to none in the request table.
RequestId request_of(const Event& event) {
  if (const auto* events = std::get_if<AttemptEvents>(&event)) return events->attempt.request;
  if (const auto* ended = std::get_if<AttemptEnded>(&event)) return ended->attempt.request;
  if (const auto* rejected = std::get_if<AttemptRejected>(&event)) return rejected->attempt.request;
  if (const auto* disconnected = std::get_if<ClientDisconnected>(&event)) return disconnected->request;
  if (const auto* writable = std::get_if<ClientWritable>(&event)) return writable->request;
  return 0;
}

// Whether the streaming attempt is the only running attempt.
bool only_stream_runs(const RequestState& state) {
  const auto running = std::count_if(state.attempts.begin(), state.attempts.end(),
                                     [](const AttemptState& attempt) { return attempt.running; });
  return running == 1 && state.attempts[static_cast<std::size_t>(state.streaming_attempt)].running;
}

}  // namespace

std::vector<MigratableStream> StreamMigration::migratable_streams(Wire wire) const {
  std::unordered_set<RequestId> requests_with_events;
  for (const Event& event : context_.events) requests_with_events.insert(request_of(event));
  std::vector<MigratableStream> streams;
  for (const auto& [id, state] : context_.requests.all()) {
    if (state.closed() || !state.streaming() || state.client_blocked) continue;
    if (state.request->wire != wire || requests_with_events.contains(id) || !only_stream_runs(state))
      continue;
    const auto attempt = static_cast<std::uint32_t>(state.streaming_attempt);
    streams.push_back({.id = id,
                       .attempt = {id, attempt},
                       .replica = state.attempts[attempt].replica,
                       .received_at = state.received_at,
                       .last_event_at = state.last_event_at,
                       .request = state.request,
                       .response_writer = state.response_writer});
  }
  return streams;
}

void StreamMigration::migrated_out(const MigratableStream& stream) {
  const RunningAttempt running = context_.requests.find_running(stream.attempt);
  if (!running || running.request->closed()) return;
  ++context_.counters.streams_migrated_out;
  running.attempt->running = false;
  responder_.close(*running.request);
  context_.module.on_client_disconnected(context_.now_seconds(), stream.id, context_.actions);
  policy::AttemptResult result;
  result.id = stream.id;
  result.attempt = stream.attempt.attempt;
  result.replica = stream.replica;
  result.outcome =
      policy::Outcome::inconclusive;  // this process's module does not learn from how the attempt ends
  result.closed = true;
  context_.module.on_attempt_result(context_.now_seconds(), result, context_.actions);
  context_.requests.mark_if_finished(stream.id, *running.request);
}

RequestId StreamMigration::migrated_in(const MigratableStream& stream) {
  const RequestId id = context_.requests.reserve(stream.request->trace_id);
  if (id == 0) return 0;
  RequestState& state = context_.requests.insert(id, stream.request, stream.response_writer);
  context_.requests.count_body(*stream.request);
  state.received_at = stream.received_at;
  state.deadline = kNever;  // for the first event, which was already sent
  state.last_event_at = stream.last_event_at;
  state.streaming_attempt = 0;
  state.attempts.push_back({.replica = stream.replica, .started_at = stream.received_at});
  ++context_.counters.streams_migrated_in;
  context_.timers.set(stream.last_event_at + context_.settings.stall_timeout, StallCheck{{id, 0}});
  return id;
}

}  // namespace flintglade::core
