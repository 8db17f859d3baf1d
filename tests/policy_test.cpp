#include <algorithm>
#include <cmath>

#include "bench.h"
#include "policy/learned_state.h"

namespace flintglade::policy {
namespace {

using namespace testing_support;

// ---- jump consistent hash ---------------------------------------------------------------------------------

// Worked out with exact fractions in another language from the page's formula.
TEST(Jump, GivesTheReferenceValues) {
  EXPECT_EQ(jump_hash(0, 1), 0);
  EXPECT_EQ(jump_hash(1, 1), 0);
  EXPECT_EQ(jump_hash(0xdeadbeef, 1), 0);
  EXPECT_EQ(jump_hash(5, 0), -1);
  EXPECT_EQ(jump_hash(0ull, 2), 0);
  EXPECT_EQ(jump_hash(0ull, 10), 0);
  EXPECT_EQ(jump_hash(0ull, 37), 0);
  EXPECT_EQ(jump_hash(0ull, 1000), 0);
  EXPECT_EQ(jump_hash(0ull, 100000), 0);
  EXPECT_EQ(jump_hash(1ull, 2), 0);
  EXPECT_EQ(jump_hash(1ull, 10), 6);
  EXPECT_EQ(jump_hash(1ull, 37), 17);
  EXPECT_EQ(jump_hash(1ull, 1000), 549);
  EXPECT_EQ(jump_hash(1ull, 100000), 94075);
  EXPECT_EQ(jump_hash(2ull, 2), 0);
  EXPECT_EQ(jump_hash(2ull, 10), 6);
  EXPECT_EQ(jump_hash(2ull, 37), 31);
  EXPECT_EQ(jump_hash(2ull, 1000), 338);
  EXPECT_EQ(jump_hash(2ull, 100000), 80343);
  EXPECT_EQ(jump_hash(10ull, 2), 1);
  EXPECT_EQ(jump_hash(10ull, 10), 7);
  EXPECT_EQ(jump_hash(10ull, 37), 36);
  EXPECT_EQ(jump_hash(10ull, 1000), 751);
  EXPECT_EQ(jump_hash(10ull, 100000), 32509);
  EXPECT_EQ(jump_hash(3735928559ull, 2), 1);
  EXPECT_EQ(jump_hash(3735928559ull, 10), 5);
  EXPECT_EQ(jump_hash(3735928559ull, 37), 16);
  EXPECT_EQ(jump_hash(3735928559ull, 1000), 285);
  EXPECT_EQ(jump_hash(3735928559ull, 100000), 64244);
  EXPECT_EQ(jump_hash(998690804919562253ull, 2), 1);
  EXPECT_EQ(jump_hash(998690804919562253ull, 10), 2);
  EXPECT_EQ(jump_hash(998690804919562253ull, 37), 22);
  EXPECT_EQ(jump_hash(998690804919562253ull, 1000), 113);
  EXPECT_EQ(jump_hash(998690804919562253ull, 100000), 86737);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 2), 1);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 10), 9);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 37), 10);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 1000), 313);
  EXPECT_EQ(jump_hash(18446744073709551615ull, 100000), 18311);
  EXPECT_EQ(jump_hash(123456789012345ull, 2), 0);
  EXPECT_EQ(jump_hash(123456789012345ull, 10), 7);
  EXPECT_EQ(jump_hash(123456789012345ull, 37), 16);
  EXPECT_EQ(jump_hash(123456789012345ull, 1000), 76);
  EXPECT_EQ(jump_hash(123456789012345ull, 100000), 82449);
}

TEST(Jump, SpreadsEvenly) {
  std::vector<int> count(13);
  for (std::uint64_t k = 0; k < 130000; ++k) ++count[jump_hash(k * 0x9e3779b97f4a7c15ull, 13)];
  for (int c : count) EXPECT_NEAR(c, 10000, 500);
}

TEST(Jump, GrowthMovesKeysToTheNewBucketOnly) {
  int moved = 0;
  for (std::uint64_t k = 0; k < 20000; ++k) {
    const auto key = k * 0x9e3779b97f4a7c15ull;
    const int before = jump_hash(key, 19), after = jump_hash(key, 20);
    if (before == after) continue;
    EXPECT_EQ(after, 19);
    ++moved;
  }
  EXPECT_NEAR(moved, 1000, 150);
}

// ---- the slot table ---------------------------------------------------------------------------------------

std::vector<ReplicaId> placements(Script& s, int sessions = 200) {
  std::vector<ReplicaId> at;
  for (int k = 1; k <= sessions; ++k) at.push_back(s.placed(static_cast<std::uint64_t>(k) * 1000003));
  return at;
}
int differing(const std::vector<ReplicaId>& a, const std::vector<ReplicaId>& b) {
  int n = 0;
  for (std::size_t i = 0; i < a.size(); ++i) n += a[i] != b[i];
  return n;
}

TEST(Slots, TheSameListInAnyOrderGivesTheSameTable) {
  auto replicas = fleet(9);
  for (std::size_t i = 0; i < replicas.size(); ++i)
    replicas[i].started_at = 10.0 + static_cast<double>((i * 5) % 9);
  Script a(plain()), b(plain(), 77);
  a.list(ListKind::cached, replicas);
  std::reverse(replicas.begin(), replicas.end());
  b.list(ListKind::cached, replicas);
  EXPECT_EQ(placements(a), placements(b));
}

TEST(Slots, AJoinerTakesOnlyItsOwnPartOfTheKeys) {
  Script s(plain());
  s.list(ListKind::cached, fleet(9));
  const auto before = placements(s);
  s.list(ListKind::delta, {warm_replica(3, 1.0)});  // a low id: order by id would shift every slot
  const auto after = placements(s);
  for (std::size_t i = 0; i < before.size(); ++i) EXPECT_TRUE(before[i] == after[i] || after[i] == 3u);
  EXPECT_NEAR(differing(before, after), 20, 15);
}

// A leaver in mid-order must not shift the slots behind it.
TEST(Slots, ALeaverMovesOnlyItsOwnKeys) {
  Script s(plain());
  const auto replicas = fleet(9);
  s.list(ListKind::cached, replicas);
  const auto before = placements(s);
  Replica gone = replicas[3];
  gone.health = Health::gone;
  s.list(ListKind::delta, {gone});
  const auto after = placements(s);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != gone.id) {
      EXPECT_EQ(before[i], after[i]);
    }
    EXPECT_NE(after[i], gone.id);
  }
}

TEST(Slots, ASuccessorFillsTheTombstone) {
  Script s(plain());
  const auto replicas = fleet(9);
  s.list(ListKind::cached, replicas);
  const auto before = placements(s);
  Replica gone = replicas[3];
  gone.health = Health::gone;
  s.list(ListKind::delta, {gone, warm_replica(5, 1.0)});
  const auto after = placements(s);
  for (std::size_t i = 0; i < before.size(); ++i) EXPECT_EQ(after[i], before[i] == gone.id ? 5u : before[i]);
}

// Nominal sizes divide the keys in proportion; rough ones understate how far machines differ, and go to the
// power 1.6: a replica of size 3 beside three of size 1 is then due 5.8 / 8.8 of the keys.
TEST(Slots, SizesDivideTheKeys) {
  for (const WeightSource source : {WeightSource::nominal, WeightSource::rough}) {
    Settings set = plain();
    set.weights = source;
    Script s(set);
    auto replicas = fleet(4);
    replicas[0].size = 3.0;
    replicas[0].kind = 1;
    s.list(ListKind::cached, replicas);
    const auto at = placements(s, 1200);
    EXPECT_NEAR(std::count(at.begin(), at.end(), replicas[0].id), source == WeightSource::rough ? 791 : 600,
                60);
  }
}

// A live size falls with load; ordinary picks must not follow it.
TEST(Slots, LiveSizesDoNotSteerOrdinaryPicks) {
  Settings set = plain();
  set.weights = WeightSource::live;
  Script s(set);
  auto replicas = fleet(6);
  s.list(ListKind::cached, replicas);
  const auto before = placements(s);
  replicas[2].size = 0.1;
  s.list(ListKind::delta, {replicas[2]});
  EXPECT_EQ(placements(s), before);
}

// ---- rule 1: one final answer -----------------------------------------------------------------------------

TEST(Answers, ASilentReplicaStillLeavesOneAnswerByTheDeadline) {
  Script s(plain());
  s.list(ListKind::cached, fleet(3));
  s.query(ask(1, 5, s.now + 2.0));
  s.run_to(101.99);
  EXPECT_EQ(s.finals(1), 0u);
  s.run_to(102.01);
  EXPECT_EQ(s.finals(1), 1u);
  for (std::uint32_t n = 0; n < s.tries[1]; ++n) s.respond(1, n, Outcome::timeout, true);
  s.run_to(110.0);
  EXPECT_EQ(s.finals(1), 1u);
}

TEST(Answers, NoReplicasAtAllLeaveOneAnswerByTheDeadline) {
  Script s(plain());
  s.query(ask(1, 5, s.now + 2.0));
  s.run_to(102.01);
  EXPECT_EQ(s.finals(1), 1u);
  EXPECT_TRUE(s.of(Action::attempt).empty());
}

TEST(Answers, TheLastTryFailingIsAnsweredAtOnce) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  s.query(ask(1, 5));
  for (std::uint32_t n = 0; n < 4; ++n) s.respond(1, n, Outcome::connect_failed, false);
  EXPECT_EQ(s.of(Action::attempt, 1).size(), 4u);
  EXPECT_EQ(s.finals(1), 1u);
}

TEST(Answers, NothingIsSentForARequestThatIsOver) {
  Script s(plain());
  s.list(ListKind::cached, fleet(3));
  s.query(ask(1, 5));
  s.b.on_client_disconnected(s.now, 1, s);
  s.respond(1, 0, Outcome::error, true);
  s.b.on_client_disconnected(s.now, 999, s);
  s.respond(998, 3, Outcome::ok, true);
  s.accept(997, 1);
  s.run_to(120.0);
  EXPECT_EQ(s.of(Action::attempt).size(), 1u);
  EXPECT_EQ(s.finals(1), 0u);
}

TEST(Answers, AStartedStreamHasNoDeadline) {
  Script s(plain());
  s.list(ListKind::cached, fleet(3));
  s.query(ask(1, 5));
  s.accept(1, 0);
  s.run_to(200.0);
  EXPECT_EQ(s.finals(1), 0u);
  s.respond(1, 0, Outcome::reset, true);
  EXPECT_EQ(s.of(Action::attempt).size(), 1u);
}

TEST(Answers, ADeadlineThatIsNoNumberIsAnsweredAtOnce) {
  Script s(plain());
  s.list(ListKind::cached, fleet(3));
  s.query(ask(1, 5, std::nan("")));
  s.run_to(100.1);
  EXPECT_EQ(s.finals(1), 1u);
}

// ---- rule 2: no effect twice ------------------------------------------------------------------------------

TEST(Effects, AnUnsafeRequestIsNotRepeatedNorRefusedOnceItMayHaveRun) {
  Settings set = plain();
  set.classes[0].semantics = Semantics::not_idempotent;
  Script s(set);
  s.list(ListKind::cached, fleet(6));
  s.query(ask(1, 5));
  s.respond(1, 0, Outcome::full, false);  // proved never to have run: may go on
  EXPECT_EQ(s.of(Action::attempt, 1).size(), 2u);
  s.run_to(103.0);  // no second copy meanwhile
  EXPECT_EQ(s.of(Action::attempt, 1).size(), 2u);
  s.respond(1, 1, Outcome::reset, false);
  EXPECT_EQ(s.of(Action::attempt, 1).size(), 2u);
  EXPECT_EQ(s.of(Action::reject, 1).size(), 0u);
  EXPECT_EQ(s.of(Action::fail, 1).size(), 1u);
}

TEST(Effects, AKeyedRequestStaysInItsGroupAndWithinItsTime) {
  Settings set = plain();
  set.zones = 2;
  set.classes[0].semantics = Semantics::idempotency_key;
  set.classes[0].idempotency_scope = IdempotencyScope::zone;
  set.classes[0].key_ttl = 1.5;
  set.may_duplicate = false;
  for (std::uint64_t session = 1; session < 40; ++session) {
    Script s(set);
    auto replicas = fleet(8);
    for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i % 2;
    s.list(ListKind::cached, replicas);
    const auto zone = [&](ReplicaId id) {
      return std::find_if(replicas.begin(), replicas.end(), [&](const Replica& w) { return w.id == id; })
          ->zone;
    };
    s.query(ask(1, session));
    s.run_to(101.0);
    s.respond(1, 0, Outcome::error, false);
    auto sent = s.of(Action::attempt, 1);
    ASSERT_EQ(sent.size(), 2u);
    EXPECT_EQ(zone(sent[0].replica), zone(sent[1].replica));
    s.run_to(101.6);  // key_ttl counts from the first attempt that may have run
    s.respond(1, 1, Outcome::error, false);
    EXPECT_EQ(s.of(Action::attempt, 1).size(), 2u);
    EXPECT_EQ(s.of(Action::fail, 1).size(), 1u);
    EXPECT_EQ(s.of(Action::reject, 1).size(), 0u);
  }
}

// Its group drops repeats by when they come: the connection for one may take a whole dial to come up.
TEST(Effects, ARepeatIsWrittenWithinItsWindowThoughItsConnectionHasToComeUp) {
  for (const double dial : {0.0, 0.1, 0.4}) {
    for (const double ends : {0.9, 1.05, 1.2, 1.45}) {
      Settings set = plain();
      set.classes[0].semantics = Semantics::idempotency_key;
      set.classes[0].key_ttl = 1.5;
      set.may_duplicate = false;
      set.dial_timeout = dial;
      Script s(set);
      s.list(ListKind::cached, fleet(4));
      s.query(ask(1, 7));
      s.run_to(100.0 + ends);
      s.respond(1, 0, Outcome::error, false);
      EXPECT_EQ(s.of(Action::attempt, 1).size(), ends + dial < 1.5 ? 2u : 1u) << dial << ' ' << ends;
    }
  }
}

TEST(Effects, NoSecondCopyWhereNoneIsAllowed) {
  Settings set = plain();
  set.may_duplicate = false;
  Script s(set);
  s.list(ListKind::cached, fleet(6));
  s.query(ask(1, 5));
  s.run_to(104.9);
  EXPECT_EQ(s.of(Action::attempt, 1).size(), 1u);
  Script t(plain());  // the other side: where it is allowed, a silent replica is hedged within the aim
  t.list(ListKind::cached, fleet(6));
  t.query(ask(1, 5));
  t.run_to(101.0);
  ASSERT_EQ(t.of(Action::attempt, 1).size(), 2u);
  EXPECT_NE(t.of(Action::attempt, 1)[0].replica, t.of(Action::attempt, 1)[1].replica);
}

// ---- rule 3: drains ---------------------------------------------------------------------------------------

TEST(Drains, NothingNewGoesToADrainingOrGoneReplicaNotEvenARetry) {
  Script s(plain());
  auto replicas = fleet(4);
  s.list(ListKind::cached, replicas);
  s.query(ask(1, 5));
  const ReplicaId first = s.of(Action::attempt, 1)[0].replica;
  for (Replica& w : replicas) {
    if (w.id != first) w.health = w.id == replicas[0].id ? Health::gone : Health::draining;
  }
  s.list(ListKind::delta, replicas);
  s.respond(1, 0, Outcome::error, false);
  s.run_to(104.0);
  EXPECT_EQ(s.of(Action::attempt, 1).size(), 1u);
  s.list(ListKind::full, {});  // a full list without anyone
  s.query(ask(2, 6));
  s.run_to(110.0);
  EXPECT_TRUE(s.of(Action::attempt, 2).empty());
  EXPECT_EQ(s.finals(2), 1u);
}

// ---- rule 4: cold starts ----------------------------------------------------------------------------------

// Routers of a fleet that all learn of the same start; the sum of what they send must stay within the budget.
double worst_window(int routers, int warm, double rate_each, double seconds) {
  Settings set = plain();
  set.balancers = routers;
  set.fall_multiple = 3.0;
  set.fall_s = 2.0;
  std::vector<double> times;
  for (int r = 0; r < routers; ++r) {
    Script s(set, 1000 + static_cast<std::uint64_t>(r));
    s.list(ListKind::cached, fleet(warm));
    RequestId id = 1;
    const int before = static_cast<int>(10.0 * rate_each),
              all = static_cast<int>((10.0 + seconds) * rate_each);
    for (int i = 0; i < all; ++i, ++id) {
      s.run_to(100.0 + (i + 0.3) / rate_each);
      if (i == before) s.list(ListKind::delta, {warm_replica(4, s.now)});
      s.query(ask(id, static_cast<std::uint64_t>(r) * 100000 + id));
      // Every warm replica fails for a while, so that retries press on the cold one too.
      if (i % 3 == 0) s.respond(id, 0, Outcome::error, false);
      s.accept(id, static_cast<std::uint32_t>(s.tries[id] - 1));
    }
    for (const Action& a : s.of(Action::attempt)) {
      if (a.replica == 4) times.push_back(a.id);
    }
    for (double& t : times) {
      if (t >= 1.0) t = -(100.0 + (t - 1.0 + 0.3) / rate_each);  // when that request was sent
    }
  }
  for (double& t : times) t = -t;
  std::sort(times.begin(), times.end());
  double worst = 0.0;
  const double carried = routers * rate_each / warm;  // what a warm replica carries
  for (std::size_t i = 0; i < times.size(); ++i) {
    std::size_t j = i;
    while (j < times.size() && times[j] < times[i] + set.fall_s) ++j;
    const double w = 0.2 + 0.8 * (times[i] - 110.0) / 20.0;
    worst = std::max(worst, static_cast<double>(j - i) / (carried * w * set.fall_multiple * set.fall_s));
  }
  return worst;
}
TEST(ColdStart, OneRouterWithFewReplicasKeepsTheBudget) { EXPECT_LT(worst_window(1, 3, 60.0, 10.0), 1.0); }
TEST(ColdStart, ManyRoutersKeepItTogether) { EXPECT_LT(worst_window(40, 6, 2.0, 10.0), 1.0); }

// A large fleet in which joiners are cold: of 100 routers only some are alive or have traffic, and what they
// see together is the same. The most that a joiner got in its window, as a part of what it falls under, and
// the mean number that one got in the first seconds, as a part of what it could do.
struct ColdJoin {
  double worst = 0.0, used = 0.0;
};
// uneven: some routers get ten times the requests of others.
ColdJoin cold_join(int alive, int warm, int joiners, double seconds, bool uneven = false) {
  Settings set = plain();
  set.balancers = std::max(100, alive);
  set.cold_from = 0.31;
  set.cold_s = 8.9;
  set.fall_multiple = 2.5;
  set.fall_s = 3.0;
  const double all = 180.0, carried = all / 40 * 1.5;  // a fleet of 40 at two thirds
  const auto weight = [uneven](int r) { return uneven ? 1.0 / (1 + r % 10) : 1.0; };
  double weights = 0.0;
  for (int r = 0; r < alive; ++r) weights += weight(r);
  std::map<ReplicaId, std::vector<double>> sent;
  for (int r = 0; r < alive; ++r) {
    Script s(set, 1000 + static_cast<std::uint64_t>(r));
    s.list(ListKind::cached, fleet(40));
    const double each = all * weight(r) / weights;
    const double from = s.now, join = from + 20.0 + r % 10 * 0.1;  // each hears of it a little later
    double at = from + 1.0 / each * r / alive;
    for (bool joined = false; at < join + seconds; at += 1.0 / each) {
      s.run_to(at);
      if (!joined && at >= join) {
        joined = true;
        std::vector<Replica> now;
        for (const Replica& w : fleet(warm)) now.push_back(w);
        for (int i = 0; i < joiners; ++i) now.push_back(warm_replica(1 + i, from + 20.0));
        s.list(ListKind::full, now);
      }
      const RequestId id = s.next_id++;
      s.query(ask(id, mixed(id * 100 + r)));
      for (const Action& a : s.of(Action::attempt, id)) {
        if (a.replica <= 40) sent[a.replica].push_back(at - from - 20.0);
      }
      if (s.tries[id] == 0) continue;
      s.accept(id, 0);
      s.respond(id, 0, Outcome::ok, true);
      s.log.clear();
    }
  }
  ColdJoin out;
  for (auto& [replica, times] : sent) {
    std::sort(times.begin(), times.end());
    for (std::size_t i = 0, j = 0; i < times.size(); ++i) {
      while (j < times.size() && times[j] < times[i] + set.fall_s) ++j;
      const double warmth = std::min(1.0, 0.31 + 0.69 * times[i] / 8.9);
      out.worst = std::max(out.worst, static_cast<double>(j - i) / (carried * warmth * 2.5 * set.fall_s));
    }
    out.used += static_cast<double>(times.size()) / (carried * 0.5 * seconds) / joiners;
  }
  return out;
}
TEST(ColdStart, JoinersOfALargeFleetGetWorkAndNoneIsPushedOver) {
  for (const int alive : {100, 30, 5}) {
    for (const int joiners : {24, 2}) {
      const ColdJoin join = cold_join(alive, 40 - joiners, joiners, 6.0);
      EXPECT_LT(join.worst, 1.0) << alive << " routers, " << joiners << " joiners";
      EXPECT_GT(join.used, 0.35) << alive << " routers, " << joiners << " joiners";
    }
  }
}
TEST(ColdStart, AZoneThatComesBackColdAlmostAloneIsNotPushedOver) {
  for (const int alive : {100, 5}) EXPECT_LT(cold_join(alive, 4, 4, 6.0).worst, 1.0) << alive << " routers";
}
TEST(ColdStart, ThreeHundredRoutersWithUnevenTrafficPushNothingOver) {
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
TEST(ColdStart, AShrunkFleetDoesNotInflateTheBudget) {
  Settings set = plain();
  set.cold_from = 0.1;
  std::size_t sent[2];
  for (const bool shrinks : {false, true}) {
    Script s(set);
    auto replicas = fleet(12);
    s.list(ListKind::cached, replicas);
    RequestId id = 1;
    for (; id <= 1200; ++id) {
      s.run_to(100.0 + static_cast<double>(id) * 0.01);
      s.query(ask(id, id));
      s.b.on_client_disconnected(s.now, id, s);
    }
    for (std::size_t i = 2; shrinks && i < replicas.size(); ++i) replicas[i].health = Health::gone;
    replicas[0].started_at = s.now;
    s.list(ListKind::delta, replicas);
    for (; id <= 1400; ++id) {
      s.run_to(100.0 + static_cast<double>(id) * 0.01);
      s.query(ask(id, id));
      s.b.on_client_disconnected(s.now, id, s);
    }
    sent[shrinks] = 0;
    for (const Action& a : s.of(Action::attempt)) sent[shrinks] += a.replica == replicas[0].id && a.id > 1200;
  }
  EXPECT_LE(sent[1], static_cast<std::size_t>(0.5 * 3.0 * 0.18 * (100.0 / 12.0) * 2.0 + 3.0));
}

// While a slow release has most replicas down, arrivals over those few left overstate what one can carry.
TEST(ColdStart, AReleaseThatEmptiesTheFleetDoesNotInflateTheBudget) {
  Settings set = plain();
  set.cold_from = 0.1;
  Script s(set);
  auto replicas = fleet(10);
  s.list(ListKind::cached, replicas);
  RequestId id = 1;
  std::size_t sent = 0;
  for (; id <= 6000; ++id) {
    s.run_to(100.0 + static_cast<double>(id) * 0.01);
    if (id % 500 == 0 && id / 500 < 8) {
      replicas[id / 500].health = Health::gone;
      s.list(ListKind::delta, {replicas[id / 500]});
    }
    if (id == 5800) s.list(ListKind::delta, {warm_replica(3, s.now)});
    s.query(ask(id, mixed(id)));
    if (id >= 5800) {
      const auto first = s.of(Action::attempt, id);
      sent += !first.empty() && first[0].replica == 3;
    }
    s.b.on_client_disconnected(s.now, id, s);
  }
  // 100 a second over 10 replicas, at most 3 times a share of 0.1 to 0.18, for 2 s
  EXPECT_LE(sent, static_cast<std::size_t>(3.0 * 0.14 * 10.0 * 2.0));
}

TEST(ColdStart, ARestartedIdIsColdAgain) {
  Script s(plain());
  auto replicas = fleet(2);
  s.list(ListKind::cached, replicas);
  const auto before = placements(s, 400);
  replicas[0].started_at = s.now;
  s.list(ListKind::delta, {replicas[0]});
  const auto after = placements(s, 400);
  const auto n = std::count(after.begin(), after.end(), replicas[0].id);
  EXPECT_LT(n, std::count(before.begin(), before.end(), replicas[0].id) / 3);
}

TEST(ColdStart, WithEveryReplicaColdRequestsWaitAndAreStillAnswered) {
  Settings set = plain();
  set.fall_multiple = 0.5;
  Script s(set);
  s.list(ListKind::cached, {warm_replica(1, 100.0), warm_replica(2, 100.0)});
  for (RequestId id = 1; id <= 100; ++id) s.query(ask(id, id));
  s.run_to(106.0);
  EXPECT_LT(s.of(Action::attempt).size(), 60u);
  for (RequestId id = 1; id <= 100; ++id) EXPECT_EQ(s.finals(id), 1u) << id;
}

// ---- failures ---------------------------------------------------------------------------------------------

TEST(Failures, ARetrySkipsReplicasAlreadyTried) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  s.query(ask(1, 5));
  for (std::uint32_t n = 0; n < 3; ++n) s.respond(1, n, Outcome::full, false);
  std::set<ReplicaId> seen;
  for (const Action& a : s.of(Action::attempt, 1)) seen.insert(a.replica);
  EXPECT_EQ(seen.size(), 4u);
}

TEST(Failures, AnOutlierKeepsAFewTrialKeysAndComesBack) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  const auto before = placements(s);
  const ReplicaId bad = before[0];
  for (RequestId id = 1; id <= 5; ++id) {
    s.query(ask(id, 1000003));
    const auto sent = s.of(Action::attempt, id);
    if (sent.back().replica == bad) s.respond(id, 0, Outcome::reset, false);
    s.b.on_client_disconnected(s.now, id, s);
    for (std::uint32_t n = 0; n < s.tries[id]; ++n) s.respond(id, n, Outcome::cancelled, true);
  }
  const auto during = placements(s);
  EXPECT_LT(std::count(during.begin(), during.end(), bad), std::count(before.begin(), before.end(), bad) / 2);
  for (std::size_t i = 0; i < before.size(); ++i) {
    if (before[i] != bad) {
      EXPECT_EQ(during[i], before[i]);  // nobody else's keys move
    }
  }
  s.run_to(140.0);
  EXPECT_EQ(placements(s), before);
}

TEST(Failures, AFullQueueIsNoFailureOfTheReplica) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  const auto before = placements(s);
  for (RequestId id = 1; id <= 20; ++id) {
    s.query(ask(id, 1000003));
    s.respond(id, 0, Outcome::full, false);
    s.b.on_client_disconnected(s.now, id, s);
    s.respond(id, 1, Outcome::cancelled, true);
  }
  s.run_to(s.now + 2.0);
  for (RequestId id = 100; id < 500; ++id) {  // calm again: nothing is shed
    s.query(ask(id, id));
    s.accept(id, 0);
    s.respond(id, 0, Outcome::ok, true);
  }
  EXPECT_EQ(placements(s), before);
}

TEST(Failures, AFullReplicaIsPassedOverForAMoment) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  const ReplicaId home = s.placed(77);
  s.query(ask(1, 77));
  s.respond(1, 0, Outcome::full, false);  // it may be draining: the list will tell, late
  EXPECT_NE(s.placed(77), home);
  s.run_to(s.now + 2.0);
  EXPECT_EQ(s.placed(77), home);
}

TEST(Failures, RetriesAreUnderABudgetSoThatStormsDieOut) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  for (RequestId id = 1; id <= 300; ++id) {
    s.query(ask(id, id));
    for (std::uint32_t n = 0; n < s.tries[id]; ++n) s.respond(id, n, Outcome::error, false);
  }
  EXPECT_LT(s.of(Action::attempt).size(), 300u * 13 / 10);
}

// ---- hot prefixes -----------------------------------------------------------------------------------------

NewRequest prefixed(RequestId id, std::uint64_t session, std::uint64_t prefix, double part) {
  NewRequest q = ask(id, session);
  q.prefix_id = prefix;
  q.prompt_tokens = 1000.0;
  q.prefix_tokens = 1000.0 * part;
  return q;
}
std::set<ReplicaId> replicas_of_prefix(Script& s, RequestId from, double part, int others) {
  std::set<ReplicaId> seen;
  for (RequestId id = from; id < from + 200; ++id) {
    for (int k = 0; k < others; ++k) {
      const RequestId other = id * 100 + static_cast<RequestId>(k);
      s.query(prefixed(other, other, other, 0.9));
      s.b.on_client_disconnected(s.now, other, s);
    }
    s.query(prefixed(id, id, 42, part));
    if (id >= from + 100) seen.insert(s.of(Action::attempt, id)[0].replica);
    s.b.on_client_disconnected(s.now, id, s);
    s.run_to(s.now + 0.05);
  }
  return seen;
}

TEST(Prefixes, ASharedBeginningKeepsToOneReplicaWhileItIsNotTooHot) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  EXPECT_EQ(replicas_of_prefix(s, 1000, 0.9, 24).size(), 1u);
}
TEST(Prefixes, ATooHotOneIsSpreadOverAFew) {
  Script s(plain());
  s.list(ListKind::cached, fleet(24));
  const auto n = replicas_of_prefix(s, 1000, 0.9, 9).size();
  EXPECT_GE(n, 3u);
  EXPECT_LE(n, 12u);
}
// A walk of rehashes reaches two dozen replicas; of hundreds, those carried the whole of a hot prefix.
TEST(Prefixes, AVeryHotOneInALargeFleetGetsSubKeysOfItsOwn) {
  Script s(plain());
  s.list(ListKind::cached, fleet(200));
  EXPECT_GT(replicas_of_prefix(s, 1000, 0.9, 14).size(), 30u);
}
TEST(Prefixes, AShortOneIsNotTheKey) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  EXPECT_EQ(replicas_of_prefix(s, 1000, 0.3, 24).size(), 8u);
}

// A prompt far longer than its prefix saves as much by a hit as the mean one does.
TEST(Prefixes, ALongPromptGoesWhereItsPrefixIsKeptIfThatIsHalfOfAMeanPrompt) {
  Script s(plain());
  s.list(ListKind::cached, fleet(40));
  for (RequestId id = 1; id <= 100; ++id) s.query(prefixed(id, id, id, 0.9));  // prompts of 1,000
  const auto long_prompt = [&](RequestId id, double prefix_tokens) {
    NewRequest q = prefixed(id, id, 42, 0.9);
    q.prompt_tokens = 4000.0;
    q.prefix_tokens = prefix_tokens;
    s.query(q);
    return s.of(Action::attempt, id)[0].replica;
  };
  s.query(prefixed(1000, 1000, 42, 0.9));
  const ReplicaId home = s.of(Action::attempt, 1000)[0].replica;
  EXPECT_EQ(long_prompt(1001, 900.0), home);
  std::set<ReplicaId> short_prefix;  // one of 300 is under half of the mean prompt: each goes by its session
  for (RequestId id = 2000; id < 2010; ++id) short_prefix.insert(long_prompt(id, 300.0));
  EXPECT_GT(short_prefix.size(), 3u);
}

// Plays requests over a set of equally popular prefixes, all found kept or all missed; gives how many
// replicas the last ones of prefix 1 were spread over.
std::size_t width(int replicas, int prefixes, bool kept) {
  Script s(plain());
  s.list(ListKind::cached, fleet(replicas));
  std::set<ReplicaId> seen;
  for (RequestId id = 1; id <= 1500; ++id) {
    s.run_to(s.now + 0.02);
    s.query(prefixed(id, mixed(id), 1 + id % static_cast<RequestId>(prefixes), 0.9));
    const auto sent = s.of(Action::attempt, id);
    if (sent.empty()) continue;
    if (id > 700 && id % static_cast<RequestId>(prefixes) == 0) seen.insert(sent[0].replica);
    s.accept(id, 0);
    s.respond(id, 0, Outcome::ok, true, kept ? 1000 : 0);
  }
  return seen.size();
}
// Fewer prefixes than replicas leave most replicas idle and a few overrun, unless copies everywhere cost
// nothing.
TEST(Prefixes, AreSpreadWiderWhileTheirCopiesAreFoundAndReplicasOutnumberThem) {
  const auto missed = width(40, 20, false);
  EXPECT_LE(missed, 10u);
  EXPECT_GE(width(40, 20, true), missed + 10);
}
TEST(Prefixes, AreNotSpreadWiderWhereTheyOutnumberTheReplicas) { EXPECT_EQ(width(12, 60, true), 1u); }

// ---- kinds of machine -------------------------------------------------------------------------------------

TEST(Kinds, SlowOnesGetFewerKeysWhereTheListGivesNoSizes) {
  for (const WeightSource source : {WeightSource::silent, WeightSource::nominal, WeightSource::rough}) {
    Settings set = plain();
    set.weights = source;
    Script s(set);
    auto replicas = fleet(10);
    for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].kind = i % 2;
    s.list(ListKind::cached, replicas);
    const auto slow = [&](ReplicaId id) { return id / 7919 % 2 == 0; };
    std::multimap<double, RequestId> ends;
    const auto finish_until = [&](double t) {
      while (!ends.empty() && ends.begin()->first <= t) {
        s.run_to(std::max(s.now, ends.begin()->first));
        s.respond(ends.begin()->second, 0, Outcome::ok, true);
        ends.erase(ends.begin());
      }
      s.run_to(t);
    };
    for (RequestId id = 1; id <= 600; ++id) {
      finish_until(100.0 + static_cast<double>(id) * 0.1);
      s.query(ask(id, mixed(id)));
      s.accept(id, 0);
      ends.emplace(s.now + (slow(s.of(Action::attempt, id)[0].replica) ? 3.0 : 1.0), id);
    }
    const auto at = placements(s, 400);
    const auto n = std::count_if(at.begin(), at.end(), slow);
    if (source != WeightSource::nominal) {
      EXPECT_LT(n, 110);
    } else {
      EXPECT_NEAR(n, 200, 40);
    }
  }
}

// A list calls machines larger that read at a third of the others' speed. A router that sees a few dozen
// requests learns it from the waits for first events, whatever was kept of the prompts.
TEST(Kinds, FirstEventsTellWhichKindReadsQuicker) {
  const auto share_of_slow = [](int requests, double seconds_per_token) {
    Settings set = plain();
    set.weights = WeightSource::rough;
    Script s(set);
    auto replicas = fleet(10);
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      replicas[i].kind = i % 2;
      replicas[i].size = replicas[i].kind == 1 ? 6.0 : 4.0;
    }
    s.list(ListKind::cached, replicas);
    const auto kind = [&](ReplicaId id) {
      return std::find_if(replicas.begin(), replicas.end(), [&](const Replica& w) { return w.id == id; })
          ->kind;
    };
    for (int i = 1; i <= requests; ++i) {
      const auto id = static_cast<RequestId>(i);
      NewRequest q = ask(id, mixed(id));
      q.prompt_tokens = 1000.0 * (1 + i % 5);
      const auto kept = static_cast<std::uint32_t>(i % 2 == 0 ? 600 : 0);
      s.query(q);
      const bool slow = kind(s.of(Action::attempt, id)[0].replica) == 1;
      const double tokens = q.prompt_tokens - kept + PrefillCost::kStepOverheadTokens;
      s.run_to(s.now + tokens * (slow ? seconds_per_token : 3e-5));
      s.accept(id, 0);
      s.run_to(s.now + 0.5);
      s.respond(id, 0, Outcome::ok, true, kept);
    }
    const auto at = placements(s, 400);
    return std::count_if(at.begin(), at.end(), [&](ReplicaId id) { return kind(id) == 1; }) / 400.0;
  };
  EXPECT_GT(share_of_slow(0, 9e-5), 0.6);   // all that is known is what the list says
  EXPECT_LT(share_of_slow(24, 9e-5), 0.4);  // reads at a third of the others' speed, streams as long
  EXPECT_GT(share_of_slow(24, 3e-5), 0.45);
}

TEST(Kinds, OneSlowFirstEventAmongQuickOnesSaysLittleOfAKind) {
  PrefillCost cost;
  for (int i = 0; i < 10; ++i) cost.add(0.05, 600.0);
  const double usual = cost.seconds_per_token;
  EXPECT_NEAR(usual, 0.05 / (600.0 + PrefillCost::kStepOverheadTokens), 1e-9);
  cost.add(5.0, 600.0);  // behind a hundred others' prompts
  EXPECT_LT(cost.seconds_per_token, 11.0 * usual);
  for (int i = 0; i < 10; ++i) cost.add(0.05, 600.0);
  EXPECT_LT(cost.seconds_per_token, 1.4 * usual);
  cost.add(0.01, -50.0);  // more kept than was asked for counts as nothing read
  EXPECT_GT(cost.seconds_per_token, 0.0);
  const PrefillCost before = cost;
  cost.add(0.0, 600.0);  // no wait that could be measured says nothing
  EXPECT_EQ(cost.seconds_per_token, before.seconds_per_token);
  EXPECT_EQ(cost.samples, before.samples);
}

// Ten routers that see one request a second each: the slow replica's streams are far from their end when the
// second comes, and its keys go elsewhere all the same.
TEST(Kinds, ASlowReplicaIsKnownByTwoOrThreeStreamsThatStillRun) {
  int early = 0, late = 0;
  for (std::uint64_t router = 0; router < 10; ++router) {
    Settings set = plain();
    set.balancers = 10;
    Script s(set, router + 1);
    s.list(ListKind::cached, fleet(10));
    std::multimap<double, RequestId> ends;
    for (RequestId id = 1; id <= 60; ++id) {
      for (s.run_to(s.now + 1.0); !ends.empty() && ends.begin()->first <= s.now; ends.erase(ends.begin()))
        s.respond(ends.begin()->second, 0, Outcome::ok, true);
      s.query(ask(id, mixed(id + 100 * router)));
      s.accept(id, 0);
      const bool slow = s.of(Action::attempt, id)[0].replica == 7919;
      ends.emplace(s.now + (slow ? 30.0 : 1.0), id);
      (id <= 20 ? early : late) += slow;
    }
  }
  EXPECT_GT(early, 8);  // a tenth, as long as nothing is known
  EXPECT_LT(late, 28);  // of 400
}

// ---- crowds -----------------------------------------------------------------------------------------------

TEST(Crowds, ACrowdedReplicaDeclinesKeysUntilItHasFewer) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  const ReplicaId home = s.placed(77);
  std::map<ReplicaId, int> at;
  for (RequestId id = 1; id <= 60; ++id) {
    s.query(ask(id, 77));
    s.accept(id, 0);
    ++at[s.of(Action::attempt, id)[0].replica];
  }
  EXPECT_GE(at[home], 5);
  EXPECT_LE(at[home], 15);  // of 60; the mean is under 8
  for (RequestId id = 1; id <= 60; ++id) s.respond(id, 0, Outcome::ok, true);
  EXPECT_EQ(s.placed(77), home);
}

TEST(Crowds, AnOwnZoneThatIsTooSmallForItsTrafficSendsTheRestAcross) {
  Settings set = plain();
  set.zones = 2;
  set.zone = 1;
  set.price_cross_zone = 0.1;
  Script s(set);
  auto replicas = fleet(9);
  for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i < 3 ? 1 : 0;
  s.list(ListKind::cached, replicas);
  int own = 0;
  for (RequestId id = 1; id <= 180; ++id) {
    s.query(ask(id, mixed(id)));
    s.accept(id, 0);
    own += s.of(Action::attempt, id)[0].replica <= replicas[2].id;
  }
  EXPECT_GT(own, 60);   // its due by size and more
  EXPECT_LT(own, 110);  // but not all that a third of the fleet would choke on
}

// ---- zones ------------------------------------------------------------------------------------------------

TEST(Zones, TheOwnZoneComesFirstWhereCrossingIsDear) {
  for (const double price : {0.1, 0.01}) {
    Settings set = plain();
    set.zones = 2;
    set.zone = 1;
    set.price_cross_zone = price;
    Script s(set);
    auto replicas = fleet(8);
    for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i % 2;
    s.list(ListKind::cached, replicas);
    int own = 0;
    for (const ReplicaId id : placements(s)) own += id / 7919 % 2 == 0;
    if (price == 0.1) {
      EXPECT_EQ(own, 200);
    }
    if (price == 0.01) {
      EXPECT_NEAR(own, 100, 25);
    }
  }
}
TEST(Zones, AllZonesServeWhenTheOwnCannotCarryItsKeys) {
  Settings set = plain();
  set.zones = 2;
  set.zone = 1;
  set.price_cross_zone = 0.1;
  Script s(set);
  auto replicas = fleet(8);
  for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i == 1 ? 1 : 0;
  s.list(ListKind::cached, replicas);
  const auto at = placements(s);
  EXPECT_LT(std::count(at.begin(), at.end(), replicas[1].id), 140);
  EXPECT_GT(std::count(at.begin(), at.end(), replicas[1].id), 30);
}

// A fleet of many routers, each of which meets a replica seldom: what one finds out late, all do.
struct Meeting {
  int failed = 0, own = 0, served = 0;
};
Settings one_of_many() {
  Settings set = plain();
  set.balancers = 100;
  set.zones = 2;
  set.zone = 1;
  set.price_cross_zone = 0.1;
  return set;
}
std::vector<Replica> two_zones() {
  auto replicas = fleet(40);
  for (std::size_t i = 0; i < replicas.size(); ++i) replicas[i].zone = i % 2;
  return replicas;
}
// One router of 100 gets 3 requests a second for some seconds; replicas for which down() is true refuse the
// connection, others answer at once.
template <typename Down>
Meeting meet(Script& s, double seconds, const std::vector<Replica>& replicas, const Down& down) {
  Meeting m;
  const double end = s.now + seconds;
  while (s.now < end) {
    s.run_to(s.now + 0.33);
    const RequestId id = s.next_id++;
    s.query(ask(id, mixed(id)));
    for (std::uint32_t n = 0; n < s.tries[id]; ++n) {
      const ReplicaId at = s.of(Action::attempt, id)[n].replica;
      if (down(at)) {
        ++m.failed;
        s.respond(id, n, Outcome::connect_failed, false);
        continue;
      }
      s.accept(id, n);
      s.respond(id, n, Outcome::ok, true);
      ++m.served;
      for (const Replica& w : replicas) m.own += w.id == at && w.zone == 1;
    }
  }
  return m;
}

// Seen with 300 routers: a zone with more traffic than its replicas can carry had first tokens after 5 to 8 s
// while the others were idle, and its routers refused four in ten requests rather than let them cross.
TEST(Zones, LateAnswersOfTheOwnZoneLetKeysCrossBeforeAnyIsRefused) {
  Settings set = plain();
  set.zones = 4;
  set.price_cross_zone = 0.1;
  set.balancers = 300;
  set.may_duplicate = false;
  for (const double own_takes : {2.0, 0.1}) {
    Script s(set);
    auto replicas = fleet(20);
    std::set<ReplicaId> own;
    for (std::size_t i = 0; i < replicas.size(); ++i) {
      replicas[i].zone = i % 4;
      if (i % 4 == 0) own.insert(replicas[i].id);
    }
    s.list(ListKind::cached, replicas);
    int crossed = 0, refused = 0;
    for (RequestId id = 1; id <= 120; ++id) {  // as seldom as a router of so many sees one
      s.run_to(100.0 + static_cast<double>(id) * 2.5);
      s.query(ask(id, mixed(id)));
      const auto sent = s.of(Action::attempt, id);
      refused += sent.empty();
      if (sent.empty()) continue;
      const bool crosses = own.count(sent[0].replica) == 0;
      if (id > 60) crossed += crosses;
      s.run_to(s.now + (crosses ? 0.1 : own_takes));
      s.accept(id, 0);
      s.respond(id, 0, Outcome::ok, true);
    }
    if (own_takes > 1.0) {
      EXPECT_GT(crossed, 25);
      EXPECT_LT(refused, 20);
    } else {
      EXPECT_EQ(crossed, 0);
    }
  }
}

TEST(Zones, ALostOneIsPassedOverAfterAFewFailedConnectsAndComesBack) {
  Settings set = one_of_many();
  set.max_attempts = 3;
  auto replicas = two_zones();
  const auto own = [](ReplicaId id) { return id / 7919 % 2 == 0; };
  Meeting all;
  for (std::uint64_t router = 0; router < 100; ++router) {
    Script s(set, router + 1);
    s.list(ListKind::cached, replicas);
    s.next_id += router * 1000;
    meet(s, 5.0, replicas, [](ReplicaId) { return false; });
    const Meeting lost = meet(s, 10.0, replicas, own);
    all.failed += lost.failed;
    all.served += lost.served;
    for (Replica& w : replicas) w.started_at = own(w.id) ? s.now - 50.0 : 0.0;  // back, as the list tells
    s.list(ListKind::full, replicas);
    all.own += meet(s, 5.0, replicas, [](ReplicaId) { return false; }).own;
    for (Replica& w : replicas) w.started_at = 0.0;
  }
  EXPECT_LT(all.failed, 100 * 8);            // 20 replicas are lost; a router finds out by a handful
  EXPECT_GT(all.served, 100 * 30 * 9 / 10);  // nearly every request, in the other zone
  EXPECT_GT(all.own, 100 * 15 / 2);          // and at home again
}
TEST(Zones, OneReplicaOutOfReachIsNoLostZone) {
  const auto replicas = two_zones();
  Script s(one_of_many());
  s.list(ListKind::cached, replicas);
  const Meeting m = meet(s, 60.0, replicas, [&](ReplicaId id) { return id == replicas[1].id; });
  EXPECT_LT(m.failed, 15);
  EXPECT_GT(m.own, m.served * 9 / 10);
}

// ---- tenants and overload ---------------------------------------------------------------------------------

TEST(Tenants, ExcessIsRefusedOnlyUnderStrain) {
  for (const bool strained : {false, true}) {
    Settings set = plain();
    set.tenants = {{10.0, 0.5}, {1000.0, 0.5}};
    Script s(set);
    s.list(ListKind::cached, fleet(8));
    RequestId id = 1;
    for (int i = 0; i < 400; ++i, ++id) {
      s.run_to(s.now + 0.01);
      NewRequest q = ask(id, id);
      q.tenant = i % 4 == 0 ? 1 : 0;
      s.query(q);
      if (strained && q.tenant == 1) {
        s.run_to(s.now + 0.001);
        for (std::uint32_t n = 0; n < s.tries[id]; ++n) s.respond(id, n, Outcome::full, false);
      }
    }
    std::size_t refused = 0;
    for (RequestId k = 1; k < id; ++k) refused += k % 4 != 1 && !s.of(Action::reject, k).empty();
    if (strained) {
      EXPECT_GT(refused, 50u);
    }
    if (!strained) {
      EXPECT_EQ(refused, 0u);
    }
  }
}

// In overload nearly every request was taken and nearly every one came late.
TEST(Shedding, ThinsUnderLateAnswersCheapWorthFirstAndStopsInCalm) {
  Settings set = plain();
  set.classes.push_back(set.classes[0]);
  set.classes[0].priority_weight = 5.0;
  Script s(set);
  s.list(ListKind::cached, fleet(8));
  std::size_t refused[3][2] = {};
  RequestId id = 1;
  for (int phase = 0; phase < 3; ++phase) {
    for (int i = 0; i < 200; ++i, ++id) {
      NewRequest q = ask(id, mixed(id), s.now + 5.0);
      q.request_class = static_cast<std::uint32_t>(i % 2);
      s.query(q);
      refused[phase][i % 2] += s.finals(id);
      if (phase == 1) s.run_to(s.now + 1.5);
      if (s.tries[id] > 0) {
        s.accept(id, 0);
        s.respond(id, 0, Outcome::ok, true);
      }
    }
    if (phase == 1) {
      for (int i = 0; i < 400; ++i, ++id) {
        s.query(ask(id, mixed(id)));
        if (s.tries[id] > 0) s.accept(id, 0);
      }
    }
  }
  EXPECT_EQ(refused[0][0] + refused[0][1], 0u);
  EXPECT_GT(refused[1][1], 50u);
  EXPECT_LT(refused[1][0], refused[1][1]);
  EXPECT_EQ(refused[2][0] + refused[2][1], 0u);
}

// What is refused under load is not picked by a request's size within its class, nor by its session.
TEST(Shedding, RefusesNeitherTheLargestRequestsNorWholeSessions) {
  for (int variant = 0; variant < 3; ++variant) {
    Settings set = plain();
    set.priority_weight_by_work = variant == 1;
    set.classes[0].latency_objective_per_1000_tokens = variant == 2 ? 0.06 : 0.0;
    set.classes[0].late_value = variant == 2 ? 0.3 : 0.0;
    Script s(set);
    s.list(ListKind::cached, fleet(8));
    constexpr int kSessions = 40, kTurns = 200;
    int answered[2] = {}, asked[2] = {};  // of the tenth with the longest prompts; of all
    std::vector<int> served(kSessions);
    RequestId id = 1;
    for (int turn = 0; turn < kTurns; ++turn) {
      for (int session = 0; session < kSessions; ++session, ++id) {
        NewRequest q = ask(id, 1 + static_cast<std::uint64_t>(session), s.now + 5.0);
        const bool large = id % 10 == 3;
        q.prompt_tokens = large ? 20000.0 : 1000.0;
        s.query(q);
        const bool taken = s.tries[id] > 0;
        asked[0] += large, asked[1] += 1;
        answered[0] += large && taken, answered[1] += taken;
        served[session] += taken;
        if (!taken) continue;
        // Most come late, so that a part is refused throughout.
        if (mixed(id) % 4 != 0) s.run_to(s.now + 2.6);
        s.accept(id, 0);
        s.respond(id, 0, Outcome::ok, true);
      }
    }
    const double all = static_cast<double>(answered[1]) / asked[1];
    EXPECT_LT(all, 0.95) << variant;  // some are refused, or nothing is tested
    // The operators ask for two thirds; a bias by size shows well above that.
    EXPECT_GE(static_cast<double>(answered[0]) / asked[0], all * 0.85) << variant;
    EXPECT_GT(*std::min_element(served.begin(), served.end()), 0) << variant;
  }
}

// Second copies, and early time-outs where copies are forbidden, feed an overload; only calm allows them.
TEST(Shedding, NoEarlyTimeOutsWhileAnswersAreLate) {
  Settings set = plain();
  set.may_duplicate = false;
  Script s(set);
  s.list(ListKind::cached, fleet(8));
  s.query(ask(1, 1));
  EXPECT_GT(s.of(Action::attempt, 1)[0].span, 0.0);
  s.run_to(101.0 + 0.5);
  s.accept(1, 0);
  s.query(ask(2, 2));
  EXPECT_EQ(s.of(Action::attempt, 2)[0].span, 0.0);
}
TEST(Shedding, NoSecondCopiesWhileAnswersAreLate) {
  Script s(plain());
  s.list(ListKind::cached, fleet(8));
  s.query(ask(1, 1));
  s.accept(1, 0);
  for (RequestId id = 2; id <= 6; ++id) {
    s.query(ask(id, id));
    s.accept(id, 0);
  }
  s.query(ask(10, 10));
  s.query(ask(11, 11));
  s.run_to(101.4);
  const auto copies = s.of(Action::attempt, 10).size() + s.of(Action::attempt, 11).size();
  EXPECT_EQ(copies, 3u);  // the budget holds one copy, not two
  s.accept(10, 0);
  s.accept(11, 0);  // both late
  s.query(ask(12, 12));
  s.run_to(102.9);
  EXPECT_EQ(s.of(Action::attempt, 12).size(), 1u);
}

// ---- the list on request ----------------------------------------------------------------------------------

TEST(OnRequest, SubscribesAtTheStartAndBacksOffAfterFailures) {
  Settings set = plain();
  set.list_on_request = true;
  set.must_ask_in = 10.0;
  Script s(set);
  s.list(ListKind::cached, fleet(3));
  s.run_to(100.5);
  EXPECT_EQ(s.of(Action::subscribe).size(), 1u);
  std::vector<double> waits;
  for (int i = 0; i < 8; ++i) {
    const auto asked = s.of(Action::subscribe).size();
    s.list(ListKind::failed, {});
    EXPECT_NE(s.placed(5), 0u);  // the last list stays in force
    const double from = s.now;
    while (s.of(Action::subscribe).size() == asked && s.now < from + 60.0) s.run_to(s.now + 0.01);
    waits.push_back(s.now - from);
  }
  for (double w : waits) EXPECT_LT(w, 3.1);  // releases go on while the list is not seen
  EXPECT_GT(waits[3] + waits[4], waits[0] * 2.0);
  s.list(ListKind::delta, {});
  const auto asked = s.of(Action::subscribe).size();
  s.run_to(400.0);
  EXPECT_EQ(s.of(Action::subscribe).size(), asked);  // subscribed: no further calls
}
// What an agent beside the router has counts as told, also before it is asked: it is asked again soon.
TEST(OnRequest, AnAgentIsAskedAgainSoon) {
  Settings set = plain();
  set.list_on_request = set.list_pushed = true;
  Script s(set);
  s.list(ListKind::cached, fleet(3));
  s.run_to(100.5);
  for (int i = 0; i < 8; ++i) {
    const auto asked = s.of(Action::subscribe).size();
    s.list(ListKind::failed, {});
    s.run_to(s.now + 0.4);
    EXPECT_GT(s.of(Action::subscribe).size(), asked);
  }
}
TEST(OnRequest, APushedListIsNeverAskedFor) {
  Script s(plain());
  s.list(ListKind::cached, fleet(3));
  s.run_to(200.0);
  EXPECT_TRUE(s.of(Action::subscribe).empty());
}

// ---- odd settings and determinism -------------------------------------------------------------------------

TEST(OddSettings, LeadToAnswersAllTheSame) {
  Settings odd[5];
  odd[1].classes.emplace_back();
  odd[1].classes[0].latency_objective = -1.0;
  odd[1].classes[0].hard_limit = 0.0;
  odd[2] = plain();
  odd[2].max_attempts = 0;
  odd[2].balancers = -5;
  odd[2].cold_from = std::nan("");
  odd[2].fall_multiple = 0.0;
  odd[3] = plain();
  odd[3].zones = 0;
  odd[3].zone = 99;
  odd[3].price_cross_zone = 1.0;
  odd[4] = plain();
  odd[4].tenants = {{-3.0, 0.0}, {std::nan(""), 1.0}};
  for (const Settings& set : odd) {
    Script s(set);
    auto replicas = fleet(3);
    replicas[0].size = 0.0;
    replicas[1].size = std::nan("");
    s.list(ListKind::cached, replicas);
    for (RequestId id = 1; id <= 50; ++id) {
      NewRequest q = ask(id, id % 3 == 0 ? 0 : id);
      q.request_class = static_cast<std::uint32_t>(id % 4);
      q.tenant = static_cast<std::uint32_t>(id % 4);
      q.hint = id % 5 == 0 ? std::nan("") : 1.0;
      s.query(q);
    }
    s.run_to(120.0);
    for (RequestId id = 1; id <= 50; ++id) {
      EXPECT_EQ(s.finals(id), 1u);
      EXPECT_GE(s.tries[id], 1u);
    }
  }
}

// ---- from one process to the next -------------------------------------------------------------------------

// After a release that left a tombstone and a replica that fails, with admission down: the successor of this
// process places each key where it did, passes over the same replica and refuses as much; one that was told
// nothing does not.
TEST(Handover, ASuccessorGoesOnWhereTheOldOneStood) {
  Settings set = plain();
  set.retry_after = true;
  Script old(set, 1), heir(set, 2), fresh(set, 2);
  auto replicas = fleet(9);
  old.list(ListKind::cached, replicas);
  Replica gone = replicas[2];
  gone.health = Health::gone;
  old.list(ListKind::delta, {gone});
  replicas.erase(replicas.begin() + 2);
  for (RequestId id = 1; id <= 60; ++id) {
    old.run_to(old.now + 0.05);
    old.query(ask(id, mixed(id)));
    if (old.of(Action::attempt, id).empty()) continue;
    old.run_to(old.now + (id % 3 == 0 ? 1.05 : 0.1));
    old.accept(id, 0);
    old.respond(id, 0, Outcome::ok, true);
  }
  const ReplicaId bad = replicas[4].id;
  std::uint64_t there = 1;
  while (old.placed(there) != bad) ++there;
  for (RequestId id = 101; id <= 104; ++id) {
    old.query(ask(id, there));
    for (const Action& a : old.of(Action::attempt, id))
      old.respond(id, 0, a.replica == bad ? Outcome::reset : Outcome::cancelled, true);
  }
  for (Script* s : {&heir, &fresh}) {
    s->run_to(old.now);
    s->list(ListKind::cached, replicas);
  }
  heir.b.adopt(heir.now, old.b.learned(), heir);
  for (Script* s : {&old, &heir, &fresh}) {
    s->run_to(s->now + 0.2);
    s->placed(there);
  }
  EXPECT_GE(old.b.avoided(old.now), 1u);
  EXPECT_EQ(heir.b.avoided(heir.now), old.b.avoided(old.now));
  EXPECT_EQ(fresh.b.avoided(fresh.now), 0u);
  EXPECT_EQ(heir.b.learned().admitted_share, old.b.learned().admitted_share);
  EXPECT_LT(heir.b.learned().admitted_share, 0.95);
  int moved = 0, all = 0, differ = 0;
  for (std::uint64_t session = 1; session <= 400; ++session) {
    const ReplicaId before = old.placed(session);
    if (before == 0) continue;
    const ReplicaId after = heir.placed(session), without = fresh.placed(session);
    if (after == 0) continue;   // refused by its own draw
    differ += after != before;  // each refuses by its own draw, so that what they see parts slowly
    moved += without != before;
    ++all;
  }
  EXPECT_GT(all, 100);
  EXPECT_LE(differ, all / 50);
  EXPECT_GT(moved, all / 4);
}

// Settings that differ say different things by the same places: nothing is taken.
TEST(Handover, NothingIsTakenFromOtherSettings) {
  Settings two = plain();
  two.classes.push_back(two.classes[0]);
  Script a(two), b(plain());
  b.list(ListKind::cached, fleet(5));
  const auto before = placements(b);
  a.list(ListKind::cached, fleet(9));
  b.b.adopt(b.now, a.b.learned(), b);
  EXPECT_EQ(placements(b), before);
}

TEST(Determinism, IdenticalEventsGiveIdenticalActions) {
  const auto play = [] {
    Script s(plain(), 9);
    s.list(ListKind::cached, fleet(7));
    for (RequestId id = 1; id <= 200; ++id) {
      s.query(prefixed(id, id * 31, id % 5, 0.8));
      if (id % 3 == 0) s.respond(id, 0, Outcome::error, false);
      if (id % 3 == 1) s.accept(id, 0);
      s.run_to(s.now + 0.07);
    }
    s.run_to(140.0);
    std::vector<std::pair<RequestId, ReplicaId>> sent;
    for (const Action& a : s.log) sent.emplace_back(a.id, a.replica);
    return sent;
  };
  EXPECT_EQ(play(), play());
}

TEST(Misuse, TimeGoingBackwardsCountsAsTheLaterTime) {
  Script s(plain());
  s.list(ListKind::cached, fleet(3));
  s.query(ask(1, 5, 102.0));
  s.now = 50.0;
  s.query(ask(2, 6, 101.0));
  EXPECT_EQ(s.of(Action::attempt).size(), 2u);
  s.now = 100.0;
  s.run_to(103.0);
  EXPECT_EQ(s.finals(1), 1u);
  EXPECT_EQ(s.finals(2), 1u);
}

// What others have seen: passed over for a while, not against what it does for us, and never past the end.
TEST(Warnings, AReplicaThatOthersWarnOfIsPassedOverUntilItServesOrTheWordIsOld) {
  Script s(plain());
  s.list(ListKind::cached, fleet(4));
  std::uint64_t session = 1;
  const ReplicaId home = s.placed(session);
  s.b.on_health_warning(s.now, home, 3.0);
  s.b.on_health_warning(s.now, 12345, 3.0);  // on nobody's list
  EXPECT_EQ(s.b.avoided(s.now), 1u);
  EXPECT_NE(s.placed(session), home);
  s.run_to(s.now + 3.1);
  EXPECT_EQ(s.placed(session), home);
  s.b.on_health_warning(s.now, home, 1e9);  // no word counts for longer than 10 s
  s.run_to(s.now + 10.1);
  EXPECT_EQ(s.placed(session), home);
  for (const Replica& w : fleet(4)) s.b.on_health_warning(s.now, w.id, 5.0);
  EXPECT_NE(s.placed(session), 0u);  // with all of them warned of, one is picked even so
}

// Who is over its budget goes first when things are tight, by what the host knows.
TEST(Warnings, ABudgetThatTheHostKnowsGoesBeforeTheQuota) {
  Settings set = plain();
  set.tenants = {{0.001, 1.0}};  // by the quota alone everything is excess
  Script s(set);
  s.list(ListKind::cached, fleet(2));
  std::size_t within = 0, over = 0;
  for (RequestId id = 1; id <= 400; ++id) {
    s.run_to(s.now + 0.05);
    NewRequest q = ask(id, id);
    q.quota_status = id % 2 == 0 ? QuotaStatus::within : QuotaStatus::over;
    s.query(q);
    (id % 2 == 0 ? within : over) += s.of(Action::reject, id).size();
    if (s.tries[id] == 0) continue;
    s.run_to(s.now + (id % 7 < 3 ? 1.5 : 0.01));  // more are late than the module aims at
    s.accept(id, 0);
    s.respond(id, 0, Outcome::ok, true);
  }
  EXPECT_GT(within, 0u);
  EXPECT_GT(over, 2 * within);
}

}  // namespace
}  // namespace flintglade::policy
