#include "core/timer_queue.h"

#include <gtest/gtest.h>

namespace flintglade::core {
namespace {

std::uint64_t cookie_of(const std::optional<Timer>& timer) { return std::get<ModuleTimer>(*timer).cookie; }

TEST(TimerQueue, IsEmptyAtFirst) {
  TimerQueue timers;
  EXPECT_EQ(timers.next_expiry(), kNever);
  EXPECT_FALSE(timers.pop_expired(kNever).has_value());
}

TEST(TimerQueue, ReturnsNoTimerBeforeItExpires) {
  TimerQueue timers;
  timers.set(10, ModuleTimer{1});
  EXPECT_EQ(timers.next_expiry(), 10);
  EXPECT_FALSE(timers.pop_expired(9).has_value());
  EXPECT_EQ(cookie_of(timers.pop_expired(10)), 1u);
  EXPECT_EQ(timers.next_expiry(), kNever);
}

TEST(TimerQueue, KeepsTheOrderOfTimersWithEqualTimes) {
  TimerQueue timers;
  for (std::uint64_t cookie = 0; cookie < 20; ++cookie) timers.set(10, ModuleTimer{cookie});
  timers.set(5, ModuleTimer{100});
  EXPECT_EQ(cookie_of(timers.pop_expired(10)), 100u);
  for (std::uint64_t cookie = 0; cookie < 20; ++cookie) EXPECT_EQ(cookie_of(timers.pop_expired(10)), cookie);
}

}  // namespace
}  // namespace flintglade::core
