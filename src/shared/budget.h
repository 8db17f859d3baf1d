// A team's budget over the whole fleet, and how it is split between the routers and the quota allocator.
//
// A budget is either a quota (a token bucket: at most burst + per_s * t in any span t) or a stock (at most
// `whole` in each window). A part of it is reserved, evenly, for each router, so that a router that reaches
// nobody can still serve; the allocator hands out the rest in leases. docs/shared.md derives the bounds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "core/ports.h"

namespace flintglade::shared {

using core::Micros;

// Thousandths of a request, or of a token.
using Amount = std::int64_t;
inline constexpr Amount kUnit = 1000;
// A larger amount can't be meant by anybody, and sums of some such amounts do not overflow.
inline constexpr Amount kMaxAmount = Amount{1} << 50;
inline constexpr double kMicrosPerSecond = 1e6;

struct Budget {
  std::string name, team;
  bool tokens = false;                   // counts prompt tokens and the output's cap; else requests
  Amount per_s = 0, burst = 0;           // of a quota
  Amount whole = 0;                      // of a stock, in each window
  Micros window = 0;                     // of a stock; 0: this is a quota
  double reserved_share = 0.1;           // of the whole, for routers that reach nobody
  bool reject_over_quota = true;         // else requests beyond it are admitted, and shed first under load
  std::uint32_t routers = 1;             // of the fleet, at the most
  Micros max_lease = 2 * core::kSecond;  // a lease that is not spent by then is returned, or lost

  bool is_stock() const { return window > 0; }

  // ---- reserved for each router. Of a stock, a bucket that gives at most its part in any window: half at
  // once, half over the window.
  Amount reserved_burst() const {
    const double all = reserved_share * static_cast<double>(is_stock() ? whole / 2 : burst);
    return static_cast<Amount>(all / routers);
  }
  double reserved_per_s() const {
    const double all =
        reserved_share * (is_stock() ? static_cast<double>(whole) / 2e-6 / static_cast<double>(window)
                                     : static_cast<double>(per_s));
    return all / routers;
  }

  // ---- handed out by the allocator
  double allocator_per_s() const { return static_cast<double>(per_s) - reserved_per_s() * routers; }
  Amount allocator_whole() const {
    return whole - static_cast<Amount>(reserved_share * static_cast<double>(whole));
  }
  Amount allocator_burst() const { return burst - reserved_burst() * static_cast<Amount>(routers); }
  // How long a lease may lie at its holder: by then two thirds of the allocator's burst can be leased out,
  // and the rest can lie at the allocator.
  Micros lease_duration() const {
    if (is_stock()) return 5 * max_lease;
    const double most = 2e6 / 3 * static_cast<double>(allocator_burst()) / std::max(1.0, allocator_per_s());
    return std::min(max_lease, static_cast<Micros>(most));
  }
  // The most that may lie at the allocator.
  Amount allocator_pool() const {
    return allocator_burst() -
           static_cast<Amount>(allocator_per_s() * static_cast<double>(lease_duration()) / kMicrosPerSecond);
  }
};

}  // namespace flintglade::shared
