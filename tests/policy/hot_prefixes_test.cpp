#include <gtest/gtest.h>

#include <set>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

// Sends 200 requests with one prefix, which is this fraction of the prompt, and before each of them `others`
// requests with prefixes of their own. Returns the replicas of the last 100 requests with the prefix.
std::set<ReplicaId> replicas_of_prefix(ScriptedRouter& router, RequestId from, double prefix_fraction,
                                       int others) {
  std::set<ReplicaId> used;
  for (RequestId id = from; id < from + 200; ++id) {
    for (int i = 0; i < others; ++i) {
      const RequestId other = id * 100 + static_cast<RequestId>(i);
      router.receive(prefixed(other, other, other, 0.9));
      router.balancer.on_client_disconnected(router.now, other, router);
    }
    router.receive(prefixed(id, id, 42, prefix_fraction));
    if (id >= from + 100) used.insert(router.actions(Action::attempt, id)[0].replica);
    router.balancer.on_client_disconnected(router.now, id, router);
    router.run_to(router.now + 0.05);
  }
  return used;
}

TEST(HotPrefixes, APrefixThatIsNotHotStaysOnOneReplica) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  EXPECT_EQ(replicas_of_prefix(router, 1000, 0.9, 24).size(), 1u);
}

TEST(HotPrefixes, AHotPrefixIsSpreadOverSeveralReplicas) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(24));
  const auto used = replicas_of_prefix(router, 1000, 0.9, 9).size();
  EXPECT_GE(used, 3u);
  EXPECT_LE(used, 12u);
}

// The rehashes of one key reach only about 24 replicas. Without sub-keys, these carried the whole load of a
// hot prefix in a fleet of hundreds.
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

// With a prompt much longer than its prefix, a cache hit saves as much as with a mean prompt.
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
  // A prefix of 300 tokens is below half of the mean prompt: requests are placed by session.
  std::set<ReplicaId> replicas_of_short_prefix;
  for (RequestId id = 2000; id < 2010; ++id) replicas_of_short_prefix.insert(long_prompt(id, 300.0));
  EXPECT_GT(replicas_of_short_prefix.size(), 3u);
}

// Sends requests with a set of equally popular prefixes, either all cache hits or all misses. Returns the
// number of replicas over which the last requests of prefix 1 were spread.
std::size_t replicas_of_first_prefix(int replicas, int prefixes, bool cached) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(replicas));
  std::set<ReplicaId> used;
  for (RequestId id = 1; id <= 1500; ++id) {
    router.run_to(router.now + 0.02);
    router.receive(prefixed(id, scrambled(id), 1 + id % static_cast<RequestId>(prefixes), 0.9));
    const auto sent = router.actions(Action::attempt, id);
    if (sent.empty()) continue;
    if (id > 700 && id % static_cast<RequestId>(prefixes) == 0) used.insert(sent[0].replica);
    router.receive_first_event(id, 0);
    router.end_attempt(id, 0, Outcome::ok, true, cached ? 1000 : 0);
  }
  return used.size();
}

// With fewer prefixes than replicas, some replicas are overloaded while most are idle, unless the prefixes
// are spread. Wider spreading costs nothing while requests find the prefix cached.
TEST(HotPrefixes, AreSpreadWiderWhileTheyAreFoundCachedAndReplicasOutnumberThem) {
  const auto missed = replicas_of_first_prefix(40, 20, false);
  EXPECT_LE(missed, 10u);
  EXPECT_GE(replicas_of_first_prefix(40, 20, true), missed + 10);
}

TEST(HotPrefixes, AreNotSpreadWiderWhereTheyOutnumberTheReplicas) {
  EXPECT_EQ(replicas_of_first_prefix(12, 60, true), 1u);
}

}  // namespace
}  // namespace flintglade::policy
