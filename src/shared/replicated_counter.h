// Request counts of the whole fleet: a row for each process of each router, merged by version (a grow-only
// counter; Shapiro and others, "Conflict-free Replicated Data Types", 2011).
//
// A restarted router folds the counts of its earlier processes into its own row, as separate entries
// (shared/counter_contributions.h); other routers then drop the rows of the earlier processes. So there is
// one row for each router rather than for each start. If there are more than kMaxEarlier earlier processes,
// the first of them are merged into a sum; counts of theirs that arrive later are ignored.
//
// A total consists of the counts that have reached this router (a lower bound) and an upper bound that adds
// what may be missing: the writer of each row may have completed max_requests_per_s since it made the row.
// The upper bound holds for routers that have a row here, as long as the fastest packet between two routers
// takes less than max_delay.
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
  auto operator<=>(const TotalKey&) const = default;  // NOLINT(modernize-use-nullptr): as for CountKey
};

class ReplicatedCounter {
 public:
  using Counts = shared::Counts;

  ReplicatedCounter(const Settings& settings, std::string router, std::uint64_t birth, std::string site);

  // Makes a new version of this process's row from its counts so far, if they have changed or the last
  // version is old. Returns whether there is a new version.
  bool seal(Micros now, const Counts& counts);
  // Makes a new version of the row with the last counts, if counts of earlier processes have been folded in
  // since the last version. Returns whether there is a new version.
  bool seal_folds(Micros now) { return has_unsealed_folds_ && seal(now, own_); }
  bool has_unsealed_folds() const { return has_unsealed_folds_; }
  // Merges a row of another router's process, or of an earlier process of this router. Returns an error for
  // an implausible row, which is dropped.
  absl::Status merge(Micros now, coordination::CounterRow row, Micros extra_delay, int transmissions);

  struct Total {
    coordination::RequestCounts count;
    std::uint64_t max_served = 0;  // upper bound
    Micros oldest = 0;             // age of the oldest row in it
  };
  std::map<TotalKey, Total> totals(Micros now) const;

  // Since the start.
  struct Counters {
    std::uint64_t folds = 0;        // rows of earlier processes that changed this router's row
    std::uint64_t superseded = 0;   // rows dropped because a later process's row includes them
    std::uint64_t not_counted = 0;  // rows of earlier processes ignored, since a sum includes a version
  };
  const Counters& counters() const { return counters_; }

  VersionedTable<coordination::CounterRow>& table() { return table_; }
  const VersionedTable<coordination::CounterRow>& table() const { return table_; }

 private:
  bool is_plausible(const coordination::CounterRow& row) const;
  // The merged entries from the rows of the router's processes with a birth later than `after_birth`.
  Contributions contributions(const std::string& router, std::uint64_t after_birth) const;
  // Whether rows of later processes of the same router already include this row.
  bool is_superseded(const coordination::CounterRow& row) const;
  void fold_into_own(const coordination::CounterRow& row);
  coordination::CounterRow make_row();
  // Marks the processes that this row folds as ended, and drops the rows that it supersedes.
  void drop_superseded_rows(Micros now, const coordination::CounterRow& row);
  Micros age(Micros now, const ProcessId& process, Micros sealed) const;

  Settings settings_;
  ProcessId self_;
  std::string site_;
  VersionedTable<coordination::CounterRow> table_;
  Contributions earlier_;              // of this router's earlier processes
  std::map<ProcessId, Micros> ended_;  // processes known to have ended, and since when
  Counts own_;
  bool is_sealed_ = false;  // this process's row has a version
  bool has_unsealed_folds_ = false;
  bool sums_only_ = false;  // the entries became too large for a row; from then on the row is a single sum
  Counters counters_;
};

}  // namespace flintglade::shared
