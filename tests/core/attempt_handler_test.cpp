// How attempts proceed and end: streams, stalls and cancellation.
#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "core/broker_fixture.h"

namespace flintglade::tests {
namespace {

using policy::Outcome;

TEST(AttemptHandler, SetsNoDeadlineForEventsAfterTheFirst) {
  BrokerFixture core;
  core::RequestId id = 0;
  const auto response = core.send(id);
  core.broker->on_attempt_events({id, 0}, "a");
  for (int i = 0; i < 8; ++i) {
    core.pass_time(core::kSecond);
    core.broker->on_attempt_events({id, 0}, "b");
  }
  core.broker->on_attempt_ended({id, 0}, Outcome::ok);
  core.broker->run_iteration();
  EXPECT_EQ(response->text, "abbbbbbbb");
  EXPECT_EQ(response->end, "finish");
  EXPECT_EQ(core.ports.attempts.size(), 1u);
}

TEST(AttemptHandler, AbortsAStalledStreamButNotOneThatWaitsForItsClient) {
  BrokerFixture core;
  core::RequestId id = 0;
  auto response = core.send(id);
  core.broker->on_attempt_events({id, 0}, "a");
  core.pass_time(2 * core.limits.stall_timeout);
  EXPECT_EQ(response->end, "break");
  EXPECT_EQ(core.ports.cancelled.size(), 1u);
  EXPECT_EQ(core.broker->counters().streams_stalled, 1u);
  response = core.send(id);
  response->slow = true;
  core.broker->on_attempt_events({id, 0}, "a");
  core.pass_time(2 * core.limits.stall_timeout);
  EXPECT_TRUE(response->end.empty());
  ASSERT_EQ(core.ports.paused, std::vector<bool>{true});
  core.broker->on_client_writable(id);
  core.broker->run_iteration();
  EXPECT_FALSE(core.ports.paused.back());
}

TEST(AttemptHandler, CancelsTheAttemptOfAClientThatDisconnects) {
  BrokerFixture core;
  core::RequestId id = 0;
  const auto response = core.send(id);
  core.broker->on_attempt_events({id, 0}, "a");
  core.broker->on_client_disconnected(id);
  core.broker->run_iteration();
  EXPECT_TRUE(response->end.empty());
  EXPECT_EQ(core.ports.cancelled.size(), 1u);
  EXPECT_EQ(core.outcomes(Outcome::cancelled), 1u);
}

// outcomes.http: in an iteration later than the deadline's slack, the deadline and the attempt's timeout were
// both due, and the attempt counted as a timeout of its replica.
TEST(AttemptHandler, CountsAnAttemptAtItsDeadlineAsCancelledInALateIterationToo) {
  BrokerFixture core;
  core::RequestId id = 0;
  const auto response = core.send(id);
  core.ports.time += 6 * core::kSecond;  // past the deadline and the attempt's timeout, in one step
  core.broker->run_iteration();
  core.broker->run_iteration();
  EXPECT_EQ(response->end, "late");
  EXPECT_EQ(core.outcomes(Outcome::cancelled), 1u);
  EXPECT_EQ(core.outcomes(Outcome::timeout), 0u);
}

// A replica may keep working after its client has disconnected: the module counts the attempt's capacity as
// free only after the hold, or at once when the router itself shuts down.
TEST(AttemptHandler, HoldsACancelledAttemptAsItsReplicasWork) {
  BrokerFixture core;
  core.broker->reload(core.limits.drain_grace, core.limits.answer_grace, 2 * core::kSecond);
  core::RequestId id = 0;
  const auto response = core.send(id, 1000);
  core.broker->on_attempt_events({id, 0}, "a");
  core.broker->on_client_disconnected(id);
  core.broker->run_iteration();
  EXPECT_TRUE(response->end.empty());
  EXPECT_EQ(core.ports.cancelled.size(), 1u);
  EXPECT_EQ(core.outcomes(Outcome::cancelled), 0u);
  core.pass_time(1900 * core::kMilli);
  EXPECT_EQ(core.outcomes(Outcome::cancelled), 0u);
  EXPECT_EQ(core.broker->counters().attempts_held, 1u);
  core.pass_time(200 * core::kMilli);
  EXPECT_EQ(core.outcomes(Outcome::cancelled), 1u);
  core.send(id);
  core.broker->on_client_disconnected(id);
  core.broker->run_iteration();
  core.broker->on_attempt_ended({id, 0}, Outcome::reset);  // the replica reports before the hold expires
  core.broker->run_iteration();
  EXPECT_EQ(core.outcomes(Outcome::reset), 1u);
  core.pass_time(3 * core::kSecond);
  EXPECT_EQ(core.outcomes(Outcome::cancelled), 1u);
  core.send(id);
  core.broker->on_client_disconnected(id);
  core.broker->run_iteration();
  core.broker->drain();
  core.pass_time(core.limits.drain_accept_window + core.limits.final_response_grace + 10 * core::kMilli);
  EXPECT_EQ(core.broker->phase(), core::Phase::stopped);
  EXPECT_EQ(core.broker->requests_in_flight(), 0u);
}

// A client sends a request and disconnects within one iteration: the module has requested an attempt that is
// never sent, and has to get its outcome. Without it, the module counted such an attempt as running for ever.
TEST(AttemptHandler, ReportsAnAttemptThatWasNeverSent) {
  BrokerFixture core;
  const core::RequestId id =
      core.broker->on_request(core.make_request(), std::make_shared<FakeResponseWriter>());
  core.broker->on_client_disconnected(id);
  core.broker->run_iteration();
  core.broker->run_iteration();
  EXPECT_TRUE(core.ports.attempts.empty());
  EXPECT_EQ(core.outcomes(Outcome::inconclusive), 1u);
  core.broker->drain();
  core.pass_time(core.limits.drain_accept_window + core.limits.final_response_grace + 10 * core::kMilli);
  EXPECT_EQ(core.broker->phase(), core::Phase::stopped);  // the request table is empty
}

}  // namespace
}  // namespace flintglade::tests
