#include "coordination/lease_holder.h"

#include <algorithm>
#include <utility>

namespace flintglade::coordination {
namespace {
constexpr Micros kReleaseAgain = 100 * core::kMilli;
}

void LeaseHolder::record(const LeaseTable& table, std::uint64_t birth) {
  birth_ = birth;
  std::map<std::string, Mine> now;
  for (const Job& j : table.jobs()) {
    if (j.owner() != name_ || j.birth() != birth) continue;
    const auto it = mine_.find(j.name());
    const bool same = it != mine_.end() && it->second.number == j.number();
    Mine mine = same ? it->second : Mine{};
    if (!same) next_renewal_ = 0;  // proved as soon as can be
    mine.number = j.number();
    mine.unwanted = !j.wanted().empty() && j.wanted() != name_;
    now[j.name()] = mine;
  }
  for (const auto& [job, mine] : mine_) {
    const auto it = now.find(job);
    if (mine.runs && (it == now.end() || it->second.number != mine.number))
      stopped_.push_back({job, mine.number, false, "the record says so"});
  }
  mine_ = std::move(now);
}

std::optional<Renew> LeaseHolder::renewal(Micros now) {
  if (now < next_renewal_ || mine_.empty()) return std::nullopt;
  Renew out;
  out.set_owner(name_);
  out.set_birth(birth_);
  for (const auto& [job, mine] : mine_) {
    // Once a release has gone out it may arrive at any time: this number is never proved again.
    if (mine.unwanted || leaving_ || mine.released >= 0) continue;
    HeldLease* h = out.add_held();
    h->set_job(job);
    h->set_number(mine.number);
  }
  next_renewal_ = now + times_.lease / 4;
  if (out.held().empty()) return std::nullopt;
  return out;
}

void LeaseHolder::renewed(Micros sent, const std::vector<HeldLease>& held) {
  for (const HeldLease& h : held) {
    const auto it = mine_.find(h.job());
    if (it == mine_.end() || it->second.number != h.number() || it->second.released >= 0) continue;
    it->second.until = std::max(it->second.until, sent + times_.lease - times_.margin());
  }
}

std::vector<Release> LeaseHolder::releases(Micros now) {
  std::vector<Release> out;
  for (auto& [job, mine] : mine_) {
    if ((!mine.unwanted && !leaving_ && mine.released < 0) ||
        (mine.released >= 0 && now < mine.released + kReleaseAgain))
      continue;
    if (mine.runs) {
      mine.runs = false;
      stopped_.push_back({job, mine.number, false, leaving_ ? "this router leaves" : "wanted elsewhere"});
    }
    mine.until = 0;  // first here, then at the voters
    mine.released = now;
    Release r;
    r.set_job(job);
    r.set_number(mine.number);
    out.push_back(r);
  }
  return out;
}

bool LeaseHolder::proved(Micros now, const std::string& job) const {
  const auto it = mine_.find(job);
  return it != mine_.end() && now < it->second.until;
}

std::vector<HeldLease> LeaseHolder::held(Micros now) const {
  std::vector<HeldLease> out;
  for (const auto& [job, mine] : mine_) {
    if (now >= mine.until) continue;
    out.emplace_back();
    out.back().set_job(job);
    out.back().set_number(mine.number);
  }
  return out;
}

std::vector<LeaseHolder::Change> LeaseHolder::changes(Micros now) {
  std::vector<Change> out = std::exchange(stopped_, {});
  for (auto& [job, mine] : mine_) {
    const bool may = now < mine.until;
    if (may == mine.runs) continue;
    mine.runs = may;
    out.push_back({job, mine.number, may, may ? "" : "the lease is not renewed"});
  }
  return out;
}

Micros LeaseHolder::next() const {
  Micros at = core::kNever;
  for (const auto& [job, mine] : mine_) {
    at = std::min(at, next_renewal_);
    if (mine.runs) at = std::min(at, mine.until);
    if (mine.released >= 0) at = std::min(at, mine.released + kReleaseAgain);
  }
  return at;
}

}  // namespace flintglade::coordination
