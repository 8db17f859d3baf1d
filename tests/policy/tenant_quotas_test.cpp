#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(TenantQuotas, RequestsOverQuotaAreRejectedOnlyUnderOverload) {
  for (const bool strained : {false, true}) {
    Settings settings = test_settings();
    settings.tenants = {{10.0, 0.5}, {1000.0, 0.5}};
    ScriptedRouter router(settings);
    router.list(ListKind::cached, ready_replicas(8));
    RequestId id = 1;
    for (int i = 0; i < 400; ++i, ++id) {
      router.run_to(router.now + 0.01);
      NewRequest request = new_request(id, id);
      request.tenant = i % 4 == 0 ? 1 : 0;
      router.receive(request);
      if (strained && request.tenant == 1) {
        router.run_to(router.now + 0.001);
        for (std::uint32_t n = 0; n < router.attempts_sent[id]; ++n)
          router.respond(id, n, Outcome::full, false);
      }
    }
    std::size_t rejected = 0;
    for (RequestId k = 1; k < id; ++k) rejected += k % 4 != 1 && !router.actions(Action::reject, k).empty();
    if (strained) {
      EXPECT_GT(rejected, 50u);
    }
    if (!strained) {
      EXPECT_EQ(rejected, 0u);
    }
  }
}

// Who is over its budget goes first when things are tight, by what the host knows.
TEST(TenantQuotas, TheQuotaStatusThatTheHostKnowsGoesBeforeTheBucket) {
  Settings settings = test_settings();
  settings.tenants = {{0.001, 1.0}};  // by the quota alone everything is excess
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(2));
  std::size_t within = 0, over = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    router.run_to(router.now + 0.05);
    NewRequest request = new_request(id, id);
    request.quota_status = id % 2 == 0 ? QuotaStatus::within : QuotaStatus::over;
    router.receive(request);
    (id % 2 == 0 ? within : over) += router.actions(Action::reject, id).size();
    if (router.attempts_sent[id] == 0) continue;
    router.run_to(router.now + (id % 7 < 3 ? 1.5 : 0.01));  // more are late than the module aims at
    router.accept(id, 0);
    router.respond(id, 0, Outcome::ok, true);
  }
  EXPECT_GT(within, 0u);
  EXPECT_GT(over, 2 * within);
}

}  // namespace
}  // namespace flintglade::policy
