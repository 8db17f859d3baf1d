#include "shared/fleet_clock.h"

#include <algorithm>
#include <vector>

namespace flintglade::shared {
namespace {

constexpr std::size_t kMaxClocks = 4096;
constexpr Micros kClockTtl = 30 * core::kSecond;  // a router's Unix time is ignored when it is older
// A measurement older than this is replaced by any newer packet, however late that seems: the sender's clock
// may have been stepped back.
constexpr Micros kMeasurementTtl = 20 * core::kSecond;
constexpr Micros kMaxDriftDivisor = 20;  // two clocks drift apart by at most 1/20 of the elapsed time

}  // namespace

Micros FleetClock::on_packet(Micros now, const std::string& router, std::uint64_t birth, Micros sent) {
  if (clocks_.size() >= kMaxClocks && !clocks_.contains(router)) clocks_.erase(clocks_.begin());
  Clock& clock = clocks_[router];
  const Micros difference = now - sent;
  if (clock.birth != birth) clock = {.birth = birth, .min_difference = difference};
  clock.min_difference = std::min(clock.min_difference, difference);
  return difference - clock.min_difference;
}

void FleetClock::on_unix_time(Micros now, const std::string& router, Micros unix_time) {
  Clock& clock = clocks_[router];
  const bool first = clock.received_at < 0;
  clock.received_at = now;
  const Micros offset = unix_time - now;
  const Micros age = now - clock.measured_at;
  if (!first && age < kMeasurementTtl && offset < clock.unix_offset - age / kMaxDriftDivisor) return;
  clock.unix_offset = offset;
  clock.measured_at = now;
}

bool FleetClock::is_current(Micros now, const Clock& clock) {
  return clock.received_at >= 0 && now - clock.received_at < kClockTtl;
}

Micros FleetClock::fleet_unix_time(Micros now, Micros own_unix_time) const {
  std::vector<Micros> offsets{own_unix_time - now};
  for (const auto& [router, clock] : clocks_) {
    if (is_current(now, clock)) offsets.push_back(clock.unix_offset);
  }
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  return now + *middle;
}

std::size_t FleetClock::known_clocks(Micros now) const {
  return static_cast<std::size_t>(std::count_if(
      clocks_.begin(), clocks_.end(), [now](const auto& entry) { return is_current(now, entry.second); }));
}

}  // namespace flintglade::shared
