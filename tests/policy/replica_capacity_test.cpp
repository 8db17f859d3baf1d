#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "policy/scripted_router.h"
#include "policy/statistics.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

// Nominal sizes divide the keys in proportion. Rough sizes understate the differences between machines and
// are raised to the power of 1.6: a replica of size 3 among three of size 1 then gets 5.8 / 8.8 of the keys.
TEST(ReplicaCapacity, SizesDivideTheKeys) {
  for (const WeightSource source : {WeightSource::nominal, WeightSource::rough}) {
    Settings settings = test_settings();
    settings.weights = source;
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(4);
    replicas[0].size = 3.0;
    replicas[0].kind = 1;
    router.list(ListKind::cached, replicas);
    const auto at = placements(router, 1200);
    EXPECT_NEAR(std::count(at.begin(), at.end(), replicas[0].id), source == WeightSource::rough ? 791 : 600,
                60);
  }
}

// A live size decreases with load, which must not affect ordinary picks.
TEST(ReplicaCapacity, LiveSizesDoNotAffectOrdinaryPicks) {
  Settings settings = test_settings();
  settings.weights = WeightSource::live;
  ScriptedRouter router(settings);
  auto replicas = ready_replicas(6);
  router.list(ListKind::cached, replicas);
  const auto before = placements(router);
  replicas[2].size = 0.1;
  router.list(ListKind::delta, {replicas[2]});
  EXPECT_EQ(placements(router), before);
}

TEST(ReplicaCapacity, SlowKindsGetFewerKeysUnlessSizesAreNominal) {
  for (const WeightSource source : {WeightSource::silent, WeightSource::nominal, WeightSource::rough}) {
    Settings settings = test_settings();
    settings.weights = source;
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(10);
    for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].kind = i % 2;
    router.list(ListKind::cached, replicas);
    const auto slow = [&](ReplicaId id) { return id / 7919 % 2 == 0; };
    RunningStreams streams(router);
    for (RequestId id = 1; id <= 600; ++id) {
      streams.run_to(100.0 + static_cast<double>(id) * 0.1);
      router.receive(new_request(id, scrambled(id)));
      router.receive_first_event(id, 0);
      streams.add(id, slow(router.actions(Action::attempt, id)[0].replica) ? 3.0 : 1.0);
    }
    const auto at = placements(router, 400);
    const auto on_slow = std::count_if(at.begin(), at.end(), slow);
    if (source != WeightSource::nominal) {
      EXPECT_LT(on_slow, 110);
    } else {
      EXPECT_NEAR(on_slow, 200, 40);
    }
  }
}

// The list reports a larger size for machines that process prompts at a third of the others' speed. A router
// with a few dozen requests learns this from the latency of first events, for any number of cached tokens.
TEST(ReplicaCapacity, FirstEventsShowWhichKindHasFasterPrefill) {
  const auto share_of_slow = [](int requests, double seconds_per_token) {
    Settings settings = test_settings();
    settings.weights = WeightSource::rough;
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(10);
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      replicas[i].kind = i % 2;
      replicas[i].size = replicas[i].kind == 1 ? 6.0 : 4.0;
    }
    router.list(ListKind::cached, replicas);
    const auto kind = [&](ReplicaId id) {
      return std::find_if(replicas.begin(), replicas.end(),
                          [&](const Replica& replica) { return replica.id == id; })
          ->kind;
    };
    for (int i = 1; i <= requests; ++i) {
      const auto id = static_cast<RequestId>(i);
      NewRequest request = new_request(id, scrambled(id));
      request.prompt_tokens = 1000.0 * (1 + i % 5);
      const auto cached = static_cast<std::uint32_t>(i % 2 == 0 ? 600 : 0);
      router.receive(request);
      const bool slow = kind(router.actions(Action::attempt, id)[0].replica) == 1;
      const double tokens = request.prompt_tokens - cached + PrefillCost::kStepOverheadTokens;
      router.run_to(router.now + tokens * (slow ? seconds_per_token : 3e-5));
      router.receive_first_event(id, 0);
      router.run_to(router.now + 0.5);
      router.end_attempt(id, 0, Outcome::ok, true, cached);
    }
    const auto at = placements(router, 400);
    const auto slow = std::count_if(at.begin(), at.end(), [&](ReplicaId id) { return kind(id) == 1; });
    return static_cast<double>(slow) / 400.0;
  };
  EXPECT_GT(share_of_slow(0, 9e-5), 0.6);   // only the listed sizes are known
  EXPECT_LT(share_of_slow(24, 9e-5), 0.4);  // a third of the others' prefill speed, streams of equal length
  EXPECT_GT(share_of_slow(24, 3e-5), 0.45);
}

}  // namespace
}  // namespace flintglade::policy
