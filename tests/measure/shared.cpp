// Figures of what routers share: a budget check on the serving path, and what a quota yields with parts and
// with the guess of an even part for each, in a simulated fleet. docs/measurements/shared.md has them.
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

  shared::Budget wide = quota;  // a request in two is within
  wide.reserved_share = 0.5;
  wide.per_s = 14'000'000 * kUnit;
  wide.burst = 14'000'000 * kUnit;
  shared::QuotaHolder wallet({wide, stock}, {"q", "s"}, 1, 0);
  constexpr int kChecks = 5'000'000;
  std::uint64_t within = 0;
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < kChecks; ++i)
    within +=
        wallet.spend(i, static_cast<std::uint32_t>(i & 1), 0).verdict == shared::QuotaHolder::Verdict::within;
  const double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - from).count();
  std::printf("a budget check: %.0f ns (%llu within)\n\n", ns / kChecks,
              static_cast<unsigned long long>(within));

  std::printf(
      "served of a quota of 60 a second that is asked for 60 a second, 7 routers; a part of them hears "
      "nothing from 3 s to 20 s\n%-28s %10s %10s %10s\n",
      "", "none", "3 of 7", "no bank");
  for (const bool parts : {true, false}) {
    for (const double skew : {1.0, 5.0, 20.0}) {
      std::printf("%-16s skew %-6.0f ", parts ? "parts" : "an even guess", skew);
      for (const int cut : {0, 1, 2}) {
        double served = 0, due = 0;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
          World w;
          w.seed = seed;
          w.jobs = 1;
          w.budgets = {quota, stock};
          if (!parts) w.budgets[0].reserved_share = 1.0;
          w.requests_per_s = 60;
          w.skew = skew;
          std::vector<Fault> faults;
          if (cut == 1) faults.push_back({Fault::Kind::split, 3, 0, 3000, 17000});
          if (cut == 2) {
            for (unsigned v = 0; v < 3; ++v) faults.push_back({Fault::Kind::cut_off, v, 0, 3000, 17000});
          }
          const SimulationResult seen = play(w, faults);
          if (!seen.violation.empty()) std::printf("BROKEN: %s\n", seen.violation.c_str());
          served += static_cast<double>(seen.served);
          due += static_cast<double>(seen.wanted);
        }
        std::printf(" %9.2f ", served / due);
      }
      std::printf("\n");
    }
  }
}
