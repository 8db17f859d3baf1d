// What the leader of the voters decides: which router gets a job, and when a lease is surely over.
//
// An owner counts its lease from the moment at which it sent its last renewal that was committed. The leader
// counts from the moment at which it saw that renewal committed, or from when it became leader, whichever is
// later, and adds a margin for clocks that run apart. So a lease ends at its owner first. Pure; one thread;
// time is handed in.
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

// A job that the operators want done.
struct JobSettings {
  std::string name;
  std::string site;  // its owner is a router of this site; empty: any
};

struct LeaseTimes {
  Micros duration = 2 * core::kSecond;
  // From the start of a leader's term until a job that never had an owner gets one: the leader knows the
  // living routers by then.
  Micros first_grant_delay = core::kSecond;
  // Clocks may run 10% apart, or stand apart by as much within one lease.
  Micros clock_margin() const { return duration / 10; }
};

class LeaseManager {
 public:
  LeaseManager(LeaseTimes times, std::vector<JobSettings> jobs) : times_(times), jobs_(std::move(jobs)) {}

  // This voter leads from now on: leases that were renewed before, at another leader, have to run out first.
  void on_leadership_acquired(Micros now);
  void on_leadership_lost() { is_leader_ = false; }
  // To be called when a renewal is proposed, and again when it is committed. It counts from the proposal on:
  // a grant behind it in the log would meet an owner whose lease has just been renewed.
  void on_renewed(Micros now, const std::string& owner, const HeldLease& held);
  // The new owner has not acted yet: until its first renewal the job can be granted to another one at once.
  void on_granted(Micros now, const std::string& job);

  // The grants to propose now. `living`: all routers that are alive or only suspected.
  std::vector<Command> decide_grants(Micros now, const LeaseStateMachine& leases,
                                     const std::vector<membership::Peer>& living);
  // When to call decide_grants() if nothing else happens.
  Micros next_timer() const { return next_timer_; }

  // The same owner at every leader, and few moves when routers come and go. Null: no router can.
  static const membership::Peer* choose_owner(const JobSettings& job,
                                              const std::vector<membership::Peer>& living,
                                              const std::set<std::string>& excluded = {});

 private:
  // Whether a job may be granted now; if not, the timer is set to when it may.
  bool may_grant(Micros now, const JobSettings& settings, const Job* job);
  Micros lease_end(const std::string& job) const;
  const membership::Peer* next_owner(Micros now, const JobSettings& settings, const Job* job,
                                     const std::vector<membership::Peer>& living) const;
  std::set<std::string> unresponsive_routers(Micros now) const;

  LeaseTimes times_;
  std::vector<JobSettings> jobs_;
  bool is_leader_ = false;
  Micros leader_since_ = 0;
  std::map<std::string, Micros> lease_ends_;         // by job: when its last lease is surely over
  std::map<std::string, Micros> grant_proposed_at_;  // by job, until the grant is committed
  // By router: when it last left a grant unclaimed or a lease unrenewed.
  std::map<std::string, Micros> unresponsive_since_;
  Micros next_timer_ = core::kNever;
};

}  // namespace flintglade::coordination
