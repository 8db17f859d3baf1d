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

// Guards against two processes that each take all the memory that they see free, before they see each other's
// usage.
TEST(LimitPartition, ProcessesThatGrowAtOnceStayWithinTheRoutersMemory) {
  for (std::size_t first = 0; first <= 1000; first += 50) {
    for (std::size_t second = 0; first + second <= 1000; second += 50) {
      const ProcessUsage usage[] = {{ProcessStage::serving, 0, first}, {ProcessStage::draining, 0, second}};
      const std::size_t first_limit = partition_limits(kRouterLimits, usage[0], {&usage[1], 1}).body_bytes;
      const std::size_t second_limit = partition_limits(kRouterLimits, usage[1], {&usage[0], 1}).body_bytes;
      EXPECT_LE(first_limit + second_limit, kRouterLimits.body_bytes);
      EXPECT_GE(first_limit, first);
      EXPECT_GE(second_limit, second);
    }
  }
}

}  // namespace
}  // namespace flintglade::hot_restart
