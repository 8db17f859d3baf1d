// Zone-aware routing: if requests to other zones are expensive, the router's own zone is preferred for the
// share of the keys that it has capacity for. Based on 'Zone aware routing' in Envoy. Not thread-safe.
#pragma once

#include "policy/fleet_summary.h"
#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class ZonePreference {
 public:
  // Both must outlive this object.
  ZonePreference(const Settings& settings, LearnedState& learned);

  // Whether the own zone is preferred at all.
  bool active() const { return active_; }
  // Whether the own zone is tried first for this request.
  bool prefers_own_zone(const Request& request) const;
  // The number of replicas from which a key's replicas are chosen.
  double candidate_replicas(const FleetSummary& fleet) const;

  // The fleet has changed. arrival_rate: this router's requests per second. total_quota_per_s: of all tenants
  // over all routers; 0 if unknown.
  void update(const FleetSummary& fleet, double arrival_rate, double total_quota_per_s);
  // An answer came from this zone, late or in time. step: see Admission::step.
  void on_answer(std::uint32_t zone, bool late, double step);

 private:
  const Settings& settings_;
  LearnedState& learned_;
  bool active_;
  double own_zone_capacity_share_ = 1.0;  // the share of the keys that the own zone has capacity for
};

}  // namespace flintglade::policy
