#include "hot_restart/limit_partition.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <span>

namespace flintglade::hot_restart {
namespace {

constexpr ProcessLimits kRouterLimits{384, 1000};

TEST(LimitPartition, AProcessThatIsAloneLeavesRoomForAnotherOneToStart) {
  EXPECT_EQ(partition_limits(kRouterLimits, {ProcessStage::serving, 100, 0}, {}).descriptors,
            384 - kStartReserveDescriptors);
}

// However much the other one or other_processes processes use, the limits of this process keep the sum within
// the router's.
TEST(LimitPartition, TheSumOfAllProcessesStaysWithinTheRoutersLimits) {
  const ProcessStage stages[] = {ProcessStage::starting, ProcessStage::serving, ProcessStage::draining};
  for (const ProcessStage own : stages) {
    for (const ProcessStage other : stages) {
      for (std::size_t held = 0; held <= 400; held += 8) {
        const ProcessUsage self{own, 0, 0};
        const ProcessUsage other_processes[] = {{other, held, held * 3}, {ProcessStage::draining, 50, 10}};
        for (const auto& others : {std::span(other_processes, 1), std::span(other_processes, 2)}) {
          ProcessLimits used;
          for (const ProcessUsage& usage : others) {
            used.descriptors += usage.descriptors;
            used.body_bytes += usage.body_bytes;
          }
          const ProcessLimits limits = partition_limits(kRouterLimits, self, others);
          EXPECT_TRUE(limits.descriptors == 0 ||
                      limits.descriptors + used.descriptors <= kRouterLimits.descriptors);
          EXPECT_TRUE(limits.body_bytes == 0 ||
                      limits.body_bytes + used.body_bytes <= kRouterLimits.body_bytes);
          if (own == ProcessStage::serving && other == ProcessStage::starting) {
            EXPECT_LE(limits.descriptors, kRouterLimits.descriptors / 2);
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace flintglade::hot_restart
