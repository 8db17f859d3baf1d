#include "coordination/raft_storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace flintglade::coordination {
namespace {

constexpr const char* kLogFile = "/record.log";
constexpr const char* kLockFile = "/lock";
constexpr const char* kTemporarySuffix = ".new";  // of a file that replaces the log once it is on disk

// The error of the last system call. A write of zero bytes is also an error, although it sets no errno.
absl::Status system_error(const std::string& path) {
  const int error = errno;
  const absl::StatusCode code = error == 0 ? absl::StatusCode::kUnknown : absl::ErrnoToStatusCode(error);
  return {code, path + ": " + std::strerror(error)};
}

bool write_and_sync(int descriptor, const std::string& bytes) {
  for (std::size_t written = 0; written < bytes.size();) {
    const ssize_t n = ::write(descriptor, bytes.data() + written, bytes.size() - written);
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    written += static_cast<std::size_t>(n);
  }
  return ::fdatasync(descriptor) == 0;
}

bool read_fully(int descriptor, std::string& bytes) {
  for (std::size_t bytes_read = 0; bytes_read < bytes.size();) {
    const ssize_t n = ::pread(descriptor, bytes.data() + bytes_read, bytes.size() - bytes_read,
                              static_cast<off_t>(bytes_read));
    if (n < 0 && errno == EINTR) continue;
    if (n <= 0) return false;
    bytes_read += static_cast<std::size_t>(n);
  }
  return true;
}

// A new name in a directory survives a crash only after the directory itself was synchronized.
bool sync_directory(const std::string& path) {
  const FileDescriptor directory(::open(path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC));
  return directory.is_open() && ::fsync(directory.get()) == 0;
}

absl::Status write_new_file(const std::string& path, const std::string& bytes) {
  const FileDescriptor file(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600));
  if (!file.is_open()) return system_error(path);
  return write_and_sync(file.get(), bytes) ? absl::OkStatus() : system_error(path);
}

absl::Status replace_log(const std::string& directory, const std::string& bytes) {
  const std::string path = directory + kLogFile, temporary_path = path + kTemporarySuffix;
  if (absl::Status status = write_new_file(temporary_path, bytes); !status.ok()) return status;
  if (::rename(temporary_path.c_str(), path.c_str()) != 0) return system_error(path);
  return sync_directory(directory) ? absl::OkStatus() : system_error(directory);
}

}  // namespace

void FileDescriptor::reset(int descriptor) {
  const int old = std::exchange(descriptor_, descriptor);
  if (old >= 0) ::close(old);
}

absl::StatusOr<PersistentState> FileRaftStorage::open(const std::string& directory) {
  directory_ = directory;
  const std::string path = directory + kLogFile, lock = directory + kLockFile;
  struct stat existing {};
  if (::stat(path.c_str(), &existing) != 0) {
    if (errno == ENOENT) return PersistentState{};
    return system_error(path);
  }
  lock_.reset(::open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!lock_.is_open()) return system_error(lock);
  if (::flock(lock_.get(), LOCK_EX | LOCK_NB) != 0)
    return absl::UnavailableError(lock + ": locked by another process");
  const auto file_bytes = static_cast<std::size_t>(existing.st_size);
  if (file_bytes > kMaxRaftLogBytes)
    return absl::ResourceExhaustedError(path + ": " + std::to_string(file_bytes) +
                                        " bytes, more than the limit of " + std::to_string(kMaxRaftLogBytes));
  file_.reset(::open(path.c_str(), O_RDWR | O_APPEND | O_CLOEXEC));
  if (!file_.is_open()) return system_error(path);
  std::string bytes(file_bytes, '\0');
  if (!read_fully(file_.get(), bytes)) return system_error(path);
  absl::StatusOr<DecodedRaftLog> log = decode_raft_log(bytes);
  if (!log.ok()) return absl::Status(log.status().code(), path + ": " + std::string(log.status().message()));
  const auto kept_bytes = static_cast<off_t>(bytes.size() - log->torn_bytes);
  if (log->torn_bytes > 0 && (::ftruncate(file_.get(), kept_bytes) != 0 || ::fsync(file_.get()) != 0))
    return system_error(path);
  return std::move(log->state);
}

absl::Status FileRaftStorage::create(const std::string& directory, const PersistentState& initial) {
  if (::mkdir(directory.c_str(), 0700) != 0 && errno != EEXIST) return system_error(directory);
  const std::string path = directory + kLogFile;
  if (::access(path.c_str(), F_OK) == 0)
    return absl::AlreadyExistsError(path +
                                    ": already exists; the files of a voter's id are created only once");
  return replace_log(directory, encode_raft_log(initial));
}

absl::Status FileRaftStorage::append(const std::string& bytes) {
  if (file_.is_open() && write_and_sync(file_.get(), bytes)) return absl::OkStatus();
  return system_error(directory_ + kLogFile);
}

absl::Status FileRaftStorage::rewrite(const std::string& bytes) {
  if (absl::Status status = replace_log(directory_, bytes); !status.ok()) return status;
  const std::string path = directory_ + kLogFile;
  const int reopened = ::open(path.c_str(), O_RDWR | O_APPEND | O_CLOEXEC);
  if (reopened < 0) return system_error(path);
  file_.reset(reopened);
  return absl::OkStatus();
}

}  // namespace flintglade::coordination
