// A router's part in its fleet: who is there (membership::Swim), the voter if it is one (Node), what the
// leader decides (LeaseManager), its own jobs (LeaseHolder) and what it takes from other owners (Fence), and
// the datagrams between them. Pure: time and datagrams are handed in, what is to be sent is taken out. One
// clock for all times, which also runs while the machine sleeps.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "coordination/fencing_token.h"
#include "coordination/lease_holder.h"
#include "coordination/lease_manager.h"
#include "coordination/raft_node.h"
#include "membership/swim.h"

namespace flintglade::coordination {

struct VoterAt {
  std::string router;
  std::uint64_t id = 0;
  std::string at;
};

struct CoordinationSettings {
  membership::Settings peers;
  membership::Self self;
  LeaseTimes lease;
  RaftTimes node;
  std::vector<VoterAt> voters;  // by the file; the record may have changed them since
  std::vector<Wanted> wanted;
  Micros read_every = 500 * core::kMilli;  // the record, by who is no voter
  Micros ask_again = 250 * core::kMilli;   // a voter that does not answer
};

// Something worth a line in the log.
struct Event {
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
  bool warning = false;
};

class CoordinationProtocol {
 public:
  // What comes out for the jobs of this router.
  struct Word {
    enum class What { starts, stops, effect, want, share } what;
    std::string job;
    std::uint64_t number = 0;
    Effect effect;     // of an admitted effect
    std::string from;  // of a want or a share: where it came from
    std::uint32_t rev = 0;
    SharedStateMessage share;
    std::string who;  // of a share: whose, and of which life
    std::uint64_t birth = 0;
  };

  CoordinationProtocol(CoordinationSettings settings, std::uint64_t seed);
  ~CoordinationProtocol() { node_.reset(); }  // what it had under way is answered, and that needs the rest
  CoordinationProtocol(const CoordinationProtocol&) = delete;
  CoordinationProtocol& operator=(const CoordinationProtocol&) = delete;
  // This router votes: memory is what its storage holds. Before start.
  absl::Status vote(PersistentState memory, RaftStorage& storage);

  void start(Micros now);
  void receive(Micros now, const std::string& from, std::string_view bytes);
  void tick(Micros now);
  Micros next() const;
  // Gives up its jobs, tells the others, and takes no new ones. left() when the voters know, or it has been
  // long enough.
  void leave(Micros now);
  bool left(Micros now) const;

  // Writes an effect to all routers of the site, or to one address, if the lease is proved at this moment.
  // False: nothing was written.
  bool effect(Micros now, Effect effect, const std::string& site, const std::string& to = "");
  // To one router: what all share.
  void share(const std::string& name, const std::string& at, const SharedStateMessage& share);
  // For the owner of a job: takes a part of a stock, once the record says so.
  void draw(Micros now, const StockDraw& draw);
  // Asks the owner of a job what came after.
  void want(Micros now, const std::string& job, std::uint32_t rev);

  std::vector<membership::Datagram> take();
  std::vector<Event> events() { return std::exchange(events_, {}); }
  std::vector<Word> words() { return std::exchange(words_, {}); }

  const membership::Swim& peers() const { return swim_; }
  const RaftNode* node() const { return node_.get(); }
  const LeaseTable& table() const { return votes() ? node_->lease_state_machine().table() : table_; }
  const FencingTokens& fence() const { return fence_; }
  bool proved(Micros now, const std::string& job) const { return lease_holder_.proved(now, job); }
  // Who owns it by the record; null: nobody, or a router that this one does not know.
  const membership::Peer* owner(const std::string& job) const;
  bool displaced() const { return displaced_; }
  Status status(Micros now) const;
  // Beside what this class says of itself.
  void on_status(std::function<void(Micros, Status&)> add) { add_status_ = std::move(add); }
  void event(std::string name, std::vector<std::pair<std::string, std::string>> fields, bool warning = false);

 private:
  struct Asked {
    Micros sent = 0;
    bool renew = false;
  };
  bool free_of_jobs() const;  // by the record
  bool votes() const { return node_ && !node_->is_halted(); }
  void send(const std::string& at, const Packet& p);
  void settle(Micros now);  // after each turn: leadership, grants, leases
  void ask(Micros now, const Command& command);
  void goes_in(Micros now, const Command& command);
  void answer(Micros now, const std::string& to, const Request& request);
  void answered(Micros now, const Reply& reply);
  void take_record(Micros now, const Record& record);
  Record record(std::uint64_t known) const;
  void push(const std::string& router);
  std::string voter_at(Micros now);

  CoordinationSettings settings_;
  std::mt19937_64 random_;
  membership::Swim swim_;
  std::unique_ptr<RaftNode> node_;
  LeaseManager lease_manager_;
  LeaseHolder lease_holder_;
  FencingTokens fence_;
  LeaseTable table_;  // by what voters said, where this router is none
  std::vector<Voter> voters_;
  std::string leader_at_;
  Micros heard_voter_ = -1, leader_since_ = 0, next_read_ = 0, leaving_ = -1, now_ = 0;
  std::size_t voter_turn_ = 0;
  std::uint64_t numbers_ = 0, sequence_ = 0;
  std::map<std::uint64_t, Asked> asked_;
  std::vector<membership::Datagram> out_;
  std::vector<Event> events_;
  std::vector<Word> words_;
  bool led_ = false, handing_ = false, displaced_ = false, halted_told_ = false, had_leader_ = false;
  std::uint64_t effects_sent_ = 0, effects_taken_ = 0, effects_unproved_ = 0;
  std::function<void(Micros, Status&)> add_status_;
};

// A part of the router that lives beside its agent, on the same thread and clock.
class Companion {
 public:
  virtual ~Companion() = default;
  virtual void receive(Micros now, CoordinationProtocol& agent,
                       const CoordinationProtocol::Word& word) = 0;  // a share, or a job's turn
  virtual void tick(Micros now, CoordinationProtocol& agent) = 0;
  virtual Micros next() const = 0;
  virtual void status(Micros now, const CoordinationProtocol& agent, Status& out) const = 0;
};

}  // namespace flintglade::coordination
