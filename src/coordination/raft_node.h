// One voter: C-Raft (Debian's libraft) over the lease state machine.
//
// Does no I/O itself: persistent data goes to a RaftStorage, messages to a function, and the caller passes in
// the time, so that a test can run a whole group of voters on one clock. For use on one thread.
//
// A write that fails halts the voter until its process restarts: it neither votes nor answers any more.
#pragma once

extern "C" {
#include <raft.h>  // has no guard of its own for C++
}

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "coordination/lease_state_machine.h"
#include "coordination/raft_library_io.h"
#include "coordination/raft_storage.h"
#include "coordination/table_checksums.h"
#include "core/ports.h"

namespace flintglade::coordination {

// Raft's timeouts in ms, the library's unit.
struct RaftTimes {
  unsigned election_ms = 1000, heartbeat_ms = 100;
};

class RaftNode {
 public:
  using SendFunction = RaftLibraryIo::SendFunction;
  // Called for each command that this voter applies, with its result.
  using OnApply = std::function<void(const Command&, const Applied&)>;
  // The result of a proposal: OK once it is committed and applied. An error's message is one line for
  // operators.
  using ProposalCallback = std::function<void(const absl::Status&, const Applied&)>;

  // `state` is the content of `storage` and has a head. `storage` must outlive the node.
  RaftNode(std::string address, PersistentState state, RaftStorage& storage, RaftTimes times,
           std::uint64_t seed, SendFunction send, OnApply on_apply);
  // Ends pending proposals with an error.
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  absl::Status start(Micros now);
  void receive(Micros now, const Raft& message);
  void tick(Micros now);
  // When to call tick().
  Micros next_timer() const { return next_tick_; }

  // On the leader only. `done` is called once the command is committed and applied, or is known not to be.
  void propose(Micros now, const Command& command, ProposalCallback done);
  // Only one change at a time; a second one is refused. An added voter gets all entries before it can vote.
  void change_voters(Micros now, const VoterChange& change, ProposalCallback done);
  // Transfers the leadership to another voter as soon as one has all entries. Returns false if this voter is
  // not the leader, no other voter can lead, or a transfer is already in progress.
  bool transfer_leadership(Micros now);

  bool is_leader() const;
  bool is_halted() const { return !io_.halt_status().ok(); }
  // Empty unless the voter has halted.
  std::string halt_reason() const { return std::string(io_.halt_status().message()); }
  // "leader", "candidate", "follower" or "halted".
  std::string role() const;
  // Empty if no leader is known.
  std::string leader_address() const;
  std::uint64_t id() const { return io_.state().head.id(); }
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t applied_index() const { return raft_.last_applied; }
  std::uint64_t last_index() const { return io_.state().last_index(); }
  std::vector<Voter> voters() const;
  const LeaseStateMachine& lease_state_machine() const { return lease_state_machine_; }
  // Of this voter's lease table, and how those of other voters compare with it.
  const TableChecksums& table_checksums() const { return table_checksums_; }

  // The initial content of a new file: the fleet's voters, or none for a voter that is added to them later.
  static PersistentState initial_state(const std::string& fleet, std::uint64_t id,
                                       const std::vector<Voter>& voters);

 private:
  // Requests to the library, which must exist until it calls back.
  struct Proposal {
    struct raft_apply request;
    ProposalCallback done;
  };
  struct PendingVoterChange {
    raft_change request;
    RaftNode* node;
    ProposalCallback done;
    std::uint64_t voter_id;
  };

  // The functions of raft_fsm.
  static int apply_command(raft_fsm* fsm, const raft_buffer* buffer, void** result);
  static int save_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* buffer_count);
  static int restore_snapshot(raft_fsm* fsm, raft_buffer* buffer);
  // The library's callbacks.
  static void on_proposal_done(struct raft_apply* request, int error, void* result);
  static void on_voter_added(raft_change* request, int error);
  static void on_voter_change_done(raft_change* request, int error);

  void set_time(Micros now) { io_.set_time(now); }
  void record_table_checksum(std::uint64_t index);
  // The message with this voter's newest table checksum if it is an acknowledgement.
  Raft with_table_checksum(const Raft& message) const;
  std::string address_of(std::uint64_t id) const;

  std::string address_;
  RaftTimes times_;
  OnApply on_apply_;
  LeaseStateMachine lease_state_machine_;
  TableChecksums table_checksums_;
  RaftLibraryIo io_;
  struct raft raft_ {};
  raft_fsm fsm_{};
  Micros next_tick_ = core::kNever;
  std::unique_ptr<PendingVoterChange> pending_voter_change_;
  struct raft_transfer transfer_request_ {};
  bool is_transferring_ = false;
  bool is_started_ = false, is_closed_ = false;
};

}  // namespace flintglade::coordination
