// Updates on members that are still to be spread, each piggybacked on a bounded number of packets (SWIM,
// section 4.1).
//
// Pure: no clock, no I/O. Of one member only the newest update is kept.
#pragma once

#include <cstddef>
#include <map>
#include <string>

#include "coordination.pb.h"

namespace flintglade::membership {

class GossipBuffer {
 public:
  // Spreads this update from now on, in place of an older one on the same member.
  void add(const coordination::MemberState& update) { entries_[update.name()] = {update, 0}; }
  void remove(const std::string& name) { entries_.erase(name); }
  bool contains(const std::string& name) const { return entries_.contains(name); }

  // Appends as many updates as fit into `max_bytes` of the packet. Updates that were sent least come first;
  // the one on `first`, if there is one, comes before all others. An update that was sent `max_transmissions`
  // times is dropped.
  void append_to(coordination::Packet& packet, std::size_t max_bytes, int max_transmissions,
                 const std::string& first);

 private:
  struct Entry {
    coordination::MemberState update;
    int transmissions = 0;
  };
  std::map<std::string, Entry> entries_;  // by the member's name
};

// Appends this one update if it takes at most `remaining_bytes`, and takes its size off them. False: no room.
bool append_update(coordination::Packet& packet, const coordination::MemberState& update,
                   std::size_t& remaining_bytes);

}  // namespace flintglade::membership
