#include "policy/zone_preference.h"

#include <algorithm>

namespace flintglade::policy {
namespace {

// A crossing at this price or above makes the own zone come first: a twentieth of a request's weight.
constexpr double kMinCrossingPrice = 0.05;
// The own zone takes all its keys until its capacity falls under this part of an even split.
constexpr double kZoneSlack = 0.7;
// Tenants' quotas add up to about this part of what the fleet can do.
constexpr double kQuotaPartOfCapacity = 0.8;
constexpr double kMaxCrossingPrice =
    0.5;  // above, the step on a timely answer would exceed that on a late one
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
  // A zone's traffic can outgrow its replicas: what its routers, an even part of all, must be getting by what
  // this one gets, against what its replicas can do by the quotas.
  const double demand = arrival_rate * settings_.balancers / settings_.zones;
  const double capacity =
      total_quota_per_s / kQuotaPartOfCapacity * ratio_or_zero(fleet.own_zone_warm_size, fleet.warm_size);
  if (capacity > 0.0 && demand * own_zone_capacity_share_ > kZoneSlack * capacity)
    own_zone_capacity_share_ = kZoneSlack * capacity / demand;
}

// Late answers from the own zone let more of its keys cross, until a crossing costs as much as it saves, and
// late ones from elsewhere fewer; no more cross than an even split would.
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
