#include <algorithm>
#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <cstdio>
#include <fstream>

#include "conformance/checks.h"

namespace flintglade::conformance {
namespace {

std::size_t count(const std::vector<Result>& results, Verdict verdict) {
  return static_cast<std::size_t>(std::count_if(
      results.begin(), results.end(), [verdict](const Result& result) { return result.verdict == verdict; }));
}

std::string seconds(double value) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f", value);
  return out;
}

}  // namespace

std::string table(const std::vector<Result>& results) {
  std::size_t name_width = 0;
  for (const Result& result : results) name_width = std::max(name_width, result.name.size());
  std::string out;
  for (const Result& result : results) {
    const char* verdict = result.verdict == Verdict::pass   ? "pass"
                          : result.verdict == Verdict::fail ? "FAIL"
                                                            : "skip";
    out += std::string(verdict) + "  " + result.name + std::string(name_width - result.name.size() + 2, ' ') +
           result.clause + (result.why.empty() ? "" : "  -- " + result.why) + "\n";
  }
  return out + std::to_string(count(results, Verdict::pass)) + " passed, " +
         std::to_string(count(results, Verdict::fail)) + " failed, " +
         std::to_string(count(results, Verdict::skip)) + " skipped\n";
}

std::string write_junit(const std::vector<Result>& results, const std::string& target,
                        const std::string& path) {
  boost::property_tree::ptree root;
  auto& suite = root.add("testsuite", "");
  suite.put("<xmlattr>.name", "kserve-v2 " + target);
  suite.put("<xmlattr>.tests", results.size());
  suite.put("<xmlattr>.failures", count(results, Verdict::fail));
  suite.put("<xmlattr>.skipped", count(results, Verdict::skip));
  for (const Result& result : results) {
    auto& test = suite.add("testcase", "");
    test.put("<xmlattr>.classname", result.clause);
    test.put("<xmlattr>.name", result.name);
    test.put("<xmlattr>.time", seconds(result.seconds));
    if (result.verdict == Verdict::fail) test.put("failure.<xmlattr>.message", result.why);
    if (result.verdict == Verdict::skip) test.put("skipped.<xmlattr>.message", result.why);
  }
  std::ofstream file(path);
  boost::property_tree::write_xml(file, root);
  file.flush();
  return file ? "" : path + ": cannot be written";
}

}  // namespace flintglade::conformance
