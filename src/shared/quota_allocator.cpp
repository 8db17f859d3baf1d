#include "shared/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace flintglade::shared {
namespace {

// A holder's demand counts as 0 if it has sent no request for this long.
constexpr Micros kDemandTtl = 2 * core::kSecond;
constexpr Micros kHolderTtl = 30 * kDemandTtl;
constexpr Micros kRepeatDrawAfter = 300 * core::kMilli;
constexpr Micros kDrawAhead = core::kSecond;  // a draw covers the demand of this time span
// A lease that is not returned within this time after its expiry counts as spent.
constexpr Micros kOutstandingTtl = 30 * core::kSecond;
// No lease is valid within min(kMaxEdge, window / kEdgeDivisor) of the start or end of a window.
constexpr Micros kMaxEdge = 500 * core::kMilli;
constexpr Micros kEdgeDivisor = 20;
constexpr std::size_t kMaxHolders = 4096;
constexpr std::size_t kMaxOutstanding = 65536;
// A draw is between total / kMinDrawDivisor and total / kMaxDrawDivisor of a window's total.
constexpr Amount kMinDrawDivisor = 200, kMaxDrawDivisor = 20;
constexpr double kMaxRetryAfter = 86400e6;  // one day, in microseconds

Amount whole_units(double amount) {
  return static_cast<Amount>(std::floor(std::max(0.0, amount) / kUnit)) * kUnit;
}

bool is_plausible(const coordination::QuotaRequest& request) {
  return request.want() >= 0 && request.want() <= kMaxAmount && request.demand() >= 0 &&
         request.demand() <= kMaxAmount;
}

}  // namespace

QuotaAllocator::QuotaAllocator(std::vector<Budget> budgets) {
  for (Budget& budget : budgets) accounts_.emplace_back().budget = std::move(budget);
}

void QuotaAllocator::start(Micros now, std::uint64_t fencing_token) {
  fencing_token_ = fencing_token;
  last_serial_ = 0;
  started_at_ = now;
  for (Account& account : accounts_) {
    const Budget budget = account.budget;
    account = {};
    account.budget = budget;
    account.minted_at = now;
  }
}

QuotaAllocator::Account* QuotaAllocator::find(const std::string& budget) {
  const auto it = std::find_if(accounts_.begin(), accounts_.end(),
                               [&](const Account& account) { return account.budget.name == budget; });
  return it == accounts_.end() ? nullptr : &*it;
}

void QuotaAllocator::mint(Micros now, Account& account) {
  if (account.budget.is_stock()) return;
  const double minted =
      account.budget.allocator_per_s() * static_cast<double>(now - account.minted_at) / kMicrosPerSecond;
  account.pool =
      std::min(static_cast<double>(account.budget.allocator_pool()), account.pool + std::max(0.0, minted));
  account.minted_at = std::max(account.minted_at, now);
}

// Max-min fairness: a holder that demands less than an equal share gets its demand, and the others share the
// remainder.
std::optional<double> QuotaAllocator::fair_rate(const Account& account) {
  std::vector<double> demands;
  for (const auto& [router, holder] : account.holders) demands.push_back(holder.demand);
  std::sort(demands.begin(), demands.end());
  double remaining_rate = account.budget.allocator_per_s();
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double equal_share = remaining_rate / static_cast<double>(demands.size() - i);
    if (demands[i] < equal_share) {
      remaining_rate -= demands[i];
      continue;
    }
    if (equal_share < 0) return std::nullopt;  // rounding error, if the whole budget is reserved
    return equal_share;
  }
  return std::nullopt;
}

void QuotaAllocator::forget_silent_holders(Micros now, Account& account, const std::string& except_router) {
  std::erase_if(account.holders, [&](const auto& entry) {
    return entry.first != except_router && now - entry.second.last_seen > kHolderTtl;
  });
  for (auto& [router, holder] : account.holders) {
    if (now - holder.last_seen > kDemandTtl) holder.demand = 0;
  }
}

std::optional<coordination::QuotaLease> QuotaAllocator::allocate(Micros now, const std::string& router,
                                                                 std::uint64_t birth,
                                                                 const coordination::QuotaRequest& request) {
  ++counters_.requests;
  Account* account = find(request.budget());
  if (!active() || account == nullptr || !is_plausible(request)) {
    ++counters_.unknown;
    return std::nullopt;
  }
  const bool known = account->holders.contains(router);
  if (!known && account->holders.size() >= kMaxHolders) return std::nullopt;
  Holder& holder = account->holders[router];
  if (known && holder.birth == birth && holder.last_request == request.number()) {
    ++counters_.repeated;
    return holder.last_answer;
  }
  // From a process that a later one has replaced: no one would use the lease.
  if (known && birth < holder.birth) return std::nullopt;
  if (!known || holder.birth != birth) holder = {};
  forget_silent_holders(now, *account, router);
  holder.birth = birth;
  holder.last_request = request.number();
  holder.last_seen = now;
  holder.demand = static_cast<double>(request.demand());
  mint(now, *account);
  holder.last_answer = new_lease(now, *account, router, holder, request);
  return holder.last_answer;
}

coordination::QuotaLease QuotaAllocator::new_lease(Micros now, Account& account, const std::string& router,
                                                   Holder& holder,
                                                   const coordination::QuotaRequest& request) {
  Micros valid = account.budget.lease_duration();
  if (account.budget.is_stock()) {
    valid = now < account.window_begins ? 0 : std::min(valid, account.window_ends - now);
  }
  double max_amount = std::min(static_cast<double>(request.want()), account.pool);
  const std::optional<double> fair = account.budget.is_stock() ? std::nullopt : fair_rate(account);
  // The credit limits leases only while demand exceeds the rate, but it accumulates all the time: otherwise
  // every such phase would start without credit. It is capped at what the rate yields within a lease's
  // duration.
  const double rate = fair ? std::min(holder.demand, *fair) : holder.demand;
  const double max_credit =
      std::max<double>(kUnit, rate * static_cast<double>(std::max<Micros>(0, valid)) / kMicrosPerSecond);
  const Micros credited_from = std::max(holder.credit_at, started_at_);
  holder.credit = std::min(
      max_credit, holder.credit + rate * static_cast<double>(now - credited_from) / kMicrosPerSecond);
  holder.credit_at = now;
  // Half of the pool is kept for holders with credit. What exceeds that half is granted without credit, since
  // it would otherwise overflow and be lost.
  const double overflow = account.pool - static_cast<double>(account.budget.allocator_pool()) / 2;
  if (fair) max_amount = std::min(max_amount, std::max(holder.credit, overflow));

  coordination::QuotaLease lease;
  lease.set_ask(request.number());
  lease.set_budget(request.budget());
  lease.set_bank(fencing_token_);
  const Amount amount = valid > 0 ? whole_units(max_amount) : 0;
  lease.set_amount(amount);
  if (amount == 0) {
    ++counters_.refusals;
    const double wait =
        account.budget.is_stock()
            ? static_cast<double>(account.exhausted ? account.window_ends - now : kRepeatDrawAfter)
            : kMicrosPerSecond * kUnit / std::max(1.0, fair ? rate : account.budget.allocator_per_s());
    lease.set_again_us(static_cast<std::int64_t>(std::clamp(wait, 0.0, kMaxRetryAfter)));
    return lease;
  }
  ++counters_.leases;
  account.pool -= static_cast<double>(amount);
  holder.credit = std::max(0.0, holder.credit - static_cast<double>(amount));
  lease.set_valid_us(valid);
  lease.set_serial(++last_serial_);
  if (account.budget.is_stock() && account.outstanding.size() < kMaxOutstanding) {
    account.outstanding[last_serial_] = {router, amount, now + valid};
  }
  return lease;
}

bool QuotaAllocator::take_back(Micros now, const std::string& router,
                               const coordination::QuotaReturn& message) {
  Account* account = find(message.budget());
  if (account == nullptr || !active() || message.bank() != fencing_token_) {
    ++counters_.unknown;
    return false;
  }
  std::erase_if(account->outstanding,
                [now](const auto& entry) { return now > entry.second.expires + kOutstandingTtl; });
  const auto lease = account->outstanding.find(message.serial());
  if (lease == account->outstanding.end() || lease->second.router != router || message.unspent() < 0 ||
      message.unspent() > lease->second.amount) {
    ++counters_.unknown;
    return false;
  }
  if (now < account->window_ends) account->pool += static_cast<double>(message.unspent());
  account->outstanding.erase(lease);
  ++counters_.returned;
  return true;
}

// Leases on the previous window end with it; what was not granted from it is lost.
void QuotaAllocator::open_window(Account& account, std::int64_t window) {
  account.window = window;
  account.pool = 0;
  account.outstanding.clear();
  account.pending_draw = 0;
  account.exhausted = false;
}

Amount QuotaAllocator::draw_amount(const Account& account) {
  double demand = 0;
  for (const auto& [router, holder] : account.holders) demand += holder.demand;
  const auto wanted = static_cast<Amount>(demand * static_cast<double>(kDrawAhead) / kMicrosPerSecond);
  const Amount total = account.budget.allocator_window_total();
  return std::clamp<Amount>(wanted, std::max<Amount>(kUnit, total / kMinDrawDivisor),
                            std::max<Amount>(kUnit, total / kMaxDrawDivisor));
}

std::vector<coordination::StockDraw> QuotaAllocator::due_draws(Micros now, Micros unix_time) {
  std::vector<coordination::StockDraw> draws;
  if (!active()) return draws;
  for (Account& account : accounts_) {
    if (!account.budget.is_stock()) continue;
    const std::int64_t window = unix_time / account.budget.window;
    if (window != account.window) open_window(account, window);
    const Micros window_length = account.budget.window;
    const Micros edge = std::min(kMaxEdge, window_length / kEdgeDivisor);
    account.window_begins = now + window * window_length + edge - unix_time;
    account.window_ends = now + (window + 1) * window_length - edge - unix_time;
    const Amount amount = draw_amount(account);
    if (account.pending_draw == 0) {
      if (account.exhausted || account.pool >= static_cast<double>(amount) / 2) continue;
      account.pending_draw = ++last_serial_;
      account.pending_amount = amount;
      ++counters_.draws;
    } else if (now < account.repeat_draw_at) {
      continue;
    }
    account.repeat_draw_at = now + kRepeatDrawAfter;
    coordination::StockDraw& draw = draws.emplace_back();
    draw.set_job(kQuotaAllocatorLease);
    draw.set_number(fencing_token_);
    draw.set_serial(account.pending_draw);
    draw.set_stock(account.budget.name);
    draw.set_window(account.window);
    draw.set_amount(account.pending_amount);
    draw.set_whole(account.budget.allocator_window_total());
  }
  return draws;
}

void QuotaAllocator::on_record(const coordination::LeaseTable& record) {
  for (Account& account : accounts_) {
    if (account.pending_draw == 0) continue;
    for (const coordination::Stock& stock : record.stocks()) {
      if (stock.name() != account.budget.name) continue;
      if (stock.window() > account.window) {
        // Another router, whose clock is ahead, has opened a later window. Nothing can be drawn until this
        // router's time reaches that window.
        account.pending_draw = 0;
        account.exhausted = true;
      } else if (stock.number() == fencing_token_ && stock.serial() == account.pending_draw &&
                 stock.window() == account.window) {
        account.pool += static_cast<double>(stock.granted());
        account.exhausted = stock.granted() < account.pending_amount;
        account.pending_draw = 0;
      }
    }
  }
}

Amount QuotaAllocator::pool(const std::string& budget) const {
  for (const Account& account : accounts_) {
    if (account.budget.name == budget) return static_cast<Amount>(account.pool);
  }
  return 0;
}

}  // namespace flintglade::shared
