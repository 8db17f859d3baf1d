// Routers' agents on a network and clocks of the test's own: no socket, no thread, the same run for the same
// faults.
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

// What happens to the world, from `at` on for `length` (in ms).
struct Fault {
  enum class Kind {
    pause,
    crash,
    cut_off,
    cut_from,
    split,
    one_way,
    lossy,
    slow,
    stuck,
    disk_fails,
    move,
    kKinds
  };
  Kind kind = Kind::pause;
  unsigned who = 0, whom = 0;
  unsigned at = 0, length = 0;
};

// From `at` (ms) on, the Unix time of one router is so much further ahead.
struct ClockStep {
  unsigned who = 0, at = 0;
  double seconds = 0;
};

struct World {
  unsigned routers = 7, voters = 3;
  unsigned jobs = 3;
  std::uint64_t seed = 1;
  unsigned faults_until = 20'000, ends = 36'000;  // ms
  double drift = 0.02;                            // clocks run so much apart, at the most
  coordination::LeaseTimes owners, leaders;       // the same, but for a planted fault
  bool disks_forget = false;                      // planted: a voter that crashes loses its last writes
  bool fenced = true;                             // planted: receivers take any number
  // Off at 0. At this moment (ms) the first voter and the last router leave; each starts again once it has
  // left.
  unsigned leave_at = 0;

  // What routers share: a quota and a stock, requests by the thousand, and counts. Off without budgets.
  std::vector<shared::Budget> budgets;  // a quota of team "q", a stock of team "s"
  double asked = 200.0;                 // requests a second of each team, unevenly over the routers
  double skew = 0.0;                   // the first router gets so many times the others'; 0: 1, 1/2, 1/3, ...
  double unix_step_s = 0.0;            // of one router's Unix time, halfway through the faults
  std::vector<ClockStep> clock_steps;  // beside that one
  bool intervals = false;              // counts are looked at while faults last, too
  // Planted:
  bool aside_again = false;  // holders put more aside for themselves than the bank leaves
};

struct Seen {
  std::string broken;  // the first rule that was broken, with its time; empty: none
  std::size_t grants = 0, effects = 0, refused = 0;
  double longest_gap_ms = 0;             // of a job without a proved owner, after the faults
  double gap_ms = 0;                     // the longest one in all
  std::uint64_t served = 0, wanted = 0;  // requests, of the quota
  std::uint64_t stock_served = 0;        // of the stock, in the fullest window
  std::uint64_t packets = 0, bytes = 0;  // of what is shared
  std::uint64_t datagrams = 0;           // of all routers, also those that the network lost
  FnvHash
      trace;  // over each datagram (time, sender, address, bytes) and each word to a router's jobs, in order
};

Seen play(const World& world, const std::vector<Fault>& faults);

}  // namespace flintglade::tests
