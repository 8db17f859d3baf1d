// The decisions of the voters' leader: which router gets a job, and when a lease has certainly expired.
//
// An owner measures its lease from the time at which it sent its last committed renewal. The leader measures
// it from the time at which it saw that renewal committed, or at which it became leader, whichever is later,
// and adds a margin for clock drift. So a lease ends at its owner first. No I/O; for use on one thread; the
// caller passes in the time.
//
// Source: leases (Gray and Cheriton, 1989); rendezvous hashing (Thaler and Ravishankar, 1996) for the choice
// of an owner.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/lease_state_machine.h"
#include "core/ports.h"
#include "membership/swim.h"

namespace flintglade::coordination {

using core::Micros;

// A configured job.
struct JobSettings {
  std::string name;
  // The owner is chosen among the routers of this site; empty: among all. The site of an owner that the
  // operator requests is not checked.
  std::string site;
};

struct LeaseTimes {
  Micros duration = 2 * core::kSecond;
  // From the start of a leader's term until a job that never had an owner gets one, so that the leader knows
  // which routers are alive.
  Micros first_grant_delay = core::kSecond;
  // Allows for 10% of clock drift, or for clock steps that add up to as much within one lease.
  Micros clock_margin() const { return duration / 10; }
};

class LeaseManager {
 public:
  LeaseManager(LeaseTimes times, std::vector<JobSettings> jobs) : times_(times), jobs_(std::move(jobs)) {}

  // This voter is the leader from now on. Leases that a previous leader renewed have to expire first.
  void on_leadership_acquired(Micros now);
  void on_leadership_lost() { is_leader_ = false; }
  // To be called when a renewal is proposed, and again when it is committed. It counts from the proposal on,
  // since a grant after it in the log would conflict with the lease that it renews.
  void on_renewed(Micros now, const std::string& owner, const HeldLease& held);
  // The new owner may not act before its first renewal. If none is committed soon, the job is granted to
  // another router, without waiting for a whole lease.
  void on_granted(Micros now, const std::string& job);

  // The grants to propose now. `living`: all routers that are alive or suspected.
  std::vector<Command> decide_grants(Micros now, const LeaseStateMachine& leases,
                                     const std::vector<membership::Peer>& living);
  // When to call decide_grants() if nothing else happens.
  Micros next_timer() const { return next_timer_; }

  // Every leader chooses the same owner, and few jobs move when routers join or leave. Null if no router is
  // eligible.
  static const membership::Peer* choose_owner(const JobSettings& job,
                                              const std::vector<membership::Peer>& living,
                                              const std::set<std::string>& excluded = {});

 private:
  // Whether a job may be granted now; if not, sets the timer to when it may.
  bool may_grant(Micros now, const JobSettings& settings, const Job* job);
  Micros lease_end(const std::string& job) const;
  const membership::Peer* next_owner(Micros now, const JobSettings& settings, const Job* job,
                                     const std::vector<membership::Peer>& living) const;
  std::set<std::string> unresponsive_routers(Micros now) const;

  LeaseTimes times_;
  std::vector<JobSettings> jobs_;
  bool is_leader_ = false;
  Micros leader_since_ = 0;
  std::map<std::string, Micros> lease_ends_;         // by job: when its last lease has certainly expired
  std::map<std::string, Micros> grant_proposed_at_;  // by job, until the grant is committed
  // By router: when it last failed to claim a grant or to renew a lease.
  std::map<std::string, Micros> unresponsive_since_;
  Micros next_timer_ = core::kNever;
};

}  // namespace flintglade::coordination
