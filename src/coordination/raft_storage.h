// A voter's file on disk, in a directory of its own: record.log, and a lock that keeps a second process away.
// Every call waits for the disk: it belongs on a thread that may. Errors are one line; after one the file is
// not to be written again.
#pragma once

#include <string>

#include "coordination/raft_log.h"

namespace flintglade::coordination {

// What a voter's log is written to. Empty: it is on stable storage.
class RaftStorage {
 public:
  virtual ~RaftStorage() = default;
  virtual std::string append(const std::string& bytes) = 0;
  virtual std::string rewrite(const std::string& bytes) = 0;  // all or nothing
};

class FileRaftStorage final : public RaftStorage {
 public:
  FileRaftStorage() = default;
  ~FileRaftStorage() override;
  FileRaftStorage(const FileRaftStorage&) = delete;
  FileRaftStorage& operator=(const FileRaftStorage&) = delete;

  // Takes the lock and reads what is there; what is torn at the end is cut off. A missing directory or an
  // empty one gives a memory without a head, and that is no error.
  std::string open(const std::string& directory, PersistentState& out);
  // Makes the directory, if need be, and its file. A file that is there is never written over.
  static std::string create(const std::string& directory, const PersistentState& first);
  std::string append(const std::string& bytes) override;
  std::string rewrite(const std::string& bytes) override;

 private:
  std::string directory_;
  int lock_ = -1, file_ = -1;
};

}  // namespace flintglade::coordination
