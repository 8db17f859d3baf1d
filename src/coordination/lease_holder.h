// The owner's side of leases: which jobs this router owns, until when each lease is valid, when to renew.
//
// Pure; one thread. Times are of a clock that also runs while the machine sleeps. Source: leases (Gray and
// Cheriton, 1989).
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
  // A job that this router may do from now on, or may no more.
  struct Change {
    std::string job;
    std::uint64_t number = 0;  // the lease's fencing token
    bool acquired = false;     // else it ends
    std::string reason;        // why it ends
  };

  LeaseHolder(LeaseTimes times, std::string name) : times_(times), name_(std::move(name)) {}

  // The lease table as it stands now. Jobs that belong to another router, or to an earlier process of this
  // one, end.
  void on_lease_table(const LeaseTable& table, std::uint64_t birth);
  // The renewal to send now, if one is due. One that is not answered is sent again, and counts from its own
  // sending.
  std::optional<Renew> take_renewal(Micros now);
  // The renewal that was sent at `sent_at` is committed, and these leases are still this router's.
  void on_renewed(Micros sent_at, const std::vector<HeldLease>& held);
  // Releases to send now: of jobs that an operator wants elsewhere, or of all after release_all().
  std::vector<Release> take_releases(Micros now);
  // This router shuts down.
  void release_all() { is_releasing_all_ = true; }

  // Whether an effect of this job may be written at this very moment.
  bool has_valid_lease(Micros now, const std::string& job) const;
  std::vector<HeldLease> valid_leases(Micros now) const;
  // What began or ended since the last call. To be called at next_timer() and after each of the calls above.
  std::vector<Change> take_changes(Micros now);
  Micros next_timer() const;

 private:
  struct OwnedJob {
    std::uint64_t number = 0;
    Micros valid_until = 0;   // by the last committed renewal, less the margin for clocks
    bool is_running = false;  // the last Change said that it was acquired
    bool is_wanted_elsewhere = false;
    Micros release_sent_at = -1;  // the last time; -1: never
  };

  LeaseTimes times_;
  std::string name_;
  std::uint64_t birth_ = 0;
  std::map<std::string, OwnedJob> owned_;
  std::vector<Change> ended_;  // for take_changes()
  Micros next_renewal_ = 0;
  bool is_releasing_all_ = false;
};

}  // namespace flintglade::coordination
