// The owner's side of its jobs: what it holds, until when that is proved, when to renew. Pure; times are of a
// clock that also runs while the machine sleeps.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/lease_manager.h"

namespace flintglade::coordination {

class LeaseHolder {
 public:
  struct Change {
    std::string job;
    std::uint64_t number = 0;
    bool starts = false;  // else it stops
    std::string why;
  };

  LeaseHolder(LeaseTimes times, std::string name) : times_(times), name_(std::move(name)) {}

  // What the record says now. Jobs that are another's, or of an earlier life of this router, are given up.
  void record(const LeaseTable& table, std::uint64_t birth);
  // To be sent now, or nothing. A renewal that is not answered is sent again, and counts from its own
  // sending.
  std::optional<Renew> renewal(Micros now);
  // The renewal that was sent at that moment is committed, and these are still this router's.
  void renewed(Micros sent, const std::vector<HeldLease>& held);
  // Releases to be sent now: of jobs that an operator wants elsewhere, or all at the end.
  std::vector<Release> releases(Micros now);
  void give_up_all() { leaving_ = true; }

  // Whether an effect may be written at this very moment: the lease is proved, less the margin.
  bool proved(Micros now, const std::string& job) const;
  std::vector<HeldLease> held(Micros now) const;  // all that are proved
  std::vector<Change> changes(Micros now);  // jobs that start or stop; call it at next() and after each word
  Micros next() const;

 private:
  struct Mine {
    std::uint64_t number = 0;
    Micros until = 0;  // proved, of the last committed renewal; the margin is off already
    bool runs = false, unwanted = false;
    Micros released = -1;  // when the release was sent last
  };
  LeaseTimes times_;
  std::string name_;
  std::uint64_t birth_ = 0;
  std::map<std::string, Mine> mine_;
  std::vector<Change> stopped_;
  Micros next_renewal_ = 0;
  bool leaving_ = false;
};

}  // namespace flintglade::coordination
