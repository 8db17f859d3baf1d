// Settings of what the routers of a fleet share. docs/shared.md has each bound in words and as a formula.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "shared/budget.h"

namespace flintglade::shared {

struct Settings {
  std::vector<Budget> budgets;

  // ---- request counters
  bool counts = true;                    // whether they are kept and spread
  Micros seal = core::kSecond;           // between two versions of a router's own row, if it has changed
  double max_requests_per_s = 2000.0;    // that one router can end: for the upper bound of totals
  Micros max_delay = core::kSecond;      // of the quickest packet between two routers: for the upper bound
  std::size_t max_rows = 2048;           // of routers; further ones are dropped and counted
  std::size_t max_counts_per_row = 256;  // teams and classes; the others count as one

  // ---- health of replicas by gossip
  bool health_gossip = false;
  std::uint32_t min_reporters = 3;             // routers that have to agree before a replica is avoided
  Micros observation_ttl = 5 * core::kSecond;  // an older observation does not count
  double max_ejected_share = 0.25;             // of the ready replicas that gossip may have avoided
  std::size_t max_observations = 64;           // of one router

  // ---- spreading
  Micros gossip = 200 * core::kMilli;   // between two rounds of updates to `fan_out` others
  Micros compare = 2 * core::kSecond;   // mean time between two digests to one other
  std::size_t max_packet_bytes = 1300;  // of updates, but for a row that is larger by itself
  std::size_t fan_out = 3;
};

}  // namespace flintglade::shared
