#include "coordination/lease_holder.h"

#include <algorithm>
#include <utility>

namespace flintglade::coordination {
namespace {

// A release is repeated until the lease table no longer has this router as the owner.
constexpr Micros kReleaseRetryDelay = 100 * core::kMilli;
constexpr int kRenewalsPerLease = 4;

}  // namespace

void LeaseHolder::on_lease_table(const LeaseTable& table, std::uint64_t start_time) {
  start_time_ = start_time;
  std::map<std::string, OwnedJob> owned;
  for (const Job& job : table.jobs()) {
    if (job.owner() != name_ || job.birth() != start_time) continue;
    const auto it = owned_.find(job.name());
    const bool same_lease = it != owned_.end() && it->second.number == job.number();
    OwnedJob entry = same_lease ? it->second : OwnedJob{};
    if (!same_lease) next_renewal_ = 0;  // renew at once: a new lease is valid only from its first renewal on
    entry.number = job.number();
    entry.is_moving_away = !job.wanted().empty() && job.wanted() != name_;
    owned[job.name()] = entry;
  }
  for (const auto& [job, entry] : owned_) {
    const auto it = owned.find(job);
    if (entry.is_running && (it == owned.end() || it->second.number != entry.number))
      ended_.push_back({job, entry.number, false, "the lease table has a new owner or number"});
  }
  owned_ = std::move(owned);
}

std::optional<Renew> LeaseHolder::take_renewal(Micros now) {
  if (now < next_renewal_ || owned_.empty()) return std::nullopt;
  Renew out;
  out.set_owner(name_);
  out.set_birth(start_time_);
  for (const auto& [job, entry] : owned_) {
    // A release that was sent may arrive at any later time, so a lease with a sent release is not renewed.
    if (entry.is_moving_away || is_releasing_all_ || entry.release_sent_at >= 0) continue;
    HeldLease* held = out.add_held();
    held->set_job(job);
    held->set_number(entry.number);
  }
  next_renewal_ = now + times_.duration / kRenewalsPerLease;
  if (out.held().empty()) return std::nullopt;
  return out;
}

void LeaseHolder::on_renewed(Micros sent_at, const std::vector<HeldLease>& held) {
  for (const HeldLease& lease : held) {
    const auto it = owned_.find(lease.job());
    if (it == owned_.end() || it->second.number != lease.number() || it->second.release_sent_at >= 0)
      continue;
    it->second.valid_until =
        std::max(it->second.valid_until, sent_at + times_.duration - times_.clock_margin());
  }
}

std::vector<Release> LeaseHolder::take_releases(Micros now) {
  std::vector<Release> out;
  for (auto& [job, entry] : owned_) {
    const bool was_sent = entry.release_sent_at >= 0;
    if (!was_sent && !entry.is_moving_away && !is_releasing_all_) continue;
    if (was_sent && now < entry.release_sent_at + kReleaseRetryDelay) continue;
    if (entry.is_running) {
      entry.is_running = false;
      ended_.push_back(
          {job, entry.number, false, is_releasing_all_ ? "this router shuts down" : "moved by an operator"});
    }
    entry.valid_until = 0;  // ends the lease here before the voters can grant the job to another router
    entry.release_sent_at = now;
    Release release;
    release.set_job(job);
    release.set_number(entry.number);
    out.push_back(release);
  }
  return out;
}

bool LeaseHolder::has_valid_lease(Micros now, const std::string& job) const {
  const auto it = owned_.find(job);
  return it != owned_.end() && now < it->second.valid_until;
}

std::vector<HeldLease> LeaseHolder::valid_leases(Micros now) const {
  std::vector<HeldLease> out;
  for (const auto& [job, entry] : owned_) {
    if (now >= entry.valid_until) continue;
    out.emplace_back();
    out.back().set_job(job);
    out.back().set_number(entry.number);
  }
  return out;
}

std::vector<LeaseHolder::Change> LeaseHolder::take_changes(Micros now) {
  std::vector<Change> out = std::exchange(ended_, {});
  for (auto& [job, entry] : owned_) {
    const bool is_valid = now < entry.valid_until;
    if (is_valid == entry.is_running) continue;
    entry.is_running = is_valid;
    out.push_back({job, entry.number, is_valid, is_valid ? "" : "the lease expired without a renewal"});
  }
  return out;
}

Micros LeaseHolder::next_timer() const {
  Micros next = core::kNever;
  for (const auto& [job, entry] : owned_) {
    next = std::min(next, next_renewal_);
    if (entry.is_running) next = std::min(next, entry.valid_until);
    if (entry.release_sent_at >= 0) next = std::min(next, entry.release_sent_at + kReleaseRetryDelay);
  }
  return next;
}

}  // namespace flintglade::coordination
