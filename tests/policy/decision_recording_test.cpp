// A recording of the decision module's decisions, so that work on its code which is not meant to change them
// is known not to.
//
// For each set of settings a simulated host runs one long, seeded stream of events in closed loop: requests,
// what becomes of the attempts that the module asks for, alarms, endpoint lists, clients that give up,
// warnings, and routers that take over from one another. Recorded is one hash over every action in its order,
// and, now and then and at each take-over, the count of avoided replicas and what the module has learned.
//
// The constants were recorded on the commit before the code was refactored for readability. One may be
// changed only in a commit that is meant to change what the module decides, and that says so. A change to
// this host or to the shared random source changes them too: it is made in a commit that leaves src alone.
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
constexpr std::size_t kFirstTakeover = kEventsOfRecording / 3, kSecondTakeover = 2 * kEventsOfRecording / 3;
constexpr std::size_t kEventsBetweenLooks = 64;       // at the count of avoided replicas
constexpr std::size_t kEventsBetweenLongLooks = 500;  // at all that was learned
constexpr double kStart = 1000.0;                     // seconds
constexpr double kSecondsOfPhase = 7.0;
constexpr double kMeanSecondsBetweenLists = 0.8, kMeanSecondsBetweenWarnings = 2.0;
constexpr std::size_t kFewestReady = 3, kMostReplicas = 24;
constexpr std::uint64_t kKindsOfMachine = 3, kCellsOfZone = 2;

// What the clients and the replicas of one recording are like.
struct Traffic {
  double requests_a_second = 60.0;
  double wait = 0.25;               // mean seconds to the first event
  std::uint64_t fault_percent = 6;  // of attempts, in a quiet phase
  std::uint64_t prefix_percent = 40;
  std::uint64_t rare_prefix_percent = 20;  // of those with a prefix
  std::uint64_t kept_percent = 70;         // of answers whose replica still had the prefix
  std::uint64_t hint_percent = 10;
  double slower_by_kind = 1.0;  // each kind of machine takes so many times as long as the one before
  bool odd_figures = false;     // infinite, negative and missing ones among them
  bool tells_starts = true;
  double first_list = 0.0;  // seconds after the first requests
  std::size_t replicas = 10;
};

struct RecordingCase {
  const char* name;
  Settings (*settings)();
  Traffic traffic;
  std::uint64_t recorded;
};
void PrintTo(const RecordingCase& recording, std::ostream* out) { *out << recording.name; }

// Load and faults change with time, so that admission, hedging, retry budgets and ejection come and go.
struct Phase {
  double load, wait;
  std::uint64_t faults;
  bool zone_unreachable;
};
constexpr Phase kPhases[] = {
    {1.0, 1.0, 1, false}, {1.0, 3.0, 1, false}, {1.2, 1.0, 6, false},
    {3.0, 2.5, 2, false}, {0.3, 0.6, 0, false}, {1.0, 1.0, 1, true},
};

enum class Happening {
  request,
  accepted,
  response,
  on_client_disconnected,
  alarm,
  list,
  list_answer,
  warning
};

struct Scheduled {
  double at = 0.0;
  std::uint64_t order = 0;  // equal times: in the order in which they were scheduled
  Happening what = Happening::request;
  std::size_t router = 0;
  RequestId request = 0;
  std::uint32_t attempt = 0;
  Outcome outcome = Outcome::ok;
  std::uint64_t cookie = 0;
  bool operator>(const Scheduled& other) const {
    return at != other.at ? at > other.at : order > other.order;
  }
};

struct AttemptInHand {
  ReplicaId replica = 0;
  double sent = 0.0;
  bool out = true;
};

struct RequestInHand {
  std::size_t router = 0;
  std::uint32_t request_class = 0;
  double prefix_tokens = 0.0;
  bool over = false;
  int bound = -1;  // the attempt whose stream the client reads
  std::vector<AttemptInHand> attempts;
};

void add(RecordingHash& hash, const TimeInSystem& stay) {
  for (const double figure : {stay.in_flight_seconds, stay.arrivals, stay.in_flight, stay.updated_at})
    hash.add_figure(figure);
}
void add(RecordingHash& hash, const DecayingSum& decayed) {
  hash.add_figure(decayed.sum);
  hash.add_figure(decayed.updated_at);
}
void add(RecordingHash& hash, const std::vector<double>& figures) {
  hash.add(figures.size());
  for (const double figure : figures) hash.add_figure(figure);
}
void add(RecordingHash& hash, const std::vector<std::uint64_t>& ids) {
  hash.add(ids.size());
  for (const std::uint64_t id : ids) hash.add(id);
}
void add(RecordingHash& hash, const ReplicaStatistics& known) {
  for (const double figure : {known.health, known.health_updated_at, known.slow_start_tokens,
                              known.slow_start_updated_at, known.rejecting_until, known.unreachable_until}) {
    hash.add_figure(figure);
  }
  add(hash, known.time_in_system);
  hash.add(static_cast<std::uint64_t>(known.consecutive_connect_failures));
}

void add_tables(RecordingHash& hash, const LearnedState& learned) {
  for (const auto& [kind, size] : learned.largest_live_size) {
    hash.add(kind);
    hash.add_figure(size);
  }
  for (const auto& [kind, stay] : learned.time_in_system_by_kind) {
    hash.add(kind);
    add(hash, stay);
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
  for (const auto& [id, known] : learned.replicas) {
    hash.add(id);
    add(hash, known);
  }
}

void add(RecordingHash& hash, const LearnedState& learned) {
  add_tables(hash, learned);
  for (const FirstEventLatency& wait : learned.first_event_latency) {
    hash.add_figure(wait.mean);
    hash.add_figure(wait.mean_deviation);
  }
  for (const auto* figures : {&learned.mean_class_work, &learned.quota_tokens, &learned.quota_updated_at})
    add(hash, *figures);
  add(hash, learned.time_in_system);
  for (const auto* sum :
       {&learned.arrived_work, &learned.hot_window_work, &learned.late_answers, &learned.answers})
    add(hash, *sum);
  for (const double figure :
       {learned.started_at, learned.same_prefix_pairs, learned.all_pairs, learned.prefix_widening,
        learned.admitted_share, learned.own_zone_share, learned.mean_value, learned.mean_raw_work,
        learned.mean_prompt_tokens, learned.peak_fleet_size, learned.retry_tokens, learned.hedge_tokens}) {
    hash.add_figure(figure);
  }
  add(hash, learned.slots);
  add(hash, learned.own_zone_slots);
}

// The replicas as they are, and how lists tell them.
class SimulatedFleet {
 public:
  SimulatedFleet(const Settings& settings, const Traffic& traffic, SeededRandom& random)
      : settings_(settings), traffic_(traffic), random_(random) {
    for (std::size_t i = 0; i < traffic.replicas; ++i) join(random.one_in(2) ? 0.0 : kStart - 500.0);
    changed_.clear();
  }

  // One replica joins, drains, goes, comes back or starts anew.
  void change(double now) {
    const std::uint64_t roll = random_.below(10);
    if (roll < 4 && replicas_.size() < kMostReplicas) return join(now - random_.between(0.0, 3.0));
    Replica& replica = replicas_[random_.below(replicas_.size())];
    if (roll < 7 && replica.health == Health::ready) {
      if (ready() <= kFewestReady) return;
      replica.health = roll == 4 ? Health::gone : Health::draining;
    } else {
      if (replica.health != Health::draining || roll < 8)
        replica.started_at = start(now - random_.between(-0.5, 2.0));
      replica.health = Health::ready;
    }
    changed_.push_back(replica.id);
  }
  EndpointListChange tell(ListKind kind) {
    EndpointListChange change;
    change.kind = kind;
    change.version = ++version_;
    if (kind == ListKind::failed) return change;
    for (const Replica& replica : replicas_) {
      const bool changed = std::find(changed_.begin(), changed_.end(), replica.id) != changed_.end();
      if (kind == ListKind::delta ? changed : tells_whole(kind, replica))
        change.replicas.push_back(told(replica));
    }
    changed_.clear();
    std::erase_if(replicas_, [](const Replica& replica) { return replica.health == Health::gone; });
    return change;
  }
  ReplicaId any() { return replicas_[random_.below(replicas_.size())].id; }
  const Replica* find(ReplicaId id) const {
    const auto it = std::find_if(replicas_.begin(), replicas_.end(),
                                 [id](const Replica& replica) { return replica.id == id; });
    return it == replicas_.end() ? nullptr : &*it;
  }

 private:
  bool tells_whole(ListKind kind, const Replica& replica) {
    if (replica.health == Health::gone) return random_.one_in(2);
    // A cached list may be behind, but some replicas are always left.
    return kind == ListKind::full || ready() <= 2 * kFewestReady || !random_.one_in(8);
  }
  std::size_t ready() const {
    return static_cast<std::size_t>(
        std::count_if(replicas_.begin(), replicas_.end(),
                      [](const Replica& replica) { return replica.health == Health::ready; }));
  }
  double start(double at) const { return traffic_.tells_starts ? at : 0.0; }
  void join(double at) {
    Replica replica;
    replica.id = random_.bits();
    replica.zone = static_cast<std::uint32_t>(random_.below(static_cast<std::uint64_t>(settings_.zones)));
    replica.kind = static_cast<std::uint32_t>(random_.below(kKindsOfMachine));
    replica.cell = replica.zone * kCellsOfZone + static_cast<std::uint32_t>(random_.below(kCellsOfZone));
    replica.health = Health::ready;
    replica.size = 1.0 + replica.kind;
    replica.started_at = start(at);
    changed_.push_back(replica.id);
    replicas_.push_back(replica);
  }
  Replica told(const Replica& replica) {
    Replica entry = replica;
    if (settings_.weights == WeightSource::live) entry.size *= random_.between(0.3, 1.0);
    if (settings_.weights == WeightSource::rough) entry.size *= random_.between(0.8, 1.2);
    if (traffic_.odd_figures && random_.one_in(6)) {
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
    if (traffic_.first_list == 0.0) tell_list(ListKind::full);
    schedule(0.0, Happening::request);
    schedule(traffic_.first_list + kMeanSecondsBetweenLists, Happening::list);
    schedule(kMeanSecondsBetweenWarnings, Happening::warning);
  }

  std::uint64_t run() {
    for (std::size_t events = 0; events < kEventsOfRecording; ++events) {
      if (events == kFirstTakeover) take_over(true);
      if (events == kSecondTakeover) take_over(false);
      if (events % kEventsBetweenLooks == 0) hash_.add(routers_.back()->avoided(now_));
      if (events % kEventsBetweenLongLooks == 0) add(hash_, routers_.back()->learned());
      step();
    }
    for (const auto& router : routers_) add(hash_, router->learned());
    return hash_.value();
  }

 private:
  enum Tag : std::uint64_t { kAttempt = 1, kBusy, kFail, kStopAttempt, kSetAlarm, kObserve, kTakeover };

  // ---- the module's actions ----
  void attempt(RequestId id, ReplicaId replica, double attempt_timeout) override {
    record(kAttempt, id, replica);
    hash_.add_seconds(attempt_timeout);
    RequestInHand& request = requests_[id - 1];
    request.attempts.push_back({replica, now_, true});
    plan_attempt(id, static_cast<std::uint32_t>(request.attempts.size() - 1), attempt_timeout);
  }
  void reject(RequestId id, double retry_after) override {
    record(kBusy, id, 0);
    hash_.add_seconds(retry_after);
    requests_[id - 1].over = true;
  }
  void fail(RequestId id) override {
    record(kFail, id, 0);
    requests_[id - 1].over = true;
  }
  void stop_attempt(RequestId id, std::uint16_t attempt) override {
    record(kStopAttempt, id, attempt);
    schedule_end(0.001, id, attempt, Outcome::cancelled);
  }
  void set_timer(double span, std::uint64_t cookie) override {
    record(kSetAlarm, cookie, 0);
    hash_.add_seconds(span);
    Scheduled alarm;
    alarm.what = Happening::alarm;
    alarm.cookie = cookie;
    push(span, alarm);
  }
  void subscribe(bool on) override {
    record(kObserve, on, 0);
    schedule(random_.between(0.01, 0.3), Happening::list_answer);
  }
  void record(Tag tag, std::uint64_t first, std::uint64_t second) {
    hash_.add(tag);
    hash_.add(calling_);
    hash_.add(first);
    hash_.add(second);
  }

  // ---- time ----
  void push(double in, Scheduled happening) {
    happening.at = now_ + in;
    happening.order = ++scheduled_;
    happening.router = calling_;
    queue_.push(happening);
  }
  void schedule(double in, Happening what, RequestId request = 0, std::uint32_t attempt = 0) {
    Scheduled happening;
    happening.what = what;
    happening.request = request;
    happening.attempt = attempt;
    push(in, happening);
  }
  void schedule_end(double in, RequestId request, std::uint32_t attempt, Outcome outcome) {
    Scheduled happening;
    happening.what = Happening::response;
    happening.request = request;
    happening.attempt = attempt;
    happening.outcome = outcome;
    push(in, happening);
  }
  void step() {
    const Scheduled next = queue_.top();
    queue_.pop();
    now_ = next.at;
    switch (next.what) {
      case Happening::request:
        return take_request();
      case Happening::accepted:
        return take_accepted(next);
      case Happening::response:
        return take_response(next);
      case Happening::on_client_disconnected:
        return take_client_gone(next);
      case Happening::alarm:
        return router(next.router).on_timer(told_time(), next.cookie, *this);
      case Happening::list:
        return take_list_change();
      case Happening::list_answer:
        return tell_list(random_.percent(30) ? ListKind::failed : ListKind::full);
      case Happening::warning:
        return take_warning();
    }
  }
  // The module has to bear a clock that is read late.
  double told_time() { return random_.one_in(40) ? now_ - 0.25 : now_; }
  const Phase& phase() const {
    const auto passed = static_cast<std::size_t>((now_ - kStart) / kSecondsOfPhase);
    return kPhases[passed % std::size(kPhases)];
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
  // A new router takes what the last one has learned, after its first list or before it. The last one still
  // ends what it has begun.
  void take_over(bool list_first) {
    const LearnedState learned = routers_.back()->learned();
    add(hash_, learned);
    start_router();
    record(kTakeover, list_first, 0);
    if (list_first) tell_list(ListKind::full);
    LearnedState of_other_settings = learned;
    of_other_settings.first_event_latency.emplace_back();
    router(calling_).adopt(now_, of_other_settings, *this);  // to be passed over
    router(routers_.size() - 1).adopt(now_, learned, *this);
    if (!list_first) tell_list(ListKind::full);
    add(hash_, routers_.back()->learned());
  }

  // ---- clients ----
  void take_request() {
    requests_.emplace_back();
    const RequestId id = requests_.size();
    const NewRequest query = draw_query(id);
    requests_.back().router = routers_.size() - 1;
    requests_.back().request_class = std::min<std::uint32_t>(query.request_class, last_class());
    requests_.back().prefix_tokens = query.prefix_tokens;
    router(routers_.size() - 1).on_request(told_time(), query, *this);
    if (random_.one_in(50)) router(routers_.size() - 1).on_request(now_, query, *this);  // the same id again
    if (random_.one_in(25)) schedule(random_.between(0.0, 2.0), Happening::on_client_disconnected, id);
    schedule(random_.between(0.0, 2.0 / (traffic_.requests_a_second * phase().load)), Happening::request);
  }
  std::uint32_t last_class() const {
    return static_cast<std::uint32_t>(std::max<std::size_t>(settings_.classes.size(), 1) - 1);
  }
  NewRequest draw_query(RequestId id) {
    NewRequest query;
    query.id = id;
    query.request_class = static_cast<std::uint32_t>(random_.below(last_class() + 1));
    if (random_.one_in(200)) query.request_class += 100;  // no such class
    query.tenant = static_cast<std::uint32_t>(random_.below(settings_.tenants.size() + 1));
    if (random_.percent(70)) query.key = 1 + random_.below(400);
    query.deadline = now_ + random_.between(0.3, 5.0);
    if (random_.percent(traffic_.hint_percent)) query.hint = random_.between(1000.0, 400000.0);
    query.prompt_tokens = random_.between(20.0, random_.one_in(10) ? 9000.0 : 1500.0);
    query.output_cap = random_.between(1.0, 800.0);
    query.is_retry = random_.one_in(12);
    query.is_write = random_.one_in(5);
    query.resumed = random_.one_in(30);
    if (random_.one_in(6)) query.quota_status = static_cast<QuotaStatus>(random_.below(3));
    if (random_.percent(traffic_.prefix_percent)) draw_prefix(query);
    if (traffic_.odd_figures && random_.one_in(10)) make_odd(query);
    return query;
  }
  void draw_prefix(NewRequest& query) {
    if (random_.percent(traffic_.rare_prefix_percent)) {
      query.prefix_id = 1'000'000 + random_.below(1'000'000'000);
    } else if (random_.percent(60)) {
      query.prefix_id = 1 + random_.below(1 + random_.below(4));  // hot ones, the first the hottest
    } else {
      query.prefix_id = 100 + random_.below(60);
    }
    query.prefix_tokens = query.prompt_tokens * random_.between(0.2, 1.0);
  }
  void make_odd(NewRequest& query) {
    const double odd[] = {std::numeric_limits<double>::infinity(), std::numeric_limits<double>::quiet_NaN(),
                          -1.0, 0.0, 1e300};
    double* const figures[] = {&query.deadline, &query.hint, &query.prompt_tokens, &query.prefix_tokens};
    double& figure = *figures[random_.below(std::size(figures))];
    figure = odd[random_.below(std::size(odd))];
  }
  void take_client_gone(const Scheduled& next) {
    RequestInHand& request = requests_[next.request - 1];
    router(request.router).on_client_disconnected(told_time(), next.request, *this);
    if (request.over) return;
    request.over = true;
    for (std::uint32_t i = 0; i < request.attempts.size(); ++i) {
      schedule_end(random_.between(0.0, 0.02), next.request, i, Outcome::cancelled);
    }
  }

  // ---- replicas ----
  void plan_attempt(RequestId id, std::uint32_t attempt, double attempt_timeout) {
    const ReplicaId replica = requests_[id - 1].attempts[attempt].replica;
    const double wait = draw_wait(replica);
    if (const Outcome outcome = draw_outcome(replica); outcome != Outcome::ok) {
      return plan_fault(id, attempt, outcome, wait, attempt_timeout);
    }
    if (attempt_timeout > 0.0 && wait > attempt_timeout)
      return schedule_end(attempt_timeout, id, attempt, Outcome::timeout);
    const bool streamed =
        !settings_.classes.empty() && settings_.classes[requests_[id - 1].request_class].streamed;
    if (streamed) schedule(wait, Happening::accepted, id, attempt);
    const double rest = streamed ? random_.between(0.0, 6.0 * traffic_.wait) * slowness(replica) : 0.0;
    schedule_end(wait + rest, id, attempt, random_.one_in(40) ? Outcome::reset : Outcome::ok);
  }
  void plan_fault(RequestId id, std::uint32_t attempt, Outcome outcome, double wait, double attempt_timeout) {
    const double longest = attempt_timeout > 0.0 ? attempt_timeout : 0.8;
    const double in = outcome == Outcome::timeout                              ? longest
                      : outcome == Outcome::error || outcome == Outcome::reset ? std::min(wait, longest)
                                                                               : random_.between(0.002, 0.1);
    schedule_end(in, id, attempt, outcome);
  }
  double draw_wait(ReplicaId replica) {
    const double rare = random_.one_in(20) ? 4.0 : 1.0;
    return traffic_.wait * phase().wait * slowness(replica) * rare * random_.between(0.1, 1.0);
  }
  double slowness(ReplicaId replica) const {
    const Replica* known = fleet_.find(replica);
    const double of_kind = known == nullptr ? 1.0 : std::pow(traffic_.slower_by_kind, known->kind);
    return of_kind * (replica % 7 == 0 ? 5.0 : 1.0 + 0.5 * static_cast<double>(replica % 3));
  }
  Outcome draw_outcome(ReplicaId replica) {
    const Replica* known = fleet_.find(replica);
    const bool lost_zone =
        phase().zone_unreachable && known != nullptr &&
        known->zone == static_cast<std::uint32_t>((settings_.zone + 1) % std::max(settings_.zones, 1));
    if (lost_zone && (settings_.zones > 1 || replica % 5 == 0)) return Outcome::connect_failed;
    if (known == nullptr && random_.one_in(2)) return Outcome::connect_failed;
    const std::uint64_t of_replica = replica % 11 == 0 ? 5 : 1;
    if (!random_.percent(std::min<std::uint64_t>(traffic_.fault_percent * phase().faults * of_replica, 90)))
      return Outcome::ok;
    constexpr Outcome kFaults[] = {Outcome::error,          Outcome::error, Outcome::full,
                                   Outcome::timeout,        Outcome::reset, Outcome::connect_failed,
                                   Outcome::connect_failed, Outcome::full,  Outcome::cancelled,
                                   Outcome::inconclusive};
    return kFaults[random_.below(std::size(kFaults))];
  }
  void take_accepted(const Scheduled& next) {
    RequestInHand& request = requests_[next.request - 1];
    const AttemptInHand& attempt = request.attempts[next.attempt];
    if (!attempt.out) return;
    if (request.over || request.bound >= 0) return end_attempt(next, Outcome::cancelled);
    request.bound = static_cast<int>(next.attempt);
    FirstEvent accepted;
    accepted.id = next.request;
    accepted.attempt = next.attempt;
    accepted.replica = attempt.replica;
    accepted.latency = now_ - attempt.sent;
    router(request.router).on_first_event(told_time(), accepted, *this);
  }
  void take_response(const Scheduled& next) {
    const RequestInHand& request = requests_[next.request - 1];
    if (next.attempt >= request.attempts.size()) return;
    if (!request.attempts[next.attempt].out && !random_.one_in(20)) return;  // else: told twice
    const bool of_no_use =
        request.over || (request.bound >= 0 && request.bound != static_cast<int>(next.attempt));
    end_attempt(next, of_no_use && next.outcome == Outcome::ok ? Outcome::cancelled : next.outcome);
  }
  void end_attempt(const Scheduled& next, Outcome outcome) {
    RequestInHand& request = requests_[next.request - 1];
    AttemptInHand& attempt = request.attempts[next.attempt];
    attempt.out = false;
    if (outcome == Outcome::ok || request.bound == static_cast<int>(next.attempt)) request.over = true;
    AttemptResult response;
    response.id = next.request;
    response.attempt = next.attempt;
    response.replica = attempt.replica;
    response.outcome = outcome;
    response.latency = now_ - attempt.sent;
    response.closed = request.over;
    if (outcome == Outcome::ok && random_.percent(traffic_.kept_percent)) {
      response.cached_tokens = static_cast<std::uint32_t>(clamp_finite(request.prefix_tokens, 0.0, 1e6));
    }
    router(request.router).on_attempt_result(told_time(), response, *this);
  }

  // ---- lists, and what others say ----
  void take_list_change() {
    fleet_.change(now_);
    if (random_.one_in(10)) fleet_.change(now_);
    constexpr ListKind kKinds[] = {ListKind::delta, ListKind::delta,  ListKind::delta, ListKind::full,
                                   ListKind::full,  ListKind::cached, ListKind::failed};
    tell_list(kKinds[random_.below(std::size(kKinds))]);
    schedule(random_.between(0.0, 2.0 * kMeanSecondsBetweenLists), Happening::list);
  }
  void tell_list(ListKind kind) {
    const EndpointListChange change = fleet_.tell(kind);
    for (std::size_t i = 0; i < routers_.size(); ++i) router(i).on_endpoint_list(now_, change, *this);
  }
  void take_warning() {
    const std::size_t newest = routers_.size() - 1;
    const double span = random_.between(-1.0, 14.0);
    const ReplicaId replica = random_.one_in(10) ? 1 : fleet_.any();
    routers_[newest]->on_health_warning(now_, replica, span);
    HealthCheckResult pong;
    pong.replica = fleet_.any();
    pong.outcome = static_cast<Outcome>(random_.below(8));
    router(newest).on_health_check_result(now_, pong, *this);
    router(newest).on_gossip(now_, 1, "said by a peer", *this);
    tell_of_unknown(newest);
    schedule(random_.between(0.0, 2.0 * kMeanSecondsBetweenWarnings), Happening::warning);
  }
  // Ids that were never given out, or are over: to be passed over.
  void tell_of_unknown(std::size_t newest) {
    FirstEvent accepted;
    accepted.id = random_.one_in(2) ? requests_.size() + 1'000'000 : 1;
    accepted.attempt = 40;
    router(newest).on_first_event(now_, accepted, *this);
    AttemptResult response;
    response.id = accepted.id;
    response.attempt = 40;
    router(newest).on_attempt_result(now_, response, *this);
    router(newest).on_client_disconnected(now_, accepted.id, *this);
    router(newest).on_timer(now_, requests_.size() + 1'000'000, *this);
  }

  const Settings settings_;
  const Traffic traffic_;
  SeededRandom random_;
  SimulatedFleet fleet_;
  RecordingHash hash_;
  std::vector<std::unique_ptr<Balancer>> routers_;  // the newest last
  std::size_t calling_ = 0;                         // the router that is called now
  std::vector<RequestInHand> requests_;             // by id, from 1
  std::priority_queue<Scheduled, std::vector<Scheduled>, std::greater<>> queue_;
  std::uint64_t scheduled_ = 0;
  double now_ = kStart;
};

// ---- settings ---------------------------------------------------------------------------------------------

ClassSettings a_class(Semantics semantics, IdempotencyScope idempotency_scope = IdempotencyScope::all,
                      double latency_objective = 1.0) {
  ClassSettings c;
  c.latency_objective = latency_objective;
  c.semantics = semantics;
  c.idempotency_scope = idempotency_scope;
  c.streamed = true;
  return c;
}

Settings safe_with_hedging() {
  Settings s;
  s.classes = {a_class(Semantics::idempotent)};
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
  s.classes.push_back(a_class(Semantics::idempotent, IdempotencyScope::all, 0.5));
  s.classes[1].streamed = false;
  s.classes[1].late_value = 0.3;
  return s;
}
Settings keyed_groups() {
  Settings s = safe_with_hedging();
  s.classes = {a_class(Semantics::idempotency_key),
               a_class(Semantics::idempotency_key, IdempotencyScope::zone),
               a_class(Semantics::idempotency_key, IdempotencyScope::cell)};
  for (ClassSettings& c : s.classes) c.key_ttl = 1.2;
  s.zones = 2;
  s.dial_timeout = 0.2;
  return s;
}
Settings unsafe_and_safe() {
  Settings s = safe_with_hedging();
  s.classes = {a_class(Semantics::not_idempotent), a_class(Semantics::idempotent, IdempotencyScope::all, 0.6),
               a_class(Semantics::idempotency_key, IdempotencyScope::zone)};
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
  s.classes.push_back(a_class(Semantics::idempotent, IdempotencyScope::all, 2.0));
  s.classes[1].priority_weight = 5.0;
  s.classes[1].late_value = 0.5;
  s.priority_weight_by_work = true;
  return s;
}
Settings overload_with_retry_after() {
  Settings s = safe_with_hedging();
  s.classes.push_back(a_class(Semantics::idempotency_key, IdempotencyScope::cell, 0.4));
  s.classes[1].priority_weight = 0.3;
  s.retry_after = true;
  s.max_retry_after = 2.0;
  return s;
}
Settings asks_for_the_list() {
  Settings s = safe_with_hedging();
  s.list_on_request = true;
  s.must_ask_in = 1.0;
  return s;
}
Settings told_the_list() {
  Settings s = asks_for_the_list();
  s.list_pushed = true;
  s.max_attempts = 2;
  s.must_ask_in = 0.0;
  return s;
}
Settings out_of_bounds() {
  Settings s = safe_with_hedging();
  s.classes[0].latency_objective = std::numeric_limits<double>::quiet_NaN();
  s.classes.push_back(a_class(Semantics::idempotent, IdempotencyScope::all, 1e9));
  s.classes[1].latency_objective_per_1000_tokens = 1e6;
  s.classes.push_back(a_class(Semantics::idempotent));
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
  t.kept_percent = 98;
  return t;
}
Traffic with_uneven_machines() {
  Traffic t;
  t.slower_by_kind = 8.0;
  t.wait = 0.03;
  return t;
}
Traffic with_rare_prefixes() {
  Traffic t;
  t.prefix_percent = 100;
  t.rare_prefix_percent = 95;
  t.requests_a_second = 400.0;
  t.wait = 0.03;
  return t;
}
Traffic without_starts() {
  Traffic t;
  t.tells_starts = false;
  return t;
}
Traffic heavy() {
  Traffic t;
  t.requests_a_second = 150.0;
  t.wait = 0.35;
  t.hint_percent = 60;
  return t;
}
Traffic sparse() {  // few requests at each router: cold starts are then guarded otherwise
  Traffic t;
  t.requests_a_second = 4.0;
  t.replicas = 20;
  return t;
}
Traffic with_a_late_list() {
  Traffic t;
  t.first_list = 4.0;
  return t;
}
Traffic with_odd_figures() {
  Traffic t;
  t.odd_figures = true;
  return t;
}

// ---- the recording ----------------------------------------------------------------------------------------

const RecordingCase kRecordings[] = {
    {"safe_with_hedging", safe_with_hedging, usual(), 0xe4b10dfdaa48e640},
    {"safe_without_hedging", safe_without_hedging, usual(), 0x4a60bb1c533810d5},
    {"keyed_groups", keyed_groups, usual(), 0x618c81db92064731},
    {"unsafe_and_safe", unsafe_and_safe, usual(), 0x2f846fbe7366b1b7},
    {"zones_with_price", zones_with_price, usual(), 0x51af603961efb87a},
    {"zones_at_least_price", zones_at_least_price, usual(), 0xef969ee38decbd38},
    {"zones_without_price", zones_without_price, usual(), 0x4623364d31b4c17a},
    {"live_weights", live_weights, with_hot_prefixes(), 0x9cbb3c3f42f38713},
    {"fixed_slots", fixed_slots, without_starts(), 0xa0b2ad71997d8100},
    {"tenants_with_quotas", tenants_with_quotas, heavy(), 0xd5f664d542df30f1},
    {"overload_with_retry_after", overload_with_retry_after, heavy(), 0x80876bb21520a559},
    {"asks_for_the_list", asks_for_the_list, usual(), 0xffb26f019ca24453},
    {"told_the_list", told_the_list, usual(), 0xdbb3e171404e5127},
    {"rare_prefixes", safe_with_hedging, with_rare_prefixes(), 0x6e4060f5982b1063},
    {"uneven_machines", safe_with_hedging, with_uneven_machines(), 0x8b3a8ecb86854fa4},
    {"few_requests", safe_with_hedging, sparse(), 0x68771d566e85b440},
    {"list_comes_late", safe_without_hedging, with_a_late_list(), 0xdd24c4dcf0fea51d},
    {"out_of_bounds", out_of_bounds, with_odd_figures(), 0xd3bb72d3346ad055},
};

class DecisionRecording : public testing::TestWithParam<RecordingCase> {};

TEST_P(DecisionRecording, EqualsTheRecordedOne) {
  constexpr std::uint64_t kSeed = 20;
  SimulatedHost host(GetParam(), kSeed);
  EXPECT_EQ(host.run(), GetParam().recorded)
      << "the module decides otherwise than when this was recorded: see the comment at the head of this file";
}

INSTANTIATE_TEST_SUITE_P(Settings, DecisionRecording, testing::ValuesIn(kRecordings),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace flintglade::policy
