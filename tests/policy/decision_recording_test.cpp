// Golden hashes of the decision module's decisions. They show that a refactoring does not change decisions.
//
// For each set of settings a simulated host runs a long, seeded stream of events in a closed loop: requests,
// results of the attempts that the module requests, timers, endpoint lists, client disconnects, health
// warnings and hot restarts. The hash covers all actions in order, the number of avoided replicas at regular
// intervals, and the learned state at regular intervals and at each hot restart.
//
// The constants were recorded on the commit before the code was refactored for readability. Change one only
// in a commit that is meant to change the module's decisions, and state this in its message. A change to this
// host or to the shared random source changes the constants too: make it in a commit that does not change
// src.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iterator>
#include <limits>
#include <memory>
#include <ostream>
#include <queue>
#include <string>
#include <vector>

#include "flintglade/policy/balancer.h"
#include "policy/learned_state.h"
#include "recording.h"

namespace flintglade::policy {
namespace {

using testing_support::RecordingHash;
using testing_support::SeededRandom;

constexpr std::size_t kEventsOfRecording = 40'000;
constexpr std::size_t kFirstRestart = kEventsOfRecording / 3, kSecondRestart = 2 * kEventsOfRecording / 3;
constexpr std::size_t kEventsBetweenAvoidedCounts = 64;
constexpr std::size_t kEventsBetweenLearnedStates = 500;
constexpr double kStart = 1000.0;  // seconds
constexpr double kSecondsOfPhase = 7.0;
constexpr double kMeanSecondsBetweenLists = 0.8, kMeanSecondsBetweenWarnings = 2.0;
constexpr std::size_t kMinReady = 3, kMaxReplicas = 24;
constexpr std::uint64_t kMachineKinds = 3, kCellsPerZone = 2;

// The behaviour of the clients and the replicas of one recording.
struct Traffic {
  double requests_per_second = 60.0;
  double first_event_latency = 0.25;  // mean seconds to the first event
  std::uint64_t fault_percent = 6;    // of attempts; multiplied by Phase::faults
  std::uint64_t prefix_percent = 40;
  std::uint64_t rare_prefix_percent = 20;  // of requests with a prefix
  std::uint64_t cache_hit_percent = 70;    // of answers: the replica still had the prefix cached
  std::uint64_t hint_percent = 10;
  double slowdown_per_kind = 1.0;  // each machine kind takes this multiple of the time of the previous kind
  bool invalid_numbers = false;    // some numbers are infinite, negative or NaN
  bool has_start_times = true;     // the endpoint list has start times
  double first_list = 0.0;         // seconds after the first requests
  std::size_t replicas = 10;
};

struct RecordingCase {
  const char* name;
  Settings (*settings)();
  Traffic traffic;
  std::uint64_t recorded;
};
void PrintTo(const RecordingCase& recording, std::ostream* out) { *out << recording.name; }

// Load and faults change with time, so that admission, hedging, retry budgets and ejection start and stop.
// The numbers are factors on those of Traffic.
struct Phase {
  double load, first_event_latency;
  std::uint64_t faults;
  bool zone_unreachable;
};
constexpr Phase kPhases[] = {
    {1.0, 1.0, 1, false}, {1.0, 3.0, 1, false}, {1.2, 1.0, 6, false},
    {3.0, 2.5, 2, false}, {0.3, 0.6, 0, false}, {1.0, 1.0, 1, true},
};

enum class EventKind {
  request,
  first_event,
  attempt_result,
  client_disconnected,
  timer,
  list,
  list_answer,
  warning
};

struct ScheduledEvent {
  double at = 0.0;
  std::uint64_t order = 0;  // events at equal times: in the order in which they were scheduled
  EventKind kind = EventKind::request;
  std::size_t router = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::ok;
  std::uint64_t cookie = 0;
  bool operator>(const ScheduledEvent& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct SimulatedAttempt {
  ReplicaId replica = 0;
  double sent_at = 0.0;
  bool in_flight = true;
};

struct SimulatedRequest {
  std::size_t router = 0;
  std::uint32_t request_class = 0;
  double prefix_tokens = 0.0;
  bool finished = false;
  int bound_attempt = -1;  // the attempt whose stream the client reads
  std::vector<SimulatedAttempt> attempts;
};

void add(RecordingHash& hash, const TimeInSystem& statistics) {
  for (const double number :
       {statistics.in_flight_seconds, statistics.arrivals, statistics.in_flight, statistics.updated_at})
    hash.add_figure(number);
}
void add(RecordingHash& hash, const DecayingSum& sum) {
  hash.add_figure(sum.sum);
  hash.add_figure(sum.updated_at);
}
void add(RecordingHash& hash, const std::vector<double>& numbers) {
  hash.add(numbers.size());
  for (const double number : numbers) hash.add_figure(number);
}
void add(RecordingHash& hash, const std::vector<std::uint64_t>& ids) {
  hash.add(ids.size());
  for (const std::uint64_t id : ids) hash.add(id);
}
void add(RecordingHash& hash, const ReplicaStatistics& replica) {
  for (const double number :
       {replica.health, replica.health_updated_at, replica.slow_start_tokens, replica.slow_start_updated_at,
        replica.rejecting_until, replica.unreachable_until}) {
    hash.add_figure(number);
  }
  add(hash, replica.time_in_system);
  hash.add(static_cast<std::uint64_t>(replica.consecutive_connect_failures));
}

void add_tables(RecordingHash& hash, const LearnedState& learned) {
  for (const auto& [kind, size] : learned.largest_live_size) {
    hash.add(kind);
    hash.add_figure(size);
  }
  for (const auto& [kind, statistics] : learned.time_in_system_by_kind) {
    hash.add(kind);
    add(hash, statistics);
  }
  for (const auto& [kind, cost] : learned.prefill_costs) {
    hash.add(kind);
    hash.add_figure(cost.seconds_per_token);
    hash.add_figure(cost.samples);
  }
  for (const auto& [id, zone] : learned.zones) {
    hash.add(id);
    hash.add_figure(zone.unreachable_until);
    hash.add(static_cast<std::uint64_t>(zone.consecutive_connect_failures));
  }
  for (const auto& [id, prefix] : learned.prefixes) {
    hash.add(id);
    add(hash, prefix.work);
    hash.add(static_cast<std::uint64_t>(prefix.replicas));
  }
  for (const auto& [id, replica] : learned.replicas) {
    hash.add(id);
    add(hash, replica);
  }
}

void add(RecordingHash& hash, const LearnedState& learned) {
  add_tables(hash, learned);
  for (const FirstEventLatency& latency : learned.first_event_latency) {
    hash.add_figure(latency.mean);
    hash.add_figure(latency.mean_deviation);
  }
  for (const auto* numbers : {&learned.mean_class_work, &learned.quota_tokens, &learned.quota_updated_at})
    add(hash, *numbers);
  add(hash, learned.time_in_system);
  for (const auto* sum :
       {&learned.arrived_work, &learned.hot_window_work, &learned.late_answers, &learned.answers})
    add(hash, *sum);
  for (const double number :
       {learned.started_at, learned.same_prefix_pairs, learned.all_pairs, learned.prefix_widening,
        learned.admitted_share, learned.own_zone_share, learned.mean_value, learned.mean_raw_work,
        learned.mean_prompt_tokens, learned.peak_fleet_size, learned.retry_tokens, learned.hedge_tokens}) {
    hash.add_figure(number);
  }
  add(hash, learned.slots);
  add(hash, learned.own_zone_slots);
}

// The actual replicas, and the endpoint lists that report them.
class SimulatedFleet {
 public:
  SimulatedFleet(const Settings& settings, const Traffic& traffic, SeededRandom& random)
      : settings_(settings), traffic_(traffic), random_(random) {
    for (std::size_t i = 0; i < traffic.replicas; ++i) join(random.one_in(2) ? 0.0 : kStart - 500.0);
    changed_.clear();
  }

  // One replica joins, drains, leaves, returns or restarts.
  void change(double now) {
    const std::uint64_t roll = random_.below(10);
    if (roll < 4 && replicas_.size() < kMaxReplicas) return join(now - random_.between(0.0, 3.0));
    Replica& replica = replicas_[random_.below(replicas_.size())];
    if (roll < 7 && replica.health == Health::ready) {
      if (ready() <= kMinReady) return;
      replica.health = roll == 4 ? Health::gone : Health::draining;
    } else {
      if (replica.health != Health::draining || roll < 8)
        replica.started_at = listed_start(now - random_.between(-0.5, 2.0));
      replica.health = Health::ready;
    }
    changed_.push_back(replica.id);
  }
  // The next endpoint list of this kind.
  EndpointListChange next_list(ListKind kind) {
    EndpointListChange change;
    change.kind = kind;
    change.version = ++version_;
    if (kind == ListKind::failed) return change;
    for (const Replica& replica : replicas_) {
      const bool changed = std::find(changed_.begin(), changed_.end(), replica.id) != changed_.end();
      if (kind == ListKind::delta ? changed : in_complete_list(kind, replica))
        change.replicas.push_back(list_entry(replica));
    }
    changed_.clear();
    std::erase_if(replicas_, [](const Replica& replica) { return replica.health == Health::gone; });
    return change;
  }
  ReplicaId any() { return replicas_[random_.below(replicas_.size())].id; }
  const Replica* find(ReplicaId id) const {
    const auto found = std::find_if(replicas_.begin(), replicas_.end(),
                                    [id](const Replica& replica) { return replica.id == id; });
    return found == replicas_.end() ? nullptr : &*found;
  }

 private:
  bool in_complete_list(ListKind kind, const Replica& replica) {
    if (replica.health == Health::gone) return random_.one_in(2);
    // A cached list may be outdated, but always has some replicas.
    return kind == ListKind::full || ready() <= 2 * kMinReady || !random_.one_in(8);
  }
  std::size_t ready() const {
    return static_cast<std::size_t>(
        std::count_if(replicas_.begin(), replicas_.end(),
                      [](const Replica& replica) { return replica.health == Health::ready; }));
  }
  double listed_start(double start_time) const { return traffic_.has_start_times ? start_time : 0.0; }
  void join(double start_time) {
    Replica replica;
    replica.id = random_.bits();
    replica.zone = static_cast<std::uint32_t>(random_.below(static_cast<std::uint64_t>(settings_.zones)));
    replica.kind = static_cast<std::uint32_t>(random_.below(kMachineKinds));
    replica.cell = replica.zone * kCellsPerZone + static_cast<std::uint32_t>(random_.below(kCellsPerZone));
    replica.health = Health::ready;
    replica.size = 1.0 + replica.kind;
    replica.started_at = listed_start(start_time);
    changed_.push_back(replica.id);
    replicas_.push_back(replica);
  }
  Replica list_entry(const Replica& replica) {
    Replica entry = replica;
    if (settings_.weights == WeightSource::live) entry.size *= random_.between(0.3, 1.0);
    if (settings_.weights == WeightSource::rough) entry.size *= random_.between(0.8, 1.2);
    if (traffic_.invalid_numbers && random_.one_in(6)) {
      entry.size = random_.one_in(2) ? -1.0 : std::numeric_limits<double>::infinity();
    }
    return entry;
  }

  const Settings& settings_;
  const Traffic& traffic_;
  SeededRandom& random_;
  std::vector<Replica> replicas_;
  std::vector<ReplicaId> changed_;  // since the last list
  std::uint32_t version_ = 0;
};

class SimulatedHost final : private ActionSink {
 public:
  SimulatedHost(const RecordingCase& recording, std::uint64_t seed)
      : settings_(recording.settings()),
        traffic_(recording.traffic),
        random_(seed),
        fleet_(settings_, traffic_, random_) {
    start_router();
    if (traffic_.first_list == 0.0) send_list(ListKind::full);
    schedule(0.0, EventKind::request);
    schedule(traffic_.first_list + kMeanSecondsBetweenLists, EventKind::list);
    schedule(kMeanSecondsBetweenWarnings, EventKind::warning);
  }

  std::uint64_t run() {
    for (std::size_t events = 0; events < kEventsOfRecording; ++events) {
      if (events == kFirstRestart) hot_restart(true);
      if (events == kSecondRestart) hot_restart(false);
      if (events % kEventsBetweenAvoidedCounts == 0) hash_.add(routers_.back()->avoided(now_));
      if (events % kEventsBetweenLearnedStates == 0) add(hash_, routers_.back()->learned());
      step();
    }
    for (const auto& router : routers_) add(hash_, router->learned());
    return hash_.value();
  }

 private:
  enum Tag : std::uint64_t { kAttempt = 1, kReject, kFail, kStopAttempt, kSetTimer, kSubscribe, kHotRestart };

  // ---- the module's actions ----
  void attempt(RequestId id, ReplicaId replica, double attempt_timeout) override {
    record(kAttempt, id, replica);
    hash_.add_seconds(attempt_timeout);
    SimulatedRequest& request = requests_[id - 1];
    request.attempts.push_back({replica, now_, true});
    plan_attempt(id, static_cast<std::uint32_t>(request.attempts.size() - 1), attempt_timeout);
  }
  void reject(RequestId id, double retry_after) override {
    record(kReject, id, 0);
    hash_.add_seconds(retry_after);
    requests_[id - 1].finished = true;
  }
  void fail(RequestId id) override {
    record(kFail, id, 0);
    requests_[id - 1].finished = true;
  }
  void stop_attempt(RequestId id, std::uint16_t attempt) override {
    record(kStopAttempt, id, attempt);
    schedule_end(0.001, id, attempt, Outcome::cancelled);
  }
  void set_timer(double delay, std::uint64_t cookie) override {
    record(kSetTimer, cookie, 0);
    hash_.add_seconds(delay);
    ScheduledEvent timer;
    timer.kind = EventKind::timer;
    timer.cookie = cookie;
    push(delay, timer);
  }
  void subscribe(bool on) override {
    record(kSubscribe, on, 0);
    schedule(random_.between(0.01, 0.3), EventKind::list_answer);
  }
  void record(Tag tag, std::uint64_t first, std::uint64_t second) {
    hash_.add(tag);
    hash_.add(calling_);
    hash_.add(first);
    hash_.add(second);
  }

  // ---- time ----
  void push(double delay, ScheduledEvent event) {
    event.at = now_ + delay;
    event.order = ++scheduled_;
    event.router = calling_;
    queue_.push(event);
  }
  void schedule(double delay, EventKind kind, RequestId request = 0, std::uint32_t attempt = 0) {
    ScheduledEvent event;
    event.kind = kind;
    event.request = request;
    event.attempt = attempt;
    push(delay, event);
  }
  void schedule_end(double delay, RequestId request, std::uint32_t attempt, Outcome outcome) {
    ScheduledEvent event;
    event.kind = EventKind::attempt_result;
    event.request = request;
    event.attempt = attempt;
    event.outcome = outcome;
    push(delay, event);
  }
  void step() {
    const ScheduledEvent next = queue_.top();
    queue_.pop();
    now_ = next.at;
    switch (next.kind) {
      case EventKind::request:
        return handle_request();
      case EventKind::first_event:
        return handle_first_event(next);
      case EventKind::attempt_result:
        return handle_attempt_result(next);
      case EventKind::client_disconnected:
        return handle_client_disconnect(next);
      case EventKind::timer:
        return router(next.router).on_timer(event_time(), next.cookie, *this);
      case EventKind::list:
        return handle_list_change();
      case EventKind::list_answer:
        return send_list(random_.percent(30) ? ListKind::failed : ListKind::full);
      case EventKind::warning:
        return handle_warning();
    }
  }
  // The time passed to the module. It sometimes goes backwards, which the module must tolerate.
  double event_time() { return random_.one_in(40) ? now_ - 0.25 : now_; }
  const Phase& phase() const {
    const auto index = static_cast<std::size_t>((now_ - kStart) / kSecondsOfPhase);
    return kPhases[index % std::size(kPhases)];
  }

  // ---- routers ----
  Balancer& router(std::size_t index) {
    calling_ = index;
    return *routers_[index];
  }
  void start_router() {
    routers_.push_back(std::make_unique<Balancer>(settings_, 71 + routers_.size(), now_));
    calling_ = routers_.size() - 1;
  }
  // A new router adopts what the previous one has learned, after its first list or before it. The previous
  // router still completes its own requests.
  void hot_restart(bool list_first) {
    const LearnedState learned = routers_.back()->learned();
    add(hash_, learned);
    start_router();
    record(kHotRestart, list_first, 0);
    if (list_first) send_list(ListKind::full);
    LearnedState of_other_settings = learned;
    of_other_settings.first_event_latency.emplace_back();
    router(calling_).adopt(now_, of_other_settings, *this);  // must be ignored
    router(routers_.size() - 1).adopt(now_, learned, *this);
    if (!list_first) send_list(ListKind::full);
    add(hash_, routers_.back()->learned());
  }

  // ---- clients ----
  void handle_request() {
    requests_.emplace_back();
    const RequestId id = requests_.size();
    const NewRequest request = random_request(id);
    requests_.back().router = routers_.size() - 1;
    requests_.back().request_class = std::min<std::uint32_t>(request.request_class, last_class());
    requests_.back().prefix_tokens = request.prefix_tokens;
    router(routers_.size() - 1).on_request(event_time(), request, *this);
    if (random_.one_in(50))
      router(routers_.size() - 1).on_request(now_, request, *this);  // the same id again
    if (random_.one_in(25)) schedule(random_.between(0.0, 2.0), EventKind::client_disconnected, id);
    schedule(random_.between(0.0, 2.0 / (traffic_.requests_per_second * phase().load)), EventKind::request);
  }
  std::uint32_t last_class() const {
    return static_cast<std::uint32_t>(std::max<std::size_t>(settings_.classes.size(), 1) - 1);
  }
  NewRequest random_request(RequestId id) {
    NewRequest request;
    request.id = id;
    request.request_class = static_cast<std::uint32_t>(random_.below(last_class() + 1));
    if (random_.one_in(200)) request.request_class += 100;  // no such class
    request.tenant = static_cast<std::uint32_t>(random_.below(settings_.tenants.size() + 1));
    if (random_.percent(70)) request.key = 1 + random_.below(400);
    request.deadline = now_ + random_.between(0.3, 5.0);
    if (random_.percent(traffic_.hint_percent)) request.hint = random_.between(1000.0, 400000.0);
    request.prompt_tokens = random_.between(20.0, random_.one_in(10) ? 9000.0 : 1500.0);
    request.output_cap = random_.between(1.0, 800.0);
    request.is_retry = random_.one_in(12);
    request.is_write = random_.one_in(5);
    request.resumed = random_.one_in(30);
    if (random_.one_in(6)) request.quota_status = static_cast<QuotaStatus>(random_.below(3));
    if (random_.percent(traffic_.prefix_percent)) set_random_prefix(request);
    if (traffic_.invalid_numbers && random_.one_in(10)) set_invalid_number(request);
    return request;
  }
  void set_random_prefix(NewRequest& request) {
    if (random_.percent(traffic_.rare_prefix_percent)) {
      request.prefix_id = 1'000'000 + random_.below(1'000'000'000);
    } else if (random_.percent(60)) {
      request.prefix_id = 1 + random_.below(1 + random_.below(4));  // hot prefixes, the first the hottest
    } else {
      request.prefix_id = 100 + random_.below(60);
    }
    request.prefix_tokens = request.prompt_tokens * random_.between(0.2, 1.0);
  }
  void set_invalid_number(NewRequest& request) {
    const double invalid[] = {std::numeric_limits<double>::infinity(),
                              std::numeric_limits<double>::quiet_NaN(), -1.0, 0.0, 1e300};
    double* const numbers[] = {&request.deadline, &request.hint, &request.prompt_tokens,
                               &request.prefix_tokens};
    double& number = *numbers[random_.below(std::size(numbers))];
    number = invalid[random_.below(std::size(invalid))];
  }
  void handle_client_disconnect(const ScheduledEvent& next) {
    SimulatedRequest& request = requests_[next.request - 1];
    router(request.router).on_client_disconnected(event_time(), next.request, *this);
    if (request.finished) return;
    request.finished = true;
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
      schedule_end(random_.between(0.0, 0.02), next.request, i, Outcome::cancelled);
    }
  }

  // ---- replicas ----
  void plan_attempt(RequestId id, std::uint32_t attempt, double attempt_timeout) {
    const ReplicaId replica = requests_[id - 1].attempts[attempt].replica;
    const double latency = random_first_event_latency(replica);
    if (const Outcome outcome = random_outcome(replica); outcome != Outcome::ok) {
      return plan_fault(id, attempt, outcome, latency, attempt_timeout);
    }
    if (attempt_timeout > 0.0 && latency > attempt_timeout)
      return schedule_end(attempt_timeout, id, attempt, Outcome::timeout);
    const bool streamed =
        !settings_.classes.empty() && settings_.classes[requests_[id - 1].request_class].streamed;
    if (streamed) schedule(latency, EventKind::first_event, id, attempt);
    const double stream_duration =
        streamed ? random_.between(0.0, 6.0 * traffic_.first_event_latency) * slowdown(replica) : 0.0;
    schedule_end(latency + stream_duration, id, attempt, random_.one_in(40) ? Outcome::reset : Outcome::ok);
  }
  void plan_fault(RequestId id, std::uint32_t attempt, Outcome outcome, double latency,
                  double attempt_timeout) {
    const double max_delay = attempt_timeout > 0.0 ? attempt_timeout : 0.8;
    const double delay = outcome == Outcome::timeout ? max_delay
                         : outcome == Outcome::error || outcome == Outcome::reset
                             ? std::min(latency, max_delay)
                             : random_.between(0.002, 0.1);
    schedule_end(delay, id, attempt, outcome);
  }
  double random_first_event_latency(ReplicaId replica) {
    const double tail_factor = random_.one_in(20) ? 4.0 : 1.0;
    return traffic_.first_event_latency * phase().first_event_latency * slowdown(replica) * tail_factor *
           random_.between(0.1, 1.0);
  }
  double slowdown(ReplicaId id) const {
    const Replica* replica = fleet_.find(id);
    const double of_kind = replica == nullptr ? 1.0 : std::pow(traffic_.slowdown_per_kind, replica->kind);
    return of_kind * (id % 7 == 0 ? 5.0 : 1.0 + 0.5 * static_cast<double>(id % 3));
  }
  Outcome random_outcome(ReplicaId id) {
    const Replica* replica = fleet_.find(id);
    const bool in_lost_zone =
        phase().zone_unreachable && replica != nullptr &&
        replica->zone == static_cast<std::uint32_t>((settings_.zone + 1) % std::max(settings_.zones, 1));
    if (in_lost_zone && (settings_.zones > 1 || id % 5 == 0)) return Outcome::connect_failed;
    if (replica == nullptr && random_.one_in(2)) return Outcome::connect_failed;
    const std::uint64_t replica_factor = id % 11 == 0 ? 5 : 1;
    if (!random_.percent(
            std::min<std::uint64_t>(traffic_.fault_percent * phase().faults * replica_factor, 90)))
      return Outcome::ok;
    constexpr Outcome kFaults[] = {Outcome::error,          Outcome::error, Outcome::full,
                                   Outcome::timeout,        Outcome::reset, Outcome::connect_failed,
                                   Outcome::connect_failed, Outcome::full,  Outcome::cancelled,
                                   Outcome::inconclusive};
    return kFaults[random_.below(std::size(kFaults))];
  }
  void handle_first_event(const ScheduledEvent& next) {
    SimulatedRequest& request = requests_[next.request - 1];
    const SimulatedAttempt& attempt = request.attempts[next.attempt];
    if (!attempt.in_flight) return;
    if (request.finished || request.bound_attempt >= 0) return end_attempt(next, Outcome::cancelled);
    request.bound_attempt = static_cast<int>(next.attempt);
    FirstEvent first_event;
    first_event.id = next.request;
    first_event.attempt = next.attempt;
    first_event.replica = attempt.replica;
    first_event.latency = now_ - attempt.sent_at;
    router(request.router).on_first_event(event_time(), first_event, *this);
  }
  void handle_attempt_result(const ScheduledEvent& next) {
    const SimulatedRequest& request = requests_[next.request - 1];
    if (next.attempt >= request.attempts.size()) return;
    // Some results are reported twice.
    if (!request.attempts[next.attempt].in_flight && !random_.one_in(20)) return;
    const bool not_needed = request.finished || (request.bound_attempt >= 0 &&
                                                 request.bound_attempt != static_cast<int>(next.attempt));
    end_attempt(next, not_needed && next.outcome == Outcome::ok ? Outcome::cancelled : next.outcome);
  }
  void end_attempt(const ScheduledEvent& next, Outcome outcome) {
    SimulatedRequest& request = requests_[next.request - 1];
    SimulatedAttempt& attempt = request.attempts[next.attempt];
    attempt.in_flight = false;
    if (outcome == Outcome::ok || request.bound_attempt == static_cast<int>(next.attempt))
      request.finished = true;
    AttemptResult result;
    result.id = next.request;
    result.attempt = next.attempt;
    result.replica = attempt.replica;
    result.outcome = outcome;
    result.latency = now_ - attempt.sent_at;
    result.closed = request.finished;
    if (outcome == Outcome::ok && random_.percent(traffic_.cache_hit_percent)) {
      result.cached_tokens = static_cast<std::uint32_t>(clamp_finite(request.prefix_tokens, 0.0, 1e6));
    }
    router(request.router).on_attempt_result(event_time(), result, *this);
  }

  // ---- lists and health warnings ----
  void handle_list_change() {
    fleet_.change(now_);
    if (random_.one_in(10)) fleet_.change(now_);
    constexpr ListKind kKinds[] = {ListKind::delta, ListKind::delta,  ListKind::delta, ListKind::full,
                                   ListKind::full,  ListKind::cached, ListKind::failed};
    send_list(kKinds[random_.below(std::size(kKinds))]);
    schedule(random_.between(0.0, 2.0 * kMeanSecondsBetweenLists), EventKind::list);
  }
  void send_list(ListKind kind) {
    const EndpointListChange change = fleet_.next_list(kind);
    for (std::size_t i = 0; i < routers_.size(); ++i) router(i).on_endpoint_list(now_, change, *this);
  }
  void handle_warning() {
    const std::size_t newest = routers_.size() - 1;
    const double duration = random_.between(-1.0, 14.0);
    const ReplicaId replica = random_.one_in(10) ? 1 : fleet_.any();
    routers_[newest]->on_health_warning(now_, replica, duration);
    HealthCheckResult health_check;
    health_check.replica = fleet_.any();
    health_check.outcome = static_cast<Outcome>(random_.below(8));
    router(newest).on_health_check_result(now_, health_check, *this);
    router(newest).on_gossip(now_, 1, "gossip from a peer", *this);
    send_events_with_unknown_ids(newest);
    schedule(random_.between(0.0, 2.0 * kMeanSecondsBetweenWarnings), EventKind::warning);
  }
  // Events with ids that were never used or whose requests are finished: they must be ignored.
  void send_events_with_unknown_ids(std::size_t newest) {
    FirstEvent first_event;
    first_event.id = random_.one_in(2) ? requests_.size() + 1'000'000 : 1;
    first_event.attempt = 40;
    router(newest).on_first_event(now_, first_event, *this);
    AttemptResult result;
    result.id = first_event.id;
    result.attempt = 40;
    router(newest).on_attempt_result(now_, result, *this);
    router(newest).on_client_disconnected(now_, first_event.id, *this);
    router(newest).on_timer(now_, requests_.size() + 1'000'000, *this);
  }

  const Settings settings_;
  const Traffic traffic_;
  SeededRandom random_;
  SimulatedFleet fleet_;
  RecordingHash hash_;
  std::vector<std::unique_ptr<Balancer>> routers_;  // the newest last
  std::size_t calling_ = 0;                         // index of the router that is being called
  std::vector<SimulatedRequest> requests_;          // by id, starting at 1
  std::priority_queue<ScheduledEvent, std::vector<ScheduledEvent>, std::greater<>> queue_;
  std::uint64_t scheduled_ = 0;  // number of events scheduled so far
  double now_ = kStart;
};

// ---- settings ---------------------------------------------------------------------------------------------

ClassSettings streamed_class(Semantics semantics, IdempotencyScope idempotency_scope = IdempotencyScope::all,
                             double latency_objective = 1.0) {
  ClassSettings settings;
  settings.latency_objective = latency_objective;
  settings.semantics = semantics;
  settings.idempotency_scope = idempotency_scope;
  settings.streamed = true;
  return settings;
}

Settings safe_with_hedging() {
  Settings s;
  s.classes = {streamed_class(Semantics::idempotent)};
  s.max_attempts = 4;
  s.may_cancel = s.may_duplicate = true;
  s.cold_from = 0.2;
  s.cold_s = 15.0;
  s.balancers = 3;
  return s;
}
Settings safe_without_hedging() {
  Settings s = safe_with_hedging();
  s.may_cancel = s.may_duplicate = false;
  s.classes.push_back(streamed_class(Semantics::idempotent, IdempotencyScope::all, 0.5));
  s.classes[1].streamed = false;
  s.classes[1].late_value = 0.3;
  return s;
}
Settings keyed_groups() {
  Settings s = safe_with_hedging();
  s.classes = {streamed_class(Semantics::idempotency_key),
               streamed_class(Semantics::idempotency_key, IdempotencyScope::zone),
               streamed_class(Semantics::idempotency_key, IdempotencyScope::cell)};
  for (ClassSettings& request_class : s.classes) request_class.key_ttl = 1.2;
  s.zones = 2;
  s.dial_timeout = 0.2;
  return s;
}
Settings unsafe_and_safe() {
  Settings s = safe_with_hedging();
  s.classes = {streamed_class(Semantics::not_idempotent),
               streamed_class(Semantics::idempotent, IdempotencyScope::all, 0.6),
               streamed_class(Semantics::idempotency_key, IdempotencyScope::zone)};
  s.may_cancel = false;
  s.dial_timeout = 0.1;
  s.weights = WeightSource::nominal;
  s.retry_after = true;
  s.max_retry_after = 0.7;
  return s;
}
Settings zones_with_price() {
  Settings s = safe_with_hedging();
  s.zones = 3;
  s.zone = 1;
  s.balancers = 6;
  s.price_cross_zone = 0.2;
  s.weights = WeightSource::rough;
  s.tenants = {{100.0, 0.5}, {140.0, 0.5}};
  return s;
}
Settings zones_at_least_price() {
  Settings s = zones_with_price();
  s.price_cross_zone = 0.05;
  s.tenants.clear();
  return s;
}
Settings zones_without_price() {
  Settings s = safe_with_hedging();
  s.zones = 3;
  s.price_cross_zone = 0.02;
  s.weights = WeightSource::nominal;
  return s;
}
Settings live_weights() {
  Settings s = safe_with_hedging();
  s.weights = WeightSource::live;
  s.classes[0].latency_objective_per_1000_tokens = 0.2;
  s.cold_from = 0.05;
  s.cold_s = 30.0;
  s.fall_multiple = 1.5;
  s.fall_s = 1.0;
  return s;
}
Settings fixed_slots() {
  Settings s = safe_with_hedging();
  s.slots = 61;
  s.weights = WeightSource::rough;
  return s;
}
Settings tenants_with_quotas() {
  Settings s = safe_with_hedging();
  s.tenants = {{30.0, 0.2}, {60.0, 0.3}, {0.0, 0.5}};
  s.classes.push_back(streamed_class(Semantics::idempotent, IdempotencyScope::all, 2.0));
  s.classes[1].priority_weight = 5.0;
  s.classes[1].late_value = 0.5;
  s.priority_weight_by_work = true;
  return s;
}
Settings overload_with_retry_after() {
  Settings s = safe_with_hedging();
  s.classes.push_back(streamed_class(Semantics::idempotency_key, IdempotencyScope::cell, 0.4));
  s.classes[1].priority_weight = 0.3;
  s.retry_after = true;
  s.max_retry_after = 2.0;
  return s;
}
Settings list_on_request() {
  Settings s = safe_with_hedging();
  s.list_on_request = true;
  s.must_ask_in = 1.0;
  return s;
}
Settings list_from_local_agent() {
  Settings s = list_on_request();
  s.list_pushed = true;
  s.max_attempts = 2;
  s.must_ask_in = 0.0;
  return s;
}
Settings out_of_bounds() {
  Settings s = safe_with_hedging();
  s.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN();
  s.classes.push_back(streamed_class(Semantics::idempotent, IdempotencyScope::all, 1e9));
  s.classes[1].latency_objective_per_1000_tokens = 1e6;
  s.classes.push_back(streamed_class(Semantics::idempotent));
  s.classes[2].hard_limit = 1e9;
  s.classes[1].priority_weight = -1.0;
  s.balancers = 0;
  s.cold_from = -3.0;
  s.fall_multiple = 1e9;
  s.fall_s = -1.0;
  return s;
}

Traffic usual() { return {}; }
Traffic with_hot_prefixes() {
  Traffic t;
  t.prefix_percent = 95;
  t.rare_prefix_percent = 5;
  t.cache_hit_percent = 98;
  return t;
}
Traffic with_uneven_machines() {
  Traffic t;
  t.slowdown_per_kind = 8.0;
  t.first_event_latency = 0.03;
  return t;
}
Traffic with_rare_prefixes() {
  Traffic t;
  t.prefix_percent = 100;
  t.rare_prefix_percent = 95;
  t.requests_per_second = 400.0;
  t.first_event_latency = 0.03;
  return t;
}
Traffic without_start_times() {
  Traffic t;
  t.has_start_times = false;
  return t;
}
Traffic heavy() {
  Traffic t;
  t.requests_per_second = 150.0;
  t.first_event_latency = 0.35;
  t.hint_percent = 60;
  return t;
}
Traffic sparse() {  // few requests per router: slow start then uses another rule (gets_few_requests)
  Traffic t;
  t.requests_per_second = 4.0;
  t.replicas = 20;
  return t;
}
Traffic with_a_late_list() {
  Traffic t;
  t.first_list = 4.0;
  return t;
}
Traffic with_invalid_numbers() {
  Traffic t;
  t.invalid_numbers = true;
  return t;
}

// ---- the recording ----------------------------------------------------------------------------------------

const RecordingCase kRecordings[] = {
    {"safe_with_hedging", safe_with_hedging, usual(), 0x1a013e54a9dc77ac},
    {"safe_without_hedging", safe_without_hedging, usual(), 0x9738c9342dc99e60},
    {"keyed_groups", keyed_groups, usual(), 0x56f9da130aaac533},
    {"unsafe_and_safe", unsafe_and_safe, usual(), 0x7978b8736333f605},
    {"zones_with_price", zones_with_price, usual(), 0xbd960d2ee490d63e},
    {"zones_at_least_price", zones_at_least_price, usual(), 0x4d8d9ec0ab4790c4},
    {"zones_without_price", zones_without_price, usual(), 0xe00a05ac8630c989},
    {"live_weights", live_weights, with_hot_prefixes(), 0x218f7f51f3cf01df},
    {"fixed_slots", fixed_slots, without_start_times(), 0xbefd5d87c36196a1},
    {"tenants_with_quotas", tenants_with_quotas, heavy(), 0x9719a54414733952},
    {"overload_with_retry_after", overload_with_retry_after, heavy(), 0x71b77de49f479c95},
    {"list_on_request", list_on_request, usual(), 0xca52d0807d03b178},
    {"list_from_local_agent", list_from_local_agent, usual(), 0x3482040fbdc477a6},
    {"rare_prefixes", safe_with_hedging, with_rare_prefixes(), 0xd97c8ba1e21294bd},
    {"uneven_machines", safe_with_hedging, with_uneven_machines(), 0xaeddc483dce284e6},
    {"few_requests", safe_with_hedging, sparse(), 0xdf7b8175787504fd},
    {"list_comes_late", safe_without_hedging, with_a_late_list(), 0xfd7c559054f36fad},
    {"out_of_bounds", out_of_bounds, with_invalid_numbers(), 0xac740687b8911068},
};

class DecisionRecording : public testing::TestWithParam<RecordingCase> {};

TEST_P(DecisionRecording, EqualsTheRecordedOne) {
  constexpr std::uint64_t kSeed = 20;
  SimulatedHost host(GetParam(), kSeed);
  EXPECT_EQ(host.run(), GetParam().recorded)
      << "the decisions of the module differ from the recording: see the comment at the top of this file";
}

INSTANTIATE_TEST_SUITE_P(Settings, DecisionRecording, testing::ValuesIn(kRecordings),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace flintglade::policy
