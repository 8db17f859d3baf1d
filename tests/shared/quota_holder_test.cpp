#include "shared/quota_holder.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace flintglade::shared {
namespace {

using Verdict = QuotaHolder::Verdict;

constexpr std::uint32_t kTeamWithoutBudget = 0, kTeam = 1, kUnknownTeam = 9;
constexpr std::uint64_t kBirth = 1000;
constexpr Micros kExpires =
    core::kSecond * 9 / 10;  // of a lease granted for 1 s, which is shortened by a tenth

Budget stock_of_700() {
  Budget stock;
  stock.name = stock.team = "s";
  stock.window_total = 700 * kUnit;
  stock.window = 10 * core::kSecond;
  stock.reserved_share = 0;
  stock.routers = 7;
  return stock;
}

coordination::QuotaLease lease_of(std::int64_t amount, std::uint64_t request) {
  coordination::QuotaLease lease;
  lease.set_budget("s");
  lease.set_ask(request);
  lease.set_amount(amount);
  lease.set_valid_us(core::kSecond);
  lease.set_bank(4);
  lease.set_serial(9);
  return lease;
}

class QuotaHolderTest : public testing::Test {
 protected:
  QuotaHolder holder_{{stock_of_700()}, {"q", "s"}, kBirth, 0};

  // Spends once, which is rejected, so that the holder requests a lease. Returns the request's number.
  std::uint64_t request_lease() {
    EXPECT_EQ(holder_.spend(0, kTeam, 0).verdict, Verdict::rejected);
    const auto requests = holder_.due_requests(0);
    EXPECT_EQ(requests.size(), 1u);
    EXPECT_FALSE(requests[0].to_peer);
    return requests[0].request.number();
  }
};

TEST_F(QuotaHolderTest, TeamsWithoutABudgetAreNotLimited) {
  EXPECT_EQ(holder_.spend(0, kTeamWithoutBudget, 0).verdict, Verdict::unlimited);
  EXPECT_EQ(holder_.spend(0, kUnknownTeam, 0).verdict, Verdict::unlimited);
}

TEST_F(QuotaHolderTest, IgnoresALeaseThatWasNotRequested) {
  const std::uint64_t request = request_lease();
  holder_.on_lease(10, lease_of(3 * kUnit, request + 1));
  EXPECT_EQ(holder_.held(10, 0), 0);
}

TEST_F(QuotaHolderTest, ALeaseIsSpentOnceBeforeItExpiresAndTheUnspentAmountReturnedOnce) {
  const std::uint64_t request = request_lease();
  for (int i = 0; i < 3; ++i)
    holder_.on_lease(10, lease_of(3 * kUnit, request));  // duplicated by the network
  EXPECT_EQ(holder_.held(10, 0), 3 * kUnit);
  EXPECT_EQ(holder_.spend(20, kTeam, 0).verdict, Verdict::within);
  EXPECT_EQ(holder_.held(20, 0), 2 * kUnit);
  EXPECT_EQ(holder_.held(kExpires - 1, 0), 2 * kUnit);
  EXPECT_EQ(holder_.held(kExpires, 0), 0);
  EXPECT_EQ(holder_.spend(kExpires, kTeam, 0).verdict, Verdict::rejected);
  const auto returned = holder_.take_returns();
  ASSERT_EQ(returned.size(), 1u);
  EXPECT_EQ(returned[0].unspent(), 2 * kUnit);
  EXPECT_EQ(returned[0].serial(), 9u);
  EXPECT_TRUE(holder_.take_returns().empty());
}

TEST_F(QuotaHolderTest, AnUnansweredRequestGoesToAPeerAndALateAnswerIsReturnedOnce) {
  holder_.on_lease(10, lease_of(3 * kUnit, request_lease()));
  EXPECT_EQ(holder_.spend(20, kTeam, 0).verdict, Verdict::within);
  EXPECT_EQ(holder_.spend(kExpires, kTeam, 0).verdict, Verdict::rejected);
  EXPECT_EQ(holder_.take_returns().size(), 1u);

  const auto first = holder_.due_requests(kExpires + core::kSecond);
  ASSERT_EQ(first.size(), 1u);
  const Micros later = kExpires + 2 * core::kSecond;
  const auto to_peer = holder_.due_requests(later);
  ASSERT_EQ(to_peer.size(), 1u);
  EXPECT_TRUE(to_peer[0].to_peer);
  EXPECT_NE(to_peer[0].request.number(), first[0].request.number());
  for (int i = 0; i < 3; ++i) holder_.on_lease(later, lease_of(3 * kUnit, first[0].request.number()));
  const auto late = holder_.take_returns();
  ASSERT_EQ(late.size(), 1u);
  EXPECT_EQ(late[0].unspent(), 3 * kUnit);

  for (const std::int64_t implausible : {std::int64_t{-1}, INT64_MAX}) {
    holder_.on_lease(later, lease_of(implausible, to_peer[0].request.number()));
  }
  EXPECT_EQ(holder_.held(later, 0), 0);
}

TEST_F(QuotaHolderTest, LendsNothingForAnImplausibleRequest) {
  coordination::QuotaRequest request;
  request.set_budget("s");
  request.set_want(INT64_MAX);
  EXPECT_FALSE(holder_.lend(kExpires, request).has_value());
}

}  // namespace
}  // namespace flintglade::shared
