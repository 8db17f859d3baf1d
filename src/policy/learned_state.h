// What a Balancer has learned since its start, as plain data: to be handed to the Balancer that takes its
// place in another process (Balancer::learned, Balancer::adopt). Nothing here decides anything. Times are
// seconds on the clock of both, loads are parts of this one router's.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/statistics.h"

namespace flintglade::policy {

struct Known {                              // of one replica
  double health = 1.0, health_at = 0.0;     // 1 = answers within its aims; forgets towards 1
  double cold_tokens = 0.0, cold_at = 0.0;  // work that the cold start budget still allows
  Stay stay;                                // of this router's attempts
  double full_until = 0.0, down_until = 0.0;
  int down = 0;  // connects in a row that failed
};

struct Prefix {
  Decayed work;
  int replicas = 1;
};

struct Zone {
  double down_until = 0.0;
  int down = 0;  // connects in a row that failed, to any replica there
};

struct Wait {  // how long first tokens take in a class, as parts of the aim
  double mean = 0.2, spread = 0.15;
};

struct LearnedState {
  double started = 0.0;  // of the first Balancer in the row
  // By kind of machine, by zone, by prefix, by class, by tenant.
  std::map<std::uint32_t, double> live_top;
  std::map<std::uint32_t, Stay> kinds;
  std::map<std::uint32_t, ReadCost> read_costs;
  std::map<std::uint32_t, Zone> zones;
  std::map<std::uint64_t, Prefix> prefixes;
  std::vector<Wait> waits;
  std::vector<double> class_work;
  std::vector<double> quota_tokens, quota_at;
  Stay stay;
  Decayed arrived, seen, late, judged;
  double same = 0.0, pairs = 0.0, widen = 1.0;
  double admit = 1.0, keep = 1.0, mean_value = 0.0, raw_mean = 0.0, prompt_mean = 0.0, fleet_peak = 0.0;
  double saved_retries = 0.0, saved_hedges = 0.0;
  // Filled to be handed over only: what is known of each listed replica, by id, and the ids of those whose
  // slots these are in order, those of leavers included.
  std::map<std::uint64_t, Known> replicas;
  std::vector<std::uint64_t> slots, own_slots;
};

}  // namespace flintglade::policy
