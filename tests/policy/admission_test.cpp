#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

// Without admission control, an overloaded router sends nearly every request and nearly every answer is late.
TEST(Admission, RejectsUnderLateAnswersLowPriorityFirstAndStopsAfterwards) {
  Settings settings = test_settings();
  settings.classes.push_back(settings.classes[0]);
  settings.classes[0].priority_weight = 5.0;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(8));
  std::size_t rejected[3][2] = {};
  RequestId id = 1;
  for (int phase = 0; phase < 3; ++phase) {
    for (int i = 0; i < 200; ++i, ++id) {
      NewRequest request = new_request(id, scrambled(id), router.now + 5.0);
      request.request_class = static_cast<std::uint32_t>(i % 2);
      router.receive(request);
      rejected[phase][i % 2] += router.final_answers(id);
      if (phase == 1) router.run_to(router.now + 1.5);
      if (router.attempts_sent[id] > 0) {
        router.receive_first_event(id, 0);
        router.end_attempt(id, 0, Outcome::ok, true);
      }
    }
    if (phase == 1) {
      for (int i = 0; i < 400; ++i, ++id) {
        router.receive(new_request(id, scrambled(id)));
        if (router.attempts_sent[id] > 0) router.receive_first_event(id, 0);
      }
    }
  }
  EXPECT_EQ(rejected[0][0] + rejected[0][1], 0u);
  EXPECT_GT(rejected[1][1], 50u);
  EXPECT_LT(rejected[1][0], rejected[1][1]);
  EXPECT_EQ(rejected[2][0] + rejected[2][1], 0u);
}

// Within a class, neither a request's size nor its session determines whether it is rejected under load.
TEST(Admission, RejectsNeitherTheLargestRequestsNorWholeSessions) {
  for (int variant = 0; variant < 3; ++variant) {
    Settings settings = test_settings();
    settings.priority_weight_by_work = variant == 1;
    settings.classes[0].latency_objective_per_1000_tokens = variant == 2 ? 0.06 : 0.0;
    settings.classes[0].late_value = variant == 2 ? 0.3 : 0.0;
    ScriptedRouter router(settings);
    router.list(ListKind::cached, ready_replicas(8));
    constexpr int kSessions = 40, kTurns = 200;
    int large_received = 0, large_admitted = 0, all_received = 0, all_admitted = 0;
    std::vector<int> admitted_of_session(kSessions);
    RequestId id = 1;
    for (int turn = 0; turn < kTurns; ++turn) {
      for (int session = 0; session < kSessions; ++session, ++id) {
        NewRequest request = new_request(id, 1 + static_cast<std::uint64_t>(session), router.now + 5.0);
        const bool large = id % 10 == 3;
        request.prompt_tokens = large ? 20000.0 : 1000.0;
        router.receive(request);
        const bool admitted = router.attempts_sent[id] > 0;
        large_received += large, all_received += 1;
        large_admitted += large && admitted, all_admitted += admitted;
        admitted_of_session[session] += admitted;
        if (!admitted) continue;
        // Most answers are late, so that some requests are rejected all the time.
        if (scrambled(id) % 4 != 0) router.run_to(router.now + 2.6);
        router.receive_first_event(id, 0);
        router.end_attempt(id, 0, Outcome::ok, true);
      }
    }
    const double admitted_share = static_cast<double>(all_admitted) / all_received;
    EXPECT_LT(admitted_share, 0.95) << variant;  // some must be rejected for the test to be valid
    // The operators require two thirds; a bias by size already shows well above that.
    EXPECT_GE(static_cast<double>(large_admitted) / large_received, admitted_share * 0.85) << variant;
    EXPECT_GT(*std::min_element(admitted_of_session.begin(), admitted_of_session.end()), 0) << variant;
  }
}

}  // namespace
}  // namespace flintglade::policy
