#include "shared/quota_holder.h"

#include <cmath>
#include <utility>

namespace flintglade::shared {
namespace {
constexpr double kMemory = 1e6;                // demand is forgotten over a second
constexpr Micros kAhead = 500 * core::kMilli;  // what is held is to last so long
constexpr Micros kAskAgain = 250 * core::kMilli;
constexpr Micros kAskUntil = 600 * core::kMilli;  // then a peer is asked, and then the bank again
constexpr Micros kIdle = 10 * core::kSecond;      // a team that nobody asked for so long needs nothing ready
constexpr Micros kLeast = 50 * core::kMilli;      // between asks
constexpr Micros kComeBack = 250 * core::kMilli;
constexpr std::size_t kMostRemembered = 64, kMostReturns = 1024;

void remember(std::deque<std::uint64_t>& in, std::uint64_t number) {
  in.push_back(number);
  if (in.size() > kMostRemembered) in.pop_front();
}
}  // namespace

QuotaHolder::QuotaHolder(std::vector<Budget> budgets, const std::vector<std::string>& teams,
                         std::uint64_t birth, Micros now)
    : of_team_(teams.size()), numbers_(birth) {
  for (Budget& b : budgets) {
    Account& a = accounts_.emplace_back();
    a.budget = std::move(b);
    a.own_at = a.demand_at = now;
    a.asked_for = now - kIdle;
    for (std::size_t t = 0; t < teams.size(); ++t) {
      if (teams[t] == a.budget.team) of_team_[t].push_back(accounts_.size() - 1);
    }
  }
}

void QuotaHolder::drop_first(Account& a) {
  std::move(a.parts.begin() + 1, a.parts.begin() + static_cast<std::ptrdiff_t>(a.count), a.parts.begin());
  --a.count;
}

void QuotaHolder::back(const Budget& budget, const Part& part) {
  if (!budget.stock() || part.bank == 0 || part.amount <= 0 || returns_.size() >= kMostReturns) return;
  coordination::QuotaReturn r;
  r.set_budget(budget.name);
  r.set_bank(part.bank);
  r.set_serial(part.serial);
  r.set_unspent(part.amount);
  returns_.push_back(r);
}

// Parts that are over go, and the own bucket fills. It begins empty: a router that is started again and again
// gets no more of it than one that runs on.
void QuotaHolder::age(Micros now, Account& a) {
  while (a.count > 0 && (a.parts[0].ends <= now || a.parts[0].amount <= 0)) {
    a.expired += a.parts[0].amount;
    back(a.budget, a.parts[0]);
    drop_first(a);
  }
  const double more = a.budget.own_per_s() * static_cast<double>(now - a.own_at) / 1e6;
  a.own = std::min(static_cast<double>(a.budget.own_burst()), a.own + std::max(0.0, more));
  a.own_at = std::max(a.own_at, now);
}

double QuotaHolder::demand(Micros now, const Account& a) {
  return a.demand * std::exp(-static_cast<double>(now - a.demand_at) / kMemory);
}
void QuotaHolder::note_demand(Micros now, Account& a, Amount amount) {
  a.demand = demand(now, a) + static_cast<double>(amount) * 1e6 / kMemory;
  a.demand_at = now;
  a.asked_for = now;
}

Amount QuotaHolder::parts(const Account& a) {
  Amount sum = 0;
  for (std::size_t i = 0; i < a.count; ++i) sum += a.parts[i].amount;
  return sum;
}

QuotaHolder::Spent QuotaHolder::spend(Micros now, std::uint32_t team, Amount tokens) {
  if (team >= of_team_.size() || of_team_[team].empty()) return {};
  Spent out{Verdict::within, 0};
  for (const std::size_t i : of_team_[team]) {
    Account& a = accounts_[i];
    const Amount cost = a.budget.tokens ? tokens : kOne;
    age(now, a);
    note_demand(now, a, cost);
    if (parts(a) + static_cast<Amount>(a.own) >= cost) continue;
    a.refused += kOne;
    if (!a.budget.refuse) {
      if (out.verdict == Verdict::within) out.verdict = Verdict::last;
      continue;
    }
    out.verdict = Verdict::refused;
    out.again = std::max({out.again, kComeBack, a.not_before - now});
  }
  if (out.verdict != Verdict::within) return out;
  for (const std::size_t i : of_team_[team]) {
    Account& a = accounts_[i];
    Amount left = a.budget.tokens ? tokens : kOne;
    a.spent += left;
    // The own bucket first: it fills all the time, and what it cannot hold is lost to everybody.
    const Amount own = std::min(left, static_cast<Amount>(a.own));
    a.own -= static_cast<double>(own);
    left -= own;
    while (left > 0 && a.count > 0) {
      const Amount take = std::min(left, a.parts[0].amount);
      a.parts[0].amount -= take;
      left -= take;
      if (a.parts[0].amount == 0) drop_first(a);
    }
  }
  return out;
}

std::vector<QuotaHolder::Question> QuotaHolder::questions(Micros now) {
  std::vector<Question> out;
  for (Account& a : accounts_) {
    age(now, a);
    if (leaving_) continue;
    if (a.asking != 0 && now - a.ask_first >= kAskUntil) {
      remember(a.given_up, a.asking);
      a.asking = 0;
      a.to_peer = !a.to_peer;
      ++a.unanswered;
    }
    if (a.asking != 0) {
      if (now - a.ask_sent < kAskAgain) continue;
      a.ask_sent = now;
      out.push_back({a.ask, a.to_peer});
      continue;
    }
    if (now - a.asked_for >= kIdle || now < a.not_before || a.count == kMostParts) continue;
    const double rate = std::max(0.0, demand(now, a) - a.budget.own_per_s());
    const double need = std::max<double>(kOne, rate * kAhead / 1e6);
    const double have = static_cast<double>(parts(a));
    if (have >= need / 2 && have >= kOne) continue;
    a.ask.set_number(a.asking = ++numbers_);
    a.ask.set_budget(a.budget.name);
    a.ask.set_want(static_cast<std::int64_t>(std::ceil((need - have) / kOne)) * kOne);
    a.ask.set_demand(static_cast<std::int64_t>(rate));
    a.ask_first = a.ask_sent = now;
    out.push_back({a.ask, a.to_peer});
  }
  return out;
}

void QuotaHolder::parcel(Micros now, const coordination::QuotaLease& p) {
  for (Account& a : accounts_) {
    if (a.budget.name != p.budget()) continue;
    // Whatever the sender says: no more than the whole, for no longer than its time.
    const Amount most = a.budget.stock() ? a.budget.whole : a.budget.burst;
    if (p.amount() < 0 || p.amount() > most || p.valid_us() < 0 || p.again_us() < 0) return;
    const Micros valid = std::min<Micros>(p.valid_us(), a.budget.part_valid()) * 9 / 10;
    const Part part{p.amount(), a.ask_first + valid, p.bank(), p.serial()};
    if (a.asking == 0 || p.ask() != a.asking) {
      const auto late = std::find(a.given_up.begin(), a.given_up.end(), p.ask());
      if (late == a.given_up.end()) return;
      a.given_up.erase(late);
      return back(a.budget, part);
    }
    a.asking = 0;
    a.unanswered = 0;
    a.not_before = now + kLeast;
    if (p.amount() == 0) a.not_before = now + std::clamp<Micros>(p.again_us(), kLeast, 2 * core::kSecond);
    if (p.bank() != 0) {
      a.to_peer = false;
      a.last_part = now;
    } else {
      a.borrowed += p.amount();
      a.to_peer = false;  // the bank first, next time
    }
    if (p.amount() == 0 || part.ends <= now || a.count == kMostParts) return back(a.budget, part);
    std::size_t at = a.count++;
    for (; at > 0 && a.parts[at - 1].ends > part.ends; --at) a.parts[at] = a.parts[at - 1];
    a.parts[at] = part;
    return;
  }
}

// Half of what is left beyond this router's own need, out of the part that runs longest.
std::optional<coordination::QuotaLease> QuotaHolder::lend(Micros now, const std::string&,
                                                          const coordination::QuotaRequest& ask) {
  for (Account& a : accounts_) {
    if (a.budget.name != ask.budget() || ask.want() <= 0 || ask.want() > kMostAmount) continue;
    age(now, a);
    if (std::find(a.lent_for.begin(), a.lent_for.end(), ask.number()) != a.lent_for.end())
      return std::nullopt;
    coordination::QuotaLease p;
    p.set_ask(ask.number());
    p.set_budget(ask.budget());
    p.set_again_us(kComeBack);
    const double need = std::max<double>(kOne, demand(now, a) * kAhead / 1e6);
    if (a.count > 0 && !leaving_) {
      Part& part = a.parts[a.count - 1];
      const double spare =
          std::min(static_cast<double>(parts(a)) - need, static_cast<double>(part.amount)) / 2;
      const Amount give =
          std::min<Amount>(ask.want(), static_cast<Amount>(std::max(0.0, spare) / kOne) * kOne);
      p.set_amount(give);
      p.set_valid_us(part.ends - now);
      part.amount -= give;
      a.lent += give;
    }
    remember(a.lent_for, ask.number());
    return p;
  }
  return std::nullopt;
}

std::vector<coordination::QuotaReturn> QuotaHolder::returns() { return std::exchange(returns_, {}); }

void QuotaHolder::give_back_all() {
  leaving_ = true;
  for (Account& a : accounts_) {
    for (; a.count > 0; drop_first(a)) back(a.budget, a.parts[0]);
  }
}

Micros QuotaHolder::next(Micros now) const {
  Micros at = core::kNever;
  for (const Account& a : accounts_) {
    if (now - a.asked_for < kIdle || a.asking != 0 || a.count > 0) at = now + kLeast;
  }
  return at;
}

Amount QuotaHolder::held(Micros now, std::size_t budget) const {
  Account a = accounts_[budget];
  Amount sum = static_cast<Amount>(a.own);
  for (std::size_t i = 0; i < a.count; ++i) sum += a.parts[i].ends > now ? a.parts[i].amount : 0;
  return sum;
}

void QuotaHolder::status(Micros now, coordination::SharedStatus& out) const {
  for (const Account& a : accounts_) {
    auto& b = *out.add_budgets();
    b.set_name(a.budget.name);
    for (std::size_t i = 0; i < a.count; ++i)
      b.set_held(b.held() + (a.parts[i].ends > now ? a.parts[i].amount : 0));
    b.set_own(static_cast<std::int64_t>(a.own));
    b.set_spent(a.spent);
    b.set_refused(a.refused);
    b.set_demand(static_cast<std::int64_t>(demand(now, a)));
    b.set_expired(a.expired);
    b.set_lent(a.lent);
    b.set_borrowed(a.borrowed);
    b.set_age_us(a.last_part < 0 ? -1 : now - a.last_part);
  }
}

}  // namespace flintglade::shared
