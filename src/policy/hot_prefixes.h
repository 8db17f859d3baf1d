// The placement key of a request, and how widely the requests with one prompt prefix are spread.
//
// Requests with the same prefix go to the same replica, which has it cached. A prefix that alone outweighs a
// replica's fair share of the work is hot: it is spread over several replicas, by session, and over more
// while its copies are found cached. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/learned_state.h"
#include "policy/request.h"
#include "policy/zone_preference.h"

namespace flintglade::policy {

class HotPrefixes {
 public:
  // All outlive this. seed: for requests without session. load_window: seconds.
  HotPrefixes(LearnedState& learned, const FleetSummary& fleet, const ZonePreference& zones,
              const RandomState& random, double load_window_s);

  // Sets the key of a new request, and which of its key's replicas comes first.
  void choose_key(Request& request, double now);
  // A request ended; cached_tokens: how many of its prompt's tokens the replica found cached.
  void on_answer(const Request& request, double cached_tokens);

 private:
  int update_spread(PrefixState& prefix, double wanted_replicas) const;
  double wanted_replicas(PrefixState& prefix, double work, double now);

  LearnedState& learned_;
  const FleetSummary& fleet_;
  const ZonePreference& zones_;
  const RandomState& random_;
  double window_s_;
};

}  // namespace flintglade::policy
