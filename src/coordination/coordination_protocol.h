// The coordination protocol of one router, without I/O: membership (membership::Swim), the voter if this
// router is one (RaftNode), the leader's decisions (LeaseManager), this router's own jobs (LeaseHolder), the
// fencing tokens that it has seen (FencingTokens), and the datagrams between routers.
//
// The caller passes in datagrams and the time, and takes out datagrams, log events and notifications. Used on
// one thread only (CoordinationRuntime's). All times are of one clock, which also runs while the machine
// sleeps.
//
// docs/fleet.md describes jobs, leases and what happens when routers fail.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "coordination/fencing_token.h"
#include "coordination/lease_holder.h"
#include "coordination/lease_manager.h"
#include "coordination/pending_requests.h"
#include "coordination/raft_node.h"
#include "membership/swim.h"

namespace flintglade::coordination {

// A voter in the operator's configuration. The address is host:port.
struct VoterAddress {
  std::string router;
  std::uint64_t id = 0;
  std::string address;
};

struct CoordinationSettings {
  membership::Settings membership;
  membership::Self self;
  LeaseTimes lease_times;
  RaftTimes raft_times;
  std::vector<VoterAddress> voters;  // as configured; the voters may have been changed since
  std::vector<JobSettings> jobs;
  // How often a router that does not vote requests the lease table from a voter.
  Micros lease_table_poll_period = 500 * core::kMilli;
  // A leader that does not answer a request within this time gets no further requests.
  Micros request_timeout = 250 * core::kMilli;
};

// An event for the log.
struct Event {
  std::string name;
  std::vector<std::pair<std::string, std::string>> fields;
  bool warning = false;
};

// A change to one of this router's jobs, or a message from another router. Only the fields that are listed at
// its kind are set.
struct JobNotification {
  enum class Kind {
    // This router may perform the job from now on (job, number).
    lease_acquired,
    // This router may no longer perform the job (job, number).
    lease_released,
    // An effect of another owner, admitted by its fencing token (job, number, effect, sender_address,
    // revision).
    effect,
    // A router requests the changes after this revision of the endpoint list (job, sender_address, revision).
    list_requested,
    // A message about state that routers share (shared_state, sender, sender_start_time, sender_address).
    shared_state,
  };
  Kind kind = Kind::lease_acquired;
  std::string job;
  std::uint64_t number = 0;  // the fencing token
  Effect effect;
  std::string sender_address;
  std::uint32_t revision = 0;
  SharedStateMessage shared_state;
  std::string sender;
  std::uint64_t sender_start_time = 0;  // of its process: microseconds of Unix time
};

class CoordinationProtocol {
 public:
  CoordinationProtocol(CoordinationSettings settings, std::uint64_t seed);
  // The voter is destroyed first: its pending proposals end with callbacks that use the other members.
  ~CoordinationProtocol() { raft_node_.reset(); }
  CoordinationProtocol(const CoordinationProtocol&) = delete;
  CoordinationProtocol& operator=(const CoordinationProtocol&) = delete;

  // Makes this router a voter, before start(). `state` is what `storage` holds; `storage` outlives this
  // object. After an error this object must not be used.
  absl::Status start_voting(PersistentState state, RaftStorage& storage);

  void start(Micros now);
  void receive(Micros now, const std::string& sender_address, std::string_view bytes);
  void tick(Micros now);
  // When to call tick().
  Micros next_timer() const;
  // Releases this router's leases, notifies the other routers, and acquires no new leases.
  void leave(Micros now);
  // After leave(): whether the voters have released the leases, or the time limit has passed.
  bool has_left(Micros now) const;

  // Sends an effect to all routers of a site (empty: of the fleet), or to one address, if this router's lease
  // on the job is valid now. Returns false if it is not; then nothing is sent.
  bool send_effect(Micros now, Effect effect, const std::string& site, const std::string& address = "");
  void send_shared_state(const std::string& router, const std::string& address,
                         const SharedStateMessage& message);
  // For the owner of a job: proposes to draw from a stock. The granted amount appears in the lease table.
  void draw_from_stock(Micros now, const StockDraw& draw);
  // Requests the changes after this revision of the endpoint list from the owner of a job.
  void request_list(const std::string& job, std::uint32_t revision);

  // The output since the last call.
  std::vector<membership::Datagram> take_datagrams();
  std::vector<Event> take_events() { return std::exchange(events_, {}); }
  std::vector<JobNotification> take_notifications() { return std::exchange(notifications_, {}); }

  const membership::Swim& membership() const { return swim_; }
  // Null if this router is not a voter.
  const RaftNode* raft_node() const { return raft_node_.get(); }
  const LeaseTable& lease_table() const {
    return is_voting() ? raft_node_->lease_state_machine().table() : lease_table_;
  }
  bool has_valid_lease(Micros now, const std::string& job) const {
    return lease_holder_.has_valid_lease(now, job);
  }
  // The owner of a job according to the lease table; null if there is none or this router does not know it.
  const membership::Peer* find_owner(const std::string& job) const;
  Status status(Micros now) const;
  // `extend` is called for each status that another process requests; it adds the status of other parts of
  // the router.
  void set_status_extension(std::function<void(Micros, Status&)> extend) {
    extend_status_ = std::move(extend);
  }
  void log_event(std::string name, std::vector<std::pair<std::string, std::string>> fields,
                 bool warning = false);

 private:
  bool is_voting() const { return raft_node_ && !raft_node_->is_halted(); }
  bool is_leader() const { return raft_node_ && raft_node_->is_leader(); }
  bool owns_no_job() const;  // according to the lease table

  // The steps that run after each datagram and tick, in this order.
  void run_steps(Micros now);
  void log_membership_changes();
  void check_displacement();
  void check_halt();
  void check_lease_tables();
  void follow_leadership(Micros now);
  void propose_grants(Micros now);
  void copy_voter_state(Micros now);
  void follow_known_leader(Micros now);
  void poll_lease_table(Micros now);
  void renew_and_release(Micros now);
  void notify_lease_changes(Micros now);
  void transfer_leadership_on_leave(Micros now);

  // Requests to voters and their replies.
  void send_command(Micros now, const Command& command);
  std::string next_voter_address();
  void on_reply(Micros now, const Reply& reply);
  // Requests to this router as a voter.
  void on_request(Micros now, const std::string& sender_address, const Request& request);
  absl::Status check_request(const Request& request) const;
  absl::Status check_move(const Move& move) const;
  void count_proposed_renewal(Micros now, const Command& command);
  void on_applied(const Command& command, const Applied& applied);

  // Copies of the lease table between routers.
  Record make_record(std::uint64_t known_revision) const;
  void push_record(const std::string& router);
  void on_record(Micros now, const Record& record);

  // Datagrams.
  bool is_for_us(const Packet& packet) const;
  void send(const std::string& address, const Packet& packet);
  void send_status(Micros now, const std::string& address);
  void on_packet(Micros now, const std::string& sender_address, const Packet& packet);
  void on_effect(const std::string& sender_address, const Packet& packet);
  void on_shared_state(const std::string& sender_address, const Packet& packet);
  void on_list_request(const std::string& sender_address, const ListRequest& request);
  void notify(JobNotification notification);

  void add_counters(Status& out) const;

  CoordinationSettings settings_;
  std::mt19937_64 random_;
  membership::Swim swim_;
  std::unique_ptr<RaftNode> raft_node_;
  LeaseManager lease_manager_;
  LeaseHolder lease_holder_;
  FencingTokens fencing_tokens_;
  PendingRequests pending_requests_;
  LeaseTable lease_table_;  // a copy, of a router that does not vote
  std::vector<Voter> voters_;
  std::size_t next_voter_ = 0;  // the voter that gets the next request while no leader is known
  std::string leader_address_;  // empty if no leader is known
  bool has_known_leader_ = false;
  Micros leader_known_at_ = 0;
  Micros voter_answered_at_ = -1;  // -1: never
  Micros next_poll_ = 0;
  Micros leaving_since_ = -1;  // -1: this router is not leaving
  Micros now_ = 0;             // time of the last call, for on_applied()
  std::uint64_t last_effect_sequence_ = 0;
  std::vector<membership::Datagram> datagrams_;
  std::vector<Event> events_;
  std::vector<JobNotification> notifications_;
  bool was_leader_ = false, is_transferring_leadership_ = false, is_displaced_ = false;
  bool is_halt_logged_ = false;
  std::set<std::uint64_t> logged_differing_voters_;
  std::uint64_t effects_sent_ = 0, effects_admitted_ = 0, effects_without_lease_ = 0;
  std::function<void(Micros, Status&)> extend_status_;
};

// A part of the router that uses the protocol's datagrams, thread and clock.
class ProtocolExtension {
 public:
  virtual ~ProtocolExtension() = default;
  // Called for each notification, in order.
  virtual void receive(Micros now, CoordinationProtocol& protocol, const JobNotification& notification) = 0;
  virtual void tick(Micros now, CoordinationProtocol& protocol) = 0;
  // When to call tick().
  virtual Micros next_timer() const = 0;
  // Adds this part's status.
  virtual void status(Micros now, const CoordinationProtocol& protocol, Status& out) const = 0;
};

}  // namespace flintglade::coordination
