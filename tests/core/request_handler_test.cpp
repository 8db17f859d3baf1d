// What becomes of requests: admission, deadlines and final responses.
#include <gtest/gtest.h>

#include <memory>

#include "core/broker_fixture.h"

namespace flintglade::tests {
namespace {

using policy::Health;
using policy::Outcome;

TEST(RequestHandler, GivesOneFinalResponse) {
  BrokerFixture core;
  core::RequestId id = 0;
  const auto answer = core.send(id);
  EXPECT_EQ(core.ports.attempts.size(), 1u);
  core.broker->on_attempt_events({id, 0}, "a");
  core.broker->on_attempt_events({id, 0}, "b");
  core.broker->on_attempt_ended({id, 0}, Outcome::ok);
  core.broker->on_attempt_ended({id, 0},
                                Outcome::reset);  // a second outcome of the same attempt is passed over
  core.broker->on_client_disconnected(id);
  core.broker->run_iteration();
  EXPECT_EQ(answer->text, "ab");
  EXPECT_EQ(answer->end, "finish");
  EXPECT_EQ(core.broker->requests_in_flight(), 0u);
  EXPECT_EQ(core.broker->counters().clients_disconnected, 0u);
}

TEST(RequestHandler, AnswersEveryRequestByItsDeadline) {
  BrokerFixture core;
  core::RequestId id = 0;
  const auto answer = core.send(id);
  core.pass_time(5 * core::kSecond + core.limits.answer_grace);
  EXPECT_EQ(answer->end, "late");
  EXPECT_EQ(core.broker->requests_in_flight(), 0u);
}

// Rejected by every replica there is: nothing can change for it, so its client is not kept waiting.
TEST(RequestHandler, RejectsAtOnceWhereEveryReplicaIsFull) {
  BrokerFixture core;
  core::RequestId id = 0;
  auto answer = core.send(id);
  core.broker->on_attempt_ended({id, 0}, Outcome::full);
  core.broker->run_iteration();
  EXPECT_EQ(answer->end, "unavailable");
  EXPECT_EQ(core.broker->requests_in_flight(), 0u);
  // Without any replica it is held in the hope of one, but not for long.
  core.list(Health::gone, 1);
  answer = core.send(id);
  core.pass_time(500 * core::kMilli);
  EXPECT_TRUE(answer->end.empty());
  core.pass_time(2000 * core::kMilli);
  EXPECT_EQ(answer->end, "unavailable");
}

TEST(RequestHandler, ShedsRequestsBeyondTheBodyBudget) {
  BrokerFixture core(1000);
  core::RequestId id = 0;
  const auto first = core.send(id, 900);
  const auto second = core.send(id, 900);
  EXPECT_TRUE(first->end.empty());
  EXPECT_EQ(second->end, "unavailable");
  EXPECT_EQ(core.broker->counters().requests_shed, 1u);
}

TEST(RequestHandler, TakesAnAnswerWithoutEventsOnlyWhereTheRequestAllowsIt) {
  for (const bool may_be_empty : {true, false}) {
    BrokerFixture core;
    const auto request = core.make_request();
    request->may_be_empty = may_be_empty;
    const auto answer = std::make_shared<FakeResponseWriter>();
    const core::RequestId id = core.broker->on_request(request, answer);
    core.broker->run_iteration();
    core.broker->on_attempt_ended({id, 0}, Outcome::ok);
    core.broker->run_iteration();
    EXPECT_EQ(answer->end == "finish", may_be_empty);
    EXPECT_TRUE(answer->text.empty());
    EXPECT_EQ(core.broker->counters().requests_served, may_be_empty ? 1u : 0u);
  }
}

}  // namespace
}  // namespace flintglade::tests
