#include <gtest/gtest.h>

#include <cstdint>
#include <limits>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(EndpointListPolling, SubscribesAtTheStartAndBacksOffAfterFailures) {
  Settings settings = test_settings();
  settings.list_on_request = true;
  settings.must_ask_in = 10.0;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(100.5);
  EXPECT_EQ(router.actions(Action::subscribe).size(), 1u);
  std::vector<double> waits;
  for (int i = 0; i < 8; ++i) {
    const auto asked = router.actions(Action::subscribe).size();
    router.list(ListKind::failed, {});
    EXPECT_NE(router.place(5), 0u);  // the previous list stays in effect
    const double from = router.now;
    while (router.actions(Action::subscribe).size() == asked && router.now < from + 60.0)
      router.run_to(router.now + 0.01);
    waits.push_back(router.now - from);
  }
  for (const double wait : waits) EXPECT_LT(wait, 3.1);  // rollouts continue while the list is unavailable
  EXPECT_GT(waits[3] + waits[4], waits[0] * 2.0);
  router.list(ListKind::delta, {});
  const auto asked = router.actions(Action::subscribe).size();
  router.run_to(400.0);
  EXPECT_EQ(router.actions(Action::subscribe).size(), asked);  // subscribed: no further calls
}

// A local agent can be polled at no cost: after a failure the router retries much sooner than with a remote
// list service.
TEST(EndpointListPolling, RetriesALocalAgentSoon) {
  Settings settings = test_settings();
  settings.list_on_request = settings.list_pushed = true;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(100.5);
  for (int i = 0; i < 8; ++i) {
    const auto asked = router.actions(Action::subscribe).size();
    router.list(ListKind::failed, {});
    router.run_to(router.now + 0.4);
    EXPECT_GT(router.actions(Action::subscribe).size(), asked);
  }
}

TEST(EndpointListPolling, NeverSubscribesUnlessListsAreSentOnRequest) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(200.0);
  EXPECT_TRUE(router.actions(Action::subscribe).empty());
}

// ---- outages of the list service --------------------------------------------------------------------------

// A change counts as known this long after the list service had it and could be reached (the platform's
// rule).
constexpr double kKnownWithinS = 6.0;

struct Outage {
  const char* name;
  double duration_s;
  double answers_after_s;  // a call is answered so long after it was made; during the outage it fails at once
  bool pushed = false;     // a local agent provides the list
};
void PrintTo(const Outage& outage, std::ostream* out) { *out << outage.name; }

// A router and a list service with one call at a time: a further call ends the one that waits, as the watch
// on service discovery does.
class RouterWithListService : public ScriptedRouter {
 public:
  RouterWithListService(const Settings& settings, std::uint64_t seed, double answers_after_s)
      : ScriptedRouter(settings, seed), answers_after_s_(answers_after_s) {}

  void subscribe(bool on) override {
    ScriptedRouter::subscribe(on);
    ++calls;
    if (call_at_ < kNoCall) ++calls_replaced;
    call_at_ = now;
  }
  // Advances the clock until this time, or until the number of calls exceeds the limit, in steps of 10 ms.
  void run_until(double time, bool reachable, std::size_t max_calls) {
    while (now < time && calls <= max_calls) {
      run_to(now + 0.01);
      answer(reachable);
    }
  }
  bool has_list() const { return has_list_; }

  std::size_t calls = 0;
  std::size_t calls_replaced = 0;  // of them, ended by a further call before their answer

 private:
  static constexpr double kNoCall = std::numeric_limits<double>::infinity();

  void answer(bool reachable) {
    if (call_at_ == kNoCall || (reachable && now < call_at_ + answers_after_s_)) return;
    call_at_ = kNoCall;
    has_list_ = reachable;
    list(reachable ? ListKind::full : ListKind::failed, ready_replicas(3));
  }

  double answers_after_s_;
  double call_at_ = kNoCall;  // when the call that waits was made
  bool has_list_ = false;
};

class EndpointListOutage : public testing::TestWithParam<std::tuple<Outage, std::uint64_t>> {
 protected:
  static Settings settings(const Outage& outage) {
    Settings settings = test_settings();
    settings.list_on_request = true;
    settings.list_pushed = outage.pushed;
    settings.must_ask_in = 10.0;
    return settings;
  }
};

// Guards against timers that multiply during an outage: after it they ended each call before its answer, and
// a router went on sending requests to a replica that drained.
TEST_P(EndpointListOutage, LeavesOneCallAtATime) {
  const auto& [outage, seed] = GetParam();
  RouterWithListService router(settings(outage), seed, outage.answers_after_s);
  router.list(ListKind::cached, ready_replicas(3));
  // The shortest wait between two calls is half of the mean one; the first waits are shorter.
  const double min_wait_s = outage.pushed ? 0.125 : 1.0;
  const auto max_calls = static_cast<std::size_t>(outage.duration_s / min_wait_s) + 4;
  router.run_until(router.now + outage.duration_s, false, max_calls);
  ASSERT_LE(router.calls, max_calls);
  // Timers that were set and do not count any more: those of the last unanswered calls.
  EXPECT_LE(router.timers.size(), 25.0 / min_wait_s);

  const double returned_at = router.now;
  const std::size_t calls_before = router.calls;
  while (!router.has_list() && router.now < returned_at + kKnownWithinS)
    router.run_until(router.now + 0.01, true, max_calls + 100);
  EXPECT_TRUE(router.has_list()) << "no list within " << kKnownWithinS << " s of the service's return";
  EXPECT_EQ(router.calls - calls_before, 1u);
  EXPECT_EQ(router.calls_replaced, 0u);

  router.run_until(router.now + 60.0, true, router.calls);
  EXPECT_EQ(router.calls - calls_before, 1u) << "a router that is subscribed calls again";
}

constexpr Outage kOutages[] = {
    {"8s_answers_at_once", 8.0, 0.0},          {"22s_answers_at_once", 22.0, 0.0},
    {"22s_answers_after_1700ms", 22.0, 1.7},   {"22s_answers_after_1900ms", 22.0, 1.9},
    {"23s_answers_after_2000ms", 23.0, 2.0},   {"60s_answers_after_100ms", 60.0, 0.1},
    {"82s_answers_after_60ms", 82.0, 0.06},    {"82s_answers_after_1900ms", 82.0, 1.9},
    {"900s_answers_after_1900ms", 900.0, 1.9}, {"22s_pushed", 22.0, 0.0, true},
    {"82s_pushed", 82.0, 0.0, true},           {"900s_pushed", 900.0, 0.0, true},
};
INSTANTIATE_TEST_SUITE_P(Outages, EndpointListOutage,
                         testing::Combine(testing::ValuesIn(kOutages), testing::Range<std::uint64_t>(1, 6)),
                         [](const auto& info) {
                           return std::string(std::get<0>(info.param).name) + "_seed" +
                                  std::to_string(std::get<1>(info.param));
                         });

// A failure does not tell which call it was. Several in a row must not postpone the next call for ever.
TEST(EndpointListPolling, IsNotPostponedByFurtherFailures) {
  Settings settings = test_settings();
  settings.list_on_request = true;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(3));
  router.run_to(100.5);
  const auto asked = router.actions(Action::subscribe).size();
  for (int i = 0; i < 100; ++i) {
    router.list(ListKind::failed, {});
    router.run_to(router.now + 0.1);
  }
  EXPECT_GE(router.actions(Action::subscribe).size(), asked + 3);
}

}  // namespace
}  // namespace flintglade::policy
