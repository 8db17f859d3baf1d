// What the platform tells a router: the environment and config.json, checked here and nowhere else.
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
// Numeric addresses only: there is no DNS on the platform. False: not of the form.
bool parse_host_port(std::string_view text, HostPort& out);
// The other way: ADDRESS:PORT, with brackets round an IPv6 address.
std::string host_port(const std::string& host, int port);

struct Config {
  std::string name = "router";
  HostPort listen;
  HostPort discovery;
  HostPort admin;       // where operators call; without a host, nowhere
  int accept_fd = -1;   // the clients' listening socket, inherited; -1: there is none, bind to listen
  std::string scratch;  // TMPDIR; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;
  std::size_t sockets = 1024;
  std::string known;  // the last known list, as JSON in discovery's form; empty: none
  policy::Settings module;
  std::vector<std::string> classes, tenants, zones, kinds;
  core::Micros drain_grace = 2 * core::kSecond;
  core::Micros answer_grace = 20 * core::kMilli;
  core::Micros dial_timeout = 150 * core::kMilli;
  core::Micros conn_idle = 5 * core::kSecond;
  std::string
      fixed;  // what takes effect at a start only, as text: to tell whether a reload changes any of it
};

// Reads GW_CONFIG and what GW_NAME, GW_LISTEN and GW_DISCOVERY override. Gives an empty string, or one plain
// line that says what is wrong.
std::string load(Config& out);
// The same for a reload. The file's discovery prevails over GW_DISCOVERY then: the environment is as old as
// the process and would hold the router to an address that has been given up.
std::string reload(Config& out);
// The same from the text of config.json alone.
std::string parse(std::string_view json, Config& out);

// Nested JSON to the path=value lines that boot_info reads; in error, says which setting has no such form.
std::string flatten(std::string_view json, std::string& error);

}  // namespace flintglade::config
