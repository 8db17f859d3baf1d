// Starts and stops attempts for the decision module and handles their events, timeouts and outcomes. The
// module is notified of exactly one outcome for every attempt that it requested, no matter how the request
// ended. Used on the core's thread only.
#pragma once

#include <cstdint>
#include <vector>

#include "core/broker_context.h"
#include "core/final_responder.h"

namespace flintglade::core {

class AttemptHandler {
 public:
  AttemptHandler(BrokerContext& context, FinalResponder& responder)
      : context_(context), responder_(responder) {}

  // Events of replica clients.
  void handle(AttemptEvents& event);
  void handle(AttemptEnded& event);
  void handle(const AttemptRejected& event);

  // Timers.
  void handle_expired(const AttemptTimeout& timer);
  void handle_expired(const StallCheck& timer);
  void handle_expired(const CancelHoldExpiry& timer);

  // Actions of the decision module.
  void execute(const StartAttempt& action);
  void execute(const StopAttempt& action);

  // The client has disconnected: cancels all running attempts of the request. With
  // BrokerSettings::cancel_hold they still count as their replicas' work until the hold expires.
  void cancel_all(RequestId id, std::uint32_t attempts);

 private:
  void select_stream(AttemptId id, RequestState& request, const AttemptState& attempt);
  void cancel(AttemptId id, RunningAttempt running, policy::Outcome outcome);
  void hold(AttemptId id, RunningAttempt running);
  void end(AttemptId id, RunningAttempt running, policy::Outcome outcome, std::uint32_t cached_tokens = 0,
           std::vector<float> report = {});
  void trace_end(AttemptId id, const AttemptState& attempt, const char* outcome, std::uint32_t cached_tokens);

  BrokerContext& context_;
  FinalResponder& responder_;
};

}  // namespace flintglade::core
