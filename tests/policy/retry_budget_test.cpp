#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(RetryBudget, EndsAStormOfRetries) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  for (RequestId id = 1; id <= 300; ++id) {
    router.receive(new_request(id, id));
    for (std::uint32_t n = 0; n < router.attempts_sent[id]; ++n) router.respond(id, n, Outcome::error, false);
  }
  EXPECT_LT(router.actions(Action::attempt).size(), 300u * 13 / 10);
}

}  // namespace
}  // namespace flintglade::policy
