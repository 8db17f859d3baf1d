// The core: the table of RPCs, their call attempts and time-outs, alarms, and the router's phases. It decides
// nothing about where an RPC goes or whether it is refused: it hands what happened to the module, once a
// turn, and carries out what comes back. It knows no socket and no wire.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

#include "core/counters.h"
#include "core/ports.h"
#include "flintglade/policy/balancer.h"
#include "policy/learned_state.h"

namespace flintglade::core {

enum class Phase { starting, serving, draining, stopped };
const char* to_string(Phase phase);

// Of the time for which a replica that drains may still be written to, what a router may use: the rule counts
// the write, which may come a hold-up after our look at the clock.
inline Micros write_grace(Micros grace) { return std::max<Micros>(0, grace - kHoldUp); }

struct BrokerSettings {
  Micros drain_grace = 2 * kSecond;     // after a replica is known to drain or be gone; of it, write_grace()
  Micros answer_grace = 20 * kMilli;    // after the deadline, for the final answer
  std::size_t body_budget = 48u << 20;  // bytes of request bodies held at once
  Micros stall_timeout = 2 * kSecond;   // a stream without an event for this long has broken
  Micros list_lag = 10 * kSecond;       // no list is older than this; discovery's own lag is under 6 s
  // How long a draining router goes on taking new RPCs. What comes 0.7 s after SIGTERM may be open still at
  // SIGKILL, and SIGTERM may be seen late by a hold-up.
  Micros drain_accept_window = 700 * kMilli - kHoldUp - 50 * kMilli;
  Micros drain_accept_window_with_successor =
      2400 * kMilli;                           // the same where answers can go on in another process
  Micros drain_limit = 3400 * kMilli;          // and by when what it took has its first event or an answer
  Micros final_response_grace = 300 * kMilli;  // from its last answer to its end, for it to reach its client
  Micros cancel_hold = 0;  // how long a call that its client gave up counts as its replica's work
};

class Broker final : private policy::ActionSink {
 public:
  Broker(BrokerSettings settings, const policy::Settings& module, std::uint64_t seed, Clock& clock,
         EndpointList& list);
  ~Broker() override;

  void attach(Wire wire, ReplicaClient& subchannels);

  // ---- gathered events: kept until the next turn ----
  // 0, and nothing is taken, if an open RPC has the same trace id: at the replicas the two would pass for
  // one.
  RequestId on_request(std::shared_ptr<const Request> rpc, std::shared_ptr<ResponseWriter> response_writer);
  // A front had no room for an RPC of this class, and has refused it.
  void on_request_shed(std::uint32_t request_class) {
    ++counters_.requests_shed;
    count(request_class).refused++;
  }
  void on_client_disconnected(RequestId id);
  void on_client_writable(RequestId id);
  void on_attempt_events(AttemptId id, std::string events);  // whole events; the first ones bind the attempt
  void on_attempt_ended(AttemptId id, policy::Outcome outcome, std::uint32_t kept = 0,
                        std::vector<float> report = {});
  void on_attempt_rejected(AttemptId id);  // the replica cannot use the request, nor could another
  void on_attempt_written() {
    ++counters_.attempts_written;
  }  // the last byte of an attempt is written; once each
  void on_endpoint_list_update(EndpointListUpdate news);

  // ---- between processes of one router ----
  // What the process that goes knows, for the one that takes its place. Times are on the clock of both.
  struct ProcessSnapshot {
    std::uint32_t version = 0;  // of the list
    std::vector<Endpoint> entries;
    struct RetiredReplica {
      ReplicaId replica = 0;
      Micros since = 0;
      std::uint32_t version = 0;
    };
    std::vector<RetiredReplica> retired;  // since when it was known to drain or be gone
    policy::LearnedState learned;
  };
  ProcessSnapshot snapshot() const;
  // same_list: versions of its list can be compared with those of ours. A list of ours that is as new stays
  // in force, and the times of drains go back to the first word that either heard.
  void adopt(ProcessSnapshot from, bool same_list);

  // Answers that move.
  // An answer in its middle: its first event is passed on, and its one attempt runs.
  struct MigratableStream {
    RequestId id = 0;
    AttemptId call;
    ReplicaId replica = 0;
    Micros came = 0, last_event = 0;
    std::shared_ptr<const Request> request;
    std::shared_ptr<ResponseWriter> response_writer;
  };
  // Those of this wire of which nothing is gathered that the next turn has still to do.
  std::vector<MigratableStream> migratable_streams(Wire wire) const;
  // Another process has it: it is nobody's here any more, and no final answer is counted.
  void migrated_out(const MigratableStream& r);
  // Taken from another process; r.id, r.call and the replica's events are the caller's to use if the id given
  // is not 0. 0, and nothing is taken, where this process has an open RPC of the same trace id.
  RequestId migrated_in(const MigratableStream& r);

  // ---- the loop ----
  void run_iteration();       // hand what was gathered to the module, then carry out its actions
  Micros next_timer() const;  // when the next turn is due even if nothing happens
  bool has_work() const { return !gathered_.empty(); }

  // ---- phases ----
  Phase phase() const { return phase_; }
  bool ready() const { return phase_ == Phase::serving; }
  std::string not_ready_reason() const;  // in a few words, while the phase is starting
  void reload(Micros drain_grace, Micros answer_grace,
              Micros cancel_hold = 0);  // for what happens from now on
  void reload_refused() { ++counters_.reloads_rejected; }
  // SIGTERM: finish what is here, and what still comes, then stop. followed: another process serves, and
  // answers move there once they have begun; so requests that are half read by now can be waited for.
  void drain(bool followed = false);
  bool accepts_new_clients() const;                    // draining, and clients may still come
  bool accepts_requests() const;                       // RPCs that come now, where there is memory for them
  void set_partially_read_requests(std::size_t half);  // clients in the middle of a request, while draining
  std::size_t requests_in_flight() const { return open_; }
  std::size_t body_bytes() const { return body_bytes_; }
  void body_budget(std::size_t bytes) { settings_.body_budget = bytes; }  // for what comes from now on
  std::size_t listed_replicas() const;                                    // not gone, by the list held
  std::size_t avoided_replicas() const;  // of them, those that the module now avoids, or that drain
  const Counters& counters() const { return counters_; }
  void trace(TraceListener to) { trace_ = std::move(to); }
  void share(SharedStatePort* with) { shared_state_ = with; }  // borrowed; null: each router for itself
  // Other routers have seen this replica fail: it is passed over for so long, as if a connect had failed.
  void on_health_warning(ReplicaId replica, Micros span);
  std::vector<ReplicaId> ready_replicas() const;  // by the list held

 private:
  struct AttemptState {
    ReplicaId replica = 0;
    Micros sent = 0;
    bool out = true;
    bool stopped = false;  // given up; its outcome is on the way
    bool held = false;     // and that comes after the hold
  };
  struct Rpc {
    std::shared_ptr<const Request> request;
    std::shared_ptr<ResponseWriter> response_writer;  // empty once the final answer is given
    Micros came = 0;
    Micros deadline = 0;
    std::vector<AttemptState> calls;
    int bound = -1;  // the attempt whose stream the client gets
    Micros last_event = 0;
    bool held_up = false;
    bool over() const { return response_writer == nullptr; }
  };

  struct Arrived {
    RequestId id;
    std::shared_ptr<const Request> request;
    std::shared_ptr<ResponseWriter> response_writer;
  };
  struct Gone {
    RequestId id;
  };
  struct Rejected {
    AttemptId id;
  };
  struct Writable {
    RequestId id;
  };
  struct Events {
    AttemptId id;
    std::string bytes;
  };
  struct Ended {
    AttemptId id;
    policy::Outcome outcome;
    std::uint32_t kept;
    std::vector<float> report;
  };
  struct Warned {
    ReplicaId replica;
    Micros span;
  };
  using Event = std::variant<Arrived, Gone, Rejected, Writable, Events, Ended, EndpointListUpdate, Warned>;

  struct Retired {
    Micros since = 0;
    std::uint32_t version = 0;  // of the list that told it
  };
  struct Attempt {
    RequestId id;
    ReplicaId replica;
    double allow_for;
  };
  struct Reject {
    RequestId id;
    double not_before_for;
  };
  struct Fail {
    RequestId id;
  };
  struct StopAttempt {
    AttemptId id;
  };
  struct SetTimer {
    double span;
    std::uint64_t cookie;
  };
  struct Subscribe {
    bool on;
  };
  using Action = std::variant<Attempt, Reject, Fail, StopAttempt, SetTimer, Subscribe>;

  struct ModuleAlarm {
    std::uint64_t cookie;
  };
  struct AttemptExpiry {
    AttemptId id;
  };
  struct Overdue {  // at the deadline, or where a drain may take no longer
    RequestId id;
  };
  struct StallCheck {
    AttemptId id;
  };
  struct HoldEnd {
    AttemptId id;
  };
  struct Untold {  // what an older list said of a replica is believed after all
    Endpoint entry;
    std::uint32_t version;
    Micros since;  // the word that it does not take back
  };
  using What = std::variant<ModuleAlarm, AttemptExpiry, Overdue, StallCheck, HoldEnd, Untold>;
  struct Alarm {
    Micros at = 0;
    std::uint64_t order = 0;  // equal times ring in the order they were set
    What what;
    bool operator>(const Alarm& o) const { return at != o.at ? at > o.at : order > o.order; }
  };

  // ActionSink: only collects; carry_out does the work once the module has seen the whole turn.
  void attempt(RequestId id, ReplicaId replica, double allow_for) override;
  void reject(RequestId id, double not_before_for) override;
  void fail(RequestId id) override;
  void stop_attempt(RequestId id, std::uint16_t attempt) override;
  void set_timer(double span, std::uint64_t cookie) override;
  void subscribe(bool on) override;

  void take(Arrived& e);
  void take(Gone& e);
  void take(Rejected& e);
  void take(Writable& e);
  void take(Events& e);
  void take(Ended& e);
  void take(EndpointListUpdate& e);
  void take(Warned& e);

  void carry_out(const Attempt& a);
  void carry_out(const Reject& a);
  void carry_out(const Fail& a);
  void carry_out(const StopAttempt& a);
  void carry_out(const SetTimer& a);
  void carry_out(const Subscribe& a);

  void ring(const Alarm& alarm);
  void wake(Micros at, What what);
  void give_up(RequestId id);
  void serve_if_ready();
  const Retired* overtaken_by(const Endpoint& entry,
                              const EndpointListUpdate& news) const;  // null: by no word
  Micros drained_at() const;
  Micros takes_until() const;  // in a drain
  std::size_t replicas_of(policy::Health health) const;
  Rpc* find(RequestId id);
  AttemptState* find_out(AttemptId id, Rpc*& rpc);
  ReplicaClient& replica_client(const Rpc& rpc) const;
  void end_call(AttemptId id, Rpc& rpc, AttemptState& call, policy::Outcome outcome, std::uint32_t kept = 0,
                std::vector<float> report = {});
  void bind(AttemptId id, Rpc& rpc, const AttemptState& call);
  void hold(AttemptId id, Rpc& rpc, AttemptState& call);
  void cancel_call(AttemptId id, Rpc& rpc, AttemptState& call, policy::Outcome outcome);
  std::shared_ptr<ResponseWriter> close(Rpc& rpc);  // takes the channel; the RPC is over
  // The same for the one final answer, which is counted here and nowhere else.
  std::shared_ptr<ResponseWriter> close(Rpc& rpc, std::uint64_t Answers::*as);
  void refuse_unseen(Arrived& e, Micros again);  // the module never hears of it
  Answers& count(std::uint32_t request_class) {
    return counters_.answers[std::min<std::size_t>(request_class, counters_.answers.size() - 1)];
  }
  void drop_if_done(RequestId id, const Rpc& rpc);
  void forget_ended();

  BrokerSettings settings_;
  policy::Balancer module_;
  Clock& clock_;
  EndpointList& list_;
  std::array<ReplicaClient*, kWires> replica_clients_{};
  Micros now_ = 0;
  Phase phase_ = Phase::starting;
  Micros drain_from_ = kNever;
  bool followed_ = false;
  std::size_t half_read_ = 0;
  std::unordered_map<ReplicaId, Endpoint> replicas_;
  std::unordered_map<ReplicaId, Retired> retired_;  // since when a replica is known to drain or be gone
  bool heard_ = false;                              // the list has answered, or failed to
  bool listed_ = false;                             // the list has answered
  std::uint32_t version_ = 0;                       // of the list held
  RequestId last_id_ = 0;
  std::size_t open_ = 0;  // RPCs without a final answer
  Micros answered_ = 0;   // when the last final answer was given
  std::size_t body_bytes_ = 0;
  std::unordered_map<RequestId, Rpc> rpcs_;
  std::vector<RequestId> ended_;  // over, with no call out: they go once this turn's actions are carried out
  std::unordered_set<std::string> open_ids_;  // trace ids of the RPCs without a final answer
  std::deque<Event> gathered_;                // grows without moving what it holds
  std::vector<Action> actions_;
  std::priority_queue<Alarm, std::vector<Alarm>, std::greater<>> alarms_;
  std::uint64_t alarms_set_ = 0;
  Counters counters_;
  TraceListener trace_;
  SharedStatePort* shared_state_ = nullptr;
};

}  // namespace flintglade::core
