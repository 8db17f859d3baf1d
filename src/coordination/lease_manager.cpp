#include "coordination/lease_manager.h"

#include <algorithm>
#include <string_view>

#include "policy/statistics.h"

namespace flintglade::coordination {
namespace {

// A grant that is not committed within this time is proposed again.
constexpr Micros kGrantRetryDelay = 500 * core::kMilli;
// How often the leader decides on grants if nothing else happens.
constexpr Micros kDecisionPeriod = 200 * core::kMilli;
// A grant without a first renewal within this time is granted to another router.
constexpr Micros kUnclaimedGrantTimeout = 500 * core::kMilli;
// For this time a router that was unresponsive gets a job only if no other router can.
constexpr Micros kUnresponsivePenalty = 10 * core::kSecond;

// FNV-1a, followed by a mix of the bits, since names often differ in their last characters only.
std::uint64_t rank_hash(std::string_view text) {
  std::uint64_t hash = 1469598103934665603ull;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * 1099511628211ull;
  return policy::mix(hash);
}

const membership::Peer* find_alive(const std::vector<membership::Peer>& living, const std::string& name) {
  const membership::Peer* found = nullptr;
  for (const membership::Peer& peer : living) {
    if (peer.name == name && peer.standing == coordination::ALIVE) found = &peer;
  }
  return found;
}

Command make_grant(const JobSettings& settings, const Job* job, const membership::Peer& owner) {
  Command command;
  Grant& grant = *command.mutable_grant();
  grant.set_job(settings.name);
  grant.set_owner(owner.name);
  grant.set_birth(owner.birth);
  grant.set_seen(job == nullptr ? 0 : job->number());
  return command;
}

bool has_owner(const Job* job) { return job != nullptr && !job->owner().empty(); }

}  // namespace

const membership::Peer* LeaseManager::choose_owner(const JobSettings& job,
                                                   const std::vector<membership::Peer>& living,
                                                   const std::set<std::string>& excluded) {
  const membership::Peer* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const membership::Peer& peer : living) {
    if (peer.standing != coordination::ALIVE || (!job.site.empty() && peer.site != job.site) ||
        excluded.contains(peer.name))
      continue;
    const std::uint64_t rank = rank_hash(job.name + "\n" + peer.name);
    if (best == nullptr || rank > best_rank) {
      best = &peer;
      best_rank = rank;
    }
  }
  return best;
}

void LeaseManager::on_leadership_acquired(Micros now) {
  is_leader_ = true;
  leader_since_ = now;
  lease_ends_.clear();
  grant_proposed_at_.clear();
  unresponsive_since_.clear();
}

void LeaseManager::on_renewed(Micros now, const std::string& owner, const HeldLease& held) {
  lease_ends_[held.job()] = now + times_.duration + times_.clock_margin();
  unresponsive_since_.erase(owner);
}

void LeaseManager::on_granted(Micros now, const std::string& job) {
  lease_ends_[job] = now + kUnclaimedGrantTimeout;
  grant_proposed_at_.erase(job);
}

Micros LeaseManager::lease_end(const std::string& job) const {
  const auto recorded = lease_ends_.find(job);
  return std::max(leader_since_ + times_.duration + times_.clock_margin(),
                  recorded == lease_ends_.end() ? 0 : recorded->second);
}

bool LeaseManager::may_grant(Micros now, const JobSettings& settings, const Job* job) {
  if (job == nullptr && now < leader_since_ + times_.first_grant_delay) {
    next_timer_ = std::min(next_timer_, leader_since_ + times_.first_grant_delay);
    return false;
  }
  // A job without an owner can be granted at once: it was released, or never had an owner.
  if (const Micros end = lease_end(settings.name); has_owner(job) && now < end) {
    next_timer_ = std::min(next_timer_, end);
    return false;
  }
  const auto proposed = grant_proposed_at_.find(settings.name);
  return proposed == grant_proposed_at_.end() || now >= proposed->second + kGrantRetryDelay;
}

std::set<std::string> LeaseManager::unresponsive_routers(Micros now) const {
  std::set<std::string> out;
  for (const auto& [router, since] : unresponsive_since_) {
    if (now < since + kUnresponsivePenalty) out.insert(router);
  }
  return out;
}

// The router that the operator requested, if it is alive and not the owner that was unresponsive; otherwise
// the router with the highest rank.
const membership::Peer* LeaseManager::next_owner(Micros now, const JobSettings& settings, const Job* job,
                                                 const std::vector<membership::Peer>& living) const {
  const membership::Peer* requested =
      job == nullptr || job->wanted().empty() ? nullptr : find_alive(living, job->wanted());
  if (requested != nullptr && (!has_owner(job) || requested->name != job->owner())) return requested;
  const membership::Peer* responsive = choose_owner(settings, living, unresponsive_routers(now));
  return responsive != nullptr ? responsive : choose_owner(settings, living);
}

std::vector<Command> LeaseManager::decide_grants(Micros now, const LeaseStateMachine& leases,
                                                 const std::vector<membership::Peer>& living) {
  std::vector<Command> out;
  next_timer_ = core::kNever;
  if (!is_leader_) return out;
  next_timer_ = now + kDecisionPeriod;
  for (const JobSettings& settings : jobs_) {
    const Job* job = leases.find(settings.name);
    if (!may_grant(now, settings, job)) continue;
    // The owner may still count as alive, since a lease expires before its router is detected as dead.
    if (has_owner(job)) unresponsive_since_[job->owner()] = now;
    const membership::Peer* owner = next_owner(now, settings, job, living);
    if (owner == nullptr) continue;
    grant_proposed_at_[settings.name] = now;
    out.push_back(make_grant(settings, job, *owner));
  }
  return out;
}

}  // namespace flintglade::coordination
