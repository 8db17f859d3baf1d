#include "shared/quota_allocator.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <string>

namespace flintglade::shared {
namespace {

Budget quota() {
  Budget quota;
  quota.name = quota.team = "q";
  quota.per_s = 60 * kUnit;
  quota.burst = 90 * kUnit;
  quota.routers = 7;
  return quota;
}

coordination::QuotaRequest request_of(std::uint64_t number, Amount want) {
  coordination::QuotaRequest request;
  request.set_number(number);
  request.set_budget("q");
  request.set_want(want);
  request.set_demand(want);
  return request;
}

TEST(QuotaAllocator, GrantsNothingWithoutTheLeaseOnItsJob) {
  QuotaAllocator allocator({quota()});
  EXPECT_FALSE(allocator.allocate(0, "a", 1, request_of(1, kUnit)).has_value());
  allocator.start(0, 5);
  EXPECT_TRUE(allocator.allocate(0, "a", 1, request_of(1, kUnit)).has_value());
  allocator.stop();
  EXPECT_FALSE(allocator.allocate(0, "a", 1, request_of(2, kUnit)).has_value());
}

TEST(QuotaAllocator, StartsWithAnEmptyPool) {
  QuotaAllocator allocator({quota()});
  allocator.start(0, 5);
  const auto lease = allocator.allocate(0, "a", 1, request_of(1, kUnit));
  ASSERT_TRUE(lease.has_value());
  EXPECT_EQ(lease->amount(), 0);
  EXPECT_GT(lease->again_us(), 0);
}

TEST(QuotaAllocator, AnswersARepeatedRequestWithTheSameLease) {
  QuotaAllocator allocator({quota()});
  allocator.start(0, 5);
  const auto first = allocator.allocate(core::kSecond, "a", 1, request_of(1, 10 * kUnit));
  const auto repeated = allocator.allocate(core::kSecond, "a", 1, request_of(1, 10 * kUnit));
  ASSERT_TRUE(first.has_value() && repeated.has_value());
  EXPECT_GT(first->amount(), 0);
  EXPECT_EQ(first->serial(), repeated->serial());
  EXPECT_EQ(allocator.counters().leases, 1u);
}

TEST(QuotaAllocator, GrantsNoMoreThanItMints) {
  QuotaAllocator allocator({quota()});
  allocator.start(0, 5);
  Amount granted = 0;
  constexpr int kSeconds = 20;
  for (int i = 1; i <= 10 * kSeconds; ++i) {
    const std::string router = "r" + std::to_string(i % 7);
    const auto lease = allocator.allocate(i * 100 * core::kMilli, router, 1, request_of(i, 50 * kUnit));
    ASSERT_TRUE(lease.has_value());
    granted += lease->amount();
  }
  const Budget budget = quota();
  EXPECT_LE(static_cast<double>(granted),
            static_cast<double>(budget.allocator_pool()) + budget.allocator_per_s() * kSeconds);
  EXPECT_GT(static_cast<double>(granted), 0.8 * budget.allocator_per_s() * kSeconds);
}

}  // namespace
}  // namespace flintglade::shared
