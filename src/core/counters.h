// Counters of requests, attempts and final responses since the start of the process. Used on the core's
// thread only.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace flintglade::core {

// Names of attempt outcomes, indexed by policy::Outcome.
inline constexpr std::array<const char*, 8> kOutcomes = {"error",          "ok",    "full",      "timeout",
                                                         "connect_failed", "reset", "cancelled", "moot"};

// Final responses to the requests of one class. A broken stream counts as failed; a request whose client
// disconnected first is not counted.
struct Answers {
  std::uint64_t served = 0, refused = 0, failed = 0;
};

// A counter with the name under which it is logged.
struct NamedCounter {
  const char* name;
  std::uint64_t value;
};

struct Counters {
  Counters() = default;
  explicit Counters(std::size_t classes) : answers(std::max<std::size_t>(1, classes)) {}

  // The final responses of this class; an index out of range counts as the last class.
  Answers& answers_of(std::uint32_t request_class) {
    return answers[std::min<std::size_t>(request_class, answers.size() - 1)];
  }
  // All counters except the final responses by class, in the order in which they are logged.
  std::vector<NamedCounter> list() const;

  // Requests.
  std::uint64_t requests = 0;              // received
  std::uint64_t client_retries = 0;        // of them, marked as a client's retry
  std::uint64_t requests_resumed = 0;      // of them, resuming a broken stream
  std::uint64_t requests_served = 0;       // response completed
  std::uint64_t streams_broken = 0;        // streams that broke after their first event
  std::uint64_t streams_stalled = 0;       // of them, aborted because no more events arrived
  std::uint64_t requests_rejected = 0;     // by the decision module, or too late in a drain
  std::uint64_t requests_shed = 0;         // for lack of memory or descriptors, before admission
  std::uint64_t requests_over_quota = 0;   // rejected because the tenant's shared quota is used up
  std::uint64_t requests_failed = 0;       // before their first event
  std::uint64_t requests_invalid = 0;      // of them, rejected by a replica as invalid
  std::uint64_t requests_overdue = 0;      // of them, failed by the core: no decision by the deadline
  std::uint64_t clients_disconnected = 0;  // clients that disconnected before their final response
  std::vector<Answers> answers;            // by class, in the order of the settings
  // Streams and state transferred between two processes of this router (hot restart).
  std::uint64_t streams_migrated_out = 0;
  std::uint64_t streams_migrated_in = 0;
  std::uint64_t snapshots_restored = 0;
  // Attempts.
  std::uint64_t attempts = 0;               // started
  std::uint64_t attempts_written = 0;       // of them, those whose last byte was written to the replica
  std::uint64_t further_attempts = 0;       // of them, after the first attempt of their request
  std::uint64_t attempts_held = 0;          // cancelled by clients, counted as work until the hold expired
  std::array<std::uint64_t, 8> outcomes{};  // by policy::Outcome
  // Endpoint list and configuration.
  std::uint64_t list_updates = 0;
  std::uint64_t list_failures = 0;
  std::uint64_t reloads = 0;
  std::uint64_t reloads_rejected = 0;  // invalid file: the old configuration stayed in force
  // Event loop.
  std::uint64_t slow_clients = 0;  // times a response was paused because its client read too slowly
  std::uint64_t iterations = 0;
  std::uint64_t longest_iteration_us = 0;
};

}  // namespace flintglade::core
