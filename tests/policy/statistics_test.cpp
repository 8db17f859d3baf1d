#include "policy/statistics.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>

namespace flintglade::policy {
namespace {

TEST(PrefillCost, OneSlowFirstEventAmongFastOnesHasLittleWeight) {
  PrefillCost cost;
  for (int i = 0; i < 10; ++i) cost.add(0.05, 600.0);
  const double usual = cost.seconds_per_token;
  EXPECT_NEAR(usual, 0.05 / (600.0 + PrefillCost::kStepOverheadTokens), 1e-9);
  cost.add(5.0, 600.0);  // queued behind a hundred other prompts
  EXPECT_LT(cost.seconds_per_token, 11.0 * usual);
  for (int i = 0; i < 10; ++i) cost.add(0.05, 600.0);
  EXPECT_LT(cost.seconds_per_token, 1.4 * usual);
  cost.add(0.01, -50.0);  // more tokens cached than the prompt has: counts as no tokens read
  EXPECT_GT(cost.seconds_per_token, 0.0);
  const PrefillCost before = cost;
  cost.add(0.0, 600.0);  // a latency below the resolution does not count
  EXPECT_EQ(cost.seconds_per_token, before.seconds_per_token);
  EXPECT_EQ(cost.samples, before.samples);
}

TEST(DecayingSum, DecaysToOneOverEWithinItsWindow) {
  DecayingSum sum;
  sum.add(100.0, 10.0, 5.0);
  EXPECT_NEAR(sum.value(110.0, 10.0), 5.0 / std::exp(1.0), 1e-12);
  sum.add(110.0, 10.0, 1.0);
  EXPECT_NEAR(sum.value(110.0, 10.0), 1.0 + 5.0 / std::exp(1.0), 1e-12);
}

TEST(TimeInSystem, IncludesAttemptsInFlight) {
  TimeInSystem statistics;
  statistics.updated_at = 100.0;
  statistics.arrivals = 1.0;
  statistics.in_flight = 1.0;
  statistics.advance_to(130.0, 1e6);  // almost no decay
  EXPECT_NEAR(statistics.mean(1.0, 0.0), 30.0, 0.01);
  EXPECT_NEAR(statistics.mean(1.0, 2.0), 32.0 / 3.0, 0.01);  // two prior attempts of the usual duration
}

TEST(Statistics, NumbersThatAreNotFiniteBecomeTheMinimum) {
  EXPECT_EQ(clamp_finite(std::nan(""), 1.0, 2.0), 1.0);
  EXPECT_EQ(clamp_finite(HUGE_VAL, 1.0, 2.0), 1.0);
  EXPECT_EQ(clamp_finite(5.0, 1.0, 2.0), 2.0);
  EXPECT_EQ(ratio_or_zero(1.0, 0.0), 0.0);
}

TEST(Statistics, ATableAboveItsMaximumSizeLosesItsIdleEntriesOrAll) {
  std::map<int, int> table{{1, 0}, {2, 1}, {3, 1}};
  const auto is_idle = [](const auto& entry) { return entry.second == 0; };
  limit_size(table, 3, is_idle);
  EXPECT_EQ(table.size(), 3u);
  limit_size(table, 2, is_idle);
  EXPECT_EQ(table.size(), 2u);
  limit_size(table, 1, is_idle);
  EXPECT_TRUE(table.empty());
}

}  // namespace
}  // namespace flintglade::policy
