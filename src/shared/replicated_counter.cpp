#include "shared/replicated_counter.h"

namespace flintglade::shared {
namespace {
constexpr std::size_t kMostEarlier = 16, kMostName = 64;
constexpr std::uint64_t kMostCount = std::uint64_t{1} << 53;
constexpr Micros kUnsealed = core::kSecond;  // what a life may have counted and never told, beside its age
constexpr Micros kStill =
    5 * core::kSecond;  // a row that has not changed is sealed anew, so that it ages no more

// Whether this row of a later life has taken in that one, as far as some version of it.
const coordination::VersionMark* folded(const coordination::CounterRow& later, std::uint64_t birth) {
  for (const coordination::VersionMark& m : later.folded()) {
    if (m.birth() == birth) return &m;
  }
  return nullptr;
}
bool took_in(const coordination::CounterRow& later, std::uint64_t birth) {
  return folded(later, birth) != nullptr || (later.folded_size() > 0 && birth < later.folded(0).birth());
}
}  // namespace

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more) {
  to.set_served(to.served() + more.served());
  to.set_refused(to.refused() + more.refused());
  to.set_failed(to.failed() + more.failed());
  to.set_tokens(to.tokens() + more.tokens());
  to.set_worth(to.worth() + more.worth());
}

ReplicatedCounter::ReplicatedCounter(const Settings& settings, std::string name, std::uint64_t birth,
                                     std::string site)
    : settings_(settings), self_(std::move(name), birth), site_(std::move(site)), rows_(settings.most_rows) {}

bool ReplicatedCounter::seal(Micros now, const Counts& counts) {
  const auto same = [](const coordination::RequestCounts& a, const coordination::RequestCounts& b) {
    return a.served() == b.served() && a.refused() == b.refused() && a.failed() == b.failed() &&
           a.tokens() == b.tokens() && a.worth() == b.worth();
  };
  const bool changed =
      counts.size() != own_.size() ||
      !std::equal(counts.begin(), counts.end(), own_.begin(), [&](const auto& a, const auto& b) {
        return a.first == b.first && same(a.second, b.second);
      });
  const auto last = rows_.all().find(self_);
  if (!changed && !dirty_ && now - last->second.sealed < kStill) return false;
  own_ = counts;
  dirty_ = false;
  Counts sum = counts;
  coordination::CounterRow row;
  for (const auto& [birth, earlier] : earlier_) {
    for (const coordination::RequestCounts& c : earlier.counts()) {
      coordination::RequestCounts& to = sum[{c.team(), c.klass()}];
      add(to, c);
    }
    coordination::VersionMark& mark = *row.add_folded();
    mark.set_name(self_.first);
    mark.set_birth(birth);
    mark.set_version(earlier.version());
  }
  row.set_name(self_.first);
  row.set_birth(self_.second);
  row.set_site(site_);
  row.set_version(rows_.version(self_) + 1);
  // Beyond the bound all others count as one.
  coordination::RequestCounts rest;
  for (const auto& [key, count] : sum) {
    if (static_cast<std::size_t>(row.counts_size()) + 1 >= settings_.most_counts) {
      add(rest, count);
      continue;
    }
    coordination::RequestCounts& c = *row.add_counts();
    c = count;
    c.set_team(key.first);
    c.set_klass(key.second);
  }
  if (sum.size() >= settings_.most_counts) *row.add_counts() = rest;
  rows_.take(now, std::move(row), 0, 0);
  return true;
}

bool ReplicatedCounter::sane(const coordination::CounterRow& row) const {
  if (row.name().empty() || row.name().size() > kMostName || row.site().size() > kMostName ||
      row.version() == 0 || row.version() > kMostCount || row.birth() == 0 || row.age_us() < 0 ||
      static_cast<std::size_t>(row.counts_size()) > settings_.most_counts ||
      static_cast<std::size_t>(row.folded_size()) > kMostEarlier)
    return false;
  for (const coordination::RequestCounts& c : row.counts()) {
    if (c.team().size() > kMostName || c.klass().size() > kMostName) return false;
    for (const std::uint64_t n : {c.served(), c.refused(), c.failed(), c.tokens(), c.worth()}) {
      if (n > kMostCount) return false;
    }
  }
  for (const coordination::VersionMark& m : row.folded()) {
    if (m.name() != row.name() || m.birth() >= row.birth()) return false;
  }
  return true;
}

std::string ReplicatedCounter::take(Micros now, coordination::CounterRow row, Micros late, int passes) {
  if (!sane(row)) return "numbers that cannot be";
  const Life life{row.name(), row.birth()};
  if (life == self_)
    return row.version() > rows_.version(self_) ? "a row of ours that we have not written" : "";
  if (life.first == self_.first && life.second > self_.second) return "";  // this process is the earlier one
  // A row that a later life has taken in is not to come back.
  for (const auto& [held, h] : rows_.all()) {
    if (held.first != life.first || held.second <= life.second) continue;
    const coordination::VersionMark* mark = folded(h.entry, life.second);
    if (mark != nullptr ? mark->version() >= row.version() : took_in(h.entry, life.second)) return "";
  }
  if (life.first == self_.first) {
    // Of a life before this one: the address was free, so it is over.
    take_in(std::move(row));
    return "";
  }
  const coordination::CounterRow copy = row;
  if (!rows_.take(now, std::move(row), late, passes)) return "";
  for (const coordination::VersionMark& m : copy.folded()) {
    const Life before{m.name(), m.birth()};
    ended(now, before);
    if (rows_.version(before) <= m.version()) rows_.erase(before);
  }
  return "";
}

// Into our own row. What an earlier life had taken in stands in its row already.
void ReplicatedCounter::take_in(coordination::CounterRow row) {
  const std::uint64_t birth = row.birth();
  for (const auto& [other, e] : earlier_) {
    if (other > birth && took_in(e, birth)) return;
    if (other == birth && e.version() >= row.version()) return;
  }
  std::erase_if(earlier_, [&](const auto& e) { return e.first < birth && took_in(row, e.first); });
  if (earlier_.size() < kMostEarlier || earlier_.count(birth) > 0) earlier_[birth] = std::move(row);
  dirty_ = true;
}

void ReplicatedCounter::ended(Micros now, const Life& life) { ended_.try_emplace(life, now); }

std::map<std::tuple<std::string, std::string, std::string>, ReplicatedCounter::Total>
ReplicatedCounter::totals(Micros now) const {
  std::map<std::tuple<std::string, std::string, std::string>, Total> out;
  for (const auto& [life, h] : rows_.all()) {
    // A row that a later life has taken in, but not as far as we have heard: what is beyond is not known.
    bool counted = false;
    for (const auto& [other, later] : rows_.all())
      counted = counted || (other.first == life.first && other.second > life.second &&
                            took_in(later.entry, life.second));
    const auto over = ended_.find(life);
    const Micros age = std::max<Micros>(0, (over == ended_.end() ? now : over->second) - h.sealed);
    const Micros unknown = age + settings_.most_delay + kUnsealed;
    const auto most = static_cast<std::uint64_t>(settings_.most_per_s * static_cast<double>(unknown) / 1e6);
    for (const coordination::RequestCounts& c : h.entry.counts()) {
      Total& t = out[{c.team(), c.klass(), h.entry.site()}];
      if (!counted) add(t.count, c);
      t.most_served += c.served() + most;
      t.oldest = std::max(t.oldest, age);
    }
  }
  return out;
}

}  // namespace flintglade::shared
