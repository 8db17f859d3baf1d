// What the routers of a fleet share, and within which bounds. docs/shared.md has each bound in words and as a
// formula.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

#include "core/ports.h"

namespace flintglade::shared {

using core::Micros;
using Amount = std::int64_t;  // thousandths of a request, or of a token
inline constexpr Amount kOne = 1000;
inline constexpr Amount kMostAmount = Amount{1} << 50;  // a larger one is no amount that anybody can mean

struct Budget {
  std::string name, team;
  bool tokens = false;               // counts prompt tokens and the output's cap; else requests
  Amount per_s = 0, burst = 0;       // a quota: at most burst + per_s * t in any span t, over the whole fleet
  Amount whole = 0;                  // a stock: at most this in a window
  Micros window = 0;                 // of a stock
  double aside = 0.1;                // the part of it for those who hear nothing
  bool refuse = true;                // beyond it: refused; else it goes first when things are tight
  std::uint32_t routers = 1;         // of the fleet, at the most
  Micros valid = 2 * core::kSecond;  // a part that is not spent by then comes back, or is lost

  bool stock() const { return window > 0; }

  // ---- the split of the whole: what is put aside for each router, and what the bank hands out
  // Of a stock, a bucket that gives at most its part in any window: half at once, half over the window.
  Amount own_burst() const {
    const double all = aside * static_cast<double>(stock() ? whole / 2 : burst);
    return static_cast<Amount>(all / routers);
  }
  double own_per_s() const {
    const double all = aside * (stock() ? static_cast<double>(whole) / 2e-6 / static_cast<double>(window)
                                        : static_cast<double>(per_s));
    return all / routers;
  }
  double bank_per_s() const { return static_cast<double>(per_s) - own_per_s() * routers; }
  Amount bank_whole() const { return whole - static_cast<Amount>(aside * static_cast<double>(whole)); }
  // A part of a quota may wait at its holder for so long: two parts in three of the bank's burst are what can
  // be out by then, the rest can lie at the bank.
  Micros part_valid() const {
    if (stock()) return 5 * valid;
    const double most = 2e6 / 3 * static_cast<double>(bank_burst()) / std::max(1.0, bank_per_s());
    return std::min(valid, static_cast<Micros>(most));
  }
  Amount bank_burst() const { return burst - own_burst() * static_cast<Amount>(routers); }
  Amount bank_pool() const {
    return bank_burst() - static_cast<Amount>(bank_per_s() * static_cast<double>(part_valid()) / 1e6);
  }
};

struct Settings {
  std::vector<Budget> budgets;
  // ---- counts
  bool counts = true;
  Micros seal = core::kSecond;        // a new version of a row, if anything has changed
  double most_per_s = 2000.0;         // requests that one router can end: for intervals
  Micros most_delay = core::kSecond;  // of the quickest packet between two routers: for intervals
  std::size_t most_rows = 2048;
  std::size_t most_counts = 256;  // teams and classes in a row
  // ---- judgements
  bool hearsay = false;
  std::uint32_t witnesses = 3;      // routers that have to say the same
  Micros keep = 5 * core::kSecond;  // no word counts for longer
  double most_part = 0.25;          // of the ready replicas that hearsay may have avoided
  std::size_t most_cases = 64;      // of one router
  // ---- spreading
  Micros gossip = 200 * core::kMilli;  // words on the move, to a few others
  Micros compare = 2 * core::kSecond;  // digests, with one other
  std::size_t most_bytes = 1300;       // of a packet of news, but for a row that is larger by itself
  std::size_t fan_out = 3;
};

}  // namespace flintglade::shared
