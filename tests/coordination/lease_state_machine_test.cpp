// The effect of each command on the lease table.
#include "coordination/lease_state_machine.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

Command grant(const std::string& owner, std::uint64_t seen) {
  Command command;
  command.mutable_grant()->set_job("j");
  command.mutable_grant()->set_owner(owner);
  command.mutable_grant()->set_birth(1);
  command.mutable_grant()->set_seen(seen);
  return command;
}

TEST(LeaseStateMachine, GrantsAJobOnceForEachNumberThatTheLeaderSaw) {
  LeaseStateMachine machine;
  EXPECT_TRUE(machine.apply(grant("a", 0)).changed);
  EXPECT_FALSE(machine.apply(grant("b", 0)).changed);
  EXPECT_EQ(machine.find("j")->owner(), "a");
  EXPECT_TRUE(machine.apply(grant("b", 1)).changed);
  EXPECT_EQ(machine.find("j")->owner(), "b");
  EXPECT_EQ(machine.find("j")->number(), 2u);
}

TEST(LeaseStateMachine, RenewsOnlyTheLeasesOfTheirOwner) {
  LeaseStateMachine machine;
  machine.apply(grant("a", 0));
  Command renew;
  renew.mutable_renew()->set_owner("a");
  renew.mutable_renew()->set_birth(1);
  renew.mutable_renew()->add_held()->set_job("j");
  renew.mutable_renew()->mutable_held(0)->set_number(1);
  EXPECT_EQ(machine.apply(renew).renewed.size(), 1u);
  renew.mutable_renew()->set_birth(2);
  EXPECT_TRUE(machine.apply(renew).renewed.empty());
}

TEST(LeaseStateMachine, IgnoresAReleaseOfAnEarlierNumber) {
  LeaseStateMachine machine;
  machine.apply(grant("a", 0));
  machine.apply(grant("b", 1));
  Command release;
  release.mutable_release()->set_job("j");
  release.mutable_release()->set_number(1);
  EXPECT_FALSE(machine.apply(release).changed);
  release.mutable_release()->set_number(2);
  EXPECT_TRUE(machine.apply(release).changed);
  EXPECT_EQ(machine.find("j")->owner(), "");
}

TEST(LeaseStateMachine, KeepsAMoveUntilTheNextGrant) {
  LeaseStateMachine machine;
  machine.apply(grant("a", 0));
  Command move;
  move.mutable_move()->set_job("j");
  move.mutable_move()->set_to("b");
  EXPECT_TRUE(machine.apply(move).changed);
  EXPECT_EQ(machine.find("j")->wanted(), "b");
  machine.apply(grant("c", 1));
  EXPECT_EQ(machine.find("j")->wanted(), "");
}

TEST(LeaseStateMachine, IsUnchangedAfterASnapshotIsLoaded) {
  LeaseStateMachine machine, copy;
  machine.apply(grant("a", 0));
  ASSERT_TRUE(copy.load(machine.save()));
  EXPECT_EQ(copy.table().SerializeAsString(), machine.table().SerializeAsString());
  EXPECT_EQ(copy.table().revision(), 1u);
}

}  // namespace
}  // namespace flintglade::coordination
