// Admits or rejects requests on arrival, and ends them when their client disconnects, their deadline expires
// or the decision module decides so. AttemptHandler handles their attempts. Used on the core's thread only.
#pragma once

#include <string_view>

#include "core/attempt_handler.h"
#include "core/broker_context.h"
#include "core/final_responder.h"

namespace flintglade::core {

class RequestHandler {
 public:
  RequestHandler(BrokerContext& context, FinalResponder& responder, AttemptHandler& attempts)
      : context_(context), responder_(responder), attempts_(attempts) {}

  // Events of servers.
  void handle(RequestReceived& event);
  void handle(const ClientDisconnected& event);
  void handle(const ClientWritable& event);

  // The decision module has to decide on every request by its deadline. If it has not, the request fails
  // here. In a drain this happens earlier, as the process may be killed before the deadline.
  void handle_expired(const RequestDeadline& timer);

  // Actions of the decision module.
  void execute(const RejectRequest& action);
  void execute(const FailRequest& action);

  // A drain has started: sets its timers for the requests in the table.
  void on_drain_started();

 private:
  bool admit(const RequestReceived& event, SharedStatePort::QuotaDecision& quota);
  void submit(RequestId id, const RequestState& state, SharedStatePort::QuotaStatus quota);
  static bool awaits_first_event(const RequestState* state);
  void trace(TraceEvent::Kind kind, RequestId id, const RequestState& state,
             std::string_view detail = "") const;
  void fail(RequestState& state);

  BrokerContext& context_;
  FinalResponder& responder_;
  AttemptHandler& attempts_;
};

}  // namespace flintglade::core
