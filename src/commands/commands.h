// One file a sub-command. Each gives the exit status of the process.
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
  tls::Files keys;                    // roots set: speaks TLS
  std::vector<std::string> metadata;  // NAME=VALUE
  double timeout_s = 5.0;
};
int conformance(const ConformanceOptions& options);
int check(const std::string& operator_file);
// Of a fleet (docs/fleet.md). at: where any of its routers listens.
struct FleetOptions {
  std::string at, job, router, file;
  std::string add;           // ID=ADDRESS:PORT
  std::uint64_t remove = 0;  // a voter's id
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

// One plain line on standard error, whatever the log's format; the exit status of a start that failed.
int diagnose(const std::string& text);

}  // namespace flintglade::commands
