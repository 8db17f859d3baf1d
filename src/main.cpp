// The command line. Without a subcommand the program serves, which is how the platform starts it.
#include <CLI/CLI.hpp>
#include <csignal>

#include "commands/commands.h"
#include "log/log.h"

int main(int argc, char** argv) {
  using namespace flintglade;
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("flintglade: a router for a shared language model. Without a command it serves.",
               "flintglade");
  app.require_subcommand(0, 1);
  app.fallthrough();
  std::string log_format = "text", log_level = "info";
  app.add_option("--log-format", log_format, "text (key=value) or json")
      ->check(CLI::IsMember({"text", "json"}));
  app.add_option("--log-level", log_level, "debug, info, warn or error")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));

  commands::ServeOptions serve_options;
  CLI::App* serve = app.add_subcommand("serve", "Serve, as GW_CONFIG and the operator's file say");
  serve->add_option("--operator", serve_options.operator_file,
                    "the operator's file, in protobuf text format");
  auto* replay =
      serve->add_option("--replay", serve_options.replay, "take the requests of this savefile, then stop");
  serve->add_option("--record", serve_options.record, "write each exchange of --replay to this savefile")
      ->needs(replay);

  std::string operator_file;
  CLI::App* check = app.add_subcommand("check", "Check an operator's file and print what it would do");
  check->add_option("FILE", operator_file, "the operator's file")->required();

  double wait_s = 5.0;
  CLI::App* resolve =
      app.add_subcommand("resolve", "Ask the sources of an operator's file once; print the merged set");
  resolve->add_option("FILE", operator_file, "the operator's file")->required();
  resolve->add_option("--wait", wait_s, "seconds to wait for the sources")->check(CLI::Range(0.1, 600.0));

  commands::ConformanceOptions conformance_options;
  CLI::App* conformance =
      app.add_subcommand("conformance", "Check any server of KServe v2 over gRPC against the protocol");
  conformance->add_option("HOST:PORT", conformance_options.target, "a numeric address")->required();
  conformance->add_option("--model", conformance_options.model,
                          "a model that it serves; without one, much is skipped");
  conformance->add_option("--timeout", conformance_options.timeout_s, "seconds for each call")
      ->check(CLI::Range(0.1, 600.0));
  conformance->add_option("--metadata", conformance_options.metadata, "NAME=VALUE, sent with each call");
  auto* tls_roots = conformance->add_option("--tls", conformance_options.keys.roots,
                                            "speak TLS; a PEM file of whose word is taken");
  auto* certificate =
      conformance->add_option("--cert", conformance_options.keys.certificate, "our certificate, PEM")
          ->needs(tls_roots);
  conformance->add_option("--key", conformance_options.keys.key, "its key, PEM")->needs(certificate);
  conformance->add_option("--server-name", conformance_options.server_name, "which its certificate must have")
      ->needs(tls_roots);
  conformance->add_option("--junit", conformance_options.junit,
                          "write the results to this file, as JUnit's XML");

  commands::FleetOptions fleet_options;
  CLI::App* fleet = app.add_subcommand("fleet", "Routers that know one another, and who owns which job");
  fleet->require_subcommand(1);
  const auto add_query_command = [&](const char* name, const char* description) {
    CLI::App* command = fleet->add_subcommand(name, description);
    command->add_option("ADDRESS", fleet_options.at, "where a router of the fleet listens")->required();
    command->add_flag("--json", fleet_options.json, "print all that it says, as JSON");
    return command;
  };
  CLI::App* fleet_status = add_query_command("status", "Show what this router knows of its fleet");
  CLI::App* fleet_jobs = add_query_command("jobs", "Show the jobs and their owners");
  CLI::App* fleet_voters = add_query_command("voters", "Show the voters, or change them, one at a time");
  auto* add_voter = fleet_voters->add_option("--add", fleet_options.add,
                                             "ID=ADDRESS:PORT of one that starts with an empty record");
  fleet_voters->add_option("--remove", fleet_options.remove, "a voter's id")->excludes(add_voter);
  CLI::App* fleet_move = fleet->add_subcommand("move", "Have a job done elsewhere");
  fleet_move->add_option("JOB", fleet_options.job, "its name")->required();
  fleet_move->add_option("ROUTER", fleet_options.router, "who is to own it")->required();
  fleet_move->add_option("--at", fleet_options.at, "where a router of the fleet listens")->required();
  CLI::App* fleet_init =
      fleet->add_subcommand("init", "Make a voter's directory, once, before its first start");
  fleet_init->add_option("FILE", fleet_options.file, "the operator's file")->required();
  fleet_init->add_option("--router", fleet_options.router, "this router's name")->required();
  fleet_init->add_flag("--join", fleet_options.join,
                       "the fleet has a record already: this voter is to be added to it");

  CLI::App* shared = app.add_subcommand("shared", "What the routers of a fleet share");
  shared->require_subcommand(1);
  CLI::App* shared_show =
      shared->add_subcommand("show", "Show budgets, counts and judgements as a router of the fleet has them");
  shared_show->add_option("ADDRESS", fleet_options.at, "where a router of the fleet listens")->required();
  shared_show->add_flag("--json", fleet_options.json, "print all that it says, as JSON");

  std::vector<std::string> logs;
  CLI::App* fleet_audit =
      fleet->add_subcommand("audit", "Check the rules of jobs on the logs of a fleet's routers");
  fleet_audit->add_option("LOG", logs, "the log of a router; all of them together")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? 0 : 2;  // --help also throws, with exit status 0
  }
  log::configure(log_format, log_level);
  int status = 0;
  if (check->parsed()) {
    status = commands::check(operator_file);
  } else if (fleet_status->parsed()) {
    status = commands::fleet_status(fleet_options);
  } else if (fleet_jobs->parsed()) {
    status = commands::fleet_jobs(fleet_options);
  } else if (fleet_voters->parsed()) {
    status = commands::fleet_voters(fleet_options);
  } else if (fleet_move->parsed()) {
    status = commands::fleet_move(fleet_options);
  } else if (fleet_init->parsed()) {
    status = commands::fleet_init(fleet_options);
  } else if (fleet_audit->parsed()) {
    status = commands::fleet_audit(logs);
  } else if (shared_show->parsed()) {
    status = commands::shared_show(fleet_options);
  } else if (conformance->parsed()) {
    status = commands::conformance(conformance_options);
  } else if (resolve->parsed()) {
    status = commands::resolve(operator_file, wait_s);
  } else {
    status = commands::serve(serve_options);
  }
  log::flush();
  return status;
}
