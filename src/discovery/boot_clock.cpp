#include "discovery/boot_clock.h"

#include "discovery/entries.h"

namespace flintglade::discovery {

using core::Micros;

void BootClock::convert_start_times(Micros now, core::EndpointListUpdate& update) {
  convert_cached_start_times(now, update);
  last_received_ = now;
}

void BootClock::convert_cached_start_times(Micros now, core::EndpointListUpdate& update) {
  if (starts_.size() > 4 * kMaxEntries) starts_.clear();  // bounds the memory, as ids accumulate over months
  for (core::Endpoint& entry : update.entries) {
    if (entry.replica.started_at <= 0.0) continue;  // unknown: long ago
    const auto unix_time = static_cast<Micros>(entry.replica.started_at * 1e6);
    entry.replica.started_at = static_cast<double>(monotonic(now, entry.replica.id, unix_time)) / 1e6;
  }
}

Micros BootClock::monotonic(Micros now, core::ReplicaId id, Micros unix_time) {
  const auto [it, inserted] = starts_.try_emplace(id);
  Start& start = it->second;
  if (!inserted && start.unix_time == unix_time) return start.monotonic;
  const bool restarted = !inserted && unix_time > start.unix_time;
  if (unix_time + offset_ > now) {
    offset_ = now - unix_time;
  } else if (restarted && last_received_ != core::kNever && unix_time + offset_ < last_received_ - kListLag) {
    offset_ = last_received_ - unix_time;
  }
  start = {unix_time, unix_time + offset_};
  return start.monotonic;
}

}  // namespace flintglade::discovery
