#include "endpoint_sources/source_settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>

#include "config/labels.h"

namespace flintglade::endpoint_sources {
namespace {

Micros to_micros(double seconds) { return static_cast<Micros>(seconds * 1e6); }

std::uint32_t index_of(const std::vector<std::string>& names, const std::string& name,
                       const std::string& setting, std::string& error) {
  if (name.empty()) return 0;
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end() && error.empty())
    error = setting + ": \"" + name + "\" is not in the platform's settings";
  return static_cast<std::uint32_t>(it - names.begin());
}

}  // namespace

dns::ResolverSettings resolver_settings(const deploy::Resolver& file) {
  dns::ResolverSettings out;
  for (const std::string& server : file.servers()) {
    config::HostPort address;
    if (config::parse_host_port(server, address)) out.servers.push_back(address);
  }
  if (file.has_timeout_s()) out.timeout = to_micros(file.timeout_s());
  if (file.has_tries()) out.tries = file.tries();
  if (file.has_outstanding()) out.outstanding = file.outstanding();
  if (file.has_message_bytes()) out.message_bytes = file.message_bytes();
  if (file.has_records()) out.records = file.records();
  if (file.has_cname_chain()) out.cname_chain = file.cname_chain();
  if (file.has_least_ttl_s()) out.least_ttl = to_micros(file.least_ttl_s());
  if (file.has_most_ttl_s()) out.most_ttl = to_micros(file.most_ttl_s());
  out.least_ttl = std::min(out.least_ttl, out.most_ttl);
  if (file.has_negative_ttl_s()) out.negative_ttl = to_micros(file.negative_ttl_s());
  if (file.has_stale_s()) out.stale = to_micros(file.stale_s());
  if (file.has_cache_entries()) out.cache_entries = file.cache_entries();
  return out;
}

Settings merge_settings(const deploy::Rule& file) {
  Settings out;
  if (file.has_guard_part()) out.max_removed_fraction = file.guard_part();
  if (file.has_guard_s()) out.confirm_delay = to_micros(file.guard_s());
  if (file.has_return_s()) out.return_delay = to_micros(file.return_s());
  if (file.has_source_stale_s()) out.source_stale = to_micros(file.source_stale_s());
  if (file.has_spill_below()) out.spill_below = file.spill_below();
  if (file.has_spill_end()) out.spill_end = file.spill_end();
  if (file.has_spill_hold_s()) out.spill_hold = to_micros(file.spill_hold_s());
  return out;
}

std::vector<SourceSpec> sources(const deploy::Membership& file, const std::vector<std::string>& zones,
                                const std::vector<std::string>& kinds, std::string& error) {
  std::vector<SourceSpec> out;
  for (int i = 0; i < file.sources_size(); ++i) {
    const deploy::Source& source = file.sources(i);
    SourceSpec spec;
    spec.name = source.name();
    spec.list = source.has_list();
    if (source.has_dns_srv()) {
      const std::string path = "membership.sources[" + std::to_string(i) + "].dns_srv.";
      spec.dns_name = dns::canonical(source.dns_srv().name());
      spec.zone = index_of(zones, source.dns_srv().zone(), path + "zone", error);
      spec.kind = index_of(kinds, source.dns_srv().kind(), path + "kind", error);
      spec.cell = source.dns_srv().cell();
      spec.zero_weight_drains = source.dns_srv().zero_weight() == deploy::DnsSrv::DRAINING;
    }
    out.push_back(std::move(spec));
  }
  return out;
}

ResolvedAddresses resolved_addresses(const dns::SrvAnswer& answer) {
  ResolvedAddresses out;
  std::string contents = answer.why;  // hashed to the fingerprint
  for (const dns::Target& target : answer.targets) {
    if (target.unresolved) out.unresolved.push_back(target.host);
    contents += "\n" + target.host + (target.unresolved ? " ? " : " ") + std::to_string(target.priority) +
                " " + std::to_string(target.weight);
    for (const std::string& text : target.addresses) {
      boost::system::error_code ec;
      const auto address = boost::asio::ip::make_address(text, ec);
      if (!ec)
        out.addresses.push_back({config::host_port(address.to_string(), target.port), target.host,
                                 target.priority, target.weight});
      if (!ec) contents += " " + out.addresses.back().address;
    }
  }
  out.fingerprint = config::hash_name(contents) | 1;
  return out;
}

std::string canonical_address(const std::string& text) {
  config::HostPort host_port;
  if (!config::parse_host_port(text, host_port)) return text;
  boost::system::error_code ec;
  const auto address = boost::asio::ip::make_address(host_port.host, ec);
  return ec ? text : config::host_port(address.to_string(), host_port.port);
}

}  // namespace flintglade::endpoint_sources
