// The decision module: takes the host's events, keeps the requests in hand, and puts the module's parts in
// order. It decides nothing that another file of this folder could. Interface, threading and units:
// include/flintglade/policy/balancer.h
//
// The way of a request: request_work and tenant_quotas measure it, hot_prefixes chooses its key, admission
// may reject it, replica_picker finds the replica of its next attempt (replica_capacity, slow_start,
// outlier_detection, replica_load and zone_preference decline), held_requests says how long it waits for one,
// hedging and retry_rules say when a further attempt may go out. docs/design.md explains each rule.
#include "flintglade/policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <utility>

#include "policy/admission.h"
#include "policy/endpoint_list_polling.h"
#include "policy/fleet_monitor.h"
#include "policy/hedging.h"
#include "policy/held_requests.h"
#include "policy/hot_prefixes.h"
#include "policy/learned_state.h"
#include "policy/outlier_detection.h"
#include "policy/replica_capacity.h"
#include "policy/replica_load.h"
#include "policy/replica_picker.h"
#include "policy/replica_table.h"
#include "policy/request.h"
#include "policy/request_work.h"
#include "policy/retry_budget.h"
#include "policy/retry_rules.h"
#include "policy/settings_validation.h"
#include "policy/slow_start.h"
#include "policy/tenant_quotas.h"
#include "policy/time_windows.h"
#include "policy/timer_cookie.h"
#include "policy/zone_preference.h"

namespace flintglade::policy {
namespace {

constexpr double kMaxDeadlineS = 4000.0;  // from now; longer than any hard limit
constexpr double kMaxTokens = 1e9;
constexpr double kTimerSlackS = 1e-6;  // a timer this early counts as on time
// A replica is avoided when it keeps less than this part of the keys that it would keep if it answered well.
constexpr double kAvoidedShare = 0.5;

// Whether an attempt with this outcome may have had an effect.
bool may_have_run(Outcome outcome) {
  return outcome != Outcome::full && outcome != Outcome::connect_failed && outcome != Outcome::moot;
}
// Whether the replica failed for another reason than load.
bool is_fault(Outcome outcome) {
  return outcome == Outcome::error || outcome == Outcome::connect_failed || outcome == Outcome::reset;
}
// Whether the attempt stayed at the replica until its answer, or until this router gave it up.
bool ran_to_completion(Outcome outcome) {
  return outcome == Outcome::ok || outcome == Outcome::cancelled || outcome == Outcome::timeout;
}

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, double now)
      : settings_(within_bounds(std::move(settings))), random_{seed}, now_(now) {
    learned_.started_at = now;
  }

  // Takes the time and the sink of the event that follows. Time never runs backwards.
  Impl& begin(double now, ActionSink& sink) {
    if (std::isfinite(now)) now_ = std::max(now_, now);
    sink_ = &sink;
    return *this;
  }

  void on_endpoint_list(const EndpointListChange& change);
  void on_request(const NewRequest& received);
  void on_first_event(const FirstEvent& event);
  void on_attempt_result(const AttemptResult& result);
  void on_client_disconnected(RequestId id);
  void on_timer(std::uint64_t cookie);
  void on_health_warning(double now, ReplicaId id, double duration_s);
  std::size_t avoided(double now) const;
  LearnedState learned() const;
  void adopt(LearnedState from);

 private:
  // An attempt together with its request; empty if either is unknown.
  struct AttemptRef {
    Request* request = nullptr;
    Attempt* attempt = nullptr;
  };

  // Replicas.
  void on_replicas_changed();
  void update_fleet_if_old();

  // The steps of a request.
  void advance(Request& request);
  bool may_advance(const Request& request) const;
  void hold_or_give_up(Request& request);
  void send(Request& request, int index);
  void on_hedge_timer(Request& request);
  void give_up(Request& request);
  void reject_or_fail(Request& request);
  void finish(Request& request);
  void erase_if_done(Request& request);
  bool attempts_left(const Request& request) const;

  // Answers and outcomes.
  AttemptRef find_attempt(RequestId id, std::uint32_t number);
  void cancel_silent_attempts(Request& request, const Attempt& answered);
  void record_load(const Attempt& attempt, Outcome outcome);
  void record_success(const Request& request, const Attempt& attempt, double cached_tokens);
  void record_answer(const Request& request, bool late);
  bool is_late(const Request& request) const { return now_ - request.arrived_at > request.latency_objective; }

  Settings settings_;
  RandomState random_;
  double now_;  // seconds; of the latest event
  ActionSink* sink_ = nullptr;
  LearnedState learned_;
  const TimeWindows windows_ = time_windows(settings_);
  FleetSummary fleet_;
  ReplicaTable replicas_;
  std::unordered_map<RequestId, Request> requests_;  // looked up only, never walked: its order is not defined

  EndpointListPolling list_polling_{settings_, random_};
  RequestWork work_{learned_, windows_.load_s};
  TenantQuotas quotas_{settings_, learned_, windows_.load_s, now_};
  Admission admission_{settings_, learned_, windows_.load_s};
  RetryBudget retry_budget_{learned_};
  Hedging hedging_{settings_, learned_, admission_};
  ReplicaCapacity capacity_{settings_, replicas_, learned_};
  ReplicaLoad load_{replicas_, learned_, capacity_, fleet_, windows_.load_s};
  OutlierDetection outliers_{replicas_, learned_, fleet_, random_, windows_.longest_hard_limit_s};
  SlowStart slow_start_{settings_, replicas_, learned_, capacity_, work_, fleet_, random_};
  FleetMonitor fleet_monitor_{settings_, replicas_,   learned_, capacity_,      load_,
                              outliers_, slow_start_, fleet_,   windows_.load_s};
  ZonePreference zones_{settings_, learned_};
  HotPrefixes hot_prefixes_{learned_, fleet_, zones_, random_, windows_.load_s};
  ReplicaPicker picker_{settings_, replicas_, capacity_, load_, outliers_, slow_start_, zones_};
};

// Replicas and the endpoint list.

void Balancer::Impl::on_endpoint_list(const EndpointListChange& change) {
  list_polling_.on_list(change.kind, *sink_);
  if (change.kind == ListKind::failed) return;  // the last list stays in force
  if (change.kind != ListKind::delta) replicas_.mark_all_gone();
  for (const Replica& entry : change.replicas) {
    const auto [index, started] = replicas_.apply(entry, now_);
    if (!started) continue;
    outliers_.on_replica_started(index, now_);
    slow_start_.on_replica_started(index, now_);
  }
  on_replicas_changed();
}

void Balancer::Impl::on_replicas_changed() {
  capacity_.update(now_);
  picker_.update_slots();
  fleet_monitor_.invalidate();
}

void Balancer::Impl::update_fleet_if_old() {
  if (!fleet_monitor_.update_if_old(now_)) return;
  zones_.update(fleet_, work_.arrival_rate(now_), quotas_.total_per_s());
}

void Balancer::Impl::on_health_warning(double now, ReplicaId id, double duration_s) {
  const int index = replicas_.find(id);
  if (index < 0) return;
  outliers_.record_warning(index, duration_s, now);
  fleet_monitor_.invalidate();
}

std::size_t Balancer::Impl::avoided(double now) const {
  return std::count_if(replicas_.begin(), replicas_.end(), [now, this](const ReplicaState& state) {
    if (!state.ready()) return false;
    if (outliers_.is_unreachable(state, now_) || now < state.rejecting_until) return true;
    const double warm_share = slow_start_.warm_share(state, now_);
    return outliers_.kept_share(state, warm_share, now_) < kAvoidedShare * warm_share;
  });
}

// Hot restart.

LearnedState Balancer::Impl::learned() const {
  LearnedState out = learned_;
  for (const ReplicaState& state : replicas_) {
    if (state.replica.health != Health::gone) out.replicas[state.replica.id] = state;
  }
  // Appended to what adopt() left there.
  picker_.append_slot_ids(out.slots);
  picker_.append_own_zone_slot_ids(out.own_zone_slots);
  return out;
}

// All but what is in flight: that is counted where it was sent.
void Balancer::Impl::adopt(LearnedState from) {
  if (from.first_event_latency.size() != settings_.classes.size() ||
      from.quota_updated_at.size() != settings_.tenants.size())
    return;
  from.time_in_system.in_flight = learned_.time_in_system.in_flight;
  for (auto& [kind, statistics] : from.time_in_system_by_kind)
    statistics.in_flight = learned_.time_in_system_by_kind[kind].in_flight;
  for (auto& [id, statistics] : from.replicas) {
    const int index = replicas_.find(id);
    if (index < 0) continue;
    statistics.time_in_system.in_flight = replicas_[index].time_in_system.in_flight;
    static_cast<ReplicaStatistics&>(replicas_[index]) = statistics;
  }
  picker_.restore_slots(from.slots, from.own_zone_slots);
  learned_ = std::move(from);
  on_replicas_changed();
}

// The steps of a request.

void Balancer::Impl::on_request(const NewRequest& received) {
  const auto [entry, is_new] = requests_.try_emplace(received.id);
  if (!is_new) return;
  Request& request = entry->second;
  request.received = received;
  request.received.deadline = clamp_finite(received.deadline, now_, now_ + kMaxDeadlineS);
  request.received.prompt_tokens = clamp_finite(received.prompt_tokens, 0.0, kMaxTokens);
  request.received.prefix_tokens = clamp_finite(received.prefix_tokens, 0.0, kMaxTokens);
  request.class_index = std::min<std::size_t>(received.request_class, settings_.classes.size() - 1);
  request.arrived_at = now_;
  const ClassSettings& request_class = class_of(request, settings_);
  request.latency_objective =
      request_class.latency_objective +
      request_class.latency_objective_per_1000_tokens * request.received.prompt_tokens / 1000.0;
  work_.measure(request, now_);
  quotas_.charge(request, now_);
  hot_prefixes_.choose_key(request, now_);
  sink_->set_timer(std::max(0.0, request.received.deadline - now_),
                   timer_cookie(TimerKind::deadline, received.id));
  retry_budget_.on_new_request();
  hedging_.on_new_request();
  if (admission_.rejects(request, unit_interval(mix(random_.seed, received.id))))
    return reject_or_fail(request);
  advance(request);
}

// The next step of a request that is neither over nor streaming: an attempt, a wait, or the final answer.
void Balancer::Impl::advance(Request& request) {
  if (!may_advance(request)) {
    if (!any_in_flight(request)) give_up(request);
    return;
  }
  update_fleet_if_old();
  const int index = picker_.pick(request, now_);
  if (index >= 0) {
    if (!request.attempts.empty()) retry_budget_.spend();
    return send(request, index);
  }
  if (!any_in_flight(request)) hold_or_give_up(request);
}

bool Balancer::Impl::may_advance(const Request& request) const {
  if (now_ >= request.received.deadline) return false;
  if (!may_send(request, class_of(request, settings_), settings_, now_)) return false;
  return request.attempts.empty() || !retry_budget_.exhausted();
}

// Nothing may take it now: no replica is ready, or those left are in slow start with their budgets spent. It
// is held while that can change. Once every ready replica has been tried, nothing can change for it.
void Balancer::Impl::hold_or_give_up(Request& request) {
  const double until = held_until(request, class_of(request, settings_));
  const bool tried_all = !request.attempts.empty() && !picker_.any_candidate_left(request);
  if (now_ >= until || tried_all) return give_up(request);
  sink_->set_timer(held_retry_delay(request, until, now_),
                   timer_cookie(TimerKind::held_request, request.received.id));
}

void Balancer::Impl::send(Request& request, int index) {
  slow_start_.spend(request, index, now_);
  load_.on_attempt_sent(index, now_);
  request.attempts.push_back(Attempt{.replica_index = index, .sent_at = now_});
  const double time_left = request.received.deadline - now_;
  const bool idempotent = class_of(request, settings_).semantics != Semantics::not_idempotent;
  const bool may_hedge = settings_.may_duplicate && idempotent;
  double allow_for = 0.0;
  // Where no hedged request is allowed, a silent replica is given up in time for another one.
  if (!may_hedge && idempotent && attempts_left(request) && hedging_.allowed(now_))
    allow_for = std::min(time_left, hedging_.delay(request));
  sink_->attempt(request.received.id, replicas_[index].replica.id, allow_for);
  if (may_hedge && attempts_left(request)) {
    sink_->set_timer(std::min(time_left, hedging_.delay(request)),
                     timer_cookie(TimerKind::hedge, request.received.id));
  }
}

bool Balancer::Impl::attempts_left(const Request& request) const {
  return static_cast<int>(request.attempts.size()) < settings_.max_attempts;
}

void Balancer::Impl::on_timer(std::uint64_t cookie) {
  const TimerKind kind = timer_kind(cookie);
  if (kind == TimerKind::endpoint_list) return list_polling_.on_timer(*sink_);
  const auto found = requests_.find(timer_request(cookie));
  if (found == requests_.end() || found->second.over || found->second.streaming) return;
  Request& request = found->second;
  if (kind == TimerKind::hedge) return on_hedge_timer(request);
  if (kind == TimerKind::held_request) {
    if (!any_in_flight(request)) advance(request);
    return;
  }
  if (now_ < request.received.deadline - kTimerSlackS)
    return sink_->set_timer(request.received.deadline - now_, cookie);  // it expired early
  // Each request gets its final answer by its own deadline, whatever its attempts do.
  give_up(request);
}

void Balancer::Impl::on_hedge_timer(Request& request) {
  int in_flight = 0;
  for (const Attempt& attempt : request.attempts) {
    if (!attempt.in_flight) continue;
    ++in_flight;
    outliers_.record_silence(attempt.replica_index, now_);
  }
  const bool worthless = now_ >= worthless_after(request, class_of(request, settings_));
  if (in_flight != 1 || worthless || !hedging_.allowed(now_)) return;
  hedging_.spend();
  advance(request);
}

void Balancer::Impl::on_client_disconnected(RequestId id) {
  const auto found = requests_.find(id);
  if (found != requests_.end() && !found->second.over) finish(found->second);
}

// The final answer for a request that no replica answered.
void Balancer::Impl::give_up(Request& request) {
  // Faulty replicas and such out of reach tell nothing of load: fewer requests would not have helped.
  const auto is_faulty = [](const Attempt& attempt) { return attempt.faulty; };
  const bool by_load = request.attempts.empty()
                           ? fleet_.ready > 0.0
                           : !std::all_of(request.attempts.begin(), request.attempts.end(), is_faulty);
  if (by_load) record_answer(request, true);
  reject_or_fail(request);
}

void Balancer::Impl::reject_or_fail(Request& request) {
  const double retry_after =
      settings_.retry_after ? std::min(settings_.max_retry_after, request.latency_objective) : 0.0;
  if (may_reject(request, class_of(request, settings_))) {
    sink_->reject(request.received.id, retry_after);
  } else {
    sink_->fail(request.received.id);
  }
  finish(request);
}

void Balancer::Impl::finish(Request& request) {
  request.over = true;
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& attempt = request.attempts[i];
    if (attempt.in_flight && !attempt.has_first_event && settings_.may_cancel)
      sink_->stop_attempt(request.received.id, static_cast<std::uint16_t>(i));
  }
  erase_if_done(request);
}

void Balancer::Impl::erase_if_done(Request& request) {
  if (request.over && !any_in_flight(request)) requests_.erase(request.received.id);
}

// Answers and outcomes.

Balancer::Impl::AttemptRef Balancer::Impl::find_attempt(RequestId id, std::uint32_t number) {
  const auto found = requests_.find(id);
  if (found == requests_.end() || number >= found->second.attempts.size()) return {};
  return {&found->second, &found->second.attempts[number]};
}

void Balancer::Impl::on_first_event(const FirstEvent& event) {
  const auto [request, attempt] = find_attempt(event.id, event.attempt);
  if (attempt == nullptr || attempt->has_first_event) return;
  attempt->has_first_event = true;
  attempt->first_event_latency = now_ - attempt->sent_at;
  outliers_.record_reached(attempt->replica_index);
  request->streaming = true;
  hedging_.on_first_event(*request, attempt->first_event_latency);
  outliers_.record_latency(*request, *attempt, now_);
  record_answer(*request, is_late(*request));
  cancel_silent_attempts(*request, *attempt);
}

void Balancer::Impl::cancel_silent_attempts(Request& request, const Attempt& answered) {
  for (std::size_t i = 0; i < request.attempts.size(); ++i) {
    const Attempt& other = request.attempts[i];
    if (!other.in_flight || other.has_first_event) continue;
    if (other.sent_at < answered.sent_at)  // a later attempt overtook it
      outliers_.record_latency(request, other, now_);
    if (settings_.may_cancel) sink_->stop_attempt(request.received.id, static_cast<std::uint16_t>(i));
  }
}

void Balancer::Impl::on_attempt_result(const AttemptResult& result) {
  const auto [request, attempt] = find_attempt(result.id, result.attempt);
  if (attempt == nullptr || !attempt->in_flight) return;
  attempt->in_flight = false;
  attempt->may_have_run = may_have_run(result.outcome);
  attempt->faulty = is_fault(result.outcome);
  record_load(*attempt, result.outcome);
  if (result.outcome == Outcome::ok) record_success(*request, *attempt, result.note);
  // What follows a time-out before the deadline stands for a hedged request.
  if (result.outcome == Outcome::timeout && now_ < request->received.deadline) hedging_.spend();
  outliers_.record_outcome(attempt->replica_index, result.outcome, now_);
  if (result.outcome == Outcome::connect_failed) fleet_monitor_.invalidate();
  if (result.closed) return finish(*request);
  if (request->over) return erase_if_done(*request);
  if (!request->streaming && !any_in_flight(*request)) advance(*request);
}

void Balancer::Impl::record_load(const Attempt& attempt, Outcome outcome) {
  if (ran_to_completion(outcome)) {
    load_.on_attempt_completed(attempt.replica_index, now_);
  } else {
    load_.on_attempt_failed(attempt.replica_index, now_, attempt.sent_at);
  }
}

void Balancer::Impl::record_success(const Request& request, const Attempt& attempt, double cached_tokens) {
  const std::uint32_t kind = replicas_[attempt.replica_index].replica.kind;
  const double latency = attempt.has_first_event ? attempt.first_event_latency : now_ - attempt.sent_at;
  learned_.prefill_costs[kind].add(latency, request.received.prompt_tokens - cached_tokens);
  hot_prefixes_.on_answer(request, cached_tokens);
  if (attempt.has_first_event) return;
  outliers_.record_latency(request, attempt, now_);
  record_answer(request, is_late(request));
}

void Balancer::Impl::record_answer(const Request& request, bool late) {
  if (zones_.active() && !request.attempts.empty()) {
    const Replica& replica = replicas_[request.attempts.back().replica_index].replica;
    zones_.on_answer(replica.zone, late, admission_.step(now_));
  }
  admission_.on_answer(now_, request, late);
}

// The public interface.

Balancer::Balancer(Settings settings, std::uint64_t seed, double now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::on_endpoint_list(double now, const EndpointListChange& change, ActionSink& sink) {
  impl_->begin(now, sink).on_endpoint_list(change);
}
void Balancer::on_request(double now, const NewRequest& request, ActionSink& sink) {
  impl_->begin(now, sink).on_request(request);
}
void Balancer::on_first_event(double now, const FirstEvent& event, ActionSink& sink) {
  impl_->begin(now, sink).on_first_event(event);
}
void Balancer::on_attempt_result(double now, const AttemptResult& result, ActionSink& sink) {
  impl_->begin(now, sink).on_attempt_result(result);
}
void Balancer::on_client_disconnected(double now, RequestId id, ActionSink& sink) {
  impl_->begin(now, sink).on_client_disconnected(id);
}
void Balancer::on_timer(double now, std::uint64_t cookie, ActionSink& sink) {
  impl_->begin(now, sink).on_timer(cookie);
}
void Balancer::on_health_check_result(double now, const HealthCheckResult&, ActionSink& sink) {
  impl_->begin(now, sink);
}
void Balancer::on_gossip(double now, std::uint32_t, std::string_view, ActionSink& sink) {
  impl_->begin(now, sink);
}
void Balancer::on_health_warning(double now, ReplicaId replica, double span) {
  impl_->on_health_warning(now, replica, span);
}
std::size_t Balancer::avoided(double now) const { return impl_->avoided(now); }
LearnedState Balancer::learned() const { return impl_->learned(); }
void Balancer::adopt(double now, LearnedState from, ActionSink& sink) {
  impl_->begin(now, sink).adopt(std::move(from));
}

}  // namespace flintglade::policy
