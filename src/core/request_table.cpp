#include "core/request_table.h"

#include <algorithm>
#include <utility>

namespace flintglade::core {

bool RequestState::has_running_attempt() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const AttemptState& attempt) { return attempt.running; });
}

RequestId RequestTable::reserve(const std::string& trace_id) {
  return open_trace_ids_.insert(trace_id).second ? ++last_id_ : 0;
}

RequestState& RequestTable::insert(RequestId id, std::shared_ptr<const Request> request,
                                   std::shared_ptr<ResponseWriter> response_writer) {
  RequestState& state = requests_[id];
  state.request = std::move(request);
  state.response_writer = std::move(response_writer);
  ++open_requests_;
  return state;
}

RequestState* RequestTable::find(RequestId id) {
  const auto it = requests_.find(id);
  return it == requests_.end() ? nullptr : &it->second;
}

RunningAttempt RequestTable::find_running(AttemptId id) {
  RequestState* state = find(id.request);
  if (state == nullptr || id.attempt >= state->attempts.size()) return {};
  AttemptState& attempt = state->attempts[id.attempt];
  return attempt.running ? RunningAttempt{state, &attempt} : RunningAttempt{};
}

std::shared_ptr<ResponseWriter> RequestTable::close(RequestState& state) {
  --open_requests_;
  open_trace_ids_.erase(state.request->trace_id);
  return std::exchange(state.response_writer, nullptr);
}

void RequestTable::mark_if_finished(RequestId id, const RequestState& state) {
  if (state.closed() && !state.has_running_attempt()) finished_.push_back(id);
}

void RequestTable::erase_finished() {
  for (const RequestId id : std::exchange(finished_, {})) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || it->second.has_running_attempt()) continue;
    body_bytes_ -= it->second.request->bytes();
    requests_.erase(it);
  }
}

void RequestTable::drop_content(RequestState& state) {
  const auto properties = std::make_shared<Request>();
  static_cast<RequestProperties&>(*properties) = *state.request;
  body_bytes_ -= state.request->bytes();
  state.request = properties;
  body_bytes_ += state.request->bytes();
}

}  // namespace flintglade::core
