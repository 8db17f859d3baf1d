// The I/O interface of C-Raft (Debian's libraft), with disk, network, clock and random numbers injected.
//
// C-Raft calls a raft_io, a table of functions, most of which report their result by a callback. Callbacks
// must not be called from within the library, so they are queued here until run_callbacks(). Storage calls
// are synchronous. For use on one thread.
//
// C-Raft acknowledges a request with the last index that it has stored, including entries that the leader
// does not have, and a leader counts them as replicas of its own entries. Here an acknowledgement is limited
// to the entries that its request covers (Raft, figure 2: matchIndex). So is the commit index that a request
// tells (figure 2, AppendEntries, step 5), which C-Raft limits to the last stored index only.
//
// A write that fails halts the voter until its process restarts: from then on every write is refused.
#pragma once

extern "C" {
#include <raft.h>  // has no guard of its own for C++
}

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <string>

#include "absl/status/status.h"
#include "coordination/raft_log.h"
#include "coordination/raft_storage.h"
#include "core/ports.h"

namespace flintglade::coordination {

using core::Micros;

class RaftLibraryIo {
 public:
  using SendFunction = std::function<void(const std::string& address, const Raft& message)>;

  // `storage` outlives this object. `on_halted` is called on each write that fails or is refused.
  RaftLibraryIo(std::string address, PersistentState state, RaftStorage& storage, std::uint64_t seed,
                SendFunction send_message, std::function<void()> on_halted);
  RaftLibraryIo(const RaftLibraryIo&) = delete;
  RaftLibraryIo& operator=(const RaftLibraryIo&) = delete;

  // For raft_init().
  raft_io* library_handle() { return &io_; }
  // Sets the time that the library gets until the next call.
  void set_time(Micros now) { now_ = now; }
  // Passes a clock tick to the library.
  void tick() { on_tick_(&io_); }
  // Passes a message to the library, which takes ownership of its allocations, and runs the queued callbacks.
  void receive(raft_message& message);
  // Runs the queued callbacks, including those that they add, until the queue is empty.
  void run_callbacks();
  bool has_callbacks() const { return !callbacks_.empty(); }

  const PersistentState& state() const { return state_; }
  // The reason for which the voter halted; OK while it has not.
  const absl::Status& halt_status() const { return halt_status_; }

 private:
  static RaftLibraryIo& self(raft_io* io) { return *static_cast<RaftLibraryIo*>(io->impl); }

  // The functions of raft_io.
  static void close(raft_io* io, raft_io_close_cb callback);
  static int load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* entry_count);
  static int start(raft_io* io, unsigned tick_ms, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive);
  static int set_term(raft_io* io, raft_term term);
  static int set_vote(raft_io* io, raft_id candidate);
  static int send(raft_io* io, raft_io_send* request, const raft_message* message, raft_io_send_cb callback);
  static int append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                    raft_io_append_cb callback);
  static int truncate(raft_io* io, raft_index from);
  static int put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb callback);
  static int get_snapshot(raft_io* io, raft_io_snapshot_get* request, raft_io_snapshot_get_cb callback);
  static raft_time time(raft_io* io);
  static int random(raft_io* io, int min, int max);

  // Applies a frame to the state and writes it. Returns an error code of the library, or 0.
  int write_frame(const Frame& frame);
  // Limits what an acknowledgement claims to the entries that its request covers.
  void limit_acknowledgement(raft_append_entries_result& result) const;
  // The same for the leader's commit index in a request.
  void limit_commit_index(raft_append_entries& request) const;
  // Stores the first error of a write. Returns an error code of the library, or 0.
  int finish_write(const absl::Status& status);

  std::string address_;
  PersistentState state_;
  RaftStorage& storage_;
  std::mt19937_64 random_;
  SendFunction send_;
  std::function<void()> on_halted_;
  raft_io io_{};
  raft_io_tick_cb on_tick_ = nullptr;
  raft_io_recv_cb on_receive_ = nullptr;
  std::deque<std::function<void()>> callbacks_;
  Micros now_ = 0;
  raft_index covered_index_ = 0;  // of the request that is being handled
  absl::Status halt_status_;
};

}  // namespace flintglade::coordination
