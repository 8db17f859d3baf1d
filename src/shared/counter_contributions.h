// What each process of one router has counted by itself, and how rows of several processes are put together.
//
// A grow-only counter (Shapiro and others, "Conflict-free Replicated Data Types", 2011) with an entry for
// each process: of two versions of one process the later counts, so any set of rows gives the same whatever
// their order. A row of a later process passes on the entries of earlier ones, each by itself.
//
// An entry may also be a sum of several processes, which cannot be taken apart: where there are too many of
// them, or from a program that knows no entries. A sum stands for all that it holds, whatever comes of those
// later; and where there are several sums only the latest counts, since they may hold the same.
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

// Which requests one count is of. Both empty: of any team and class.
struct CountKey {
  std::string team;
  std::string request_class;
  // clang-tidy 14 takes the 0 of the generated comparison for a null pointer.
  auto operator<=>(const CountKey&) const = default;  // NOLINT(modernize-use-nullptr): as said above
};
using Counts = std::map<CountKey, coordination::RequestCounts>;

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more);
void add(Counts& to, const Counts& more);

// The entry of one process.
struct Contribution {
  std::uint64_t version = 0;  // of that process's row
  Counts counts;
  // Of a sum: it holds all processes that began before this, and these others.
  std::uint64_t holds_before = 0;
  std::set<std::uint64_t> holds;

  bool is_sum() const { return holds_before != 0 || !holds.empty(); }
  bool holds_process(std::uint64_t birth) const { return birth < holds_before || holds.contains(birth); }
};

// Of one router, by the birth of the process.
class Contributions {
 public:
  using Map = std::map<std::uint64_t, Contribution>;

  // What a row says. It has to be plausible.
  static Contributions of_row(const coordination::CounterRow& row);

  // True: something is new.
  bool merge(std::uint64_t birth, const Contribution& contribution);
  bool merge(const Contributions& other);
  // Sums up the earliest processes until no more than so many entries are left.
  void compact(std::size_t max_entries);

  const Map& by_birth() const { return by_birth_; }
  Counts total() const;

 private:
  // Drops what a later sum holds.
  void drop_held();

  Map by_birth_;
};

// As a row passes it on.
void append_part(coordination::CounterRow& row, std::uint64_t birth, const Contribution& contribution);

}  // namespace flintglade::shared
