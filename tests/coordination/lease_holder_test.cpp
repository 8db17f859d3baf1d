// The owner's side of leases: how long a lease is valid, and the effect of a release.
#include "coordination/lease_holder.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

class LeaseHolderTest : public ::testing::Test {
 protected:
  LeaseHolderTest() {
    job_ = table_.add_jobs();
    job_->set_name("j");
    job_->set_owner("a");
    job_->set_birth(1);
    job_->set_number(5);
    holder_.on_lease_table(table_, 1);
  }
  // The leases in the renewal that is due now; empty if none is due.
  std::vector<HeldLease> renewal(Micros now) {
    const std::optional<Renew> renew = holder_.take_renewal(now);
    if (!renew) return {};
    return {renew->held().begin(), renew->held().end()};
  }

  LeaseTimes times_;
  LeaseHolder holder_{times_, "a"};
  LeaseTable table_;
  Job* job_ = nullptr;
};

TEST_F(LeaseHolderTest, MeasuresALeaseFromTheSendingOfItsRenewalMinusTheMargin) {
  const std::vector<HeldLease> held = renewal(0);
  ASSERT_EQ(held.size(), 1u);
  holder_.on_renewed(0, held);
  const Micros end = times_.duration - times_.clock_margin();
  EXPECT_TRUE(holder_.has_valid_lease(end - 1, "j"));
  EXPECT_FALSE(holder_.has_valid_lease(end, "j"));
}

TEST_F(LeaseHolderTest, NeverRevokesAReleaseThatWasSent) {
  const std::vector<HeldLease> held = renewal(0);
  holder_.on_renewed(0, held);
  job_->set_wanted("b");
  holder_.on_lease_table(table_, 1);
  EXPECT_EQ(holder_.take_releases(1000).size(), 1u);
  EXPECT_FALSE(holder_.has_valid_lease(1001, "j"));
  // The operator cancels the move, and the reply to an earlier renewal arrives: neither makes the lease valid
  // again.
  job_->clear_wanted();
  holder_.on_lease_table(table_, 1);
  holder_.on_renewed(900, held);
  EXPECT_FALSE(holder_.has_valid_lease(1001, "j"));
  EXPECT_FALSE(holder_.take_renewal(10 * core::kSecond));
  // A new number is a new lease, but not one of a newer process of this router.
  job_->set_number(6);
  holder_.on_lease_table(table_, 1);
  EXPECT_TRUE(holder_.take_renewal(11 * core::kSecond));
  holder_.on_lease_table(table_, 2);
  EXPECT_FALSE(holder_.take_renewal(12 * core::kSecond));
}

}  // namespace
}  // namespace flintglade::coordination
