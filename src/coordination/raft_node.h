// One voter: C-Raft (Debian's libraft) with its disk and network handed in. What is to be stored goes to a
// Storage that answers at once; what is to be sent is taken out; time is handed in. So a whole group of
// voters can run in one test, on one clock.
//
// A write that fails halts the voter until its process starts again: it votes and answers no more.
#pragma once

extern "C" {
#include <raft.h>  // says nothing of C++
}

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/lease_state_machine.h"
#include "coordination/raft_storage.h"
#include "core/ports.h"

namespace flintglade::coordination {

using core::Micros;

struct RaftTimes {
  unsigned election_ms = 1000, heartbeat_ms = 100;
};

class RaftNode {
 public:
  using Send = std::function<void(const std::string& at, const Raft& message)>;
  using OnApply = std::function<void(const Command&, const Applied&)>;
  using Done = std::function<void(bool done, const std::string& why, const Applied&)>;

  // memory: what the storage holds, with a head. Both references outlive the node.
  RaftNode(std::string at, PersistentState memory, RaftStorage& storage, RaftTimes times, std::uint64_t seed,
           Send send, OnApply on_apply);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  std::string start(Micros now);
  void receive(Micros now, const Raft& message);
  void tick(Micros now);
  Micros next() const { return next_; }

  // On the leader; done is told once it is committed and applied, or when it is known that it will not be.
  void propose(Micros now, const Command& command, Done done);
  // One at a time; a second one is told to wait. An added voter has all entries before it votes.
  void change(Micros now, const VoterChange& change, Done done);
  // The leader has another voter lead, one that has all entries, as soon as there is one. False: there is
  // none to try, or it tries already.
  bool hand_over(Micros now);

  bool leads() const;
  bool halted() const { return !halted_.empty(); }
  std::string role() const;  // leader, candidate, follower, halted
  const std::string& why_halted() const { return halted_; }
  std::string leader_at() const;  // empty: none is known
  std::uint64_t id() const { return memory_.head.id(); }
  std::uint64_t term() const { return raft_.current_term; }
  std::uint64_t applied() const { return raft_.last_applied; }
  std::uint64_t last_index() const { return memory_.last(); }
  std::vector<Voter> voters() const;
  const LeaseStateMachine& jobs() const { return jobs_; }

  // A file's beginning: with the fleet's voters, or empty for one that is added to them later.
  static PersistentState first_memory(const std::string& fleet, std::uint64_t id,
                                      const std::vector<Voter>& voters);

 private:
  struct Io;
  friend struct Io;
  struct Proposal {
    struct raft_apply request;
    RaftNode* node;
    Done done;
  };
  struct Changing {
    raft_change request;
    RaftNode* node;
    Done done;
    std::uint64_t id;
  };
  bool store(const Frame& frame);
  void halt(const std::string& why);
  void settle();  // callbacks that waited
  Raft encode(const raft_message& m) const;

  std::string at_;
  PersistentState memory_;
  RaftStorage& storage_;
  RaftTimes times_;
  std::mt19937_64 random_;
  Send send_;
  OnApply on_apply_;
  LeaseStateMachine jobs_;
  std::unique_ptr<Io> io_;
  raft raft_{};
  raft_fsm fsm_{};
  Micros now_ = 0, next_ = core::kNever;
  std::string halted_;
  std::deque<std::function<void()>> waiting_;
  std::unique_ptr<Changing> changing_;
  struct raft_transfer transfer_ {};
  bool transfers_ = false;
  bool started_ = false, closed_ = false;
};

}  // namespace flintglade::coordination
