// Hashes, running means and exponentially decaying sums: the arithmetic of the decision module, without any
// decision. All times are seconds. Pure functions and plain data; nothing here fails.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>

namespace flintglade::policy {

// The finaliser of splitmix64 (Steele, Lea and Flood, 2014): each bit of the input changes half of the
// output.
inline std::uint64_t mix(std::uint64_t x) {
  x += 0x9e3779b97f4a7c15ull;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
  return x ^ (x >> 31);
}
// A hash of both values; their order counts.
inline std::uint64_t mix(std::uint64_t first, std::uint64_t second) { return mix(mix(first) ^ second); }

// A hash as a number in [0, 1).
inline double unit_interval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1p-53; }

// The value within [low, high]; low if it is not finite.
inline double clamp_finite(double value, double low, double high) {
  return std::isfinite(value) ? std::clamp(value, low, high) : low;
}

// The quotient, or 0 where the divisor is not positive.
inline double ratio_or_zero(double dividend, double divisor) {
  return divisor > 0.0 ? dividend / divisor : 0.0;
}

// An exponentially weighted mean; 0 stands for 'no value yet', and the first value is taken whole.
inline void update_mean(double& mean, double value, double weight) {
  mean += (mean == 0.0 ? 1.0 : weight) * (value - mean);
}

// Keeps a table to max_size entries: beyond that the idle ones are erased, or all where too few are idle.
template <typename Map, typename IsIdle>
void bound_size(Map& table, std::size_t max_size, const IsIdle& is_idle) {
  if (table.size() <= max_size) return;
  std::erase_if(table, is_idle);
  if (table.size() > max_size) table.clear();
}

// Random numbers from one seed that all parts of a Balancer draw from, so that equal events give equal draws.
struct RandomState {
  std::uint64_t seed = 0;

  // A number in [0, 1). The salt tells the purposes of draws apart.
  double next(std::uint64_t salt) { return unit_interval(seed = mix(seed, salt)); }
};

// An exponentially decaying sum. window: seconds after which a part of 1/e of a value is left.
struct DecayingSum {
  double sum = 0.0;         // as of updated_at
  double updated_at = 0.0;  // seconds

  double value(double now, double window) const { return sum * std::exp((updated_at - now) / window); }
  void add(double now, double window, double amount) {
    sum = value(now, window) + amount;
    updated_at = now;
  }
};

// The mean time of attempts in a replica by Little's law (Little, 1961): the mean number in flight over the
// rate of arrivals, both decaying. It counts what is still in flight, so a slow replica shows while its
// streams run, after two or three of them.
struct TimeInSystem {
  double in_flight_seconds = 0.0;  // the decaying integral of the number in flight
  double arrivals = 0.0;           // the decaying number of attempts sent
  double in_flight = 0.0;          // now; not decaying
  double updated_at = 0.0;         // seconds

  void advance_to(double now, double window) {
    const double remaining = std::exp((updated_at - now) / window);
    in_flight_seconds = in_flight_seconds * remaining + in_flight * window * (1.0 - remaining);
    arrivals *= remaining;
    updated_at = now;
  }
  // Seconds, drawn towards `usual` as if `prior_arrivals` attempts had taken just that.
  double mean(double usual, double prior_arrivals) const {
    return ratio_or_zero(in_flight_seconds + prior_arrivals * usual, arrivals + prior_arrivals);
  }
};

// How long a kind of machine takes to the first event for each token that it has to read (prefill). Quick
// samples count most: the others waited behind other prompts, which says nothing of the machine.
struct PrefillCost {
  // What a step costs besides reading, in tokens: engines take some hundred tokens' time for it.
  static constexpr double kStepOverheadTokens = 400.0;
  // Samples beyond this do not add certainty, so that the mean goes on following the machine.
  static constexpr double kMaxSamples = 20.0;
  // Weights of a new sample: a quicker one is nearer to what the machine can do.
  static constexpr double kWeightOfQuicker = 0.3, kWeightOfSlower = 0.05;

  double seconds_per_token = 0.0;
  double samples = 0.0;

  // latency: seconds to the first event.
  void add(double latency, double tokens_read) {
    if (!(latency > 0.0)) return;  // below the clock's resolution
    const double sample = latency / (std::max(0.0, tokens_read) + kStepOverheadTokens);
    const double weight_in_mean = 1.0 / (samples + 1.0);  // the first few samples count like a plain mean
    const double weight = sample < seconds_per_token ? std::max(kWeightOfQuicker, weight_in_mean)
                                                     : std::max(kWeightOfSlower, weight_in_mean);
    seconds_per_token += weight * (sample - seconds_per_token);
    samples = std::min(samples + 1.0, kMaxSamples);
  }
};

}  // namespace flintglade::policy
