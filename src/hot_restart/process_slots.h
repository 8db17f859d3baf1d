// The process slots of one router: a small file in its scratch folder, mapped by each of its processes, in
// which each process publishes its usage.
//
// A process holds its slot by a file lock, which the kernel releases when the process ends for any reason. So
// nothing has to be cleaned up, and the usage of a dead process is not counted.
//
// The file: a header of 16 bytes (magic, version, hash of the router's name), padded to 64, then
// kMaxProcesses slots of 64 bytes. A file of another format is initialized again if no process holds a slot
// in it; otherwise it is left unchanged, and this process runs without a slot. Single-threaded.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "hot_restart/limit_partition.h"
#include "net/unique_fd.h"

namespace flintglade::hot_restart {

class ProcessSlots {
 public:
  static constexpr std::size_t kMaxProcesses = 8;
  ProcessSlots() = default;
  ~ProcessSlots();
  ProcessSlots(const ProcessSlots&) = delete;
  ProcessSlots& operator=(const ProcessSlots&) = delete;

  // Takes a free slot. On an error, the process runs as if it were the only one, and the message (one line)
  // gives the reason.
  absl::Status join(const std::string& folder, const std::string& router);
  bool has_slot() const { return own_slot_ >= 0; }
  std::size_t slot() const { return static_cast<std::size_t>(own_slot_); }  // only with has_slot()
  // Publishes the usage of this process to the others. Makes no system call.
  void publish(const ProcessUsage& usage);
  // The usage of the other live processes. Makes a system call for each slot marked as taken.
  std::vector<ProcessUsage> others() const;
  // An inotify descriptor that becomes readable when a process joins or leaves, or a file is moved into the
  // folder. The caller must read all pending events. Owned by this object; -1: not available.
  int change_descriptor() const { return change_descriptor_.get(); }
  // Whether the events (bytes read from change_descriptor()) show that a file of this name was moved into the
  // folder.
  static bool file_moved_in(std::string_view events, std::string_view name);

 private:
  struct Slot;
  struct Page;
  bool is_held(std::size_t slot) const;
  bool any_held() const;
  absl::Status acquire_join_lock(const std::string& path) const;
  void release_join_lock() const;
  absl::Status take_slot(const std::string& folder, const std::string& path, const std::string& router);
  // Maps the file; initializes it first if it has another format and no process uses it.
  absl::Status map_page(const std::string& path, const std::string& router);
  bool lock_free_slot();
  void initialize_slot();
  void watch_changes(const std::string& folder, const std::string& path);
  void release();

  net::UniqueFd file_;
  net::UniqueFd change_descriptor_;
  int own_slot_ = -1;
  Page* page_ = nullptr;  // mapped
};

}  // namespace flintglade::hot_restart
