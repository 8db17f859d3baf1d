#include "policy/zone_preference.h"

#include <algorithm>

namespace flintglade::policy {
namespace {

// The own zone is preferred if crossing zones costs at least this fraction of a request's weight.
constexpr double kMinCrossingPrice = 0.05;
// The own zone gets all its keys until its capacity falls below this fraction of an even split.
constexpr double kZoneSlack = 0.7;
// Assumption: the tenants' quotas add up to about this fraction of the fleet's capacity.
constexpr double kQuotaFractionOfCapacity = 0.8;
// Above this price, the step on a timely answer would exceed the step on a late one.
constexpr double kMaxCrossingPrice = 0.5;
constexpr std::uint64_t kZoneSalt = 0x20e;

}  // namespace

ZonePreference::ZonePreference(const Settings& settings, LearnedState& learned)
    : settings_(settings),
      learned_(learned),
      active_(settings.zones > 1 && settings.price_cross_zone >= kMinCrossingPrice) {}

bool ZonePreference::prefers_own_zone(const Request& request) const {
  return active_ &&
         unit_interval(mix(request.key, kZoneSalt)) < own_zone_capacity_share_ * learned_.own_zone_share;
}

double ZonePreference::candidate_replicas(const FleetSummary& fleet) const {
  return active_ ? std::max(1.0, fleet.ready / settings_.zones) : fleet.ready;
}

void ZonePreference::update(const FleetSummary& fleet, double arrival_rate, double total_quota_per_s) {
  const double even_split =
      ratio_or_zero(fleet.own_zone_warm_size * settings_.zones, fleet.warm_size * kZoneSlack);
  own_zone_capacity_share_ = std::min(1.0, even_split);
  // A zone's traffic can exceed the capacity of its replicas. The demand of the zone is extrapolated from
  // this router's arrival rate, assuming an equal number of routers per zone; its capacity is derived from
  // the quotas.
  const double demand = arrival_rate * settings_.balancers / settings_.zones;
  const double capacity =
      total_quota_per_s / kQuotaFractionOfCapacity * ratio_or_zero(fleet.own_zone_warm_size, fleet.warm_size);
  if (capacity > 0.0 && demand * own_zone_capacity_share_ > kZoneSlack * capacity)
    own_zone_capacity_share_ = kZoneSlack * capacity / demand;
}

// Late answers from the own zone let more of its keys go to other zones, until crossing costs as much as it
// saves; late answers from other zones let fewer go there. The own zone keeps at least its even share.
void ZonePreference::on_answer(std::uint32_t zone, bool late, double step) {
  const double price = std::min(kMaxCrossingPrice, settings_.price_cross_zone);
  double& share = learned_.own_zone_share;
  if (static_cast<int>(zone) == settings_.zone) {
    share += late ? -share * step : step * price / (1.0 - price);
  } else {
    share += late ? step : 0.0;
  }
  share = std::clamp(share, 1.0 / settings_.zones, 1.0);
}

}  // namespace flintglade::policy
