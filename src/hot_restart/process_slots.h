// The slots of one router's processes: a small file in its scratch folder, mapped by each process, through
// which each one publishes what it uses.
//
// A slot is held by a lock on its bytes, which the kernel releases when the process ends, however it ends; so
// nothing has to be cleaned up, and what a dead process left is not counted.
//
// The file: 16 bytes (magic, version, hash of the router's name), then kMaxProcesses slots of 64 bytes. A
// file of another form in which nobody holds a slot is made anew; one in which somebody does is left as it
// is, and this process goes on without a slot. One thread.
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

  // Takes a free slot. Not OK: one line that says why there is none; the process then goes on as if it were
  // alone.
  absl::Status join(const std::string& folder, const std::string& router);
  bool has_slot() const { return own_slot_ >= 0; }
  std::size_t slot() const { return static_cast<std::size_t>(own_slot_); }  // only with has_slot()
  // For the other processes to read. No system call.
  void publish(const ProcessUsage& usage);
  // The usage of the other living processes. Makes a system call for each slot that looks taken.
  std::vector<ProcessUsage> others() const;
  // A descriptor that becomes readable when a process joins or leaves, or a file is moved into the folder. It
  // is to be read empty; owned here. -1: none.
  int change_descriptor() const { return change_descriptor_.get(); }
  // Whether the bytes read from it say that a file of this name was moved into the folder.
  static bool file_moved_in(std::string_view events, std::string_view name);

 private:
  struct Slot;
  struct Page;
  bool is_held(std::size_t slot) const;
  bool any_held() const;
  absl::Status lock_door(const std::string& path) const;
  void unlock_door() const;
  absl::Status take_slot(const std::string& folder, const std::string& path, const std::string& router);
  // Maps the file, which gets our form where nobody uses it.
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
