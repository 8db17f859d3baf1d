// A client's request as the core sees it: what the decision module needs to know of it, and its content,
// which the core hands on unread. Immutable once it has been given to the Broker.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/ids.h"
#include "core/time.h"

namespace flintglade::core {

struct Request {
  Wire wire = Wire::http;
  std::uint32_t request_class = 0;  // index into the classes of the settings
  std::uint32_t tenant = 0;         // index into the accounts of the settings
  std::uint64_t session = 0;        // sticky key; 0: none
  std::uint64_t prefix = 0;         // id of the shared prompt prefix; 0: none
  double prompt_tokens = 0.0;
  double prefix_tokens = 0.0;
  double output_cap = 0.0;    // most tokens that the answer may have
  double work_hint = 0.0;     // the client's guess at the work, in microseconds; 0: none
  bool is_retry = false;      // the client marks it as a retry of its own
  bool resumed = false;       // it asks for the rest of a broken stream
  bool may_be_empty = false;  // an answer that ends well without any event is a good one
  Micros patience = 0;        // how long the client waits for the first event
  std::string trace_id;       // the client's own name for it; unique among the requests in flight
  // Opaque to the core, and handed on to the replica client.
  std::string method;
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> metadata;  // of the client's, for the replica

  // What the request takes of the budget for request bodies, in bytes.
  std::size_t bytes() const {
    std::size_t sum = body.size();
    for (const auto& [name, value] : metadata) sum += name.size() + value.size();
    return sum;
  }
};

}  // namespace flintglade::core
