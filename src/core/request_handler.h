// Requests: admitted or rejected as they come, and ended by their client, their deadline or the decision
// module. What becomes of their attempts is in AttemptHandler. On the core's thread only.
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

  // The decision module owes every request a decision by its deadline. If there is none, the client gets the
  // final response from here. In a drain that comes earlier, as the process may be killed before the
  // deadline.
  void handle_expired(const RequestDeadline& timer);

  // Actions of the decision module.
  void execute(const RejectRequest& action);
  void execute(const FailRequest& action);

  // A drain has begun: sets the timers that it needs for the requests in the table.
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
