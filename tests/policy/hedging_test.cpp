#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(Hedging, SendsNoHedgedRequestWhereNoneIsAllowed) {
  Settings settings = test_settings();
  settings.may_duplicate = false;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(6));
  router.receive(new_request(1, 5));
  router.run_to(104.9);
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 1u);
  // For comparison: where it is allowed, the hedged request is sent within the latency objective.
  ScriptedRouter hedging_router(test_settings());
  hedging_router.list(ListKind::cached, ready_replicas(6));
  hedging_router.receive(new_request(1, 5));
  hedging_router.run_to(101.0);
  const auto attempts = hedging_router.actions(Action::attempt, 1);
  ASSERT_EQ(attempts.size(), 2u);
  EXPECT_NE(attempts[0].replica, attempts[1].replica);
}

// Hedged requests make an overload worse, and so do early timeouts where hedged requests are forbidden: both
// are used only while answers are in time.
TEST(Hedging, SetsNoEarlyTimeoutsWhileAnswersAreLate) {
  Settings settings = test_settings();
  settings.may_duplicate = false;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(8));
  router.receive(new_request(1, 1));
  EXPECT_GT(router.actions(Action::attempt, 1)[0].duration, 0.0);
  router.run_to(101.0 + 0.5);
  router.receive_first_event(1, 0);
  router.receive(new_request(2, 2));
  EXPECT_EQ(router.actions(Action::attempt, 2)[0].duration, 0.0);
}

TEST(Hedging, SendsNoHedgedRequestsWhileAnswersAreLate) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  router.receive(new_request(1, 1));
  router.receive_first_event(1, 0);
  for (RequestId id = 2; id <= 6; ++id) {
    router.receive(new_request(id, id));
    router.receive_first_event(id, 0);
  }
  router.receive(new_request(10, 10));
  router.receive(new_request(11, 11));
  router.run_to(101.4);
  const auto attempts =
      router.actions(Action::attempt, 10).size() + router.actions(Action::attempt, 11).size();
  EXPECT_EQ(attempts, 3u);  // the budget allows one hedged request, not two
  router.receive_first_event(10, 0);
  router.receive_first_event(11, 0);  // both late
  router.receive(new_request(12, 12));
  router.run_to(102.9);
  EXPECT_EQ(router.actions(Action::attempt, 12).size(), 1u);
}

}  // namespace
}  // namespace flintglade::policy
