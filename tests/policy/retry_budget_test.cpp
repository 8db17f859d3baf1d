#include "policy/retry_budget.h"

#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(RetryBudget, LimitsRetriesWhenAllRequestsFail) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  for (RequestId id = 1; id <= 300; ++id) {
    router.receive(new_request(id, id));
    for (std::uint32_t n = 0; n < router.attempts_sent[id]; ++n)
      router.end_attempt(id, n, Outcome::error, false);
  }
  EXPECT_LT(router.actions(Action::attempt).size(), 300u * 13 / 10);
}

TEST(RetryBudget, RefillsByAFifthOfARetryForEachRequestUpToItsLimit) {
  LearnedState learned;
  RetryBudget budget(learned);
  for (int i = 0; i < 10; ++i) budget.spend();
  EXPECT_TRUE(budget.exhausted());
  for (int i = 0; i < 6; ++i) budget.on_new_request();
  EXPECT_FALSE(budget.exhausted());
  for (int i = 0; i < 1000; ++i) budget.on_new_request();
  EXPECT_EQ(learned.retry_tokens, RetryBudget::kMaxTokens);
}

}  // namespace
}  // namespace flintglade::policy
