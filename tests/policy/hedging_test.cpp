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
  ScriptedRouter t(
      test_settings());  // the other side: where it is allowed, a silent replica is hedged within the aim
  t.list(ListKind::cached, ready_replicas(6));
  t.receive(new_request(1, 5));
  t.run_to(101.0);
  ASSERT_EQ(t.actions(Action::attempt, 1).size(), 2u);
  EXPECT_NE(t.actions(Action::attempt, 1)[0].replica, t.actions(Action::attempt, 1)[1].replica);
}

// Hedged requests, and early time-outs where they are forbidden, feed an overload: only while answers are in
// time.
TEST(Hedging, SetsNoEarlyTimeOutsWhileAnswersAreLate) {
  Settings settings = test_settings();
  settings.may_duplicate = false;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(8));
  router.receive(new_request(1, 1));
  EXPECT_GT(router.actions(Action::attempt, 1)[0].span, 0.0);
  router.run_to(101.0 + 0.5);
  router.accept(1, 0);
  router.receive(new_request(2, 2));
  EXPECT_EQ(router.actions(Action::attempt, 2)[0].span, 0.0);
}

TEST(Hedging, SendsNoHedgedRequestsWhileAnswersAreLate) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  router.receive(new_request(1, 1));
  router.accept(1, 0);
  for (RequestId id = 2; id <= 6; ++id) {
    router.receive(new_request(id, id));
    router.accept(id, 0);
  }
  router.receive(new_request(10, 10));
  router.receive(new_request(11, 11));
  router.run_to(101.4);
  const auto copies = router.actions(Action::attempt, 10).size() + router.actions(Action::attempt, 11).size();
  EXPECT_EQ(copies, 3u);  // the budget holds one copy, not two
  router.accept(10, 0);
  router.accept(11, 0);  // both late
  router.receive(new_request(12, 12));
  router.run_to(102.9);
  EXPECT_EQ(router.actions(Action::attempt, 12).size(), 1u);
}

}  // namespace
}  // namespace flintglade::policy
