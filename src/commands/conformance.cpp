#include <grpcpp/create_channel.h>

#include <cstdio>
#include <ctime>

#include "commands/commands.h"
#include "config/config.h"
#include "conformance/checks.h"
#include "kserve/credentials.h"
#include "tls/material.h"

namespace flintglade::commands {

int conformance(const ConformanceOptions& options) {
  config::HostPort address;
  if (!config::parse_host_port(options.target, address))
    return diagnose(options.target + ": not of the form ADDRESS:PORT");
  kserve::redirect_grpc_log();
  conformance::Target target;
  target.model = options.model;
  target.timeout_s = options.timeout_s;
  for (const std::string& pair : options.metadata) {
    const std::size_t equals = pair.find('=');
    if (equals == 0 || equals == std::string::npos) return diagnose(pair + ": not of the form NAME=VALUE");
    target.metadata.emplace_back(pair.substr(0, equals), pair.substr(equals + 1));
  }
  tls::Material keys;
  grpc::ChannelArguments args;
  args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  if (!options.keys.roots.empty()) {
    const std::string error = tls::load(options.keys, std::time(nullptr), keys);
    if (!error.empty()) return diagnose(error);
    args.SetSslTargetNameOverride(options.server_name.empty() ? address.host : options.server_name);
  }
  target.channel = grpc::CreateCustomChannel(
      kserve::channel_target(address),
      options.keys.roots.empty() ? grpc::InsecureChannelCredentials() : kserve::channel_credentials(keys),
      args);
  const auto results = conformance::run(target);
  std::fputs(conformance::table(results).c_str(), stdout);
  if (!options.junit.empty()) {
    const std::string error = conformance::write_junit(results, options.target, options.junit);
    if (!error.empty()) return diagnose(error);
  }
  for (const auto& result : results) {
    if (result.verdict == conformance::Verdict::fail) return 1;
  }
  return 0;
}

}  // namespace flintglade::commands
