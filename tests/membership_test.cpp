// The merge of sources against its clauses (docs/membership.md): some by example, the rest by random
// histories.
#include <rapidcheck.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <map>
#include <set>

#include "check.h"
#include "endpoint_sources/endpoint_merger.h"
#include "endpoint_sources/source_settings.h"
#include "flintglade/policy/balancer.h"

namespace {

using namespace flintglade;
using namespace flintglade::endpoint_sources;
using core::EndpointListUpdate;
using core::kSecond;
using flintglade::policy::ListKind;

std::string address(int n) { return "10.0.0." + std::to_string(n) + ":8000"; }

core::Endpoint entry(std::uint64_t uid, int at, Health health, double started_at = 0.0) {
  core::Endpoint e;
  e.replica.id = uid;
  e.replica.health = health;
  e.replica.started_at = started_at;
  e.address = address(at);
  return e;
}
EndpointListUpdate list(ListKind kind, std::uint32_t version, std::vector<core::Endpoint> entries) {
  EndpointListUpdate news;
  news.kind = kind;
  news.version = version;
  news.entries = std::move(entries);
  return news;
}
Named named(int n, int priority = 0, int weight = 1) {
  return {address(n), "h" + std::to_string(n) + ".", static_cast<std::uint16_t>(priority),
          static_cast<std::uint16_t>(weight)};
}
DnsFacts facts(std::initializer_list<int> ns) {
  DnsFacts f;
  for (int n : ns) f.named.push_back(named(n));
  return f;
}
SourceSpec dns_source(const std::string& name) {
  SourceSpec s;
  s.name = name;
  s.dns_name = "_m._tcp." + name + ".";
  s.zero_drains = true;
  return s;
}
SourceSpec list_source() {
  SourceSpec s;
  s.name = "list";
  s.list = true;
  return s;
}

struct World {
  EndpointMerger m{Settings{}, {list_source(), dns_source("a"), dns_source("b")}};
  Micros now = 100 * kSecond;
  Health health(int n) const {
    const auto it = m.verdicts().find(address(n));
    return it == m.verdicts().end() ? Health::gone : it->second.endpoint.replica.health;
  }
  Clause clause(int n) const { return m.verdicts().at(address(n)).clause; }
  double size(int n) const { return m.verdicts().at(address(n)).endpoint.replica.size; }
  void pass(Micros span) {
    const Micros end = now + span;
    while (m.next_timer() <= end) {
      now = std::max(now, m.next_timer());
      m.wake(now);
    }
    now = end;
    m.wake(now);
  }
};

void an_address_is_a_replica() {
  World w;
  // One address under two ids: the ready one, else the younger, stands for it.
  w.m.list(w.now, list(ListKind::full, 1, {entry(1, 1, Health::draining), entry(2, 1, Health::ready, 50.0)}));
  CHECK(w.health(1) == Health::ready);
  CHECK(w.m.verdicts().at(address(1)).endpoint.replica.started_at == 50.0);
  // An id that moves: its old address is gone, its new one is a replica of its own.
  w.m.list(w.now, list(ListKind::delta, 2, {entry(2, 2, Health::ready, 50.0), entry(1, 1, Health::gone)}));
  CHECK(w.health(1) == Health::gone && w.clause(1) == Clause::gone && w.health(2) == Health::ready);
  // Another one at the address of one that went.
  w.m.list(w.now, list(ListKind::delta, 3, {entry(3, 1, Health::ready, 90.0)}));
  CHECK(w.health(1) == Health::ready);
  CHECK(w.m.verdicts().at(address(1)).endpoint.replica.id == replica_id(address(1)));
}

void bad_news_wins_whoever_brings_it() {
  World w;
  w.m.dns(w.now, "a", facts({1, 2, 3, 4}));
  w.m.list(w.now, list(ListKind::full, 1, {entry(1, 1, Health::ready), entry(2, 2, Health::draining)}));
  CHECK(w.clause(1) == Clause::named && w.clause(2) == Clause::draining && w.clause(3) == Clause::named);
  w.m.dns(w.now, "b", facts({3, 5}));
  CHECK(w.health(5) == Health::ready);
  w.m.dns(w.now, "b", facts({5}));  // left out by one source that had named it
  CHECK(w.clause(3) == Clause::gone);
  w.m.dns(w.now, "b", facts({3, 5}));
  CHECK(w.clause(3) == Clause::returning);
  w.pass(4 * kSecond);
  CHECK(w.clause(3) == Clause::returning);
  w.pass(2 * kSecond);
  CHECK(w.clause(3) == Clause::named);
  // One that joins a known set has just started, as far as anybody can tell; the rest is long past.
  CHECK(w.m.verdicts().at(address(1)).endpoint.replica.started_at == 0.0);
  w.m.dns(w.now, "a", facts({1, 2, 3, 4, 6}));
  CHECK(w.m.verdicts().at(address(6)).endpoint.replica.started_at > 0.0);
}

void a_list_that_was_set_back_is_not_believed_at_once() {
  World w;
  w.m.list(w.now, list(ListKind::full, 9, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  w.m.list(w.now, list(ListKind::delta, 10, {entry(2, 2, Health::gone)}));
  w.m.failed(w.now, "list", "away");
  w.m.list(w.now, list(ListKind::full, 4, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  CHECK(w.clause(2) == Clause::returning && w.health(1) == Health::ready);
  w.pass(6 * kSecond);
  CHECK(w.health(2) == Health::ready);
  // In order, its word is taken at once.
  w.m.list(w.now, list(ListKind::delta, 5, {entry(2, 2, Health::draining)}));
  CHECK(w.health(2) == Health::draining);
  w.m.list(w.now, list(ListKind::delta, 6, {entry(2, 2, Health::ready)}));
  CHECK(w.health(2) == Health::ready);
}

void an_emptied_zone_is_doubted() {
  World w;
  w.m.dns(w.now, "a", facts({1, 2, 3, 4}));
  w.m.dns(w.now, "a", facts({}));
  for (int n = 1; n <= 4; ++n) CHECK(w.clause(n) == Clause::doubted && w.health(n) == Health::ready);
  w.pass(16 * kSecond);
  CHECK(w.m.to_confirm(w.now) == std::vector<std::string>{"_m._tcp.a."});
  CHECK(w.m.to_confirm(w.now).empty());
  w.m.dns(w.now, "a", facts({}));
  CHECK(w.clause(1) == Clause::doubted);
  w.pass(15 * kSecond);
  CHECK(!w.m.to_confirm(w.now).empty());
  w.m.dns(w.now, "a", facts({}));
  CHECK(w.clause(1) == Clause::gone);
  // They come back as they were: a zone that was empty says nothing of a restart.
  w.m.dns(w.now, "a", facts({1, 2, 3, 4}));
  w.pass(6 * kSecond);
  CHECK(w.clause(1) == Clause::named && w.m.verdicts().at(address(1)).endpoint.replica.started_at == 0.0);
  // By small steps: no more than the guard's part within its time.
  World s;
  s.m.dns(s.now, "a", facts({1, 2, 3, 4}));
  s.m.dns(s.now, "a", facts({1, 2, 3}));
  s.m.dns(s.now, "a", facts({1, 2}));
  CHECK(s.clause(3) == Clause::gone && s.clause(4) == Clause::gone);
  s.m.dns(s.now, "a", facts({1}));
  CHECK(s.clause(2) == Clause::doubted);
  // What another source calls gone needs no confirming.
  s.m.list(s.now, list(ListKind::full, 1, {entry(2, 2, Health::draining)}));
  CHECK(s.health(2) == Health::draining);
}

void failing_removes_nobody() {
  World w;
  w.m.dns(w.now, "a", facts({1, 2}));
  w.m.failed(w.now, "a", "no answer");
  w.pass(3600 * kSecond);
  CHECK(w.clause(1) == Clause::held && w.health(1) == Health::ready);
  // Targets that cannot be told keep what they had.
  DnsFacts half = facts({1});
  half.unresolved = {"h2."};
  w.m.dns(w.now, "a", half);
  CHECK(w.health(2) == Health::ready && w.clause(1) == Clause::named);
  // Only after very long, and beside a source that answers, it has no say.
  w.m.failed(w.now, "a", "no answer");
  w.pass(90000 * kSecond);
  CHECK(w.health(1) == Health::ready);
  w.m.dns(w.now, "b", facts({3}));
  CHECK(w.health(1) == Health::gone && w.health(3) == Health::ready);
}

void known_until_someone_answers() {
  World w;
  w.m.known(w.now, list(ListKind::cached, 7, {entry(1, 1, Health::ready), entry(2, 2, Health::ready)}));
  CHECK(w.clause(1) == Clause::known && w.health(1) == Health::ready && !w.m.answered());
  w.m.failed(w.now, "list", "x");
  w.m.failed(w.now, "a", "x");
  CHECK(!w.m.all_failed());
  w.m.failed(w.now, "b", "x");
  CHECK(w.m.all_failed() && w.health(1) == Health::ready);
  w.m.list(w.now, list(ListKind::full, 8, {entry(1, 1, Health::ready)}));
  CHECK(w.clause(1) == Clause::named && w.health(2) == Health::gone);
}

void groups_spill_by_a_share() {
  World w;
  DnsFacts f;
  for (int n = 1; n <= 10; ++n) f.named.push_back(named(n, 1));
  for (int n = 11; n <= 15; ++n) f.named.push_back(named(n, 2));
  w.m.dns(w.now, "a", f);
  CHECK(w.clause(11) == Clause::standby && w.m.shares().at(1) == 1.0);
  for (int n = 1; n <= 4; ++n) f.named[n - 1].weight = 0;  // 6 of 10 are left: under 0.7
  w.m.dns(w.now, "a", f);
  CHECK(w.clause(11) == Clause::named && w.m.shares().at(1) == 0.75);
  double first = 0.0, second = 0.0;
  for (int n = 5; n <= 10; ++n) first += w.size(n);
  for (int n = 11; n <= 15; ++n) second += w.size(n);
  CHECK(std::abs(second / (first + second) - 0.25) < 1e-9);
  // To and fro about the threshold: it moves once.
  const auto flap = [&](int ready) {
    for (int n = 1; n <= 10; ++n) f.named[n - 1].weight = n > 10 - ready ? 1 : 0;
    w.now += kSecond;
    w.m.dns(w.now, "a", f);
  };
  int moves = 0;
  double last = w.m.shares().at(1);
  for (int i = 0; i < 200; ++i) {
    flap(i % 2 ? 6 : 8);  // 0.6 and 0.8: under the first bound, not over the second
    w.pass(5 * kSecond);
    moves += w.m.shares().at(1) != last;
    last = w.m.shares().at(1);
  }
  CHECK(moves == 0);
  flap(10);
  w.pass(20 * kSecond);
  CHECK(w.m.shares().at(1) == 1.0 && w.clause(11) == Clause::standby);
  for (int n = 1; n <= 10; ++n) f.named[n - 1].weight = 0;  // all alike: RFC 2782 makes nothing of it
  w.m.dns(w.now, "a", f);
  CHECK(w.health(1) == Health::ready);
}

void weights_are_sizes() {
  World w;
  DnsFacts f;
  f.named = {named(1, 0, 10), named(2, 0, 30), named(3, 0, 20)};
  w.m.dns(w.now, "a", f);
  CHECK(w.size(1) == 0.5 && w.size(2) == 1.5 && w.size(3) == 1.0);
}

void a_reload_loses_nobody_early() {
  World w;
  w.m.dns(w.now, "a", facts({1}));
  w.m.dns(w.now, "b", facts({2}));
  w.m.changes();
  SourceSpec other = dns_source("c");
  w.m.configure(w.now, Settings{}, {other});
  CHECK(w.health(1) == Health::ready && w.health(2) == Health::ready);
  w.m.dns(w.now, "c", facts({3}));
  CHECK(w.health(1) == Health::gone && w.health(3) == Health::ready);
  const auto news = w.m.changes();
  CHECK(news && news->entries.size() == 3);
}

// A property that is found false ends the test; RapidCheck by itself only says so.
void property(const char* what, const std::function<void()>& holds) {
  if (!rc::check(what, holds)) std::exit(1);
}

// ---- random histories
// ------------------------------------------------------------------------------------------

// One step of a random history, as plain numbers, so that RapidCheck can shrink it.
using Step = std::tuple<int, int, int, int>;
rc::Gen<std::vector<Step>> histories() {
  return rc::gen::container<std::vector<Step>>(rc::gen::tuple(rc::gen::inRange(0, 7), rc::gen::inRange(0, 3),
                                                              rc::gen::inRange(0, 1 << 6),
                                                              rc::gen::inRange(0, 8000)));
}

// A model of what each source has said last, kept apart from the code under test.
struct Model {
  std::array<std::map<int, Standing>, 3> said;  // by source: list, a, b
  std::array<bool, 3> failing{}, answered{};
  std::uint32_t version = 0;
};

void play(World& w, Model& model, const Step& step) {
  const auto& [kind, source, bits, wait] = step;
  const char* names[] = {"list", "a", "b"};
  w.pass(wait * core::kMilli);
  if (kind == 0) {
    w.m.failed(w.now, names[source], "x");
    model.failing[source] = true;
    return;
  }
  if (kind == 1) return w.pass(40 * kSecond);
  if (source == 0) {
    std::vector<core::Endpoint> entries;
    std::map<int, Standing> now;
    for (int n = 1; n <= 6; ++n) {
      if ((bits >> (n - 1) & 1) == 0) continue;
      const bool drains = (kind + n) % 4 == 0;
      entries.push_back(entry(n, n, drains ? Health::draining : Health::ready));
      now[n] = drains ? Standing::draining : Standing::ready;
    }
    w.m.list(w.now, list(ListKind::full, ++model.version, entries));
    for (const auto& [n, s] : model.said[0]) now.try_emplace(n, Standing::gone);
    model.said[0] = now;
  } else {
    DnsFacts f;
    std::map<int, Standing> now;
    for (int n = 1; n <= 6; ++n) {
      if ((bits >> (n - 1) & 1) != 0) {
        f.named.push_back(named(n));
        now[n] = Standing::ready;
      }
    }
    w.m.dns(w.now, names[source], f);
    for (const auto& [n, s] : model.said[source]) now.try_emplace(n, Standing::gone);
    model.said[source] = now;
  }
  model.failing[source] = false;
  model.answered[source] = true;
}

void the_clauses_hold() {
  property("what a source calls draining or gone takes nothing new", [] {
    World w;
    Model model;
    for (const Step& step : *histories()) {
      play(w, model, step);
      for (int n = 1; n <= 6; ++n) {
        const bool listed_bad = model.said[0].count(n) != 0 && model.said[0][n] != Standing::ready;
        if (listed_bad) RC_ASSERT(w.health(n) != Health::ready);
        // A word of DNS may be doubted; then, and only then, the replica may go on, by its clause.
        for (int s = 1; s <= 2; ++s) {
          const auto word = model.said[s].find(n);
          if (word == model.said[s].end() || word->second == Standing::ready) continue;
          const auto said = w.m.said(address(n), w.now);
          const bool doubted = std::any_of(said.begin(), said.end(), [&](const Said& x) {
            return x.source == (s == 1 ? "a" : "b") && x.what == std::string("left out (doubted)");
          });
          if (!doubted) RC_ASSERT(w.health(n) != Health::ready);
        }
      }
    }
  });
  property("failing alone removes nobody", [] {
    World w;
    Model model;
    for (const Step& step : *histories()) {
      play(w, model, step);
      std::map<int, Health> before;
      for (int n = 1; n <= 6; ++n) before[n] = w.health(n);
      for (const char* s : {"list", "a", "b"}) w.m.failed(w.now, s, "x");
      for (int n = 1; n <= 6; ++n) {
        if (before[n] == Health::ready) RC_ASSERT(w.health(n) == Health::ready);
      }
      w.pass(60 * kSecond);
      for (int n = 1; n <= 6; ++n) {
        if (before[n] == Health::ready) RC_ASSERT(w.health(n) == Health::ready);
      }
    }
  });
  property("nobody serves whom no source has named", [] {
    World w;
    Model model;
    for (const Step& step : *histories()) {
      play(w, model, step);
      for (const auto& [at, v] : w.m.verdicts()) {
        if (v.endpoint.replica.health != Health::ready) continue;
        bool once = false;
        for (int n = 1; n <= 6; ++n) {
          for (const auto& said : model.said) once = once || (address(n) == at && said.count(n) != 0);
        }
        RC_ASSERT(once);
      }
    }
  });
  property("no more than the guard's part goes unconfirmed", [] {
    World w;
    DnsFacts all = facts({1, 2, 3, 4, 5, 6});
    w.m.dns(w.now, "a", all);
    for (const Step& step : *histories()) {  // within the guard's time
      DnsFacts f;
      for (int n = 1; n <= 6; ++n) {
        if ((std::get<2>(step) >> (n - 1) & 1) != 0) f.named.push_back(named(n));
      }
      w.now += 20 * core::kMilli;
      if (w.now > 120 * kSecond) break;
      w.m.dns(w.now, "a", f);
      int gone = 0;
      for (int n = 1; n <= 6; ++n) gone += w.clause(n) == Clause::gone;
      RC_ASSERT(gone <= 3);
    }
  });
  property("told in changes or whole, it is the same set", [] {
    World w;
    Model model;
    std::map<core::ReplicaId, Health> followed;
    for (const Step& step : *histories()) {
      play(w, model, step);
      if (const auto news = w.m.changes()) {
        for (const auto& e : news->entries) followed[e.replica.id] = e.replica.health;
      }
      std::map<core::ReplicaId, Health> whole;
      for (const auto& e : w.m.whole().entries) whole[e.replica.id] = e.replica.health;
      for (const auto& [id, health] : followed) {
        if (health != Health::gone) RC_ASSERT(whole.at(id) == health);
      }
      for (const auto& [id, health] : whole) RC_ASSERT(followed.at(id) == health);
    }
  });
}

// ---- the same table on every router
// ----------------------------------------------------------------------------

struct Picks final : flintglade::policy::ActionSink {
  std::uint64_t replica = 0;
  void attempt(flintglade::policy::RequestId, flintglade::policy::ReplicaId w, double) override {
    replica = w;
  }
  void reject(flintglade::policy::RequestId, double) override {}
  void fail(flintglade::policy::RequestId) override {}
  void stop_attempt(flintglade::policy::RequestId, std::uint16_t) override {}
  void set_timer(double, std::uint64_t) override {}
  void subscribe(bool) override {}
};

struct Router {
  explicit Router(std::uint64_t seed, int slots) : module(settings(slots), seed, 1000.0) {}
  static flintglade::policy::Settings settings(int slots) {
    flintglade::policy::Settings s;
    s.classes.emplace_back();
    s.slots = slots;
    s.weights = flintglade::policy::WeightSource::nominal;
    return s;
  }
  void set(std::uint64_t members, double at) {
    flintglade::policy::EndpointListChange change;
    change.kind = ListKind::full;
    for (int n = 0; n < 12; ++n) {
      if ((members >> n & 1) == 0) continue;
      flintglade::policy::Replica w;
      w.id = replica_id(address(n));
      w.health = Health::ready;
      w.started_at = joined.try_emplace(n, at).first->second;  // as it learnt of them: no two routers alike
      change.replicas.push_back(w);
    }
    module.on_endpoint_list(at, change, picks);
  }
  std::uint64_t pick(std::uint64_t key, double at) {
    flintglade::policy::NewRequest q;
    q.id = ++last;
    q.key = key;
    q.deadline = at + 5.0;
    picks.replica = 0;
    module.on_request(at, q, picks);
    const std::uint64_t out = picks.replica;
    flintglade::policy::AttemptResult r;
    r.id = q.id;
    r.replica = out;
    r.outcome = flintglade::policy::Outcome::ok;
    r.closed = true;
    module.on_first_event(at, {q.id, 0, out, 0.01}, picks);
    module.on_attempt_result(at, r, picks);
    return out;
  }
  Picks picks;
  flintglade::policy::Balancer module;
  std::map<int, double> joined;
  std::uint64_t last = 0;
};

void routers_with_the_same_set_pick_the_same() {
  property("same set, same table, whatever came before", [] {
    const auto set = *rc::gen::inRange<std::uint64_t>(1, 1 << 12);
    Router a(1, 256), b(2, 256);
    for (std::uint64_t members :
         *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1 << 12)))
      a.set(members, 1000.0);
    for (std::uint64_t members :
         *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(0, 1 << 12)))
      b.set(members, 1010.0);
    a.set(set, 1020.0);
    b.set(set, 1020.0);
    for (std::uint64_t key = 1; key <= 40; ++key) {
      const std::uint64_t k = key * 0x9e3779b97f4a7c15ull;
      RC_ASSERT(a.pick(k, 1500.0 + static_cast<double>(key)) == b.pick(k, 1500.0 + static_cast<double>(key)));
    }
  });
  // One that joins takes its share and moves no other key; one that leaves gives up its own alone.
  Router r(3, 4096);
  r.set(0x3ff, 1000.0);
  std::map<std::uint64_t, std::uint64_t> before;
  for (std::uint64_t key = 1; key <= 2000; ++key)
    before[key] = r.pick(key * 0x9e3779b97f4a7c15ull, 2000.0 + static_cast<double>(key));
  r.set(0x7ff, 5000.0);
  int moved = 0;
  for (auto& [key, was] : before) {
    const std::uint64_t now = r.pick(key * 0x9e3779b97f4a7c15ull, 9000.0 + static_cast<double>(key));
    if (now == was) continue;
    ++moved;
    CHECK(now == replica_id(address(10)));
  }
  CHECK(moved > 2000 / 11 / 2 && moved < 2000 / 11 * 2);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {an_address_is_a_replica,
                                         bad_news_wins_whoever_brings_it,
                                         a_list_that_was_set_back_is_not_believed_at_once,
                                         an_emptied_zone_is_doubted,
                                         failing_removes_nobody,
                                         known_until_someone_answers,
                                         groups_spill_by_a_share,
                                         weights_are_sizes,
                                         a_reload_loses_nobody_early,
                                         the_clauses_hold,
                                         routers_with_the_same_set_pick_the_same};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
