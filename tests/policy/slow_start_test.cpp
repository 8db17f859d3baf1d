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

// What a replica that started at time 0 gets at these times, as a part of the load under which it falls: the
// worst over all windows of fall_s. usual_rate: attempts a second that a warm replica carries.
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

// Routers of a fleet that all learn of the same start; the sum of what they send must stay within the budget.
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
      // Every warm replica fails for a while, so that retries press on the cold one too.
      if (i % 3 == 0) router.respond(id, 0, Outcome::error, false);
      router.accept(id, static_cast<std::uint32_t>(router.attempts_sent[id] - 1));
    }
    for (const Action& action : router.actions(Action::attempt)) {
      if (action.replica == kJoiner)
        times.push_back(time_of(static_cast<double>(action.id) - 1.0) - kStart - kSecondsBefore);
    }
  }
  return worst_overload(std::move(times), settings, routers * rate_each / warm);
}

TEST(SlowStart, OneRouterWithFewReplicasKeepsTheBudget) {
  EXPECT_LT(overload_of_one_joiner(1, 3, 60.0, 10.0), 1.0);
}

TEST(SlowStart, ManyRoutersKeepTheBudgetTogether) {
  EXPECT_LT(overload_of_one_joiner(40, 6, 2.0, 10.0), 1.0);
}

// A large fleet in which joiners are cold: of 100 routers only some are alive or have traffic, and what they
// see together is the same. The most that a joiner got in its window, as a part of what it falls under, and
// the mean number that one got in the first seconds, as a part of what it could do.
struct ColdJoin {
  double worst = 0.0, used = 0.0;
};

// uneven: some routers get ten times the requests of others.
ColdJoin cold_join(int alive, int warm, int joiners, double seconds, bool uneven = false) {
  Settings settings = test_settings();
  settings.balancers = std::max(100, alive);
  settings.cold_from = 0.31;
  settings.cold_s = 8.9;
  settings.fall_multiple = 2.5;
  settings.fall_s = 3.0;
  const double all = 180.0, carried = all / 40 * 1.5;  // a fleet of 40 at two thirds
  const auto weight = [uneven](int r) { return uneven ? 1.0 / (1 + r % 10) : 1.0; };
  double weights = 0.0;
  for (int r = 0; r < alive; ++r) weights += weight(r);
  std::map<ReplicaId, std::vector<double>> sent;
  for (int r = 0; r < alive; ++r) {
    ScriptedRouter router(settings, 1000 + static_cast<std::uint64_t>(r));
    router.list(ListKind::cached, ready_replicas(40));
    const double each = all * weight(r) / weights;
    const double from = router.now, join = from + 20.0 + r % 10 * 0.1;  // each learns of it a little later
    double at = from + 1.0 / each * r / alive;
    for (bool joined = false; at < join + seconds; at += 1.0 / each) {
      router.run_to(at);
      if (!joined && at >= join) {
        joined = true;
        std::vector<Replica> now;
        for (const Replica& replica : ready_replicas(warm)) now.push_back(replica);
        for (int i = 0; i < joiners; ++i) now.push_back(warm_replica(1 + i, from + 20.0));
        router.list(ListKind::full, now);
      }
      const RequestId id = router.next_id++;
      router.receive(new_request(id, scrambled(id * 100 + r)));
      for (const Action& action : router.actions(Action::attempt, id)) {
        if (action.replica <= 40) sent[action.replica].push_back(at - from - 20.0);
      }
      if (router.attempts_sent[id] == 0) continue;
      router.accept(id, 0);
      router.respond(id, 0, Outcome::ok, true);
      router.log.clear();
    }
  }
  ColdJoin out;
  for (const auto& [replica, times] : sent) {
    out.worst = std::max(out.worst, worst_overload(times, settings, carried));
    out.used += static_cast<double>(times.size()) / (carried * 0.5 * seconds) / joiners;
  }
  return out;
}

TEST(SlowStart, JoinersOfALargeFleetGetWorkAndNoneIsOverloaded) {
  for (const int alive : {100, 30, 5}) {
    for (const int joiners : {24, 2}) {
      const ColdJoin join = cold_join(alive, 40 - joiners, joiners, 6.0);
      EXPECT_LT(join.worst, 1.0) << alive << " routers, " << joiners << " joiners";
      EXPECT_GT(join.used, 0.35) << alive << " routers, " << joiners << " joiners";
    }
  }
}

TEST(SlowStart, AZoneThatComesBackColdAlmostAloneIsNotOverloaded) {
  for (const int alive : {100, 5}) EXPECT_LT(cold_join(alive, 4, 4, 6.0).worst, 1.0) << alive << " routers";
}

TEST(SlowStart, ThreeHundredRoutersWithUnevenTrafficOverloadNothing) {
  const ColdJoin zone = cold_join(300, 20, 20, 6.0, true), few = cold_join(300, 38, 2, 6.0, true);
  EXPECT_LT(zone.worst, 1.0);
  EXPECT_LT(few.worst, 1.0);
  EXPECT_GT(zone.used, 0.35);
  EXPECT_GT(few.used, 0.35);
  std::printf(
      "a zone back cold: %.2f of what it could do used, %.2f of the budget at most; two joiners: %.2f, "
      "%.2f\n",
      zone.used, zone.worst, few.used, few.worst);
}

// After a shrink, what is remembered of arrivals was carried by the larger fleet; taken as the few survivors'
// usual share it let a cold one be sent several times what it could do.
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

// While a slow release has most replicas down, arrivals over those few left overstate what one can carry.
TEST(SlowStart, AReleaseThatEmptiesTheFleetDoesNotInflateTheBudget) {
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
  // 100 a second over 10 replicas, at most 3 times a share of 0.1 to 0.18, for 2 s
  EXPECT_LE(sent, static_cast<std::size_t>(3.0 * 0.14 * 10.0 * 2.0));
}

TEST(SlowStart, BeginsAnewWhenAReplicaRestarts) {
  ScriptedRouter router(test_settings());
  auto replicas = ready_replicas(2);
  router.list(ListKind::cached, replicas);
  const auto before = placements(router, 400);
  replicas[0].started_at = router.now;
  router.list(ListKind::delta, {replicas[0]});
  const auto after = placements(router, 400);
  const auto n = std::count(after.begin(), after.end(), replicas[0].id);
  EXPECT_LT(n, std::count(before.begin(), before.end(), replicas[0].id) / 3);
}

}  // namespace
}  // namespace flintglade::policy
