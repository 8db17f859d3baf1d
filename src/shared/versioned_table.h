// A replicated table with one row for each process of each router. Only that process writes its row; all
// routers forward it. Holds the newest version of each row that has reached this router, with its age.
//
// Rows can be merged in any order and any number of times. No I/O; times are of one monotonic clock.
#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "core/ports.h"

namespace flintglade::shared {

using core::Micros;

// One process of a router. Of two processes with the same router name the later one has the higher birth.
struct ProcessId {
  std::string router;
  std::uint64_t birth = 0;  // start time, in microseconds of Unix time
  // clang-tidy 14 takes the 0 of the generated comparison for a null pointer.
  auto operator<=>(const ProcessId&) const = default;  // NOLINT(modernize-use-nullptr): see above
};

// Entry: a protobuf message with the fields name, birth, version and age_us.
template <typename Entry>
class VersionedTable {
 public:
  struct Row {
    Entry entry;
    Micros sealed = 0;           // latest time at which its writer can have made this version
    int transmissions_left = 0;  // gossip rounds that still have to forward this version
  };
  explicit VersionedTable(std::size_t max_rows) : max_rows_(max_rows) {}

  // extra_delay: how much longer the packet was in transit than the fastest packet from its sender. Returns
  // false if this version or a newer one is already there, or if the table is full.
  bool merge(Micros now, Entry entry, Micros extra_delay, int transmissions) {
    const ProcessId process{entry.name(), entry.birth()};
    const auto it = rows_.find(process);
    if (it != rows_.end() && it->second.entry.version() >= entry.version()) return false;
    if (it == rows_.end() && rows_.size() >= max_rows_) {
      ++dropped_;
      return false;
    }
    const Micros age = std::clamp<Micros>(entry.age_us(), 0, kMaxAge) + extra_delay;
    rows_[process] = {std::move(entry), now - age, transmissions};
    return true;
  }
  // The version of the process's row; 0 if there is no row.
  std::uint64_t version(const ProcessId& process) const {
    const auto it = rows_.find(process);
    return it == rows_.end() ? 0 : it->second.entry.version();
  }
  void erase(const ProcessId& process) { rows_.erase(process); }
  const std::map<ProcessId, Row>& rows() const { return rows_; }
  std::map<ProcessId, Row>& rows() { return rows_; }
  // Number of rows dropped because the table was full.
  std::uint64_t dropped() const { return dropped_; }

  // The row's entry with its current age, as it is forwarded.
  static Entry with_age(Micros now, const Row& row) {
    Entry out = row.entry;
    out.set_age_us(now - row.sealed);
    return out;
  }

 private:
  static constexpr Micros kMaxAge = 86400 * core::kSecond;

  std::size_t max_rows_;
  std::map<ProcessId, Row> rows_;
  std::uint64_t dropped_ = 0;
};

}  // namespace flintglade::shared
