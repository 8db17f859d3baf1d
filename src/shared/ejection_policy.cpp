#include "shared/ejection_policy.h"

#include <algorithm>
#include <map>

namespace flintglade::shared {
namespace {

constexpr std::size_t kMinReporters = 2;  // even if the fleet is too small for Settings::min_reporters
constexpr std::uint32_t kMinSites = 2;    // if the fleet has several sites

}  // namespace

std::vector<ReplicaHealthSummary> summarize_health(
    Micros now, const Settings& settings,
    const VersionedTable<coordination::HealthObservations>& observations, const std::string& this_router) {
  using Row = VersionedTable<coordination::HealthObservations>::Row;
  std::map<std::string, const Row*> last_process;  // by router
  for (const auto& [process, row] : observations.rows()) last_process[process.router] = &row;
  std::map<core::ReplicaId, ReplicaHealthSummary> summaries;
  std::map<core::ReplicaId, std::set<std::string>> sites;
  for (const auto& [router, row] : last_process) {
    if (router == this_router) continue;
    for (const coordination::ReplicaObservation& observation : row->entry.cases()) {
      const Micros age = now - row->sealed + observation.age_us();
      if (age < 0 || age >= settings.observation_ttl) continue;
      const core::ReplicaId replica = observation.replica();
      ReplicaHealthSummary& summary =
          summaries.try_emplace(replica, ReplicaHealthSummary{replica, 0, 0, 0, settings.observation_ttl})
              .first->second;
      if (!observation.bad()) {
        ++summary.good;
        continue;
      }
      ++summary.bad;
      summary.age = std::min(summary.age, age);
      sites[replica].insert(row->entry.site());
      summary.sites = static_cast<std::uint32_t>(sites[replica].size());
    }
  }
  std::vector<ReplicaHealthSummary> out;
  out.reserve(summaries.size());
  for (const auto& [replica, summary] : summaries) out.push_back(summary);
  return out;
}

bool EjectionPolicy::is_eligible(Micros now, const ReplicaHealthSummary& summary, const HealthObserver& own,
                                 FleetSize fleet) const {
  const std::size_t others = fleet.routers > 0 ? fleet.routers - 1 : 0;
  const std::size_t needed = std::max(kMinReporters, std::min<std::size_t>(settings_.min_reporters, others));
  if (summary.bad < needed || summary.bad <= summary.good) return false;
  if (fleet.sites > 1 && summary.sites < kMinSites) return false;
  // This router's own, more recent success outweighs the reports.
  const auto served = own.last_served(summary.replica);
  return !served || *served < now - summary.age;
}

std::vector<EjectionPolicy::Ejection> EjectionPolicy::ejections(
    Micros now, const std::vector<ReplicaHealthSummary>& summaries, const std::set<core::ReplicaId>& ready,
    const HealthObserver& own, FleetSize fleet) const {
  if (!settings_.health_gossip) return {};
  std::vector<ReplicaHealthSummary> eligible;
  for (const ReplicaHealthSummary& summary : summaries) {
    if (ready.contains(summary.replica) && is_eligible(now, summary, own, fleet)) eligible.push_back(summary);
  }
  std::sort(eligible.begin(), eligible.end(),
            [](const ReplicaHealthSummary& a, const ReplicaHealthSummary& b) {
              return a.bad != b.bad ? a.bad > b.bad : a.replica < b.replica;
            });
  const auto max_ejections =
      static_cast<std::size_t>(settings_.max_ejected_share * static_cast<double>(ready.size()));
  if (eligible.size() > max_ejections) eligible.resize(max_ejections);
  std::vector<Ejection> out;
  out.reserve(eligible.size());
  for (const ReplicaHealthSummary& summary : eligible) {
    out.push_back({summary.replica, settings_.observation_ttl - summary.age});
  }
  return out;
}

}  // namespace flintglade::shared
