// A scripted router for the tests: drives one Balancer through its interface and keeps what it asked for.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "flintglade/policy/balancer.h"

namespace flintglade::policy::testing_support {

struct Action {
  enum Kind { attempt, reject, fail, stop, alarm, subscribe } kind;
  RequestId id = 0;
  ReplicaId replica = 0;
  double span = 0.0;
  std::uint64_t number = 0;  // attempt index or cookie
};

class Script : public ActionSink {
 public:
  explicit Script(Settings s, std::uint64_t seed = 1, double start = 100.0)
      : now(start), b(std::move(s), seed, start) {}

  void attempt(RequestId id, ReplicaId w, double allow) override {
    add({Action::attempt, id, w, allow, tries[id]++});
  }
  void reject(RequestId id, double after) override { add({Action::reject, id, 0, after, 0}); }
  void fail(RequestId id) override { add({Action::fail, id, 0, 0, 0}); }
  void stop_attempt(RequestId id, std::uint16_t n) override { add({Action::stop, id, 0, 0, n}); }
  void set_timer(double span, std::uint64_t cookie) override {
    alarms.emplace(now + span, cookie);
    add({Action::alarm, 0, 0, span, cookie});
  }
  void subscribe(bool) override { add({Action::subscribe, 0, 0, 0, 0}); }

  void list(ListKind kind, std::vector<Replica> replicas) {
    b.on_endpoint_list(now, {kind, 1, std::move(replicas)}, *this);
  }
  void query(NewRequest q) {
    if (q.deadline == 0.0) q.deadline = now + 5.0;
    b.on_request(now, q, *this);
  }
  void respond(RequestId id, std::uint32_t n, Outcome o, bool closed, std::uint32_t kept = 0) {
    AttemptResult r;
    r.id = id;
    r.attempt = n;
    r.outcome = o;
    r.closed = closed;
    r.note = kept;
    b.on_attempt_result(now, r, *this);
  }
  void accept(RequestId id, std::uint32_t n) {
    FirstEvent a;
    a.id = id;
    a.attempt = n;
    b.on_first_event(now, a, *this);
  }
  // Moves the clock on, firing the alarms that fall due.
  void run_to(double t) {
    while (!alarms.empty() && alarms.begin()->first <= t) {
      const auto [at, cookie] = *alarms.begin();
      alarms.erase(alarms.begin());
      now = std::max(now, at);
      b.on_timer(now, cookie, *this);
    }
    now = t;
  }
  std::vector<Action> of(Action::Kind kind, RequestId id = 0) const {
    std::vector<Action> found;
    for (const Action& a : log) {
      if (a.kind == kind && (id == 0 || a.id == id)) found.push_back(a);
    }
    return found;
  }
  std::size_t finals(RequestId id) const {
    return of(Action::reject, id).size() + of(Action::fail, id).size();
  }
  ReplicaId placed(std::uint64_t session) {  // where a request of this session goes first
    const RequestId id = next_id++;
    NewRequest q;
    q.id = id;
    q.key = session;
    query(q);
    const auto sent = of(Action::attempt, id);
    if (sent.empty()) return 0;
    b.on_client_disconnected(now, id, *this);  // which says nothing of the replica
    respond(id, 0, Outcome::cancelled, true);
    return sent[0].replica;
  }

  double now;
  Balancer b;
  std::vector<Action> log;
  std::multimap<double, std::uint64_t> alarms;
  std::map<RequestId, std::uint64_t> tries;
  RequestId next_id = 1'000'000;

 private:
  void add(Action a) { log.push_back(a); }
};

inline Settings plain() {
  Settings s;
  ClassSettings c;
  c.latency_objective = 1.0;
  c.hard_limit = 5.0;
  c.streamed = true;
  s.classes = {c};
  s.max_attempts = 4;
  s.may_cancel = true;
  s.may_duplicate = true;
  s.cold_from = 0.2;
  s.cold_s = 20.0;
  return s;
}
inline Replica warm_replica(ReplicaId id, double started_at = 0.0) {
  Replica w;
  w.id = id;
  w.health = Health::ready;
  w.started_at = started_at;
  return w;
}
inline std::vector<Replica> fleet(int n) {
  std::vector<Replica> all;
  for (int i = 1; i <= n; ++i) all.push_back(warm_replica(static_cast<ReplicaId>(i) * 7919));
  return all;
}
inline std::uint64_t mixed(std::uint64_t x) { return (x + 1) * 0x9e3779b97f4a7c15ull; }
inline NewRequest ask(RequestId id, std::uint64_t session, double deadline = 0.0) {
  NewRequest q;
  q.id = id;
  q.key = session;
  q.deadline = deadline;
  return q;
}

}  // namespace flintglade::policy::testing_support
