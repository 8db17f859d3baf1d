// Suspicions of members that did not answer a probe: how long each lasts before the member is declared dead.
//
// A suspicion starts with the maximum timeout, which shrinks with each further member that reports the same
// suspicion (Lifeguard, section IV-B). Pure; the caller passes in times.
#pragma once

#include <set>
#include <string>

#include "core/ports.h"

namespace flintglade::membership {

using core::Micros;

// Number of reporters beyond the first that reduces a suspicion's timeout to its minimum.
inline constexpr int kConfirmationsForMinimum = 3;

// Bounds of a suspicion's timeout, in microseconds.
struct SuspicionBounds {
  double minimum = 0.0;
  double maximum = 0.0;
};

struct Suspicion {
  std::string reported_by;          // the first member that reported the suspicion
  std::set<std::string> reporters;  // all members that reported it
  Micros ends = 0;                  // when the member is declared dead unless it refutes the suspicion
};

// Timeout of a suspicion that `reporters` members have reported.
double suspicion_length(const SuspicionBounds& bounds, std::size_t reporters);

}  // namespace flintglade::membership
