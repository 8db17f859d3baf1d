#include <cstdio>

#include "commands/commands.h"
#include "kserve/mapping.h"
#include "operator/operator_file.h"

namespace flintglade::commands {

int diagnose(const std::string& text) {
  std::fputs(("flintglade: " + text + "\n").c_str(), stderr);
  return 1;
}

int check(const std::string& path) {
  deploy::OperatorFile file;
  const std::string error = operator_file::load(path, file);
  if (!error.empty()) return diagnose(error);
  std::fputs((path + ": can be used\n" + operator_file::describe(file)).c_str(), stdout);
  if (file.has_kserve())
    std::fputs(kserve::describe(kserve::front_settings(file.kserve()).mapping).c_str(), stdout);
  return 0;
}

}  // namespace flintglade::commands
