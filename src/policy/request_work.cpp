#include "policy/request_work.h"

#include <algorithm>
#include <cmath>

namespace flintglade::policy {
namespace {

constexpr double kMeanWeight = 0.02;  // of one request in the running means
constexpr double kMinRelativeWork = 0.1,
                 kMaxRelativeWork = 10.0;  // multiples of the mean; limited because hints may be very wrong
constexpr double kMaxHint = 1e9;

}  // namespace

void RequestWork::measure(Request& request, double now) {
  const NewRequest& received = request.received;
  const double raw_work =
      clamp_finite(received.hint, 0.0, kMaxHint) > 0.0 ? received.hint : 1.0 + received.prompt_tokens;
  update_mean(learned_.mean_raw_work, raw_work, kMeanWeight);
  update_mean(learned_.mean_prompt_tokens, received.prompt_tokens, kMeanWeight);
  request.work = std::clamp(raw_work / learned_.mean_raw_work, kMinRelativeWork, kMaxRelativeWork);
  if (!received.is_retry) learned_.arrived_work.add(now, window_s_, request.work);
}

double RequestWork::arrival_rate(double now) const {
  // During the first window only the elapsed part of it is used. After that the rate is too high, in the long
  // run by a factor of e / (e - 1), because older arrivals are still in the sum.
  const double observed = std::clamp(now - learned_.started_at, 1.0, window_s_);
  return learned_.arrived_work.value(now, window_s_) / (window_s_ * (1.0 - std::exp(-observed / window_s_)));
}

}  // namespace flintglade::policy
