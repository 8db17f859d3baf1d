#include "hot_restart/limit_partition.h"

#include <algorithm>

namespace flintglade::hot_restart {
namespace {

std::size_t remaining(std::size_t limit, std::size_t used) { return limit - std::min(limit, used); }

// What a starting process is about to take is counted before it has it.
std::size_t expected_descriptors(const ProcessUsage& usage) {
  const bool starting = usage.stage == ProcessStage::starting;
  const std::size_t used =
      starting ? std::max(usage.descriptors, kStartReserveDescriptors) : usage.descriptors;
  return used + kUsageSlackDescriptors;
}

}  // namespace

ProcessLimits partition_limits(const ProcessLimits& router, const ProcessUsage& self,
                               std::span<const ProcessUsage> others) {
  if (others.empty()) return {remaining(router.descriptors, kStartReserveDescriptors), router.body_bytes};
  ProcessLimits used;
  bool one_starts = false;
  for (const ProcessUsage& other : others) {
    used.descriptors += expected_descriptors(other);
    used.body_bytes += other.body_bytes;
    one_starts = one_starts || other.stage == ProcessStage::starting;
  }
  ProcessLimits limits{remaining(router.descriptors, used.descriptors),
                       remaining(router.body_bytes, used.body_bytes)};
  if (self.stage == ProcessStage::serving && one_starts) {
    limits.descriptors = std::min(limits.descriptors, router.descriptors / 2);
    limits.body_bytes = std::min(limits.body_bytes, router.body_bytes / 2);
  }
  return limits;
}

}  // namespace flintglade::hot_restart
