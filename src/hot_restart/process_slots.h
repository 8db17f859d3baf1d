// The seats of one router's processes: a small file in its scratch folder, mapped by each. A seat is held by
// a lock on its bytes, which the kernel takes back when the process ends, however it ends; nobody has to say
// good bye, and what a dead one left is not counted.
//
// The file is of this form: 16 bytes (magic, version, hash of the router's name), then kMaxProcesses seats of
// 64 bytes. A file of another form that nobody holds a seat in is made anew; one that somebody does is let
// be, and this process goes on without a seat.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "hot_restart/limit_partition.h"

namespace flintglade::hot_restart {

class ProcessSlots {
 public:
  static constexpr std::size_t kMaxProcesses = 8;
  ProcessSlots() = default;
  ~ProcessSlots();
  ProcessSlots(const ProcessSlots&) = delete;
  ProcessSlots& operator=(const ProcessSlots&) = delete;

  // Takes a free seat. Gives an empty string, or one line that says why there is none; it is then as if the
  // process were alone.
  std::string join(const std::string& folder, const std::string& router);
  bool has_slot() const { return mine_ >= 0; }
  std::size_t seat() const { return static_cast<std::size_t>(mine_); }  // ours, if we have one
  // For the others to read: no system call.
  void publish(const Use& use);
  // Those of processes that live. A seat that looks taken is asked for with a system call.
  std::vector<Use> others() const;
  // A descriptor that becomes readable when somebody joins or leaves, or a file is moved into the folder, for
  // a loop to wait on, and to read empty; owned here. -1: none.
  int changes() const { return notify_; }
  // Whether what was read from it says that a file of this name was moved into the folder.
  static bool moved(const char* events, std::size_t size, const std::string& name);

 private:
  struct ProcessSlot;
  struct Page;
  bool held(std::size_t seat) const;
  void leave();
  std::string take_seat(const std::string& folder, const std::string& path, const std::string& router);

  int file_ = -1, notify_ = -1;
  int mine_ = -1;
  Page* page_ = nullptr;
};

}  // namespace flintglade::hot_restart
