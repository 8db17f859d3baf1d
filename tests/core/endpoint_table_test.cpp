#include "core/endpoint_table.h"

#include <gtest/gtest.h>

namespace flintglade::core {
namespace {

using policy::Health;
using policy::ListKind;

constexpr Micros kListLag = 10 * kSecond;

Endpoint make_endpoint(ReplicaId id, Health health) {
  Endpoint endpoint;
  endpoint.replica.id = id;
  endpoint.replica.health = health;
  return endpoint;
}

TEST(EndpointTable, KeepsTheStartOfARetirement) {
  EndpointTable table(kListLag);
  table.store(make_endpoint(1, Health::draining), 4, 100);
  table.store(make_endpoint(1, Health::gone), 5, 200);
  ASSERT_NE(table.find_retirement(1), nullptr);
  EXPECT_EQ(table.find_retirement(1)->since, 100);
  EXPECT_EQ(table.find_retirement(1)->version, 5u);
  EXPECT_EQ(table.no_new_after(1, 50), 150);
  table.store(make_endpoint(1, Health::ready), 6, 300);
  EXPECT_EQ(table.find_retirement(1), nullptr);
  EXPECT_EQ(table.no_new_after(1, 50), kNever);
}

TEST(EndpointTable, TreatsAnOlderListAsStaleUntilNoListCanBeThatOld) {
  EndpointTable table(kListLag);
  table.store(make_endpoint(1, Health::draining), 5, 100);
  const Endpoint ready = make_endpoint(1, Health::ready);
  EXPECT_NE(table.contradicting_retirement(ready, 4, 100 + kListLag - 1), nullptr);
  EXPECT_EQ(table.contradicting_retirement(ready, 4, 100 + kListLag), nullptr);
  EXPECT_EQ(table.contradicting_retirement(ready, 5, 100), nullptr);
  Endpoint restarted = ready;
  restarted.replica.started_at = 1.0;
  EXPECT_EQ(table.contradicting_retirement(restarted, 4, 100), nullptr);
}

TEST(EndpointTable, AddsReplicasMissingFromAFullListAsGoneUnlessUnreadable) {
  EndpointTable table(kListLag);
  table.store(make_endpoint(1, Health::ready), 1, 0);
  table.store(make_endpoint(2, Health::ready), 1, 0);
  EndpointListUpdate update;
  update.kind = ListKind::full;
  update.unreadable = {2};
  table.append_missing(update);
  ASSERT_EQ(update.entries.size(), 2u);
  for (const Endpoint& entry : update.entries)
    EXPECT_EQ(entry.replica.health, entry.replica.id == 1 ? Health::gone : Health::ready);
  EndpointListUpdate delta;
  delta.kind = ListKind::delta;
  table.append_missing(delta);
  EXPECT_TRUE(delta.entries.empty());
}

}  // namespace
}  // namespace flintglade::core
