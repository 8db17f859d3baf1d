// A replica as the decision module sees it: its entry in the endpoint list, and what this router has learned.
#pragma once

#include "flintglade/policy/balancer.h"
#include "policy/learned_state.h"

namespace flintglade::policy {

struct ReplicaState : ReplicaStatistics {
  Replica replica;  // as listed last; its size and start time are checked values

  bool ready() const { return replica.health == Health::ready; }
};

}  // namespace flintglade::policy
