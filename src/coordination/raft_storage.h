// A voter's files on disk, in a directory of their own: record.log, and a lock file against use by a second
// process.
//
// Every call blocks on the disk, so use it on a thread that may block. Errors are statuses whose one-line
// message contains the file's name. After a failed write the file must not be written again.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "coordination/raft_log.h"

namespace flintglade::coordination {

// Storage for a voter's log. Each call returns once the bytes are on stable storage, or with an error.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  // Appends bytes.
  virtual absl::Status append(const std::string& bytes) = 0;
  // Replaces the whole content atomically: after a crash it is either the old or the new one.
  virtual absl::Status rewrite(const std::string& bytes) = 0;
};

// Owns a file descriptor and closes it.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { reset(-1); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return descriptor_; }
  bool is_open() const { return descriptor_ >= 0; }
  // Closes the current descriptor, if any, and takes ownership of this one; -1: none.
  void reset(int descriptor);

 private:
  int descriptor_ = -1;
};

// The storage of a running voter.
class FileRaftStorage final : public RaftStorage {
 public:
  FileRaftStorage() = default;

  // Takes the lock and reads the log; a torn write at its end is cut off. A missing or empty directory is not
  // an error and gives a state without a head.
  absl::StatusOr<PersistentState> open(const std::string& directory);
  // Creates the directory, if necessary, and its file. An existing file is never overwritten: kAlreadyExists.
  static absl::Status create(const std::string& directory, const PersistentState& initial);

  absl::Status append(const std::string& bytes) override;
  absl::Status rewrite(const std::string& bytes) override;

 private:
  std::string directory_;
  FileDescriptor lock_, file_;
};

}  // namespace flintglade::coordination
