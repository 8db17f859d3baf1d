// The file in the scratch folder through which a process passes its snapshot to its successor.
//
// A separate thread reads and writes the file, since the file system may be slow and the event loop must not
// block; completion handlers run on the event loop. The file is replaced atomically: it is written under a
// temporary name and then renamed.
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
  // slot: of this process; part of the temporary name, so that no other process uses the same one.
  SnapshotFile(boost::asio::io_context& io, std::string folder, std::size_t slot);
  ~SnapshotFile();  // waits for pending operations
  SnapshotFile(const SnapshotFile&) = delete;
  SnapshotFile& operator=(const SnapshotFile&) = delete;

  // done: called on the event loop; an error says in one line why the file was not written.
  void save(std::string bytes, std::function<void(const absl::Status&)> done);
  // done: called on the event loop with the content of the file, empty if there is none. Reading stops once
  // it exceeds max_bytes, so that decoding rejects a file that is too large.
  void load(std::size_t max_bytes, std::function<void(std::string)> done);
  void remove();

 private:
  boost::asio::io_context& io_;
  std::string path_;
  std::string temporary_path_;
  boost::asio::thread_pool thread_{1};
};

}  // namespace flintglade::hot_restart
