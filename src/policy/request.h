// A request that the decision module is handling, and its attempts. Times are seconds.
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
  bool may_have_run = true;  // valid only when the attempt is no longer in flight
  bool faulty = false;       // failed for a reason other than load
};

// A request, from its arrival until it is finished and none of its attempts is in flight.
struct Request {
  NewRequest received;  // with deadline and token counts clamped
  std::size_t class_index = 0;
  double arrived_at = 0.0;
  double latency_objective = 0.0;  // seconds, for the length of this prompt
  double work = 1.0;               // in units of this router's mean request
  std::uint64_t key = 0;           // the placement key: a hash of the prefix or the session
  bool keyed_by_prefix = false;
  int first_choice = 0;   // index of the hot prefix's replica to try first
  bool finished = false;  // answered, or its client disconnected; kept while attempts are in flight
  bool streaming = false;
  bool over_quota = false;
  std::vector<Attempt> attempts;
};

inline bool any_in_flight(const Request& request) {
  return std::any_of(request.attempts.begin(), request.attempts.end(),
                     [](const Attempt& attempt) { return attempt.in_flight; });
}

// The class of a request. The settings have at least one class (clamped_settings).
inline const ClassSettings& class_of(const Request& request, const Settings& settings) {
  return settings.classes[request.class_index];
}

// The time until which an answer has any value: the deadline, or the objective if late answers have no value.
inline double useful_until(const Request& request, const ClassSettings& request_class) {
  return request_class.late_value > 0.0
             ? request.received.deadline
             : std::min(request.received.deadline, request.arrived_at + request.latency_objective);
}

}  // namespace flintglade::policy
