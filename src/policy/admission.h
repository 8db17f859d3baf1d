// Admission control: the share of requests that is admitted while answers are late, and which requests are
// rejected first.
//
// The admitted share decreases with each late answer and increases with each timely one (AIMD), so that it
// settles where a fifth of the admitted requests are late. Requests over their tenant's quota are rejected
// first; after that, classes with less priority weight per unit of work are rejected more often. Within a
// class, neither the size of a request nor its session matters. Not thread-safe; times are seconds.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/learned_state.h"
#include "policy/request.h"

namespace flintglade::policy {

class Admission {
 public:
  // learned: stores the admitted share and the recent answers. settings and learned must outlive this object.
  // load_window_s: the time window of load; a fraction of it is the window for answers.
  Admission(const Settings& settings, LearnedState& learned, double load_window_s);

  // Decides whether this new request is rejected, and adds the request to the mean work of its class and to
  // the mean value. To be called once per request. random: a number in [0, 1) drawn for this request.
  bool rejects(const Request& request, double random);
  // A request was answered in time or late. A request that was never answered counts as late.
  void on_answer(double now, const Request& request, bool late);
  // How much one answer changes the admitted share: more if this router gets few answers.
  double step(double now) const;
  // Whether only a small fraction of the recent answers is late.
  bool in_time(double now) const;

 private:
  const Settings& settings_;
  LearnedState& learned_;
  double window_s_;
};

}  // namespace flintglade::policy
