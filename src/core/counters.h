// What the router has received, attempted and answered since it started. On the core's thread only.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace flintglade::core {

// Names of attempts' outcomes, by policy::Outcome.
inline constexpr std::array<const char*, 8> kOutcomes = {"error",          "ok",    "full",      "timeout",
                                                         "connect_failed", "reset", "cancelled", "moot"};

// Final responses to the requests of one class. A broken stream has failed; a request that its client gave up
// is in none of them.
struct Answers {
  std::uint64_t served = 0, refused = 0, failed = 0;
};

// One counter as it is logged.
struct NamedCounter {
  const char* name;
  std::uint64_t value;
};

struct Counters {
  Counters() = default;
  explicit Counters(std::size_t classes) : answers(std::max<std::size_t>(1, classes)) {}

  // Those of this class, or of the last one if there is none of this index.
  Answers& answers_of(std::uint32_t request_class) {
    return answers[std::min<std::size_t>(request_class, answers.size() - 1)];
  }
  // All counters but the answers by class, in the order in which they are logged.
  std::vector<NamedCounter> list() const;

  // Requests.
  std::uint64_t requests = 0;             // received
  std::uint64_t client_retries = 0;       // of them, marked as a client's retry
  std::uint64_t requests_resumed = 0;     // of them, asking for the rest of a broken stream
  std::uint64_t requests_served = 0;      // answered in full
  std::uint64_t streams_broken = 0;       // streams that broke after their first event
  std::uint64_t streams_stalled = 0;      // of them, because no event came any more
  std::uint64_t requests_rejected = 0;    // by the decision module, or too late in a drain
  std::uint64_t requests_shed = 0;        // for lack of memory or descriptors, before the module saw them
  std::uint64_t requests_over_quota = 0;  // rejected because the tenant's shared quota is spent
  std::uint64_t requests_failed = 0;      // before their first event
  std::uint64_t requests_invalid = 0;     // of them, because a replica could not use the request
  std::uint64_t requests_overdue = 0;     // of them, failed by the core as the module had not by the deadline
  std::uint64_t clients_disconnected = 0;  // clients that went away before their final response
  std::vector<Answers> answers;            // by class, in the order of the settings
  // Streams and state that another process of this router handed over or took over.
  std::uint64_t streams_migrated_out = 0;
  std::uint64_t streams_migrated_in = 0;
  std::uint64_t snapshots_restored = 0;
  // Attempts.
  std::uint64_t attempts = 0;               // started
  std::uint64_t attempts_written = 0;       // of them, those whose last byte was written to the replica
  std::uint64_t further_attempts = 0;       // of them, after the first attempt of their request
  std::uint64_t attempts_held = 0;          // given up by clients, counted as work for a while
  std::array<std::uint64_t, 8> outcomes{};  // by policy::Outcome
  // Endpoint list and configuration.
  std::uint64_t list_updates = 0;
  std::uint64_t list_failures = 0;
  std::uint64_t reloads = 0;
  std::uint64_t reloads_rejected = 0;  // the file could not be used: the old configuration stayed in force
  // Event loop.
  std::uint64_t slow_clients = 0;  // times an answer was paused for a client that read too slowly
  std::uint64_t iterations = 0;
  std::uint64_t longest_iteration_us = 0;
};

}  // namespace flintglade::core
