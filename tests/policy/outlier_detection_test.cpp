#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <vector>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(OutlierDetection, AnOutlierKeepsSomeKeysAndRecovers) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  const auto before = placements(router);
  const ReplicaId bad = before[0];
  for (RequestId id = 1; id <= 5; ++id) {
    router.receive(new_request(id, 1000003));
    const auto sent = router.actions(Action::attempt, id);
    if (sent.back().replica == bad) router.end_attempt(id, 0, Outcome::reset, false);
    router.balancer.on_client_disconnected(router.now, id, router);
    for (std::uint32_t n = 0; n < router.attempts_sent[id]; ++n)
      router.end_attempt(id, n, Outcome::cancelled, true);
  }
  const auto during = placements(router);
  EXPECT_LT(std::count(during.begin(), during.end(), bad), std::count(before.begin(), before.end(), bad) / 2);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != bad) {
      EXPECT_EQ(during[i], before[i]);  // the keys of other replicas do not move
    }
  }
  router.run_to(140.0);
  EXPECT_EQ(placements(router), before);
}

TEST(OutlierDetection, ARejectionAsFullIsNoFailureOfTheReplica) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  const auto before = placements(router);
  for (RequestId id = 1; id <= 20; ++id) {
    router.receive(new_request(id, 1000003));
    router.end_attempt(id, 0, Outcome::full, false);
    router.balancer.on_client_disconnected(router.now, id, router);
    router.end_attempt(id, 1, Outcome::cancelled, true);
  }
  router.run_to(router.now + 2.0);
  for (RequestId id = 100; id < 500; ++id) {  // answers in time again: nothing is rejected
    router.receive(new_request(id, id));
    router.receive_first_event(id, 0);
    router.end_attempt(id, 0, Outcome::ok, true);
  }
  EXPECT_EQ(placements(router), before);
}

TEST(OutlierDetection, AFullReplicaIsSkippedBriefly) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  const ReplicaId home = router.place(77);
  router.receive(new_request(1, 77));
  router.end_attempt(1, 0, Outcome::full, false);  // it may be draining, which the list reports only later
  EXPECT_NE(router.place(77), home);
  router.run_to(router.now + 2.0);
  EXPECT_EQ(router.place(77), home);
}

// Ten routers that get one request per second each. The slow replica must lose keys before its first streams
// have ended.
TEST(OutlierDetection, ASlowReplicaIsDetectedWhileItsFirstStreamsAreRunning) {
  int early = 0, late = 0;
  for (std::uint64_t number = 0; number < 10; ++number) {
    Settings settings = test_settings();
    settings.balancers = 10;
    ScriptedRouter router(settings, number + 1);
    router.list(ListKind::cached, ready_replicas(10));
    RunningStreams streams(router);
    for (RequestId id = 1; id <= 60; ++id) {
      streams.run_to(router.now + 1.0);
      router.receive(new_request(id, scrambled(id + 100 * number)));
      router.receive_first_event(id, 0);
      const bool slow = router.actions(Action::attempt, id)[0].replica == 7919;
      streams.add(id, slow ? 30.0 : 1.0);
      (id <= 20 ? early : late) += slow;
    }
  }
  EXPECT_GT(early, 8);  // of 200: about a tenth, before the replica is known to be slow
  EXPECT_LT(late, 28);  // of 400
}

// A fleet of many routers, each of which rarely sends to any one replica. If one router detects a failure
// late, all of them do.
struct TrafficCounts {
  int failed = 0, own = 0, served = 0;
};

Settings one_of_many() {
  Settings settings = test_settings();
  settings.balancers = 100;
  settings.zones = 2;
  settings.zone = 1;
  settings.price_cross_zone = 0.1;
  return settings;
}

std::vector<Replica> two_zones() {
  auto replicas = ready_replicas(40);
  for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i % 2;
  return replicas;
}

// One router of 100 gets 3 requests per second. Replicas for which is_down() is true refuse connections, the
// others answer immediately.
template <typename IsDown>
TrafficCounts run_traffic(ScriptedRouter& router, double seconds, const std::vector<Replica>& replicas,
                          const IsDown& is_down) {
  TrafficCounts counts;
  const double end = router.now + seconds;
  while (router.now < end) {
    router.run_to(router.now + 0.33);
    const RequestId id = router.next_id++;
    router.receive(new_request(id, scrambled(id)));
    for (std::uint32_t n = 0; n < router.attempts_sent[id]; ++n) {
      const ReplicaId at = router.actions(Action::attempt, id)[n].replica;
      if (is_down(at)) {
        ++counts.failed;
        router.end_attempt(id, n, Outcome::connect_failed, false);
        continue;
      }
      router.receive_first_event(id, n);
      router.end_attempt(id, n, Outcome::ok, true);
      ++counts.served;
      for (const Replica& replica : replicas) counts.own += replica.id == at && replica.zone == 1;
    }
  }
  return counts;
}

TEST(OutlierDetection, ALostZoneIsSkippedAfterAFewFailedConnectsAndRecovers) {
  Settings settings = one_of_many();
  settings.max_attempts = 3;
  auto replicas = two_zones();
  const auto own = [](ReplicaId id) { return id / 7919 % 2 == 0; };
  TrafficCounts all;
  for (std::uint64_t number = 0; number < 100; ++number) {
    ScriptedRouter router(settings, number + 1);
    router.list(ListKind::cached, replicas);
    router.next_id += number * 1000;
    run_traffic(router, 5.0, replicas, [](ReplicaId) { return false; });
    const TrafficCounts lost = run_traffic(router, 10.0, replicas, own);
    all.failed += lost.failed;
    all.served += lost.served;
    for (Replica& replica : replicas)
      replica.started_at = own(replica.id) ? router.now - 50.0 : 0.0;  // the list reports them as restarted
    router.list(ListKind::full, replicas);
    all.own += run_traffic(router, 5.0, replicas, [](ReplicaId) { return false; }).own;
    for (Replica& replica : replicas) replica.started_at = 0.0;
  }
  EXPECT_LT(all.failed, 100 * 8);            // a router needs few failures to detect the loss of 20 replicas
  EXPECT_GT(all.served, 100 * 30 * 9 / 10);  // nearly all requests are served by the other zone
  EXPECT_GT(all.own, 100 * 15 / 2);          // and later by the own zone again
}

TEST(OutlierDetection, OneUnreachableReplicaIsNoLostZone) {
  const auto replicas = two_zones();
  ScriptedRouter router(one_of_many());
  router.list(ListKind::cached, replicas);
  const TrafficCounts counts =
      run_traffic(router, 60.0, replicas, [&](ReplicaId id) { return id == replicas[1].id; });
  EXPECT_LT(counts.failed, 15);
  EXPECT_GT(counts.own, counts.served * 9 / 10);
}

// A health warning from other routers makes this router skip the replica for a limited time. It does not
// prevent picks if there is no other replica.
TEST(OutlierDetection, AReplicaWithAHealthWarningIsSkippedUntilTheWarningExpires) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(4));
  std::uint64_t session = 1;
  const ReplicaId home = router.place(session);
  router.balancer.on_health_warning(router.now, home, 3.0);
  router.balancer.on_health_warning(router.now, 12345, 3.0);  // in no list
  EXPECT_EQ(router.balancer.avoided(router.now), 1u);
  EXPECT_NE(router.place(session), home);
  router.run_to(router.now + 3.1);
  EXPECT_EQ(router.place(session), home);
  router.balancer.on_health_warning(router.now, home, 1e9);  // no warning counts for longer than 10 s
  router.run_to(router.now + 10.1);
  EXPECT_EQ(router.place(session), home);
  for (const Replica& replica : ready_replicas(4))
    router.balancer.on_health_warning(router.now, replica.id, 5.0);
  EXPECT_NE(router.place(session), 0u);  // with warnings for all replicas, one is still picked
}

}  // namespace
}  // namespace flintglade::policy
