// The state that one process of a router passes on to its successor (hot restart). Times are on the monotonic
// clock, which both processes share. src/hot_restart/snapshot serializes and parses it.
#pragma once

#include <cstdint>
#include <vector>

#include "core/endpoint_list.h"
#include "core/ids.h"
#include "core/time.h"
#include "policy/learned_state.h"

namespace flintglade::core {

struct ProcessSnapshot {
  // A replica that is known to be draining or gone.
  struct RetiredReplica {
    ReplicaId replica = 0;
    Micros since = 0;
    std::uint32_t version = 0;  // of the latest list that has the replica as draining or gone
  };
  std::uint32_t version = 0;  // of the endpoint list
  std::vector<Endpoint> entries;
  std::vector<RetiredReplica> retired;
  policy::LearnedState learned;
};

}  // namespace flintglade::core
