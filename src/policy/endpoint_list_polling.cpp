#include "policy/endpoint_list_polling.h"

#include <algorithm>
#include <cmath>

#include "policy/timer_cookie.h"

namespace flintglade::policy {
namespace {

constexpr double kFirstBackoffS = 0.5;
constexpr int kMaxBackoffDoublings = 6;  // up to 32 s, before the limits below
// Maximum mean backoff: a rollout that runs meanwhile goes unnoticed.
constexpr double kMaxBackoffS = 2.0;
// Maximum mean backoff if a local agent provides the list: polling it costs nothing.
constexpr double kMaxAgentBackoffS = 0.25;
constexpr double kAfterCachedListS = 0.1;  // a cached list may be outdated
constexpr double kMinWaitS = 0.001;
// An unanswered subscription is repeated after this multiple of the interval that the platform requires, or
// of the default interval.
constexpr double kUnansweredMultiple = 1.5, kDefaultIntervalS = 10.0;
constexpr std::uint64_t kJitterSalt = 17;

}  // namespace

void EndpointListPolling::on_list(ListKind kind, ActionSink& sink) {
  if (kind == ListKind::failed) {
    // The usual cause is that all routers query the list service at the same time: back off.
    subscribed_ = false;
    const int doublings = std::min(consecutive_failures_++, kMaxBackoffDoublings);
    const double max_backoff = settings_.list_pushed ? kMaxAgentBackoffS : kMaxBackoffS;
    return subscribe_after(std::min(kFirstBackoffS * std::exp2(doublings), max_backoff), sink);
  }
  if (kind == ListKind::cached) {
    if (settings_.list_on_request) subscribe_after(kAfterCachedListS, sink);
    return;
  }
  subscribed_ = true;
  consecutive_failures_ = 0;
}

void EndpointListPolling::on_timer(ActionSink& sink) {
  if (subscribed_) return;
  sink.subscribe(true);
  const double interval = settings_.must_ask_in > 0.0 ? settings_.must_ask_in : kDefaultIntervalS;
  subscribe_after(interval * kUnansweredMultiple, sink);
}

void EndpointListPolling::subscribe_after(double wait_s, ActionSink& sink) {
  const double jittered = wait_s * (0.5 + random_.next(kJitterSalt));
  sink.set_timer(std::max(jittered, kMinWaitS), timer_cookie(TimerKind::endpoint_list));
}

}  // namespace flintglade::policy
