// Port: the state shared by the routers of a fleet, as far as the core needs it. Called on the core's thread,
// within an event loop iteration: no function here may block.
#pragma once

#include <cstdint>

#include "core/ids.h"
#include "core/request.h"
#include "core/time.h"
#include "flintglade/policy/balancer.h"

namespace flintglade::core {

class SharedStatePort {
 public:
  // Whether the request's tenant is within its quota; refused: the request is to be rejected.
  enum class QuotaStatus : std::uint8_t { unknown, within, over, refused };
  struct QuotaDecision {
    QuotaStatus status = QuotaStatus::unknown;
    Micros retry_after = 0;  // if refused: how long the client should wait
  };
  enum class RequestOutcome : std::uint8_t { served, refused, failed };

  virtual ~SharedStatePort() = default;
  // Called once for each request, before it is passed to the decision module; a refused one is not passed on.
  virtual QuotaDecision check_quota(Micros now, const Request& request) = 0;
  // Called once for each final response.
  virtual void on_request_finished(const Request& request, RequestOutcome outcome) = 0;
  // Called for the first event of a response that is sent to the client.
  virtual void on_first_event(Micros now, ReplicaId replica) = 0;
  // Called once for each attempt that was sent.
  virtual void on_attempt_ended(Micros now, ReplicaId replica, policy::Outcome outcome) = 0;
};

}  // namespace flintglade::core
