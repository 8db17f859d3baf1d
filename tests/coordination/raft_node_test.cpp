// What a voter acknowledges and commits, message by message: voters whose logs differ beyond the entries that
// a request covers.
#include "coordination/raft_node.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace flintglade::coordination {
namespace {

constexpr std::uint64_t kVoters = 3;
constexpr Micros kTick = 20 * core::kMilli;
constexpr int kTicksOfLongestElectionTimeout = 100;

class MemoryStorage final : public RaftStorage {
 public:
  absl::Status append(const std::string&) override { return absl::OkStatus(); }
  absl::Status rewrite(const std::string&) override { return absl::OkStatus(); }
};

std::string voter_address(std::uint64_t id) { return "10.0.0." + std::to_string(id) + ":7000"; }

Command grant(const std::string& owner) {
  Command command;
  command.mutable_grant()->set_job("job");
  command.mutable_grant()->set_owner(owner);
  return command;
}

Entry grant_entry(std::uint64_t index, std::uint64_t term, const std::string& owner) {
  Entry entry;
  entry.set_index(index);
  entry.set_term(term);
  entry.set_type(RAFT_COMMAND);
  entry.set_data(grant(owner).SerializeAsString());
  return entry;
}

// A state of term 2 whose log has the configuration at index 1, followed by these entries.
PersistentState state_of_term_two(std::uint64_t id, const std::vector<Entry>& entries) {
  std::vector<Voter> voters(kVoters);
  for (std::uint64_t i = 0; i < kVoters; ++i) {
    voters[i].set_id(i + 1);
    voters[i].set_at(voter_address(i + 1));
  }
  PersistentState state = RaftNode::initial_state("fleet", id, voters);
  state.vote.set_term(2);
  for (const Entry& entry : entries) {
    Frame frame;
    *frame.mutable_entry() = entry;
    state.apply(frame);
  }
  return state;
}

// A voter, and the messages that it has sent and nobody has taken yet.
struct TestVoter {
  TestVoter(std::uint64_t id, const std::vector<Entry>& entries)
      : node(
            voter_address(id), state_of_term_two(id, entries), storage, RaftTimes{}, id,
            [this](const std::string&, const Raft& message) { sent.push_back(message); }, nullptr) {
    EXPECT_TRUE(node.start(0).ok());
  }
  // Takes the oldest message to this receiver. One without a type if there is none.
  Raft take_message_to(std::uint64_t receiver) {
    for (auto it = sent.begin(); it != sent.end(); ++it) {
      if (it->receiver() != receiver) continue;
      Raft message = *it;
      sent.erase(it);
      return message;
    }
    return {};
  }
  MemoryStorage storage;
  std::deque<Raft> sent;
  RaftNode node;
};

Raft request_of_voter_one(unsigned type, std::uint64_t term) {
  Raft message;
  message.set_sender(1);
  message.set_sender_at(voter_address(1));
  message.set_receiver(2);
  message.set_type(type);
  message.set_term(term);
  return message;
}

Raft append_entries(std::uint64_t term, std::uint64_t previous_index, std::uint64_t previous_term,
                    std::uint64_t commit) {
  Raft message = request_of_voter_one(RAFT_IO_APPEND_ENTRIES, term);
  message.set_previous_index(previous_index);
  message.set_previous_term(previous_term);
  message.set_commit(commit);
  return message;
}

// Issue 45: a voter acknowledged an entry of its own that the leader never had.
TEST(RaftNode, AcknowledgesNoEntryBeyondThoseThatTheRequestCovers) {
  TestVoter follower(2, {grant_entry(2, 2, "never replicated")});
  follower.node.receive(0, append_entries(3, 1, 1, 1));
  const Raft result = follower.take_message_to(1);
  ASSERT_EQ(result.type(), unsigned{RAFT_IO_APPEND_ENTRIES_RESULT});
  EXPECT_EQ(result.rejected(), 0u);
  EXPECT_EQ(result.last_index(), 1u);
}

// Issue 45: the same for a snapshot that ends before the voter's log does.
TEST(RaftNode, AcknowledgesNoEntryBeyondASnapshotThatItAlreadyHas) {
  TestVoter follower(2, {grant_entry(2, 2, "replicated"), grant_entry(3, 2, "never replicated")});
  Raft snapshot = request_of_voter_one(RAFT_IO_INSTALL_SNAPSHOT, 3);
  snapshot.set_last_index(2);
  snapshot.set_last_term(2);
  snapshot.set_conf_index(1);
  follower.node.receive(0, snapshot);
  const Raft result = follower.take_message_to(1);
  ASSERT_EQ(result.type(), unsigned{RAFT_IO_APPEND_ENTRIES_RESULT});
  EXPECT_EQ(result.rejected(), 0u);
  EXPECT_EQ(result.last_index(), 2u);
}

// The same confusion with the commit index: a voter applied an entry of its own because the leader's commit
// index was beyond the entries of the request.
TEST(RaftNode, CommitsNoEntryBeyondThoseThatTheRequestCovers) {
  TestVoter follower(2, {grant_entry(2, 2, "never replicated")});
  const std::uint64_t committed_at_the_leader = 2;
  follower.node.receive(0, append_entries(3, 1, 1, committed_at_the_leader));
  EXPECT_EQ(follower.node.applied_index(), 1u);
  EXPECT_EQ(follower.node.lease_state_machine().find("job"), nullptr);
}

TEST(RaftNode, AcknowledgesTheEntriesOfTheRequest) {
  TestVoter follower(2, {grant_entry(2, 2, "never replicated")});
  Raft request = append_entries(3, 1, 1, 1);
  *request.add_entries() = grant_entry(2, 3, "a");
  *request.add_entries() = grant_entry(3, 3, "b");
  follower.node.receive(0, request);
  const Raft result = follower.take_message_to(1);
  EXPECT_EQ(result.rejected(), 0u);
  EXPECT_EQ(result.last_index(), 3u);
}

TEST(RaftNode, RejectsARequestWhosePreviousEntryItDoesNotHave) {
  TestVoter follower(2, {});
  follower.node.receive(0, append_entries(3, 4, 3, 4));
  const Raft result = follower.take_message_to(1);
  EXPECT_EQ(result.rejected(), 4u);
  EXPECT_EQ(result.last_index(), 1u);
}

// Three voters; the second has an entry that it never replicated.
class RaftNodes : public ::testing::Test {
 protected:
  RaftNodes() {
    voters_.push_back(std::make_unique<TestVoter>(1, std::vector<Entry>{}));
    voters_.push_back(
        std::make_unique<TestVoter>(2, std::vector<Entry>{grant_entry(2, 2, "never replicated")}));
    voters_.push_back(std::make_unique<TestVoter>(3, std::vector<Entry>{}));
  }
  TestVoter& voter(std::uint64_t id) { return *voters_[id - 1]; }
  // Delivers the messages between these two voters until there are none.
  void exchange(std::uint64_t first, std::uint64_t second) {
    while (deliver_one(first, second) || deliver_one(second, first)) {
    }
  }
  bool deliver_one(std::uint64_t from, std::uint64_t to) {
    const Raft message = voter(from).take_message_to(to);
    if (message.type() == 0) return false;
    voter(to).node.receive(now_, message);
    return true;
  }
  // The first voter becomes the leader by the vote of the third.
  void elect_first_voter() {
    for (int i = 0; i < kTicksOfLongestElectionTimeout && !voter(1).node.is_leader(); ++i) {
      now_ += kTick;
      voter(1).node.tick(now_);
      exchange(1, 3);
    }
    ASSERT_TRUE(voter(1).node.is_leader());
  }

  std::vector<std::unique_ptr<TestVoter>> voters_;
  Micros now_ = 0;
};

// Issue 45: voters whose lease tables had parted went on without anybody knowing. Here the second voter has
// another entry at the same index and of the same term.
TEST(RaftNode, FindsAVoterWhoseLeaseTableDiffers) {
  TestVoter leader(1, {grant_entry(2, 2, "a")}), same(3, {grant_entry(2, 2, "a")});
  TestVoter parted(2, {grant_entry(2, 2, "b")});
  Micros now = 0;
  const auto exchange_with = [&](TestVoter& other) {
    for (Raft message = leader.take_message_to(other.node.id()); message.type() != 0;
         message = leader.take_message_to(other.node.id()))
      other.node.receive(now, message);
    for (Raft message = other.take_message_to(1); message.type() != 0; message = other.take_message_to(1))
      leader.node.receive(now, message);
  };
  for (int i = 0; i < 2 * kTicksOfLongestElectionTimeout; ++i) {
    now += kTick;
    leader.node.tick(now);
    exchange_with(same);
    exchange_with(parted);
    if (leader.node.is_leader() && leader.node.last_index() == 2)
      leader.node.propose(now, Command{}, [](const absl::Status&, const Applied&) {});
  }
  ASSERT_TRUE(leader.node.is_leader());
  ASSERT_EQ(parted.node.applied_index(), leader.node.applied_index());
  const std::map<std::uint64_t, std::uint64_t>& differing = leader.node.table_checksums().differing_voters();
  ASSERT_EQ(differing.size(), 1u);
  EXPECT_EQ(differing.begin()->first, parted.node.id());
}

// Issue 45: a leader counted the unreplicated entry of another voter as a replica of its own one, committed
// it, and one fencing number had two owners.
TEST_F(RaftNodes, ALeaderDoesNotCountAnotherVotersOwnEntryAsAReplica) {
  elect_first_voter();
  Raft heartbeat;  // the last one that was sent before the proposal
  for (Raft next = voter(1).take_message_to(2); next.type() != 0; next = voter(1).take_message_to(2)) {
    if (next.type() == RAFT_IO_APPEND_ENTRIES) heartbeat = next;
  }
  ASSERT_EQ(heartbeat.type(), unsigned{RAFT_IO_APPEND_ENTRIES});
  ASSERT_EQ(heartbeat.entries_size(), 0);

  bool is_committed = false;
  voter(1).node.propose(now_, grant("a"),
                        [&](const absl::Status& status, const Applied&) { is_committed = status.ok(); });
  voter(2).node.receive(now_, heartbeat);
  EXPECT_TRUE(deliver_one(2, 1));

  EXPECT_FALSE(is_committed);
  EXPECT_EQ(voter(1).node.lease_state_machine().find("job"), nullptr);

  exchange(1, 3);  // a voter that has the entry
  EXPECT_TRUE(is_committed);
  ASSERT_NE(voter(1).node.lease_state_machine().find("job"), nullptr);
  EXPECT_EQ(voter(1).node.lease_state_machine().find("job")->owner(), "a");
}

}  // namespace
}  // namespace flintglade::coordination
