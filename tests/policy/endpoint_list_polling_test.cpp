#include <gtest/gtest.h>

#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(EndpointListPolling, SubscribesAtTheStartAndBacksOffAfterFailures) {
  Settings settings = test_settings();
  settings.list_on_request = true;
  settings.must_ask_in = 10.0;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(100.5);
  EXPECT_EQ(router.actions(Action::subscribe).size(), 1u);
  std::vector<double> waits;
  for (int i = 0; i < 8; ++i) {
    const auto asked = router.actions(Action::subscribe).size();
    router.list(ListKind::failed, {});
    EXPECT_NE(router.place(5), 0u);  // the previous list stays in effect
    const double from = router.now;
    while (router.actions(Action::subscribe).size() == asked && router.now < from + 60.0)
      router.run_to(router.now + 0.01);
    waits.push_back(router.now - from);
  }
  for (const double wait : waits) EXPECT_LT(wait, 3.1);  // rollouts continue while the list is unavailable
  EXPECT_GT(waits[3] + waits[4], waits[0] * 2.0);
  router.list(ListKind::delta, {});
  const auto asked = router.actions(Action::subscribe).size();
  router.run_to(400.0);
  EXPECT_EQ(router.actions(Action::subscribe).size(), asked);  // subscribed: no further calls
}

// A local agent can be polled at no cost: after a failure the router retries much sooner than with a remote
// list service.
TEST(EndpointListPolling, RetriesALocalAgentSoon) {
  Settings settings = test_settings();
  settings.list_on_request = settings.list_pushed = true;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(100.5);
  for (int i = 0; i < 8; ++i) {
    const auto asked = router.actions(Action::subscribe).size();
    router.list(ListKind::failed, {});
    router.run_to(router.now + 0.4);
    EXPECT_GT(router.actions(Action::subscribe).size(), asked);
  }
}

TEST(EndpointListPolling, NeverSubscribesUnlessListsAreSentOnRequest) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(200.0);
  EXPECT_TRUE(router.actions(Action::subscribe).empty());
}

}  // namespace
}  // namespace flintglade::policy
