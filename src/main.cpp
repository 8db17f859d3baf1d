// The command line. Without a word it serves, which is how the platform starts it.
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
  std::string format = "text", level = "info";
  app.add_option("--log-format", format, "text (key=value) or json")->check(CLI::IsMember({"text", "json"}));
  app.add_option("--log-level", level, "debug, info, warn or error")
      ->check(CLI::IsMember({"debug", "info", "warn", "error"}));

  commands::ServeOptions serving;
  CLI::App* serve = app.add_subcommand("serve", "Serve, as GW_CONFIG and the operator's file say");
  serve->add_option("--operator", serving.operator_file, "the operator's file, in protobuf text format");
  auto* replay =
      serve->add_option("--replay", serving.replay, "take the requests of this savefile, then stop");
  serve->add_option("--record", serving.record, "write each exchange of --replay to this savefile")
      ->needs(replay);

  std::string file;
  CLI::App* check = app.add_subcommand("check", "Check an operator's file and print what it would do");
  check->add_option("FILE", file, "the operator's file")->required();

  double wait_s = 5.0;
  CLI::App* resolve =
      app.add_subcommand("resolve", "Ask the sources of an operator's file once; print the merged set");
  resolve->add_option("FILE", file, "the operator's file")->required();
  resolve->add_option("--wait", wait_s, "seconds to wait for the sources")->check(CLI::Range(0.1, 600.0));

  commands::ConformanceOptions suite;
  CLI::App* conformance =
      app.add_subcommand("conformance", "Check any server of KServe v2 over gRPC against the protocol");
  conformance->add_option("HOST:PORT", suite.target, "a numeric address")->required();
  conformance->add_option("--model", suite.model, "a model that it serves; without one, much is skipped");
  conformance->add_option("--timeout", suite.timeout_s, "seconds for each call")
      ->check(CLI::Range(0.1, 600.0));
  conformance->add_option("--metadata", suite.metadata, "NAME=VALUE, sent with each call");
  auto* ca =
      conformance->add_option("--tls", suite.keys.roots, "speak TLS; a PEM file of whose word is taken");
  auto* cert = conformance->add_option("--cert", suite.keys.certificate, "our certificate, PEM")->needs(ca);
  conformance->add_option("--key", suite.keys.key, "its key, PEM")->needs(cert);
  conformance->add_option("--server-name", suite.server_name, "which its certificate must have")->needs(ca);
  conformance->add_option("--junit", suite.junit, "write the results to this file, as JUnit's XML");

  commands::FleetOptions of_fleet;
  CLI::App* fleet = app.add_subcommand("fleet", "Routers that know one another, and who owns which job");
  fleet->require_subcommand(1);
  const auto ask = [&](const char* name, const char* what) {
    CLI::App* sub = fleet->add_subcommand(name, what);
    sub->add_option("ADDRESS", of_fleet.at, "where a router of the fleet listens")->required();
    sub->add_flag("--json", of_fleet.json, "print all that it says, as JSON");
    return sub;
  };
  CLI::App* fleet_status = ask("status", "Show what this router knows of its fleet");
  CLI::App* fleet_jobs = ask("jobs", "Show the jobs and their owners");
  CLI::App* fleet_voters = ask("voters", "Show the voters, or change them, one at a time");
  auto* add = fleet_voters->add_option("--add", of_fleet.add,
                                       "ID=ADDRESS:PORT of one that starts with an empty record");
  fleet_voters->add_option("--remove", of_fleet.remove, "a voter's id")->excludes(add);
  CLI::App* fleet_move = fleet->add_subcommand("move", "Have a job done elsewhere");
  fleet_move->add_option("JOB", of_fleet.job, "its name")->required();
  fleet_move->add_option("ROUTER", of_fleet.router, "who is to own it")->required();
  fleet_move->add_option("--at", of_fleet.at, "where a router of the fleet listens")->required();
  CLI::App* fleet_init =
      fleet->add_subcommand("init", "Make a voter's directory, once, before its first start");
  fleet_init->add_option("FILE", of_fleet.file, "the operator's file")->required();
  fleet_init->add_option("--router", of_fleet.router, "this router's name")->required();
  fleet_init->add_flag("--join", of_fleet.join,
                       "the fleet has a record already: this voter is to be added to it");

  CLI::App* shared = app.add_subcommand("shared", "What the routers of a fleet share");
  shared->require_subcommand(1);
  CLI::App* shared_show =
      shared->add_subcommand("show", "Show budgets, counts and judgements as a router of the fleet has them");
  shared_show->add_option("ADDRESS", of_fleet.at, "where a router of the fleet listens")->required();
  shared_show->add_flag("--json", of_fleet.json, "print all that it says, as JSON");

  std::vector<std::string> logs;
  CLI::App* fleet_audit =
      fleet->add_subcommand("audit", "Check the rules of jobs on the logs of a fleet's routers");
  fleet_audit->add_option("LOG", logs, "the log of a router; all of them together")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;  // --help is no error
  }
  log::configure(format, level);
  int status = 0;
  if (check->parsed()) {
    status = commands::check(file);
  } else if (fleet_status->parsed()) {
    status = commands::fleet_status(of_fleet);
  } else if (fleet_jobs->parsed()) {
    status = commands::fleet_jobs(of_fleet);
  } else if (fleet_voters->parsed()) {
    status = commands::fleet_voters(of_fleet);
  } else if (fleet_move->parsed()) {
    status = commands::fleet_move(of_fleet);
  } else if (fleet_init->parsed()) {
    status = commands::fleet_init(of_fleet);
  } else if (fleet_audit->parsed()) {
    status = commands::fleet_audit(logs);
  } else if (shared_show->parsed()) {
    status = commands::shared_show(of_fleet);
  } else if (conformance->parsed()) {
    status = commands::conformance(suite);
  } else if (resolve->parsed()) {
    status = commands::resolve(file, wait_s);
  } else {
    status = commands::serve(serving);
  }
  log::flush();
  return status;
}
