#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "policy/learned_state.h"
#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(FinalAnswer, ComesOnceByTheDeadlineIfTheReplicaDoesNotAnswer) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5, router.now + 2.0));
  router.run_to(101.99);
  EXPECT_EQ(router.final_answers(1), 0u);
  router.run_to(102.01);
  EXPECT_EQ(router.final_answers(1), 1u);
  for (std::uint32_t n = 0; n < router.attempts_sent[1]; ++n)
    router.end_attempt(1, n, Outcome::timeout, true);
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
  for (std::uint32_t n = 0; n < 4; ++n) router.end_attempt(1, n, Outcome::connect_failed, false);
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 4u);
  EXPECT_EQ(router.final_answers(1), 1u);
}

TEST(FinalAnswer, IsFollowedByNoAttempt) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5));
  router.balancer.on_client_disconnected(router.now, 1, router);
  router.end_attempt(1, 0, Outcome::error, true);
  router.balancer.on_client_disconnected(router.now, 999, router);
  router.end_attempt(998, 3, Outcome::ok, true);
  router.receive_first_event(997, 1);
  router.run_to(120.0);
  EXPECT_EQ(router.actions(Action::attempt).size(), 1u);
  EXPECT_EQ(router.final_answers(1), 0u);
}

TEST(FinalAnswer, HasNoDeadlineOnceTheStreamHasStarted) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(3));
  router.receive(new_request(1, 5));
  router.receive_first_event(1, 0);
  router.run_to(200.0);
  EXPECT_EQ(router.final_answers(1), 0u);
  router.end_attempt(1, 0, Outcome::reset, true);
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
  router.end_attempt(1, 0, Outcome::error, false);
  router.run_to(104.0);
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 1u);
  router.list(ListKind::full, {});  // a complete list without replicas
  router.receive(new_request(2, 6));
  router.run_to(110.0);
  EXPECT_TRUE(router.actions(Action::attempt, 2).empty());
  EXPECT_EQ(router.final_answers(2), 1u);
}

// The predecessor has a tombstone, a failing replica and a reduced admitted share. Its successor must place
// the same keys on the same replicas, avoid the same replica and have the same admitted share; a router
// without the learned state does not.
TEST(HotRestart, ASuccessorContinuesWithTheLearnedState) {
  Settings settings = test_settings();
  settings.retry_after = true;
  ScriptedRouter predecessor(settings, 1), successor(settings, 2), fresh(settings, 2);
  auto replicas = ready_replicas(9);
  predecessor.list(ListKind::cached, replicas);
  Replica removed = replicas[2];
  removed.health = Health::gone;
  predecessor.list(ListKind::delta, {removed});
  replicas.erase(replicas.begin() + 2);
  for (RequestId id = 1; id <= 60; ++id) {
    predecessor.run_to(predecessor.now + 0.05);
    predecessor.receive(new_request(id, scrambled(id)));
    if (predecessor.actions(Action::attempt, id).empty()) continue;
    predecessor.run_to(predecessor.now + (id % 3 == 0 ? 1.05 : 0.1));
    predecessor.receive_first_event(id, 0);
    predecessor.end_attempt(id, 0, Outcome::ok, true);
  }
  const ReplicaId failing = replicas[4].id;
  std::uint64_t session_of_failing = 1;
  while (predecessor.place(session_of_failing) != failing) ++session_of_failing;
  for (RequestId id = 101; id <= 104; ++id) {
    predecessor.receive(new_request(id, session_of_failing));
    for (const Action& action : predecessor.actions(Action::attempt, id))
      predecessor.end_attempt(id, 0, action.replica == failing ? Outcome::reset : Outcome::cancelled, true);
  }
  for (ScriptedRouter* router : {&successor, &fresh}) {
    router->run_to(predecessor.now);
    router->list(ListKind::cached, replicas);
  }
  successor.balancer.adopt(successor.now, predecessor.balancer.learned(), successor);
  for (ScriptedRouter* router : {&predecessor, &successor, &fresh}) {
    router->run_to(router->now + 0.2);
    router->place(session_of_failing);
  }
  EXPECT_GE(predecessor.balancer.avoided(predecessor.now), 1u);
  EXPECT_EQ(successor.balancer.avoided(successor.now), predecessor.balancer.avoided(predecessor.now));
  EXPECT_EQ(fresh.balancer.avoided(fresh.now), 0u);
  EXPECT_EQ(successor.balancer.learned().admitted_share, predecessor.balancer.learned().admitted_share);
  EXPECT_LT(successor.balancer.learned().admitted_share, 0.95);
  int compared = 0, differ_in_successor = 0, differ_in_fresh = 0;
  for (std::uint64_t session = 1; session <= 400; ++session) {
    const ReplicaId before = predecessor.place(session);
    if (before == 0) continue;
    const ReplicaId after = successor.place(session), without = fresh.place(session);
    if (after == 0) continue;  // rejected: each router draws its own random numbers
    // For the same reason the states of predecessor and successor slowly diverge.
    differ_in_successor += after != before;
    differ_in_fresh += without != before;
    ++compared;
  }
  EXPECT_GT(compared, 100);
  EXPECT_LE(differ_in_successor, compared / 50);
  EXPECT_GT(differ_in_fresh, compared / 4);
}

// The slots of the predecessor were handed on beside the successor's own: each restart doubled them, and the
// keys moved to other replicas.
TEST(HotRestart, HandsEachSlotOnOnceInAChainOfRestarts) {
  constexpr int kReplicas = 9;
  ScriptedRouter first(test_settings()), second(test_settings()), third(test_settings());
  for (ScriptedRouter* router : {&first, &second, &third})
    router->list(ListKind::cached, ready_replicas(kReplicas));
  second.balancer.adopt(second.now, first.balancer.learned(), second);
  EXPECT_EQ(second.balancer.learned().slots.size(), std::size_t{kReplicas});
  third.balancer.adopt(third.now, second.balancer.learned(), third);
  EXPECT_EQ(third.balancer.learned().slots, first.balancer.learned().slots);
  EXPECT_EQ(placements(third), placements(first));
}

// Fixed slots that no replica fills were read in front of the replica table.
TEST(HotRestart, HandsOnNoSlotThatIsNotFilled) {
  Settings settings = test_settings();
  settings.slots = 64;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, {});
  EXPECT_TRUE(router.balancer.learned().slots.empty());
  auto replicas = ready_replicas(3);
  for (Replica& replica : replicas) replica.zone = 1;
  router.list(ListKind::cached, replicas);
  EXPECT_EQ(router.balancer.learned().slots.size(), 64u);
  EXPECT_TRUE(router.balancer.learned().own_zone_slots.empty());
}

// With other settings the same indices mean other classes: nothing is adopted.
TEST(HotRestart, NothingIsAdoptedFromOtherSettings) {
  Settings two_classes = test_settings();
  two_classes.classes.push_back(two_classes.classes[0]);
  ScriptedRouter predecessor(two_classes), successor(test_settings());
  successor.list(ListKind::cached, ready_replicas(5));
  const auto before = placements(successor);
  predecessor.list(ListKind::cached, ready_replicas(9));
  successor.balancer.adopt(successor.now, predecessor.balancer.learned(), successor);
  EXPECT_EQ(placements(successor), before);
}

TEST(Determinism, IdenticalEventsGiveIdenticalActions) {
  const auto play = [] {
    ScriptedRouter router(test_settings(), 9);
    router.list(ListKind::cached, ready_replicas(7));
    for (RequestId id = 1; id <= 200; ++id) {
      router.receive(prefixed(id, id * 31, id % 5, 0.8));
      if (id % 3 == 0) router.end_attempt(id, 0, Outcome::error, false);
      if (id % 3 == 1) router.receive_first_event(id, 0);
      router.run_to(router.now + 0.07);
    }
    router.run_to(140.0);
    std::vector<std::pair<RequestId, ReplicaId>> sent;
    for (const Action& action : router.log) sent.emplace_back(action.id, action.replica);
    return sent;
  };
  EXPECT_EQ(play(), play());
}

TEST(Misuse, ATimeThatGoesBackwardsIsReplacedByThePreviousTime) {
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
