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
  const auto answer = core.send(id);
  core.broker->drain();
  core.pass_time(2 * core.limits.drain_accept_window);
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  core.broker->on_attempt_events({id, 0}, "a");
  core.broker->on_attempt_ended({id, 0}, Outcome::ok);
  core.broker->run_iteration();
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  EXPECT_EQ(answer->end, "finish");
  core.pass_time(core.limits.final_response_grace / 2);
  EXPECT_EQ(core.broker->phase(), core::Phase::draining);
  core.pass_time(core.limits.final_response_grace);
  EXPECT_EQ(core.broker->phase(), core::Phase::stopped);
}

// Where another process serves, a request that is partially read at SIGTERM is waited for and taken: its
// answer can go on there. Where none does, it could still be open when the process is killed.
TEST(Lifecycle, WaitsForPartiallyReadRequestsIfThereIsASuccessor) {
  for (const bool has_successor : {true, false}) {
    BrokerFixture core;
    core.broker->drain(has_successor);
    core.broker->set_partially_read_requests(1);
    core.pass_time(2 * core::kSecond);
    EXPECT_EQ(core.broker->phase() == core::Phase::stopped, !has_successor);
    if (!has_successor) continue;
    core::RequestId id = 0;
    const auto answer = core.send(id);
    EXPECT_TRUE(answer->end.empty());
    EXPECT_EQ(core.ports.attempts.size(), 1u);
    core.broker->set_partially_read_requests(1);
    core.pass_time(500 * core::kMilli);
    EXPECT_EQ(core.send(id)->end, "unavailable");  // by now it could be too late for its first event
    core.broker->set_partially_read_requests(0);
    core.broker->on_attempt_events({1, 0}, "a");
    core.broker->on_attempt_ended({1, 0}, Outcome::ok);
    core.pass_time(core.limits.final_response_grace + 10 * core::kMilli);
    EXPECT_EQ(answer->end, "finish");
    EXPECT_EQ(core.broker->phase(), core::Phase::stopped);
  }
}

// Seen on a rolling restart of a full fleet: a request came 0.89 s after SIGTERM on a connection that had
// been kept, waited for its first token, and was lost at SIGKILL.
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

// What comes 0.7 s after SIGTERM may be open at SIGKILL; SIGTERM may be seen kMaxSchedulingDelay late.
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

// Nothing is written to a draining replica after its grace, though the process is held up for 0.15 s between
// its look at the clock and the write; nothing at all where the grace is shorter than that.
TEST(BrokerSettings, LeaveRoomForAHoldUpInTheWriteGrace) {
  EXPECT_EQ(core::write_grace(250 * core::kMilli), 100 * core::kMilli);
  EXPECT_EQ(core::write_grace(100 * core::kMilli), 0);
}

}  // namespace
}  // namespace flintglade::tests
