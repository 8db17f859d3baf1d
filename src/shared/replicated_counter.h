// Request counts of the whole fleet: a row for each process of each router, merged by version (a grow-only
// counter; Shapiro and others, "Conflict-free Replicated Data Types", 2011).
//
// A router that starts anew folds the rows of its earlier processes into its own and says up to which
// version; the others drop those rows then. So there is a row for each router, not for each start.
//
// A total is what has reached this router, and an upper bound for what can't have reached it yet: each row's
// owner may have ended max_requests_per_s since it made the row. The bound holds for routers that this one
// has heard of, and as long as the quickest packet between two routers takes less than max_delay.
//
// No I/O; times are of one monotonic clock.
#pragma once

#include <compare>
#include <cstdint>
#include <map>
#include <string>

#include "absl/status/status.h"
#include "coordination.pb.h"
#include "shared/settings.h"
#include "shared/versioned_table.h"

namespace flintglade::shared {

// Which requests one count is of. Both empty: of any team and class.
struct CountKey {
  std::string team;
  std::string request_class;
  // clang-tidy 14 takes the 0 of the generated comparison for a null pointer.
  auto operator<=>(const CountKey&) const = default;  // NOLINT(modernize-use-nullptr): as said above
};
struct TotalKey {
  std::string team;
  std::string request_class;
  std::string site;
  auto operator<=>(const TotalKey&) const = default;  // NOLINT(modernize-use-nullptr): as said above
};

class ReplicatedCounter {
 public:
  using Counts = std::map<CountKey, coordination::RequestCounts>;

  ReplicatedCounter(const Settings& settings, std::string router, std::uint64_t birth, std::string site);

  // What this process has counted until now. True: there is a new version of its row.
  bool seal(Micros now, const Counts& counts);
  // Merges a row of another process, or of an earlier one of this router. Not OK: an implausible row, which
  // is dropped.
  absl::Status merge(Micros now, coordination::CounterRow row, Micros extra_delay, int transmissions);

  struct Total {
    coordination::RequestCounts count;
    std::uint64_t max_served = 0;  // upper bound
    Micros oldest = 0;             // age of the oldest row in it
  };
  std::map<TotalKey, Total> totals(Micros now) const;

  VersionedTable<coordination::CounterRow>& table() { return table_; }
  const VersionedTable<coordination::CounterRow>& table() const { return table_; }

 private:
  bool is_plausible(const coordination::CounterRow& row) const;
  // Whether a row of a later process of that router holds this one's counts already.
  bool is_folded(const ProcessId& process, std::uint64_t version) const;
  void fold_into_own(coordination::CounterRow row);
  coordination::CounterRow make_row(const Counts& counts) const;
  void drop_folded_rows(Micros now, const coordination::CounterRow& row);

  Settings settings_;
  ProcessId self_;
  std::string site_;
  VersionedTable<coordination::CounterRow> table_;
  std::map<std::uint64_t, coordination::CounterRow>
      earlier_;                        // of this router, folded into our row; by birth
  std::map<ProcessId, Micros> ended_;  // processes that are surely over, since when
  Counts own_;
  bool dirty_ = true;  // something was folded in since the last version
};

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more);

}  // namespace flintglade::shared
