// Admission: how much of what comes is taken while answers come late, and what is rejected first.
//
// The admitted part falls with each late answer and rises with each timely one, so that it settles where a
// fifth of the admitted are late. What is beyond a tenant's share goes first; else classes that are worth
// less for their work are thinned more. Within a class neither a request's size nor its session counts.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class Admission {
 public:
  // learned: where the admitted part and the recent answers are kept; it and the settings outlive this.
  Admission(const Settings& settings, LearnedState& learned) : settings_(settings), learned_(learned) {}
  void remember_for(double span) { span_ = span; }  // seconds of recent answers

  // Whether this new request is rejected. random: 0 to 1, its own.
  bool rejects(const Request& request, std::size_t its_class, double random);
  // A request was answered, in time or late (or never).
  void answered(double now, const Request& request, const ClassSettings& its_class, bool late);
  // How far one answer moves the admitted part: further for a router that sees few.
  double step(double now) const;
  // Few recent answers are late.
  bool in_time(double now) const;

 private:
  const Settings& settings_;
  LearnedState& learned_;
  double span_ = 1.0;
};

}  // namespace flintglade::policy
