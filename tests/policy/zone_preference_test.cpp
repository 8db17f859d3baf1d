#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "policy/scripted_router.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

TEST(ZonePreference, AnOwnZoneThatIsTooSmallForItsTrafficSendsTheRestAcross) {
  Settings settings = test_settings();
  settings.zones = 2;
  settings.zone = 1;
  settings.price_cross_zone = 0.1;
  ScriptedRouter router(settings);
  auto replicas = ready_replicas(9);
  for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i < 3 ? 1 : 0;
  router.list(ListKind::cached, replicas);
  int own = 0;
  for (RequestId id = 1; id <= 180; ++id) {
    router.receive(new_request(id, scrambled(id)));
    router.accept(id, 0);
    own += router.actions(Action::attempt, id)[0].replica <= replicas[2].id;
  }
  EXPECT_GT(own, 60);   // its due by size and more
  EXPECT_LT(own, 110);  // but not all that a third of the fleet would choke on
}

TEST(ZonePreference, TheOwnZoneComesFirstWhereCrossingIsExpensive) {
  for (const double price : {0.1, 0.01}) {
    Settings settings = test_settings();
    settings.zones = 2;
    settings.zone = 1;
    settings.price_cross_zone = price;
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(8);
    for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i % 2;
    router.list(ListKind::cached, replicas);
    int own = 0;
    for (const ReplicaId id : placements(router)) own += id / 7919 % 2 == 0;
    if (price == 0.1) {
      EXPECT_EQ(own, 200);
    }
    if (price == 0.01) {
      EXPECT_NEAR(own, 100, 25);
    }
  }
}

TEST(ZonePreference, AllZonesServeWhenTheOwnCannotCarryItsKeys) {
  Settings settings = test_settings();
  settings.zones = 2;
  settings.zone = 1;
  settings.price_cross_zone = 0.1;
  ScriptedRouter router(settings);
  auto replicas = ready_replicas(8);
  for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i == 1 ? 1 : 0;
  router.list(ListKind::cached, replicas);
  const auto at = placements(router);
  EXPECT_LT(std::count(at.begin(), at.end(), replicas[1].id), 140);
  EXPECT_GT(std::count(at.begin(), at.end(), replicas[1].id), 30);
}

// Seen with 300 routers: a zone with more traffic than its replicas can carry had first tokens after 5 to 8 s
// while the others were idle, and its routers rejected four in ten requests rather than let them cross.
TEST(ZonePreference, LateAnswersOfTheOwnZoneLetKeysCrossBeforeAnyIsRejected) {
  Settings settings = test_settings();
  settings.zones = 4;
  settings.price_cross_zone = 0.1;
  settings.balancers = 300;
  settings.may_duplicate = false;
  for (const double own_takes : {2.0, 0.1}) {
    ScriptedRouter router(settings);
    auto replicas = ready_replicas(20);
    std::set<ReplicaId> own;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      replicas[i].zone = i % 4;
      if (i % 4 == 0) own.insert(replicas[i].id);
    }
    router.list(ListKind::cached, replicas);
    int crossed = 0, rejected = 0;
    for (RequestId id = 1; id <= 120; ++id) {  // as seldom as a router of so many sees one
      router.run_to(100.0 + static_cast<double>(id) * 2.5);
      router.receive(new_request(id, scrambled(id)));
      const auto sent = router.actions(Action::attempt, id);
      rejected += sent.empty();
      if (sent.empty()) continue;
      const bool crosses = own.count(sent[0].replica) == 0;
      if (id > 60) crossed += crosses;
      router.run_to(router.now + (crosses ? 0.1 : own_takes));
      router.accept(id, 0);
      router.respond(id, 0, Outcome::ok, true);
    }
    if (own_takes > 1.0) {
      EXPECT_GT(crossed, 25);
      EXPECT_LT(rejected, 20);
    } else {
      EXPECT_EQ(crossed, 0);
    }
  }
}

}  // namespace
}  // namespace flintglade::policy
