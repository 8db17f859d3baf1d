// A voter's files on disk, in a directory of their own: record.log, and a lock that keeps a second process
// away.
//
// Every call waits for the disk: use it on a thread that may block. Errors are statuses whose one-line
// message names the file; after a failed write the file must not be written again.
#pragma once

#include <string>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "coordination/raft_log.h"

namespace flintglade::coordination {

// What a voter's log is written to. Each call returns once the bytes are on stable storage, or with the
// error.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  // Adds bytes at the end.
  virtual absl::Status append(const std::string& bytes) = 0;
  // Replaces everything. A crash leaves either the old bytes or the new ones.
  virtual absl::Status rewrite(const std::string& bytes) = 0;
};

// Owns a file descriptor, and closes it.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  explicit FileDescriptor(int descriptor) : descriptor_(descriptor) {}
  ~FileDescriptor() { reset(-1); }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;

  int get() const { return descriptor_; }
  bool is_open() const { return descriptor_ >= 0; }
  // Closes the one that is open and takes this one; -1: none.
  void reset(int descriptor);

 private:
  int descriptor_ = -1;
};

// The storage of a voter that runs.
class FileRaftStorage final : public RaftStorage {
 public:
  FileRaftStorage() = default;

  // Takes the lock and reads what is there; a torn write at the end is cut off. A missing directory, or an
  // empty one, gives a state without a head, and that is no error.
  absl::StatusOr<PersistentState> open(const std::string& directory);
  // Makes the directory, if need be, and its file. kAlreadyExists: a file that is there is never written
  // over.
  static absl::Status create(const std::string& directory, const PersistentState& initial);

  absl::Status append(const std::string& bytes) override;
  absl::Status rewrite(const std::string& bytes) override;

 private:
  std::string directory_;
  FileDescriptor lock_, file_;
};

}  // namespace flintglade::coordination
