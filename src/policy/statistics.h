// Hashes and sums that are forgotten with time: the arithmetic of the decision module. Nothing here decides
// anything. Times are seconds.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>

namespace flintglade::policy {

inline std::uint64_t mix(std::uint64_t x) {  // splitmix64's finaliser
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
inline std::uint64_t mix(std::uint64_t a, std::uint64_t b) { return mix(mix(a) ^ b); }
inline double unit(std::uint64_t h) { return static_cast<double>(h >> 11) * 0x1p-53; }
inline double sane(double x, double low, double high) {
  return std::isfinite(x) ? std::clamp(x, low, high) : low;
}
inline double part(double a, double b) { return b > 0.0 ? a / b : 0.0; }
// A running mean; 0 before the first value.
inline void follow(double& mean, double x, double weight) {
  mean += (mean == 0.0 ? 1.0 : weight) * (x - mean);
}

// Keeps a table to so many entries: beyond that the quiet ones go, or all where too many are not quiet.
template <typename Map, typename Quiet>
void bound_size(Map& table, std::size_t most, const Quiet& quiet) {
  if (table.size() <= most) return;
  std::erase_if(table, quiet);
  if (table.size() > most) table.clear();
}

struct Decayed {  // a sum that is forgotten with time
  double sum = 0.0;
  double at = 0.0;
  double value(double now, double memory) const { return sum * std::exp((at - now) / memory); }
  void add(double now, double memory, double x) {
    sum = value(now, memory) + x;
    at = now;
  }
};

// How long attempts stay out, by Little's law: the mean number out over the rate of sends. It counts what is
// still out, so a replica that is slow shows while its streams run, and two or three of them tell something.
struct Stay {
  double area = 0.0, sends = 0.0, out = 0.0, at = 0.0;
  void step(double now, double memory) {
    const double kept = std::exp((at - now) / memory);
    area = area * kept + out * memory * (1.0 - kept);
    sends *= kept;
    at = now;
  }
  double mean(double usual, double weight) const { return part(area + weight * usual, sends + weight); }
};

// How many seconds a machine takes to its first event for each token that it has to read. The quicker samples
// count most: the others waited behind other prompts, which says nothing of the machine.
struct ReadCost {
  // What a step costs besides reading, in tokens: engines take some hundred tokens' time for it.
  static constexpr double kStepTokens = 400.0;
  static constexpr double kMostSamples = 20.0, kTowardsQuicker = 0.3, kTowardsSlower = 0.05;
  double per_token = 0.0, samples = 0.0;
  void add(double waited, double tokens_read) {
    if (!(waited > 0.0)) return;  // too quick to be told from nothing
    const double sample = waited / (std::max(0.0, tokens_read) + kStepTokens);
    const double early = 1.0 / (samples + 1.0);  // the first few count like a mean
    const double weight =
        sample < per_token ? std::max(kTowardsQuicker, early) : std::max(kTowardsSlower, early);
    per_token += weight * (sample - per_token);
    samples = std::min(samples + 1.0, kMostSamples);
  }
};

}  // namespace flintglade::policy
