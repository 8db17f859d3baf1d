#include "policy/slow_start.h"

#include <algorithm>

namespace flintglade::policy {
namespace {

// A cold replica gets this fraction of the load at which it fails; the rest is a margin for the estimation
// errors of all routers.
constexpr double kBudgetFraction = 0.5;
// The capacity of the bucket, as a fraction of the time for which a replica must be overloaded to fail.
constexpr double kBurstFraction = 0.5;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void SlowStart::on_replica_started(int index, double now) {
  ReplicaState& state = replicas_[index];
  // Many routers learn of a start at the same time. Each begins with a random fraction of one request's
  // budget, so that their first requests do not arrive as one burst. A router whose budget allows less than
  // one request within fall_s begins with a whole one: it sends requests too rarely to add to a burst.
  state.slow_start_updated_at = now;
  const auto moment = static_cast<std::uint64_t>(now * kMicrosecondsPerSecond);
  state.slow_start_tokens =
      gets_few_requests(state, now) ? 1.0 : unit_interval(mix(random_.seed, state.replica.id ^ moment));
}

double SlowStart::warm_share(const ReplicaState& state, double now) const {
  const double age = now - state.replica.started_at;
  if (state.replica.started_at == 0.0 || age >= settings_.cold_s) return 1.0;
  return settings_.cold_from + (1.0 - settings_.cold_from) * age / settings_.cold_s;
}

// In mean requests per second.
double SlowStart::budget_rate(const ReplicaState& state, double size, double now) const {
  return kBudgetFraction * settings_.fall_multiple * warm_share(state, now) *
         ratio_or_zero(work_.arrival_rate(now) * size, learned_.peak_fleet_size);
}

// Whether the budget allows less than one request within fall_s, the time after which an overloaded replica
// fails.
bool SlowStart::gets_few_requests(const ReplicaState& state, double now) const {
  return budget_rate(state, fleet_.mean_size(), now) * settings_.fall_s < 1.0;
}

bool SlowStart::allows(const Request& request, int index, double now) {
  const ReplicaState& state = replicas_[index];
  if (warm_share(state, now) >= 1.0) return true;
  // If most replicas are cold or have left, the remaining ones attract more than their usual share of the
  // requests: only a fraction of these is allowed.
  const double allowed_fraction =
      kBudgetFraction * settings_.fall_multiple * ratio_or_zero(fleet_.warm_size, learned_.peak_fleet_size);
  if (gets_few_requests(state, now) &&
      unit_interval(mix(request.received.id, state.replica.id ^ random_.seed)) > allowed_fraction)
    return false;
  return refill(request, index, now);
}

void SlowStart::spend(const Request& request, int index, double now) {
  if (warm_share(replicas_[index], now) >= 1.0) return;
  if (refill(request, index, now)) replicas_[index].slow_start_tokens -= request.work;
}

// Refills the bucket for the time since the last refill. Returns whether it covers the request.
bool SlowStart::refill(const Request& request, int index, double now) {
  ReplicaState& state = replicas_[index];
  const double rate = budget_rate(state, capacity_.size(index), now);
  const double max_tokens = std::max(1.0, rate * settings_.fall_s * kBurstFraction);
  state.slow_start_tokens =
      std::min(max_tokens, state.slow_start_tokens + rate * (now - state.slow_start_updated_at));
  state.slow_start_updated_at = now;
  // Light requests need a whole token too. Otherwise the random initial budgets of all routers would be spent
  // at once, as a burst of light requests right after the start.
  return state.slow_start_tokens >= std::min(std::max(1.0, request.work), max_tokens);
}

}  // namespace flintglade::policy
