// Membership updates waiting to be disseminated, each piggybacked on a bounded number of packets (SWIM,
// section 4.1).
//
// Pure: no clock, no I/O. Only the newest update about each member is kept.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "coordination.pb.h"

namespace flintglade::membership {

class GossipBuffer {
 public:
  // Starts to disseminate this update, replacing an older one about the same member.
  void add(const coordination::MemberState& update) { entries_[update.name()] = {update, 0}; }
  void remove(const std::string& name) { entries_.erase(name); }
  bool contains(const std::string& name) const { return entries_.contains(name); }

  // Appends as many updates as fit into `max_bytes`. The least transmitted updates come first; the update
  // about the member `first`, if there is one, precedes all others. An update is dropped after
  // `max_transmissions` transmissions.
  void append_to(coordination::Packet& packet, std::size_t max_bytes, int max_transmissions,
                 const std::string& first);

 private:
  struct Entry {
    coordination::MemberState update;
    int transmissions = 0;
  };
  std::map<std::string, Entry> entries_;  // by member name
};

// Appends the update if its encoded size is at most `remaining_bytes`, and subtracts that size from
// `remaining_bytes`. Returns false if it does not fit.
bool append_update(coordination::Packet& packet, const coordination::MemberState& update,
                   std::size_t& remaining_bytes);

}  // namespace flintglade::membership
