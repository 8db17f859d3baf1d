// What became of each request of a soak run, and the protocol's rules by which it is judged.
//
// Clients and replicas report what they see; violations() compares the two sides. No I/O; thread-safe. Times
// are microseconds since the start of the run.
#pragma once

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "core/time.h"

namespace flintglade::tests::soak {

using core::Micros;

// What a replica does with an attempt.
enum class AttemptPlan {
  complete,   // all events and the end of the stream
  error,      // status 500
  never_ran,  // status 503 with X-Never-Ran
  broken,     // some events, then the end of the connection
  reset,      // the end of the connection before any event
  hang,       // nothing
};

struct Attempt {
  std::uint32_t serial = 0;  // in every event of its response
  AttemptPlan plan = AttemptPlan::complete;
  Micros received_at = 0;  // the request's last byte
};

// How a request ended for its client.
enum class RequestEnd {
  pending,
  served,      // a complete response
  refused,     // status 429 or 503
  failed,      // any other status
  broken,      // the connection ended within the response
  unanswered,  // the connection ended before the response
  timed_out,   // neither a response nor the end of the connection long after the deadline
  left,        // the client closed the connection
};
constexpr std::size_t kRequestEnds = 8;

struct Request {
  std::size_t router = 0;
  bool may_run_twice = true;
  Micros deadline = 0;    // from its last byte
  Micros written_at = 0;  // its last byte
  Micros ended_at = 0;
  RequestEnd end = RequestEnd::pending;
  int status = 0;
  std::uint32_t served_attempt = 0;  // the serial in the events of a served response
  std::string fault;                 // what was wrong with the bytes of the response; empty: nothing
  std::vector<Attempt> attempts;
};

// The shutdown of one router process.
struct Shutdown {
  std::size_t router = 0;
  Micros terminated_at = 0;  // the first SIGTERM
  Micros killed_at = 0;      // SIGKILL; 0: the process ended by itself
};

class RequestHistory {
 public:
  void on_request(const std::string& id, const Request& request);
  void on_written(const std::string& id, Micros now);
  // `request` has the end, the status, the served attempt and the fault.
  void on_end(const std::string& id, const Request& ended, Micros now);
  // Returns the attempt's serial. A request that no client has sent is a violation.
  std::uint32_t on_attempt(const std::string& id, AttemptPlan plan, Micros now);
  void on_shutdown(const Shutdown& shutdown);
  // A rule that concerns no single request.
  void add_violation(Micros now, const std::string& text);

  // One line for each violated rule.
  std::vector<std::string> violations() const;
  std::size_t attempts() const;
  std::size_t shutdowns() const;
  // The number of shutdowns that ended with SIGKILL.
  std::size_t kills() const;
  // The number of requests by their end.
  std::vector<std::size_t> ends() const;

 private:
  // All require the lock. Each returns the violated rule, or an empty string.
  std::string judge(const Request& request) const;
  std::string judge_end(const Request& request) const;
  std::string judge_attempts(const Request& request) const;
  // The shutdown whose SIGKILL ended this request; null: none.
  const Shutdown* find_kill(const Request& request) const;

  mutable std::mutex mutex_;
  std::map<std::string, Request> requests_;
  std::vector<Shutdown> shutdowns_;
  std::vector<std::string> other_violations_;
  std::uint32_t attempts_ = 0;
};

}  // namespace flintglade::tests::soak
