// What the core needs from the outside, and nothing of how it is done: the client's side of an RPC (a front),
// the model replicas (subchannels), the replica list, and the clock.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::core {

using Micros = std::int64_t;  // whole microseconds on the monotonic clock
inline constexpr Micros kSecond = 1'000'000;
inline constexpr Micros kMilli = 1'000;
inline constexpr Micros kNever = INT64_MAX;
// The process may be held up for this long between reading its clock and writing (STANDING): a bound on
// writes that has no slack of its own leaves room for it.
inline constexpr Micros kHoldUp = 150 * kMilli;

using RequestId = policy::RequestId;
using ReplicaId = policy::ReplicaId;

struct AttemptId {  // one call attempt of an RPC
  RequestId rpc = 0;
  std::uint32_t attempt = 0;
  auto operator<=>(const AttemptId&) const = default;
};

// Which pair of front and subchannels an RPC belongs to. The core only hands the RPC back to its own kind.
enum class Wire : std::uint8_t { http = 0, kserve = 1 };
inline constexpr std::size_t kWires = 2;

struct Request {
  Wire wire = Wire::http;
  std::uint32_t request_class = 0;
  std::uint32_t tenant = 0;
  std::uint64_t session = 0;
  std::uint64_t prefix = 0;
  double prompt_tokens = 0.0;
  double prefix_tokens = 0.0;
  double output_cap = 0.0;
  double work_hint = 0.0;  // the client's guess at the work, in microseconds; 0: none
  bool is_retry = false;
  bool resumed = false;
  bool may_be_empty = false;  // an answer that ends well without an event is one
  Micros patience = 0;        // how long the client waits for the first event
  std::string trace_id;       // the client's own name for it
  std::string method;         // opaque to the core: handed on to the subchannel
  std::string target;
  std::string body;
  std::vector<std::pair<std::string, std::string>> metadata;  // of the client's, for the replica; opaque too
  // What it takes of the budget of memory.
  std::size_t bytes() const {
    std::size_t sum = body.size();
    for (const auto& [name, value] : metadata) sum += name.size() + value.size();
    return sum;
  }
};

// How an RPC that was not served and not refused ended.
// rejected: a replica says that the request itself is at fault, whoever is asked.
enum class Failure : std::uint8_t { error, deadline, rejected };

// The client's side of one RPC. Exactly one of finish, abort_stream, unavailable and fail ends it.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // Events of the answer, in order and whole. False: the client reads too slowly; nothing more is to come
  // until the front says Broker::writable.
  virtual bool write_events(std::string_view events) = 0;
  virtual void finish() = 0;        // the answer is whole
  virtual void abort_stream() = 0;  // the answer broke after its first event
  // Refused: trying again is harmless, after retry_after (0: no advice). late: its deadline has come.
  virtual void reject(Micros retry_after, bool late) = 0;
  virtual void fail(Failure why) = 0;
};

struct Endpoint {
  policy::Replica replica;
  std::string address;  // host:port
};

struct EndpointListUpdate {
  policy::ListKind kind = policy::ListKind::failed;
  std::uint32_t version = 0;
  std::vector<Endpoint> entries;
  // Named, but by an entry that says nothing usable: what is held of them stays in force.
  std::vector<ReplicaId> unreadable;
};

// The model replicas behind one wire. Each call is answered by one Broker::on_attempt_ended, unless
// cancelled.
class ReplicaClient {
 public:
  virtual ~ReplicaClient() = default;
  // no_new_after: the moment from which no first byte of a call may be written; kNever while it is ready.
  virtual void update_endpoint(const Endpoint& endpoint, Micros no_new_after) = 0;
  virtual void start_attempt(AttemptId id, ReplicaId replica, std::shared_ptr<const Request> rpc,
                             Micros patience) = 0;
  virtual void cancel_attempt(AttemptId id) = 0;              // silent: no on_attempt_ended follows
  virtual void pause_attempt(AttemptId id, bool paused) = 0;  // stop or go on reading its answer
};

class EndpointList {
 public:
  virtual ~EndpointList() = default;
  virtual void subscribe(bool on) = 0;
};

// What routers of a fleet share, as the core needs it. Called on the core's thread, in its turn: nothing here
// may wait.
class SharedStatePort {
 public:
  enum class QuotaStatus : std::uint8_t { unknown, within, over, refused };
  struct QuotaDecision {
    QuotaStatus status = QuotaStatus::unknown;
    Micros retry_after = 0;  // refused: when to come back
  };
  virtual ~SharedStatePort() = default;
  // Before the module sees it: whether its team may have it. Refused ones never get to the module.
  virtual QuotaDecision check_quota(Micros now, const Request& rpc) = 0;
  enum class RequestOutcome : std::uint8_t { served, refused, failed };
  virtual void on_request_finished(const Request& rpc,
                                   RequestOutcome outcome) = 0;  // each final answer, once
  virtual void on_first_event(Micros now, ReplicaId replica) = 0;
  virtual void on_attempt_ended(Micros now, ReplicaId replica, policy::Outcome outcome) = 0;
};

// What the core did with each RPC and call attempt, for whoever wants to count it: off unless set.
struct Trace {
  enum class What : std::uint8_t { call, ended, bound, unavailable, failed, list, arrived, gone };
  What what;
  RequestId rpc = 0;
  std::uint32_t attempt = 0;
  ReplicaId replica = 0;
  std::string_view detail;  // the outcome, the kind of list news or the client's id; valid for the call only
  Micros took = 0;          // since the call was sent; since the RPC came, for its final answer
  std::size_t count = 0;    // entries of the list
  std::uint32_t kept = 0;   // prompt tokens found kept, at a call's end
  std::uint32_t kind = 0, zone = 0;  // of its replica
};

class Clock {
 public:
  virtual ~Clock() = default;
  virtual Micros now() = 0;
};

}  // namespace flintglade::core
