// The subcommands, one source file each. Each function returns the exit status of the process.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "tls/material.h"

namespace flintglade::commands {

struct ServeOptions {
  std::string operator_file, replay, record;
};
int serve(const ServeOptions& options);
struct ConformanceOptions {
  std::string target, model, server_name, junit;
  tls::Files keys;                    // TLS is used if the root certificates are set
  std::vector<std::string> metadata;  // NAME=VALUE pairs, sent with each call
  double timeout_s = 5.0;
};
int conformance(const ConformanceOptions& options);
int check(const std::string& operator_file);
// Options of the fleet commands (docs/fleet.md) and of shared_show().
struct FleetOptions {
  std::string at;  // ADDRESS:PORT of any router of the fleet
  std::string job, router, file;
  std::string add;           // ID=ADDRESS:PORT
  std::uint64_t remove = 0;  // id of the voter to remove; 0: none
  bool json = false, join = false;
};
int fleet_status(const FleetOptions& options);
int fleet_jobs(const FleetOptions& options);
int fleet_voters(const FleetOptions& options);
int fleet_move(const FleetOptions& options);
int fleet_init(const FleetOptions& options);
int shared_show(const FleetOptions& options);  // docs/shared.md
int fleet_audit(const std::vector<std::string>& logs);
int resolve(const std::string& operator_file, double wait_s);

// Prints the text as one plain line on standard error, whatever the log format, and returns the exit status
// for a failed start.
int diagnose(const std::string& text);

}  // namespace flintglade::commands
