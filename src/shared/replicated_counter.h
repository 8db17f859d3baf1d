// Request counts of the whole fleet: a row for each process of each router, merged by version (a grow-only
// counter; Shapiro and others, "Conflict-free Replicated Data Types", 2011).
//
// A router that starts anew takes the counts of its earlier processes into its own row, each by itself
// (shared/counter_contributions.h); the others drop the rows of those then. So there is a row for each
// router, not for each start. Of more than kMaxEarlier earlier processes the first ones are summed up: what
// comes of those later is not counted.
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
#include "shared/counter_contributions.h"
#include "shared/settings.h"
#include "shared/versioned_table.h"

namespace flintglade::shared {

struct TotalKey {
  std::string team;
  std::string request_class;
  std::string site;
  auto operator<=>(const TotalKey&) const = default;  // NOLINT(modernize-use-nullptr): as said above
};

class ReplicatedCounter {
 public:
  using Counts = shared::Counts;

  ReplicatedCounter(const Settings& settings, std::string router, std::uint64_t birth, std::string site);

  // What this process has counted until now. True: there is a new version of its row.
  bool seal(Micros now, const Counts& counts);
  // Counts of an earlier process that have come since the last version: a new version with what was counted
  // by then. True: there is one.
  bool seal_folds(Micros now) { return has_unsealed_folds_ && seal(now, own_); }
  bool has_unsealed_folds() const { return has_unsealed_folds_; }
  // Merges a row of another process, or of an earlier one of this router. Not OK: an implausible row, which
  // is dropped.
  absl::Status merge(Micros now, coordination::CounterRow row, Micros extra_delay, int transmissions);

  struct Total {
    coordination::RequestCounts count;
    std::uint64_t max_served = 0;  // upper bound
    Micros oldest = 0;             // age of the oldest row in it
  };
  std::map<TotalKey, Total> totals(Micros now) const;

  // Since the start.
  struct Counters {
    std::uint64_t folds = 0;        // rows of earlier processes that had something new for our own
    std::uint64_t superseded = 0;   // rows that were dropped, since a later process's row has them
    std::uint64_t not_counted = 0;  // rows of earlier processes of which a sum holds some version already
  };
  const Counters& counters() const { return counters_; }

  VersionedTable<coordination::CounterRow>& table() { return table_; }
  const VersionedTable<coordination::CounterRow>& table() const { return table_; }

 private:
  bool is_plausible(const coordination::CounterRow& row) const;
  // What the rows of this router say that began after `birth`.
  Contributions contributions(const std::string& router, std::uint64_t after_birth) const;
  // Whether rows of later processes of that router have all that this row says.
  bool is_superseded(const coordination::CounterRow& row) const;
  void fold_into_own(const coordination::CounterRow& row);
  coordination::CounterRow make_row();
  // The processes that this row says to be over, and their rows.
  void drop_superseded_rows(Micros now, const coordination::CounterRow& row);
  Micros age(Micros now, const ProcessId& process, Micros sealed) const;

  Settings settings_;
  ProcessId self_;
  std::string site_;
  VersionedTable<coordination::CounterRow> table_;
  Contributions earlier_;              // of this router's earlier processes
  std::map<ProcessId, Micros> ended_;  // rows of processes that are surely over, since when
  Counts own_;
  bool is_sealed_ = false;  // there is a version
  bool has_unsealed_folds_ = false;
  bool sums_only_ = false;  // the entries have become too large for a row, which is one sum from then on
  Counters counters_;
};

}  // namespace flintglade::shared
