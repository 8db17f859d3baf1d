// Port: the model replicas behind one wire. Called on the core's thread only.
#pragma once

#include <memory>

#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/request.h"
#include "core/time.h"

namespace flintglade::core {

// Each attempt is answered by one Broker::on_attempt_ended (or on_attempt_rejected), unless it is cancelled.
class ReplicaClient {
 public:
  virtual ~ReplicaClient() = default;
  // no_new_after: the time after which no first byte of an attempt may be written; kNever while the replica
  // is ready.
  virtual void update_endpoint(const Endpoint& endpoint, Micros no_new_after) = 0;
  // Sends the request to the replica. patience: how long until its first event, at most.
  virtual void start_attempt(AttemptId id, ReplicaId replica, std::shared_ptr<const Request> request,
                             Micros patience) = 0;
  // Gives the attempt up without a report: no on_attempt_ended follows.
  virtual void cancel_attempt(AttemptId id) = 0;
  // Stops reading the attempt's answer, or goes on.
  virtual void pause_attempt(AttemptId id, bool paused) = 0;
};

}  // namespace flintglade::core
