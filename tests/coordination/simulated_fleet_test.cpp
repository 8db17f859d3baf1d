// Whole fleets on a simulated network and clock (fleet/sim.h): the rules of leases under faults.
//
//   fleet_machines_test [RUNS [SEED]]: the property over random faults runs that often (else as RC_PARAMS
//   says)
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
  const auto number = [](int least, int most) { return rc::gen::inRange<unsigned>(least, most); };
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::map(number(0, static_cast<int>(Fault::Kind::kKinds)),
                                              [](unsigned k) { return static_cast<Fault::Kind>(k); })),
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

// Every router from `first_router` on has faults of these kinds, three times in a run, in worlds of many
// seeds.
struct PlantedFaults {
  std::vector<Fault::Kind> kinds;
  unsigned length_ms = 0;
  unsigned first_router = 0;
  std::uint64_t seeds = 40;
};

// Whether a run broke a rule.
bool breaks_a_rule(const World& base, const PlantedFaults& planted) {
  for (std::uint64_t seed = 1; seed <= planted.seeds; ++seed) {
    World world = base;
    world.seed = seed;
    std::vector<Fault> faults;
    for (unsigned who = planted.first_router; who < 7; ++who) {
      for (unsigned round = 0; round < 3; ++round) {
        const unsigned at = 3000 + 400 * who + 4500 * round + static_cast<unsigned>(seed) * 13;
        for (const Fault::Kind kind : planted.kinds)
          faults.push_back({kind, who, who, at, planted.length_ms});
      }
    }
    if (!play(world, faults).violation.empty()) return true;
  }
  return false;
}

RC_GTEST_PROP(SimulatedFleet, HasOneOwnerAtATimeAndAllJobsOwnedSoonAfterAnyFaults, ()) {
  const auto faults = *rc::gen::container<std::vector<Fault>>(any_fault());
  World world;
  world.seed = *rc::gen::arbitrary<std::uint32_t>();
  const SimulationResult seen = play(world, faults);
  if (!seen.violation.empty()) RC_FAIL(seen.violation + describe(world, faults));
}

// A check that cannot fail proves nothing: each rule finds the fault that breaks it.
TEST(SimulatedFleet, SoundFleetsStandThePlantedFaults) {
  EXPECT_FALSE(breaks_a_rule({}, {{Fault::Kind::cut_from}, 4000, 0, 3}));
  EXPECT_FALSE(breaks_a_rule({}, {{Fault::Kind::stuck}, 4000, 3, 3}));
}

TEST(SimulatedFleet, FindsVotersThatGrantBeforeTheLeaseIsOver) {
  World early;
  early.leaders.duration = 300 * core::kMilli;
  EXPECT_TRUE(breaks_a_rule(early, {{Fault::Kind::cut_from}, 4000}));
}

TEST(SimulatedFleet, FindsReceiversThatIgnoreFencingTokens) {
  World unfenced;
  unfenced.fenced = false;
  EXPECT_TRUE(breaks_a_rule(unfenced, {{Fault::Kind::stuck}, 4000, 3}));
}

// Voters whose last write is lost at a crash: entries that were committed can vanish.
TEST(SimulatedFleet, FindsVotersThatForgetTheirLastWrites) {
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 20 && !found; ++seed) {
    World world;
    world.seed = seed;
    world.disks_forget = true;
    std::vector<Fault> faults;
    for (unsigned k = 0; k < 9; ++k) {
      const unsigned at = 4000 + 3500 * (k / 3) + static_cast<unsigned>(seed) * 7;
      faults.push_back({Fault::Kind::crash, k % 3, 0, at, 300});
      faults.push_back({Fault::Kind::move, k, k, at - 900, 1});  // owners change before
    }
    found = !play(world, faults).violation.empty();
  }
  EXPECT_TRUE(found) << "a voter that forgets its last writes was not noticed";
}

TEST(SimulatedFleet, AnOwnerThatCrashesIsFollowedSoon) {
  double worst_ms = 0;
  for (std::uint64_t seed = 1; seed <= 8; ++seed) {
    World world;
    world.seed = seed;
    std::vector<Fault> faults;
    for (unsigned who = 0; who < 7; ++who)
      faults.push_back({Fault::Kind::crash, who, 0, 4000 + 2000 * who, 60000});
    faults.resize(3 + seed % 2);
    faults.erase(faults.begin(), faults.begin() + 2);  // a voter and some others; two voters stay
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
