// What one process of a router knows, for the process that takes its place (hot restart). Times are on the
// monotonic clock, which both processes share. src/hot_restart/snapshot writes and reads it as bytes.
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
    std::uint32_t version = 0;  // of the list that said so last
  };
  std::uint32_t version = 0;  // of the endpoint list
  std::vector<Endpoint> entries;
  std::vector<RetiredReplica> retired;
  policy::LearnedState learned;
};

}  // namespace flintglade::core
