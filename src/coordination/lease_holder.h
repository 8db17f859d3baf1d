// The owner's side of leases: which jobs this router owns, until when each lease is valid, when to renew.
//
// No I/O; for use on one thread. Times are of a clock that also runs while the machine sleeps. Source: leases
// (Gray and Cheriton, 1989).
#pragma once

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "coordination/lease_manager.h"

namespace flintglade::coordination {

class LeaseHolder {
 public:
  // A job that this router may perform from now on, or may no longer perform.
  struct Change {
    std::string job;
    std::uint64_t number = 0;  // the lease's fencing token
    bool acquired = false;     // false: the ownership ends
    std::string reason;        // why it ends
  };

  LeaseHolder(LeaseTimes times, std::string name) : times_(times), name_(std::move(name)) {}

  // Updates the owned jobs from the current lease table. A job that belongs to another router or to an
  // earlier process of this one is no longer owned. start_time: of this process, as in Job.birth.
  void on_lease_table(const LeaseTable& table, std::uint64_t start_time);
  // The renewal to send now, if one is due. An unanswered renewal is followed by a new one, and each extends
  // the leases from the time at which it was sent itself.
  std::optional<Renew> take_renewal(Micros now);
  // The renewal that was sent at `sent_at` is committed, and this router still holds these leases.
  void on_renewed(Micros sent_at, const std::vector<HeldLease>& held);
  // Releases to send now: of the jobs that an operator moves to another router; after release_all(), of all.
  std::vector<Release> take_releases(Micros now);
  // To be called when this router shuts down.
  void release_all() { is_releasing_all_ = true; }

  // Whether an effect of this job may be sent now.
  bool has_valid_lease(Micros now, const std::string& job) const;
  std::vector<HeldLease> valid_leases(Micros now) const;
  // Ownerships that began or ended since the last call. To be called at next_timer() and after each of the
  // calls above.
  std::vector<Change> take_changes(Micros now);
  Micros next_timer() const;

 private:
  struct OwnedJob {
    std::uint64_t number = 0;
    Micros valid_until = 0;       // by the last committed renewal, minus the clock margin
    bool is_running = false;      // the last Change reported it as acquired
    bool is_moving_away = false;  // an operator moves it to another router
    Micros release_sent_at = -1;  // last sending; -1: never
  };

  LeaseTimes times_;
  std::string name_;
  std::uint64_t start_time_ = 0;
  std::map<std::string, OwnedJob> owned_;
  std::vector<Change> ended_;  // to be returned by take_changes()
  Micros next_renewal_ = 0;
  bool is_releasing_all_ = false;
};

}  // namespace flintglade::coordination
