#include "core/final_responder.h"

namespace flintglade::core {

void FinalResponder::finish(RequestState& state) {
  ++context_.counters.requests_served;
  close_as(state, Outcome::served)->finish();
}

void FinalResponder::abort_stream(RequestState& state) {
  ++context_.counters.streams_broken;
  close_as(state, Outcome::failed)->abort_stream();
}

void FinalResponder::reject(RequestState& state, Micros retry_after, bool late) {
  ++context_.counters.requests_rejected;
  close_as(state, Outcome::refused)->reject(retry_after, late);
}

void FinalResponder::fail(RequestState& state, Failure reason) {
  ++context_.counters.requests_failed;
  close_as(state, Outcome::failed)->fail(reason);
}

void FinalResponder::reject_unadmitted(const RequestReceived& received, Micros retry_after) {
  ++context_.counters.answers_of(received.request->request_class).refused;
  context_.requests.release(received.request->trace_id);
  report(*received.request, Outcome::refused);
  received.response_writer->reject(retry_after, false);
}

std::shared_ptr<ResponseWriter> FinalResponder::close(RequestState& state) {
  context_.lifecycle.on_final_response(context_.now);
  return context_.requests.close(state);
}

std::shared_ptr<ResponseWriter> FinalResponder::close_as(RequestState& state, Outcome outcome) {
  Answers& answers = context_.counters.answers_of(state.request->request_class);
  switch (outcome) {
    case Outcome::served:
      ++answers.served;
      break;
    case Outcome::refused:
      ++answers.refused;
      break;
    case Outcome::failed:
      ++answers.failed;
      break;
  }
  report(*state.request, outcome);
  return close(state);
}

void FinalResponder::report(const Request& request, Outcome outcome) const {
  if (context_.shared_state != nullptr) context_.shared_state->on_request_finished(request, outcome);
}

}  // namespace flintglade::core
