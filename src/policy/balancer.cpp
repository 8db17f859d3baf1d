// The decision module: advances its clock with each event and dispatches the event to its components. It
// makes no decisions itself. Interface, threading and units: include/flintglade/policy/balancer.h
//
// The path of a request (request_lifecycle): request_work and tenant_quotas measure it, hot_prefixes chooses
// its key, admission may reject it, replica_picker picks the replica of its next attempt (replica_capacity,
// slow_start, outlier_detection, replica_load and zone_preference may exclude replicas), held_requests
// determines how long it waits for one, hedging and retry_rules determine when another attempt may be sent,
// and outcome_recorder reports the outcome to the components. docs/design.md explains each rule.
#include "flintglade/policy/balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/learned_state.h"
#include "policy/modules.h"
#include "policy/request_lifecycle.h"
#include "policy/timer_cookie.h"

namespace flintglade::policy {
namespace {

// A replica is avoided when it keeps less than this fraction of the keys that it would keep if healthy.
constexpr double kAvoidedShare = 0.5;

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, double now)
      : modules_(std::move(settings), seed, now), requests_(modules_), now_(now) {}

  // Advances the clock to the time of an event. The clock never runs backwards.
  EventContext begin(double now, ActionSink& sink) {
    if (std::isfinite(now)) now_ = std::max(now_, now);
    return {now_, sink};
  }

  RequestLifecycle& requests() { return requests_; }

  void on_endpoint_list(const EndpointListChange& change, EventContext context);
  void on_timer(std::uint64_t cookie, EventContext context);
  void on_health_warning(double now, ReplicaId id, double duration_s);
  std::size_t avoided(double now) const;
  LearnedState learned() const;
  void adopt(LearnedState from, double now);

 private:
  void on_replicas_changed(double now);

  Modules modules_;
  RequestLifecycle requests_;
  double now_;  // seconds; of the latest event
};

void Balancer::Impl::on_endpoint_list(const EndpointListChange& change, EventContext context) {
  modules_.list_polling.on_list(change.kind, context.sink);
  if (change.kind == ListKind::failed) return;  // the previous list stays in effect
  if (change.kind != ListKind::delta) modules_.replicas.mark_all_gone();
  for (const Replica& entry : change.replicas) {
    const auto [index, started] = modules_.replicas.apply(entry, context.now);
    if (!started) continue;
    modules_.outliers.on_replica_started(index, context.now);
    modules_.slow_start.on_replica_started(index, context.now);
  }
  on_replicas_changed(context.now);
}

void Balancer::Impl::on_replicas_changed(double now) {
  modules_.capacity.update(now);
  modules_.picker.update_slots();
  modules_.fleet_monitor.invalidate();
}

void Balancer::Impl::on_timer(std::uint64_t cookie, EventContext context) {
  if (timer_kind(cookie) == TimerKind::endpoint_list)
    return modules_.list_polling.on_timer(timer_number(cookie), context.sink);
  requests_.on_timer(cookie, context);
}

void Balancer::Impl::on_health_warning(double now, ReplicaId id, double duration_s) {
  const int index = modules_.replicas.find(id);
  if (index < 0) return;
  modules_.outliers.record_warning(index, duration_s, now);
  modules_.fleet_monitor.invalidate();
}

std::size_t Balancer::Impl::avoided(double now) const {
  const auto is_avoided = [now, this](const ReplicaState& state) {
    if (!state.ready()) return false;
    if (modules_.outliers.is_unreachable(state, now_) || now < state.rejecting_until) return true;
    const double warm_share = modules_.slow_start.warm_share(state, now_);
    return modules_.outliers.kept_share(state, warm_share, now_) < kAvoidedShare * warm_share;
  };
  return std::count_if(modules_.replicas.begin(), modules_.replicas.end(), is_avoided);
}

LearnedState Balancer::Impl::learned() const {
  LearnedState out = modules_.learned;
  for (const ReplicaState& state : modules_.replicas) {
    if (state.replica.health != Health::gone) out.replicas[state.replica.id] = state;
  }
  modules_.picker.append_slot_ids(out.slots);
  modules_.picker.append_own_zone_slot_ids(out.own_zone_slots);
  return out;
}

// Adopts everything except the in-flight counts: the process that sent an attempt counts it.
void Balancer::Impl::adopt(LearnedState from, double now) {
  LearnedState& learned = modules_.learned;
  if (from.first_event_latency.size() != modules_.settings.classes.size() ||
      from.quota_updated_at.size() != modules_.settings.tenants.size())
    return;
  from.time_in_system.in_flight = learned.time_in_system.in_flight;
  for (auto& [kind, statistics] : from.time_in_system_by_kind)
    statistics.in_flight = learned.time_in_system_by_kind[kind].in_flight;
  for (auto& [id, statistics] : from.replicas) {
    const int index = modules_.replicas.find(id);
    if (index < 0) continue;
    ReplicaStatistics& known = modules_.replicas[index];
    statistics.time_in_system.in_flight = known.time_in_system.in_flight;
    known = statistics;
  }
  modules_.picker.restore_slots(from.slots, from.own_zone_slots);
  from.slots.clear();  // from here on the picker has them
  from.own_zone_slots.clear();
  learned = std::move(from);
  on_replicas_changed(now);
}

// The public interface.

Balancer::Balancer(Settings settings, std::uint64_t seed, double now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::on_endpoint_list(double now, const EndpointListChange& change, ActionSink& sink) {
  impl_->on_endpoint_list(change, impl_->begin(now, sink));
}
void Balancer::on_request(double now, const NewRequest& request, ActionSink& sink) {
  impl_->requests().on_request(request, impl_->begin(now, sink));
}
void Balancer::on_first_event(double now, const FirstEvent& event, ActionSink& sink) {
  impl_->requests().on_first_event(event, impl_->begin(now, sink));
}
void Balancer::on_attempt_result(double now, const AttemptResult& result, ActionSink& sink) {
  impl_->requests().on_attempt_result(result, impl_->begin(now, sink));
}
void Balancer::on_client_disconnected(double now, RequestId id, ActionSink& sink) {
  impl_->requests().on_client_disconnected(id, impl_->begin(now, sink));
}
void Balancer::on_timer(double now, std::uint64_t cookie, ActionSink& sink) {
  impl_->on_timer(cookie, impl_->begin(now, sink));
}
void Balancer::on_health_check_result(double now, const HealthCheckResult&, ActionSink& sink) {
  impl_->begin(now, sink);
}
void Balancer::on_gossip(double now, std::uint32_t, std::string_view, ActionSink& sink) {
  impl_->begin(now, sink);
}
void Balancer::on_health_warning(double now, ReplicaId replica, double duration) {
  impl_->on_health_warning(now, replica, duration);
}
std::size_t Balancer::avoided(double now) const { return impl_->avoided(now); }
LearnedState Balancer::learned() const { return impl_->learned(); }
void Balancer::adopt(double now, LearnedState from, ActionSink& sink) {
  const EventContext context = impl_->begin(now, sink);
  impl_->adopt(std::move(from), context.now);
}

}  // namespace flintglade::policy
