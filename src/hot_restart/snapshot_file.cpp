#include "hot_restart/snapshot_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "net/unique_fd.h"

namespace flintglade::hot_restart {
namespace {

constexpr std::size_t kReadBytes = 16384;

absl::Status system_error(const std::string& path) {
  return absl::UnavailableError(path + ": " + std::strerror(errno));
}

absl::Status write_bytes(const std::string& path, const std::string& bytes) {
  const net::UniqueFd file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file) return system_error(path);
  for (std::size_t offset = 0; offset < bytes.size();) {
    const ssize_t written = ::write(file.get(), bytes.data() + offset, bytes.size() - offset);
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) return system_error(path);
    offset += static_cast<std::size_t>(written);
  }
  return absl::OkStatus();
}

absl::Status replace_file(const std::string& temporary_path, const std::string& path,
                          const std::string& bytes) {
  absl::Status status = write_bytes(temporary_path, bytes);
  if (status.ok() && ::rename(temporary_path.c_str(), path.c_str()) != 0) status = system_error(path);
  if (!status.ok()) ::unlink(temporary_path.c_str());
  return status;
}

std::string read_file(const std::string& path, std::size_t max_bytes) {
  std::string bytes;
  const net::UniqueFd file(::open(path.c_str(), O_RDONLY | O_CLOEXEC));
  if (!file) return bytes;
  std::array<char, kReadBytes> buffer;
  while (bytes.size() <= max_bytes) {
    const ssize_t size = ::read(file.get(), buffer.data(), buffer.size());
    if (size <= 0) break;
    bytes.append(buffer.data(), static_cast<std::size_t>(size));
  }
  return bytes;
}

}  // namespace

SnapshotFile::SnapshotFile(boost::asio::io_context& io, std::string folder, std::size_t slot)
    : io_(io), path_(std::move(folder) + "/" + kName), temporary_path_(path_ + "." + std::to_string(slot)) {
  // May be left by a dead process that held this slot.
  boost::asio::post(thread_, [temporary_path = temporary_path_] { ::unlink(temporary_path.c_str()); });
}

SnapshotFile::~SnapshotFile() { thread_.join(); }

void SnapshotFile::save(std::string bytes, std::function<void(const absl::Status&)> done) {
  boost::asio::post(thread_, [this, bytes = std::move(bytes), done = std::move(done)] {
    boost::asio::post(io_, [done, status = replace_file(temporary_path_, path_, bytes)] { done(status); });
  });
}

void SnapshotFile::load(std::size_t max_bytes, std::function<void(std::string)> done) {
  boost::asio::post(thread_, [this, max_bytes, done = std::move(done)] {
    boost::asio::post(io_, [done, bytes = read_file(path_, max_bytes)] { done(bytes); });
  });
}

void SnapshotFile::remove() {
  boost::asio::post(thread_, [path = path_] { ::unlink(path.c_str()); });
}

}  // namespace flintglade::hot_restart
