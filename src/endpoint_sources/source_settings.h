// The operator's file to what resolver and membership take.
#pragma once

#include <string>
#include <vector>

#include "dns/resolver.h"
#include "endpoint_sources/endpoint_merger.h"
#include "operator.pb.h"

namespace flintglade::endpoint_sources {

inline constexpr int kSlots = 4096;

dns::ResolverSettings resolver_settings(const deploy::Resolver& file);
Settings rule(const deploy::Rule& file);
// zones and kinds: as the platform's settings name them. wrong: one plain line, if a source names another.
std::vector<SourceSpec> sources(const deploy::Membership& file, const std::vector<std::string>& zones,
                                const std::vector<std::string>& kinds, std::string& wrong);

// A DNS answer, flattened to addresses.
DnsFacts facts(const dns::SrvAnswer& answer);
// host:port as every source writes it; as it stands where it is no numeric address.
std::string canonical_address(const std::string& address);

}  // namespace flintglade::endpoint_sources
