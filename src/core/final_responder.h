// Sends each request its only final response. Final responses are counted and reported to the shared state
// only here. Used on the core's thread only.
#pragma once

#include <memory>

#include "core/broker_context.h"

namespace flintglade::core {

class FinalResponder {
 public:
  explicit FinalResponder(BrokerContext& context) : context_(context) {}

  // Each of these takes an open request and closes it.
  void finish(RequestState& state);        // the stream is complete
  void abort_stream(RequestState& state);  // the stream broke
  void reject(RequestState& state, Micros retry_after, bool late);
  void fail(RequestState& state, Failure reason);

  // Rejects a request before its admission: it is neither in the request table nor known to the decision
  // module.
  void reject_unadmitted(const RequestReceived& received, Micros retry_after);

  // Closes the request without a final response from this process: its client has disconnected, or another
  // process continues the stream. The caller may discard the returned writer.
  std::shared_ptr<ResponseWriter> close(RequestState& state);

 private:
  using Outcome = SharedStatePort::RequestOutcome;
  std::shared_ptr<ResponseWriter> close_as(RequestState& state, Outcome outcome);
  void report(const Request& request, Outcome outcome) const;

  BrokerContext& context_;
};

}  // namespace flintglade::core
