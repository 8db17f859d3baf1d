// A replica as the decision module sees it: what the list says, and what this router has learned.
#pragma once

#include "flintglade/policy/balancer.h"
#include "policy/learned_state.h"

namespace flintglade::policy {

struct ReplicaState : Known {
  Replica replica;
  bool ready() const { return replica.health == Health::ready; }
};

}  // namespace flintglade::policy
