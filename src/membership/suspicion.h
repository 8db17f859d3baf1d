// Suspicions of members that did not answer: how long each lasts before the member is declared dead.
//
// A suspicion starts at its longest and shrinks with each further member that reports the same one
// (Lifeguard, section IV-B). Pure; times are handed in.
#pragma once

#include <set>
#include <string>

#include "core/ports.h"

namespace flintglade::membership {

using core::Micros;

// Further members after the first that shorten a suspicion to its minimum.
inline constexpr int kConfirmationsForMinimum = 3;

// The bounds of a suspicion's length, both in microseconds.
struct SuspicionBounds {
  double minimum = 0.0;
  double maximum = 0.0;
};

struct Suspicion {
  std::string reported_by;          // the member that was first to suspect
  std::set<std::string> reporters;  // all that did
  Micros ends = 0;                  // the member is dead then, unless it refutes
};

// The length of a suspicion that this many members have reported.
double suspicion_length(const SuspicionBounds& bounds, std::size_t reporters);

}  // namespace flintglade::membership
