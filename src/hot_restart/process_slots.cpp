#include "hot_restart/process_slots.h"

#include <fcntl.h>
#include <sys/inotify.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <cstring>
#include <utility>

#include "config/labels.h"

namespace flintglade::hot_restart {
namespace {

constexpr std::uint32_t kMagic = 0x73746673, kVersion = 1;
constexpr off_t kSeatLocks = 1 << 20;  // beyond any page, whatever its version: just names
constexpr off_t kDoor = kSeatLocks + ProcessSlots::kMaxProcesses;

struct flock lock_of(off_t at, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = at;
  lock.l_len = 1;
  return lock;
}

std::string failed(const std::string& what) { return what + ": " + std::strerror(errno); }

}  // namespace

struct alignas(64) ProcessSlots::ProcessSlot {
  std::atomic<std::uint32_t> taken, stage;
  std::atomic<std::uint64_t> sockets, bodies, joined;
};

struct ProcessSlots::Page {
  std::uint32_t magic, version;
  std::uint64_t router;
  ProcessSlot seats[kMaxProcesses];
};

ProcessSlots::~ProcessSlots() {
  if (has_slot()) page_->seats[mine_].taken = 0;
  if (notify_ >= 0) ::close(notify_);
  leave();
}

// Locks belong to the open file, not to the process: one that closes another descriptor of it keeps them.
bool ProcessSlots::held(std::size_t seat) const {
  struct flock lock = lock_of(kSeatLocks + static_cast<off_t>(seat), F_WRLCK);
  return ::fcntl(file_, F_OFD_GETLK, &lock) != 0 || lock.l_type != F_UNLCK;
}

std::string ProcessSlots::join(const std::string& folder, const std::string& router) {
  if (folder.empty()) return "TMPDIR names no folder";
  const std::string path = folder + "/flintglade.seats";
  file_ = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (file_ < 0) return failed(path);
  const std::string why = take_seat(folder, path, router);
  if (!why.empty()) leave();
  return why;
}

// Locks go with the open file, which a mapping holds open too: who found no seat keeps nobody from theirs.
void ProcessSlots::leave() {
  if (page_ != nullptr) ::munmap(std::exchange(page_, nullptr), sizeof(Page));
  if (file_ >= 0) ::close(std::exchange(file_, -1));
}

std::string ProcessSlots::take_seat(const std::string& folder, const std::string& path,
                                    const std::string& router) {
  // One at a time looks at the form and takes a seat; nobody holds this lock for longer than that.
  struct flock door = lock_of(kDoor, F_WRLCK);
  for (int i = 0; ::fcntl(file_, F_OFD_SETLK, &door) != 0; ++i) {
    if (i == 50) return path + " is locked";
    ::usleep(2000);
  }
  bool anybody = false;
  for (std::size_t i = 0; i < kMaxProcesses; ++i) anybody = anybody || held(i);
  struct stat info {};
  const bool sized = ::fstat(file_, &info) == 0 && info.st_size == static_cast<off_t>(sizeof(Page));
  if (!sized && anybody) return path + " is in use in another form";
  if (!sized && (::ftruncate(file_, 0) != 0 || ::ftruncate(file_, sizeof(Page)) != 0)) return failed(path);
  void* at = ::mmap(nullptr, sizeof(Page), PROT_READ | PROT_WRITE, MAP_SHARED, file_, 0);
  if (at == MAP_FAILED) return failed(path);
  page_ = static_cast<Page*>(at);
  const std::uint64_t name = config::hash_name(router);
  if (page_->magic != kMagic || page_->version != kVersion || page_->router != name) {
    if (anybody) return path + " is in use in another form, or for another router";
    std::memset(at, 0, sizeof(Page));
    page_->magic = kMagic;
    page_->version = kVersion;
    page_->router = name;
  }
  for (std::size_t i = 0; i < kMaxProcesses && !has_slot(); ++i) {
    struct flock lock = lock_of(kSeatLocks + static_cast<off_t>(i), F_WRLCK);
    if (::fcntl(file_, F_OFD_SETLK, &lock) != 0) continue;
    mine_ = static_cast<int>(i);
  }
  if (!has_slot()) return path + ": every seat is taken";
  for (std::size_t i = 0; i < kMaxProcesses; ++i) {
    if (!held(i)) page_->seats[i].taken = 0;  // of the dead; while they are, each look asks the kernel
  }
  publish({});
  std::uint64_t last = 0;
  for (const ProcessSlot& seat : page_->seats) last = std::max(last, seat.joined.load());
  page_->seats[mine_].joined = last + 1;
  page_->seats[mine_].taken = 1;
  notify_ = ::inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  if (notify_ >= 0) {
    ::inotify_add_watch(notify_, path.c_str(), IN_OPEN | IN_CLOSE_WRITE);
    ::inotify_add_watch(notify_, folder.c_str(), IN_MOVED_TO);
  }
  door.l_type = F_UNLCK;
  ::fcntl(file_, F_OFD_SETLK, &door);
  // The others saw the file being opened when the seat was not taken yet.
  if (const int again = ::open(path.c_str(), O_RDWR | O_CLOEXEC); again >= 0) ::close(again);
  return "";
}

bool ProcessSlots::moved(const char* events, std::size_t size, const std::string& name) {
  for (std::size_t at = 0; at + sizeof(inotify_event) <= size;) {
    inotify_event event;
    std::memcpy(&event, events + at, sizeof event);
    at += sizeof event + event.len;
    if (at <= size && (event.mask & IN_MOVED_TO) != 0 && name == events + at - event.len) return true;
  }
  return false;
}

void ProcessSlots::publish(const Use& use) {
  if (!has_slot()) return;
  ProcessSlot& seat = page_->seats[mine_];
  seat.sockets.store(use.sockets, std::memory_order_relaxed);
  seat.bodies.store(use.bodies, std::memory_order_relaxed);
  seat.stage.store(static_cast<std::uint32_t>(use.stage), std::memory_order_release);
}

std::vector<Use> ProcessSlots::others() const {
  std::vector<Use> out;
  for (std::size_t i = 0; has_slot() && i < kMaxProcesses; ++i) {
    ProcessSlot& seat = page_->seats[i];
    if (static_cast<int>(i) == mine_ || seat.taken.load(std::memory_order_acquire) == 0) continue;
    if (!held(i)) continue;
    const std::uint32_t stage = seat.stage.load(std::memory_order_acquire);
    out.push_back({stage == 1   ? Stage::serving
                   : stage == 2 ? Stage::draining
                                : Stage::starting,
                   seat.sockets.load(std::memory_order_relaxed), seat.bodies.load(std::memory_order_relaxed),
                   i, seat.joined.load(std::memory_order_relaxed)});
  }
  return out;
}

}  // namespace flintglade::hot_restart
