#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(HeldRequests, WaitWhileEveryReplicaIsColdAndAreStillAnswered) {
  Settings settings = test_settings();
  settings.fall_multiple = 0.5;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, {warm_replica(1, 100.0), warm_replica(2, 100.0)});
  for (RequestId id = 1; id <= 100; ++id) router.receive(new_request(id, id));
  router.run_to(106.0);
  EXPECT_LT(router.actions(Action::attempt).size(), 60u);
  for (RequestId id = 1; id <= 100; ++id) EXPECT_EQ(router.final_answers(id), 1u) << id;
}

}  // namespace
}  // namespace flintglade::policy
