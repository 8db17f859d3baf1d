#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>

#include "commands/clock.h"
#include "commands/commands.h"
#include "config/config.h"
#include "endpoint_sources/endpoint_sources.h"
#include "operator/operator_file.h"

namespace flintglade::commands {
namespace {

using endpoint_sources::EndpointSources;

// Whether each source has answered or failed at least once.
bool all_answered_or_failed(const EndpointSources& sources) {
  const auto all = sources.merger().status(0);
  return std::all_of(all.begin(), all.end(), [](const endpoint_sources::SourceStatus& status) {
    return status.answers + status.failures > 0;
  });
}

// The remaining time to live of the DNS records for this address; "-" if no DNS source has it.
std::string ttl_left(const EndpointSources& sources, const std::vector<endpoint_sources::SourceSpec>& specs,
                     const std::string& address, core::Micros now) {
  core::Micros remaining = -1;
  for (const auto& spec : specs) {
    if (spec.list) continue;
    const dns::SrvAnswer answer = sources.resolver().answer(now, spec.dns_name);
    for (const dns::Target& target : answer.targets) {
      dns::SrvAnswer single_target;
      single_target.targets = {target};
      for (const auto& dns_address : endpoint_sources::resolved_addresses(single_target).addresses) {
        if (dns_address.address == address)
          remaining = std::max(remaining, std::min(answer.expires, target.expires) - now);
      }
    }
  }
  return remaining < 0 ? "-" : std::to_string(remaining / core::kSecond) + "s";
}

}  // namespace

int resolve(const std::string& path, double wait_s) {
  deploy::OperatorFile file;
  std::string error = operator_file::load(path, file);
  if (!error.empty()) return diagnose(error);
  if (!file.has_membership())
    return diagnose(path + ": membership is not set, so there are no sources to ask");
  // Zones and the address of the endpoint list come from the platform's file (GW_CONFIG), if it is set. DNS
  // sources alone do not need it.
  config::Config config;
  const bool has_platform_config = std::getenv("GW_CONFIG") != nullptr;
  if (has_platform_config) error = config::load(config);
  if (!error.empty()) return diagnose(error);
  std::string sources_error;
  std::vector<endpoint_sources::SourceSpec> specs =
      endpoint_sources::sources(file.membership(), config.zones, config.kinds, sources_error);
  const bool uses_platform_list =
      std::any_of(specs.begin(), specs.end(), [](const auto& spec) { return spec.list; });
  if (uses_platform_list && !has_platform_config)
    return diagnose("resolve: a source is the platform's endpoint list, but GW_CONFIG is not set");
  if (has_platform_config && !sources_error.empty()) return diagnose(path + ": " + sources_error);

  boost::asio::io_context io(1);
  MonotonicClock clock;
  discovery::Watch watch(io, clock, config.discovery, {config.zones, config.kinds},
                         discovery::BootClock(unix_to_monotonic(clock)));
  EndpointSources sources(io, clock, watch, file.membership(), specs);
  sources.set_update_handler([](core::EndpointListUpdate) {});
  sources.start(config.known);
  const auto deadline =
      std::chrono::steady_clock::now() + std::chrono::microseconds(static_cast<long>(wait_s * 1e6));
  while (!all_answered_or_failed(sources) && std::chrono::steady_clock::now() < deadline)
    io.run_one_until(deadline);

  const core::Micros now = clock.now();
  bool all_current = true;
  for (const auto& status : sources.merger().status(now)) {
    all_current = all_current && status.state == std::string_view("current");
    std::printf("source %s: %s, %zu addresses%s%s\n", status.name.c_str(), status.state, status.names,
                status.error.empty() ? "" : ", ", status.error.c_str());
  }
  std::printf("%-24s %-9s %-6s %-6s %-6s %-12s %s\n", "address", "takes", "size", "group", "ttl", "clause",
              "said");
  for (const auto& [address, merged] : sources.merger().merged_endpoints()) {
    std::string summaries;
    for (const auto& summary : sources.merger().report_summaries(address, now))
      summaries += (summaries.empty() ? "" : ", ") + summary.source + ": " + summary.what;
    const auto health = merged.endpoint.replica.health;
    std::printf("%-24s %-9s %-6.2f %-6u %-6s %d %-10s %s\n", address.c_str(),
                health == policy::Health::ready      ? "new"
                : health == policy::Health::draining ? "drains"
                                                     : "gone",
                merged.endpoint.replica.size, merged.priority, ttl_left(sources, specs, address, now).c_str(),
                static_cast<int>(merged.clause), endpoint_sources::to_string(merged.clause),
                summaries.c_str());
  }
  return all_current ? 0 : 1;
}

}  // namespace flintglade::commands
