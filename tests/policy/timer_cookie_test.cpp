#include "policy/timer_cookie.h"

#include <gtest/gtest.h>

namespace flintglade::policy {
namespace {

TEST(TimerCookie, ContainsTheKindAndTheRequest) {
  constexpr RequestId kLargestId = (RequestId{1} << kTimerKindShift) - 1;
  for (const TimerKind kind :
       {TimerKind::deadline, TimerKind::hedge, TimerKind::held_request, TimerKind::endpoint_list}) {
    for (const RequestId id : {RequestId{0}, RequestId{1}, kLargestId}) {
      EXPECT_EQ(timer_kind(timer_cookie(kind, id)), kind);
      EXPECT_EQ(timer_number(timer_cookie(kind, id)), id);
    }
  }
}

}  // namespace
}  // namespace flintglade::policy
