#include <gtest/gtest.h>

#include <map>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(ReplicaLoad, AnOverloadedReplicaGetsNoKeysUntilItHasFewerInFlight) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  const ReplicaId home = router.place(77);
  std::map<ReplicaId, int> attempts;
  for (RequestId id = 1; id <= 60; ++id) {
    router.receive(new_request(id, 77));
    router.receive_first_event(id, 0);
    ++attempts[router.actions(Action::attempt, id)[0].replica];
  }
  EXPECT_GE(attempts[home], 5);
  EXPECT_LE(attempts[home], 15);  // of 60; the mean is under 8
  for (RequestId id = 1; id <= 60; ++id) router.end_attempt(id, 0, Outcome::ok, true);
  EXPECT_EQ(router.place(77), home);
}

}  // namespace
}  // namespace flintglade::policy
