#include "shared/quota_holder.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flintglade::shared {
namespace {

constexpr double kDemandDecay = 1e6;               // time constant of the demand's decay, in microseconds
constexpr Micros kLookAhead = 500 * core::kMilli;  // demand over this time span that leases should cover
constexpr Micros kResendAfter = 250 * core::kMilli;
// Timeout of a request; the next one goes to a peer, and the one after that to the allocator again.
constexpr Micros kRequestTimeout = 600 * core::kMilli;
constexpr Micros kIdleAfter = 10 * core::kSecond;  // then no more leases are requested for the team
constexpr Micros kMinRequestInterval = 50 * core::kMilli;
constexpr Micros kMaxRequestInterval = 2 * core::kSecond;
constexpr Micros kDefaultRetryAfter = 250 * core::kMilli;
constexpr std::size_t kMaxRemembered = 64;  // abandoned requests, and answered ones, by number
constexpr std::size_t kMaxReturns = 1024;

void remember(std::deque<std::uint64_t>& numbers, std::uint64_t number) {
  numbers.push_back(number);
  if (numbers.size() > kMaxRemembered) numbers.pop_front();
}

bool contains(const std::deque<std::uint64_t>& numbers, std::uint64_t number) {
  return std::find(numbers.begin(), numbers.end(), number) != numbers.end();
}

// Bounds what a faulty sender can cause: no lease exceeds the whole budget, and no amount or time is
// negative.
bool is_plausible(const coordination::QuotaLease& lease, const Budget& budget) {
  const Amount max_amount = budget.is_stock() ? budget.window_total : budget.burst;
  return lease.amount() >= 0 && lease.amount() <= max_amount && lease.valid_us() >= 0 &&
         lease.again_us() >= 0;
}

}  // namespace

QuotaHolder::QuotaHolder(std::vector<Budget> budgets, const std::vector<std::string>& teams,
                         std::uint64_t birth, Micros now)
    : accounts_of_team_(teams.size()), last_number_(birth) {
  for (Budget& budget : budgets) {
    Account& account = accounts_.emplace_back();
    account.budget = std::move(budget);
    account.reserved_at = account.demand_at = now;
    account.last_spent = now - kIdleAfter;
    for (std::size_t team = 0; team < teams.size(); ++team) {
      if (teams[team] == account.budget.team) accounts_of_team_[team].push_back(accounts_.size() - 1);
    }
  }
}

void QuotaHolder::drop_first_lease(Account& account) {
  const auto end = account.leases.begin() + static_cast<std::ptrdiff_t>(account.lease_count);
  std::move(account.leases.begin() + 1, end, account.leases.begin());
  --account.lease_count;
}

void QuotaHolder::add_lease(Account& account, const Lease& lease) {
  std::size_t at = account.lease_count++;
  for (; at > 0 && account.leases[at - 1].expires > lease.expires; --at) {
    account.leases[at] = account.leases[at - 1];
  }
  account.leases[at] = lease;
}

void QuotaHolder::return_lease(const Budget& budget, const Lease& lease) {
  const bool can_be_leased_again = budget.is_stock() && lease.allocator != 0 && lease.amount > 0;
  if (!can_be_leased_again || returns_.size() >= kMaxReturns) return;
  coordination::QuotaReturn& message = returns_.emplace_back();
  message.set_budget(budget.name);
  message.set_bank(lease.allocator);
  message.set_serial(lease.serial);
  message.set_unspent(lease.amount);
}

// The reserved bucket starts empty, so that a router that restarts repeatedly gets no more from it than one
// that keeps running.
void QuotaHolder::expire_and_refill(Micros now, Account& account) {
  while (account.lease_count > 0 && (account.leases[0].expires <= now || account.leases[0].amount <= 0)) {
    account.expired += account.leases[0].amount;
    return_lease(account.budget, account.leases[0]);
    drop_first_lease(account);
  }
  const double refill =
      account.budget.reserved_per_s() * static_cast<double>(now - account.reserved_at) / kMicrosPerSecond;
  account.reserved = std::min(static_cast<double>(account.budget.reserved_burst()),
                              account.reserved + std::max(0.0, refill));
  account.reserved_at = std::max(account.reserved_at, now);
}

double QuotaHolder::demand(Micros now, const Account& account) {
  return account.demand * std::exp(-static_cast<double>(now - account.demand_at) / kDemandDecay);
}

void QuotaHolder::note_demand(Micros now, Account& account, Amount amount) {
  account.demand = demand(now, account) + static_cast<double>(amount) * kMicrosPerSecond / kDemandDecay;
  account.demand_at = now;
  account.last_spent = now;
}

Amount QuotaHolder::leased(const Account& account) {
  Amount sum = 0;
  for (std::size_t i = 0; i < account.lease_count; ++i) sum += account.leases[i].amount;
  return sum;
}

QuotaHolder::Decision QuotaHolder::spend(Micros now, std::uint32_t team, Amount tokens) {
  if (team >= accounts_of_team_.size() || accounts_of_team_[team].empty()) return {};
  Decision decision{Verdict::within, 0};
  for (const std::size_t index : accounts_of_team_[team]) {
    Account& account = accounts_[index];
    const Amount cost = account.budget.tokens ? tokens : kUnit;
    expire_and_refill(now, account);
    note_demand(now, account, cost);
    if (leased(account) + static_cast<Amount>(account.reserved) >= cost) continue;
    account.refused += kUnit;
    if (!account.budget.reject_over_quota) {
      if (decision.verdict == Verdict::within) decision.verdict = Verdict::over_quota;
      continue;
    }
    decision.verdict = Verdict::rejected;
    decision.retry_after = std::max({decision.retry_after, kDefaultRetryAfter, account.not_before - now});
  }
  if (decision.verdict != Verdict::within) return decision;
  for (const std::size_t index : accounts_of_team_[team]) {
    charge(accounts_[index], accounts_[index].budget.tokens ? tokens : kUnit);
  }
  return decision;
}

// Charges the reserved bucket first: it refills continuously, and what overflows is lost to all routers.
void QuotaHolder::charge(Account& account, Amount cost) {
  account.spent += cost;
  const Amount from_reserved = std::min(cost, static_cast<Amount>(account.reserved));
  account.reserved -= static_cast<double>(from_reserved);
  Amount remaining = cost - from_reserved;
  while (remaining > 0 && account.lease_count > 0) {
    Lease& lease = account.leases[0];
    const Amount from_lease = std::min(remaining, lease.amount);
    lease.amount -= from_lease;
    remaining -= from_lease;
    if (lease.amount == 0) drop_first_lease(account);
  }
}

std::vector<QuotaHolder::LeaseRequest> QuotaHolder::due_requests(Micros now) {
  std::vector<LeaseRequest> requests;
  for (Account& account : accounts_) {
    expire_and_refill(now, account);
    if (leaving_) continue;
    if (auto request = due_request(now, account)) requests.push_back(std::move(*request));
  }
  return requests;
}

std::optional<QuotaHolder::LeaseRequest> QuotaHolder::due_request(Micros now, Account& account) {
  if (account.pending != 0 && now - account.first_sent >= kRequestTimeout) {
    remember(account.abandoned, account.pending);
    account.pending = 0;
    account.to_peer = !account.to_peer;
  }
  if (account.pending != 0) {
    if (now - account.last_sent < kResendAfter) return std::nullopt;
    account.last_sent = now;
    return LeaseRequest{account.request, account.to_peer};
  }
  const bool idle = now - account.last_spent >= kIdleAfter;
  if (idle || now < account.not_before || account.lease_count == kMaxLeases) return std::nullopt;
  const double rate = std::max(0.0, demand(now, account) - account.budget.reserved_per_s());
  const double needed = std::max<double>(kUnit, rate * kLookAhead / kMicrosPerSecond);
  const auto held = static_cast<double>(leased(account));
  if (held >= needed / 2 && held >= kUnit) return std::nullopt;
  account.pending = ++last_number_;
  account.request.set_number(account.pending);
  account.request.set_budget(account.budget.name);
  account.request.set_want(static_cast<std::int64_t>(std::ceil((needed - held) / kUnit)) * kUnit);
  account.request.set_demand(static_cast<std::int64_t>(rate));
  account.first_sent = account.last_sent = now;
  return LeaseRequest{account.request, account.to_peer};
}

void QuotaHolder::on_lease(Micros now, const coordination::QuotaLease& message) {
  const auto account = std::find_if(accounts_.begin(), accounts_.end(), [&](const Account& candidate) {
    return candidate.budget.name == message.budget();
  });
  if (account != accounts_.end() && is_plausible(message, account->budget))
    accept_lease(now, *account, message);
}

void QuotaHolder::accept_lease(Micros now, Account& account, const coordination::QuotaLease& message) {
  // Nine tenths: clocks may drift apart by a tenth.
  const Micros valid = std::min<Micros>(message.valid_us(), account.budget.lease_duration()) * 9 / 10;
  const Lease lease{message.amount(), account.first_sent + valid, message.bank(), message.serial()};
  if (account.pending == 0 || message.ask() != account.pending) {
    const auto late = std::find(account.abandoned.begin(), account.abandoned.end(), message.ask());
    if (late == account.abandoned.end()) return;  // never requested, or a duplicate
    account.abandoned.erase(late);
    return return_lease(account.budget, lease);
  }
  account.pending = 0;
  account.to_peer = false;
  account.not_before = now + kMinRequestInterval;
  if (message.amount() == 0) {
    account.not_before =
        now + std::clamp<Micros>(message.again_us(), kMinRequestInterval, kMaxRequestInterval);
  }
  if (message.bank() != 0) {
    account.last_lease = now;
  } else {
    account.borrowed += message.amount();
  }
  if (message.amount() == 0 || lease.expires <= now || account.lease_count == kMaxLeases) {
    return return_lease(account.budget, lease);
  }
  add_lease(account, lease);
}

// Lends half of what this router holds beyond its own need, from the lease that expires last.
std::optional<coordination::QuotaLease> QuotaHolder::lend(Micros now,
                                                          const coordination::QuotaRequest& request) {
  if (request.want() <= 0 || request.want() > kMaxAmount) return std::nullopt;
  for (Account& account : accounts_) {
    if (account.budget.name != request.budget()) continue;
    expire_and_refill(now, account);
    if (contains(account.answered, request.number())) return std::nullopt;
    remember(account.answered, request.number());
    coordination::QuotaLease message;
    message.set_ask(request.number());
    message.set_budget(request.budget());
    message.set_again_us(kDefaultRetryAfter);
    if (account.lease_count == 0 || leaving_) return message;
    Lease& last = account.leases[account.lease_count - 1];
    const double needed = std::max<double>(kUnit, demand(now, account) * kLookAhead / kMicrosPerSecond);
    const double spare =
        std::min(static_cast<double>(leased(account)) - needed, static_cast<double>(last.amount)) / 2;
    const Amount whole_units = static_cast<Amount>(std::max(0.0, spare) / kUnit) * kUnit;
    const Amount amount = std::min<Amount>(request.want(), whole_units);
    message.set_amount(amount);
    message.set_valid_us(last.expires - now);
    last.amount -= amount;
    account.lent += amount;
    return message;
  }
  return std::nullopt;
}

std::vector<coordination::QuotaReturn> QuotaHolder::take_returns() { return std::exchange(returns_, {}); }

void QuotaHolder::return_all() {
  leaving_ = true;
  for (Account& account : accounts_) {
    for (; account.lease_count > 0; drop_first_lease(account))
      return_lease(account.budget, account.leases[0]);
  }
}

Micros QuotaHolder::next(Micros now) const {
  const bool active = std::any_of(accounts_.begin(), accounts_.end(), [now](const Account& account) {
    return now - account.last_spent < kIdleAfter || account.pending != 0 || account.lease_count > 0;
  });
  return active ? now + kMinRequestInterval : core::kNever;
}

Amount QuotaHolder::held(Micros now, std::size_t budget) const {
  const Account& account = accounts_[budget];
  auto sum = static_cast<Amount>(account.reserved);
  for (std::size_t i = 0; i < account.lease_count; ++i) {
    if (account.leases[i].expires > now) sum += account.leases[i].amount;
  }
  return sum;
}

void QuotaHolder::status(Micros now, coordination::SharedStatus& out) const {
  for (std::size_t i = 0; i < accounts_.size(); ++i) {
    const Account& account = accounts_[i];
    auto& budget = *out.add_budgets();
    budget.set_name(account.budget.name);
    budget.set_held(held(now, i) - static_cast<Amount>(account.reserved));
    budget.set_own(static_cast<std::int64_t>(account.reserved));
    budget.set_spent(account.spent);
    budget.set_refused(account.refused);
    budget.set_demand(static_cast<std::int64_t>(demand(now, account)));
    budget.set_expired(account.expired);
    budget.set_lent(account.lent);
    budget.set_borrowed(account.borrowed);
    budget.set_age_us(account.last_lease < 0 ? -1 : now - account.last_lease);
  }
}

}  // namespace flintglade::shared
