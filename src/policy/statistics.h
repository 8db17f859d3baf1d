// The arithmetic of the decision module: hashes, running means and exponentially decaying sums. Contains no
// decisions. All times are seconds. Pure functions and plain data; no function can fail.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>

namespace flintglade::policy {

// The finalizer of splitmix64 (Steele, Lea and Flood, 2014): flipping one input bit flips half of the output
// bits on average.
inline std::uint64_t mix(std::uint64_t value) {
  value += 0x9e3779b97f4a7c15ull;
  value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
  value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
  return value ^ (value >> 31);
}
// A hash of both values; depends on their order.
inline std::uint64_t mix(std::uint64_t first, std::uint64_t second) { return mix(mix(first) ^ second); }

// Maps a hash to a number in [0, 1).
inline double unit_interval(std::uint64_t hash) { return static_cast<double>(hash >> 11) * 0x1p-53; }

// The value clamped to [low, high]; low if it is not finite.
inline double clamp_finite(double value, double low, double high) {
  return std::isfinite(value) ? std::clamp(value, low, high) : low;
}

// The quotient, or 0 if the divisor is not positive.
inline double ratio_or_zero(double dividend, double divisor) {
  return divisor > 0.0 ? dividend / divisor : 0.0;
}

// Updates an exponentially weighted mean. A mean of 0 stands for 'no value yet': it is set to the value.
inline void update_mean(double& mean, double value, double weight) {
  mean += (mean == 0.0 ? 1.0 : weight) * (value - mean);
}

// Limits a table to max_size entries: if it has more, erases the idle ones, or all if too few are idle.
template <typename Map, typename IsIdle>
void limit_size(Map& table, std::size_t max_size, const IsIdle& is_idle) {
  if (table.size() <= max_size) return;
  std::erase_if(table, is_idle);
  if (table.size() > max_size) table.clear();
}

// The random number generator shared by all components of a Balancer. One seed makes the numbers
// reproducible: equal events give equal numbers.
struct RandomState {
  std::uint64_t seed = 0;

  // A number in [0, 1). The salt differs by the purpose of the number.
  double next(std::uint64_t salt) { return unit_interval(seed = mix(seed, salt)); }
};

// An exponentially decaying sum. window: seconds after which a value has decayed to 1/e.
struct DecayingSum {
  double sum = 0.0;         // as of updated_at
  double updated_at = 0.0;  // seconds

  double value(double now, double window) const { return sum * std::exp((updated_at - now) / window); }
  void add(double now, double window, double amount) {
    sum = value(now, window) + amount;
    updated_at = now;
  }
};

// The mean time of attempts in a replica by Little's law (Little, 1961): the mean number in flight divided by
// the arrival rate, both exponentially decaying. It includes attempts still in flight, so a slow replica is
// detected while its streams are running, after two or three of them.
struct TimeInSystem {
  double in_flight_seconds = 0.0;  // the decaying integral of the number in flight
  double arrivals = 0.0;           // the decaying number of attempts sent
  double in_flight = 0.0;          // current number; not decaying
  double updated_at = 0.0;         // seconds

  void advance_to(double now, double window) {
    const double remaining = std::exp((updated_at - now) / window);
    in_flight_seconds = in_flight_seconds * remaining + in_flight * window * (1.0 - remaining);
    arrivals *= remaining;
    updated_at = now;
  }
  // In seconds. `usual` is the prior mean, with the weight of `prior_arrivals` attempts.
  double mean(double usual, double prior_arrivals) const {
    return ratio_or_zero(in_flight_seconds + prior_arrivals * usual, arrivals + prior_arrivals);
  }
};

// The time to the first event of a machine kind per prompt token that it has to process (prefill). Fast
// samples have the most weight: slow ones were queued behind other prompts and say little about the machine.
struct PrefillCost {
  // Fixed overhead of a step, in tokens: for inference engines, the time of some hundred tokens.
  static constexpr double kStepOverheadTokens = 400.0;
  // The sample count is capped at this, so that the mean keeps adapting to the machine.
  static constexpr double kMaxSamples = 20.0;
  // Weights of a new sample: one faster than the mean is closer to what the machine can do.
  static constexpr double kWeightOfFaster = 0.3, kWeightOfSlower = 0.05;

  double seconds_per_token = 0.0;
  double samples = 0.0;

  // latency: seconds to the first event.
  void add(double latency, double tokens_read) {
    if (!(latency > 0.0)) return;  // below the resolution of the clock
    const double sample = latency / (std::max(0.0, tokens_read) + kStepOverheadTokens);
    const double weight_in_mean = 1.0 / (samples + 1.0);  // the first few samples form an arithmetic mean
    const double weight = sample < seconds_per_token ? std::max(kWeightOfFaster, weight_in_mean)
                                                     : std::max(kWeightOfSlower, weight_in_mean);
    seconds_per_token += weight * (sample - seconds_per_token);
    samples = std::min(samples + 1.0, kMaxSamples);
  }
};

}  // namespace flintglade::policy
