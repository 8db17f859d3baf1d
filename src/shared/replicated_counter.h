// Counts of the whole fleet: a row for each life of each router, written by that life alone and passed on by
// all. Rows can be merged in any order and any number of times: of two versions of a row, the later counts.
// Pure; times are of one monotonic clock.
//
// A router that starts anew takes the rows of its name's earlier lives into its own and says up to which
// version (Row.folded); the others drop those rows then. So there is a row for each name, not for each start.
//
// What a reader gets is what it has heard of (`low`), and a bound on what it cannot know yet: each row's
// owner may have ended `most_per_s` requests a second since the row was sealed. The bound holds for routers
// that this one has heard of, and as long as the quickest packet between two routers takes less than
// most_delay.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination.pb.h"
#include "shared/settings.h"

namespace flintglade::shared {

using Life = std::pair<std::string, std::uint64_t>;  // a router's name and birth

// Rows or other words, each of one life: the newest version of each that was heard, with its age.
template <typename Entry>
class VersionedTable {
 public:
  struct Held {
    Entry entry;
    Micros sealed = 0;  // at the latest, on this clock
    int passes = 0;     // how often it is still to be passed on
  };
  explicit VersionedTable(std::size_t most) : most_(most) {}

  // late: how much longer than the quickest one the packet was on its way. True: it is news.
  bool take(Micros now, Entry entry, Micros late, int passes) {
    const Life life{entry.name(), entry.birth()};
    const auto it = held_.find(life);
    if (it != held_.end() && it->second.entry.version() >= entry.version()) return false;
    if (it == held_.end() && held_.size() >= most_) {
      ++dropped_;
      return false;
    }
    const Micros age = std::clamp<Micros>(entry.age_us(), 0, 86400 * core::kSecond) + late;
    held_[life] = {std::move(entry), now - age, passes};
    return true;
  }
  std::uint64_t version(const Life& life) const {
    const auto it = held_.find(life);
    return it == held_.end() ? 0 : it->second.entry.version();
  }
  void erase(const Life& life) { held_.erase(life); }
  const std::map<Life, Held>& all() const { return held_; }
  std::map<Life, Held>& all() { return held_; }
  std::uint64_t dropped() const { return dropped_; }
  static Entry aged(Micros now, const Held& h) {
    Entry out = h.entry;
    out.set_age_us(now - h.sealed);
    return out;
  }

 private:
  std::size_t most_;
  std::map<Life, Held> held_;
  std::uint64_t dropped_ = 0;
};

class ReplicatedCounter {
 public:
  using Counts =
      std::map<std::pair<std::string, std::string>, coordination::RequestCounts>;  // by team and class

  ReplicatedCounter(const Settings& settings, std::string name, std::uint64_t birth, std::string site);

  // What this life has counted until now. True: a new version was sealed.
  bool seal(Micros now, const Counts& counts);
  // A row that was heard or read back. Empty: taken, or known already; else what is wrong with it.
  std::string take(Micros now, coordination::CounterRow row, Micros late, int passes);
  // That life is surely over by now: nothing of it is still to come, but what it never told.
  void ended(Micros now, const Life& life);

  struct Total {
    coordination::RequestCounts count;  // team and class empty: any
    std::uint64_t most_served = 0;
    Micros oldest = 0;  // age of the oldest row in it
  };
  // By team, class and site.
  std::map<std::tuple<std::string, std::string, std::string>, Total> totals(Micros now) const;

  VersionedTable<coordination::CounterRow>& rows() { return rows_; }
  const VersionedTable<coordination::CounterRow>& rows() const { return rows_; }
  const Life& self() const { return self_; }

 private:
  bool sane(const coordination::CounterRow& row) const;
  void take_in(coordination::CounterRow row);

  Settings settings_;
  Life self_;
  std::string site_;
  VersionedTable<coordination::CounterRow> rows_;
  std::map<std::uint64_t, coordination::CounterRow> earlier_;  // lives of our name that are folded in
  std::map<Life, Micros> ended_;
  Counts own_;
  bool dirty_ = true;
};

void add(coordination::RequestCounts& to, const coordination::RequestCounts& more);

}  // namespace flintglade::shared
