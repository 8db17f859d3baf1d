// The platform's settings of a router: the environment and config.json. This is the only place that checks
// them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "core/ports.h"
#include "flintglade/policy/balancer.h"

namespace flintglade::config {

struct HostPort {
  std::string host;
  std::uint16_t port = 0;
};
// Parses ADDRESS:PORT. Addresses are numeric, as the platform has no DNS. Returns false if the format is
// wrong; whether the host is a valid address is not checked.
bool parse_host_port(std::string_view text, HostPort& out);
// Formats ADDRESS:PORT, with brackets around an IPv6 address.
std::string host_port(const std::string& host, int port);

struct Config {
  std::string name = "router";
  HostPort listen;
  HostPort discovery;
  HostPort admin;       // the admin interface for operators; no host: disabled
  int accept_fd = -1;   // inherited listening socket for clients; -1: none, bind `listen` instead
  std::string scratch;  // TMPDIR; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::string known;  // the cached endpoint list, as JSON in discovery's format; empty: none
  policy::Settings module;
  std::vector<std::string> classes, tenants, zones, kinds;
  core::Micros drain_grace = 2 * core::kSecond;
  core::Micros answer_grace = 20 * core::kMilli;
  core::Micros dial_timeout = 150 * core::kMilli;
  core::Micros conn_idle = 5 * core::kSecond;
  std::string fixed;  // the settings that take effect only at a start, as text, to detect whether a reload
                      // changes them
};

// Reads the file that GW_CONFIG names and applies the overrides GW_NAME, GW_LISTEN and GW_DISCOVERY;
// GW_ADMIN_ADDR is used if the file has no admin address. Returns an empty string, or an error message of one
// line.
std::string load(Config& out);
// The same for a reload, except that the file's discovery address takes precedence over GW_DISCOVERY: the
// environment is as old as the process, and may have an address that is no longer in use.
std::string reload(Config& out);
// The same from the text of config.json alone.
std::string parse(std::string_view json, Config& out);

// Flattens nested JSON to the path=value lines that parse_boot_info() reads. Sets error if the text is not a
// JSON object.
std::string flatten(std::string_view json, std::string& error);

}  // namespace flintglade::config
