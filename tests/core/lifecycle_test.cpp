// Graceful shutdown: what a draining router accepts, what it waits for, and when it stops.
#include <gtest/gtest.h>

#include "core/broker_fixture.h"

namespace flintglade::tests {
namespace {

using policy::Outcome;

TEST(Lifecycle, WaitsForRequestsInFlight) {
  BrokerFixture core;
  core::RequestId id = 0;
  EXPECT_EQ(core.broker->phase(), core::Phase::serving);
  const auto response = core.send(id);
  core.broker->drain();
  core.pass_time(2 * core.limits.drain_accept_window);
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  core.broker->on_attempt_events({id, 0}, "a");
  core.broker->on_attempt_ended({id, 0}, Outcome::ok);
  core.broker->run_iteration();
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  EXPECT_EQ(response->end, "finish");
  core.pass_time(core.limits.final_response_grace / 2);
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  core.pass_time(core.limits.final_response_grace);
  EXPECT_EQ(core.broker->phase(), core::Phase::stopped);
}

// If a successor serves, the router waits for a request that is partially read at SIGTERM and accepts it: its
// stream can migrate to the successor. Without a successor it could still be open when the process is killed.
TEST(Lifecycle, WaitsForPartiallyReadRequestsIfThereIsASuccessor) {
  for (const bool has_successor : {true, false}) {
    BrokerFixture core;
    core.broker->drain(has_successor);
    core.broker->set_partially_read_requests(1);
    core.pass_time(2 * core::kSecond);
    EXPECT_EQ(core.broker->phase() == core::Phase::stopped, !has_successor);
    if (!has_successor) continue;
    core::RequestId id = 0;
    const auto response = core.send(id);
    EXPECT_TRUE(response->end.empty());
    EXPECT_EQ(core.ports.attempts.size(), 1u);
    core.broker->set_partially_read_requests(1);
    core.pass_time(500 * core::kMilli);
    EXPECT_EQ(core.send(id)->end, "unavailable");  // its first event could come too late by now
    core.broker->set_partially_read_requests(0);
    core.broker->on_attempt_events({1, 0}, "a");
    core.broker->on_attempt_ended({1, 0}, Outcome::ok);
    core.pass_time(core.limits.final_response_grace + 10 * core::kMilli);
    EXPECT_EQ(response->end, "finish");
    EXPECT_EQ(core.broker->phase(), core::Phase::stopped);
  }
}

// During a rolling restart of a fully loaded fleet a request arrived on a keep-alive connection 0.89 s after
// SIGTERM, waited for its first token, and was lost at SIGKILL.
TEST(Lifecycle, AnswersEveryRequestBeforeTheProcessIsKilled) {
  BrokerFixture core;
  core::RequestId id = 0;
  core.broker->drain();
  const auto early = core.send(id);
  EXPECT_TRUE(early->end.empty());
  EXPECT_EQ(core.ports.attempts.size(), 1u);
  core.pass_time(700 * core::kMilli);
  const auto late = core.send(id);
  EXPECT_EQ(late->end, "unavailable");
  EXPECT_EQ(core.ports.attempts.size(), 1u);
  core.pass_time(core.limits.drain_limit - 800 * core::kMilli);
  EXPECT_TRUE(early->end.empty());
  core.pass_time(200 * core::kMilli);
  EXPECT_EQ(early->end, "fail");
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  core.pass_time(core.limits.final_response_grace + 50 * core::kMilli);
  EXPECT_EQ(core.broker->phase(), core::Phase::stopped);
}

// A request that arrives 0.7 s after SIGTERM may still be open at SIGKILL, and SIGTERM may be handled
// kMaxSchedulingDelay late.
TEST(Lifecycle, AcceptsNoRequestThatItMayNotFinish) {
  BrokerFixture core;
  EXPECT_LT(core.limits.drain_accept_window + core::kMaxSchedulingDelay, 700 * core::kMilli);
  core.broker->drain();
  core.pass_time(core.limits.drain_accept_window - 20 * core::kMilli);
  core::RequestId id = 0;
  EXPECT_TRUE(core.send(id)->end.empty());
  core.pass_time(40 * core::kMilli);
  EXPECT_EQ(core.send(id)->end, "unavailable");
}

// Nothing is written to a draining replica after its grace, even if the process is not scheduled for 0.15 s
// between reading the clock and the write. If the grace is shorter than that, nothing is written at all.
TEST(BrokerSettings, SubtractTheSchedulingDelayFromTheWriteGrace) {
  EXPECT_EQ(core::write_grace(250 * core::kMilli), 100 * core::kMilli);
  EXPECT_EQ(core::write_grace(100 * core::kMilli), 0);
}

}  // namespace
}  // namespace flintglade::tests
