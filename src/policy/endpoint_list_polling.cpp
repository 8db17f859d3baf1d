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
  if (kind == ListKind::failed) return on_failure(sink);
  if (kind == ListKind::cached) return on_cached_list(sink);
  state_ = State::subscribed;
  consecutive_failures_ = 0;
}

void EndpointListPolling::on_failure(ActionSink& sink) {
  // The usual cause is that all routers query the list service at the same time: back off.
  const int doublings = std::min(consecutive_failures_++, kMaxBackoffDoublings);
  // A failure does not tell which call it was: one more does not postpone a subscription that is due already.
  if (state_ == State::subscribe_scheduled) return;
  const double max_backoff = settings_.list_pushed ? kMaxAgentBackoffS : kMaxBackoffS;
  schedule_subscribe(std::min(kFirstBackoffS * std::exp2(doublings), max_backoff), sink);
}

void EndpointListPolling::on_cached_list(ActionSink& sink) {
  if (!settings_.list_on_request || state_ == State::requested || state_ == State::subscribed) return;
  schedule_subscribe(kAfterCachedListS, sink);
}

void EndpointListPolling::on_timer(std::uint64_t number, ActionSink& sink) {
  if (number != latest_timer_ || state_ == State::subscribed) return;
  sink.subscribe(true);
  state_ = State::requested;
  const double interval = settings_.must_ask_in > 0.0 ? settings_.must_ask_in : kDefaultIntervalS;
  set_timer(interval * kUnansweredMultiple, sink);
}

void EndpointListPolling::schedule_subscribe(double wait_s, ActionSink& sink) {
  state_ = State::subscribe_scheduled;
  set_timer(wait_s, sink);
}

void EndpointListPolling::set_timer(double mean_wait_s, ActionSink& sink) {
  const double jittered = mean_wait_s * (0.5 + random_.next(kJitterSalt));
  sink.set_timer(std::max(jittered, kMinWaitS), timer_cookie(TimerKind::endpoint_list, ++latest_timer_));
}

}  // namespace flintglade::policy
