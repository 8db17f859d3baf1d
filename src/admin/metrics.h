// The figures of one process, as operators fetch them: Prometheus' text format.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/counters.h"

namespace flintglade::admin {

struct Metrics {
  const core::Counters* counters = nullptr;  // borrowed for the call
  std::vector<std::string> classes;          // names, in the order of the counters' answers
  std::size_t active = 0;                    // requests taken and not yet ended
  std::size_t pool_size = 0;                 // replicas that the list names
  std::size_t pool_ejected = 0;              // of them, those that the module now avoids
};

// Counters start at 0 with the process; gauges are of this moment.
std::string render(const Metrics& figures);

}  // namespace flintglade::admin
