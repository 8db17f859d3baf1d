// Whole fleets on a simulated network and clock (fleet/sim.h): the rules of leases under faults.
//
//   fleet_machines_test [RUNS [SEED]]: the number of random runs of the property test (default: from
//   RC_PARAMS)
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <vector>

#include "fleet/sim.h"

namespace flintglade::tests {
namespace {

rc::Gen<Fault> any_fault() {
  const auto number = [](int min, int end) { return rc::gen::inRange<unsigned>(min, end); };
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::map(number(0, static_cast<int>(Fault::Kind::kKinds)),
                                              [](unsigned kind) { return static_cast<Fault::Kind>(kind); })),
      rc::gen::set(&Fault::who, number(0, 7)), rc::gen::set(&Fault::whom, number(0, 7)),
      rc::gen::set(&Fault::at, number(1500, 18000)), rc::gen::set(&Fault::length, number(50, 10000)));
}

std::string describe(const World& world, const std::vector<Fault>& faults) {
  std::string text = "; world " + std::to_string(world.seed);
  for (const Fault& fault : faults)
    text += "; kind " + std::to_string(static_cast<int>(fault.kind)) + " who " + std::to_string(fault.who) +
            " whom " + std::to_string(fault.whom) + " at " + std::to_string(fault.at) + " for " +
            std::to_string(fault.length);
  return text;
}

// Faults that every router from `first_router` on has three times in a run; one run for each of `seeds`
// seeds.
struct InjectedFaults {
  std::vector<Fault::Kind> kinds;
  unsigned length_ms = 0;  // duration of each fault
  unsigned first_router = 0;
  std::uint64_t seeds = 40;
};

// Whether any run violates a rule.
bool breaks_a_rule(const World& base, const InjectedFaults& injected) {
  for (std::uint64_t seed = 1; seed <= injected.seeds; ++seed) {
    World world = base;
    world.seed = seed;
    std::vector<Fault> faults;
    for (unsigned router = injected.first_router; router < 7; ++router) {
      for (unsigned round = 0; round < 3; ++round) {
        const unsigned at = 3000 + 400 * router + 4500 * round + static_cast<unsigned>(seed) * 13;
        for (const Fault::Kind kind : injected.kinds)
          faults.push_back({kind, router, router, at, injected.length_ms});
      }
    }
    if (!play(world, faults).violation.empty()) return true;
  }
  return false;
}

RC_GTEST_PROP(SimulatedFleet, HasOneOwnerAtATimeAndAnOwnerOfEachJobSoonAfterAnyFaults, ()) {
  const auto faults = *rc::gen::container<std::vector<Fault>>(any_fault());
  World world;
  world.seed = *rc::gen::arbitrary<std::uint32_t>();
  const SimulationResult seen = play(world, faults);
  if (!seen.violation.empty()) RC_FAIL(seen.violation + describe(world, faults));
}

// Verifies the checks themselves: a correct fleet passes with the faults that the tests below inject, and
// each rule detects a fleet that violates it.
TEST(SimulatedFleet, CorrectFleetsPassWithTheInjectedFaults) {
  EXPECT_FALSE(breaks_a_rule({}, {{Fault::Kind::cut_from}, 4000, 0, 3}));
  EXPECT_FALSE(breaks_a_rule({}, {{Fault::Kind::stuck}, 4000, 3, 3}));
}

TEST(SimulatedFleet, DetectsVotersThatGrantBeforeTheLeaseExpires) {
  World early;
  early.leaders.duration = 300 * core::kMilli;
  EXPECT_TRUE(breaks_a_rule(early, {{Fault::Kind::cut_from}, 4000}));
}

TEST(SimulatedFleet, DetectsReceiversThatIgnoreFencingTokens) {
  World unfenced;
  unfenced.fenced = false;
  EXPECT_TRUE(breaks_a_rule(unfenced, {{Fault::Kind::stuck}, 4000, 3}));
}

// If voters lose their last write in a crash, committed entries can disappear.
TEST(SimulatedFleet, DetectsVotersThatLoseTheirLastWrites) {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 20 && !found; ++seed) {
    World world;
    world.seed = seed;
    world.disks_forget = true;
    std::vector<Fault> faults;
    for (unsigned i = 0; i < 9; ++i) {
      const unsigned at = 4000 + 3500 * (i / 3) + static_cast<unsigned>(seed) * 7;
      faults.push_back({Fault::Kind::crash, i % 3, 0, at, 300});
      faults.push_back({Fault::Kind::move, i, i, at - 900, 1});  // owners change shortly before
    }
    found = !play(world, faults).violation.empty();
  }
  EXPECT_TRUE(found) << "no run detected that the voters lose their last writes";
}

TEST(SimulatedFleet, JobsHaveNewOwnersSoonAfterTheirOwnersCrash) {
  double worst_ms = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    World world;
    world.seed = seed;
    std::vector<Fault> faults;
    for (unsigned router = 0; router < 7; ++router)
      faults.push_back({Fault::Kind::crash, router, 0, 4000 + 2000 * router, 60000});
    faults.resize(3 + seed % 2);
    // One voter crashes, in some runs also another router; two voters remain.
    faults.erase(faults.begin(), faults.begin() + 2);
    const SimulationResult seen = play(world, faults);
    EXPECT_EQ(seen.violation, "");
    worst_ms = std::max(worst_ms, seen.gap_ms);
  }
  std::printf("longest time without an owner, simulated crashes: %.0f ms\n", worst_ms);
  EXPECT_LT(worst_ms, 4500);
}

}  // namespace
}  // namespace flintglade::tests

int main(int argc, char** argv) {
  ::testing::InitGoogleTest(&argc, argv);
  if (argc > 1) {
    const std::string runs = argv[1], seed = argc > 2 ? argv[2] : "7";
    ::setenv("RC_PARAMS", ("seed=" + seed + " max_success=" + runs).c_str(), 1);
  }
  return RUN_ALL_TESTS();
}
