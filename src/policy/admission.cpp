#include "policy/admission.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

// Late or failed part of recent requests up to which things are calm; the admitted part under which excess
// goes.
constexpr double kCalm = 0.1, kExcessFrom = 0.9;
constexpr double kLateTarget = 0.2, kAdmitStep = 0.06, kLeastAdmitted = 0.1;
// Steps are made for so many answers a second; a router that sees fewer takes longer ones.
constexpr double kAnswersASecond = 8.0, kLongestStep = 4.0;
constexpr double kClassWeight = 0.05;  // of one request in its class's mean work, and in the mean value

}  // namespace

// A request is judged by the work of those before it: by its own, the largest of a class would be thinned
// most.
bool Admission::rejects(const Request& request, std::size_t its_class, double random) {
  const double priority_weight = settings_.classes[its_class].priority_weight;
  double& work = learned_.class_work[its_class];
  const double value = std::max(
      1e-9, settings_.priority_weight_by_work ? priority_weight : priority_weight / std::max(0.05, work));
  work += kClassWeight * (request.work - work);
  follow(learned_.mean_value, value, kClassWeight);
  if (request.excess) return learned_.admit < kExcessFrom;
  return random > std::pow(learned_.admit, std::clamp(learned_.mean_value / value, 0.25, 4.0));
}

double Admission::step(double now) const {
  const double answers_a_second = learned_.judged.value(now, span_) / span_;
  return kAdmitStep * std::clamp(part(kAnswersASecond, answers_a_second), 1.0, kLongestStep);
}

void Admission::answered(double now, const Request& request, const ClassSettings& its_class, bool late) {
  if (!request.excess) {
    const double up = step(now);
    // One late answer says little.
    const double down = std::min(up, kAdmitStep * std::max(1.0, learned_.late.value(now, span_)));
    const double loss = 1.0 - (request.bound ? its_class.late_value : 0.0);  // late may be worth a part
    learned_.admit = late ? std::max(kLeastAdmitted, learned_.admit * (1.0 - down * loss))
                          : std::min(1.0, learned_.admit + up * kLateTarget / (1.0 - kLateTarget));
  }
  learned_.judged.add(now, span_, 1.0);
  if (late && !request.excess) learned_.late.add(now, span_, 1.0);
}

bool Admission::in_time(double now) const {
  return learned_.late.value(now, span_) <= kCalm * (learned_.judged.value(now, span_) + 3.0);
}

}  // namespace flintglade::policy
