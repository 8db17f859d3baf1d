#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(TenantQuotas, RequestsOverQuotaAreRejectedOnlyUnderOverload) {
  for (const bool overloaded : {false, true}) {
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
      if (overloaded && request.tenant == 1) {
        router.run_to(router.now + 0.001);
        for (std::uint32_t n = 0; n < router.attempts_sent[id]; ++n)
          router.end_attempt(id, n, Outcome::full, false);
      }
    }
    std::size_t rejected = 0;
    for (RequestId sent = 1; sent < id; ++sent)
      rejected += sent % 4 != 1 && !router.actions(Action::reject, sent).empty();
    if (overloaded) {
      EXPECT_GT(rejected, 50u);
    }
    if (!overloaded) {
      EXPECT_EQ(rejected, 0u);
    }
  }
}

// Under overload, requests over their quota are rejected first, according to the status from the host.
TEST(TenantQuotas, TheQuotaStatusFromTheHostTakesPrecedenceOverTheBucket) {
  Settings settings = test_settings();
  settings.tenants = {{0.001, 1.0}};  // by the bucket alone every request is over quota
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
    router.run_to(router.now + (id % 7 < 3 ? 1.5 : 0.01));  // more are late than the target of admission
    router.receive_first_event(id, 0);
    router.end_attempt(id, 0, Outcome::ok, true);
  }
  EXPECT_GT(within, 0u);
  EXPECT_GT(over, 2 * within);
}

}  // namespace
}  // namespace flintglade::policy
