#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(RetryRules, ANonIdempotentRequestIsNeitherRetriedNorRejectedOnceItMayHaveRun) {
  Settings settings = test_settings();
  settings.classes[0].semantics = Semantics::not_idempotent;
  ScriptedRouter router(settings);
  router.list(ListKind::cached, ready_replicas(6));
  router.receive(new_request(1, 5));
  router.end_attempt(1, 0, Outcome::full, false);  // certainly did not run: may be retried
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 2u);
  router.run_to(103.0);  // no hedged request meanwhile
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 2u);
  router.end_attempt(1, 1, Outcome::reset, false);
  EXPECT_EQ(router.actions(Action::attempt, 1).size(), 2u);
  EXPECT_EQ(router.actions(Action::reject, 1).size(), 0u);
  EXPECT_EQ(router.actions(Action::fail, 1).size(), 1u);
}

TEST(RetryRules, ARequestWithIdempotencyKeyIsRetriedOnlyInItsScopeAndWithinTheKeysLifetime) {
  Settings settings = test_settings();
  settings.zones = 2;
  settings.classes[0].semantics = Semantics::idempotency_key;
  settings.classes[0].idempotency_scope = IdempotencyScope::zone;
  settings.classes[0].key_ttl = 1.5;
  settings.may_duplicate = false;
  for (std::uint64_t session = 1; session < 40; ++session) {
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(8);
    for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i % 2;
    router.list(ListKind::cached, replicas);
    const auto zone = [&](ReplicaId id) {
      return std::find_if(replicas.begin(), replicas.end(),
                          [&](const Replica& replica) { return replica.id == id; })
          ->zone;
    };
    router.receive(new_request(1, session));
    router.run_to(101.0);
    router.end_attempt(1, 0, Outcome::error, false);
    auto sent = router.actions(Action::attempt, 1);
    ASSERT_EQ(sent.size(), 2u);
    EXPECT_EQ(zone(sent[0].replica), zone(sent[1].replica));
    router.run_to(101.6);  // key_ttl counts from the first attempt that may have run
    router.end_attempt(1, 1, Outcome::error, false);
    EXPECT_EQ(router.actions(Action::attempt, 1).size(), 2u);
    EXPECT_EQ(router.actions(Action::fail, 1).size(), 1u);
    EXPECT_EQ(router.actions(Action::reject, 1).size(), 0u);
  }
}

// Replicas drop a repeat only if it arrives within the key's lifetime, and establishing the connection for it
// may take up to dial_timeout.
TEST(RetryRules, ARetryIsWrittenWithinTheKeysLifetimeEvenIfItNeedsANewConnection) {
  for (const double dial_timeout : {0.0, 0.1, 0.4}) {
    for (const double failed_after : {0.9, 1.05, 1.2, 1.45}) {
      Settings settings = test_settings();
      settings.classes[0].semantics = Semantics::idempotency_key;
      settings.classes[0].key_ttl = 1.5;
      settings.may_duplicate = false;
      settings.dial_timeout = dial_timeout;
      ScriptedRouter router(settings);
      router.list(ListKind::cached, ready_replicas(4));
      router.receive(new_request(1, 7));
      router.run_to(100.0 + failed_after);
      router.end_attempt(1, 0, Outcome::error, false);
      EXPECT_EQ(router.actions(Action::attempt, 1).size(), failed_after + dial_timeout < 1.5 ? 2u : 1u)
          << dial_timeout << ' ' << failed_after;
    }
  }
}

TEST(RetryRules, ARetrySkipsReplicasAlreadyTried) {
  ScriptedRouter router(test_settings());
  router.list(ListKind::cached, ready_replicas(8));
  router.receive(new_request(1, 5));
  for (std::uint32_t n = 0; n < 3; ++n) router.end_attempt(1, n, Outcome::full, false);
  std::set<ReplicaId> tried;
  for (const Action& action : router.actions(Action::attempt, 1)) tried.insert(action.replica);
  EXPECT_EQ(tried.size(), 4u);
}

}  // namespace
}  // namespace flintglade::policy
