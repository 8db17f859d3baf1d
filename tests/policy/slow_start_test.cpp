#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>
#include <utility>
#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

// The maximum load of a replica that started at time 0 and gets attempts at these times, over all windows of
// fall_s, as a fraction of the load at which it fails. usual_rate: attempts per second of a warm replica.
double worst_overload(std::vector<double> times, const Settings& settings, double usual_rate) {
  std::sort(times.begin(), times.end());
  double worst = 0.0;
  for (std::size_t first = 0, end = 0; first < times.size(); ++first) {
    while (end < times.size() && times[end] < times[first] + settings.fall_s) ++end;
    const double warm_share =
        std::min(1.0, settings.cold_from + (1.0 - settings.cold_from) * times[first] / settings.cold_s);
    const double limit = usual_rate * warm_share * settings.fall_multiple * settings.fall_s;
    worst = std::max(worst, static_cast<double>(end - first) / limit);
  }
  return worst;
}

// All routers of a fleet learn of the same replica start. Returns the worst_overload of that replica by the
// attempts of all routers together.
double overload_of_one_joiner(int routers, int warm, double rate_each, double seconds) {
  constexpr double kStart = 100.0, kSecondsBefore = 10.0;
  constexpr ReplicaId kJoiner = 4;
  Settings settings = test_settings();
  settings.balancers = routers;
  settings.fall_multiple = 3.0;
  settings.fall_s = 2.0;
  std::vector<double> times;  // of attempts at the joiner, since its start
  for (int number = 0; number < routers; ++number) {
    ScriptedRouter router(settings, 1000 + static_cast<std::uint64_t>(number));
    router.list(ListKind::cached, ready_replicas(warm));
    const int before = static_cast<int>(kSecondsBefore * rate_each);
    const int all = static_cast<int>((kSecondsBefore + seconds) * rate_each);
    const auto time_of = [rate_each](double index) { return kStart + (index + 0.3) / rate_each; };
    for (int i = 0; i < all; ++i) {
      const RequestId id = static_cast<RequestId>(i) + 1;
      router.run_to(time_of(i));
      if (i == before) router.list(ListKind::delta, {warm_replica(kJoiner, router.now)});
      router.receive(new_request(id, static_cast<std::uint64_t>(number) * 100000 + id));
      // A third of the first attempts fail, so that retries add load to the cold replica too.
      if (i % 3 == 0) router.end_attempt(id, 0, Outcome::error, false);
      router.receive_first_event(id, static_cast<std::uint32_t>(router.attempts_sent[id] - 1));
    }
    for (const Action& action : router.actions(Action::attempt)) {
      if (action.replica == kJoiner)
        times.push_back(time_of(static_cast<double>(action.id) - 1.0) - kStart - kSecondsBefore);
    }
  }
  return worst_overload(std::move(times), settings, routers * rate_each / warm);
}

TEST(SlowStart, OneRouterWithThreeReplicasStaysWithinTheBudget) {
  EXPECT_LT(overload_of_one_joiner(1, 3, 60.0, 10.0), 1.0);
}

TEST(SlowStart, ManyRoutersTogetherStayWithinTheBudget) {
  EXPECT_LT(overload_of_one_joiner(40, 6, 2.0, 10.0), 1.0);
}

// The result of cold_join. worst: the maximum load of a new replica, as a fraction of the load at which it
// fails. used: the mean load of the new replicas in the first seconds, as a fraction of their mean capacity
// while cold, assumed to be half of that of a warm replica.
struct ColdJoin {
  double worst = 0.0, used = 0.0;
};

// Cold replicas join a large fleet. Of 100 routers only `alive` have traffic; the total traffic is always the
// same. uneven: some routers get ten times the requests of others.
ColdJoin cold_join(int alive, int warm, int joiners, double seconds, bool uneven = false) {
  Settings settings = test_settings();
  settings.balancers = std::max(100, alive);
  settings.cold_from = 0.31;
  settings.cold_s = 8.9;
  settings.fall_multiple = 2.5;
  settings.fall_s = 3.0;
  // Requests per second in total, and the capacity of a replica: a fleet of 40 has a load of two thirds.
  const double total_rate = 180.0, capacity = total_rate / 40 * 1.5;
  const auto weight = [uneven](int number) { return uneven ? 1.0 / (1 + number % 10) : 1.0; };
  double total_weight = 0.0;
  for (int number = 0; number < alive; ++number) total_weight += weight(number);
  std::map<ReplicaId, std::vector<double>> sent;  // times of attempts since the start, by new replica
  for (int number = 0; number < alive; ++number) {
    ScriptedRouter router(settings, 1000 + static_cast<std::uint64_t>(number));
    router.list(ListKind::cached, ready_replicas(40));
    const double rate = total_rate * weight(number) / total_weight;
    // The routers learn of the start up to 0.9 s late.
    const double begin = router.now, list_time = begin + 20.0 + number % 10 * 0.1;
    double time = begin + 1.0 / rate * number / alive;
    for (bool listed = false; time < list_time + seconds; time += 1.0 / rate) {
      router.run_to(time);
      if (!listed && time >= list_time) {
        listed = true;
        std::vector<Replica> replicas;
        for (const Replica& replica : ready_replicas(warm)) replicas.push_back(replica);
        for (int i = 0; i < joiners; ++i) replicas.push_back(warm_replica(1 + i, begin + 20.0));
        router.list(ListKind::full, replicas);
      }
      const RequestId id = router.next_id++;
      router.receive(new_request(id, scrambled(id * 100 + number)));
      for (const Action& action : router.actions(Action::attempt, id)) {
        if (action.replica <= 40) sent[action.replica].push_back(time - begin - 20.0);
      }
      if (router.attempts_sent[id] == 0) continue;
      router.receive_first_event(id, 0);
      router.end_attempt(id, 0, Outcome::ok, true);
      router.log.clear();
    }
  }
  ColdJoin result;
  for (const auto& [replica, times] : sent) {
    result.worst = std::max(result.worst, worst_overload(times, settings, capacity));
    result.used += static_cast<double>(times.size()) / (capacity * 0.5 * seconds) / joiners;
  }
  return result;
}

TEST(SlowStart, NewReplicasOfALargeFleetGetWorkAndNoneIsOverloaded) {
  for (const int alive : {100, 30, 5}) {
    for (const int joiners : {24, 2}) {
      const ColdJoin join = cold_join(alive, 40 - joiners, joiners, 6.0);
      EXPECT_LT(join.worst, 1.0) << alive << " routers, " << joiners << " joiners";
      EXPECT_GT(join.used, 0.35) << alive << " routers, " << joiners << " joiners";
    }
  }
}

// Of 40 replicas only four warm and four cold ones are left.
TEST(SlowStart, AColdZoneThatIsHalfOfTheRemainingFleetIsNotOverloaded) {
  for (const int alive : {100, 5}) EXPECT_LT(cold_join(alive, 4, 4, 6.0).worst, 1.0) << alive << " routers";
}

TEST(SlowStart, ThreeHundredRoutersWithUnevenTrafficOverloadNoReplica) {
  const ColdJoin zone = cold_join(300, 20, 20, 6.0, true), two = cold_join(300, 38, 2, 6.0, true);
  EXPECT_LT(zone.worst, 1.0);
  EXPECT_LT(two.worst, 1.0);
  EXPECT_GT(zone.used, 0.35);
  EXPECT_GT(two.used, 0.35);
  std::printf(
      "a cold zone: %.2f of its capacity used, at most %.2f of the overload limit; two new replicas: %.2f, "
      "%.2f\n",
      zone.used, zone.worst, two.used, two.worst);
}

// After the fleet has shrunk, the measured arrival rate is still that of the larger fleet. When it was
// divided among the remaining replicas only, a cold replica was sent several times its capacity.
TEST(SlowStart, AShrunkFleetDoesNotInflateTheBudget) {
  Settings settings = test_settings();
  settings.cold_from = 0.1;
  std::size_t sent[2];
  for (const bool shrinks : {false, true}) {
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(12);
    router.list(ListKind::cached, replicas);
    RequestId id = 1;
    for (; id <= 1200; ++id) {
      router.run_to(100.0 + static_cast<double>(id) * 0.01);
      router.receive(new_request(id, id));
      router.balancer.on_client_disconnected(router.now, id, router);
    }
    for (std::size_t i = 2; shrinks && i < replicas.size(); ++i) replicas[i].health = Health::gone;
    replicas[0].started_at = router.now;
    router.list(ListKind::delta, replicas);
    for (; id <= 1400; ++id) {
      router.run_to(100.0 + static_cast<double>(id) * 0.01);
      router.receive(new_request(id, id));
      router.balancer.on_client_disconnected(router.now, id, router);
    }
    sent[shrinks] = 0;
    for (const Action& action : router.actions(Action::attempt))
      sent[shrinks] += action.replica == replicas[0].id && action.id > 1200;
  }
  EXPECT_LE(sent[1], static_cast<std::size_t>(0.5 * 3.0 * 0.18 * (100.0 / 12.0) * 2.0 + 3.0));
}

// While a slow rollout has most replicas down, the arrival rate per remaining replica overstates the capacity
// of a replica.
TEST(SlowStart, ARolloutThatRemovesMostReplicasDoesNotInflateTheBudget) {
  Settings settings = test_settings();
  settings.cold_from = 0.1;
  ScriptedRouter router(settings);
  auto replicas = ready_replicas(10);
  router.list(ListKind::cached, replicas);
  RequestId id = 1;
  std::size_t sent = 0;
  for (; id <= 6000; ++id) {
    router.run_to(100.0 + static_cast<double>(id) * 0.01);
    if (id % 500 == 0 && id / 500 < 8) {
      replicas[id / 500].health = Health::gone;
      router.list(ListKind::delta, {replicas[id / 500]});
    }
    if (id == 5800) router.list(ListKind::delta, {warm_replica(3, router.now)});
    router.receive(new_request(id, scrambled(id)));
    if (id >= 5800) {
      const auto first = router.actions(Action::attempt, id);
      sent += !first.empty() && first[0].replica == 3;
    }
    router.balancer.on_client_disconnected(router.now, id, router);
  }
  // 100 requests per second over 10 replicas, at most 3 times a warm share of 0.1 to 0.18, for 2 s.
  EXPECT_LE(sent, static_cast<std::size_t>(3.0 * 0.14 * 10.0 * 2.0));
}

TEST(SlowStart, StartsAgainWhenAReplicaRestarts) {
  ScriptedRouter router(test_settings());
  auto replicas = ready_replicas(2);
  router.list(ListKind::cached, replicas);
  const auto before = placements(router, 400);
  replicas[0].started_at = router.now;
  router.list(ListKind::delta, {replicas[0]});
  const auto after = placements(router, 400);
  const auto keys_after = std::count(after.begin(), after.end(), replicas[0].id);
  EXPECT_LT(keys_after, std::count(before.begin(), before.end(), replicas[0].id) / 3);
}

}  // namespace
}  // namespace flintglade::policy
