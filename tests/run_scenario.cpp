// Runs one scenario file: run_scenario PROGRAM http|kserve FILE
#include <cstdio>
#include <fstream>
#include <iterator>

#include "scenario.h"

int main(int argc, char** argv) {
  if (argc != 4) return 2;
  using flintglade::tests::Protocol;
  std::ifstream file(argv[3]);
  const std::string text(std::istreambuf_iterator<char>(file), {});
  if (text.empty()) return 2;
  const Protocol protocol = argv[2] == std::string("kserve") ? Protocol::kserve : Protocol::http;
  const std::string error = flintglade::tests::run_scenario(text, protocol, argv[1]);
  if (!error.empty()) std::fprintf(stderr, "FAILED %s over %s, %s\n", argv[3], argv[2], error.c_str());
  return error.empty() ? 0 : 1;
}
