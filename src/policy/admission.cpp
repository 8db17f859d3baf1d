#include "policy/admission.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

// Recent answers are those in this part of the load window.
constexpr double kRecentPart = 0.3;
// The late part of recent answers up to which answers count as in time, and how many timely ones are assumed
// beside those seen.
constexpr double kMaxLateInTime = 0.1, kPriorAnswers = 3.0;
// Requests over their quota are rejected while less than this is admitted.
constexpr double kMinAdmittedOverQuota = 0.9;
// The late part of the admitted requests at which the admitted share settles; how far an answer moves it; the
// least of it, so that recovery is noticed.
constexpr double kTargetLatePart = 0.2, kStep = 0.06, kMinAdmittedShare = 0.1;
// Steps are made for so many answers a second; a router that sees fewer takes longer ones, up to a limit.
constexpr double kAnswersPerSecond = 8.0, kMaxStepMultiple = 4.0;
constexpr double kClassWeight = 0.05;  // of one request in its class's mean work, and in the mean value
constexpr double kMinWork = 0.05, kMinValue = 1e-9;
// How much more or less a class is thinned than the mean, at the most.
constexpr double kMinThinning = 0.25, kMaxThinning = 4.0;

}  // namespace

Admission::Admission(const Settings& settings, LearnedState& learned, double load_window_s)
    : settings_(settings), learned_(learned), window_s_(load_window_s * kRecentPart) {
  learned_.mean_class_work.assign(settings.classes.size(), 1.0);
}

// A request is judged by the mean work of its class before it: by its own, the largest would be thinned most.
bool Admission::rejects(const Request& request, double random) {
  const double weight = class_of(request, settings_).priority_weight;
  double& mean_work = learned_.mean_class_work[request.class_index];
  const double value = std::max(
      kMinValue, settings_.priority_weight_by_work ? weight : weight / std::max(kMinWork, mean_work));
  mean_work += kClassWeight * (request.work - mean_work);
  update_mean(learned_.mean_value, value, kClassWeight);
  if (request.over_quota) return learned_.admitted_share < kMinAdmittedOverQuota;
  const double thinning = std::clamp(learned_.mean_value / value, kMinThinning, kMaxThinning);
  return random > std::pow(learned_.admitted_share, thinning);
}

double Admission::step(double now) const {
  const double answers_per_second = learned_.answers.value(now, window_s_) / window_s_;
  return kStep * std::clamp(ratio_or_zero(kAnswersPerSecond, answers_per_second), 1.0, kMaxStepMultiple);
}

void Admission::on_answer(double now, const Request& request, bool late) {
  if (!request.over_quota) {
    const double up = step(now);
    // One late answer alone moves it by one plain step at the most.
    const double down = std::min(up, kStep * std::max(1.0, learned_.late_answers.value(now, window_s_)));
    // A late answer may still be worth a part.
    const double loss = 1.0 - (request.streaming ? class_of(request, settings_).late_value : 0.0);
    double& admitted = learned_.admitted_share;
    admitted = late ? std::max(kMinAdmittedShare, admitted * (1.0 - down * loss))
                    : std::min(1.0, admitted + up * kTargetLatePart / (1.0 - kTargetLatePart));
  }
  learned_.answers.add(now, window_s_, 1.0);
  if (late && !request.over_quota) learned_.late_answers.add(now, window_s_, 1.0);
}

bool Admission::in_time(double now) const {
  return learned_.late_answers.value(now, window_s_) <=
         kMaxLateInTime * (learned_.answers.value(now, window_s_) + kPriorAnswers);
}

}  // namespace flintglade::policy
