// Gives each request its one final response. The only place where final responses are counted and reported to
// the shared state. On the core's thread only.
#pragma once

#include <memory>

#include "core/broker_context.h"

namespace flintglade::core {

class FinalResponder {
 public:
  explicit FinalResponder(BrokerContext& context) : context_(context) {}

  // Each for an open request, which is closed by it.
  void finish(RequestState& state);        // its stream is complete
  void abort_stream(RequestState& state);  // its stream broke
  void reject(RequestState& state, Micros retry_after, bool late);
  void fail(RequestState& state, Failure why);

  // For a request that the decision module has not seen and that is not in the table.
  void reject_unseen(const RequestReceived& received, Micros retry_after);

  // Closes the request without a final response from this process: its client is gone, or another process
  // goes on with it. The writer may be dropped.
  std::shared_ptr<ResponseWriter> close(RequestState& state);

 private:
  using Outcome = SharedStatePort::RequestOutcome;
  std::shared_ptr<ResponseWriter> close_as(RequestState& state, Outcome outcome);
  void report(const Request& request, Outcome outcome) const;

  BrokerContext& context_;
};

}  // namespace flintglade::core
