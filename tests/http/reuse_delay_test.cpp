#include "http/reuse_delay.h"

#include <gtest/gtest.h>

namespace flintglade::http {
namespace {

using core::kMilli;
using core::kSecond;
using core::Micros;

constexpr Micros kNow = 1000 * kSecond;

TEST(ReuseDelay, IsTheMinimumUntilALaterResponseIsSeen) {
  ReuseDelay delay;
  EXPECT_EQ(delay.at(kNow), ReuseDelay::kMin);
  delay.on_unsolicited_response(6 * kMilli, kNow);
  EXPECT_EQ(delay.at(kNow), ReuseDelay::kMin);
}

// Guards against second responses that come later than the minimum: seen once, the next ones are waited for.
TEST(ReuseDelay, IsLongerThanWhatWasSeen) {
  for (Micros lateness = 10 * kMilli; lateness <= ReuseDelay::kMax; lateness += 10 * kMilli) {
    ReuseDelay delay;
    delay.on_unsolicited_response(lateness, kNow);
    EXPECT_GE(delay.at(kNow + kSecond), lateness);
    EXPECT_LE(delay.at(kNow + kSecond), ReuseDelay::kMax);
  }
}

TEST(ReuseDelay, IsNotShortenedByAnEarlierResponse) {
  ReuseDelay delay;
  delay.on_unsolicited_response(200 * kMilli, kNow);
  const Micros raised = delay.at(kNow);
  delay.on_unsolicited_response(30 * kMilli, kNow);
  EXPECT_EQ(delay.at(kNow), raised);
}

TEST(ReuseDelay, ReturnsToTheMinimumOnceNoneIsSeenAnyMore) {
  ReuseDelay delay;
  delay.on_unsolicited_response(200 * kMilli, kNow);
  delay.on_unsolicited_response(200 * kMilli, kNow + 50 * kSecond);
  EXPECT_GT(delay.at(kNow + 100 * kSecond), ReuseDelay::kMin);
  EXPECT_EQ(delay.at(kNow + 200 * kSecond), ReuseDelay::kMin);
}

// A server may send a notice before it closes an idle connection: it tells nothing about late responses.
TEST(ReuseDelay, IgnoresWhatComesLongAfterTheResponse) {
  ReuseDelay delay;
  delay.on_unsolicited_response(ReuseDelay::kMax + 1, kNow);
  EXPECT_EQ(delay.at(kNow), ReuseDelay::kMin);
}

}  // namespace
}  // namespace flintglade::http
