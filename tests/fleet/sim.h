// Simulation of a fleet: the coordination protocol and shared state of all routers on a simulated network
// with simulated clocks. No sockets, no threads; runs are deterministic for a given world and faults.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/coordination_protocol.h"
#include "recordings/fnv_hash.h"
#include "shared/quota_holder.h"
#include "shared/shared_state.h"

namespace flintglade::tests {

using core::Micros;

// A fault that is injected at `at` and lasts for `length` (both in ms). Router numbers are taken modulo the
// fleet's size.
struct Fault {
  enum class Kind {
    pause,       // the process of `who` is stopped; its packets wait
    crash,       // the process of `who` ends, and is restarted after `length`
    cut_off,     // `who` is cut off from all others
    cut_from,    // `who` is cut off from the voters
    split,       // routers up to `who` are partitioned from those after it
    one_way,     // packets from `who` to `whom` are lost, or to all if whom % 3 == 0
    lossy,       // one packet in three is lost
    slow,        // packets are delayed by up to 800 ms more
    stuck,       // packets from `who` are delivered only after the fault ends
    disk_fails,  // writes of the voter `who` fail until its process restarts
    move,        // an operator requests that job whom % jobs moves to `who`
    kKinds
  };
  Kind kind = Kind::pause;
  unsigned who = 0, whom = 0;
  unsigned at = 0, length = 0;
};

// A step of the Unix time of the router `who` by `seconds` at the time `at` (ms).
struct ClockStep {
  unsigned who = 0, at = 0;
  double seconds = 0;
};

struct World {
  unsigned routers = 7, voters = 3;
  unsigned jobs = 3;
  std::uint64_t seed = 1;
  unsigned faults_until = 20'000, ends = 36'000;  // ms
  double drift = 0.02;                            // maximum difference between two clock rates
  coordination::LeaseTimes owners,
      leaders;                // of routers without and with a vote; equal unless a bug is planted
  bool disks_forget = false;  // planted bug: a voter that crashes loses its last writes
  bool fenced = true;         // false plants a bug: receivers accept any fencing token
  // If not 0: time (ms) at which the first voter and the last router leave; each restarts once it has left.
  unsigned leave_at = 0;

  // Shared state: budgets, requests against them, and request counts. Not simulated without budgets.
  std::vector<shared::Budget> budgets;  // a quota of team "q" and a stock of team "s"
  double requests_per_s = 200.0;        // requests per second of each team over the whole fleet
  // Share of the requests that the first router gets, as a multiple of each other router's share. 0: the
  // shares of the routers are in proportion 1, 1/2, 1/3, ...
  double skew = 0.0;
  double unix_step_s = 0.0;            // step of router 1's Unix time, halfway through the faults
  std::vector<ClockStep> clock_steps;  // in addition to that step
  bool check_bounds = false;           // also check the bounds of the counts during faults
  bool over_reserve = false;  // planted bug: holders reserve more for themselves than the allocator assumes
};

struct SimulationResult {
  std::string violation;  // the first rule that was violated, with its time; empty if none
  std::size_t grants = 0, effects = 0, refused = 0;
  double longest_gap_ms = 0;             // longest time that a job had no proved owner, after the faults
  double gap_ms = 0;                     // the same, over the whole run
  std::uint64_t served = 0, wanted = 0;  // requests of the quota's team that were served, and in all
  std::uint64_t stock_served = 0;        // requests of the stock's team served in its fullest window
  std::uint64_t packets = 0, bytes = 0;  // of shared state
  std::uint64_t datagrams = 0;           // sent by all routers, including those lost by the network
  // Hash over each datagram (time, sender, address, bytes) and each notification to a router's jobs, in
  // order.
  FnvHash trace;
};

SimulationResult play(const World& world, const std::vector<Fault>& faults);

}  // namespace flintglade::tests
