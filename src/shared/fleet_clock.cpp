#include "shared/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace flintglade::shared {
namespace {

constexpr std::size_t kMaxClocks = 4096;
constexpr Micros kClockTtl = 30 * core::kSecond;  // an older Unix time does not count

}  // namespace

Micros FleetClock::on_packet(Micros now, const std::string& router, std::uint64_t birth, Micros sent) {
  if (clocks_.size() >= kMaxClocks && !clocks_.contains(router)) clocks_.erase(clocks_.begin());
  Clock& clock = clocks_[router];
  const Micros difference = now - sent;
  if (clock.birth != birth) clock = {birth, difference, 0, -1};
  clock.min_difference = std::min(clock.min_difference, difference);
  return difference - clock.min_difference;
}

void FleetClock::on_unix_time(Micros now, const std::string& router, Micros difference) {
  Clock& clock = clocks_[router];
  clock.unix_difference = difference;
  clock.heard_at = now;
}

Micros FleetClock::median_unix_difference(Micros now) const {
  std::vector<Micros> differences{0};
  for (const auto& [router, clock] : clocks_) {
    if (clock.heard_at >= 0 && now - clock.heard_at < kClockTtl) differences.push_back(clock.unix_difference);
  }
  const auto middle = differences.begin() + static_cast<std::ptrdiff_t>(differences.size() / 2);
  std::nth_element(differences.begin(), middle, differences.end());
  return *middle;
}

}  // namespace flintglade::shared
