#include "hot_restart/limit_partition.h"

#include <algorithm>

namespace flintglade::hot_restart {
namespace {

std::size_t remaining(std::size_t limit, std::size_t used) { return limit - std::min(limit, used); }

// A starting process is counted with the descriptors that it is about to open.
std::size_t expected_descriptors(const ProcessUsage& usage) {
  const bool starting = usage.stage == ProcessStage::starting;
  const std::size_t used =
      starting ? std::max(usage.descriptors, kStartReserveDescriptors) : usage.descriptors;
  return used + kUsageSlackDescriptors;
}

std::size_t body_bytes_limit(std::size_t router_limit, std::size_t own, std::size_t used_by_others,
                             std::size_t others) {
  const std::size_t available = remaining(router_limit, used_by_others);
  if (available <= own) return available;
  return own + (available - own) / (others + 1);
}

}  // namespace

ProcessLimits partition_limits(const ProcessLimits& router_limits, const ProcessUsage& self,
                               std::span<const ProcessUsage> others) {
  if (others.empty()) {
    return {remaining(router_limits.descriptors, kStartReserveDescriptors), router_limits.body_bytes};
  }
  ProcessLimits used;
  bool another_is_starting = false;
  for (const ProcessUsage& other : others) {
    used.descriptors += expected_descriptors(other);
    used.body_bytes += other.body_bytes;
    another_is_starting = another_is_starting || other.stage == ProcessStage::starting;
  }
  ProcessLimits limits{
      remaining(router_limits.descriptors, used.descriptors),
      body_bytes_limit(router_limits.body_bytes, self.body_bytes, used.body_bytes, others.size())};
  if (self.stage == ProcessStage::serving && another_is_starting) {
    limits.descriptors = std::min(limits.descriptors, router_limits.descriptors / 2);
    limits.body_bytes = std::min(limits.body_bytes, router_limits.body_bytes / 2);
  }
  return limits;
}

}  // namespace flintglade::hot_restart
