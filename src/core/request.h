// A client's request: the properties that the decision module uses, and the content, which the core passes on
// without reading it. Immutable once it has been passed to the Broker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/ids.h"
#include "core/metadata.h"
#include "core/string_memory.h"
#include "core/time.h"

namespace flintglade::core {

// What stays known of a request once its response has begun.
struct RequestProperties {
  Wire wire = Wire::http;
  std::uint32_t request_class = 0;  // index into the configured classes
  std::uint32_t tenant = 0;         // index into the configured accounts
  std::uint64_t session = 0;        // sticky key; 0: none
  std::uint64_t prefix = 0;         // id of the shared prompt prefix; 0: none
  double prompt_tokens = 0.0;
  double prefix_tokens = 0.0;
  double output_cap = 0.0;    // maximum number of tokens in the response
  double work_hint = 0.0;     // the client's estimate of the work, in microseconds; 0: none
  bool is_retry = false;      // marked by the client as a retry
  bool resumed = false;       // resumes a broken stream
  bool may_be_empty = false;  // a response that completes without any event is valid
  // How long the client waits for the first event.
  Micros first_event_timeout = 0;
  std::string trace_id;  // chosen by the client; unique among the requests in flight
};

struct Request : RequestProperties {
  // Opaque to the core; passed on to the replica client.
  std::string method;
  std::string target;
  std::string body;
  Metadata metadata;  // from the client, for the replica

  // The request's share of the budget for request bodies, in bytes: what it has allocated.
  std::size_t bytes() const {
    return heap_bytes(body) + heap_bytes(target) + heap_bytes(trace_id) + metadata.allocated_bytes();
  }
};

}  // namespace flintglade::core
