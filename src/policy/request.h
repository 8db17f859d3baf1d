// A request that the decision module has in hand, and its attempts. Times are seconds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

// One sending of a request to one replica.
struct Attempt {
  int replica = 0;
  double sent = 0.0;
  double work = 0.0;
  bool out = true;
  bool started = false;
  double waited = 0.0;  // for its first event
  bool may_have_run = true;
  bool broken = false;  // failed otherwise than by load
};

struct Request {
  NewRequest query;
  double came = 0.0;
  double latency_objective = 0.0;  // seconds for full worth
  double work = 1.0;               // relative to the mean request
  std::uint64_t key = 0;           // what is hashed
  bool by_prefix = false;
  int spread = 0;       // which of a hot prefix's replicas comes first
  bool over = false;    // answered or finished; kept while attempts are out
  bool bound = false;   // its stream has started
  bool excess = false;  // beyond its tenant's share
  std::vector<Attempt> attempts;
};

inline bool any_out(const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& a) { return a.out; });
}

}  // namespace flintglade::policy
