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

#include "fleet/agent.h"

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

struct World {
  unsigned routers = 7, voters = 3;
  unsigned jobs = 3;
  std::uint64_t seed = 1;
  unsigned faults_until = 20'000, ends = 36'000;  // ms
  double drift = 0.02;                            // clocks run so much apart, at the most
  fleet::LeaseTimes owners, leaders;              // the same, but for a planted fault
  bool disks_forget = false;                      // planted: a voter that crashes loses its last writes
  bool fenced = true;                             // planted: receivers take any number
};

struct Seen {
  std::string broken;  // the first rule that was broken, with its time; empty: none
  std::size_t grants = 0, effects = 0, refused = 0;
  double longest_gap_ms = 0;  // of a job without a proved owner, after the faults
  double gap_ms = 0;          // the longest one in all
};

Seen play(const World& world, const std::vector<Fault>& faults);

}  // namespace flintglade::tests
