// What servers, replica clients and service discovery report to the core. Events are gathered as they come
// and handled in that order in the next iteration of the event loop.
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
// A client that had read too slowly can be written to again.
struct ClientWritable {
  RequestId request;
};
// A replica says that the request itself is at fault.
struct AttemptRejected {
  AttemptId attempt;
};
struct AttemptEvents {
  AttemptId attempt;
  std::string bytes;  // whole events of the answer
};
struct AttemptEnded {
  AttemptId attempt;
  policy::Outcome outcome;
  std::uint32_t cached_tokens;
  std::vector<float> report;  // the replica's load report
};
// Other routers have seen the replica fail: it is to be avoided for a while.
struct HealthWarning {
  ReplicaId replica;
  Micros span;
};

using Event = std::variant<RequestReceived, ClientDisconnected, AttemptRejected, ClientWritable,
                           AttemptEvents, AttemptEnded, EndpointListUpdate, HealthWarning>;

}  // namespace flintglade::core
