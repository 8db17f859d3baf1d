#include "shared/replicated_counter.h"

#include <algorithm>
#include <utility>

namespace flintglade::shared {
namespace {

constexpr std::size_t kMaxEarlier = 16;  // processes of one router that a row says to have folded in
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint64_t kMaxCount = std::uint64_t{1} << 53;
constexpr Micros kUnsealed =
    core::kSecond;  // what a process may have counted and never told, beside its row's age
constexpr Micros kResealAfter =
    5 * core::kSecond;  // an unchanged row gets a new version, so that it ages no more

const coordination::VersionMark* fold_mark(const coordination::CounterRow& later, std::uint64_t birth) {
  for (const coordination::VersionMark& mark : later.folded()) {
    if (mark.birth() == birth) return &mark;
  }
  return nullptr;
}

// Whether this row of a later process has folded that one in, up to some version. Marks are bounded: those
// that are missing below the first one were folded in too.
bool has_folded(const coordination::CounterRow& later, std::uint64_t birth) {
  return fold_mark(later, birth) != nullptr || (later.folded_size() > 0 && birth < later.folded(0).birth());
}

bool same_counts(const coordination::RequestCounts& a, const coordination::RequestCounts& b) {
  return a.served() == b.served() && a.refused() == b.refused() && a.failed() == b.failed() &&
         a.tokens() == b.tokens() && a.worth() == b.worth();
}

bool same_counts(const ReplicatedCounter::Counts& a, const ReplicatedCounter::Counts& b) {
  return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](const auto& x, const auto& y) {
           return x.first == y.first && same_counts(x.second, y.second);
         });
}

bool is_plausible_count(const coordination::RequestCounts& count) {
  if (count.team().size() > kMaxNameBytes || count.klass().size() > kMaxNameBytes) return false;
  return std::max({count.served(), count.refused(), count.failed(), count.tokens(), count.worth()}) <=
         kMaxCount;
}

}  // namespace

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more) {
  to.set_served(to.served() + more.served());
  to.set_refused(to.refused() + more.refused());
  to.set_failed(to.failed() + more.failed());
  to.set_tokens(to.tokens() + more.tokens());
  to.set_worth(to.worth() + more.worth());
}

ReplicatedCounter::ReplicatedCounter(const Settings& settings, std::string router, std::uint64_t birth,
                                     std::string site)
    : settings_(settings),
      self_{std::move(router), birth},
      site_(std::move(site)),
      table_(settings.max_rows) {}

bool ReplicatedCounter::seal(Micros now, const Counts& counts) {
  const auto last = table_.rows().find(self_);
  if (same_counts(counts, own_) && !dirty_ && now - last->second.sealed < kResealAfter) return false;
  own_ = counts;
  dirty_ = false;
  table_.merge(now, make_row(counts), 0, 0);
  return true;
}

coordination::CounterRow ReplicatedCounter::make_row(const Counts& counts) const {
  Counts sum = counts;
  coordination::CounterRow row;
  for (const auto& [birth, earlier] : earlier_) {
    for (const coordination::RequestCounts& count : earlier.counts()) {
      add(sum[{count.team(), count.klass()}], count);
    }
    coordination::VersionMark& mark = *row.add_folded();
    mark.set_name(self_.router);
    mark.set_birth(birth);
    mark.set_version(earlier.version());
  }
  row.set_name(self_.router);
  row.set_birth(self_.birth);
  row.set_site(site_);
  row.set_version(table_.version(self_) + 1);
  // Beyond the bound all others count as one.
  coordination::RequestCounts rest;
  for (const auto& [key, count] : sum) {
    if (static_cast<std::size_t>(row.counts_size()) + 1 >= settings_.max_counts_per_row) {
      add(rest, count);
      continue;
    }
    coordination::RequestCounts& out = *row.add_counts();
    out = count;
    out.set_team(key.team);
    out.set_klass(key.request_class);
  }
  if (sum.size() >= settings_.max_counts_per_row) *row.add_counts() = rest;
  return row;
}

bool ReplicatedCounter::is_plausible(const coordination::CounterRow& row) const {
  if (row.name().empty() || row.name().size() > kMaxNameBytes || row.site().size() > kMaxNameBytes)
    return false;
  if (row.version() == 0 || row.version() > kMaxCount || row.birth() == 0 || row.age_us() < 0) return false;
  if (static_cast<std::size_t>(row.counts_size()) > settings_.max_counts_per_row) return false;
  if (static_cast<std::size_t>(row.folded_size()) > kMaxEarlier) return false;
  return std::all_of(row.counts().begin(), row.counts().end(), is_plausible_count) &&
         std::all_of(row.folded().begin(), row.folded().end(), [&](const coordination::VersionMark& mark) {
           return mark.name() == row.name() && mark.birth() < row.birth();
         });
}

bool ReplicatedCounter::is_folded(const ProcessId& process, std::uint64_t version) const {
  for (const auto& [other, row] : table_.rows()) {
    if (other.router != process.router || other.birth <= process.birth) continue;
    const coordination::VersionMark* mark = fold_mark(row.entry, process.birth);
    if (mark != nullptr ? mark->version() >= version : has_folded(row.entry, process.birth)) return true;
  }
  return false;
}

absl::Status ReplicatedCounter::merge(Micros now, coordination::CounterRow row, Micros extra_delay,
                                      int transmissions) {
  if (!is_plausible(row)) return absl::InvalidArgumentError("numbers that cannot be");
  const ProcessId process{row.name(), row.birth()};
  if (process == self_) {
    if (row.version() <= table_.version(self_)) return absl::OkStatus();
    return absl::InvalidArgumentError("a row of ours that we have not written");
  }
  const bool of_this_router = process.router == self_.router;
  if (of_this_router && process.birth > self_.birth)
    return absl::OkStatus();                                       // this process is the earlier one
  if (is_folded(process, row.version())) return absl::OkStatus();  // it is not to come back
  if (of_this_router) {
    // Of an earlier process: it is over, since its address was free.
    fold_into_own(std::move(row));
    return absl::OkStatus();
  }
  const coordination::CounterRow copy = row;
  if (table_.merge(now, std::move(row), extra_delay, transmissions)) drop_folded_rows(now, copy);
  return absl::OkStatus();
}

void ReplicatedCounter::drop_folded_rows(Micros now, const coordination::CounterRow& row) {
  for (const coordination::VersionMark& mark : row.folded()) {
    const ProcessId earlier{mark.name(), mark.birth()};
    ended_.try_emplace(earlier, now);
    if (table_.version(earlier) <= mark.version()) table_.erase(earlier);
  }
}

// What an earlier process had folded in stands in its row already.
void ReplicatedCounter::fold_into_own(coordination::CounterRow row) {
  const std::uint64_t birth = row.birth();
  for (const auto& [other, earlier] : earlier_) {
    if (other > birth && has_folded(earlier, birth)) return;
    if (other == birth && earlier.version() >= row.version()) return;
  }
  std::erase_if(earlier_,
                [&](const auto& entry) { return entry.first < birth && has_folded(row, entry.first); });
  if (earlier_.size() < kMaxEarlier || earlier_.contains(birth)) earlier_[birth] = std::move(row);
  dirty_ = true;
}

std::map<TotalKey, ReplicatedCounter::Total> ReplicatedCounter::totals(Micros now) const {
  std::map<TotalKey, Total> totals;
  for (const auto& [process, row] : table_.rows()) {
    // A later process has folded this row in, but not as far as it has reached us: what is beyond is not
    // known.
    const auto folded_by = [&, &process = process](const auto& other) {
      return other.first.router == process.router && other.first.birth > process.birth &&
             has_folded(other.second.entry, process.birth);
    };
    const bool counted = std::any_of(table_.rows().begin(), table_.rows().end(), folded_by);
    const auto ended = ended_.find(process);
    const Micros age = std::max<Micros>(0, (ended == ended_.end() ? now : ended->second) - row.sealed);
    const Micros unknown = age + settings_.max_delay + kUnsealed;
    const auto max_unknown = static_cast<std::uint64_t>(settings_.max_requests_per_s *
                                                        static_cast<double>(unknown) / kMicrosPerSecond);
    for (const coordination::RequestCounts& count : row.entry.counts()) {
      Total& total = totals[{count.team(), count.klass(), row.entry.site()}];
      if (!counted) add(total.count, count);
      total.max_served += count.served() + max_unknown;
      total.oldest = std::max(total.oldest, age);
    }
  }
  return totals;
}

}  // namespace flintglade::shared
