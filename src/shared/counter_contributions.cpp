#include "shared/counter_contributions.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <vector>

namespace flintglade::shared {
namespace {

template <typename Repeated>
Counts counts_of(const Repeated& counts) {
  Counts out;
  for (const coordination::RequestCounts& count : counts) add(out[{count.team(), count.klass()}], count);
  return out;
}

std::uint64_t served(const Counts& counts) {
  std::uint64_t sum = 0;
  for (const auto& [key, count] : counts) sum += count.served();
  return sum;
}

// Whether `candidate` replaces `known` as the entry of one process: a sum ranks above the entry of a single
// process, then the later version wins. Two sums with the same version can differ if two processes merged
// different entries.
bool is_newer(const Contribution& candidate, const Contribution& known) {
  const auto rank = [](const Contribution& entry) {
    return std::tuple(entry.is_sum(), entry.version, entry.holds_before, served(entry.counts));
  };
  return rank(candidate) > rank(known);
}

}  // namespace

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more) {
  to.set_served(to.served() + more.served());
  to.set_refused(to.refused() + more.refused());
  to.set_failed(to.failed() + more.failed());
  to.set_tokens(to.tokens() + more.tokens());
  to.set_worth(to.worth() + more.worth());
}

void add(Counts& to, const Counts& more) {
  for (const auto& [key, count] : more) add(to[key], count);
}

Contributions Contributions::of_row(const coordination::CounterRow& row) {
  Contributions out;
  if (row.parts().empty()) {
    Contribution& own = out.by_birth_[row.birth()];
    own.version = row.version();
    own.counts = counts_of(row.counts());
    for (const coordination::VersionMark& mark : row.folded()) own.holds.insert(mark.birth());
    // Older program versions, which do not write entries, list only the most recent processes in `folded`;
    // all processes before the first one listed are included too.
    if (!row.folded().empty()) own.holds_before = *own.holds.begin();
    return out;
  }
  for (const coordination::ProcessCounts& part : row.parts()) {
    Contribution entry{part.version(), counts_of(part.counts()), part.holds_before(), {}};
    entry.holds.insert(part.holds().begin(), part.holds().end());
    out.merge(part.birth(), entry);
  }
  return out;
}

bool Contributions::merge(std::uint64_t birth, const Contribution& contribution) {
  const bool is_sum = contribution.is_sum();
  for (auto later = by_birth_.upper_bound(birth); later != by_birth_.end(); ++later) {
    if (later->second.holds_process(birth) || (is_sum && later->second.is_sum())) return false;
  }
  const auto [it, added] = by_birth_.try_emplace(birth, contribution);
  if (!added) {
    if (!is_newer(contribution, it->second)) return false;
    it->second = contribution;
  }
  drop_included();
  return true;
}

bool Contributions::merge(const Contributions& other) {
  bool changed = false;
  for (const auto& [birth, contribution] : other.by_birth_) changed |= merge(birth, contribution);
  return changed;
}

void Contributions::drop_included() {
  std::vector<const Contribution*> later_sums;
  for (auto it = by_birth_.end(); it != by_birth_.begin();) {
    --it;
    const bool is_included = std::any_of(later_sums.begin(), later_sums.end(), [&](const Contribution* sum) {
      return it->second.is_sum() || sum->holds_process(it->first);
    });
    if (is_included) {
      it = by_birth_.erase(it);
    } else if (it->second.is_sum()) {
      later_sums.push_back(&it->second);
    }
  }
}

void Contributions::compact(std::size_t max_entries) {
  while (by_birth_.size() > max_entries && by_birth_.size() > 1) {
    const auto first = by_birth_.begin();
    const auto second = std::next(first);
    add(second->second.counts, first->second.counts);
    second->second.holds_before = second->first;
    second->second.holds.clear();
    by_birth_.erase(first);
  }
}

Counts Contributions::total() const {
  Counts sum;
  for (const auto& [birth, contribution] : by_birth_) add(sum, contribution.counts);
  return sum;
}

void append_part(coordination::CounterRow& row, std::uint64_t birth, const Contribution& contribution) {
  coordination::ProcessCounts& part = *row.add_parts();
  part.set_birth(birth);
  part.set_version(contribution.version);
  for (const auto& [key, count] : contribution.counts) {
    coordination::RequestCounts& out = *part.add_counts();
    out = count;
    out.set_team(key.team);
    out.set_klass(key.request_class);
  }
  part.set_holds_before(contribution.holds_before);
  for (const std::uint64_t included_birth : contribution.holds) part.add_holds(included_birth);
}

}  // namespace flintglade::shared
