#include "shared/health_observer.h"

#include <gtest/gtest.h>

namespace flintglade::shared {
namespace {

using policy::Outcome;

TEST(HealthObserver, ReportsTwoConsecutiveFailuresAndTheRecovery) {
  HealthObserver observer{Settings{}};
  observer.on_attempt_ended(0, 1, Outcome::reset);
  EXPECT_TRUE(observer.observations(0).empty());
  EXPECT_FALSE(observer.take_changed());

  observer.on_attempt_ended(1, 1, Outcome::connect_failed);
  observer.on_attempt_ended(1, 2, Outcome::full);
  observer.on_attempt_ended(1, 2, Outcome::cancelled);
  EXPECT_TRUE(observer.take_changed());
  ASSERT_EQ(observer.observations(1).size(), 1u);
  EXPECT_TRUE(observer.observations(1)[0].bad());
  EXPECT_EQ(observer.observations(1)[0].count(), 2u);

  observer.on_first_event(2, 1);
  EXPECT_TRUE(observer.take_changed());
  ASSERT_EQ(observer.observations(2).size(), 1u);
  EXPECT_FALSE(observer.observations(2)[0].bad());
  EXPECT_TRUE(observer.observations(2 + 6 * core::kSecond).empty());
}

}  // namespace
}  // namespace flintglade::shared
