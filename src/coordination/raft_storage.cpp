#include "coordination/raft_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace flintglade::coordination {
namespace {

constexpr const char* kFile = "/record.log";

std::string failed(const std::string& path) { return path + ": " + std::strerror(errno); }

bool write_all(int fd, const std::string& bytes) {
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = ::write(fd, bytes.data() + at, bytes.size() - at);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    at += static_cast<std::size_t>(n);
  }
  return ::fdatasync(fd) == 0;
}

// A name in a directory lasts only once the directory is written too.
bool sync_directory(const std::string& path) {
  const int fd = ::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool good = fd >= 0 && ::fsync(fd) == 0;
  if (fd >= 0) ::close(fd);
  return good;
}

std::string write_new(const std::string& directory, const std::string& draft, const std::string& bytes) {
  const int fd = ::open(draft.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return failed(draft);
  const bool good = write_all(fd, bytes);
  const std::string why = good ? "" : failed(draft);
  ::close(fd);
  if (!good) return why;
  if (::rename(draft.c_str(), (directory + kFile).c_str()) != 0) return failed(directory + kFile);
  return sync_directory(directory) ? "" : failed(directory);
}

}  // namespace

FileRaftStorage::~FileRaftStorage() {
  if (file_ >= 0) ::close(file_);
  if (lock_ >= 0) ::close(lock_);
}

std::string FileRaftStorage::open(const std::string& directory, PersistentState& out) {
  directory_ = directory;
  out = {};
  const std::string path = directory + kFile, lock = directory + "/lock";
  struct stat there {};
  if (::stat(path.c_str(), &there) != 0) return errno == ENOENT ? "" : failed(path);
  lock_ = ::open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) return failed(lock);
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) return lock + ": another process has it";
  if (static_cast<std::size_t>(there.st_size) > kMostJournal) return path + ": larger than any record's file";
  file_ = ::open(path.c_str(), O_RDWR | O_APPEND | O_CLOEXEC);
  if (file_ < 0) return failed(path);
  std::string bytes(static_cast<std::size_t>(there.st_size), '\0');
  for (std::size_t at = 0; at < bytes.size();) {
    const ssize_t n = ::pread(file_, bytes.data() + at, bytes.size() - at, static_cast<off_t>(at));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return failed(path);
    at += static_cast<std::size_t>(n);
  }
  std::size_t torn = 0;
  const std::string why = read_journal(bytes, out, torn);
  if (!why.empty()) return path + ": " + why;
  if (torn > 0 && (::ftruncate(file_, static_cast<off_t>(bytes.size() - torn)) != 0 || ::fsync(file_) != 0))
    return failed(path);
  return "";
}

std::string FileRaftStorage::create(const std::string& directory, const PersistentState& first) {
  if (::mkdir(directory.c_str(), 0700) != 0 && errno != EEXIST) return failed(directory);
  const std::string path = directory + kFile;
  if (::access(path.c_str(), F_OK) == 0)
    return path + ": is there already; a voter's id is used up with its file";
  return write_new(directory, path + ".new", all_bytes(first));
}

std::string FileRaftStorage::append(const std::string& bytes) {
  return file_ >= 0 && write_all(file_, bytes) ? "" : failed(directory_ + kFile);
}

std::string FileRaftStorage::rewrite(const std::string& bytes) {
  const std::string path = directory_ + kFile;
  const std::string why = write_new(directory_, path + ".new", bytes);
  if (!why.empty()) return why;
  const int fd = ::open(path.c_str(), O_RDWR | O_APPEND | O_CLOEXEC);
  if (fd < 0) return failed(path);
  ::close(file_);
  file_ = fd;
  return "";
}

}  // namespace flintglade::coordination
