// What a Balancer has learned since its start, as plain data. Its components store their statistics here, and
// a hot restart passes the whole state to the Balancer of the next process (Balancer::learned,
// Balancer::adopt; serialized by hot_restart/snapshot.cpp). Contains no decisions. Times are seconds on a
// clock that both processes share; work is in units of this router's mean request; loads are those of this
// router only.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/statistics.h"

namespace flintglade::policy {

// What this router's attempts have shown about one replica.
struct ReplicaStatistics {
  double health = 1.0;                 // 1: answers within the objectives, 0: fails; as of health_updated_at
  double health_updated_at = 0.0;      // seconds
  double slow_start_tokens = 0.0;      // work that the slow start budget still allows
  double slow_start_updated_at = 0.0;  // seconds
  TimeInSystem time_in_system;         // of this router's attempts
  double rejecting_until = 0.0;        // seconds; set when it rejects an attempt as full
  double unreachable_until = 0.0;      // seconds; set by failed connects and by health warnings
  int consecutive_connect_failures = 0;
};

// The load of one prompt prefix.
struct PrefixState {
  DecayingSum work;
  int replicas = 1;  // the number of the key's replicas over which it is spread
};

// Whether a whole zone is unreachable.
struct ZoneState {
  double unreachable_until = 0.0;        // seconds
  int consecutive_connect_failures = 0;  // to any replica of the zone
};

// The latency of first events in a class, as multiples of the request's latency objective.
struct FirstEventLatency {
  double mean = 0.2;
  double mean_deviation = 0.15;
};

struct LearnedState {
  double started_at = 0.0;  // seconds; start of the first Balancer in the chain of hot restarts

  // By machine kind.
  std::map<std::uint32_t, double> largest_live_size;
  std::map<std::uint32_t, TimeInSystem> time_in_system_by_kind;
  std::map<std::uint32_t, PrefillCost> prefill_costs;

  std::map<std::uint32_t, ZoneState> zones;       // by zone
  std::map<std::uint64_t, PrefixState> prefixes;  // by prefix id

  // By class.
  std::vector<FirstEventLatency> first_event_latency;
  std::vector<double> mean_class_work;

  // By tenant: a token bucket of requests, and the time of its last refill.
  std::vector<double> quota_tokens;
  std::vector<double> quota_updated_at;

  TimeInSystem time_in_system;  // of attempts to any replica
  DecayingSum arrived_work;     // of new requests, without client retries
  DecayingSum hot_window_work;  // of all requests, over the longer window of hot prefixes
  DecayingSum late_answers;     // count
  DecayingSum answers;          // count

  // The number of all pairs of requests so far, and of those with the same prefix, weighted by work. Their
  // ratio estimates the share of the prefix of an average request.
  double same_prefix_pairs = 0.0;
  double all_pairs = 0.0;
  double prefix_widening = 1.0;  // factor on the number of replicas of a prefix; grows with cache hits

  double admitted_share = 1.0;  // of requests, under overload
  double own_zone_share = 1.0;  // of the keys that the own zone has capacity for
  double mean_value = 0.0;      // mean priority weight per unit of work
  double mean_raw_work = 0.0;   // of a request, in the unit of hints, or in tokens
  double mean_prompt_tokens = 0.0;
  double peak_fleet_size = 0.0;  // maximum sum of replica sizes, slowly decaying
  double retry_tokens = 0.0;     // retries that the budget allows now
  double hedge_tokens = 0.0;     // hedged requests that the budget allows now

  // Filled only by Balancer::learned(): the statistics of each listed replica by id, and the ids of the
  // replicas that the slots belong to, in order of the slots, including replicas that have left.
  std::map<std::uint64_t, ReplicaStatistics> replicas;
  std::vector<std::uint64_t> slots, own_zone_slots;
};

}  // namespace flintglade::policy
