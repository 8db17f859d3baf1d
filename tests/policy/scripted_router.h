// A router without I/O for the tests of the decision module. It drives one Balancer through its public
// interface with a simulated clock, fires its timers and records the requested actions. Times are seconds.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy::testing_support {

// One call of the ActionSink.
struct Action {
  enum Kind { attempt, reject, fail, stop, timer, subscribe } kind;
  RequestId id = 0;
  ReplicaId replica = 0;
  double duration = 0.0;     // the attempt's timeout, Retry-After, or the timer's delay
  std::uint64_t number = 0;  // of the attempt, or the timer's cookie
};

class ScriptedRouter : public ActionSink {
 public:
  explicit ScriptedRouter(Settings settings, std::uint64_t seed = 1, double start = 100.0)
      : now(start), balancer(std::move(settings), seed, start) {}

  void attempt(RequestId id, ReplicaId replica, double attempt_timeout) override {
    log.push_back({Action::attempt, id, replica, attempt_timeout, attempts_sent[id]++});
  }
  void reject(RequestId id, double retry_after) override {
    log.push_back({Action::reject, id, 0, retry_after, 0});
  }
  void fail(RequestId id) override { log.push_back({Action::fail, id, 0, 0, 0}); }
  void stop_attempt(RequestId id, std::uint16_t number) override {
    log.push_back({Action::stop, id, 0, 0, number});
  }
  void set_timer(double delay, std::uint64_t cookie) override {
    timers.emplace(now + delay, cookie);
    log.push_back({Action::timer, 0, 0, delay, cookie});
  }
  void subscribe(bool) override { log.push_back({Action::subscribe, 0, 0, 0, 0}); }

  // An endpoint list, or a change to it, arrives.
  void list(ListKind kind, std::vector<Replica> replicas) {
    balancer.on_endpoint_list(now, {kind, 1, std::move(replicas)}, *this);
  }
  // A request arrives; if it has no deadline, the deadline is in 5 s.
  void receive(NewRequest request) {
    if (request.deadline == 0.0) request.deadline = now + 5.0;
    balancer.on_request(now, request, *this);
  }
  // An attempt ends.
  void end_attempt(RequestId id, std::uint32_t number, Outcome outcome, bool closed,
                   std::uint32_t cached_tokens = 0) {
    AttemptResult result;
    result.id = id;
    result.attempt = number;
    result.outcome = outcome;
    result.closed = closed;
    result.cached_tokens = cached_tokens;
    balancer.on_attempt_result(now, result, *this);
  }
  // The first event of an attempt arrives.
  void receive_first_event(RequestId id, std::uint32_t number) {
    FirstEvent event;
    event.id = id;
    event.attempt = number;
    balancer.on_first_event(now, event, *this);
  }
  // Advances the clock and fires the timers that expire until then.
  void run_to(double time) {
    while (!timers.empty() && timers.begin()->first <= time) {
      const auto [expiry, cookie] = *timers.begin();
      timers.erase(timers.begin());
      now = std::max(now, expiry);
      balancer.on_timer(now, cookie, *this);
    }
    now = time;
  }

  // The actions so far, of one request or of all.
  std::vector<Action> actions(Action::Kind kind, RequestId id = 0) const {
    std::vector<Action> found;
    for (const Action& action : log) {
      if (action.kind == kind && (id == 0 || action.id == id)) found.push_back(action);
    }
    return found;
  }
  std::size_t final_answers(RequestId id) const {
    return actions(Action::reject, id).size() + actions(Action::fail, id).size();
  }
  // The replica of the first attempt of a request of this session; 0 if none is sent. The client disconnects
  // immediately, which does not affect the replica's health.
  ReplicaId place(std::uint64_t session) {
    const RequestId id = next_id++;
    NewRequest request;
    request.id = id;
    request.key = session;
    receive(request);
    const auto sent = actions(Action::attempt, id);
    if (sent.empty()) return 0;
    balancer.on_client_disconnected(now, id, *this);
    end_attempt(id, 0, Outcome::cancelled, true);
    return sent[0].replica;
  }

  double now;
  Balancer balancer;
  std::vector<Action> log;
  std::multimap<double, std::uint64_t> timers;  // cookies by time of expiry
  std::map<RequestId, std::uint64_t> attempts_sent;
  RequestId next_id = 1'000'000;
};

// Streams with a given duration each.
class RunningStreams {
 public:
  explicit RunningStreams(ScriptedRouter& router) : router_(router) {}

  void add(RequestId id, double duration) { ends_.emplace(router_.now + duration, id); }
  // Advances the clock and reports each stream that ends until then at its end.
  void run_to(double time) {
    while (!ends_.empty() && ends_.begin()->first <= time) {
      router_.run_to(std::max(router_.now, ends_.begin()->first));
      router_.end_attempt(ends_.begin()->second, 0, Outcome::ok, true);
      ends_.erase(ends_.begin());
    }
    router_.run_to(time);
  }

 private:
  ScriptedRouter& router_;
  std::multimap<double, RequestId> ends_;
};

// One class with an objective of 1 s, streamed, whose requests may be retried, hedged and cancelled.
inline Settings test_settings() {
  ClassSettings request_class;
  request_class.latency_objective = 1.0;
  request_class.hard_limit = 5.0;
  request_class.streamed = true;
  Settings settings;
  settings.classes = {request_class};
  settings.max_attempts = 4;
  settings.may_cancel = true;
  settings.may_duplicate = true;
  settings.cold_from = 0.2;
  settings.cold_s = 20.0;
  return settings;
}

inline Replica warm_replica(ReplicaId id, double started_at = 0.0) {
  Replica replica;
  replica.id = id;
  replica.health = Health::ready;
  replica.started_at = started_at;
  return replica;
}
// Replicas with the ids 7919, 2 * 7919, ...
inline std::vector<Replica> ready_replicas(int count) {
  std::vector<Replica> replicas;
  for (int i = 1; i <= count; ++i) replicas.push_back(warm_replica(static_cast<ReplicaId>(i) * 7919));
  return replicas;
}

// Spreads small numbers over the whole 64-bit range.
inline std::uint64_t scrambled(std::uint64_t number) { return (number + 1) * 0x9e3779b97f4a7c15ull; }

inline NewRequest new_request(RequestId id, std::uint64_t session, double deadline = 0.0) {
  NewRequest request;
  request.id = id;
  request.key = session;
  request.deadline = deadline;
  return request;
}
// A prompt of 1,000 tokens, of which the prefix is this fraction.
inline NewRequest prefixed(RequestId id, std::uint64_t session, std::uint64_t prefix, double fraction) {
  NewRequest request = new_request(id, session);
  request.prefix_id = prefix;
  request.prompt_tokens = 1000.0;
  request.prefix_tokens = 1000.0 * fraction;
  return request;
}

// The replica that each of this many sessions is placed on.
inline std::vector<ReplicaId> placements(ScriptedRouter& router, int sessions = 200) {
  std::vector<ReplicaId> replicas;
  for (int session = 1; session <= sessions; ++session)
    replicas.push_back(router.place(static_cast<std::uint64_t>(session) * 1000003));
  return replicas;
}

}  // namespace flintglade::policy::testing_support
