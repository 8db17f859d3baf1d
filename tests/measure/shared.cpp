// Measures shared quotas: the cost of a budget check on the request path, and the share of a quota that a
// simulated fleet serves, with quota leases and with a fixed even split. The results are in
// docs/measurements/shared.md.
#include <chrono>
#include <cstdio>

#include "fleet/sim.h"

int main() {
  using namespace flintglade;
  using namespace flintglade::tests;
  using shared::kUnit;
  shared::Budget quota;
  quota.name = quota.team = "q";
  quota.per_s = 60 * kUnit;
  quota.burst = 90 * kUnit;
  quota.routers = 7;
  shared::Budget stock;
  stock.name = stock.team = "s";
  stock.window_total = 700 * kUnit;
  stock.window = 10 * core::kSecond;
  stock.routers = 7;

  shared::Budget check_budget = quota;  // large enough for one request in two
  check_budget.reserved_share = 0.5;
  check_budget.per_s = 14'000'000 * kUnit;
  check_budget.burst = 14'000'000 * kUnit;
  shared::QuotaHolder quota_holder({check_budget, stock}, {"q", "s"}, 1, 0);
  constexpr int kChecks = 5'000'000;
  std::uint64_t within = 0;
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kChecks; ++i)
    within += quota_holder.spend(i, static_cast<std::uint32_t>(i & 1), 0).verdict ==
              shared::QuotaHolder::Verdict::within;
  const double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
  std::printf("a budget check: %.0f ns (%llu within)\n\n", ns / kChecks,
              static_cast<unsigned long long>(within));

  std::printf(
      "share of the requests served, with a quota of 60/s and 60 requests/s over 7 routers; some routers are "
      "cut off from 3 s to 20 s\n%-28s %10s %10s %10s\n",
      "", "none", "3 of 7", "no voters");
  for (const bool with_leases : {true, false}) {
    for (const double skew : {1.0, 5.0, 20.0}) {
      std::printf("%-16s skew %-6.0f ", with_leases ? "leases" : "even split", skew);
      for (const int fault_case : {0, 1, 2}) {
        double served = 0, wanted = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          World world;
          world.seed = seed;
          world.jobs = 1;
          world.budgets = {quota, stock};
          if (!with_leases) world.budgets[0].reserved_share = 1.0;
          world.requests_per_s = 60;
          world.skew = skew;
          std::vector<Fault> faults;
          if (fault_case == 1) faults.push_back({Fault::Kind::split, 3, 0, 3000, 17000});
          if (fault_case == 2) {
            for (unsigned voter = 0; voter < 3; ++voter)
              faults.push_back({Fault::Kind::cut_off, voter, 0, 3000, 17000});
          }
          const SimulationResult result = play(world, faults);
          if (!result.violation.empty()) std::printf("rule violated: %s\n", result.violation.c_str());
          served += static_cast<double>(result.served);
          wanted += static_cast<double>(result.wanted);
        }
        std::printf(" %9.2f ", served / wanted);
      }
      std::printf("\n");
    }
  }
}
