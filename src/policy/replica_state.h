// A replica in the decision module: its entry in the endpoint list and what this router has learned about it.
#pragma once

#include "flintglade/policy/balancer.h"
#include "policy/learned_state.h"

namespace flintglade::policy {

struct ReplicaState : ReplicaStatistics {
  Replica replica;  // the latest list entry, with validated size and start time

  bool ready() const { return replica.health == Health::ready; }
};

}  // namespace flintglade::policy
