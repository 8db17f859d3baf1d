// Trace events: what the core did with each request and attempt, for logging. Off unless a listener is set.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

#include "core/ids.h"
#include "core/time.h"

namespace flintglade::core {

struct TraceEvent {
  enum class Kind : std::uint8_t {
    attempt_started,
    attempt_ended,
    first_event,  // the client gets the response of this attempt
    request_rejected,
    request_failed,
    endpoint_list_update,
    request_received,
    client_disconnected,
  };
  Kind kind;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  ReplicaId replica = 0;
  // The outcome, the kind of the list update or the client's trace id. Valid only during the listener's call.
  std::string_view detail = {};
  // Microseconds since the start of the attempt or, for events of a request, since the request was received.
  Micros took = 0;
  std::size_t entries = 0;          // entries of the endpoint list
  std::uint32_t cached_tokens = 0;  // at an attempt's end: prompt tokens that the replica had cached
  std::uint32_t replica_kind = 0;   // kind of the attempt's replica
  std::uint32_t replica_zone = 0;   // zone of the attempt's replica
};

// Called on the core's thread, from within the step that the event describes.
using TraceListener = std::function<void(const TraceEvent&)>;

}  // namespace flintglade::core
