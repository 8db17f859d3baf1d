#include "policy/replica_table.h"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(ReplicaTable, DistinguishesNewAndRestartedReplicasFromChanges) {
  ReplicaTable table;
  EXPECT_TRUE(table.apply(warm_replica(7, 10.0), 100.0).started);
  Replica replica = warm_replica(7, 10.0);
  replica.health = Health::draining;
  EXPECT_FALSE(table.apply(replica, 101.0).started);
  EXPECT_TRUE(table.apply(warm_replica(7, 50.0), 102.0).started);
  EXPECT_EQ(table.size(), 1u);
}

TEST(ReplicaTable, KeepsTheIndexOfAReplicaThatLeft) {
  ReplicaTable table;
  const int index = table.apply(warm_replica(7), 100.0).index;
  table.mark_all_gone();
  EXPECT_FALSE(table[index].ready());
  EXPECT_EQ(table.find(7), index);
  EXPECT_EQ(table.apply(warm_replica(7), 101.0).index, index);
  EXPECT_EQ(table.find(8), -1);
}

TEST(ReplicaTable, ReplacesSizesAndStartTimesOutOfRange) {
  ReplicaTable table;
  Replica replica = warm_replica(7, 500.0);  // in the future
  replica.size = 0.0;
  const int index = table.apply(replica, 100.0).index;
  EXPECT_EQ(table[index].replica.size, 1.0);
  EXPECT_EQ(table[index].replica.started_at, 100.0);
  replica.size = 2.5;
  table.apply(replica, 101.0);
  replica.size = std::nan("");
  table.apply(replica, 102.0);
  EXPECT_EQ(table[index].replica.size, 2.5);
}

TEST(ReplicaTable, OrdersReadyReplicasByStartTimeThenId) {
  ReplicaTable table;
  for (const Replica& replica : {warm_replica(9, 20.0), warm_replica(8, 10.0), warm_replica(3, 20.0)})
    table.apply(replica, 100.0);
  Replica draining = warm_replica(1, 5.0);
  draining.health = Health::draining;
  table.apply(draining, 100.0);
  EXPECT_EQ(table.ready_in_start_order(), (std::vector<int>{1, 2, 0}));
}

}  // namespace
}  // namespace flintglade::policy
