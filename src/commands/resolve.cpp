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

// Answered or failed, each of them.
bool all_heard(const EndpointSources& sources) {
  const auto all = sources.merger().status(0);
  return std::all_of(all.begin(), all.end(),
                     [](const endpoint_sources::SourceStatus& s) { return s.answers + s.failures > 0; });
}

std::string ttl_left(const EndpointSources& sources, const std::vector<endpoint_sources::SourceSpec>& specs,
                     const std::string& address, core::Micros now) {
  core::Micros left = -1;
  for (const auto& spec : specs) {
    if (spec.list) continue;
    const dns::SrvAnswer answer = sources.resolver().answer(now, spec.dns_name);
    for (const dns::Target& target : answer.targets) {
      dns::SrvAnswer one;
      one.targets = {target};
      for (const auto& dns_address : endpoint_sources::resolved_addresses(one).addresses) {
        if (dns_address.address == address)
          left = std::max(left, std::min(answer.expires, target.expires) - now);
      }
    }
  }
  return left < 0 ? "-" : std::to_string(left / core::kSecond) + "s";
}

}  // namespace

int resolve(const std::string& path, double wait_s) {
  deploy::OperatorFile file;
  std::string error = operator_file::load(path, file);
  if (!error.empty()) return diagnose(error);
  if (!file.has_membership()) return diagnose(path + ": it names no sources");
  // Zones and the list's address come from the platform's file where there is one; DNS alone needs none.
  config::Config config;
  const bool platform = std::getenv("GW_CONFIG") != nullptr;
  if (platform) error = config::load(config);
  if (!error.empty()) return diagnose(error);
  std::string wrong;
  std::vector<endpoint_sources::SourceSpec> specs =
      endpoint_sources::sources(file.membership(), config.zones, config.kinds, wrong);
  const bool list = std::any_of(specs.begin(), specs.end(), [](const auto& s) { return s.list; });
  if (list && !platform)
    return diagnose("resolve: a source is the platform's list, and GW_CONFIG names no file");
  if (platform && !wrong.empty()) return diagnose(path + ": " + wrong);

  boost::asio::io_context io(1);
  MonotonicClock clock;
  discovery::Watch watch(io, clock, config.discovery, {config.zones, config.kinds},
                         discovery::BootClock(unix_to_monotonic(clock)));
  EndpointSources sources(io, clock, watch, file.membership(), specs);
  sources.set_update_handler([](core::EndpointListUpdate) {});
  sources.start(config.known);
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::microseconds(static_cast<long>(wait_s * 1e6));
  while (!all_heard(sources) && std::chrono::steady_clock::now() < end) io.run_one_until(end);

  const core::Micros now = clock.now();
  bool all_current = true;
  for (const auto& s : sources.merger().status(now)) {
    all_current = all_current && s.state == std::string_view("current");
    std::printf("source %s: %s, %zu addresses%s%s\n", s.name.c_str(), s.state, s.names,
                s.error.empty() ? "" : ", ", s.error.c_str());
  }
  std::printf("%-24s %-9s %-6s %-6s %-6s %-12s %s\n", "address", "takes", "size", "group", "ttl", "clause",
              "said");
  for (const auto& [address, v] : sources.merger().merged_endpoints()) {
    std::string said;
    for (const auto& s : sources.merger().report_summaries(address, now))
      said += (said.empty() ? "" : ", ") + s.source + ": " + s.what;
    const auto health = v.endpoint.replica.health;
    std::printf("%-24s %-9s %-6.2f %-6u %-6s %d %-10s %s\n", address.c_str(),
                health == policy::Health::ready      ? "new"
                : health == policy::Health::draining ? "drains"
                                                     : "gone",
                v.endpoint.replica.size, v.priority, ttl_left(sources, specs, address, now).c_str(),
                static_cast<int>(v.clause), endpoint_sources::to_string(v.clause), said.c_str());
  }
  return all_current ? 0 : 1;
}

}  // namespace flintglade::commands
