#include "policy/statistics.h"

#include <gtest/gtest.h>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(PrefillCost, OneSlowFirstEventAmongQuickOnesCountsForLittle) {
  PrefillCost cost;
  for (int i = 0; i < 10; ++i) cost.add(0.05, 600.0);
  const double usual = cost.seconds_per_token;
  EXPECT_NEAR(usual, 0.05 / (600.0 + PrefillCost::kStepOverheadTokens), 1e-9);
  cost.add(5.0, 600.0);  // behind a hundred others' prompts
  EXPECT_LT(cost.seconds_per_token, 11.0 * usual);
  for (int i = 0; i < 10; ++i) cost.add(0.05, 600.0);
  EXPECT_LT(cost.seconds_per_token, 1.4 * usual);
  cost.add(0.01, -50.0);  // more cached than was asked for counts as nothing read
  EXPECT_GT(cost.seconds_per_token, 0.0);
  const PrefillCost before = cost;
  cost.add(0.0, 600.0);  // a latency below the resolution does not count
  EXPECT_EQ(cost.seconds_per_token, before.seconds_per_token);
  EXPECT_EQ(cost.samples, before.samples);
}

}  // namespace
}  // namespace flintglade::policy
