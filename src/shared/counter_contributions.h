// The requests that each process of one router has counted, and how rows of several processes are merged.
//
// A grow-only counter (Shapiro and others, "Conflict-free Replicated Data Types", 2011) with one entry for
// each process. Of two versions of one process's entry the later wins, so the result of merging a set of rows
// does not depend on their order. A row of a later process also carries the entries of earlier processes, as
// separate entries.
//
// An entry may also be a sum over several processes that cannot be separated again: when there are too many
// processes, or in a row from an older program version that does not write entries. A sum replaces all
// entries that it includes, and later versions of those are ignored. Of several sums only the latest counts,
// since they may include the same processes.
//
// Pure: no clock, no I/O.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "coordination.pb.h"

namespace flintglade::shared {

// The requests that a count covers. Both fields empty: the remaining teams and classes together.
struct CountKey {
  std::string team;
  std::string request_class;
  // clang-tidy 14 takes the 0 of the generated comparison for a null pointer.
  auto operator<=>(const CountKey&) const = default;  // NOLINT(modernize-use-nullptr): see above
};
using Counts = std::map<CountKey, coordination::RequestCounts>;

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more);
void add(Counts& to, const Counts& more);

// The entry of one process, or a sum over several.
struct Contribution {
  std::uint64_t version = 0;  // of the process's row that the counts come from
  Counts counts;
  // For a sum: the processes that it includes, which are all that started before `holds_before`, and those in
  // `holds`.
  std::uint64_t holds_before = 0;
  std::set<std::uint64_t> holds;

  bool is_sum() const { return holds_before != 0 || !holds.empty(); }
  bool holds_process(std::uint64_t birth) const { return birth < holds_before || holds.contains(birth); }
};

// All entries of one router, by the birth of the process.
class Contributions {
 public:
  using Map = std::map<std::uint64_t, Contribution>;

  // The entries in a row, which must have passed the plausibility check.
  static Contributions of_row(const coordination::CounterRow& row);

  // Returns true if anything changed.
  bool merge(std::uint64_t birth, const Contribution& contribution);
  bool merge(const Contributions& other);
  // Merges the earliest entries into a sum until at most `max_entries` are left.
  void compact(std::size_t max_entries);

  const Map& by_birth() const { return by_birth_; }
  Counts total() const;

 private:
  // Drops the entries that a later sum includes.
  void drop_included();

  Map by_birth_;
};

// Adds the entry to the row's `parts`.
void append_part(coordination::CounterRow& row, std::uint64_t birth, const Contribution& contribution);

}  // namespace flintglade::shared
