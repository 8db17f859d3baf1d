#include "http/recent_peak.h"

#include <gtest/gtest.h>

namespace flintglade::http {
namespace {

using core::kSecond;
using core::Micros;

constexpr Micros kPeriod = 4 * kSecond;
constexpr Micros kNow = 1000 * kSecond;

TEST(RecentPeak, IsZeroBeforeAnyRecord) { EXPECT_EQ(RecentPeak(kPeriod).at(kNow), 0u); }

TEST(RecentPeak, IsTheHighestRecord) {
  RecentPeak peak(kPeriod);
  for (const std::size_t value : {3u, 9u, 4u}) peak.record(value, kNow);
  EXPECT_EQ(peak.at(kNow), 9u);
}

TEST(RecentPeak, LastsForAtLeastOnePeriodAndAtMostTwo) {
  for (Micros start = 0; start < kPeriod; start += kSecond) {
    RecentPeak peak(kPeriod);
    peak.record(1, kNow);
    peak.record(9, kNow + start);
    const Micros recorded_at = kNow + start;
    for (Micros now = recorded_at; now <= recorded_at + 2 * kPeriod; now += kSecond / 2) {
      peak.record(1, now);
      if (now < recorded_at + kPeriod) {
        EXPECT_EQ(peak.at(now), 9u) << now - recorded_at;
      }
    }
    EXPECT_EQ(peak.at(recorded_at + 2 * kPeriod), 1u);
  }
}

TEST(RecentPeak, EndsWithoutFurtherRecords) {
  RecentPeak peak(kPeriod);
  peak.record(9, kNow);
  EXPECT_EQ(peak.at(kNow + kPeriod), 9u);
  EXPECT_EQ(peak.at(kNow + 2 * kPeriod), 0u);
}

}  // namespace
}  // namespace flintglade::http
