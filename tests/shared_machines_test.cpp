// What routers share, without a socket: whole fleets on a network of the test's own, and the parts by
// themselves. shared_machines_test [RUNS [SEED]]
#include <rapidcheck.h>

#include <cstdlib>
#include <functional>

#include "check.h"
#include "fleet/sim.h"
#include "shared/ejection_policy.h"

namespace {

using namespace flintglade;
using namespace flintglade::tests;
using shared::kUnit;

World sharing(std::uint64_t seed) {
  World w;
  w.seed = seed;
  w.jobs = 1;
  shared::Budget quota;
  quota.name = quota.team = "q";
  quota.per_s = 60 * kUnit;
  quota.burst = 90 * kUnit;
  quota.routers = w.routers;
  shared::Budget stock;
  stock.name = stock.team = "s";
  stock.whole = 700 * kUnit;
  stock.window = 10 * core::kSecond;
  stock.routers = w.routers;
  w.budgets = {quota, stock};
  return w;
}

rc::Gen<std::vector<Fault>> faults(std::set<Fault::Kind> but_not = {}) {
  std::vector<Fault::Kind> kinds;
  for (int k = 0; k < static_cast<int>(Fault::Kind::kKinds); ++k) {
    if (but_not.count(static_cast<Fault::Kind>(k)) == 0) kinds.push_back(static_cast<Fault::Kind>(k));
  }
  const auto number = [](unsigned least, unsigned most) { return rc::gen::inRange<unsigned>(least, most); };
  return rc::gen::container<std::vector<Fault>>(rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::elementOf(kinds)), rc::gen::set(&Fault::who, number(0, 7)),
      rc::gen::set(&Fault::whom, number(0, 7)), rc::gen::set(&Fault::at, number(1500, 18000)),
      rc::gen::set(&Fault::length, number(50, 10000))));
}

std::string told(const World& w, const Seen& seen, const std::vector<Fault>& list) {
  std::string text = seen.broken + "; world " + std::to_string(w.seed);
  for (const Fault& f : list)
    text += "; kind " + std::to_string(static_cast<int>(f.kind)) + " who " + std::to_string(f.who) +
            " whom " + std::to_string(f.whom) + " at " + std::to_string(f.at) + " for " +
            std::to_string(f.length);
  return text;
}

bool never_more_than_the_whole() {
  return rc::check("whatever breaks: no budget is overspent, and counts are equal in the end", [] {
    const auto list = *faults();
    World w = sharing(*rc::gen::arbitrary<std::uint32_t>());
    w.unix_step_s = *rc::gen::element(0.0, 3600.0, -3600.0);
    const Seen seen = play(w, list);
    if (!seen.broken.empty()) RC_FAIL(told(w, seen, list));
  });
}

// Any router's, the allocator's too: forward or back, by less than a window or by an hour, and once more.
bool a_stepped_clock_moves_nothing() {
  return rc::check("one clock is stepped twice, whatever breaks: no budget is overspent", [] {
    const auto list = *faults({Fault::Kind::disk_fails});
    World w = sharing(*rc::gen::arbitrary<std::uint32_t>());
    const auto who = *rc::gen::inRange<unsigned>(0, w.routers);
    std::string steps;
    for (int i = 0; i < 2; ++i) {
      const auto at = *rc::gen::inRange<unsigned>(1500, 30000);
      const double seconds = *rc::gen::element(0.7, -0.7, 4.0, -4.0, 12.0, -12.0, 3600.0, -3600.0);
      w.clock_steps.push_back({who, at, seconds});
      steps += "; clock of " + std::to_string(who) + " at " + std::to_string(at) + " by " +
               std::to_string(seconds);
    }
    const Seen seen = play(w, list);
    if (!seen.broken.empty()) RC_FAIL(told(w, seen, list) + steps);
  });
}

// The bound on what a reader cannot know rests on the quickest packet being quick: no link here is slow from
// the first packet of a life on.
bool intervals_hold_the_truth() {
  return rc::check("at every reading the truth lies between the two", [] {
    const auto list = *faults({Fault::Kind::slow, Fault::Kind::stuck, Fault::Kind::disk_fails});
    World w = sharing(*rc::gen::arbitrary<std::uint32_t>());
    w.intervals = true;
    const Seen seen = play(w, list);
    if (!seen.broken.empty()) RC_FAIL(told(w, seen, list));
  });
}

void planted_faults_are_found() {
  const auto found = [](const std::function<void(World&)>& plant) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      World w = sharing(seed);
      plant(w);
      std::vector<Fault> list;
      for (unsigned who = 0; who < 7; ++who)
        list.push_back(
            {Fault::Kind::cut_from, who, 0, 3000 + 2400 * who + 50 * static_cast<unsigned>(seed), 2300});
      if (!play(w, list).broken.empty()) return true;
    }
    return false;
  };
  const auto tight = [](World& w) {
    w.budgets[0].burst = 40 * kUnit;
    w.asked = 1500;
  };
  CHECK(!found(tight));
  // Two banks at a time: voters grant the job anew long before its owner's lease is over.
  CHECK(found([&](World& w) {
    tight(w);
    w.leaders.duration = 100 * core::kMilli;
  }));
  CHECK(found([](World& w) { w.aside_again = true; }));
}

// The record: whatever is drawn, by whomever and in whatever order, a window's draws never pass its whole.
bool draws_never_pass_the_whole() {
  return rc::check("draws never pass the least whole that anybody named", [] {
    coordination::LeaseStateMachine jobs;
    coordination::Command grant;
    grant.mutable_grant()->set_job("bank");
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> windows;  // drawn, the least whole
    std::int64_t latest = 0;
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      const coordination::Job* job = jobs.find("bank");
      if (job == nullptr || *rc::gen::inRange(0, 20) == 0) {
        grant.mutable_grant()->set_seen(job == nullptr ? 0 : job->number());
        jobs.apply(grant);
      }
      coordination::Command c;
      coordination::StockDraw& d = *c.mutable_draw();
      d.set_job("bank");
      d.set_number(jobs.table().last_number() - *rc::gen::inRange<std::uint64_t>(0, 2));
      d.set_serial(*rc::gen::inRange<std::uint64_t>(1, 50));
      d.set_stock("s");
      d.set_window(*rc::gen::inRange<std::int64_t>(1, 4));
      d.set_amount(*rc::gen::inRange<std::int64_t>(-5, 60));
      d.set_whole(*rc::gen::inRange<std::int64_t>(90, 110));
      if (!jobs.apply(c).changed) continue;
      RC_ASSERT(d.number() == jobs.table().last_number() && d.window() >= latest);
      latest = d.window();
      auto& [drawn, whole] = windows.try_emplace(d.window(), 0, d.whole()).first->second;
      drawn += jobs.table().stocks(0).granted();
      whole = std::min(whole, d.whole());
      RC_ASSERT(drawn <= 110 && (drawn <= whole || jobs.table().stocks(0).granted() == 0));
      RC_ASSERT(!jobs.apply(c).changed);  // again: nothing
    }
  });
}

void a_sound_fleet_spends_what_it_has() {
  World w = sharing(5);
  const Seen seen = play(w, {});
  CHECK(seen.broken.empty());
  const double due = 60.0 * w.ends / 1000;
  std::printf(
      "no fault: %llu of a quota of %.0f served (%llu asked), %llu of a stock of 700; %.0f packets and "
      "%.0f bytes a second and router\n",
      static_cast<unsigned long long>(seen.served), due, static_cast<unsigned long long>(seen.wanted),
      static_cast<unsigned long long>(seen.stock_served),
      static_cast<double>(seen.packets) / 7 / (w.ends / 1000.0 + 12),
      static_cast<double>(seen.bytes) / 7 / (w.ends / 1000.0 + 12));
  CHECK(static_cast<double>(seen.served) > 0.75 * due);
  CHECK(seen.stock_served > 560);
}

// ---- counts

coordination::CounterRow row(const std::string& name, std::uint64_t birth, std::uint64_t version,
                             std::uint64_t served) {
  coordination::CounterRow r;
  r.set_name(name);
  r.set_birth(birth);
  r.set_version(version);
  coordination::RequestCounts& c = *r.add_counts();
  c.set_team("t");
  c.set_served(served);
  return r;
}

// Any order, any number of times, through any others: the same in the end.
bool merging_is_a_join() {
  return rc::check("rows merge in any order and any number of times", [] {
    std::vector<coordination::CounterRow> rows;
    for (std::uint64_t birth = 1; birth <= 3; ++birth) {
      for (std::uint64_t version = 1; version <= 3; ++version) {
        for (const char* name : {"a", "b"}) {
          rows.push_back(row(name, birth, version, 10 * birth + version));
          for (std::uint64_t before = 1; before < birth; ++before) {
            coordination::VersionMark& m = *rows.back().add_folded();
            m.set_name(name);
            m.set_birth(before);
            m.set_version(version);
          }
        }
      }
    }
    const auto read = [](const std::vector<coordination::CounterRow>& in) {
      shared::ReplicatedCounter ledger(shared::Settings{}, "reader", 1, "");
      for (const coordination::CounterRow& r : in) CHECK(ledger.merge(0, r, 0, 0).ok());
      std::uint64_t sum = 0;
      for (const auto& [key, total] : ledger.totals(0)) sum += total.count.served();
      std::string held;
      for (const auto& [life, h] : ledger.table().rows())
        held += life.router + std::to_string(life.birth) + "/" + std::to_string(h.entry.version()) + " ";
      return held + std::to_string(sum);
    };
    std::vector<coordination::CounterRow> mixed = rows;
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i)
      mixed.push_back(rows[*rc::gen::inRange<std::size_t>(0, rows.size())]);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::shuffle(mixed.begin(), mixed.end(), std::mt19937(seed));
    RC_ASSERT(read(mixed) == read(rows));
  });
}

// ---- judgements

bool hearsay_stays_within_its_bounds() {
  return rc::check("hearsay: witnesses, sites, the part of the fleet, age, own eyes", [] {
    shared::Settings set;
    set.health_gossip = true;
    const Micros now = 100 * core::kSecond;
    shared::VersionedTable<coordination::HealthObservations> heard(1000);
    std::map<core::ReplicaId, std::set<std::string>> bad, good, sites;
    for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
      coordination::HealthObservations s;
      s.set_name("r" + std::to_string(i));
      s.set_birth(1);
      s.set_version(1);
      s.set_site("site" + std::to_string(*rc::gen::inRange(0, 3)));
      for (core::ReplicaId r = 1; r <= 8; ++r) {
        const int says = *rc::gen::inRange(0, 3);
        if (says == 0) continue;
        coordination::ReplicaObservation& c = *s.add_cases();
        c.set_replica(r);
        c.set_bad(says == 1);
        c.set_age_us(*rc::gen::inRange<Micros>(0, 2 * set.observation_ttl));
        if (c.age_us() >= set.observation_ttl) continue;
        (c.bad() ? bad : good)[r].insert(s.name());
        if (c.bad()) sites[r].insert(s.site());
      }
      heard.merge(now, s, 0, 0);
    }
    shared::HealthObserver own(set);
    own.on_first_event(now, 3);
    const std::set<core::ReplicaId> ready{1, 2, 3, 4, 5, 6, 7};  // 8 is not on this router's list
    const auto warnings = shared::EjectionPolicy(set).ejections(
        now, shared::summarize_health(now, set, heard, "me"), ready, own, {13, 3});
    RC_ASSERT(warnings.size() <= static_cast<std::size_t>(set.max_ejected_share * 7));
    for (const auto& w : warnings) {
      RC_ASSERT(bad[w.replica].size() >= set.min_reporters && bad[w.replica].size() > good[w.replica].size());
      RC_ASSERT(sites[w.replica].size() >= 2);
      RC_ASSERT(w.replica != 3 && w.replica != 8 && w.span > 0 && w.span <= set.observation_ttl);
    }
  });
}

}  // namespace

int main(int argc, char** argv) {
  const std::string runs = argc > 1 ? argv[1] : "20", seed = argc > 2 ? argv[2] : "7";
  // A third word goes to RapidCheck as it is: noshrink=1 prints the first failing case and searches no
  // smaller one.
  const std::string more = argc > 3 ? " " + std::string(argv[3]) : "";
  ::setenv("RC_PARAMS", ("seed=" + seed + " max_success=" + runs + more).c_str(), 1);
  a_sound_fleet_spends_what_it_has();
  planted_faults_are_found();
  const bool good[] = {
      merging_is_a_join(),         draws_never_pass_the_whole(), hearsay_stays_within_its_bounds(),
      never_more_than_the_whole(), intervals_hold_the_truth(),   a_stepped_clock_moves_nothing()};
  return std::all_of(std::begin(good), std::end(good), [](bool g) { return g; }) ? 0 : 1;
}
