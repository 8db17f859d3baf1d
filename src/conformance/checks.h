// Conformance checks for any server of the KServe v2 protocol over gRPC. Each check names the clause of the
// specification that it tests. The calls block, so they run in a command of their own, never on the router's
// event loop.
#pragma once

#include <grpcpp/channel.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flintglade::conformance {

struct Target {
  std::shared_ptr<grpc::Channel> channel;
  std::string model;                                          // empty: checks that need a model are skipped
  double timeout_s = 5.0;                                     // deadline of each call
  std::vector<std::pair<std::string, std::string>> metadata;  // sent with each call
};

enum class Verdict { pass, fail, skip };
struct Result {
  std::string name, clause;  // clause: the part of the specification under test
  Verdict verdict = Verdict::pass;
  std::string why;  // reason for a failure or a skip; empty when the check passed
  double seconds = 0.0;
};

// Runs every check in a fixed order; a failed check does not stop the ones after it.
std::vector<Result> run(const Target& target);

// Human-readable report: one line for each check, then the totals.
std::string table(const std::vector<Result>& results);
// Writes a JUnit XML report for CI systems. Returns an empty string, or an error when the file cannot be
// written.
std::string write_junit(const std::vector<Result>& results, const std::string& target,
                        const std::string& path);

}  // namespace flintglade::conformance
