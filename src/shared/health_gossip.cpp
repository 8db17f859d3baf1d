#include "shared/health_gossip.h"

#include <algorithm>

namespace flintglade::shared {
namespace {
constexpr std::uint32_t kBadFrom = 2;  // failures in a row: one alone can be chance
constexpr std::size_t kMostKnown = 4096;
constexpr std::uint32_t kMostInARow = 1000;
}  // namespace

void HealthObserver::on_attempt_ended(Micros now, core::ReplicaId replica, policy::Outcome outcome) {
  using policy::Outcome;
  if (outcome == Outcome::ok) return first_event(now, replica);
  // A refusal says that it is full, and what we gave up ourselves says nothing.
  if (outcome == Outcome::full || outcome == Outcome::cancelled || outcome == Outcome::moot) return;
  if (known_.size() >= kMostKnown) prune(now);
  Known& k = known_[replica];
  k.failed = std::min(k.failed + 1, kMostInARow);
  k.served = 0;
  k.at = now;
  if (k.failed >= kBadFrom) changed_ = changed_ || !std::exchange(k.was_bad, true);
}

void HealthObserver::first_event(Micros now, core::ReplicaId replica) {
  if (known_.size() >= kMostKnown) prune(now);
  Known& k = known_[replica];
  changed_ = changed_ || k.failed >= kBadFrom;
  k.failed = 0;
  k.served = std::min(k.served + 1, kMostInARow);
  k.at = k.served_at = now;
}

void HealthObserver::prune(Micros now) {
  std::erase_if(known_, [&](const auto& k) { return now - k.second.at > settings_.keep; });
  if (known_.size() >= kMostKnown) known_.clear();
}

std::vector<coordination::ReplicaObservation> HealthObserver::cases(Micros now) const {
  std::vector<coordination::ReplicaObservation> out;
  for (const auto& [replica, k] : known_) {
    const bool bad = k.failed >= kBadFrom;
    if (now - k.at > settings_.keep || (!bad && (!k.was_bad || k.failed > 0))) continue;
    coordination::ReplicaObservation& c = out.emplace_back();
    c.set_replica(replica);
    c.set_bad(bad);
    c.set_count(bad ? k.failed : k.served);
    c.set_age_us(now - k.at);
  }
  // Beyond the bound, the older words go first.
  std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.age_us() < b.age_us(); });
  if (out.size() > settings_.most_cases) out.resize(settings_.most_cases);
  return out;
}

std::optional<Micros> HealthObserver::served(core::ReplicaId replica) const {
  const auto it = known_.find(replica);
  if (it == known_.end() || it->second.served_at < 0) return std::nullopt;
  return it->second.served_at;
}

std::vector<ReplicaHealthSummary> weigh(Micros now, const Settings& settings,
                                        const VersionedTable<coordination::HealthObservations>& heard,
                                        const std::string& but_not) {
  std::map<std::string, const VersionedTable<coordination::HealthObservations>::Held*>
      last;  // by name: one router is one witness
  for (const auto& [life, h] : heard.all()) last[life.first] = &h;
  std::map<core::ReplicaId, ReplicaHealthSummary> out;
  std::map<core::ReplicaId, std::set<std::string>> sites;
  for (const auto& [name, h] : last) {
    if (name == but_not) continue;
    for (const coordination::ReplicaObservation& c : h->entry.cases()) {
      const Micros age = now - h->sealed + c.age_us();
      if (age < 0 || age >= settings.keep) continue;
      ReplicaHealthSummary& o =
          out.try_emplace(c.replica(), ReplicaHealthSummary{c.replica(), 0, 0, 0, settings.keep})
              .first->second;
      if (c.bad()) {
        ++o.bad;
        o.age = std::min(o.age, age);
        sites[c.replica()].insert(h->entry.site());
        o.sites = static_cast<std::uint32_t>(sites[c.replica()].size());
      } else {
        ++o.good;
      }
    }
  }
  std::vector<ReplicaHealthSummary> all;
  for (const auto& [replica, o] : out) all.push_back(o);
  return all;
}

std::vector<EjectionPolicy::Warning> EjectionPolicy::act(Micros now,
                                                         const std::vector<ReplicaHealthSummary>& opinions,
                                                         const std::set<core::ReplicaId>& ready,
                                                         const HealthObserver& own, std::size_t routers,
                                                         std::size_t sites) const {
  if (!settings_.hearsay) return {};
  // In a fleet of few there may not be so many others; two are needed even so.
  const std::size_t others = routers > 0 ? routers - 1 : 0;
  const std::size_t need = std::max<std::size_t>(2, std::min<std::size_t>(settings_.witnesses, others));
  std::vector<ReplicaHealthSummary> heard;
  for (const ReplicaHealthSummary& o : opinions) {
    if (ready.count(o.replica) == 0 || o.bad < need || o.bad <= o.good) continue;
    if (sites > 1 && o.sites < 2) continue;
    // It has served this router since the newest of those words: that goes before hearsay.
    const auto served = own.served(o.replica);
    if (served && *served >= now - o.age) continue;
    heard.push_back(o);
  }
  std::sort(heard.begin(), heard.end(), [](const ReplicaHealthSummary& a, const ReplicaHealthSummary& b) {
    return a.bad != b.bad ? a.bad > b.bad : a.replica < b.replica;
  });
  const auto most = static_cast<std::size_t>(settings_.most_part * static_cast<double>(ready.size()));
  if (heard.size() > most) heard.resize(most);
  std::vector<Warning> out;
  for (const ReplicaHealthSummary& o : heard) out.push_back({o.replica, settings_.keep - o.age});
  return out;
}

}  // namespace flintglade::shared
