// A recording of what the core does, so that work on its code which is not meant to change that is known not
// to.
//
// For each set of settings one long, seeded stream of events runs through a Broker on stand-in ports, in
// closed loop: requests on both wires, what becomes of the calls that it makes, clients that go or read
// slowly, endpoint lists (old ones too), warnings, reloads, a hand-over to a second Broker with answers that
// move, and a drain. Recorded is one hash over all that comes out of the ports and the trace, and over the
// counters, the next alarm and the other figures after each turn.
//
// Not recorded, as it may change: names of counters, and the words of the trace, of a phase and of why it is
// not ready (each counts by the order in which it first appears), the order of updates about different
// replicas, and in a drain the order between different requests of one turn. The last two follow the order of
// hash tables.
//
// The constants were recorded on the commit before the code was refactored for readability. One may be
// changed only in a commit that is meant to change what the core (or the decision module in it) does, and
// that says so. A change to this host or to the shared random source changes them too: it is made in a commit
// that leaves src alone.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/broker.h"
#include "recording.h"

namespace flintglade::core {
namespace {

using policy::Health;
using policy::ListKind;
using policy::Outcome;
using testing_support::RecordingHash;
using testing_support::SeededRandom;

constexpr Micros kStart = 1000 * kSecond;
constexpr std::size_t kTurnsOfRecording = 4'000, kTurnsOfDrain = 800;
constexpr std::size_t kHandOverAt = 2 * kTurnsOfRecording / 3, kReloadAt = kTurnsOfRecording / 2;
constexpr std::size_t kTurnsBetweenLooks = 8;  // at all that the Broker tells of itself
constexpr Micros kLongestTurn = 25 * kMilli;
constexpr std::size_t kFewestReady = 2, kMostReplicas = 14, kFirstReplicas = 6;
constexpr Micros kOneWordLate = 12;          // so many words of a cancelled call are lost for each that comes
constexpr std::uint32_t kOldestVersion = 6;  // of a list that discovery tells late: so many versions back

// To a router that has no list yet (of the same list service or another), or that has a list as new.
enum class HandOver { none, same_list, other_list, to_one_with_a_list };

struct RecordingCase {
  const char* name;
  policy::Settings (*module)();
  BrokerSettings (*settings)();
  bool shares = false;
  bool old_lists = false;  // discovery tells older versions now and then
  HandOver hand_over = HandOver::none;
  bool followed = false;
  bool few_faults = false;
  std::uint64_t recorded = 0;
};
void PrintTo(const RecordingCase& recording, std::ostream* out) { *out << recording.name; }

// ---- what comes out ---------------------------------------------------------------------------------------

// Keeps what came out during a turn, brings into one order what may come in any, and hashes it.
class TurnLog {
 public:
  enum Tag : std::uint64_t {
    kUpdate = 1,
    kCall,
    kCancel,
    kPause,
    kObserve,
    kPass,
    kFinish,
    kBreakOff,
    kUnavailable,
    kFail,
    kTrace,
    kShareArrived,
    kShareAnswered,
    kShareFirstEvent,
    kShareCallEnded,
  };
  // subject: the replica of an update, else the request.
  void note(Tag tag, std::uint64_t subject, std::vector<std::uint64_t> words) {
    lines_.push_back({tag, subject, std::move(words)});
  }
  void end_turn(RecordingHash& hash, bool in_drain) {
    if (in_drain) {
      std::stable_sort(lines_.begin(), lines_.end(), by_request);
    } else {
      sort_updates();
    }
    for (const Line& line : lines_) {
      hash.add(line.tag);
      hash.add(line.subject);
      for (const std::uint64_t word : line.words) hash.add(word);
    }
    lines_.clear();
  }
  // The number of a word that may be renamed: how many others came before it first did.
  std::uint64_t number_of(std::string_view word) {
    return word_numbers_.try_emplace(std::string(word), word_numbers_.size()).first->second;
  }

 private:
  struct Line {
    Tag tag;
    std::uint64_t subject;
    std::vector<std::uint64_t> words;
  };
  static bool by_subject(const Line& a, const Line& b) { return a.subject < b.subject; }
  static bool by_request(const Line& a, const Line& b) {
    return a.tag != b.tag ? a.tag < b.tag : by_subject(a, b);
  }
  void sort_updates() {
    const auto is_update = [](const Line& line) { return line.tag == kUpdate; };
    for (auto from = lines_.begin(); from != lines_.end();) {
      from = std::find_if(from, lines_.end(), is_update);
      const auto to = std::find_if_not(from, lines_.end(), is_update);
      std::stable_sort(from, to, by_subject);
      from = to;
    }
  }

  std::vector<Line> lines_;
  std::map<std::string, std::uint64_t> word_numbers_;
};

std::uint64_t word(Micros time) { return static_cast<std::uint64_t>(time); }
std::uint64_t hash_of(std::string_view text) {
  RecordingHash hash;
  hash.add_text(text);
  return hash.value();
}

// ---- stand-in ports ---------------------------------------------------------------------------------------

class SimulatedRouter;

class RecordedResponseWriter final : public ResponseWriter {
 public:
  RecordedResponseWriter(std::uint64_t client, SimulatedRouter& router) : client_(client), router_(&router) {}
  void moves_to(SimulatedRouter& router, RequestId id) {
    router_ = &router;
    id_ = id;
  }
  bool write_events(std::string_view events) override;
  void finish() override { note(TurnLog::kFinish, {}); }
  void abort_stream() override { note(TurnLog::kBreakOff, {}); }
  void reject(Micros retry_after, bool late) override {
    note(TurnLog::kUnavailable, {word(retry_after), late});
  }
  void fail(Failure why) override { note(TurnLog::kFail, {static_cast<std::uint64_t>(why)}); }

 private:
  void note(TurnLog::Tag tag, std::vector<std::uint64_t> words);

  std::uint64_t client_;
  SimulatedRouter* router_;
  RequestId id_ = 0;
};

class RecordedReplicaClient final : public ReplicaClient {
 public:
  RecordedReplicaClient(Wire wire, SimulatedRouter& router) : wire_(wire), router_(router) {}
  void update_endpoint(const Endpoint& endpoint, Micros no_new_after) override;
  void start_attempt(AttemptId id, ReplicaId replica, std::shared_ptr<const Request> rpc,
                     Micros patience) override;
  void cancel_attempt(AttemptId id) override;
  void pause_attempt(AttemptId id, bool paused) override;

 private:
  Wire wire_;
  SimulatedRouter& router_;
};

class RecordedSharing final : public SharedStatePort {
 public:
  RecordedSharing(TurnLog& log, SeededRandom& random) : log_(log), random_(random) {}
  QuotaDecision check_quota(Micros now, const Request& rpc) override {
    constexpr QuotaStatus kQuotaStatuses[] = {QuotaStatus::unknown, QuotaStatus::unknown, QuotaStatus::within,
                                              QuotaStatus::within,  QuotaStatus::within,  QuotaStatus::over,
                                              QuotaStatus::over,    QuotaStatus::refused};
    QuotaDecision answer;
    answer.status = kQuotaStatuses[random_.below(std::size(kQuotaStatuses))];
    answer.retry_after = static_cast<Micros>(random_.below(2 * kSecond));
    log_.note(TurnLog::kShareArrived, hash_of(rpc.trace_id), {word(now)});
    return answer;
  }
  void on_request_finished(const Request& rpc, RequestOutcome outcome) override {
    log_.note(TurnLog::kShareAnswered, hash_of(rpc.trace_id), {static_cast<std::uint64_t>(outcome)});
  }
  void on_first_event(Micros now, ReplicaId replica) override {
    log_.note(TurnLog::kShareFirstEvent, replica, {word(now)});
  }
  void on_attempt_ended(Micros now, ReplicaId replica, Outcome outcome) override {
    // Subject: replica and outcome, as calls to one replica may end in any order in a drain.
    log_.note(TurnLog::kShareCallEnded, replica * 16 + static_cast<std::uint64_t>(outcome), {word(now)});
  }

 private:
  TurnLog& log_;
  SeededRandom& random_;
};

// ---- the list ---------------------------------------------------------------------------------------------

// The replicas as they are, and how discovery tells them: also as they were a few versions ago.
class SimulatedDiscovery {
 public:
  SimulatedDiscovery(SeededRandom& random, bool old_lists) : random_(random), old_lists_(old_lists) {
    for (std::size_t i = 0; i < kFirstReplicas; ++i) join(0.0);
    past_.push_back(endpoints_);
  }
  const std::vector<Endpoint>& endpoints() const { return endpoints_; }
  ReplicaId any() { return endpoints_[random_.below(endpoints_.size())].replica.id; }

  void change(Micros now) {
    const double at = static_cast<double>(now) / 1e6;
    const std::uint64_t roll = random_.below(8);
    if (roll < 2 && endpoints_.size() < kMostReplicas) {
      join(at);
    } else {
      change_one(endpoints_[random_.below(endpoints_.size())].replica, roll, at);
    }
    past_.push_back(endpoints_);
    ++version_;
  }
  EndpointListUpdate tell() {
    constexpr ListKind kKinds[] = {ListKind::delta, ListKind::delta,  ListKind::delta,
                                   ListKind::full,  ListKind::full,   ListKind::full,
                                   ListKind::full,  ListKind::cached, ListKind::failed};
    return tell(kKinds[random_.below(std::size(kKinds))]);
  }
  EndpointListUpdate tell(ListKind kind) {
    EndpointListUpdate news;
    news.kind = kind;
    if (kind == ListKind::failed) return news;
    const std::uint32_t back = old_lists_ && version_ > 1 && random_.one_in(3) ? draw_age() : 0;
    news.version = version_ - back;
    for (const Endpoint& endpoint : past_[past_.size() - 1 - back]) {
      if (kind == ListKind::delta && !random_.one_in(3)) continue;
      if (kind == ListKind::full && random_.one_in(25)) {  // left out, and half of them unreadable
        if (random_.one_in(2)) news.unreadable.push_back(endpoint.replica.id);
        continue;
      }
      news.entries.push_back(endpoint);
    }
    return news;
  }

 private:
  std::uint32_t draw_age() {
    return 1 + static_cast<std::uint32_t>(random_.below(std::min<std::size_t>(kOldestVersion, version_ - 1)));
  }
  void change_one(policy::Replica& replica, std::uint64_t roll, double at) {
    const auto ready = std::count_if(endpoints_.begin(), endpoints_.end(), [](const Endpoint& endpoint) {
      return endpoint.replica.health == Health::ready;
    });
    if (replica.health != Health::ready) {
      if (random_.one_in(2)) replica.started_at = at;
      replica.health = Health::ready;
    } else if (roll < 3) {
      replica.started_at = at;
    } else if (static_cast<std::size_t>(ready) > kFewestReady) {
      replica.health = roll < 6 ? Health::draining : Health::gone;
    }
  }
  void join(double at) {
    Endpoint endpoint;
    endpoint.replica.id = 100 + endpoints_.size();
    endpoint.replica.kind = static_cast<std::uint32_t>(random_.below(2));
    endpoint.replica.zone = static_cast<std::uint32_t>(random_.below(2));
    endpoint.replica.cell = static_cast<std::uint32_t>(random_.below(4));
    endpoint.replica.health = Health::ready;
    endpoint.replica.started_at = at;
    endpoint.address = "10.0.0." + std::to_string(endpoint.replica.id) + ":8000";
    endpoints_.push_back(endpoint);
  }

  SeededRandom& random_;
  bool old_lists_;
  std::vector<Endpoint> endpoints_;
  std::vector<std::vector<Endpoint>> past_;  // by version, the last one what is true
  std::uint32_t version_ = 1;
};

// ---- one router -------------------------------------------------------------------------------------------

// What the surroundings of one Broker will do, and when.
struct Scheduled {
  enum class What { events, ended, rejected, written, on_client_disconnected, writable, list };
  Micros at = 0;
  What what = What::events;
  AttemptId call;  // of on_client_disconnected and writable: the request alone
  Outcome outcome = Outcome::ok;
  std::string bytes;
};

class SimulatedRouter final : private Clock, private EndpointList {
 public:
  SimulatedRouter(const RecordingCase& recording, std::uint64_t seed, Micros start,
                  SimulatedDiscovery& discovery)
      : time_(start),
        random_(seed),
        discovery_(discovery),
        few_faults_(recording.few_faults),
        shared_state_(log_, random_),
        broker_(recording.settings(), recording.module(), seed, *this, *this) {
    broker_.attach(Wire::http, http_);
    broker_.attach(Wire::kserve, kserve_);
    broker_.trace([this](const TraceEvent& trace) { note(trace); });
    if (recording.shares) broker_.share(&shared_state_);
  }

  // ---- for the ports ----
  TurnLog& log() { return log_; }
  SeededRandom& random() { return random_; }
  void schedule(Micros in, Scheduled event) {
    event.at = time_ + in;
    scheduled_.push_back(std::move(event));
  }
  void plan(AttemptId id, const Request& rpc, Micros patience);
  // A few late words come all the same. Which is not drawn, as calls may be cancelled in any order in a
  // drain.
  void forget(AttemptId id) {
    std::erase_if(scheduled_, [id](const Scheduled& event) {
      return of_call(event) && event.call == id && event.at % kOneWordLate != 0;
    });
  }

  // ---- for the recording ----
  Broker& broker() { return broker_; }
  Micros time() const { return time_; }
  std::uint64_t hash() const { return hash_.value(); }
  std::uint64_t clients() const { return clients_; }
  void number_clients_from(std::uint64_t last) { clients_ = last; }
  void gather_list(ListKind kind) { broker_.on_endpoint_list_update(discovery_.tell(kind)); }
  void pass_time();
  void gather_requests(std::uint64_t percent);
  void gather_rare_events();
  void run_iteration();
  void move_answers_to(SimulatedRouter& successor);
  Broker::ProcessSnapshot snapshot();

 private:
  Micros now() override { return time_; }
  void subscribe(bool on) override;
  static bool of_call(const Scheduled& event) {
    return event.what != Scheduled::What::on_client_disconnected && event.what != Scheduled::What::writable &&
           event.what != Scheduled::What::list;
  }
  void note(const TraceEvent& trace);
  void gather_due();
  void gather(Scheduled& event);
  std::shared_ptr<Request> draw_request();
  void plan_answer(AttemptId id, Micros wait);
  Outcome draw_fault();
  void look();
  void look_at_running(Wire wire);
  std::vector<Broker::MigratableStream> migratable_streams(Wire wire) const;

  Micros time_;
  SeededRandom random_;
  SimulatedDiscovery& discovery_;
  const bool few_faults_;
  TurnLog log_;
  RecordingHash hash_;
  RecordedReplicaClient http_{Wire::http, *this}, kserve_{Wire::kserve, *this};
  RecordedSharing shared_state_;
  std::vector<Scheduled> scheduled_;
  std::map<RequestId, std::shared_ptr<RecordedResponseWriter>> channels_;
  std::uint64_t clients_ = 0, turns_ = 0;
  Broker broker_;
};

void RecordedResponseWriter::note(TurnLog::Tag tag, std::vector<std::uint64_t> words) {
  router_->log().note(tag, client_, std::move(words));
}
bool RecordedResponseWriter::write_events(std::string_view events) {
  note(TurnLog::kPass, {hash_of(events)});
  if (!router_->random().one_in(30)) return true;
  Scheduled event;
  event.what = Scheduled::What::writable;
  event.call.request = id_;
  router_->schedule(static_cast<Micros>(router_->random().below(3 * kSecond)), event);
  return false;
}

void RecordedReplicaClient::update_endpoint(const Endpoint& endpoint, Micros no_new_after) {
  const policy::Replica& replica = endpoint.replica;
  router_.log().note(TurnLog::kUpdate, replica.id,
                     {static_cast<std::uint64_t>(wire_), static_cast<std::uint64_t>(replica.health),
                      hash_of(endpoint.address), word(no_new_after)});
}
void RecordedReplicaClient::start_attempt(AttemptId id, ReplicaId replica, std::shared_ptr<const Request> rpc,
                                          Micros patience) {
  router_.log().note(TurnLog::kCall, id.request,
                     {id.attempt, static_cast<std::uint64_t>(wire_), replica, word(patience),
                      hash_of(rpc->trace_id), rpc->bytes()});
  router_.plan(id, *rpc, patience);
}
void RecordedReplicaClient::cancel_attempt(AttemptId id) {
  router_.log().note(TurnLog::kCancel, id.request, {id.attempt, static_cast<std::uint64_t>(wire_)});
  router_.forget(id);
}
void RecordedReplicaClient::pause_attempt(AttemptId id, bool paused) {
  router_.log().note(TurnLog::kPause, id.request, {id.attempt, static_cast<std::uint64_t>(wire_), paused});
}

void SimulatedRouter::subscribe(bool on) {
  log_.note(TurnLog::kObserve, 0, {on});
  Scheduled event;
  event.what = Scheduled::What::list;
  schedule(static_cast<Micros>(random_.below(100 * kMilli)), event);
}
void SimulatedRouter::note(const TraceEvent& trace) {
  const bool client_named_it = trace.kind == TraceEvent::Kind::request_received;
  log_.note(TurnLog::kTrace, trace.request,
            {static_cast<std::uint64_t>(trace.kind), trace.attempt, trace.replica,
             client_named_it ? hash_of(trace.detail) : log_.number_of(trace.detail), word(trace.took),
             trace.entries, trace.cached_tokens, trace.replica_kind, trace.replica_zone});
}

// What becomes of a call: an answer, a fault, silence, or a stream that stops in its middle.
void SimulatedRouter::plan(AttemptId id, const Request& rpc, Micros patience) {
  Scheduled event;
  event.call = id;
  if (random_.percent(90)) {
    event.what = Scheduled::What::written;
    schedule(static_cast<Micros>(random_.below(10 * kMilli)), event);
  }
  const auto wait =
      static_cast<Micros>(5 * kMilli + random_.below(random_.one_in(8) ? kSecond : 300 * kMilli));
  const std::uint64_t roll = random_.below(few_faults_ ? 600 : 100);
  if (roll < 3) return;  // silent
  if (roll < 6) {        // at once, from within the call
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  }
  event.what = Scheduled::What::ended;
  if (roll < 20) {
    event.outcome = draw_fault();
    return schedule(std::min(wait, patience), event);
  }
  if (roll < 23) {
    event.what = Scheduled::What::rejected;
    return schedule(wait, event);
  }
  if (rpc.may_be_empty) return schedule(wait, event);
  plan_answer(id, wait);
}
void SimulatedRouter::plan_answer(AttemptId id, Micros wait) {
  Scheduled event;
  event.call = id;
  event.what = Scheduled::What::events;
  Micros in = wait;
  const std::uint64_t count = 1 + random_.below(8);
  for (std::uint64_t i = 0; i < count; ++i) {
    event.bytes.assign(1 + random_.below(60), static_cast<char>('a' + i));
    schedule(in, event);
    in += static_cast<Micros>(random_.below(random_.one_in(30) ? 4 * kSecond : 250 * kMilli));
  }
  if (random_.one_in(25)) return;  // it stalls
  event.what = Scheduled::What::ended;
  event.bytes.clear();
  event.outcome = random_.one_in(15) ? draw_fault() : Outcome::ok;
  schedule(in, event);
}
Outcome SimulatedRouter::draw_fault() {
  constexpr Outcome kFaults[] = {Outcome::error, Outcome::full,  Outcome::timeout,  Outcome::connect_failed,
                                 Outcome::reset, Outcome::error, Outcome::cancelled};
  return kFaults[random_.below(std::size(kFaults))];
}

void SimulatedRouter::pass_time() {
  const Micros at = time_ + static_cast<Micros>(random_.below(kLongestTurn));
  const Micros alarm = broker_.next_timer();
  // Half of the turns come exactly when the Broker asked for them, if that is soon.
  time_ = random_.one_in(2) && alarm > time_ && alarm < at ? alarm : at;
  gather_due();
}
void SimulatedRouter::gather_due() {
  std::vector<Scheduled> due;
  std::erase_if(scheduled_, [this, &due](Scheduled& event) {
    if (event.at > time_) return false;
    due.push_back(std::move(event));
    return true;
  });
  random_.shuffle(due);
  for (Scheduled& event : due) gather(event);
}
void SimulatedRouter::gather(Scheduled& event) {
  switch (event.what) {
    case Scheduled::What::events:
      return broker_.on_attempt_events(event.call, std::move(event.bytes));
    case Scheduled::What::ended: {
      const auto kept = static_cast<std::uint32_t>(random_.below(800));
      return broker_.on_attempt_ended(event.call, event.outcome, kept, {1.0F, 2.0F});
    }
    case Scheduled::What::rejected:
      return broker_.on_attempt_rejected(event.call);
    case Scheduled::What::written:
      return broker_.on_attempt_written();
    case Scheduled::What::on_client_disconnected:
      return broker_.on_client_disconnected(event.call.request);
    case Scheduled::What::writable:
      return broker_.on_client_writable(event.call.request);
    case Scheduled::What::list:
      return broker_.on_endpoint_list_update(discovery_.tell());
  }
}

void SimulatedRouter::gather_requests(std::uint64_t percent) {
  while (random_.percent(percent)) {
    const std::shared_ptr<Request> request = draw_request();
    const auto response_writer = std::make_shared<RecordedResponseWriter>(++clients_, *this);
    const RequestId id = broker_.on_request(request, response_writer);
    hash_.add(id);
    if (id == 0) continue;
    response_writer->moves_to(*this, id);
    channels_[id] = response_writer;
    Scheduled event;
    event.what = Scheduled::What::on_client_disconnected;
    event.call.request = id;
    if (random_.one_in(8)) schedule(static_cast<Micros>(random_.below(2 * kSecond)), event);
  }
}
std::shared_ptr<Request> SimulatedRouter::draw_request() {
  auto request = std::make_shared<Request>();
  request->wire = random_.one_in(3) ? Wire::kserve : Wire::http;
  request->request_class = static_cast<std::uint32_t>(random_.below(3));
  request->tenant = static_cast<std::uint32_t>(random_.below(3));
  request->session = random_.below(50);
  if (random_.one_in(2)) request->prefix = 1 + random_.below(6);
  request->prompt_tokens = static_cast<double>(20 + random_.below(2000));
  request->prefix_tokens = static_cast<double>(random_.below(1500));
  request->output_cap = static_cast<double>(random_.below(500));
  request->work_hint = random_.one_in(6) ? static_cast<double>(random_.below(200000)) : 0.0;
  request->is_retry = random_.one_in(10);
  request->resumed = random_.one_in(20);
  request->may_be_empty = random_.one_in(8);
  request->patience = static_cast<Micros>(300 * kMilli + random_.below(5 * kSecond));
  // One in 40 comes with the name of an earlier one, which may be open still.
  const std::uint64_t number =
      clients_ > 20 && random_.one_in(40) ? clients_ - random_.below(20) : clients_ + 1;
  request->trace_id = "client-" + std::to_string(number);
  request->body.assign(random_.below(6000), 'b');
  if (random_.one_in(3)) request->metadata.emplace_back("x-team", std::string(random_.below(40), 'm'));
  return request;
}

void SimulatedRouter::gather_rare_events() {
  if (random_.one_in(25)) {
    discovery_.change(time_);
    broker_.on_endpoint_list_update(discovery_.tell());
  }
  if (random_.one_in(60))
    broker_.on_health_warning(discovery_.any(), static_cast<Micros>(random_.below(12 * kSecond)));
  if (random_.one_in(90)) broker_.on_request_shed(static_cast<std::uint32_t>(random_.below(5)));
  if (random_.one_in(400)) broker_.reload_refused();
  if (random_.one_in(50)) {  // of no call or request that there is
    broker_.on_attempt_events({1'000'000'000, 0}, "nobody's");
    broker_.on_attempt_ended({1'000'000'000, 3}, Outcome::ok);
    broker_.on_client_disconnected(1'000'000'000);
    broker_.on_client_writable(1'000'000'000);
  }
}

void SimulatedRouter::run_iteration() {
  const bool in_drain = broker_.phase() == Phase::draining;
  hash_.add(broker_.has_work());
  broker_.run_iteration();
  log_.end_turn(hash_, in_drain);
  hash_.add(word(broker_.next_timer()));
  if (broker_.phase() == Phase::starting) hash_.add(log_.number_of(broker_.not_ready_reason()));
  if (++turns_ % kTurnsBetweenLooks == 0) look();
}

std::vector<Broker::MigratableStream> SimulatedRouter::migratable_streams(Wire wire) const {
  std::vector<Broker::MigratableStream> all = broker_.migratable_streams(wire);
  std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) { return a.id < b.id; });
  return all;
}
void SimulatedRouter::look_at_running(Wire wire) {
  for (const Broker::MigratableStream& r : migratable_streams(wire)) {
    hash_.add(r.id);
    hash_.add(r.attempt.attempt);
    hash_.add(r.replica);
    hash_.add(word(r.received_at));
    hash_.add(word(r.last_event_at));
    hash_.add_text(r.request->trace_id);
  }
}
void SimulatedRouter::look() {
  hash_.add(static_cast<std::uint64_t>(broker_.phase()));
  hash_.add(log_.number_of(to_string(broker_.phase())));
  for (const bool is : {broker_.ready(), broker_.accepts_new_clients(), broker_.accepts_requests()})
    hash_.add(is);
  for (const std::size_t count : {broker_.requests_in_flight(), broker_.body_bytes(),
                                  broker_.listed_replicas(), broker_.avoided_replicas()}) {
    hash_.add(count);
  }
  std::vector<ReplicaId> ready = broker_.ready_replicas();
  std::sort(ready.begin(), ready.end());
  for (const ReplicaId id : ready) hash_.add(id);
  look_at_running(Wire::http);
  look_at_running(Wire::kserve);
  for (const auto& [name, value] : broker_.counters().list()) hash_.add(value);
  for (const Answers& answers : broker_.counters().answers) {
    for (const std::uint64_t count : {answers.served, answers.refused, answers.failed}) hash_.add(count);
  }
}

Broker::ProcessSnapshot SimulatedRouter::snapshot() {
  Broker::ProcessSnapshot handed = broker_.snapshot();
  std::sort(handed.entries.begin(), handed.entries.end(),
            [](const Endpoint& a, const Endpoint& b) { return a.replica.id < b.replica.id; });
  std::sort(handed.retired.begin(), handed.retired.end(),
            [](const auto& a, const auto& b) { return a.replica < b.replica; });
  hash_.add(handed.version);
  for (const Endpoint& entry : handed.entries) {
    hash_.add(entry.replica.id);
    hash_.add(static_cast<std::uint64_t>(entry.replica.health));
  }
  for (const auto& word_of : handed.retired) {
    hash_.add(word_of.replica);
    hash_.add(word(word_of.since));
    hash_.add(word_of.version);
  }
  for (const double figure :
       {handed.learned.admitted_share, handed.learned.prefix_widening, handed.learned.retry_tokens,
        handed.learned.arrived_work.sum, handed.learned.time_in_system.in_flight_seconds}) {
    hash_.add_figure(figure);
  }
  return handed;
}

void SimulatedRouter::move_answers_to(SimulatedRouter& successor) {
  for (const Wire wire : {Wire::http, Wire::kserve}) {
    for (const Broker::MigratableStream& r : migratable_streams(wire)) {
      if (random_.one_in(4)) continue;  // some stay
      broker_.migrated_out(r);
      const RequestId id = successor.broker_.migrated_in(r);
      hash_.add(id);
      for (Scheduled& event : scheduled_) {
        if (event.call.request != r.id || id == 0) continue;
        Scheduled moved = event;
        moved.call = {id, 0};
        successor.scheduled_.push_back(moved);
      }
      std::erase_if(scheduled_, [&r](const Scheduled& event) { return event.call.request == r.id; });
      if (id == 0) continue;
      channels_[r.id]->moves_to(successor, id);
      successor.channels_[id] = channels_[r.id];
    }
  }
}

// ---- the recording ----------------------------------------------------------------------------------------

class BrokerRecordingRun {
 public:
  explicit BrokerRecordingRun(const RecordingCase& recording)
      : recording_(recording),
        discovery_random_(kSeed),
        discovery_(discovery_random_, recording.old_lists),
        first_(recording, kSeed + 1, kStart, discovery_) {}

  std::uint64_t run() {
    start(first_);
    for (std::size_t i = 0; i < kTurnsOfRecording; ++i) {
      if (i == kReloadAt) reload(*serving_);
      if (i == kHandOverAt && recording_.hand_over != HandOver::none) hand_over();
      serve_a_turn(*serving_);
      if (serving_ != &first_) drain_a_turn(first_);
    }
    serving_->broker().drain(recording_.followed);
    for (std::size_t i = 0; i < kTurnsOfDrain; ++i) drain_a_turn(*serving_);
    EXPECT_EQ(serving_->broker().phase(), Phase::stopped);
    EXPECT_EQ(serving_->broker().requests_in_flight(), 0u);
    RecordingHash both;
    both.add(first_.hash());
    if (second_ != nullptr) both.add(second_->hash());
    return both.value();
  }

 private:
  static constexpr std::uint64_t kSeed = 30;
  static constexpr std::uint64_t kRequestPercent = 45, kLatePercent = 10, kSameNames = 30;

  // Before the first list some requests wait, and the list fails once, is empty, and names one that drains.
  void start(SimulatedRouter& router) {
    router.gather_requests(70);
    router.run_iteration();
    router.gather_list(ListKind::failed);
    router.run_iteration();
    EndpointListUpdate news;
    news.kind = ListKind::full;
    router.broker().on_endpoint_list_update(news);
    router.run_iteration();
    news.entries.resize(1);
    news.entries[0].replica.id = 99;
    news.entries[0].replica.health = Health::draining;
    router.broker().on_endpoint_list_update(news);
    router.run_iteration();
    router.gather_list(ListKind::cached);
    router.run_iteration();
    router.gather_list(ListKind::full);
    router.run_iteration();
  }
  void serve_a_turn(SimulatedRouter& router) {
    router.pass_time();
    router.gather_requests(kRequestPercent);
    router.gather_rare_events();
    router.run_iteration();
  }
  // Some clients come late, and some are in the middle of a request.
  void drain_a_turn(SimulatedRouter& router) {
    router.pass_time();
    router.gather_requests(router.broker().accepts_requests() ? kLatePercent : kLatePercent / 5);
    if (router.random().one_in(10)) {
      router.broker().set_partially_read_requests(static_cast<std::size_t>(router.random().below(3)));
    }
    router.run_iteration();
  }
  void reload(SimulatedRouter& router) {
    const BrokerSettings settings = recording_.settings();
    router.broker().reload(settings.drain_grace / 2, 2 * settings.answer_grace, settings.cancel_hold / 2);
    router.broker().body_budget(settings.body_budget / 2);
  }
  // What the first one knows goes to a second one, and most of its answers; then it drains.
  void hand_over() {
    second_ = std::make_unique<SimulatedRouter>(recording_, kSeed + 2, first_.time(), discovery_);
    serving_ = second_.get();
    // Its first clients come with names that are open at the first one, whose answers cannot move then.
    second_->number_clients_from(first_.clients() - kSameNames);
    if (recording_.hand_over == HandOver::to_one_with_a_list) start(*second_);
    for (int i = 0; i < 4; ++i) second_->gather_requests(80);
    second_->broker().adopt(first_.snapshot(), recording_.hand_over != HandOver::other_list);
    second_->run_iteration();
    first_.move_answers_to(*second_);
    first_.broker().drain(recording_.followed);
  }

  const RecordingCase& recording_;
  SeededRandom discovery_random_;
  SimulatedDiscovery discovery_;
  SimulatedRouter first_;
  std::unique_ptr<SimulatedRouter> second_;
  SimulatedRouter* serving_ = &first_;
};

policy::Settings with_hedging() {
  policy::Settings s;
  s.classes.resize(2);
  for (policy::ClassSettings& c : s.classes) c.streamed = true;
  s.classes[1].latency_objective = 0.5;
  s.classes[1].priority_weight = 0.4;
  s.tenants.resize(2);
  s.tenants[0].quota_per_s = 20.0;
  s.may_cancel = s.may_duplicate = s.retry_after = true;
  s.max_attempts = 3;
  s.max_retry_after = 2.0;
  s.cold_from = 0.3;
  s.cold_s = 5.0;
  return s;
}
policy::Settings without_hedging() {
  policy::Settings s = with_hedging();
  s.may_cancel = s.may_duplicate = s.retry_after = false;
  s.classes[1].semantics = policy::Semantics::idempotency_key;
  s.classes[1].idempotency_scope = policy::IdempotencyScope::zone;
  s.zones = 2;
  return s;
}
policy::Settings copies_run_on() {
  policy::Settings s = with_hedging();
  s.may_cancel = false;
  return s;
}
policy::Settings asking_for_the_list() {
  policy::Settings s = with_hedging();
  s.list_on_request = true;
  s.must_ask_in = 2.0;
  return s;
}

BrokerSettings usual() { return {}; }
BrokerSettings with_cancel_hold() {
  BrokerSettings s;
  s.cancel_hold = 900 * kMilli;
  return s;
}
BrokerSettings with_little_memory() {
  BrokerSettings s;
  s.body_budget = 60'000;
  return s;
}
BrokerSettings with_short_limits() {
  BrokerSettings s;
  s.stall_timeout = 500 * kMilli;
  s.list_lag = 3 * kSecond;
  s.drain_grace = kSecond;
  s.answer_grace = 200 * kMilli;
  return s;
}

const RecordingCase kRecordings[] = {
    {.name = "hedging", .module = with_hedging, .settings = usual, .recorded = 0x419fcb22e83a5868},
    {.name = "no_hedging",
     .module = without_hedging,
     .settings = usual,
     .followed = true,
     .recorded = 0x8814d2276372f2df},
    {.name = "copies_run_on",
     .module = copies_run_on,
     .settings = usual,
     .few_faults = true,
     .recorded = 0xa3956bf4e17d6652},
    {.name = "cancel_hold",
     .module = with_hedging,
     .settings = with_cancel_hold,
     .recorded = 0x3b722af21b0f893a},
    {.name = "little_memory",
     .module = without_hedging,
     .settings = with_little_memory,
     .recorded = 0x7840437ebc57fba7},
    {.name = "sharing",
     .module = with_hedging,
     .settings = usual,
     .shares = true,
     .recorded = 0x56c8f1d5a19e5478},
    {.name = "asks_for_the_list",
     .module = asking_for_the_list,
     .settings = usual,
     .old_lists = true,
     .recorded = 0xf0823b9ffc675202},
    {.name = "old_lists",
     .module = with_hedging,
     .settings = with_short_limits,
     .old_lists = true,
     .recorded = 0x84cc29dba99bb850},
    {.name = "hand_over_same_list",
     .module = with_hedging,
     .settings = with_cancel_hold,
     .old_lists = true,
     .hand_over = HandOver::same_list,
     .followed = true,
     .recorded = 0x34bfdce7dd370497},
    {.name = "hand_over_other_list",
     .module = asking_for_the_list,
     .settings = usual,
     .shares = true,
     .hand_over = HandOver::other_list,
     .recorded = 0xdd14c487783036ff},
    {.name = "hand_over_to_one_with_a_list",
     .module = without_hedging,
     .settings = with_short_limits,
     .old_lists = true,
     .hand_over = HandOver::to_one_with_a_list,
     .followed = true,
     .recorded = 0x1dae9e8ebe70059c},
};

class BrokerRecording : public testing::TestWithParam<RecordingCase> {};

TEST_P(BrokerRecording, EqualsTheRecordedOne) {
  BrokerRecordingRun recording(GetParam());
  EXPECT_EQ(recording.run(), GetParam().recorded)
      << "the core acts otherwise than when this was recorded: see the comment at the head of this file";
}

INSTANTIATE_TEST_SUITE_P(Settings, BrokerRecording, testing::ValuesIn(kRecordings),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace flintglade::core
