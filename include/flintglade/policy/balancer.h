// The interface of the decision module: the events that a router reports to it, and the actions that it
// requests from the router.
//
// One Balancer is one router. It owns no thread, socket, clock or global state: the host passes it each event
// with the time at which it happened, and executes in order the actions that are written to the ActionSink
// during that call. Instances are independent; one instance is used by one thread at a time.
//
// Units: all times and durations are seconds; the origin of times is arbitrary. A time earlier than a
// previous one is replaced by that previous one. Errors: nothing here throws, except on memory exhaustion;
// settings and numbers out of range are clamped; ids of unknown or finished requests are ignored. Lifetimes:
// the sink and string views are borrowed for the call only.
//
// Order of calls: construct, on_endpoint_list with the initial list, then events as they occur. A request
// that arrives before the first list is held for part of the time until its deadline.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace flintglade::policy {

// Chosen by the host, below 2^52; unique among the unfinished requests.
using RequestId = std::uint64_t;
// Opaque; ordered only to break ties between equal start times.
using ReplicaId = std::uint64_t;

// The effect that a retry of a request may have.
enum class Semantics {
  idempotent,       // none beyond that of the first attempt
  idempotency_key,  // none within key_ttl: replicas of the IdempotencyScope drop repeats of the key
  not_idempotent,   // the request may take effect twice
};

// Which replicas drop repeated requests with the same idempotency key.
enum class IdempotencyScope { all, zone, cell };

// The accuracy of the replica sizes in the endpoint list.
enum class WeightSource {
  silent,   // the list has no sizes
  nominal,  // accurate
  rough,    // understate the differences between machines
  live,     // decrease with the current load
};

// The state of a replica in the endpoint list. gone: it has been removed from the list.
enum class Health : std::uint8_t { gone = 0, ready = 1, draining = 2 };

// The kind of an endpoint list. The numbers are those of the simulator's protocol, as in Health and Outcome.
enum class ListKind : std::uint8_t {
  delta = 0,   // changed entries only
  cached = 1,  // a complete list that may be outdated
  full = 2,    // a complete list
  failed = 3,  // the list could not be fetched: the previous one stays in effect
};

// How an attempt ended.
enum class Outcome : std::uint16_t {
  error = 0,           // the replica answered with an error
  ok = 1,              // answered
  full = 2,            // rejected by the replica because it is at capacity; the request did not run
  timeout = 3,         // aborted by this router after the attempt's timeout
  connect_failed = 4,  // the connection could not be established; the request did not run
  reset = 5,           // the connection was lost
  cancelled = 6,       // cancelled by this router
  inconclusive = 7,    // not counted for the replica: the attempt was never sent, or its stream migrated
};

// The settings of a request class.
struct ClassSettings {
  double latency_objective = 1.0;  // seconds to the answer (to the first token, if streamed) for full value
  double hard_limit = 5.0;         // seconds that the client waits in total
  double priority_weight = 1.0;
  double late_value = 0.0;  // fraction of the full value of an answer between objective and deadline
  double latency_objective_per_1000_tokens = 0.0;  // seconds added for each 1,000 prompt tokens
  double key_ttl = 5.0;  // seconds for which replicas drop repeats of an idempotency key
  Semantics semantics = Semantics::idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::all;
  bool streamed = false;
};

struct TenantSettings {
  double quota_per_s = 0.0;  // requests per second over all routers; 0 = no quota
  double share = 0.0;        // of all requests, as expected by the operators (unused)
};

// The settings of one router. Permissions default to false. Those marked (unused) are part of the platform's
// settings but affect no decision.
struct Settings {
  std::vector<ClassSettings> classes;  // if empty, one with defaults is added
  std::vector<TenantSettings> tenants;
  int balancers = 1;  // routers in this tier
  int rank = 0;       // index of this router among them (unused)
  int zone = 0;       // of this router
  int zones = 1;
  double over_quota_weight = 1.0;        // of requests over their tenant's quota (unused)
  bool priority_weight_by_work = false;  // the priority weight applies per unit of work, not per request
  bool list_on_request = false;          // the endpoint list is sent only to subscribers
  bool list_pushed = false;  // by a local agent, which replies immediately and can be polled at no cost
  bool marks_retry = false;  // clients mark their retries (unused)
  bool resume = false;       // clients resume broken streams (unused)
  WeightSource weights = WeightSource::silent;
  bool may_cancel = false;        // attempts may be cancelled
  bool may_duplicate = false;     // hedged requests are allowed for idempotent requests
  bool may_probe = false;         // active health checks (unused)
  bool may_peer = false;          // gossip with other routers (unused)
  bool retry_after = false;       // rejections carry a Retry-After
  int max_attempts = 1;           // of one request, including the first
  double max_retry_after = 0.0;   // seconds
  double price_cross_zone = 0.0;  // cost of a request to another zone, as a fraction of its weight
  double price_waste = 0.0;       // (unused)
  double price_late_fail = 0.0;   // (unused)
  double cold_from = 1.0;         // slow start: minimum fraction of its capacity that a starting replica has
  double cold_s = 0.0;            // slow start: maximum seconds until a replica is warm
  double fall_multiple = 3.0;     // a replica that gets this multiple of its capacity ...
  double fall_s = 2.0;            // ... for this many seconds fails from overload
  // Seconds after which an unanswered subscription is repeated, before the module's own margin; 0: 10 s.
  double must_ask_in = 0.0;
  // Maximum seconds from the decision to send an attempt until its first byte is written.
  double dial_timeout = 0.0;
  // 0: one slot per replica, in order of start time. Otherwise the fixed number of slots, whose assignment
  // depends only on the set of ready replicas: for endpoint lists without start times.
  int slots = 0;
};

// An entry of the endpoint list.
struct Replica {
  ReplicaId id = 0;
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;  // machine type
  std::uint32_t cell = 0;  // the group of replicas that share idempotency keys with IdempotencyScope::cell
  Health health = Health::gone;
  double size = 1.0;        // relative capacity; see WeightSource
  double started_at = 0.0;  // seconds; time of the latest start; 0 = long ago
};

// An endpoint list, or a change to it.
struct EndpointListChange {
  ListKind kind = ListKind::failed;
  std::uint32_t version = 0;  // (unused)
  std::vector<Replica> replicas;
};

// Whether a request is within its tenant's quota, if the host knows it (from the fleet's shared quota).
enum class QuotaStatus : std::uint8_t { unknown = 0, within = 1, over = 2 };

// A client's request. Fields marked (unused) affect no decision.
struct NewRequest {
  RequestId id = 0;
  std::uint32_t request_class = 0;  // index in Settings::classes; an index out of range means the last class
  std::uint32_t tenant = 0;         // index in Settings::tenants; an index out of range means no quota
  std::uint64_t key = 0;            // session; 0 = none
  double deadline = 0.0;            // seconds
  double hint = 0.0;                // estimated work, in any unit; 0 = none
  std::uint64_t prefix_id = 0;      // of a prompt prefix shared with other requests; 0 = none
  double prompt_tokens = 0.0;
  double prefix_tokens = 0.0;  // number of prompt tokens in the prefix
  double output_cap = 0.0;     // tokens (unused)
  bool is_retry = false;       // a retry by the client
  bool is_write = false;       // (unused)
  bool resumed = false;        // the continuation of a broken stream (unused)
  QuotaStatus quota_status = QuotaStatus::unknown;
};

// The first event of an attempt's answer arrived. The Balancer measures latency itself and ignores `latency`.
struct FirstEvent {
  RequestId id = 0;
  std::uint32_t attempt = 0;  // number within the request, from 0
  ReplicaId replica = 0;
  double latency = 0.0;  // seconds
};

// An attempt ended. The Balancer measures latency itself and ignores `latency`.
struct AttemptResult {
  RequestId id = 0;
  std::uint32_t attempt = 0;  // number within the request, from 0
  ReplicaId replica = 0;
  Outcome outcome = Outcome::error;
  double latency = 0.0;             // seconds
  bool closed = false;              // the client has received its final answer
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

// Receives the actions that a Balancer requests from its host. Called only from within the Balancer's own
// calls; must not call back into it.
class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // Send an attempt of the request to this replica. attempt_timeout: seconds after which the host ends it
  // with Outcome::timeout; 0: no timeout but the client's.
  virtual void attempt(RequestId id, ReplicaId replica, double attempt_timeout) = 0;
  // Reject the request (final answer). The client may safely retry after retry_after seconds.
  virtual void reject(RequestId id, double retry_after) = 0;
  // Fail the request (final answer).
  virtual void fail(RequestId id) = 0;
  // Cancel an attempt, by its number within the request.
  virtual void stop_attempt(RequestId id, std::uint16_t attempt) = 0;
  // Call on_timer with this cookie after `delay` seconds. Timers are never cancelled.
  virtual void set_timer(double delay, std::uint64_t cookie) = 0;
  // Subscribe to changes of the endpoint list.
  virtual void subscribe(bool on) = 0;
};

// The decision module of one router. See the top of this file for threading, units and order of calls.
class Balancer {
 public:
  // seed: seeds all random numbers; equal seeds and events give equal actions. now: seconds.
  Balancer(Settings settings, std::uint64_t seed, double now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  // An endpoint list, a change to it, or the failure to fetch one arrived.
  void on_endpoint_list(double now, const EndpointListChange& change, ActionSink& sink);
  // A request arrived. It is sent to a replica, answered finally, or held until a timer expires. By its
  // deadline it has its final answer or its stream has started. The id of an unfinished request is ignored.
  void on_request(double now, const NewRequest& request, ActionSink& sink);
  // The first event of an attempt arrived: the request is bound to this attempt.
  void on_first_event(double now, const FirstEvent& event, ActionSink& sink);
  // An attempt ended. Each ActionSink::attempt call is followed by exactly one result.
  void on_attempt_result(double now, const AttemptResult& result, ActionSink& sink);
  // The client disconnected: it no longer needs a final answer.
  void on_client_disconnected(double now, RequestId id, ActionSink& sink);
  // A timer set through the sink expired.
  void on_timer(double now, std::uint64_t cookie, ActionSink& sink);
  // Only advances the clock: decisions are based on the router's own attempts.
  void on_health_check_result(double now, const HealthCheckResult& result, ActionSink& sink);
  // Only advances the clock: gossip reaches the module through on_health_warning.
  void on_gossip(double now, std::uint32_t from, std::string_view bytes, ActionSink& sink);
  // Other routers have seen this replica fail. It is skipped for `duration` seconds, 10 at most, or until it
  // serves one of this router's requests. Like an unreachable replica it is still picked if there is no
  // other.
  void on_health_warning(double now, ReplicaId replica, double duration);

  // The number of ready replicas avoided now: unreachable, at capacity, or reduced by outlier detection to
  // less than half of their keys. Replicas in slow start do not count. For metrics; has no side effects.
  std::size_t avoided(double now) const;

  // For hot restart: a copy of what this Balancer has learned, for its successor in another process.
  LearnedState learned() const;
  // Replaces this Balancer's learned state by that of its predecessor, so that picks, admission and budgets
  // continue from there. Both need the same settings and clock. Does nothing if the numbers of classes or
  // tenants differ. For replicas that are not in this Balancer's list yet, only their slots are restored.
  void adopt(double now, LearnedState from, ActionSink& sink);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Jump consistent hash (Lamping and Veach, 2014). Returns a bucket in [0, buckets), or -1 if there are no
// buckets. Exposed for tests.
std::int32_t jump_hash(std::uint64_t key, std::int32_t buckets);

}  // namespace flintglade::policy
