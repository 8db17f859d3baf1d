// The placement key of a request, and over how many replicas the requests with one prompt prefix are spread.
//
// Requests with the same prefix go to the same replica, which has the prefix cached. A prefix is hot if its
// load is a large fraction of a replica's fair share of the work: it is spread by session over several
// replicas, and over more of them while requests find it cached there. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/learned_state.h"
#include "policy/request.h"
#include "policy/zone_preference.h"

namespace flintglade::policy {

class HotPrefixes {
 public:
  // All references must outlive this object. random: its seed places requests without a session.
  // load_window_s: the time window of load, in seconds.
  HotPrefixes(LearnedState& learned, const FleetSummary& fleet, const ZonePreference& zones,
              const RandomState& random, double load_window_s);

  // Sets the key of a new request, and which of the key's replicas is tried first.
  void choose_key(Request& request, double now);
  // A request was answered. cached_tokens: how many of its prompt tokens the replica found cached.
  void on_answer(const Request& request, double cached_tokens);

 private:
  int update_spread(PrefixState& prefix, double desired_replicas) const;
  double desired_replicas(PrefixState& prefix, double work, double now);

  LearnedState& learned_;
  const FleetSummary& fleet_;
  const ZonePreference& zones_;
  const RandomState& random_;
  double window_s_;
};

}  // namespace flintglade::policy
