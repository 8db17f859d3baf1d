#include "coordination/lease_manager.h"

#include <algorithm>

#include "policy/statistics.h"

namespace flintglade::coordination {
namespace {
// A grant that has not been committed by then is asked for anew.
constexpr Micros kGrantAgain = 500 * core::kMilli;
constexpr Micros kLook = 200 * core::kMilli;       // at who is living
constexpr Micros kUnclaimed = 500 * core::kMilli;  // a grant that nobody proves
constexpr Micros kSilent = 10 * core::kSecond;     // a router that did so comes last meanwhile

std::uint64_t hash(std::string_view text) {
  std::uint64_t h = 1469598103934665603ull;  // FNV-1a, then mixed: names differ in their last letters only
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 1099511628211ull;
  return policy::mix(h);
}
}  // namespace

const membership::Peer* LeaseManager::choose(const Wanted& job, const std::vector<membership::Peer>& living,
                                             const std::set<std::string>& but_not) {
  const membership::Peer* best = nullptr;
  std::uint64_t best_rank = 0;
  for (const membership::Peer& p : living) {
    if (p.standing != coordination::ALIVE || (!job.site.empty() && p.site != job.site) ||
        but_not.count(p.name) > 0)
      continue;
    const std::uint64_t rank = hash(job.name + "\n" + p.name);
    if (best == nullptr || rank > best_rank) {
      best = &p;
      best_rank = rank;
    }
  }
  return best;
}

void LeaseManager::leads(Micros now) {
  leading_ = true;
  since_ = now;
  over_.clear();
  asked_.clear();
  silent_.clear();
}

void LeaseManager::renewed(Micros now, const std::string& owner, const HeldLease& held) {
  over_[held.job()] = now + times_.lease + times_.margin();
  silent_.erase(owner);
}
void LeaseManager::granted(Micros now, const std::string& job) {
  over_[job] = now + kUnclaimed;
  asked_.erase(job);
}

std::vector<Command> LeaseManager::decide(Micros now, const LeaseStateMachine& jobs,
                                          const std::vector<membership::Peer>& living) {
  std::vector<Command> out;
  next_ = core::kNever;
  if (!leading_) return out;
  next_ = now + kLook;
  for (const Wanted& w : wanted_) {
    const Job* job = jobs.find(w.name);
    if (job == nullptr && now < since_ + times_.settle) {
      next_ = std::min(next_, since_ + times_.settle);
      continue;
    }
    const bool owned = job != nullptr && !job->owner().empty();
    const auto over = over_.find(w.name);
    const Micros ends =
        std::max(since_ + times_.lease + times_.margin(), over == over_.end() ? 0 : over->second);
    if (owned && now < ends) {
      next_ = std::min(next_, ends);
      continue;
    }
    // A release says that its owner acts no more: nothing has to run out. Nor for a job that never had an
    // owner.
    const auto asked = asked_.find(w.name);
    if (asked != asked_.end() && now < asked->second + kGrantAgain) continue;
    const membership::Peer* to = nullptr;
    if (job != nullptr && !job->wanted().empty()) {
      for (const membership::Peer& p : living) {
        if (p.name == job->wanted() && p.standing == coordination::ALIVE) to = &p;
      }
    }
    // One that let it lie although it seems alive comes last: who is dead is known later than that.
    if (owned) silent_[job->owner()] = now;
    std::set<std::string> silent;
    for (const auto& [router, since] : silent_) {
      if (now < since + kSilent) silent.insert(router);
    }
    if (to == nullptr || (owned && to->name == job->owner())) to = choose(w, living, silent);
    if (to == nullptr) to = choose(w, living);
    if (to == nullptr) continue;
    asked_[w.name] = now;
    Command c;
    c.mutable_grant()->set_job(w.name);
    c.mutable_grant()->set_owner(to->name);
    c.mutable_grant()->set_birth(to->birth);
    c.mutable_grant()->set_seen(job == nullptr ? 0 : job->number());
    out.push_back(c);
  }
  return out;
}

}  // namespace flintglade::coordination
