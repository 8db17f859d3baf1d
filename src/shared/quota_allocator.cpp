#include "shared/quota_allocator.h"

#include <algorithm>
#include <cmath>

namespace flintglade::shared {
namespace {

constexpr Micros kDemandTtl = 2 * core::kSecond;  // a holder that is silent for longer wants nothing
constexpr Micros kHolderTtl = 30 * kDemandTtl;
constexpr Micros kRepeatDrawAfter = 300 * core::kMilli;
constexpr Micros kDrawAhead = core::kSecond;  // a draw is for the demand of so long
constexpr Micros kOutstandingTtl =
    30 * core::kSecond;  // after its expiry a lease that was not returned counts as spent
// At each edge of a window no lease is valid for so long: min(kMaxEdge, window / kEdgeDivisor).
constexpr Micros kMaxEdge = 500 * core::kMilli;
constexpr Micros kEdgeDivisor = 20;
constexpr std::size_t kMaxHolders = 4096;
constexpr std::size_t kMaxOutstanding = 65536;
constexpr Amount kSmallestDraw = 200, kLargestDraw = 20;  // parts of a window's total
constexpr double kMaxRetryAfter = 86400e6;                // microseconds: a day

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

// Max-min fairness: who wants less than an even part gets it, and the others share what it leaves.
std::optional<double> QuotaAllocator::fair_rate(const Account& account) {
  std::vector<double> demands;
  for (const auto& [router, holder] : account.holders) demands.push_back(holder.demand);
  std::sort(demands.begin(), demands.end());
  double left = account.budget.allocator_per_s();
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double even_part = left / static_cast<double>(demands.size() - i);
    if (demands[i] < even_part) {
      left -= demands[i];
      continue;
    }
    if (even_part < 0) return std::nullopt;  // rounding, where all of the budget is reserved
    return even_part;
  }
  return std::nullopt;
}

void QuotaAllocator::forget_silent_holders(Micros now, Account& account, const std::string& but_not) {
  std::erase_if(account.holders, [&](const auto& entry) {
    return entry.first != but_not && now - entry.second.last_seen > kHolderTtl;
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
  // Of a process that is over: its answer is of no use to anybody.
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
  double most = std::min(static_cast<double>(request.want()), account.pool);
  const std::optional<double> fair = account.budget.is_stock() ? std::nullopt : fair_rate(account);
  // The credit counts only while more is wanted than there is, but is saved up all the time: else each such
  // moment would begin with nothing. It reaches as far as a lease's duration.
  const double rate = fair ? std::min(holder.demand, *fair) : holder.demand;
  const double max_credit =
      std::max<double>(kUnit, rate * static_cast<double>(std::max<Micros>(0, valid)) / kMicrosPerSecond);
  const Micros credited_from = std::max(holder.credit_at, started_at_);
  holder.credit = std::min(
      max_credit, holder.credit + rate * static_cast<double>(now - credited_from) / kMicrosPerSecond);
  holder.credit_at = now;
  // Half of the pool is for those with credit; what is above it would only overflow.
  const double overflow = account.pool - static_cast<double>(account.budget.allocator_pool()) / 2;
  if (fair) most = std::min(most, std::max(holder.credit, overflow));

  coordination::QuotaLease lease;
  lease.set_ask(request.number());
  lease.set_budget(request.budget());
  lease.set_bank(fencing_token_);
  const Amount amount = valid > 0 ? whole_units(most) : 0;
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

// What was handed out of the last window ends with it; what was not is lost.
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
  const Amount total = account.budget.allocator_whole();
  return std::clamp<Amount>(wanted, std::max<Amount>(kUnit, total / kSmallestDraw),
                            std::max<Amount>(kUnit, total / kLargestDraw));
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
    draw.set_whole(account.budget.allocator_whole());
  }
  return draws;
}

void QuotaAllocator::on_record(const coordination::LeaseTable& record) {
  for (Account& account : accounts_) {
    if (account.pending_draw == 0) continue;
    for (const coordination::Stock& stock : record.stocks()) {
      if (stock.name() != account.budget.name) continue;
      if (stock.window() > account.window) {
        // Another router's clock has opened a later window: until ours comes there, nothing is to be had.
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
