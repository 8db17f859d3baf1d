// A voter's files: locking, creation without overwriting, and error messages.
#include "coordination/raft_storage.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <filesystem>
#include <fstream>
#include <string>

#include "coordination/raft_node.h"

namespace flintglade::coordination {
namespace {

class FileRaftStorageTest : public ::testing::Test {
 protected:
  void SetUp() override {
    std::string pattern = (std::filesystem::temp_directory_path() / "raft_storage_XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    directory_ = pattern;
  }
  void TearDown() override { std::filesystem::remove_all(directory_); }

  std::string directory_;
  const PersistentState initial_ = RaftNode::initial_state("f", 2, {});
};

TEST_F(FileRaftStorageTest, OpensAnEmptyDirectoryAsAStateWithoutAHead) {
  FileRaftStorage storage;
  const absl::StatusOr<PersistentState> state = storage.open(directory_);
  ASSERT_TRUE(state.ok()) << state.status();
  EXPECT_TRUE(state->head.fleet().empty());
}

TEST_F(FileRaftStorageTest, NeverOverwritesAVotersFile) {
  ASSERT_TRUE(FileRaftStorage::create(directory_, initial_).ok());
  const absl::Status again = FileRaftStorage::create(directory_, initial_);
  EXPECT_EQ(again.code(), absl::StatusCode::kAlreadyExists);
  EXPECT_EQ(again.message(),
            directory_ + "/record.log: already exists; the files of a voter's id are created only once");
}

TEST_F(FileRaftStorageTest, RefusesASecondProcess) {
  ASSERT_TRUE(FileRaftStorage::create(directory_, initial_).ok());
  FileRaftStorage first, second;
  ASSERT_TRUE(first.open(directory_).ok());
  const absl::Status status = second.open(directory_).status();
  EXPECT_EQ(status.code(), absl::StatusCode::kUnavailable);
  EXPECT_EQ(status.message(), directory_ + "/lock: locked by another process");
}

TEST_F(FileRaftStorageTest, ReadsBackWhatWasAppendedAndRewritten) {
  ASSERT_TRUE(FileRaftStorage::create(directory_, initial_).ok());
  Frame frame;
  frame.mutable_vote()->set_term(7);
  {
    FileRaftStorage storage;
    absl::StatusOr<PersistentState> state = storage.open(directory_);
    ASSERT_TRUE(state.ok()) << state.status();
    ASSERT_TRUE(storage.rewrite(encode_raft_log(*state)).ok());
    ASSERT_TRUE(storage.append(encode_log_frame(frame)).ok());
  }
  FileRaftStorage storage;
  const absl::StatusOr<PersistentState> state = storage.open(directory_);
  ASSERT_TRUE(state.ok()) << state.status();
  EXPECT_EQ(state->vote.term(), 7u);
  EXPECT_EQ(state->head.id(), 2u);
}

TEST_F(FileRaftStorageTest, NamesTheDamagedFile) {
  std::ofstream(directory_ + "/record.log") << "no voter's file";
  FileRaftStorage storage;
  EXPECT_EQ(storage.open(directory_).status().message(),
            directory_ + "/record.log: not a voter's log file, or damaged at its beginning");
}

}  // namespace
}  // namespace flintglade::coordination
