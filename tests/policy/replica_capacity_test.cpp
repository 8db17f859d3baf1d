#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "policy/scripted_router.h"
#include "policy/statistics.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

// Nominal sizes divide the keys in proportion; rough ones understate how far machines differ, and go to the
// power 1.6: a replica of size 3 beside three of size 1 is then due 5.8 / 8.8 of the keys.
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

// A live size falls with load; ordinary picks must not follow it.
TEST(ReplicaCapacity, LiveSizesDoNotSteerOrdinaryPicks) {
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

TEST(ReplicaCapacity, SlowKindsGetFewerKeysWhereTheListGivesNoSizes) {
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
      router.accept(id, 0);
      streams.add(id, slow(router.actions(Action::attempt, id)[0].replica) ? 3.0 : 1.0);
    }
    const auto at = placements(router, 400);
    const auto n = std::count_if(at.begin(), at.end(), slow);
    if (source != WeightSource::nominal) {
      EXPECT_LT(n, 110);
    } else {
      EXPECT_NEAR(n, 200, 40);
    }
  }
}

// A list calls machines larger that read at a third of the others' speed. A router that sees a few dozen
// requests learns it from the waits for first events, whatever was cached of the prompts.
TEST(ReplicaCapacity, FirstEventsShowWhichKindReadsFaster) {
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
      router.accept(id, 0);
      router.run_to(router.now + 0.5);
      router.respond(id, 0, Outcome::ok, true, cached);
    }
    const auto at = placements(router, 400);
    const auto slow = std::count_if(at.begin(), at.end(), [&](ReplicaId id) { return kind(id) == 1; });
    return static_cast<double>(slow) / 400.0;
  };
  EXPECT_GT(share_of_slow(0, 9e-5), 0.6);   // only the listed sizes are known
  EXPECT_LT(share_of_slow(24, 9e-5), 0.4);  // reads at a third of the others' speed, streams as long
  EXPECT_GT(share_of_slow(24, 3e-5), 0.45);
}

}  // namespace
}  // namespace flintglade::policy
