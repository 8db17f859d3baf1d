#include <algorithm>
#include <boost/property_tree/ptree.hpp>
#include <boost/property_tree/xml_parser.hpp>
#include <cstdio>
#include <fstream>

#include "conformance/checks.h"

namespace flintglade::conformance {
namespace {

std::size_t count(const std::vector<Result>& results, Verdict verdict) {
  return static_cast<std::size_t>(std::count_if(results.begin(), results.end(),
                                                [verdict](const Result& r) { return r.verdict == verdict; }));
}

std::string seconds(double s) {
  char out[32];
  std::snprintf(out, sizeof out, "%.3f", s);
  return out;
}

}  // namespace

std::string table(const std::vector<Result>& results) {
  std::size_t wide = 0;
  for (const Result& r : results) wide = std::max(wide, r.name.size());
  std::string out;
  for (const Result& r : results) {
    const char* verdict = r.verdict == Verdict::pass ? "pass" : r.verdict == Verdict::fail ? "FAIL" : "skip";
    out += std::string(verdict) + "  " + r.name + std::string(wide - r.name.size() + 2, ' ') + r.clause +
           (r.why.empty() ? "" : "  -- " + r.why) + "\n";
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
  for (const Result& r : results) {
    auto& test = suite.add("testcase", "");
    test.put("<xmlattr>.classname", r.clause);
    test.put("<xmlattr>.name", r.name);
    test.put("<xmlattr>.time", seconds(r.seconds));
    if (r.verdict == Verdict::fail) test.put("failure.<xmlattr>.message", r.why);
    if (r.verdict == Verdict::skip) test.put("skipped.<xmlattr>.message", r.why);
  }
  std::ofstream file(path);
  boost::property_tree::write_xml(file, root);
  file.flush();
  return file ? "" : path + ": cannot be written";
}

}  // namespace flintglade::conformance
