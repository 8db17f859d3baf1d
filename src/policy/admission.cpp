#include "policy/admission.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

// The window for answers, as a fraction of the load window.
constexpr double kAnswerWindowFraction = 0.3;
// Answers count as in time up to this late fraction of recent answers, computed with kPriorAnswers additional
// timely answers.
constexpr double kMaxLateFractionInTime = 0.1, kPriorAnswers = 3.0;
// Requests over their quota are rejected while the admitted share is below this.
constexpr double kMinAdmittedOverQuota = 0.9;
// The late fraction of the admitted requests at which the admitted share settles; how much one answer changes
// the share; its minimum, so that recovery is noticed.
constexpr double kTargetLateFraction = 0.2, kStep = 0.06, kMinAdmittedShare = 0.1;
// kStep applies at this rate of answers or above; a router with a lower rate uses larger steps, up to a
// limit.
constexpr double kAnswersPerSecond = 8.0, kMaxStepMultiple = 4.0;
constexpr double kClassWeight = 0.05;  // of one request in its class's mean work, and in the mean value
constexpr double kMinWork = 0.05, kMinValue = 1e-9;
// Bounds of the exponent by which a class is rejected less or more than the mean.
constexpr double kMinRejectionExponent = 0.25, kMaxRejectionExponent = 4.0;

}  // namespace

Admission::Admission(const Settings& settings, LearnedState& learned, double load_window_s)
    : settings_(settings), learned_(learned), window_s_(load_window_s * kAnswerWindowFraction) {
  learned_.mean_class_work.assign(settings.classes.size(), 1.0);
}

// Uses the mean work of the class before this request: with the request's own work, the largest requests of a
// class would be rejected most often.
bool Admission::rejects(const Request& request, double random) {
  const double weight = class_of(request, settings_).priority_weight;
  double& mean_work = learned_.mean_class_work[request.class_index];
  const double value = std::max(
      kMinValue, settings_.priority_weight_by_work ? weight : weight / std::max(kMinWork, mean_work));
  mean_work += kClassWeight * (request.work - mean_work);
  update_mean(learned_.mean_value, value, kClassWeight);
  if (request.over_quota) return learned_.admitted_share < kMinAdmittedOverQuota;
  const double exponent =
      std::clamp(learned_.mean_value / value, kMinRejectionExponent, kMaxRejectionExponent);
  return random > std::pow(learned_.admitted_share, exponent);
}

double Admission::step(double now) const {
  const double answers_per_second = learned_.answers.value(now, window_s_) / window_s_;
  return kStep * std::clamp(ratio_or_zero(kAnswersPerSecond, answers_per_second), 1.0, kMaxStepMultiple);
}

void Admission::on_answer(double now, const Request& request, bool late) {
  if (!request.over_quota) {
    const double increase_step = step(now);
    // A single late answer changes the share by at most kStep.
    const double decrease_step =
        std::min(increase_step, kStep * std::max(1.0, learned_.late_answers.value(now, window_s_)));
    // A late answer may still have part of its value.
    const double loss = 1.0 - (request.streaming ? class_of(request, settings_).late_value : 0.0);
    double& admitted = learned_.admitted_share;
    admitted =
        late ? std::max(kMinAdmittedShare, admitted * (1.0 - decrease_step * loss))
             : std::min(1.0, admitted + increase_step * kTargetLateFraction / (1.0 - kTargetLateFraction));
  }
  learned_.answers.add(now, window_s_, 1.0);
  if (late && !request.over_quota) learned_.late_answers.add(now, window_s_, 1.0);
}

bool Admission::in_time(double now) const {
  return learned_.late_answers.value(now, window_s_) <=
         kMaxLateFractionInTime * (learned_.answers.value(now, window_s_) + kPriorAnswers);
}

}  // namespace flintglade::policy
