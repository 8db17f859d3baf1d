// What the router took in, sent and answered since it started.
#pragma once

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

namespace flintglade::core {

// Names of call attempts' outcomes, by policy::Outcome.
inline constexpr std::array<const char*, 8> kOutcomes = {"error",          "ok",    "full",      "timeout",
                                                         "connect_failed", "reset", "cancelled", "moot"};

// Final answers of one class. A broken stream has failed; what its client gave up is in none of them.
struct Answers {
  std::uint64_t served = 0, refused = 0, failed = 0;
};

struct Counters {
  std::uint64_t requests = 0;          // taken in
  std::uint64_t client_retries = 0;    // of them, marked as a client's retry
  std::uint64_t requests_resumed = 0;  // of them, asking for the rest of a broken stream
  std::uint64_t requests_served = 0;
  std::uint64_t streams_broken = 0;       // streams that broke after their first event
  std::uint64_t streams_stalled = 0;      // of them, because no event came any more
  std::uint64_t requests_rejected = 0;    // refused by the module
  std::uint64_t requests_shed = 0;        // refused for lack of memory or descriptors, unseen by the module
  std::uint64_t requests_over_quota = 0;  // refused: their team's shared budget is spent
  std::uint64_t requests_failed = 0;
  std::uint64_t requests_invalid = 0;       // of them, because a replica could not use the request
  std::uint64_t requests_overdue = 0;       // answered by the core because the module had not by the deadline
  std::uint64_t clients_disconnected = 0;   // clients that went away first
  std::uint64_t attempts_held = 0;          // calls of theirs that count as their replicas' work for a while
  std::uint64_t streams_migrated_out = 0;   // answers that another process of this router went on with
  std::uint64_t streams_migrated_in = 0;    // and such that this one went on with
  std::uint64_t snapshots_restored = 0;     // times that what another process knew was taken over
  std::uint64_t attempts = 0;               // call attempts sent
  std::uint64_t attempts_written = 0;       // of them, those whose last byte was written to the replica
  std::vector<Answers> answers;             // by class, in the order of the settings
  std::uint64_t further_attempts = 0;       // of them, after the first attempt of their RPC
  std::array<std::uint64_t, 8> outcomes{};  // of call attempts, by policy::Outcome
  std::uint64_t on_endpoint_list_update = 0;
  std::uint64_t list_failures = 0;
  std::uint64_t reloads = 0;
  std::uint64_t reloads_rejected = 0;  // the file could not be used: the old configuration stayed in force
  std::uint64_t slow_clients = 0;      // times an answer was held up by a client that read too slowly
  std::uint64_t iterations = 0;
  std::uint64_t longest_iteration_us = 0;

  std::vector<std::pair<const char*, std::uint64_t>> list() const;
};

}  // namespace flintglade::core
