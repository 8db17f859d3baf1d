// Zone-aware routing: where requests across zones cost much, the router's own zone comes first for the part
// of the keys that it can carry. After 'Zone aware routing' in Envoy. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class ZonePreference {
 public:
  // Both outlive this.
  ZonePreference(const Settings& settings, LearnedState& learned);

  // Whether the own zone comes first at all.
  bool active() const { return active_; }
  // Whether this request tries the own zone first.
  bool prefers_own_zone(const Request& request) const;
  // The part of the fleet over which a key's replicas are chosen, in number of replicas.
  double candidate_replicas(const FleetSummary& fleet) const;

  // The fleet has changed. arrival_rate: this router's requests a second; total_quota: of all tenants, over
  // all routers, 0 if unknown.
  void update(const FleetSummary& fleet, double arrival_rate, double total_quota_per_s);
  // An answer came from this zone, late or in time. step: see Admission::step.
  void on_answer(std::uint32_t zone, bool late, double step);

 private:
  const Settings& settings_;
  LearnedState& learned_;
  bool active_;
  double own_zone_capacity_share_ = 1.0;  // of the keys, by the size of the own zone
};

}  // namespace flintglade::policy
