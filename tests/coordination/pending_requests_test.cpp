// Requests to voters that have not been answered yet.
#include "coordination/pending_requests.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

constexpr Micros kTimeout = 250 * core::kMilli;

TEST(PendingRequests, ReturnsTheRequestOfEachReplyOnce) {
  PendingRequests requests;
  const std::uint64_t number = requests.add(1000, true);
  const std::optional<PendingRequest> request = requests.take(number);
  ASSERT_TRUE(request.has_value());
  EXPECT_EQ(request->sent_at, 1000);
  EXPECT_TRUE(request->is_renewal);
  EXPECT_FALSE(requests.take(number).has_value());
}

TEST(PendingRequests, ReportsATimeoutForALimitedTime) {
  PendingRequests requests;
  requests.add(0, false);
  requests.add(kTimeout, false);
  EXPECT_FALSE(requests.has_timed_out(kTimeout, kTimeout));
  EXPECT_TRUE(requests.has_timed_out(kTimeout + 1, kTimeout));
  EXPECT_FALSE(requests.has_timed_out(4 * kTimeout, kTimeout));
}

TEST(PendingRequests, DoesNotCountTheNewestRequestAsTimedOut) {
  PendingRequests requests;
  requests.add(0, false);
  EXPECT_FALSE(requests.has_timed_out(kTimeout + 1, kTimeout));
}

TEST(PendingRequests, IsFullUntilOldRequestsAreRemoved) {
  PendingRequests requests;
  while (!requests.is_full()) requests.add(0, false);
  requests.forget_old(5 * core::kSecond);
  EXPECT_TRUE(requests.is_full());
  requests.forget_old(5 * core::kSecond + 1);
  EXPECT_FALSE(requests.is_full());
}

}  // namespace
}  // namespace flintglade::coordination
