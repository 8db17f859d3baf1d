// Parses and checks discovery's JSON lists.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/ports.h"

namespace flintglade::discovery {

struct Names {  // the zones and machine kinds in the settings; a replica has their indexes
  std::vector<std::string> zones;
  std::vector<std::string> kinds;
};

// Derives a replica's id from its uid alone, so that it is the same on every router and after a restart.
core::ReplicaId replica_id(std::string_view uid);

// A list with more entries is rejected: it is not a plausible fleet and would exhaust the router's memory.
inline constexpr std::size_t kMaxEntries = 4096;

// Returns false if the JSON is not a list in discovery's format. Entries without a uid, an address or a known
// state are omitted; out.unreadable has the ids of those with a uid. Start times stay in Unix time; BootClock
// converts them.
bool parse_list(std::string_view json, const Names& names, core::EndpointListUpdate& out);

}  // namespace flintglade::discovery
