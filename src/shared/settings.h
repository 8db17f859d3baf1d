// Settings of the state that the routers of a fleet share: budgets, request counters and health gossip.
// docs/shared.md explains each bound and gives its formula.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "shared/budget.h"

namespace flintglade::shared {

struct Settings {
  std::vector<Budget> budgets;

  // ---- request counters
  bool counts = true;           // whether request counters are kept and disseminated
  Micros seal = core::kSecond;  // interval at which a router makes a new version of its own row, if changed
  // Used for the upper bound of totals: the highest rate at which one router can complete requests, and the
  // longest transit time of the fastest packet between two routers.
  double max_requests_per_s = 2000.0;
  Micros max_delay = core::kSecond;
  std::size_t max_rows = 2048;           // one for each router process; further rows are dropped and counted
  std::size_t max_counts_per_row = 256;  // pairs of team and class; all others are added up in one count

  // ---- replica health gossip
  bool health_gossip = false;
  std::uint32_t min_reporters = 3;  // routers that must report a failing replica before it is avoided
  Micros observation_ttl = 5 * core::kSecond;  // older observations are ignored
  double max_ejected_share = 0.25;             // of the ready replicas that may be avoided because of gossip
  std::size_t max_observations = 64;           // from one router

  // ---- dissemination
  Micros gossip = 200 * core::kMilli;   // interval between gossip rounds
  Micros compare = 2 * core::kSecond;   // mean time between two digests, each sent to one random member
  std::size_t max_packet_bytes = 1300;  // of rows in a packet, unless a single row is larger
  std::size_t fan_out = 3;              // members that each gossip round sends updates to
};

}  // namespace flintglade::shared
