// What the leader of the voters decides: who gets a job, and when a lease is surely over. Pure.
//
// An owner counts its lease from the moment at which it sent its last renewal that was committed; the leader
// counts from when it saw that renewal committed, or from when it became leader, if that is later, and adds a
// margin for clocks that run apart. So a lease ends at its owner first.
#pragma once

#include <map>
#include <set>
#include <string>
#include <vector>

#include "coordination/lease_state_machine.h"
#include "core/ports.h"
#include "membership/swim.h"

namespace flintglade::coordination {

using core::Micros;

struct Wanted {  // a job that the operators want done
  std::string name;
  std::string site;  // its owner is a router of this site; empty: any
};

struct LeaseTimes {
  Micros lease = 2 * core::kSecond;
  Micros settle = core::kSecond;  // after a leader's start, before a job that never had an owner gets one
  Micros margin() const {
    return lease / 10;
  }  // clocks may run 10% apart, or stand apart by as much in one lease
};

class LeaseManager {
 public:
  LeaseManager(LeaseTimes times, std::vector<Wanted> wanted) : times_(times), wanted_(std::move(wanted)) {}

  void leads(Micros now);  // from now on; whatever was renewed before has to run out first
  void follows() { leading_ = false; }
  // A renewal goes into the log, and again: it is committed. From the first on it counts: a grant that came
  // behind it in the log would find an owner whose lease has just been proved.
  void renewed(Micros now, const std::string& owner, const HeldLease& held);
  // Nobody has proved the new number yet: until its first renewal is in the log, it can be given to another
  // one at once.
  void granted(Micros now, const std::string& job);
  // What to put into the log now. living: all routers that are alive, or only suspected.
  std::vector<Command> decide(Micros now, const LeaseStateMachine& jobs,
                              const std::vector<membership::Peer>& living);
  Micros next() const { return next_; }  // when to ask again, if nothing else happens
  const std::vector<Wanted>& wanted() const { return wanted_; }

  // The same owner at every leader, and few moves when routers come and go. Empty: nobody can.
  static const membership::Peer* choose(const Wanted& job, const std::vector<membership::Peer>& living,
                                        const std::set<std::string>& but_not = {});

 private:
  LeaseTimes times_;
  std::vector<Wanted> wanted_;
  bool leading_ = false;
  Micros since_ = 0;
  std::map<std::string, Micros> over_;    // when the lease of a job's last number is over
  std::map<std::string, Micros> asked_;   // a grant is on its way since
  std::map<std::string, Micros> silent_;  // routers that let a grant lie or a lease run out, and when
  Micros next_ = core::kNever;
};

}  // namespace flintglade::coordination
