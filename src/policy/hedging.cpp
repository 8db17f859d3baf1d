#include "policy/hedging.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

// Budget of hedged requests: tokens added per request, maximum and initial tokens.
constexpr double kHedgesPerRequest = 0.015, kMaxTokens = 2.0, kInitialTokens = 1.0;
// The delay is the class's usual latency plus three mean deviations, clamped to these fractions of the
// objective.
constexpr double kMinDelayFraction = 0.5, kMaxDelayFraction = 0.9, kDeviations = 3.0;
constexpr double kLatencyWeight = 0.05;   // of one first event in the usual latency
constexpr double kMaxLatencyRatio = 2.0;  // limit on one sample in the mean, as a multiple of the objective

}  // namespace

Hedging::Hedging(const Settings& settings, LearnedState& learned, const Admission& admission)
    : learned_(learned), admission_(admission) {
  learned_.first_event_latency.resize(settings.classes.size());
  learned_.hedge_tokens = kInitialTokens;
}

void Hedging::on_new_request() {
  learned_.hedge_tokens = std::min(kMaxTokens, learned_.hedge_tokens + kHedgesPerRequest);
}

void Hedging::on_first_event(const Request& request, double latency_s) {
  const double ratio = std::max(0.0, latency_s) / request.latency_objective;
  FirstEventLatency& usual = learned_.first_event_latency[request.class_index];
  usual.mean_deviation += kLatencyWeight * (std::abs(ratio - usual.mean) - usual.mean_deviation);
  usual.mean += kLatencyWeight * (std::min(ratio, kMaxLatencyRatio) - usual.mean);
}

bool Hedging::allowed(double now) const { return admission_.in_time(now) && learned_.hedge_tokens >= 1.0; }

double Hedging::delay(const Request& request) const {
  const FirstEventLatency& usual = learned_.first_event_latency[request.class_index];
  return request.latency_objective *
         std::clamp(usual.mean + kDeviations * usual.mean_deviation, kMinDelayFraction, kMaxDelayFraction);
}

}  // namespace flintglade::policy
