// The file in the scratch folder in which a process leaves its snapshot for the next one.
//
// Reading and writing are done by a thread of its own, since a folder may be slow and the loop may not wait;
// results come on the loop. The file appears complete, by one rename.
#pragma once

#include <boost/asio.hpp>
#include <cstddef>
#include <functional>
#include <string>

#include "absl/status/status.h"

namespace flintglade::hot_restart {

class SnapshotFile {
 public:
  static constexpr const char* kName = "flintglade.state";
  // slot: of this process; its draft has a name that no other process uses.
  SnapshotFile(boost::asio::io_context& io, std::string folder, std::size_t slot);
  ~SnapshotFile();  // waits for what is under way
  SnapshotFile(const SnapshotFile&) = delete;
  SnapshotFile& operator=(const SnapshotFile&) = delete;

  // done, on the loop. Not OK: one line that says why the file is not there.
  void save(std::string bytes, std::function<void(const absl::Status&)> done);
  // done, on the loop: the file's bytes, as far as max_bytes and one; empty: there is none.
  void load(std::size_t max_bytes, std::function<void(std::string)> done);
  void remove();

 private:
  boost::asio::io_context& io_;
  std::string path_;
  std::string draft_path_;
  boost::asio::thread_pool thread_{1};
};

}  // namespace flintglade::hot_restart
