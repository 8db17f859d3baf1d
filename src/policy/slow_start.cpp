#include "policy/slow_start.h"

#include <algorithm>

namespace flintglade::policy {
namespace {

// A cold replica gets this part of the load under which it falls; the rest is for what others misjudge.
constexpr double kBudgetPart = 0.5;
// The bucket holds this part of the time that a replica has to be overloaded for until it falls.
constexpr double kBurstPart = 0.5;
constexpr double kMicrosecondsPerSecond = 1e6;

}  // namespace

void SlowStart::on_replica_started(int index, double now) {
  ReplicaState& state = replicas_[index];
  // Many routers learn of a start together. Each begins with a random part of one request's budget, so that
  // their first requests do not arrive as one burst. One whose part of the budget makes no request in the
  // time that counts begins with a whole one: its requests come there too seldom to burst with the others'.
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

// In mean requests a second.
double SlowStart::budget_rate(const ReplicaState& state, double size, double now) const {
  return kBudgetPart * settings_.fall_multiple * warm_share(state, now) *
         ratio_or_zero(work_.arrival_rate(now) * size, learned_.peak_fleet_size);
}

// Less than one in the time that a replica has to be overloaded for until it falls.
bool SlowStart::gets_few_requests(const ReplicaState& state, double now) const {
  return budget_rate(state, fleet_.mean_size(), now) * settings_.fall_s < 1.0;
}

bool SlowStart::allows(const Request& request, int index, double now) {
  const ReplicaState& state = replicas_[index];
  if (warm_share(state, now) >= 1.0) return true;
  // Where most replicas are cold or gone, those left draw more than their usual part of the requests.
  const double usual_part =
      kBudgetPart * settings_.fall_multiple * ratio_or_zero(fleet_.warm_size, learned_.peak_fleet_size);
  if (gets_few_requests(state, now) &&
      unit_interval(mix(request.received.id, state.replica.id ^ random_.seed)) > usual_part)
    return false;
  return refill(request, index, now);
}

void SlowStart::spend(const Request& request, int index, double now) {
  if (warm_share(replicas_[index], now) >= 1.0) return;
  if (refill(request, index, now)) replicas_[index].slow_start_tokens -= request.work;
}

// Fills the bucket up to now. Returns whether it covers the request.
bool SlowStart::refill(const Request& request, int index, double now) {
  ReplicaState& state = replicas_[index];
  const double rate = budget_rate(state, capacity_.size(index), now);
  const double max_tokens = std::max(1.0, rate * settings_.fall_s * kBurstPart);
  state.slow_start_tokens =
      std::min(max_tokens, state.slow_start_tokens + rate * (now - state.slow_start_updated_at));
  state.slow_start_updated_at = now;
  // Light requests wait for a whole token too: else the random parts that all routers begin with would go out
  // as one burst of light ones in the first moments after the start.
  return state.slow_start_tokens >= std::min(std::max(1.0, request.work), max_tokens);
}

}  // namespace flintglade::policy
