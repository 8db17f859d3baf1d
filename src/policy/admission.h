// Admission: what part of the requests is admitted while answers come late, and which are rejected first.
//
// The admitted share falls with each late answer and rises with each timely one (AIMD), so that it settles
// where a fifth of the admitted are late. Requests over their tenant's quota are rejected first; then classes
// of less priority weight for their work are thinned more. Within a class neither a request's size nor its
// session counts. Not thread-safe; times are seconds.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class Admission {
 public:
  // learned: where the admitted share and the recent answers are kept; it and the settings outlive this.
  // load_window: seconds over which load counts; of answers, the more recent part does.
  Admission(const Settings& settings, LearnedState& learned, double load_window_s);

  // Whether this new request is rejected. random: its own number in [0, 1).
  bool rejects(const Request& request, double random);
  // A request was answered, in time or late (or never).
  void on_answer(double now, const Request& request, bool late);
  // How far one answer moves the admitted share: further for a router that sees few.
  double step(double now) const;
  // Whether few recent answers are late.
  bool in_time(double now) const;

 private:
  const Settings& settings_;
  LearnedState& learned_;
  double window_s_;
};

}  // namespace flintglade::policy
