#include "hot_restart/snapshot_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

namespace flintglade::hot_restart {
namespace {

std::string write_file(const std::string& draft, const std::string& path, const std::string& bytes) {
  const int fd = ::open(draft.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  bool good = fd >= 0;
  for (std::size_t at = 0; good && at < bytes.size();) {
    const ssize_t n = ::write(fd, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    good = n > 0;
    at += good ? static_cast<std::size_t>(n) : 0;
  }
  std::string why = good ? "" : draft + ": " + std::strerror(errno);
  if (fd >= 0) ::close(fd);
  if (good && ::rename(draft.c_str(), path.c_str()) != 0) why = path + ": " + std::strerror(errno);
  if (!why.empty()) ::unlink(draft.c_str());
  return why;
}

std::string read_file(const std::string& path, std::size_t most) {
  std::string out;
  const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return out;
  char part[16384];
  for (ssize_t n; out.size() <= most && (n = ::read(fd, part, sizeof part)) > 0;)
    out.append(part, static_cast<std::size_t>(n));
  ::close(fd);
  return out;
}

}  // namespace

SnapshotFile::SnapshotFile(boost::asio::io_context& io, std::string folder, std::size_t seat)
    : io_(io), path_(folder + "/" + kName), draft_(path_ + "." + std::to_string(seat)) {
  boost::asio::post(thread_, [draft = draft_] { ::unlink(draft.c_str()); });  // of a dead one, half written
}

SnapshotFile::~SnapshotFile() { thread_.join(); }

void SnapshotFile::save(std::string bytes, std::function<void(std::string)> done) {
  boost::asio::post(thread_, [this, bytes = std::move(bytes), done = std::move(done)] {
    boost::asio::post(io_, [done, why = write_file(draft_, path_, bytes)] { done(why); });
  });
}

void SnapshotFile::load(std::size_t most, std::function<void(std::string)> done) {
  boost::asio::post(thread_, [this, most, done = std::move(done)] {
    boost::asio::post(io_, [done, bytes = read_file(path_, most)] { done(bytes); });
  });
}

void SnapshotFile::clear() {
  boost::asio::post(thread_, [path = path_] { ::unlink(path.c_str()); });
}

}  // namespace flintglade::hot_restart
