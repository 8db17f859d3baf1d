// A request that the decision module has in hand, and its attempts. Times are seconds.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy {

// One attempt: a request forwarded to one replica.
struct Attempt {
  int replica_index = 0;  // in the ReplicaTable
  double sent_at = 0.0;
  bool in_flight = true;
  bool has_first_event = false;
  double first_event_latency = 0.0;
  bool may_have_run = true;  // only counts once it is no longer in flight
  bool faulty = false;       // failed for another reason than load
};

// A request from its arrival until it is answered and none of its attempts is in flight.
struct Request {
  NewRequest received;  // with deadline and token counts drawn into their ranges
  std::size_t class_index = 0;
  double arrived_at = 0.0;
  double latency_objective = 0.0;  // seconds, for this prompt
  double work = 1.0;               // in units of this router's mean request
  std::uint64_t key = 0;           // the placement key: a hash of the prefix or the session
  bool keyed_by_prefix = false;
  int first_choice = 0;  // which of a hot prefix's replicas comes first
  bool over = false;     // answered or given up by its client; kept while attempts are in flight
  bool streaming = false;
  bool over_quota = false;
  std::vector<Attempt> attempts;
};

inline bool any_in_flight(const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

// The class of a request. The settings have at least one class (within_bounds).
inline const ClassSettings& class_of(const Request& request, const Settings& settings) {
  return settings.classes[request.class_index];
}

// When an answer no longer earns anything: the deadline, or the objective where late answers are worthless.
inline double worthless_after(const Request& request, const ClassSettings& request_class) {
  return request_class.late_value > 0.0
             ? request.received.deadline
             : std::min(request.received.deadline, request.arrived_at + request.latency_objective);
}

}  // namespace flintglade::policy
