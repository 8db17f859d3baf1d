#include "shared/fleet_clock.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace flintglade::shared {
namespace {

constexpr Micros kStartUnixTime = 1'700'000'000 * core::kSecond;
constexpr Micros kHour = 3600 * core::kSecond;
constexpr Micros kSmallError = 50 * core::kMilli;  // of the fleet's Unix time, where some packets are quick

// Six other routers whose clocks are right; packets come each 200 ms for so long.
class FleetClockTest : public testing::Test {
 protected:
  static constexpr int kOthers = 6;

  template <typename Delay>
  void hear_all(Micros span, const Delay& delay) {
    for (const Micros end = now_ + span; now_ < end; now_ += 200 * core::kMilli) {
      for (int i = 0; i < kOthers; ++i) clock_.on_unix_time(now_, name(i), unix_time() - delay(i));
    }
  }
  static std::string name(int i) { return "r" + std::to_string(i); }
  Micros unix_time() const { return kStartUnixTime + now_; }
  // What is taken for the fleet's Unix time, less what it is.
  Micros error(Micros own_step = 0) const {
    return clock_.fleet_unix_time(now_, unix_time() + own_step) - unix_time();
  }

  FleetClock clock_;
  Micros now_ = core::kSecond;
};

// A stock of 700 was overspent 6 s into its window: packets of a slow network came up to 0.8 s late, and the
// allocator took all clocks for behind. It handed out what was left of the last window as valid for another
// 0.5 s when that was over already (its own clock had been stepped, so that it did not count).
TEST_F(FleetClockTest, LatePacketsAreNotTakenForClocksThatAreBehind) {
  std::mt19937 random(1);
  const auto slow = [&](int) { return std::uniform_int_distribution<Micros>(0, 800 * core::kMilli)(random); };
  hear_all(10 * core::kSecond, slow);
  for (int i = 0; i < 100; ++i) {
    hear_all(200 * core::kMilli, slow);
    EXPECT_LE(std::abs(error(-kHour)), 200 * core::kMilli);
  }
}

TEST_F(FleetClockTest, PacketsThatWereHeldUpChangeNothing) {
  hear_all(5 * core::kSecond, [](int) { return 0; });
  hear_all(200 * core::kMilli, [](int) { return 8 * core::kSecond; });
  EXPECT_LE(std::abs(error()), kSmallError);
}

TEST_F(FleetClockTest, OneClockThatIsSteppedMovesNothing) {
  for (const Micros step : {kHour, -kHour, 3 * core::kSecond, -3 * core::kSecond}) {
    hear_all(5 * core::kSecond, [](int) { return 0; });
    EXPECT_LE(std::abs(error(step)), kSmallError);  // its own
    EXPECT_LE(std::abs(error(-step)), kSmallError);
    hear_all(core::kSecond, [&](int i) { return i == 2 ? -step : 0; });
    EXPECT_LE(std::abs(error()), kSmallError);
    hear_all(core::kSecond, [&](int i) { return i == 2 ? -2 * step : 0; });  // once more
    EXPECT_LE(std::abs(error()), kSmallError);
  }
}

TEST_F(FleetClockTest, AStepBackOfAllOthersIsFollowedInTheEnd) {
  hear_all(5 * core::kSecond, [](int) { return 0; });
  hear_all(25 * core::kSecond, [](int) { return kHour; });
  EXPECT_EQ(error(), -kHour);
}

TEST_F(FleetClockTest, ClocksThatWereNotHeardForLongDoNotCount) {
  hear_all(core::kSecond, [](int) { return 0; });
  EXPECT_EQ(clock_.known_clocks(now_), 6u);
  now_ += 40 * core::kSecond;
  EXPECT_EQ(clock_.known_clocks(now_), 0u);
  EXPECT_EQ(error(kHour), kHour);
}

}  // namespace
}  // namespace flintglade::shared
