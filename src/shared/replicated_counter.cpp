#include "shared/replicated_counter.h"

#include <algorithm>
#include <utility>

namespace flintglade::shared {
namespace {

constexpr std::size_t kMaxEarlier = 16;           // earlier processes of a router with an entry in its row
constexpr std::size_t kMaxPartBytes = 24u << 10;  // of all entries of a row
constexpr std::size_t kMaxNameBytes = 64;
constexpr std::uint64_t kMaxCount = std::uint64_t{1} << 53;
// Time, beyond the age of its last row, for which a process may have counted requests that are in no version
// of its row.
constexpr Micros kUnsealed = core::kSecond;
// An unchanged row gets a new version at this age, so that its age stays bounded.
constexpr Micros kResealAfter = 5 * core::kSecond;

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

ReplicatedCounter::ReplicatedCounter(const Settings& settings, std::string router, std::uint64_t birth,
                                     std::string site)
    : settings_(settings),
      self_{std::move(router), birth},
      site_(std::move(site)),
      table_(settings.max_rows) {}

bool ReplicatedCounter::seal(Micros now, const Counts& counts) {
  const auto last = table_.rows().find(self_);
  const bool nothing_new = is_sealed_ && !has_unsealed_folds_ && same_counts(counts, own_);
  if (nothing_new && now - last->second.sealed < kResealAfter) return false;
  own_ = counts;
  is_sealed_ = true;
  has_unsealed_folds_ = false;
  table_.merge(now, make_row(), 0, 0);
  return true;
}

// `parts` has the entries. For older program versions, which do not read those, `counts` has the total and
// `folded` the earlier processes that it includes.
coordination::CounterRow ReplicatedCounter::make_row() {
  coordination::CounterRow row;
  row.set_name(self_.router);
  row.set_birth(self_.birth);
  row.set_site(site_);
  row.set_version(table_.version(self_) + 1);
  earlier_.compact(kMaxEarlier);
  Counts sum = own_;
  add(sum, earlier_.total());
  const std::size_t max_counts = settings_.max_counts_per_row;
  // Teams and classes beyond the bound are added up in one count.
  coordination::RequestCounts others;
  for (const auto& [key, count] : sum) {
    if (static_cast<std::size_t>(row.counts_size()) + 1 >= max_counts) {
      add(others, count);
      continue;
    }
    coordination::RequestCounts& out = *row.add_counts();
    out = count;
    out.set_team(key.team);
    out.set_klass(key.request_class);
  }
  if (sum.size() >= max_counts) *row.add_counts() = others;
  if (earlier_.by_birth().empty()) return row;
  std::size_t entries = own_.size();
  for (const auto& [birth, earlier] : earlier_.by_birth()) {
    coordination::VersionMark& mark = *row.add_folded();
    mark.set_name(self_.router);
    mark.set_birth(birth);
    mark.set_version(earlier.version);
    append_part(row, birth, earlier);
    entries = std::max(entries, earlier.counts.size());
  }
  append_part(row, self_.birth, {row.version(), own_, 0, {}});
  std::size_t part_bytes = 0;
  for (const coordination::ProcessCounts& part : row.parts()) part_bytes += part.ByteSizeLong();
  // A row that has once been a sum stays a sum: readers prefer sums over entries, whatever their version.
  sums_only_ = sums_only_ || part_bytes > kMaxPartBytes || entries > max_counts;
  if (sums_only_) row.clear_parts();
  return row;
}

bool ReplicatedCounter::is_plausible(const coordination::CounterRow& row) const {
  if (row.name().empty() || row.name().size() > kMaxNameBytes || row.site().size() > kMaxNameBytes)
    return false;
  if (row.version() == 0 || row.version() > kMaxCount || row.birth() == 0 || row.age_us() < 0) return false;
  if (static_cast<std::size_t>(row.counts_size()) > settings_.max_counts_per_row) return false;
  if (static_cast<std::size_t>(row.folded_size()) > kMaxEarlier) return false;
  if (static_cast<std::size_t>(row.parts_size()) > kMaxEarlier + 1) return false;
  const auto plausible_counts = [](const auto& counts) {
    return std::all_of(counts.begin(), counts.end(), is_plausible_count);
  };
  const auto plausible_mark = [&](const coordination::VersionMark& mark) {
    return mark.name() == row.name() && mark.birth() < row.birth();
  };
  const auto plausible_part = [&](const coordination::ProcessCounts& part) {
    return part.birth() != 0 && part.birth() <= row.birth() && part.version() != 0 &&
           part.version() <= kMaxCount && part.holds_before() <= part.birth() &&
           static_cast<std::size_t>(part.holds_size()) <= kMaxEarlier &&
           static_cast<std::size_t>(part.counts_size()) <= settings_.max_counts_per_row &&
           plausible_counts(part.counts());
  };
  return plausible_counts(row.counts()) &&
         std::all_of(row.folded().begin(), row.folded().end(), plausible_mark) &&
         std::all_of(row.parts().begin(), row.parts().end(), plausible_part);
}

Contributions ReplicatedCounter::contributions(const std::string& router, std::uint64_t after_birth) const {
  Contributions out;
  for (auto it = table_.rows().upper_bound({router, after_birth});
       it != table_.rows().end() && it->first.router == router; ++it) {
    out.merge(Contributions::of_row(it->second.entry));
  }
  return out;
}

bool ReplicatedCounter::is_superseded(const coordination::CounterRow& row) const {
  // A row without entries comes from an older program version: what it includes is given by its marks, and it
  // can still fold versions later than those.
  bool is_marked = false;
  bool is_beyond_mark = false;
  for (auto it = table_.rows().upper_bound({row.name(), row.birth()});
       it != table_.rows().end() && it->first.router == row.name(); ++it) {
    if (!it->second.entry.parts().empty()) continue;
    for (const coordination::VersionMark& mark : it->second.entry.folded()) {
      if (mark.birth() != row.birth()) continue;
      (mark.version() < row.version() ? is_beyond_mark : is_marked) = true;
    }
  }
  if (is_beyond_mark && !is_marked) return false;
  Contributions later = contributions(row.name(), row.birth());
  return !later.by_birth().empty() && !later.merge(Contributions::of_row(row));
}

absl::Status ReplicatedCounter::merge(Micros now, coordination::CounterRow row, Micros extra_delay,
                                      int transmissions) {
  if (!is_plausible(row)) return absl::InvalidArgumentError("implausible names, numbers or sizes");
  const ProcessId process{row.name(), row.birth()};
  if (process == self_) {
    if (row.version() <= table_.version(self_)) return absl::OkStatus();
    return absl::InvalidArgumentError("claims to be this process's own row, in a version it has not written");
  }
  const bool of_this_router = process.router == self_.router;
  if (of_this_router && process.birth > self_.birth)
    return absl::OkStatus();  // this process is the earlier one
  if (of_this_router) {
    // From an earlier process, which has ended: this one could bind its address.
    fold_into_own(row);
    return absl::OkStatus();
  }
  if (is_superseded(row)) return absl::OkStatus();  // a dropped row must not be added again
  const coordination::CounterRow copy = row;
  if (table_.merge(now, std::move(row), extra_delay, transmissions)) drop_superseded_rows(now, copy);
  return absl::OkStatus();
}

void ReplicatedCounter::drop_superseded_rows(Micros now, const coordination::CounterRow& row) {
  for (const coordination::VersionMark& mark : row.folded()) {
    const ProcessId earlier{mark.name(), mark.birth()};
    if (table_.rows().contains(earlier)) ended_.try_emplace(earlier, now);
  }
  for (auto it = table_.rows().lower_bound({row.name(), 0});
       it != table_.rows().end() && it->first.router == row.name() && it->first.birth < row.birth();) {
    if (!is_superseded(it->second.entry)) {
      ++it;
      continue;
    }
    ++counters_.superseded;
    ended_.erase(it->first);
    it = table_.rows().erase(it);
  }
}

void ReplicatedCounter::fold_into_own(const coordination::CounterRow& row) {
  const Contributions of_row = Contributions::of_row(row);
  if (earlier_.merge(of_row)) {
    ++counters_.folds;
    has_unsealed_folds_ = true;
    return;
  }
  const auto known = earlier_.by_birth().find(row.birth());
  counters_.not_counted += known == earlier_.by_birth().end() || known->second.version < row.version();
}

Micros ReplicatedCounter::age(Micros now, const ProcessId& process, Micros sealed) const {
  const auto ended = ended_.find(process);
  return std::max<Micros>(0, (ended == ended_.end() ? now : ended->second) - sealed);
}

std::map<TotalKey, ReplicatedCounter::Total> ReplicatedCounter::totals(Micros now) const {
  std::map<TotalKey, Total> totals;
  for (auto it = table_.rows().begin(); it != table_.rows().end();) {
    const std::string& router = it->first.router;
    const Contributions of_router = contributions(router, 0);
    std::string site;
    for (; it != table_.rows().end() && it->first.router == router; ++it) {
      const coordination::CounterRow& row = it->second.entry;
      site = row.site();
      const Micros row_age = age(now, it->first, it->second.sealed);
      const Micros unknown = row_age + settings_.max_delay + kUnsealed;
      const auto max_unknown = static_cast<std::uint64_t>(settings_.max_requests_per_s *
                                                          static_cast<double>(unknown) / kMicrosPerSecond);
      // If this process has no entry left, a sum includes some version of it. How much of this row that
      // covers is not known, so the upper bound counts all of it.
      const bool is_in_sum = !of_router.by_birth().contains(row.birth());
      for (const coordination::RequestCounts& count : row.counts()) {
        Total& total = totals[{count.team(), count.klass(), site}];
        total.max_served += max_unknown + (is_in_sum ? count.served() : 0);
        total.oldest = std::max(total.oldest, row_age);
      }
    }
    for (const auto& [key, count] : of_router.total()) {
      Total& total = totals[{key.team, key.request_class, site}];
      add(total.count, count);
      total.max_served += count.served();
    }
  }
  return totals;
}

}  // namespace flintglade::shared
