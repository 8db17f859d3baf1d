// Property tests of the shared state, without sockets: simulated fleets (fleet/sim.h) under faults, and
// single components.
//
//   shared_machines_test [RUNS [SEED [RAPIDCHECK_PARAMETERS]]]
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

World sharing_world(std::uint64_t seed) {
  World world;
  world.seed = seed;
  world.jobs = 1;
  shared::Budget quota;
  quota.name = quota.team = "q";
  quota.per_s = 60 * kUnit;
  quota.burst = 90 * kUnit;
  quota.routers = world.routers;
  shared::Budget stock;
  stock.name = stock.team = "s";
  stock.window_total = 700 * kUnit;
  stock.window = 10 * core::kSecond;
  stock.routers = world.routers;
  world.budgets = {quota, stock};
  return world;
}

rc::Gen<std::vector<Fault>> any_faults(std::set<Fault::Kind> excluded = {}) {
  std::vector<Fault::Kind> kinds;
  for (int kind = 0; kind < static_cast<int>(Fault::Kind::kKinds); ++kind) {
    if (excluded.count(static_cast<Fault::Kind>(kind)) == 0) kinds.push_back(static_cast<Fault::Kind>(kind));
  }
  const auto number = [](unsigned begin, unsigned end) { return rc::gen::inRange<unsigned>(begin, end); };
  return rc::gen::container<std::vector<Fault>>(rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::elementOf(kinds)), rc::gen::set(&Fault::who, number(0, 7)),
      rc::gen::set(&Fault::whom, number(0, 7)), rc::gen::set(&Fault::at, number(1500, 18000)),
      rc::gen::set(&Fault::length, number(50, 10000))));
}

std::string describe(const World& world, const SimulationResult& result, const std::vector<Fault>& faults) {
  std::string text = result.violation + "; world " + std::to_string(world.seed);
  for (const Fault& fault : faults)
    text += "; kind " + std::to_string(static_cast<int>(fault.kind)) + " who " + std::to_string(fault.who) +
            " whom " + std::to_string(fault.whom) + " at " + std::to_string(fault.at) + " for " +
            std::to_string(fault.length);
  return text;
}

bool no_budget_is_overspent() {
  return rc::check("under any faults no budget is overspent, and all routers' counts converge", [] {
    const auto faults = *any_faults();
    World world = sharing_world(*rc::gen::arbitrary<std::uint32_t>());
    world.unix_step_s = *rc::gen::element(0.0, 3600.0, -3600.0);
    const SimulationResult result = play(world, faults);
    if (!result.violation.empty()) RC_FAIL(describe(world, result, faults));
  });
}

// The clock of any router, including the allocator, is stepped twice: forward or back, by less than a window
// up to an hour.
bool a_stepped_clock_moves_nothing() {
  return rc::check("if one clock is stepped twice, no budget is overspent under any faults", [] {
    const auto faults = *any_faults({Fault::Kind::disk_fails});
    World world = sharing_world(*rc::gen::arbitrary<std::uint32_t>());
    const auto who = *rc::gen::inRange<unsigned>(0, world.routers);
    std::string steps;
    for (int i = 0; i < 2; ++i) {
      const auto at = *rc::gen::inRange<unsigned>(1500, 30000);
      const double seconds = *rc::gen::element(0.7, -0.7, 4.0, -4.0, 12.0, -12.0, 3600.0, -3600.0);
      world.clock_steps.push_back({who, at, seconds});
      steps += "; clock of " + std::to_string(who) + " at " + std::to_string(at) + " by " +
               std::to_string(seconds);
    }
    const SimulationResult result = play(world, faults);
    if (!result.violation.empty()) RC_FAIL(describe(world, result, faults) + steps);
  });
}

// The upper bound of a total relies on the fastest packet between two processes being fast. Faults that could
// delay even the first packets of a process are therefore excluded.
bool bounds_hold_at_every_reading() {
  return rc::check("at every reading the true count lies within the bounds", [] {
    const auto faults = *any_faults({Fault::Kind::slow, Fault::Kind::stuck, Fault::Kind::disk_fails});
    World world = sharing_world(*rc::gen::arbitrary<std::uint32_t>());
    world.check_bounds = true;
    const SimulationResult result = play(world, faults);
    if (!result.violation.empty()) RC_FAIL(describe(world, result, faults));
  });
}

// The checks must detect planted bugs.
void planted_bugs_are_found() {
  const auto found = [](const std::function<void(World&)>& plant) {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      World world = sharing_world(seed);
      plant(world);
      std::vector<Fault> faults;
      for (unsigned who = 0; who < 7; ++who)
        faults.push_back(
            {Fault::Kind::cut_from, who, 0, 3000 + 2400 * who + 50 * static_cast<unsigned>(seed), 2300});
      if (!play(world, faults).violation.empty()) return true;
    }
    return false;
  };
  const auto overload = [](World& world) {
    world.budgets[0].burst = 40 * kUnit;
    world.requests_per_s = 1500;
  };
  CHECK(!found(overload));
  // Two allocators at a time: voters grant the job again long before its owner's lease expires.
  CHECK(found([&](World& world) {
    overload(world);
    world.leaders.duration = 100 * core::kMilli;
  }));
  CHECK(found([](World& world) { world.over_reserve = true; }));
}

// The lease record: the granted draws of a window never exceed its total, for any draws in any order.
bool draws_never_exceed_the_total() {
  return rc::check("the draws of a window never exceed the lowest total in any draw", [] {
    coordination::LeaseStateMachine jobs;
    coordination::Command grant;
    grant.mutable_grant()->set_job("bank");
    std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> windows;  // amount drawn, lowest total
    std::int64_t latest = 0;
    for (int i = *rc::gen::inRange(0, 200); i > 0; --i) {
      const coordination::Job* job = jobs.find("bank");
      if (job == nullptr || *rc::gen::inRange(0, 20) == 0) {
        grant.mutable_grant()->set_seen(job == nullptr ? 0 : job->number());
        jobs.apply(grant);
      }
      coordination::Command command;
      coordination::StockDraw& draw = *command.mutable_draw();
      draw.set_job("bank");
      draw.set_number(jobs.table().last_number() - *rc::gen::inRange<std::uint64_t>(0, 2));
      draw.set_serial(*rc::gen::inRange<std::uint64_t>(1, 50));
      draw.set_stock("s");
      draw.set_window(*rc::gen::inRange<std::int64_t>(1, 4));
      draw.set_amount(*rc::gen::inRange<std::int64_t>(-5, 60));
      draw.set_whole(*rc::gen::inRange<std::int64_t>(90, 110));
      if (!jobs.apply(command).changed) continue;
      RC_ASSERT(draw.number() == jobs.table().last_number() && draw.window() >= latest);
      latest = draw.window();
      auto& [drawn, lowest_total] = windows.try_emplace(draw.window(), 0, draw.whole()).first->second;
      drawn += jobs.table().stocks(0).granted();
      lowest_total = std::min(lowest_total, draw.whole());
      RC_ASSERT(drawn <= 110 && (drawn <= lowest_total || jobs.table().stocks(0).granted() == 0));
      RC_ASSERT(!jobs.apply(command).changed);  // a repeated draw changes nothing
    }
  });
}

void a_fleet_without_faults_spends_its_budgets() {
  World world = sharing_world(5);
  const SimulationResult result = play(world, {});
  CHECK(result.violation.empty());
  const double quota = 60.0 * world.ends / 1000;
  std::printf(
      "without faults: %llu of a quota of %.0f served (%llu requested), %llu of a stock of 700; "
      "%.0f packets and %.0f bytes per second and router\n",
      static_cast<unsigned long long>(result.served), quota, static_cast<unsigned long long>(result.wanted),
      static_cast<unsigned long long>(result.stock_served),
      static_cast<double>(result.packets) / 7 / (world.ends / 1000.0 + 12),
      static_cast<double>(result.bytes) / 7 / (world.ends / 1000.0 + 12));
  CHECK(static_cast<double>(result.served) > 0.75 * quota);
  CHECK(result.stock_served > 560);
}

// ---- request counters

coordination::CounterRow counter_row(const std::string& name, std::uint64_t birth, std::uint64_t version,
                                     std::uint64_t served) {
  coordination::CounterRow row;
  row.set_name(name);
  row.set_birth(birth);
  row.set_version(version);
  coordination::RequestCounts& count = *row.add_counts();
  count.set_team("t");
  count.set_served(served);
  return row;
}

bool merging_is_order_independent() {
  return rc::check("rows merge in any order and any number of times", [] {
    std::vector<coordination::CounterRow> rows;
    for (std::uint64_t birth = 1; birth <= 3; ++birth) {
      for (std::uint64_t version = 1; version <= 3; ++version) {
        for (const char* name : {"a", "b"}) {
          rows.push_back(counter_row(name, birth, version, 10 * birth + version));
          for (std::uint64_t before = 1; before < birth; ++before) {
            coordination::VersionMark& mark = *rows.back().add_folded();
            mark.set_name(name);
            mark.set_birth(before);
            mark.set_version(version);
          }
        }
      }
    }
    const auto merged = [](const std::vector<coordination::CounterRow>& received) {
      shared::ReplicatedCounter counter(shared::Settings{}, "reader", 1, "");
      for (const coordination::CounterRow& row : received) CHECK(counter.merge(0, row, 0, 0).ok());
      std::uint64_t sum = 0;
      for (const auto& [key, total] : counter.totals(0)) sum += total.count.served();
      std::string versions;
      for (const auto& [process, row] : counter.table().rows())
        versions +=
            process.router + std::to_string(process.birth) + "/" + std::to_string(row.entry.version()) + " ";
      return versions + std::to_string(sum);
    };
    std::vector<coordination::CounterRow> shuffled = rows;
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i)
      shuffled.push_back(rows[*rc::gen::inRange<std::size_t>(0, rows.size())]);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(seed));
    RC_ASSERT(merged(shuffled) == merged(rows));
  });
}

// ---- replica health gossip

// Limits: reporters, sites, share of the ready replicas, age of observations, own experience.
bool ejections_satisfy_the_policy() {
  return rc::check("ejections stay within the limits of the policy", [] {
    shared::Settings settings;
    settings.health_gossip = true;
    const Micros now = 100 * core::kSecond;
    shared::VersionedTable<coordination::HealthObservations> observations(1000);
    std::map<core::ReplicaId, std::set<std::string>> bad, good, sites;
    for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
      coordination::HealthObservations row;
      row.set_name("r" + std::to_string(i));
      row.set_birth(1);
      row.set_version(1);
      row.set_site("site" + std::to_string(*rc::gen::inRange(0, 3)));
      for (core::ReplicaId replica = 1; replica <= 8; ++replica) {
        const int report = *rc::gen::inRange(0, 3);
        if (report == 0) continue;  // no observation
        coordination::ReplicaObservation& observation = *row.add_cases();
        observation.set_replica(replica);
        observation.set_bad(report == 1);
        observation.set_age_us(*rc::gen::inRange<Micros>(0, 2 * settings.observation_ttl));
        if (observation.age_us() >= settings.observation_ttl) continue;
        (observation.bad() ? bad : good)[replica].insert(row.name());
        if (observation.bad()) sites[replica].insert(row.site());
      }
      observations.merge(now, row, 0, 0);
    }
    shared::HealthObserver own(settings);
    own.on_first_event(now, 3);
    const std::set<core::ReplicaId> ready{1, 2, 3, 4, 5, 6, 7};  // replica 8 is not on this router's list
    const auto ejections = shared::EjectionPolicy(settings).ejections(
        now, shared::summarize_health(now, settings, observations, "me"), ready, own, {13, 3});
    RC_ASSERT(ejections.size() <= static_cast<std::size_t>(settings.max_ejected_share * 7));
    for (const auto& ejection : ejections) {
      RC_ASSERT(bad[ejection.replica].size() >= settings.min_reporters &&
                bad[ejection.replica].size() > good[ejection.replica].size());
      RC_ASSERT(sites[ejection.replica].size() >= 2);
      RC_ASSERT(ejection.replica != 3 && ejection.replica != 8 && ejection.span > 0 &&
                ejection.span <= settings.observation_ttl);
    }
  });
}

}  // namespace

int main(int argc, char** argv) {
  const std::string runs = argc > 1 ? argv[1] : "20", seed = argc > 2 ? argv[2] : "7";
  // The third argument is passed on to RapidCheck: noshrink=1 prints the first failing case without searching
  // for a smaller one.
  const std::string parameters = argc > 3 ? " " + std::string(argv[3]) : "";
  ::setenv("RC_PARAMS", ("seed=" + seed + " max_success=" + runs + parameters).c_str(), 1);
  a_fleet_without_faults_spends_its_budgets();
  planted_bugs_are_found();
  const bool passed[] = {merging_is_order_independent(), draws_never_exceed_the_total(),
                         ejections_satisfy_the_policy(), no_budget_is_overspent(),
                         bounds_hold_at_every_reading(), a_stepped_clock_moves_nothing()};
  return std::all_of(std::begin(passed), std::end(passed), [](bool each) { return each; }) ? 0 : 1;
}
