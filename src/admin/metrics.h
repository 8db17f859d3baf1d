// The metrics of one process in Prometheus' text format, as operators fetch them.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "core/counters.h"

namespace flintglade::admin {

struct Metrics {
  const core::Counters* counters = nullptr;  // not owned; must be valid during render()
  std::vector<std::string> classes;          // names, in the order of the counters' answers
  std::size_t active = 0;                    // requests in progress
  std::size_t pool_size = 0;                 // replicas in the endpoint list
  std::size_t pool_ejected = 0;              // of these, the ones that are currently ejected
};

// Counters start at 0 with the process; gauges show the current state.
std::string render(const Metrics& metrics);

}  // namespace flintglade::admin
