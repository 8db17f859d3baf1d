// The interface of the decision module: what a router tells the module, and what the module asks of the
// router.
//
// One Balancer is one router. It owns no thread, socket, clock or global state: the host hands it each event
// with the time at which it happened and carries out, in order, what is written to the ActionSink during that
// call. All times are seconds, on any origin; a time earlier than one seen before counts as that later one.
// Instances are independent; one instance is used by one thread at a time. Nothing here throws, apart from
// running out of memory. The sink is borrowed for the call only; string views are valid for the call only.
//
// Call order: construct, on_endpoint_list with the list known at the start, then events as they come. A query
// that comes before any list is held for a part of its time, in the hope of one. Ids of requests that are
// unknown or over are passed over.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace flintglade::policy {

using RequestId = std::uint64_t;
using ReplicaId = std::uint64_t;  // opaque; ordered only to break ties between equal start times

enum class Semantics { idempotent, idempotency_key, not_idempotent };
enum class IdempotencyScope { all, zone, cell };
enum class WeightSource { silent, nominal, rough, live };
enum class Health : std::uint8_t { gone = 0, ready = 1, draining = 2 };
enum class ListKind : std::uint8_t { delta = 0, cached = 1, full = 2, failed = 3 };
enum class Outcome : std::uint16_t {
  error = 0,
  ok = 1,
  full = 2,
  timeout = 3,
  connect_failed = 4,
  reset = 5,
  cancelled = 6,
  moot = 7
};

struct ClassSettings {
  double latency_objective = 1.0;  // seconds to the answer (to the first token, if streamed) for full worth
  double hard_limit = 5.0;         // the client's total wait
  double priority_weight = 1.0;
  double late_value = 0.0;                         // share of the worth paid between aim and deadline
  double latency_objective_per_1000_tokens = 0.0;  // seconds of aim for each 1,000 prompt tokens
  double key_ttl = 5.0;                            // keyed: how long a group drops repeats
  Semantics semantics = Semantics::idempotent;
  IdempotencyScope idempotency_scope = IdempotencyScope::all;
  bool streamed = false;
};

struct TenantSettings {
  double quota_per_s = 0.0;  // over all routers; 0 = no quota
  double share = 0.0;
};

struct Settings {
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  int balancers = 1;  // routers in this tier
  int rank = 0;
  int zone = 0;
  int zones = 1;
  double over_quota_weight = 1.0;
  bool priority_weight_by_work = false;
  bool list_on_request = false;
  bool list_pushed = false;  // by an agent beside the router, which answers at once and costs nothing to ask
  bool marks_retry = false;
  bool resume = false;
  WeightSource weights = WeightSource::silent;
  bool may_cancel = false;
  bool may_duplicate = false;
  bool may_probe = false;
  bool may_peer = false;
  bool retry_after = false;
  int max_attempts = 1;
  double max_retry_after = 0.0;
  double price_cross_zone = 0.0;
  double price_waste = 0.0;
  double price_late_fail = 0.0;
  double cold_from = 1.0;  // share of its capacity with which a replica starts, at the least
  double cold_s = 0.0;     // it is warm after this, at the latest
  double fall_multiple = 3.0;
  double fall_s = 2.0;
  double must_ask_in = 0.0;
  double dial_timeout =
      0.0;  // an attempt's first byte is written this long after its decision, at the latest
  // 0: a slot for each replica, in order of start. Else so many slots, filled by the set of ready replicas
  // alone: for lists that tell no start times.
  int slots = 0;
};

struct Replica {
  ReplicaId id = 0;
  std::uint32_t zone = 0;
  std::uint32_t kind = 0;
  std::uint32_t cell = 0;
  Health health = Health::gone;
  double size = 1.0;
  double started_at = 0.0;  // time of the latest start; 0 = long past
};

struct EndpointListChange {
  ListKind kind = ListKind::failed;
  std::uint32_t version = 0;
  std::vector<Replica> replicas;
};

// Whether a request is within its tenant's quota, where somebody knows better than this router alone.
enum class QuotaStatus : std::uint8_t { unknown = 0, within = 1, over = 2 };

struct NewRequest {
  RequestId id = 0;
  std::uint32_t request_class = 0;
  std::uint32_t tenant = 0;
  std::uint64_t key = 0;  // session; 0 = none
  double deadline = 0.0;
  double hint = 0.0;  // estimated work; 0 = none
  std::uint64_t prefix_id = 0;
  double prompt_tokens = 0.0;
  double prefix_tokens = 0.0;
  double output_cap = 0.0;
  bool is_retry = false;
  bool is_write = false;
  bool resumed = false;
  QuotaStatus quota_status = QuotaStatus::unknown;
};

struct FirstEvent {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  ReplicaId replica = 0;
  double latency = 0.0;
};

struct AttemptResult {
  RequestId id = 0;
  std::uint32_t attempt = 0;
  ReplicaId replica = 0;
  Outcome outcome = Outcome::error;
  double latency = 0.0;
  bool closed = false;
  std::uint32_t note = 0;  // prompt tokens found kept
  std::vector<float> report;
};

struct HealthCheckResult {
  ReplicaId replica = 0;
  Outcome outcome = Outcome::error;
  double latency = 0.0;
  std::vector<float> report;
};

struct LearnedState;  // src/policy/learned_state.h

class ActionSink {
 public:
  virtual ~ActionSink() = default;
  // allow_for = 0: until the client gives up.
  virtual void attempt(RequestId id, ReplicaId replica, double allow_for) = 0;
  virtual void reject(RequestId id, double not_before_for) = 0;  // final: refused, a retry is harmless
  virtual void fail(RequestId id) = 0;                           // final: failed
  virtual void stop_attempt(RequestId id, std::uint16_t attempt) = 0;
  virtual void set_timer(double span, std::uint64_t cookie) = 0;
  virtual void subscribe(bool on) = 0;  // subscribe to list changes
};

class Balancer {
 public:
  Balancer(Settings settings, std::uint64_t seed, double now);
  ~Balancer();
  Balancer(Balancer&&) noexcept;
  Balancer& operator=(Balancer&&) noexcept;

  void on_endpoint_list(double now, const EndpointListChange& change, ActionSink& sink);
  void on_request(double now, const NewRequest& query, ActionSink& sink);
  void on_first_event(double now, const FirstEvent& accepted, ActionSink& sink);
  void on_attempt_result(double now, const AttemptResult& response, ActionSink& sink);
  void on_client_disconnected(double now, RequestId id, ActionSink& sink);
  void on_timer(double now, std::uint64_t cookie, ActionSink& sink);
  void on_health_check_result(double now, const HealthCheckResult& pong, ActionSink& sink);
  void on_gossip(double now, std::uint32_t from, std::string_view bytes, ActionSink& sink);
  // Others have seen this worker fail. It is passed over for so long, at the most 10 s, or until it serves
  // one of this router's requests; like one that could not be reached it is picked where nothing else is
  // left.
  void on_health_warning(double now, ReplicaId replica, double span);
  // How many of the ready workers it now passes over: out of reach, full, or trusted with less than half of
  // their keys for how they answer. A cold one is not passed over. For whoever watches; changes nothing.
  std::size_t avoided(double now) const;
  // What it has learned so far, for the Balancer that takes its place in another process; and what such a one
  // had learned, which goes before all that this one has: picks, admission and budgets go on from there. Both
  // need the same settings and clock. Replicas that no list has named yet are learned nothing of but their
  // slots.
  LearnedState learned() const;
  void adopt(double now, LearnedState from, ActionSink& sink);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

// Jump consistent hash (Lamping and Veach): a bucket in [0, buckets), or -1 for no buckets. Exposed for
// tests.
std::int32_t jump_hash(std::uint64_t key, std::int32_t buckets);

}  // namespace flintglade::policy
