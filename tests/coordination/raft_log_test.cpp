// The encoding of a voter's log file: recovery after a torn write, and detection of damage.
#include "coordination/raft_log.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "coordination/raft_node.h"

namespace flintglade::coordination {
namespace {

constexpr std::uint64_t kEntriesEnd = 6;  // one past the index of the last entry

PersistentState sample_state() {
  std::vector<Voter> voters(3);
  for (std::size_t i = 0; i < voters.size(); ++i) {
    voters[i].set_id(i + 1);
    voters[i].set_at("10.0.0.1:" + std::to_string(i + 1));
  }
  PersistentState state = RaftNode::initial_state("f", 2, voters);
  for (std::uint64_t index = 2; index < kEntriesEnd; ++index) {
    Frame frame;
    frame.mutable_entry()->set_index(index);
    frame.mutable_entry()->set_term(1);
    frame.mutable_entry()->set_data("entry " + std::to_string(index));
    state.apply(frame);
  }
  return state;
}

// The offset of the last frame of the encoded sample.
std::size_t last_frame_offset(const PersistentState& state, const std::string& bytes) {
  Frame last;
  *last.mutable_entry() = state.entries.back();
  return bytes.size() - encode_log_frame(last).size();
}

TEST(RaftLog, ReadsBackWhatWasWritten) {
  const std::string bytes = encode_raft_log(sample_state());
  const absl::StatusOr<DecodedRaftLog> log = decode_raft_log(bytes);
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_EQ(log->torn_bytes, 0u);
  EXPECT_EQ(encode_raft_log(log->state), bytes);
}

TEST(RaftLog, CutsOffATornLastWrite) {
  const PersistentState state = sample_state();
  const std::string bytes = encode_raft_log(state);
  const std::size_t last_offset = last_frame_offset(state, bytes);
  for (std::size_t size = last_offset + 1; size < bytes.size(); ++size) {
    const absl::StatusOr<DecodedRaftLog> log = decode_raft_log(std::string_view(bytes).substr(0, size));
    ASSERT_TRUE(log.ok()) << log.status();
    ASSERT_EQ(log->torn_bytes, size - last_offset);
    ASSERT_EQ(log->state.last_index() + 1, state.last_index());
  }
}

TEST(RaftLog, DetectsADamagedByteBeforeTheLastFrame) {
  const PersistentState state = sample_state();
  const std::string bytes = encode_raft_log(state);
  const std::size_t last_offset = last_frame_offset(state, bytes);
  for (std::size_t offset = 0; offset < last_offset; ++offset) {
    std::string damaged = bytes;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0x10);
    const absl::StatusOr<DecodedRaftLog> log = decode_raft_log(damaged);
    // A length that now exceeds the file cannot be distinguished from a torn write; then the later frames are
    // cut off, too.
    ASSERT_TRUE(!log.ok() || log->torn_bytes > 0) << "byte " << offset;
  }
}

TEST(RaftLog, RefusesAFileOfANewerVersion) {
  PersistentState newer = sample_state();
  newer.head.set_version(kRaftLogVersion + 1);
  const absl::Status status = decode_raft_log(encode_raft_log(newer)).status();
  EXPECT_EQ(status.code(), absl::StatusCode::kUnimplemented);
  EXPECT_NE(status.message().find("version"), absl::string_view::npos);
}

TEST(RaftLog, RefusesAFileThatIsNotAVotersLog) {
  EXPECT_EQ(decode_raft_log(std::string(100, 'x')).status().code(), absl::StatusCode::kDataLoss);
}

TEST(RaftLog, DecodesEmptyInputAsAStateWithoutAHead) {
  const absl::StatusOr<DecodedRaftLog> log = decode_raft_log("");
  ASSERT_TRUE(log.ok()) << log.status();
  EXPECT_TRUE(log->state.head.fleet().empty());
}

}  // namespace
}  // namespace flintglade::coordination
