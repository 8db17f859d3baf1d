// Converts the operator's file, and the answers of DNS, to the types of the DNS resolver and EndpointMerger.
#pragma once

#include <string>
#include <vector>

#include "dns/resolver.h"
#include "endpoint_sources/endpoint_merger.h"
#include "operator.pb.h"

namespace flintglade::endpoint_sources {

// Size of the slot table where endpoint sources are used and the operator's file sets none.
inline constexpr int kSlots = 4096;

dns::ResolverSettings resolver_settings(const deploy::Resolver& file);
Settings merge_settings(const deploy::Rule& file);
// zones and kinds: the names in the platform's settings. error: set if a source has a zone or kind that is
// not among them.
std::vector<SourceSpec> sources(const deploy::Membership& file, const std::vector<std::string>& zones,
                                const std::vector<std::string>& kinds, std::string& error);

// Flattens a DNS answer to addresses.
ResolvedAddresses resolved_addresses(const dns::SrvAnswer& answer);
// Returns host:port in canonical form, so that sources can be compared; text that is not a numeric address is
// returned unchanged.
std::string canonical_address(const std::string& text);

}  // namespace flintglade::endpoint_sources
