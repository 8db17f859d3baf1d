// How much work each replica can do relative to the others, and so what part of the keys it gets.
//
// A nominal size is taken as listed. A live size is lowered by load at that moment, which must not steer
// ordinary picks: the largest of its kind seen so far comes near the true one. A rough size, or none, is
// evened out over its kind and corrected by how quickly that kind works. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/replica_table.h"

namespace flintglade::policy {

class ReplicaCapacity {
 public:
  // All outlive this.
  ReplicaCapacity(const Settings& settings, const ReplicaTable& replicas, LearnedState& learned)
      : settings_(settings), replicas_(replicas), learned_(learned) {}

  // Works all sizes out again. To be called whenever the table has changed.
  void update(double now);
  // The same, at most once a second, where sizes depend on what attempts showed.
  void update_if_old(double now);

  // The size of a replica, in the unit of the list's sizes. 1 is a usual one where the list gives none.
  double size(int index) const { return sizes_[index]; }
  // The part of the keys put on its slot that a replica takes: 1 for the largest.
  double key_acceptance(int index) const { return key_acceptance_[index]; }

 private:
  struct Kind {
    double total_size = 0.0;
    double count = 0.0;
    double speed = 1.0;  // for its size, as a multiple of the fleet's

    double mean_size() const { return total_size / count; }
  };
  using Kinds = std::map<std::uint32_t, Kind>;

  bool sized_by_kind() const {
    return settings_.weights == WeightSource::silent || settings_.weights == WeightSource::rough;
  }
  Kinds ready_kinds();
  void compare_speeds(Kinds& kinds);

  const Settings& settings_;
  const ReplicaTable& replicas_;
  LearnedState& learned_;
  std::vector<double> sizes_, key_acceptance_;  // by replica index
  double updated_at_ = 0.0;                     // seconds
};

}  // namespace flintglade::policy
