// What a Balancer has learned since its start, as plain data: its modules keep their statistics here, and a
// hot restart hands the whole to the Balancer of the next process (Balancer::learned, Balancer::adopt;
// hot_restart/snapshot.cpp stores it). Nothing here decides anything. Times are seconds on the clock of both
// processes; work is in units of this router's mean request; loads are those of this one router.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/statistics.h"

namespace flintglade::policy {

// What this router's attempts have shown of one replica.
struct ReplicaStatistics {
  double health = 1.0;                 // 1: answers within the objectives, 0: fails; as of health_updated_at
  double health_updated_at = 0.0;      // seconds
  double slow_start_tokens = 0.0;      // work that the slow start budget still allows
  double slow_start_updated_at = 0.0;  // seconds
  TimeInSystem time_in_system;         // of this router's attempts
  double rejecting_until = 0.0;        // seconds; it rejected an attempt as full
  double unreachable_until = 0.0;      // seconds; it could not be reached, or a health warning names it
  int consecutive_connect_failures = 0;
};

// The load of one prompt prefix.
struct PrefixState {
  DecayingSum work;
  int replicas = 1;  // over how many of its own replicas it is spread
};

// Whether a whole zone is out of reach.
struct ZoneState {
  double unreachable_until = 0.0;        // seconds
  int consecutive_connect_failures = 0;  // to any replica there
};

// The latency of first events in a class, as multiples of the request's latency objective.
struct FirstEventLatency {
  double mean = 0.2;
  double mean_deviation = 0.15;
};

struct LearnedState {
  double started_at = 0.0;  // seconds; of the first Balancer in the chain of hot restarts

  // By kind of machine.
  std::map<std::uint32_t, double> largest_live_size;
  std::map<std::uint32_t, TimeInSystem> time_in_system_by_kind;
  std::map<std::uint32_t, PrefillCost> prefill_costs;

  std::map<std::uint32_t, ZoneState> zones;       // by zone
  std::map<std::uint64_t, PrefixState> prefixes;  // by prefix id

  // By class.
  std::vector<FirstEventLatency> first_event_latency;
  std::vector<double> mean_class_work;

  // By tenant: a token bucket of requests, and when it was last filled.
  std::vector<double> quota_tokens;
  std::vector<double> quota_updated_at;

  TimeInSystem time_in_system;  // of attempts to any replica
  DecayingSum arrived_work;     // of new requests, retries of clients left out
  DecayingSum hot_window_work;  // of all requests, over the longer window of hot prefixes
  DecayingSum late_answers;     // count
  DecayingSum answers;          // count

  // Of all pairs of requests so far, those with the same prefix, weighted by work: how popular the prefix of
  // an average request is.
  double same_prefix_pairs = 0.0;
  double all_pairs = 0.0;
  double prefix_widening = 1.0;  // factor on the replicas of a prefix, while its copies are found cached

  double admitted_share = 1.0;  // of requests, under overload
  double own_zone_share = 1.0;  // of the keys that the own zone could take
  double mean_value = 0.0;      // mean priority weight for its work
  double mean_raw_work = 0.0;   // of a request, in the unit of hints, or in tokens
  double mean_prompt_tokens = 0.0;
  double peak_fleet_size = 0.0;  // sum of sizes, slowly decaying
  double retry_tokens = 0.0;     // retries that the budget allows now
  double hedge_tokens = 0.0;     // hedged requests that the budget allows now

  // Filled only to be handed over: what is known of each listed replica, by id, and the ids of those whose
  // slots these are in order, those of replicas that left included.
  std::map<std::uint64_t, ReplicaStatistics> replicas;
  std::vector<std::uint64_t> slots, own_zone_slots;
};

}  // namespace flintglade::policy
