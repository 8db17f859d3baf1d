#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

using namespace testing_support;

// Reference values computed independently from the formula in the paper, with exact fractions.
TEST(JumpHash, GivesTheReferenceValues) {
  EXPECT_EQ(jump_hash(0, 1), 0);
  EXPECT_EQ(jump_hash(1, 1), 0);
  EXPECT_EQ(jump_hash(0xdeadbeef, 1), 0);
  EXPECT_EQ(jump_hash(5, 0), -1);
  EXPECT_EQ(jump_hash(0ull, 2), 0);
  EXPECT_EQ(jump_hash(0ull, 10), 0);
  EXPECT_EQ(jump_hash(0ull, 37), 0);
  EXPECT_EQ(jump_hash(0ull, 1000), 0);
  EXPECT_EQ(jump_hash(0ull, 100000), 0);
  EXPECT_EQ(jump_hash(1ull, 2), 0);
  EXPECT_EQ(jump_hash(1ull, 10), 6);
  EXPECT_EQ(jump_hash(1ull, 37), 17);
  EXPECT_EQ(jump_hash(1ull, 1000), 549);
  EXPECT_EQ(jump_hash(1ull, 100000), 94075);
  EXPECT_EQ(jump_hash(2ull, 2), 0);
  EXPECT_EQ(jump_hash(2ull, 10), 6);
  EXPECT_EQ(jump_hash(2ull, 37), 31);
  EXPECT_EQ(jump_hash(2ull, 1000), 338);
  EXPECT_EQ(jump_hash(2ull, 100000), 80343);
  EXPECT_EQ(jump_hash(10ull, 2), 1);
  EXPECT_EQ(jump_hash(10ull, 10), 7);
  EXPECT_EQ(jump_hash(10ull, 37), 36);
  EXPECT_EQ(jump_hash(10ull, 1000), 751);
  EXPECT_EQ(jump_hash(10ull, 100000), 32509);
  EXPECT_EQ(jump_hash(3735928559ull, 2), 1);
  EXPECT_EQ(jump_hash(3735928559ull, 10), 5);
  EXPECT_EQ(jump_hash(3735928559ull, 37), 16);
  EXPECT_EQ(jump_hash(3735928559ull, 1000), 285);
  EXPECT_EQ(jump_hash(3735928559ull, 100000), 64244);
  EXPECT_EQ(jump_hash(998690804919562253ull, 2), 1);
  EXPECT_EQ(jump_hash(998690804919562253ull, 10), 2);
  EXPECT_EQ(jump_hash(998690804919562253ull, 37), 22);
  EXPECT_EQ(jump_hash(998690804919562253ull, 1000), 113);
  EXPECT_EQ(jump_hash(998690804919562253ull, 100000), 86737);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 2), 1);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 10), 9);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 37), 10);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 1000), 313);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 100000), 18311);
  EXPECT_EQ(jump_hash(123456789012345ull, 2), 0);
  EXPECT_EQ(jump_hash(123456789012345ull, 10), 7);
  EXPECT_EQ(jump_hash(123456789012345ull, 37), 16);
  EXPECT_EQ(jump_hash(123456789012345ull, 1000), 76);
  EXPECT_EQ(jump_hash(123456789012345ull, 100000), 82449);
}

TEST(JumpHash, SpreadsKeysEvenly) {
  std::vector<int> counts(13);
  for (std::uint64_t i = 0; i < 130000; ++i) ++counts[jump_hash(i * 0x9e3779b97f4a7c15ull, 13)];
  for (const int count : counts) EXPECT_NEAR(count, 10000, 500);
}

TEST(JumpHash, GrowthMovesKeysToTheNewBucketOnly) {
  int moved = 0;
  for (std::uint64_t i = 0; i < 20000; ++i) {
    const auto key = i * 0x9e3779b97f4a7c15ull;
    const int before = jump_hash(key, 19), after = jump_hash(key, 20);
    if (before == after) continue;
    EXPECT_EQ(after, 19);
    ++moved;
  }
  EXPECT_NEAR(moved, 1000, 150);
}

int count_differences(const std::vector<ReplicaId>& first, const std::vector<ReplicaId>& second) {
  int differences = 0;
  for (std::size_t i = 0; i < first.size(); ++i) differences += first[i] != second[i];
  return differences;
}

TEST(SlotTable, IsTheSameForTheSameListInAnyOrder) {
  auto replicas = ready_replicas(9);
  for (std::size_t i = 0; i < replicas.size(); ++i)
    replicas[i].started_at = 10.0 + static_cast<double>((i * 5) % 9);
  ScriptedRouter first(test_settings()), second(test_settings(), 77);
  first.list(ListKind::cached, replicas);
  std::reverse(replicas.begin(), replicas.end());
  second.list(ListKind::cached, replicas);
  EXPECT_EQ(placements(first), placements(second));
}

TEST(SlotTable, ANewReplicaGetsOnlyItsShareOfTheKeys) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(9));
  const auto before = placements(router);
  router.list(ListKind::delta, {warm_replica(3, 1.0)});  // a low id: order by id would shift every slot
  const auto after = placements(router);
  for (std::size_t i = 0; i < before.size(); ++i) EXPECT_TRUE(before[i] == after[i] || after[i] == 3u);
  EXPECT_NEAR(count_differences(before, after), 20, 15);
}

// A replica that leaves from the middle of the order must not shift the slots after its own.
TEST(SlotTable, AReplicaThatLeavesMovesOnlyItsOwnKeys) {
  ScriptedRouter router(test_settings());
  const auto replicas = ready_replicas(9);
  router.list(ListKind::cached, replicas);
  const auto before = placements(router);
  Replica removed = replicas[3];
  removed.health = Health::gone;
  router.list(ListKind::delta, {removed});
  const auto after = placements(router);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != removed.id) {
      EXPECT_EQ(before[i], after[i]);
    }
    EXPECT_NE(after[i], removed.id);
  }
}

TEST(SlotTable, ASuccessorFillsTheTombstone) {
  ScriptedRouter router(test_settings());
  const auto replicas = ready_replicas(9);
  router.list(ListKind::cached, replicas);
  const auto before = placements(router);
  Replica removed = replicas[3];
  removed.health = Health::gone;
  router.list(ListKind::delta, {removed, warm_replica(5, 1.0)});
  const auto after = placements(router);
  for (std::size_t i = 0; i < before.size(); ++i)
    EXPECT_EQ(after[i], before[i] == removed.id ? 5u : before[i]);
}

}  // namespace
}  // namespace flintglade::policy
