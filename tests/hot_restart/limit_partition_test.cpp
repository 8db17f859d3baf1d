#include "hot_restart/limit_partition.h"

#include <gtest/gtest.h>

#include <cstddef>
#include <span>

namespace flintglade::hot_restart {
namespace {

constexpr ProcessLimits kRouter{384, 1000};

TEST(LimitPartition, AProcessThatIsAloneLeavesRoomForAnotherOneToStart) {
  EXPECT_EQ(partition_limits(kRouter, {ProcessStage::serving, 100, 0}, {}).descriptors,
            384 - kStartReserveDescriptors);
}

// Whatever two or three processes hold, what each may hold on top keeps the sum within the router's limits.
TEST(LimitPartition, TheSumOfAllProcessesStaysWithinTheRoutersLimits) {
  const ProcessStage stages[] = {ProcessStage::starting, ProcessStage::serving, ProcessStage::draining};
  for (const ProcessStage own : stages) {
    for (const ProcessStage other : stages) {
      for (std::size_t held = 0; held <= 400; held += 8) {
        const ProcessUsage self{own, 0, 0};
        const ProcessUsage two[] = {{other, held, held * 3}, {ProcessStage::draining, 50, 10}};
        for (const auto& others : {std::span(two, 1), std::span(two, 2)}) {
          ProcessLimits used;
          for (const ProcessUsage& usage : others) {
            used.descriptors += usage.descriptors;
            used.body_bytes += usage.body_bytes;
          }
          const ProcessLimits limits = partition_limits(kRouter, self, others);
          EXPECT_TRUE(limits.descriptors == 0 ||
                      limits.descriptors + used.descriptors <= kRouter.descriptors);
          EXPECT_TRUE(limits.body_bytes == 0 || limits.body_bytes + used.body_bytes <= kRouter.body_bytes);
          if (own == ProcessStage::serving && other == ProcessStage::starting) {
            EXPECT_LE(limits.descriptors, kRouter.descriptors / 2);
          }
        }
      }
    }
  }
}

}  // namespace
}  // namespace flintglade::hot_restart
