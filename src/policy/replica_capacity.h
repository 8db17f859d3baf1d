// The capacity of each replica relative to the others, which determines its share of the keys.
//
// A nominal size is used as listed. A live size decreases with the current load, which must not affect
// ordinary picks: the largest size seen for the machine kind is used as an approximation of the true one. A
// rough size is replaced by the mean of its machine kind and corrected by the measured speed of the kind; so
// is a missing one. Not thread-safe.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "policy/replica_table.h"

namespace flintglade::policy {

class ReplicaCapacity {
 public:
  // All references must outlive this object.
  ReplicaCapacity(const Settings& settings, const ReplicaTable& replicas, LearnedState& learned)
      : settings_(settings), replicas_(replicas), learned_(learned) {}

  // Recomputes all sizes. Must be called whenever the table has changed.
  void update(double now);
  // The same, at most once per second, and only if sizes depend on the measured speeds of machine kinds.
  void update_if_stale(double now);

  // The size of a replica, in the unit of the list's sizes. If the list has no sizes, 1 is the usual size.
  double size(int index) const { return sizes_[index]; }
  // The fraction of the keys hashed to its slot that a replica accepts: 1 for the largest replica.
  double key_acceptance(int index) const { return key_acceptance_[index]; }

 private:
  struct Kind {
    double total_size = 0.0;
    double count = 0.0;
    double speed = 1.0;  // relative to its size, as a multiple of the fleet's mean; log during compare_speeds

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
