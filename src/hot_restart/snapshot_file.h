// One small file in the scratch folder that a process leaves for the next one. Reading and writing are done
// by a thread of its own: a folder may be slow, and the loop may not wait. The file appears whole, by one
// rename.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <string>

namespace flintglade::hot_restart {

class SnapshotFile {
 public:
  static constexpr const char* kName = "flintglade.state";
  // seat: of this process; what it is still writing has a name that no other process uses.
  SnapshotFile(boost::asio::io_context& io, std::string folder, std::size_t seat);
  ~SnapshotFile();  // waits for what is under way
  SnapshotFile(const SnapshotFile&) = delete;
  SnapshotFile& operator=(const SnapshotFile&) = delete;

  // done, on the loop: empty, or one line that says why it is not there.
  void save(std::string bytes, std::function<void(std::string)> done);
  // done, on the loop: what it holds, as far as most bytes and one; empty: there is none.
  void load(std::size_t most, std::function<void(std::string)> done);
  void clear();

 private:
  boost::asio::io_context& io_;
  std::string path_, draft_;
  boost::asio::thread_pool thread_{1};
};

}  // namespace flintglade::hot_restart
