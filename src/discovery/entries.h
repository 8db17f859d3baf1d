// Discovery's JSON to the core's list news, checked here.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/ports.h"

namespace flintglade::discovery {

struct Names {  // what the settings call zones and kinds of machine; a replica has their position
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// A replica's id is made of its uid alone, so that it is the same on every router and after a restart.
core::ReplicaId replica_id(std::string_view uid);

// More entries than this are no list of a fleet but something else, and would cost the router its memory.
inline constexpr std::size_t kMostEntries = 4096;

// False: not a list in discovery's form. Entries without a uid, a usable address or a known state are left
// out; those that have a uid at least are named in out.unreadable. Start times are Unix time as told:
// BootClock makes them the router's.
bool parse_list(std::string_view json, const Names& names, core::EndpointListUpdate& out);

}  // namespace flintglade::discovery
