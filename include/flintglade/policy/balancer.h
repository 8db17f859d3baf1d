// The interface of the decision module: the events that a router reports to it, and the actions that it asks
// the router for.
//
// One Balancer is one router. It owns no thread, socket, clock or global state: the host hands it each event
// with the time at which it happened and carries out, in order, what is written to the ActionSink during that
// call. Instances are independent; one instance is used by one thread at a time.
//
// Units: all times and durations are seconds, times on any origin; a time earlier than one seen before counts
// as that later one. Errors: nothing here throws, apart from running out of memory; settings and figures out
// of range are drawn into their range; ids of requests that are unknown or over are ignored. Lifetimes: the
// sink is borrowed for the call only, and so are string views.
//
// Order of calls: construct, on_endpoint_list with the list known at the start, then events as they come. A
// request that comes before any list is held for a part of its time, in the hope of one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace flintglade::policy {

// Chosen by the host, below 2^52; unique among the requests that are not over.
using RequestId = std::uint64_t;
// Opaque; ordered only to break ties between equal start times.
using ReplicaId = std::uint64_t;

// What a retry of a request may do.
enum class Semantics {
  idempotent,       // harmless
  idempotency_key,  // dropped by the replicas of the scope as long as they know the key
  not_idempotent,   // may have an effect twice
};

// Which replicas drop repeats of one idempotency key.
enum class IdempotencyScope { all, zone, cell };

// What the sizes in the endpoint list are worth.
enum class WeightSource {
  silent,   // the list gives none
  nominal,  // they are true
  rough,    // they understate how far machines differ
  live,     // they fall with the load of the moment
};

enum class Health : std::uint8_t { gone = 0, ready = 1, draining = 2 };

// What an endpoint list is. The numbers are those of the simulator's pipe, as in Health and Outcome.
enum class ListKind : std::uint8_t {
  delta = 0,   // changed entries only
  cached = 1,  // a whole list that may be old
  full = 2,    // a whole list
  failed = 3,  // none could be had: the last list stays in force
};

// How an attempt ended.
enum class Outcome : std::uint16_t {
  error = 0,           // the replica answered with an error
  ok = 1,              // answered
  full = 2,            // rejected by the replica; it never ran
  timeout = 3,         // given up by this router after the time that the attempt was allowed
  connect_failed = 4,  // the connection could not be made; it never ran
  reset = 5,           // the connection broke
  cancelled = 6,       // stopped by this router
  inconclusive = 7,    // not for this Balancer to judge: never sent, or its stream migrated
};

// The settings of a request class.
struct ClassSettings {
  double latency_objective = 1.0;  // seconds to the answer (to the first token, if streamed) for full value
  double hard_limit = 5.0;         // seconds that the client waits in total
  double priority_weight = 1.0;
  double late_value = 0.0;  // part of the value that an answer between objective and deadline has
  double latency_objective_per_1000_tokens = 0.0;  // seconds added for each 1,000 prompt tokens
  double key_ttl = 5.0;  // seconds for which replicas drop repeats of an idempotency key
  Semantics semantics = Semantics::idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::all;
  bool streamed = false;
};

struct TenantSettings {
  double quota_per_s = 0.0;  // requests a second, over all routers; 0 = no quota
  double share = 0.0;        // of all requests, as the operators expect it (unused)
};

// The settings of one router. Permissions default to 'no'. Those marked (unused) are part of the platform's
// settings and not looked at by any decision.
struct Settings {
  std::vector<ClassSettings> classes;  // one with defaults is added if there is none
  std::vector<TenantSettings> tenants;
  int balancers = 1;  // routers in this tier
  int rank = 0;       // of this router among them (unused)
  int zone = 0;       // of this router
  int zones = 1;
  double over_quota_weight = 1.0;        // of requests over their tenant's quota (unused)
  bool priority_weight_by_work = false;  // a request's weight counts for each unit of its work
  bool list_on_request = false;          // the endpoint list comes only when asked for
  bool list_pushed = false;  // by an agent beside the router, which answers at once and costs nothing to ask
  bool marks_retry = false;  // clients mark their retries (unused)
  bool resume = false;       // clients resume broken streams (unused)
  WeightSource weights = WeightSource::silent;
  bool may_cancel = false;        // attempts
  bool may_duplicate = false;     // idempotent requests: hedged requests are allowed
  bool may_probe = false;         // active health checks (unused)
  bool may_peer = false;          // gossip with other routers (unused)
  bool retry_after = false;       // rejections carry a Retry-After
  int max_attempts = 1;           // of one request, the first one among them
  double max_retry_after = 0.0;   // seconds
  double price_cross_zone = 0.0;  // of a request to another zone, as a part of a request's weight
  double price_waste = 0.0;       // (unused)
  double price_late_fail = 0.0;   // (unused)
  double cold_from = 1.0;      // slow start: part of its capacity with which a replica starts, at the least
  double cold_s = 0.0;         // slow start: seconds until it is warm, at the latest
  double fall_multiple = 3.0;  // a replica that gets this multiple of its capacity ...
  double fall_s = 2.0;         // ... for so many seconds falls over
  // Seconds between two subscriptions that stay unanswered, before the module's own margin; 0: 10 s.
  double must_ask_in = 0.0;
  // Seconds after its decision at which an attempt's first byte is written, at the latest.
  double dial_timeout = 0.0;
  // 0: a slot for each replica, in order of start. Else so many slots, filled by the set of ready replicas
  // alone: for lists that tell no start times.
  int slots = 0;
};

// An entry of the endpoint list.
struct Replica {
  ReplicaId id = 0;
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;  // of machine
  std::uint32_t cell = 0;  // the group within which an idempotency key may be known
  Health health = Health::gone;
  double size = 1.0;        // relative capacity; see WeightSource
  double started_at = 0.0;  // seconds; of the latest start; 0 = long past
};

// An endpoint list or a change of it, as it arrives.
struct EndpointListChange {
  ListKind kind = ListKind::failed;
  std::uint32_t version = 0;  // (unused)
  std::vector<Replica> replicas;
};

// Whether a request is within its tenant's quota, where somebody knows better than this router alone.
enum class QuotaStatus : std::uint8_t { unknown = 0, within = 1, over = 2 };

// A request of a client. Fields marked (unused) are not looked at by any decision.
struct NewRequest {
  RequestId id = 0;
  std::uint32_t request_class = 0;  // index in Settings::classes; one beyond them counts as the last
  std::uint32_t tenant = 0;         // index in Settings::tenants; one beyond them has no quota
  std::uint64_t key = 0;            // session; 0 = none
  double deadline = 0.0;            // seconds
  double hint = 0.0;                // estimated work, in any unit; 0 = none
  std::uint64_t prefix_id = 0;      // of a prompt prefix that other requests share; 0 = none
  double prompt_tokens = 0.0;
  double prefix_tokens = 0.0;  // of the prompt's tokens
  double output_cap = 0.0;     // tokens (unused)
  bool is_retry = false;       // by the client
  bool is_write = false;       // (unused)
  bool resumed = false;        // the rest of a stream that broke (unused)
  QuotaStatus quota_status = QuotaStatus::unknown;
};

// The first event of an attempt's answer arrived. The Balancer goes by its own clock, not by latency.
struct FirstEvent {
  RequestId id = 0;
  std::uint32_t attempt = 0;  // number within the request, from 0
  ReplicaId replica = 0;
  double latency = 0.0;  // seconds
};

// An attempt ended. The Balancer goes by its own clock, not by latency.
struct AttemptResult {
  RequestId id = 0;
  std::uint32_t attempt = 0;  // number within the request, from 0
  ReplicaId replica = 0;
  Outcome outcome = Outcome::error;
  double latency = 0.0;             // seconds
  bool closed = false;              // the client has its final answer
  std::uint32_t cached_tokens = 0;  // prompt tokens that the replica found cached
  std::vector<float> report;        // load report; not used for decisions
};

// An active health check ended. Not used for decisions.
struct HealthCheckResult {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::error;
  double latency = 0.0;       // seconds
  std::vector<float> report;  // load report
};

struct LearnedState;  // src/policy/learned_state.h

// What a Balancer asks its host for. Called during the Balancer's calls only; must not call back into it.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Send an attempt of the request to this replica. attempt_timeout: seconds after which it is given up as
  // Outcome::timeout; 0: until the client gives up.
  virtual void attempt(RequestId id, ReplicaId replica, double attempt_timeout) = 0;
  // The final answer: rejected; a retry by the client is harmless, not before so many seconds.
  virtual void reject(RequestId id, double retry_after) = 0;
  // The final answer: failed.
  virtual void fail(RequestId id) = 0;
  // Cancel an attempt, by its number within the request.
  virtual void stop_attempt(RequestId id, std::uint16_t attempt) = 0;
  // Call on_timer with this cookie after so many seconds. Timers are not cancelled.
  virtual void set_timer(double span, std::uint64_t cookie) = 0;
  // Subscribe to changes of the endpoint list.
  virtual void subscribe(bool on) = 0;
};

// The decision module of one router. See the top of this file for threading, units and order of calls.
class Balancer {
 public:
  // seed: of all its random numbers; equal seeds and events give equal actions. now: seconds.
  Balancer(Settings settings, std::uint64_t seed, double now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // An endpoint list, a change of it, or the failure to get one.
  void on_endpoint_list(double now, const EndpointListChange& change, ActionSink& sink);
  // A request arrived. It gets an attempt, or a final answer, or is held until a timer expires; by its
  // deadline it has its final answer or a stream that has started. A known id is ignored.
  void on_request(double now, const NewRequest& request, ActionSink& sink);
  // The first event of an attempt: its request is bound to that replica.
  void on_first_event(double now, const FirstEvent& event, ActionSink& sink);
  // An attempt ended. Each attempt of the sink is followed by exactly one result.
  void on_attempt_result(double now, const AttemptResult& result, ActionSink& sink);
  // The client has left: no final answer is due any more.
  void on_client_disconnected(double now, RequestId id, ActionSink& sink);
  // A timer that the sink was asked for expired.
  void on_timer(double now, std::uint64_t cookie, ActionSink& sink);
  // Only moves the clock on: the module decides by its own attempts.
  void on_health_check_result(double now, const HealthCheckResult& result, ActionSink& sink);
  // Only moves the clock on: gossip reaches the module by on_health_warning.
  void on_gossip(double now, std::uint32_t from, std::string_view bytes, ActionSink& sink);
  // Others have seen this replica fail. It is passed over for so many seconds, at the most 10, or until it
  // serves one of this router's requests; like one that could not be reached it is picked where nothing else
  // is left.
  void on_health_warning(double now, ReplicaId replica, double span);

  // How many of the ready replicas it passes over now: unreachable, full, or trusted with less than half of
  // their keys for how they answer. One in slow start is not passed over. For metrics; changes nothing.
  std::size_t avoided(double now) const;

  // Hot restart. What this Balancer has learned so far, for the one that takes its place in another process.
  LearnedState learned() const;
  // Takes over what a former Balancer had learned, in place of all that this one has: picks, admission and
  // budgets go on from there. Both need the same settings and clock; of other numbers of classes or tenants
  // nothing is taken. Of replicas that no list has named yet only their slots are taken.
  void adopt(double now, LearnedState from, ActionSink& sink);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Jump consistent hash (Lamping and Veach, 2014): a bucket in [0, buckets), or -1 for no buckets. Exposed for
// tests.
std::int32_t jump_hash(std::uint64_t key, std::int32_t buckets);

}  // namespace flintglade::policy
