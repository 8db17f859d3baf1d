#include "membership/suspicion.h"

#include <gtest/gtest.h>

namespace flintglade::membership {
namespace {

constexpr SuspicionBounds kBounds{100.0, 300.0};

TEST(Suspicion, LastsLongestWithASingleReporter) { EXPECT_EQ(suspicion_length(kBounds, 1), 300.0); }

TEST(Suspicion, ShrinksWithEachFurtherReporter) {
  EXPECT_LT(suspicion_length(kBounds, 2), suspicion_length(kBounds, 1));
  EXPECT_LT(suspicion_length(kBounds, 3), suspicion_length(kBounds, 2));
}

TEST(Suspicion, IsNeverShorterThanItsMinimum) {
  EXPECT_EQ(suspicion_length(kBounds, kConfirmationsForMinimum + 1), 100.0);
  EXPECT_EQ(suspicion_length(kBounds, 50), 100.0);
}

}  // namespace
}  // namespace flintglade::membership
