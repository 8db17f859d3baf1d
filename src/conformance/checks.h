// A table of checks against any server of the KServe v2 protocol over gRPC, each with the clause that it
// tests. Blocking; for a command of its own, not for the router's loop.
#pragma once

#include <grpcpp/channel.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace flintglade::conformance {

struct Target {
  std::shared_ptr<grpc::Channel> channel;
  std::string model;                                          // empty: what needs one is skipped
  double timeout_s = 5.0;                                     // for each call
  std::vector<std::pair<std::string, std::string>> metadata;  // with each call
};

enum class Verdict { pass, fail, skip };
struct Result {
  std::string name, clause;
  Verdict verdict = Verdict::pass;
  std::string why;  // of a failure or a skip
  double seconds = 0.0;
};

// In the table's order; a check that fails does not stop the rest.
std::vector<Result> run(const Target& target);

// For people: a line each, then the sums.
std::string table(const std::vector<Result>& results);
// JUnit's XML, as CI systems read it. Empty, or what is wrong with the file.
std::string write_junit(const std::vector<Result>& results, const std::string& target,
                        const std::string& path);

}  // namespace flintglade::conformance
