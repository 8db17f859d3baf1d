// A team's budget over the whole fleet, and how it is split between the routers and the quota allocator.
//
// A budget is either a quota (a token bucket: at most burst + per_s * t in any time span t) or a stock (at
// most `window_total` in each window). A share of it is reserved in equal parts for the routers, so that a
// router that is cut off from all others can still serve; the allocator grants the remainder in leases.
// docs/shared.md derives the bounds.
#pragma once

#include <algorithm>
#include <cstdint>
#include <string>

#include "core/ports.h"

namespace flintglade::shared {

using core::Micros;

// In thousandths of a request or of a token.
using Amount = std::int64_t;
inline constexpr Amount kUnit = 1000;
// Larger amounts are rejected as implausible. Sums of several amounts up to this one do not overflow.
inline constexpr Amount kMaxAmount = Amount{1} << 50;
inline constexpr double kMicrosPerSecond = 1e6;

struct Budget {
  std::string name, team;
  bool tokens = false;            // charges prompt tokens plus the output token limit; else requests
  Amount per_s = 0, burst = 0;    // of a quota
  Amount window_total = 0;        // of a stock: total for each window
  Micros window = 0;              // of a stock; 0 marks a quota
  double reserved_share = 0.1;    // of the budget, reserved for routers that are cut off from all others
  bool reject_over_quota = true;  // else requests over quota are admitted, but shed first under load
  std::uint32_t routers = 1;      // maximum number of routers in the fleet
  // Longest duration of a lease on a quota; leases on a stock last five times as long. When a lease expires,
  // its unspent amount is returned if it is of a stock, and lost if it is of a quota.
  Micros max_lease = 2 * core::kSecond;

  bool is_stock() const { return window > 0; }

  // ---- reserved for each router. For a stock this is a token bucket that yields at most the router's part
  // in any window: half of it as burst, half as rate over the window.
  Amount reserved_burst() const {
    const double all = reserved_share * static_cast<double>(is_stock() ? window_total / 2 : burst);
    return static_cast<Amount>(all / routers);
  }
  double reserved_per_s() const {
    const double all =
        reserved_share * (is_stock() ? static_cast<double>(window_total) / 2e-6 / static_cast<double>(window)
                                     : static_cast<double>(per_s));
    return all / routers;
  }

  // ---- granted by the allocator
  double allocator_per_s() const { return static_cast<double>(per_s) - reserved_per_s() * routers; }
  Amount allocator_window_total() const {
    return window_total - static_cast<Amount>(reserved_share * static_cast<double>(window_total));
  }
  Amount allocator_burst() const { return burst - reserved_burst() * static_cast<Amount>(routers); }
  // How long a holder may keep a lease. For a quota it is set so that at most two thirds of the allocator's
  // burst are leased out at any time; the other third can stay in the allocator's pool.
  Micros lease_duration() const {
    if (is_stock()) return 5 * max_lease;
    const double max_duration =
        2e6 / 3 * static_cast<double>(allocator_burst()) / std::max(1.0, allocator_per_s());
    return std::min(max_lease, static_cast<Micros>(max_duration));
  }
  // Maximum amount in the allocator's pool.
  Amount allocator_pool() const {
    return allocator_burst() -
           static_cast<Amount>(allocator_per_s() * static_cast<double>(lease_duration()) / kMicrosPerSecond);
  }
};

}  // namespace flintglade::shared
