#include <gtest/gtest.h>

#include <set>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

std::set<ReplicaId> replicas_of_prefix(ScriptedRouter& router, RequestId from, double part, int others) {
  std::set<ReplicaId> seen;
  for (RequestId id = from; id < from + 200; ++id) {
    for (int k = 0; k < others; ++k) {
      const RequestId other = id * 100 + static_cast<RequestId>(k);
      router.receive(prefixed(other, other, other, 0.9));
      router.balancer.on_client_disconnected(router.now, other, router);
    }
    router.receive(prefixed(id, id, 42, part));
    if (id >= from + 100) seen.insert(router.actions(Action::attempt, id)[0].replica);
    router.balancer.on_client_disconnected(router.now, id, router);
    router.run_to(router.now + 0.05);
  }
  return seen;
}

TEST(HotPrefixes, APrefixKeepsToOneReplicaWhileItIsNotHot) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  EXPECT_EQ(replicas_of_prefix(router, 1000, 0.9, 24).size(), 1u);
}

TEST(HotPrefixes, AHotPrefixIsSpreadOverAFewReplicas) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(24));
  const auto n = replicas_of_prefix(router, 1000, 0.9, 9).size();
  EXPECT_GE(n, 3u);
  EXPECT_LE(n, 12u);
}

// A walk of rehashes reaches two dozen replicas; of hundreds, those carried the whole of a hot prefix.
TEST(HotPrefixes, AVeryHotPrefixInALargeFleetGetsSubKeysOfItsOwn) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(200));
  EXPECT_GT(replicas_of_prefix(router, 1000, 0.9, 14).size(), 30u);
}

TEST(HotPrefixes, AShortPrefixIsNotTheKey) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  EXPECT_EQ(replicas_of_prefix(router, 1000, 0.3, 24).size(), 8u);
}

// A prompt far longer than its prefix saves as much by a hit as the mean one does.
TEST(HotPrefixes, ALongPromptGoesWhereItsPrefixIsCachedIfThatIsHalfOfAMeanPrompt) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(40));
  for (RequestId id = 1; id <= 100; ++id) router.receive(prefixed(id, id, id, 0.9));  // prompts of 1,000
  const auto long_prompt = [&](RequestId id, double prefix_tokens) {
    NewRequest request = prefixed(id, id, 42, 0.9);
    request.prompt_tokens = 4000.0;
    request.prefix_tokens = prefix_tokens;
    router.receive(request);
    return router.actions(Action::attempt, id)[0].replica;
  };
  router.receive(prefixed(1000, 1000, 42, 0.9));
  const ReplicaId home = router.actions(Action::attempt, 1000)[0].replica;
  EXPECT_EQ(long_prompt(1001, 900.0), home);
  std::set<ReplicaId> short_prefix;  // one of 300 is under half of the mean prompt: each goes by its session
  for (RequestId id = 2000; id < 2010; ++id) short_prefix.insert(long_prompt(id, 300.0));
  EXPECT_GT(short_prefix.size(), 3u);
}

// Plays requests over a set of equally popular prefixes, all found cached or all missed; gives how many
// replicas the last ones of prefix 1 were spread over.
std::size_t replicas_of_first_prefix(int replicas, int prefixes, bool cached) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(replicas));
  std::set<ReplicaId> seen;
  for (RequestId id = 1; id <= 1500; ++id) {
    router.run_to(router.now + 0.02);
    router.receive(prefixed(id, scrambled(id), 1 + id % static_cast<RequestId>(prefixes), 0.9));
    const auto sent = router.actions(Action::attempt, id);
    if (sent.empty()) continue;
    if (id > 700 && id % static_cast<RequestId>(prefixes) == 0) seen.insert(sent[0].replica);
    router.accept(id, 0);
    router.respond(id, 0, Outcome::ok, true, cached ? 1000 : 0);
  }
  return seen.size();
}

// Fewer prefixes than replicas leave most replicas idle and a few overrun, unless copies everywhere cost
// nothing.
TEST(HotPrefixes, AreSpreadWiderWhileTheirCopiesAreFoundAndReplicasOutnumberThem) {
  const auto missed = replicas_of_first_prefix(40, 20, false);
  EXPECT_LE(missed, 10u);
  EXPECT_GE(replicas_of_first_prefix(40, 20, true), missed + 10);
}

TEST(HotPrefixes, AreNotSpreadWiderWhereTheyOutnumberTheReplicas) {
  EXPECT_EQ(replicas_of_first_prefix(12, 60, true), 1u);
}

}  // namespace
}  // namespace flintglade::policy
