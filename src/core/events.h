// The events that servers, replica clients and service discovery report to the core. They are queued as they
// arrive and handled in that order in the next event loop iteration.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/request.h"
#include "core/response_writer.h"
#include "core/time.h"

namespace flintglade::core {

struct RequestReceived {
  RequestId id;
  std::shared_ptr<const Request> request;
  std::shared_ptr<ResponseWriter> response_writer;
};
struct ClientDisconnected {
  RequestId request;
};
// A client that read too slowly can be written to again.
struct ClientWritable {
  RequestId request;
};
// A replica has rejected the request as invalid.
struct AttemptRejected {
  AttemptId attempt;
};
struct AttemptEvents {
  AttemptId attempt;
  std::string bytes;  // complete events of the response
};
struct AttemptEnded {
  AttemptId attempt;
  policy::Outcome outcome;
  std::uint32_t cached_tokens;
  std::vector<float> report;  // the replica's load report
};
// Other routers have seen the replica fail: it is to be avoided for this duration.
struct HealthWarning {
  ReplicaId replica;
  Micros duration;
};

using Event = std::variant<RequestReceived, ClientDisconnected, AttemptRejected, ClientWritable,
                           AttemptEvents, AttemptEnded, EndpointListUpdate, HealthWarning>;

}  // namespace flintglade::core
