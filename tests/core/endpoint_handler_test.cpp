// Until when attempts may be written to a draining replica, also with stale lists and across a hot restart.
#include <gtest/gtest.h>

#include <cstdint>

#include "core/broker_fixture.h"

namespace flintglade::tests {
namespace {

using policy::Health;

TEST(EndpointHandler, CountsADrainFromTheFirstListThatReportsIt) {
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

// A reload (SIGHUP) changes the address of service discovery, and the list from the new address is older than
// a drain that the old one had announced.
TEST(EndpointHandler, DoesNotLetAnOlderListRevokeADrain) {
  BrokerFixture core;
  const Micros first_known = core.ports.time;
  core.list(Health::draining, 1, 41);
  core.list(Health::ready, 1, 40);
  EXPECT_EQ(core.ports.no_new_after, first_known + core.limits.drain_grace);
  core.list(Health::ready, 1, 42);  // the drain was revoked
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
  core.list(Health::draining, 1, 43);
  core.list(Health::ready, 1, 40, 990.0);  // a later start time: a new process
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
  core.list(Health::draining, 1, 44, 990.0);
  core.list(Health::ready, 1, 7, 990.0);  // may be another service's version: applied after list_lag
  EXPECT_NE(core.ports.no_new_after, core::kNever);
  core.pass_time(core.limits.list_lag + 10 * core::kMilli);
  EXPECT_EQ(core.ports.no_new_after, core::kNever);
}

// The successor counts a drain from the time at which the old process first learned of it, and an older list
// does not revoke it. The same holds if the successor's own list is as new, and if the replica is already
// gone.
TEST(EndpointHandler, KeepsTheStartOfADrainAcrossAHotRestart) {
  for (const Health end : {Health::draining, Health::gone}) {
    // Version of the successor's own list, 0 for none; the list of version 9 contains another replica.
    for (const std::uint32_t own_version : {0u, 3u, 6u, 9u}) {
      BrokerFixture old;
      old.list(Health::ready, 7, 5);
      const Micros first_known = old.ports.time;
      old.list(end, 7, 6);
      old.pass_time(500 * core::kMilli);
      BrokerFixture successor;
      successor.ports.time = old.ports.time;
      if (own_version > 0)
        successor.list(own_version < 6 ? Health::ready : end, own_version == 9 ? 2 : 7, own_version);
      successor.broker->adopt(old.broker->snapshot(), true);
      successor.broker->run_iteration();
      const Micros deadline = successor.ports.no_new_after;
      EXPECT_TRUE(own_version == 9 || deadline == first_known + successor.limits.drain_grace) << own_version;
      successor.list(Health::ready, 7, 4);
      EXPECT_TRUE(own_version == 9 || successor.ports.no_new_after == deadline) << own_version;
      EXPECT_EQ(successor.broker->phase(), core::Phase::serving) << own_version;
    }
  }
}

}  // namespace
}  // namespace flintglade::tests
