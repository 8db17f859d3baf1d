// Port: the model replicas behind one wire. Called on the core's thread only.
#pragma once

#include <memory>

#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/request.h"
#include "core/time.h"

namespace flintglade::core {

// The client reports each attempt's end once, by Broker::on_attempt_ended or on_attempt_rejected, unless the
// attempt is cancelled.
class ReplicaClient {
 public:
  virtual ~ReplicaClient() = default;
  // no_new_after: the time after which the first byte of an attempt may no longer be written; kNever while
  // the replica is ready.
  virtual void update_endpoint(const Endpoint& endpoint, Micros no_new_after) = 0;
  // Sends the request to the replica. first_event_timeout: the maximum time until the first event.
  virtual void start_attempt(AttemptId id, ReplicaId replica, std::shared_ptr<const Request> request,
                             Micros first_event_timeout) = 0;
  // Cancels the attempt; no on_attempt_ended follows.
  virtual void cancel_attempt(AttemptId id) = 0;
  // Stops or resumes reading the attempt's response.
  virtual void pause_attempt(AttemptId id, bool paused) = 0;
};

}  // namespace flintglade::core
