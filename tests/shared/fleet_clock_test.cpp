#include "shared/fleet_clock.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace flintglade::shared {
namespace {

constexpr Micros kStartUnixTime = 1'700'000'000 * core::kSecond;
constexpr Micros kHour = 3600 * core::kSecond;
// Tolerance for the estimate of the fleet's Unix time when some packets are fast.
constexpr Micros kSmallError = 50 * core::kMilli;

// Six other routers with correct clocks, each of which sends a packet every 200 ms.
class FleetClockTest : public testing::Test {
 protected:
  static constexpr int kOthers = 6;

  template <typename Delay>
  void receive_from_all(Micros span, const Delay& delay) {
    for (const Micros end = now_ + span; now_ < end; now_ += 200 * core::kMilli) {
      for (int i = 0; i < kOthers; ++i) clock_.on_unix_time(now_, name(i), unix_time() - delay(i));
    }
  }
  static std::string name(int i) { return "r" + std::to_string(i); }
  Micros unix_time() const { return kStartUnixTime + now_; }
  // Estimate of the fleet's Unix time minus the true time, with this router's own Unix time off by
  // `own_step`.
  Micros error(Micros own_step = 0) const {
    return clock_.fleet_unix_time(now_, unix_time() + own_step) - unix_time();
  }

  FleetClock clock_;
  Micros now_ = core::kSecond;
};

// Guards against mistaking delayed packets for slow clocks: with delays of up to 0.8 s the allocator took all
// other clocks to be behind (its own clock had been stepped and did not count), granted leases on the
// previous window's remaining stock that were valid 0.5 s past the window's end, and a stock of 700 was
// overspent.
TEST_F(FleetClockTest, DelayedPacketsAreNotMistakenForSlowClocks) {
  std::mt19937 random(1);
  const auto slow = [&](int) { return std::uniform_int_distribution<Micros>(0, 800 * core::kMilli)(random); };
  receive_from_all(10 * core::kSecond, slow);
  for (int i = 0; i < 100; ++i) {
    receive_from_all(200 * core::kMilli, slow);
    EXPECT_LE(std::abs(error(-kHour)), 200 * core::kMilli);
  }
}

TEST_F(FleetClockTest, HeavilyDelayedPacketsDoNotChangeTheEstimate) {
  receive_from_all(5 * core::kSecond, [](int) { return 0; });
  receive_from_all(200 * core::kMilli, [](int) { return 8 * core::kSecond; });
  EXPECT_LE(std::abs(error()), kSmallError);
}

TEST_F(FleetClockTest, AStepOfOneClockDoesNotChangeTheEstimate) {
  for (const Micros step : {kHour, -kHour, 3 * core::kSecond, -3 * core::kSecond}) {
    receive_from_all(5 * core::kSecond, [](int) { return 0; });
    EXPECT_LE(std::abs(error(step)), kSmallError);  // this router's own clock
    EXPECT_LE(std::abs(error(-step)), kSmallError);
    receive_from_all(core::kSecond, [&](int i) { return i == 2 ? -step : 0; });
    EXPECT_LE(std::abs(error()), kSmallError);
    receive_from_all(core::kSecond, [&](int i) { return i == 2 ? -2 * step : 0; });  // once more
    EXPECT_LE(std::abs(error()), kSmallError);
  }
}

TEST_F(FleetClockTest, FollowsABackwardStepOfAllOtherClocksAfterAWhile) {
  receive_from_all(5 * core::kSecond, [](int) { return 0; });
  receive_from_all(25 * core::kSecond, [](int) { return kHour; });
  EXPECT_EQ(error(), -kHour);
}

TEST_F(FleetClockTest, ClocksWithoutARecentMeasurementDoNotCount) {
  receive_from_all(core::kSecond, [](int) { return 0; });
  EXPECT_EQ(clock_.known_clocks(now_), 6u);
  now_ += 40 * core::kSecond;
  EXPECT_EQ(clock_.known_clocks(now_), 0u);
  EXPECT_EQ(error(kHour), kHour);
}

// A packet without a Unix time counted as a clock, with an offset of -1 us, while the monotonic clock was
// young.
TEST_F(FleetClockTest, APacketWithoutUnixTimeIsNoClock) {
  clock_.on_packet(now_, name(0), 1, 0);
  EXPECT_EQ(clock_.known_clocks(now_), 0u);
  EXPECT_EQ(error(), 0);
}

}  // namespace
}  // namespace flintglade::shared
