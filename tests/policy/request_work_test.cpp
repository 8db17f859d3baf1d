#include "policy/request_work.h"

#include <gtest/gtest.h>

namespace flintglade::policy {
namespace {

constexpr double kWindowS = 10.0;

Request request_with(double hint, double prompt_tokens) {
  Request request;
  request.received.hint = hint;
  request.received.prompt_tokens = prompt_tokens;
  return request;
}

TEST(RequestWork, IsRelativeToTheMeanRequestAndWithinBounds) {
  LearnedState learned;
  RequestWork work(learned, kWindowS);
  Request first = request_with(0.0, 999.0);
  work.measure(first, 100.0);
  EXPECT_EQ(first.work, 1.0);
  Request huge = request_with(0.0, 1e6);
  work.measure(huge, 100.0);
  EXPECT_EQ(huge.work, 10.0);
  Request tiny = request_with(0.0, 0.0);
  work.measure(tiny, 100.0);
  EXPECT_EQ(tiny.work, 0.1);
}

TEST(RequestWork, PrefersTheHintToThePromptLength) {
  LearnedState learned;
  RequestWork work(learned, kWindowS);
  Request request = request_with(5.0, 1000.0);
  work.measure(request, 100.0);
  EXPECT_EQ(learned.mean_raw_work, 5.0);
}

TEST(RequestWork, ClientRetriesAreNotCountedAsArrivals) {
  LearnedState learned;
  learned.started_at = 100.0;
  RequestWork work(learned, kWindowS);
  Request retry = request_with(1.0, 0.0);
  retry.received.is_retry = true;
  work.measure(retry, 100.0);
  EXPECT_EQ(work.arrival_rate(100.0), 0.0);
}

TEST(RequestWork, TheArrivalRateIsRightWithinTheFirstWindow) {
  LearnedState learned;
  learned.started_at = 100.0;
  RequestWork work(learned, kWindowS);
  for (int i = 1; i <= 200; ++i) {
    Request request = request_with(1.0, 0.0);
    const double now = 100.0 + i * 0.05;  // 20 per second
    work.measure(request, now);
    if (i == 40 || i == 200) {
      EXPECT_NEAR(work.arrival_rate(now), 20.0, 1.0);
    }
  }
}

}  // namespace
}  // namespace flintglade::policy
