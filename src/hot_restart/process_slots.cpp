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

constexpr char kFileName[] = "/flintglade.seats";
constexpr std::uint32_t kMagic = 0x73746673, kVersion = 1;
// Offsets of the locked bytes. They lie beyond the data of every version of the file and hold no data
// themselves: one for each slot, and the join lock, which a process holds while it checks the file's format
// and takes a slot.
constexpr off_t kFirstSlotLock = 1 << 20;
constexpr off_t kJoinLock = kFirstSlotLock + ProcessSlots::kMaxProcesses;
constexpr int kJoinLockAttempts = 50;
constexpr useconds_t kJoinLockRetryMicros = 2000;

struct flock lock_at(off_t offset, short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  lock.l_start = offset;
  lock.l_len = 1;
  return lock;
}

absl::Status system_error(const std::string& path) {
  return absl::UnavailableError(path + ": " + std::strerror(errno));
}

ProcessStage stage_of(std::uint32_t stored) {
  switch (stored) {
    case static_cast<std::uint32_t>(ProcessStage::serving):
      return ProcessStage::serving;
    case static_cast<std::uint32_t>(ProcessStage::draining):
      return ProcessStage::draining;
    default:
      return ProcessStage::starting;
  }
}

}  // namespace

// The layouts of Slot and Page are the file format, which other processes read.
struct alignas(64) ProcessSlots::Slot {
  std::atomic<std::uint32_t> taken, stage;
  std::atomic<std::uint64_t> descriptors, body_bytes, join_order;
};

struct ProcessSlots::Page {
  std::uint32_t magic, version;
  std::uint64_t router;
  Slot slots[kMaxProcesses];
};

ProcessSlots::~ProcessSlots() {
  if (has_slot()) page_->slots[own_slot_].taken = 0;
  release();
}

// Unmaps the file too, because a mapping keeps the open file and thereby its locks: a process that failed to
// join must not block the others with the join lock.
void ProcessSlots::release() {
  if (page_ != nullptr) ::munmap(std::exchange(page_, nullptr), sizeof(Page));
  file_.reset();
}

// Uses open file description locks (F_OFD_*), which belong to the open file and not to the process: closing
// another descriptor of the same file does not release them.
bool ProcessSlots::is_held(std::size_t slot) const {
  struct flock lock = lock_at(kFirstSlotLock + static_cast<off_t>(slot), F_WRLCK);
  return ::fcntl(file_.get(), F_OFD_GETLK, &lock) != 0 || lock.l_type != F_UNLCK;
}

bool ProcessSlots::any_held() const {
  bool any = false;
  for (std::size_t slot = 0; slot < kMaxProcesses; ++slot) any = any || is_held(slot);
  return any;
}

absl::Status ProcessSlots::join(const std::string& folder, const std::string& router) {
  if (folder.empty()) return absl::FailedPreconditionError("TMPDIR is not set");
  const std::string path = folder + kFileName;
  file_.reset(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600));
  if (!file_) return system_error(path);
  absl::Status status = take_slot(folder, path, router);
  if (!status.ok()) release();
  return status;
}

absl::Status ProcessSlots::acquire_join_lock(const std::string& path) const {
  struct flock lock = lock_at(kJoinLock, F_WRLCK);
  for (int attempt = 0; ::fcntl(file_.get(), F_OFD_SETLK, &lock) != 0; ++attempt) {
    if (attempt == kJoinLockAttempts) {
      return absl::UnavailableError(path + ": another process holds the join lock");
    }
    ::usleep(kJoinLockRetryMicros);
  }
  return absl::OkStatus();
}

void ProcessSlots::release_join_lock() const {
  struct flock lock = lock_at(kJoinLock, F_UNLCK);
  ::fcntl(file_.get(), F_OFD_SETLK, &lock);
}

// On an error, the caller closes the file, which releases the join lock.
absl::Status ProcessSlots::take_slot(const std::string& folder, const std::string& path,
                                     const std::string& router) {
  if (absl::Status locked = acquire_join_lock(path); !locked.ok()) return locked;
  if (absl::Status mapped = map_page(path, router); !mapped.ok()) return mapped;
  if (!lock_free_slot()) {
    return absl::ResourceExhaustedError(path + ": all " + std::to_string(kMaxProcesses) +
                                        " process slots are taken");
  }
  initialize_slot();
  watch_changes(folder, path);
  release_join_lock();
  // Opening the file wakes the other processes (inotify). When join() opened it, the slot was not taken yet,
  // so it is opened once more.
  net::UniqueFd(::open(path.c_str(), O_RDWR | O_CLOEXEC)).reset();
  return absl::OkStatus();
}

absl::Status ProcessSlots::map_page(const std::string& path, const std::string& router) {
  const bool in_use = any_held();
  struct stat info {};
  const bool has_page_size =
      ::fstat(file_.get(), &info) == 0 && info.st_size == static_cast<off_t>(sizeof(Page));
  if (!has_page_size && in_use) return absl::FailedPreconditionError(path + " is in use in another format");
  if (!has_page_size && (::ftruncate(file_.get(), 0) != 0 || ::ftruncate(file_.get(), sizeof(Page)) != 0)) {
    return system_error(path);
  }
  void* mapped = ::mmap(nullptr, sizeof(Page), PROT_READ | PROT_WRITE, MAP_SHARED, file_.get(), 0);
  if (mapped == MAP_FAILED) return system_error(path);
  page_ = static_cast<Page*>(mapped);
  const std::uint64_t router_hash = config::hash_name(router);
  if (page_->magic == kMagic && page_->version == kVersion && page_->router == router_hash) {
    return absl::OkStatus();
  }
  if (in_use) {
    return absl::FailedPreconditionError(path + " is in use in another format, or for another router");
  }
  std::memset(mapped, 0, sizeof(Page));
  page_->magic = kMagic;
  page_->version = kVersion;
  page_->router = router_hash;
  return absl::OkStatus();
}

bool ProcessSlots::lock_free_slot() {
  for (std::size_t slot = 0; slot < kMaxProcesses; ++slot) {
    struct flock lock = lock_at(kFirstSlotLock + static_cast<off_t>(slot), F_WRLCK);
    if (::fcntl(file_.get(), F_OFD_SETLK, &lock) != 0) continue;
    own_slot_ = static_cast<int>(slot);
    return true;
  }
  return false;
}

void ProcessSlots::initialize_slot() {
  // Frees the slots of dead processes: others() makes a system call for each slot marked as taken.
  for (std::size_t slot = 0; slot < kMaxProcesses; ++slot) {
    if (!is_held(slot)) page_->slots[slot].taken = 0;
  }
  publish({});
  std::uint64_t last_join_order = 0;
  for (const Slot& slot : page_->slots) last_join_order = std::max(last_join_order, slot.join_order.load());
  page_->slots[own_slot_].join_order = last_join_order + 1;
  page_->slots[own_slot_].taken = 1;
}

void ProcessSlots::watch_changes(const std::string& folder, const std::string& path) {
  change_descriptor_.reset(::inotify_init1(IN_NONBLOCK | IN_CLOEXEC));
  if (!change_descriptor_) return;
  ::inotify_add_watch(change_descriptor_.get(), path.c_str(), IN_OPEN | IN_CLOSE_WRITE);
  ::inotify_add_watch(change_descriptor_.get(), folder.c_str(), IN_MOVED_TO);
}

bool ProcessSlots::file_moved_in(std::string_view events, std::string_view name) {
  for (std::size_t offset = 0; offset + sizeof(inotify_event) <= events.size();) {
    inotify_event event;
    std::memcpy(&event, events.data() + offset, sizeof event);
    offset += sizeof event + event.len;
    if (offset > events.size() || (event.mask & IN_MOVED_TO) == 0) continue;
    if (name == events.data() + offset - event.len) return true;  // the name is padded with zeros
  }
  return false;
}

void ProcessSlots::publish(const ProcessUsage& usage) {
  if (!has_slot()) return;
  Slot& slot = page_->slots[own_slot_];
  slot.descriptors.store(usage.descriptors, std::memory_order_relaxed);
  slot.body_bytes.store(usage.body_bytes, std::memory_order_relaxed);
  slot.stage.store(static_cast<std::uint32_t>(usage.stage), std::memory_order_release);
}

std::vector<ProcessUsage> ProcessSlots::others() const {
  std::vector<ProcessUsage> usages;
  for (std::size_t index = 0; has_slot() && index < kMaxProcesses; ++index) {
    const Slot& slot = page_->slots[index];
    if (static_cast<int>(index) == own_slot_ || slot.taken.load(std::memory_order_acquire) == 0) continue;
    if (!is_held(index)) continue;
    ProcessUsage& usage = usages.emplace_back();
    usage.stage = stage_of(slot.stage.load(std::memory_order_acquire));
    usage.descriptors = slot.descriptors.load(std::memory_order_relaxed);
    usage.body_bytes = slot.body_bytes.load(std::memory_order_relaxed);
    usage.slot = index;
    usage.join_order = slot.join_order.load(std::memory_order_relaxed);
  }
  return usages;
}

}  // namespace flintglade::hot_restart
