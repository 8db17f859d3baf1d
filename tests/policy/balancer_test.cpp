#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "policy/learned_state.h"
#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(FinalAnswer, ComesOnceByTheDeadlineWhileTheReplicaIsSilent) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5, router.now + 2.0));
  router.run_to(101.99);
  EXPECT_EQ(router.final_answers(1), 0u);
  router.run_to(102.01);
  EXPECT_EQ(router.final_answers(1), 1u);
  for (std::uint32_t n = 0; n < router.attempts_sent[1]; ++n) router.respond(1, n, Outcome::timeout, true);
  router.run_to(110.0);
  EXPECT_EQ(router.final_answers(1), 1u);
}

TEST(FinalAnswer, ComesOnceByTheDeadlineWithoutAnyReplica) {
  ScriptedRouter router(test_settings());
  router.receive(new_request(1, 5, router.now + 2.0));
  router.run_to(102.01);
  EXPECT_EQ(router.final_answers(1), 1u);
  EXPECT_TRUE(router.actions(Action::attempt).empty());
}

TEST(FinalAnswer, ComesAtOnceWhenTheLastAttemptFails) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  router.receive(new_request(1, 5));
  for (std::uint32_t n = 0; n < 4; ++n) router.respond(1, n, Outcome::connect_failed, false);
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 4u);
  EXPECT_EQ(router.final_answers(1), 1u);
}

TEST(FinalAnswer, IsFollowedByNoAttempt) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5));
  router.balancer.on_client_disconnected(router.now, 1, router);
  router.respond(1, 0, Outcome::error, true);
  router.balancer.on_client_disconnected(router.now, 999, router);
  router.respond(998, 3, Outcome::ok, true);
  router.accept(997, 1);
  router.run_to(120.0);
  EXPECT_EQ(router.actions(Action::attempt).size(), 1u);
  EXPECT_EQ(router.final_answers(1), 0u);
}

TEST(FinalAnswer, HasNoDeadlineOnceTheStreamHasStarted) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5));
  router.accept(1, 0);
  router.run_to(200.0);
  EXPECT_EQ(router.final_answers(1), 0u);
  router.respond(1, 0, Outcome::reset, true);
  EXPECT_EQ(router.actions(Action::attempt).size(), 1u);
}

TEST(FinalAnswer, ComesAtOnceForADeadlineThatIsNotANumber) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5, std::nan("")));
  router.run_to(100.1);
  EXPECT_EQ(router.final_answers(1), 1u);
}

TEST(Draining, ADrainingOrGoneReplicaGetsNoAttemptNotEvenARetry) {
  ScriptedRouter router(test_settings());
  auto replicas = ready_replicas(4);
  router.list(ListKind::cached, replicas);
  router.receive(new_request(1, 5));
  const ReplicaId first = router.actions(Action::attempt, 1)[0].replica;
  for (Replica& replica : replicas) {
    if (replica.id != first) replica.health = replica.id == replicas[0].id ? Health::gone : Health::draining;
  }
  router.list(ListKind::delta, replicas);
  router.respond(1, 0, Outcome::error, false);
  router.run_to(104.0);
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 1u);
  router.list(ListKind::full, {});  // a full list without anyone
  router.receive(new_request(2, 6));
  router.run_to(110.0);
  EXPECT_TRUE(router.actions(Action::attempt, 2).empty());
  EXPECT_EQ(router.final_answers(2), 1u);
}

// After a release that left a tombstone and a replica that fails, with admission down: the successor of this
// process places each key where it did, passes over the same replica and refuses as much; one that was told
// nothing does not.
TEST(HotRestart, ASuccessorContinuesWithTheLearnedState) {
  Settings settings = test_settings();
  settings.retry_after = true;
  ScriptedRouter old(settings, 1), successor(settings, 2), fresh(settings, 2);
  auto replicas = ready_replicas(9);
  old.list(ListKind::cached, replicas);
  Replica gone = replicas[2];
  gone.health = Health::gone;
  old.list(ListKind::delta, {gone});
  replicas.erase(replicas.begin() + 2);
  for (RequestId id = 1; id <= 60; ++id) {
    old.run_to(old.now + 0.05);
    old.receive(new_request(id, scrambled(id)));
    if (old.actions(Action::attempt, id).empty()) continue;
    old.run_to(old.now + (id % 3 == 0 ? 1.05 : 0.1));
    old.accept(id, 0);
    old.respond(id, 0, Outcome::ok, true);
  }
  const ReplicaId bad = replicas[4].id;
  std::uint64_t there = 1;
  while (old.place(there) != bad) ++there;
  for (RequestId id = 101; id <= 104; ++id) {
    old.receive(new_request(id, there));
    for (const Action& action : old.actions(Action::attempt, id))
      old.respond(id, 0, action.replica == bad ? Outcome::reset : Outcome::cancelled, true);
  }
  for (ScriptedRouter* router : {&successor, &fresh}) {
    router->run_to(old.now);
    router->list(ListKind::cached, replicas);
  }
  successor.balancer.adopt(successor.now, old.balancer.learned(), successor);
  for (ScriptedRouter* router : {&old, &successor, &fresh}) {
    router->run_to(router->now + 0.2);
    router->place(there);
  }
  EXPECT_GE(old.balancer.avoided(old.now), 1u);
  EXPECT_EQ(successor.balancer.avoided(successor.now), old.balancer.avoided(old.now));
  EXPECT_EQ(fresh.balancer.avoided(fresh.now), 0u);
  EXPECT_EQ(successor.balancer.learned().admitted_share, old.balancer.learned().admitted_share);
  EXPECT_LT(successor.balancer.learned().admitted_share, 0.95);
  int moved = 0, all = 0, differ = 0;
  for (std::uint64_t session = 1; session <= 400; ++session) {
    const ReplicaId before = old.place(session);
    if (before == 0) continue;
    const ReplicaId after = successor.place(session), without = fresh.place(session);
    if (after == 0) continue;   // rejected by its own draw
    differ += after != before;  // each refuses by its own draw, so that what they see parts slowly
    moved += without != before;
    ++all;
  }
  EXPECT_GT(all, 100);
  EXPECT_LE(differ, all / 50);
  EXPECT_GT(moved, all / 4);
}

// Settings that differ say different things by the same places: nothing is taken.
TEST(HotRestart, NothingIsAdoptedFromOtherSettings) {
  Settings two = test_settings();
  two.classes.push_back(two.classes[0]);
  ScriptedRouter a(two), b(test_settings());
  b.list(ListKind::cached, ready_replicas(5));
  const auto before = placements(b);
  a.list(ListKind::cached, ready_replicas(9));
  b.balancer.adopt(b.now, a.balancer.learned(), b);
  EXPECT_EQ(placements(b), before);
}

TEST(Determinism, IdenticalEventsGiveIdenticalActions) {
  const auto play = [] {
    ScriptedRouter router(test_settings(), 9);
    router.list(ListKind::cached, ready_replicas(7));
    for (RequestId id = 1; id <= 200; ++id) {
      router.receive(prefixed(id, id * 31, id % 5, 0.8));
      if (id % 3 == 0) router.respond(id, 0, Outcome::error, false);
      if (id % 3 == 1) router.accept(id, 0);
      router.run_to(router.now + 0.07);
    }
    router.run_to(140.0);
    std::vector<std::pair<RequestId, ReplicaId>> sent;
    for (const Action& action : router.log) sent.emplace_back(action.id, action.replica);
    return sent;
  };
  EXPECT_EQ(play(), play());
}

TEST(Misuse, TimeGoingBackwardsCountsAsTheLaterTime) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5, 102.0));
  router.now = 50.0;
  router.receive(new_request(2, 6, 101.0));
  EXPECT_EQ(router.actions(Action::attempt).size(), 2u);
  router.now = 100.0;
  router.run_to(103.0);
  EXPECT_EQ(router.final_answers(1), 1u);
  EXPECT_EQ(router.final_answers(2), 1u);
}

}  // namespace
}  // namespace flintglade::policy
