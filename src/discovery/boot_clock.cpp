#include "discovery/boot_clock.h"

#include "discovery/entries.h"

namespace flintglade::discovery {

using core::Micros;

void BootClock::put_right(Micros now, core::EndpointListUpdate& news) {
  known(now, news);
  heard_ = now;
}

void BootClock::known(Micros now, core::EndpointListUpdate& news) {
  if (starts_.size() > 4 * kMostEntries) starts_.clear();  // ids that come and go for months
  for (core::Endpoint& entry : news.entries) {
    if (entry.replica.started_at <= 0.0) continue;  // long ago
    const auto unix_time = static_cast<Micros>(entry.replica.started_at * 1e6);
    entry.replica.started_at = static_cast<double>(monotonic(now, entry.replica.id, unix_time)) / 1e6;
  }
}

Micros BootClock::monotonic(Micros now, core::ReplicaId id, Micros unix_time) {
  const auto [at, fresh] = starts_.try_emplace(id);
  Start& start = at->second;
  if (!fresh && start.unix_time == unix_time) return start.monotonic;
  const bool restarted = !fresh && unix_time > start.unix_time;
  if (unix_time + offset_ > now) {
    offset_ = now - unix_time;
  } else if (restarted && heard_ != core::kNever && unix_time + offset_ < heard_ - kListLag) {
    offset_ = heard_ - unix_time;
  }
  start = {unix_time, unix_time + offset_};
  return start.monotonic;
}

}  // namespace flintglade::discovery
