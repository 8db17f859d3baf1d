// The ids of requests, attempts and replicas, used by the core, its ports and the decision module. An id is
// unique within one process and is not reused.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "flintglade/policy/balancer.h"

namespace flintglade::core {

using RequestId = policy::RequestId;  // 0: no request
using ReplicaId = policy::ReplicaId;

// One attempt to have a request served by a replica. The attempts of a request are numbered from 0.
struct AttemptId {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// The protocol in which a request arrives and in which its attempts are sent. Each wire has its own server
// and replica client.
enum class Wire : std::uint8_t { http = 0, kserve = 1 };
inline constexpr std::size_t kWires = 2;

}  // namespace flintglade::core
