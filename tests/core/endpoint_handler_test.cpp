// Until when a draining replica may be written to, also with stale lists and across a hot restart.
#include <gtest/gtest.h>

#include <cstdint>

#include "core/broker_fixture.h"

namespace flintglade::tests {
namespace {

using policy::Health;

TEST(EndpointHandler, CountsADrainFromTheFirstListThatSaysSo) {
  BrokerFixture core;
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
  const Micros first_known = core.ports.time;
  core.list(Health::draining, 1);
  core.ports.time += core::kSecond;
  core.list(Health::gone, 1);
  EXPECT_EQ(core.ports.no_new_after, first_known + core.limits.drain_grace);
  core.list(Health::ready, 1);
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
}

// SIGHUP moves discovery, and the new address gives a list from before a drain that the old one had
// announced.
TEST(EndpointHandler, DoesNotLetAnOlderListTakeBackADrain) {
  BrokerFixture core;
  const Micros first_known = core.ports.time;
  core.list(Health::draining, 1, 41);
  core.list(Health::ready, 1, 40);
  EXPECT_EQ(core.ports.no_new_after, first_known + core.limits.drain_grace);
  core.list(Health::ready, 1, 42);  // it stays after all
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
  core.list(Health::draining, 1, 43);
  core.list(Health::ready, 1, 40, 990.0);  // started again: another process
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
  core.list(Health::draining, 1, 44, 990.0);
  core.list(Health::ready, 1, 7, 990.0);  // another service may count otherwise: believed in the end
  EXPECT_NE(core.ports.no_new_after, core::kNever);
  core.pass_time(core.limits.list_lag + 10 * core::kMilli);
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
}

// The successor counts a drain from when the old process first knew of it, and an older list does not take it
// back; also where its own list is as new, and where the replica is gone from every list by now.
TEST(EndpointHandler, KeepsTheStartOfADrainAcrossAHotRestart) {
  for (const Health end : {Health::draining, Health::gone}) {
    // The version of the successor's own list, 0 for none; the list of version 9 names another replica.
    for (const std::uint32_t own : {0u, 3u, 6u, 9u}) {
      BrokerFixture old;
      old.list(Health::ready, 7, 5);
      const Micros first_known = old.ports.time;
      old.list(end, 7, 6);
      old.pass_time(500 * core::kMilli);
      BrokerFixture successor;
      successor.ports.time = old.ports.time;
      if (own > 0) successor.list(own < 6 ? Health::ready : end, own == 9 ? 2 : 7, own);
      successor.broker->adopt(old.broker->snapshot(), true);
      successor.broker->run_iteration();
      const Micros limit = successor.ports.no_new_after;
      EXPECT_TRUE(own == 9 || limit == first_known + successor.limits.drain_grace) << own;
      successor.list(Health::ready, 7, 4);
      EXPECT_TRUE(own == 9 || successor.ports.no_new_after == limit) << own;
      EXPECT_EQ(successor.broker->phase(), core::Phase::serving) << own;
    }
  }
}

}  // namespace
}  // namespace flintglade::tests
