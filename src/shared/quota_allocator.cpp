#include "shared/quota_allocator.h"

#include <cmath>

namespace flintglade::shared {
namespace {
constexpr Micros kForgetDemand = 2 * core::kSecond;
constexpr Micros kDrawAgain = 300 * core::kMilli;
constexpr Micros kDrawAhead = core::kSecond;  // a draw is for the demand of so long
constexpr std::size_t kMostHolders = 4096, kMostOut = 65536;

Amount whole_ones(double amount) {
  return static_cast<Amount>(std::floor(std::max(0.0, amount) / kOne)) * kOne;
}
}  // namespace

QuotaAllocator::QuotaAllocator(std::vector<Budget> budgets) {
  for (Budget& b : budgets) accounts_.emplace_back().budget = std::move(b);
}

void QuotaAllocator::starts(Micros now, std::uint64_t number) {
  number_ = number;
  serial_ = 0;
  began_ = now;
  for (Account& a : accounts_) {
    const Budget budget = a.budget;
    a = {};
    a.budget = budget;
    a.minted = now;
  }
}

void QuotaAllocator::mint(Micros now, Account& a) {
  if (a.budget.stock()) return;
  const double more = a.budget.bank_per_s() * static_cast<double>(now - a.minted) / 1e6;
  a.pool = std::min(static_cast<double>(a.budget.bank_pool()), a.pool + std::max(0.0, more));
  a.minted = std::max(a.minted, now);
}

double QuotaAllocator::level(const Account& a) {
  std::vector<double> demands;
  for (const auto& [who, h] : a.holders) demands.push_back(h.demand);
  std::sort(demands.begin(), demands.end());
  double left = a.budget.bank_per_s();
  for (std::size_t i = 0; i < demands.size(); ++i) {
    const double even = left / static_cast<double>(demands.size() - i);
    if (demands[i] >= even) return even;
    left -= demands[i];
  }
  return -1.0;  // there is enough for all
}

std::optional<coordination::QuotaLease> QuotaAllocator::asked(Micros now, const std::string& who,
                                                              std::uint64_t birth,
                                                              const coordination::QuotaRequest& ask) {
  ++counters_.asks;
  const auto it = std::find_if(accounts_.begin(), accounts_.end(),
                               [&](const Account& a) { return a.budget.name == ask.budget(); });
  if (!open() || it == accounts_.end() || ask.want() < 0 || ask.want() > kMostAmount || ask.demand() < 0 ||
      ask.demand() > kMostAmount) {
    ++counters_.unknown;
    return std::nullopt;
  }
  Account& a = *it;
  const bool known = a.holders.count(who) > 0;
  if (!known && a.holders.size() >= kMostHolders) return std::nullopt;
  Holder& h = a.holders[who];
  if (known && h.birth == birth && h.ask == ask.number()) {
    ++counters_.again;
    return h.answer;
  }
  // An ask of a life that is over, or one that was overtaken: its answer is of no use to anybody.
  if (known && birth < h.birth) return std::nullopt;
  if (!known || h.birth != birth) h = {};
  std::erase_if(a.holders, [&](const auto& one) {
    return one.first != who && now - one.second.heard > 30 * kForgetDemand;
  });
  for (auto& [name, one] : a.holders) {
    if (now - one.heard > kForgetDemand) one.demand = 0;
  }
  h.birth = birth;
  h.ask = ask.number();
  h.heard = now;
  h.demand = static_cast<double>(ask.demand());
  mint(now, a);
  Micros valid = a.budget.part_valid();
  if (a.budget.stock()) valid = std::min(valid, a.window_ends - now);
  double most = std::min(static_cast<double>(ask.want()), a.pool);
  const double even = a.budget.stock() ? -1.0 : level(a);
  // What it may have by now, by its part of the rate: saved up as far as a part's time. It counts only while
  // more is wanted than there is, but goes on all the time: else each such moment would begin with nothing.
  const double rate = even >= 0 ? std::min(h.demand, even) : h.demand;
  const double cap = std::max<double>(kOne, rate * static_cast<double>(std::max<Micros>(0, valid)) / 1e6);
  h.due = std::min(cap, h.due + rate * static_cast<double>(now - std::max(h.due_at, began_)) / 1e6);
  // Half of the pool is for those whose turn it is; what is above it would only spill.
  const double spare = a.pool - static_cast<double>(a.budget.bank_pool()) / 2;
  if (even >= 0) most = std::min(most, std::max(h.due, spare));
  h.due_at = now;
  coordination::QuotaLease p;
  p.set_ask(ask.number());
  p.set_budget(ask.budget());
  p.set_bank(number_);
  const Amount amount = valid > 0 ? whole_ones(most) : 0;
  p.set_amount(amount);
  if (amount > 0) {
    ++counters_.parts;
    a.pool -= static_cast<double>(amount);
    h.due = std::max(0.0, h.due - static_cast<double>(amount));
    p.set_valid_us(valid);
    p.set_serial(++serial_);
    if (a.budget.stock() && a.out.size() < kMostOut) a.out[serial_] = {who, amount, now + valid};
  } else {
    ++counters_.dry;
    const double wait = a.budget.stock()
                            ? static_cast<double>(a.dry ? a.window_ends - now : kDrawAgain)
                            : 1e6 * kOne / std::max(1.0, even >= 0 ? rate : a.budget.bank_per_s());
    p.set_again_us(static_cast<std::int64_t>(std::clamp(wait, 0.0, 86400e6)));
  }
  h.answer = p;
  return p;
}

bool QuotaAllocator::returned(Micros now, const std::string& who, const coordination::QuotaReturn& back) {
  for (Account& a : accounts_) {
    if (a.budget.name != back.budget() || back.bank() != number_ || !open()) continue;
    // A part that nobody has spoken of for long counts as spent.
    std::erase_if(a.out, [now](const auto& o) { return now > o.second.ends + 30 * core::kSecond; });
    const auto it = a.out.find(back.serial());
    if (it == a.out.end() || it->second.who != who || back.unspent() < 0 ||
        back.unspent() > it->second.amount)
      break;
    if (now < a.window_ends) a.pool += static_cast<double>(back.unspent());
    a.out.erase(it);
    ++counters_.returned;
    return true;
  }
  ++counters_.unknown;
  return false;
}

std::vector<coordination::StockDraw> QuotaAllocator::draws(Micros now, Micros unix_time) {
  std::vector<coordination::StockDraw> out;
  if (!open()) return out;
  for (Account& a : accounts_) {
    if (!a.budget.stock()) continue;
    const std::int64_t window = unix_time / a.budget.window;
    if (window != a.window) {
      // What was handed out of the last window ends with it; what was not is gone.
      a.window = window;
      a.pool = 0;
      a.out.clear();
      a.drawing = 0;
      a.dry = false;
    }
    a.window_ends = now + (window + 1) * a.budget.window - unix_time;
    double demand = 0;
    for (const auto& [who, h] : a.holders) demand += h.demand;
    const Amount chunk =
        std::clamp<Amount>(static_cast<Amount>(demand * static_cast<double>(kDrawAhead) / 1e6),
                           std::max<Amount>(kOne, a.budget.bank_whole() / 200),
                           std::max<Amount>(kOne, a.budget.bank_whole() / 20));
    if (a.drawing == 0) {
      if (a.dry || a.pool >= static_cast<double>(chunk) / 2) continue;
      a.drawing = ++serial_;
      a.drawing_amount = chunk;
      ++counters_.draws;
    } else if (now < a.drawing_again) {
      continue;
    }
    a.drawing_again = now + kDrawAgain;
    coordination::StockDraw d;
    d.set_job(kQuotaAllocatorLease);
    d.set_number(number_);
    d.set_serial(a.drawing);
    d.set_stock(a.budget.name);
    d.set_window(a.window);
    d.set_amount(a.drawing_amount);
    d.set_whole(a.budget.bank_whole());
    out.push_back(d);
  }
  return out;
}

void QuotaAllocator::record(const coordination::LeaseTable& table) {
  for (Account& a : accounts_) {
    if (a.drawing == 0) continue;
    for (const coordination::Stock& s : table.stocks()) {
      if (s.name() != a.budget.name) continue;
      if (s.window() > a.window) {
        // Somebody's clock has opened a later window: until ours comes there, nothing is to be had.
        a.drawing = 0;
        a.dry = true;
      } else if (s.number() == number_ && s.serial() == a.drawing && s.window() == a.window) {
        a.pool += static_cast<double>(s.granted());
        a.dry = s.granted() < a.drawing_amount;
        a.drawing = 0;
      }
    }
  }
}

Amount QuotaAllocator::pool(const std::string& budget) const {
  for (const Account& a : accounts_) {
    if (a.budget.name == budget) return static_cast<Amount>(a.pool);
  }
  return 0;
}

}  // namespace flintglade::shared
