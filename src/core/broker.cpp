#include "core/broker.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flintglade::core {

using policy::Health;
using policy::ListKind;
using policy::Outcome;

namespace {

// The one place where the core's microseconds become the module's seconds, and back.
double to_seconds(Micros t) { return static_cast<double>(t) / 1e6; }
Micros to_micros(double seconds) {
  if (!std::isfinite(seconds) || seconds <= 0.0) return 0;
  return static_cast<Micros>(std::min(seconds, 4300.0) * 1e6);
}

// A call's time-out that is cut to the client's deadline lands a little after it, as in the simulator: the
// module's own alarm for the deadline comes first, and the call then counts as given up, not as timed out.
constexpr Micros kExpirySlack = 5 * kMilli;

}  // namespace

const char* to_string(Phase phase) {
  switch (phase) {
    case Phase::starting:
      return "starting";
    case Phase::serving:
      return "serving";
    case Phase::draining:
      return "draining";
    case Phase::stopped:
      return "stopped";
  }
  return "?";
}

Broker::Broker(BrokerSettings settings, const policy::Settings& module, std::uint64_t seed, Clock& clock,
               EndpointList& list)
    : settings_(settings),
      module_(module, seed, to_seconds(clock.now())),
      clock_(clock),
      list_(list),
      now_(clock.now()) {
  counters_.answers.resize(std::max<std::size_t>(1, module.classes.size()));
}
Broker::~Broker() = default;

std::size_t Broker::replicas_of(Health health) const {
  return static_cast<std::size_t>(std::count_if(replicas_.begin(), replicas_.end(), [health](const auto& r) {
    return r.second.replica.health == health;
  }));
}
std::size_t Broker::listed_replicas() const {
  return replicas_of(Health::ready) + replicas_of(Health::draining);
}
std::vector<ReplicaId> Broker::ready_replicas() const {
  std::vector<ReplicaId> out;
  for (const auto& [id, entry] : replicas_) {
    if (entry.replica.health == Health::ready) out.push_back(id);
  }
  return out;
}
std::size_t Broker::avoided_replicas() const {
  return replicas_of(Health::draining) + module_.avoided(to_seconds(clock_.now()));
}

void Broker::attach(Wire wire, ReplicaClient& subchannels) {
  replica_clients_[static_cast<std::size_t>(wire)] = &subchannels;
}

// ---- gathering
// ----------------------------------------------------------------------------------------------

RequestId Broker::on_request(std::shared_ptr<const Request> rpc,
                             std::shared_ptr<ResponseWriter> response_writer) {
  if (!open_ids_.insert(rpc->trace_id).second) {
    ++count(rpc->request_class).failed;  // whichever front it came by, it says so
    return 0;
  }
  const RequestId id = ++last_id_;
  gathered_.push_back(Arrived{id, std::move(rpc), std::move(response_writer)});
  return id;
}
void Broker::on_attempt_rejected(AttemptId id) { gathered_.push_back(Rejected{id}); }
void Broker::on_client_disconnected(RequestId id) { gathered_.push_back(Gone{id}); }
void Broker::on_client_writable(RequestId id) { gathered_.push_back(Writable{id}); }
void Broker::on_attempt_events(AttemptId id, std::string events) {
  gathered_.push_back(Events{id, std::move(events)});
}
void Broker::on_attempt_ended(AttemptId id, Outcome outcome, std::uint32_t kept, std::vector<float> report) {
  gathered_.push_back(Ended{id, outcome, kept, std::move(report)});
}
void Broker::on_health_warning(ReplicaId replica, Micros span) {
  gathered_.emplace_back(std::in_place_type<Warned>, replica, span);
}
void Broker::on_endpoint_list_update(EndpointListUpdate news) { gathered_.push_back(std::move(news)); }

// ---- between processes
// ---------------------------------------------------------------------------------------

Broker::ProcessSnapshot Broker::snapshot() const {
  ProcessSnapshot out;
  out.version = version_;
  for (const auto& [id, entry] : replicas_) {
    const auto word = retired_.find(id);
    const bool fresh = word != retired_.end() && now_ < word->second.since + settings_.list_lag;
    if (fresh) out.retired.push_back({id, word->second.since, word->second.version});
    if (fresh || entry.replica.health != Health::gone) out.entries.push_back(entry);
  }
  out.learned = module_.learned();
  return out;
}

void Broker::adopt(ProcessSnapshot from, bool same_list) {
  now_ = clock_.now();
  ++counters_.snapshots_restored;
  const bool ours = same_list ? from.version <= version_ : listed_;
  heard_ = listed_ = true;
  for (const ProcessSnapshot::RetiredReplica& word : from.retired) {
    const auto held = replicas_.find(word.replica);
    if (ours && (held == replicas_.end() || held->second.replica.health == Health::ready)) continue;
    Retired& retired = retired_.try_emplace(word.replica, Retired{word.since, word.version}).first->second;
    retired.since = std::min(retired.since, word.since);
    for (ReplicaClient* s : replica_clients_) {
      if (s != nullptr && held != replicas_.end())
        s->update_endpoint(held->second, retired.since + settings_.drain_grace);
    }
  }
  if (!ours) {
    EndpointListUpdate news;
    news.kind = ListKind::cached;  // no watch of ours has brought it: the module still asks
    news.version = from.version;
    news.entries = std::move(from.entries);
    take(news);
  }
  serve_if_ready();
  module_.adopt(to_seconds(now_), std::move(from.learned), *this);
}

// ---- answers that move
// ---------------------------------------------------------------------------------------

std::vector<Broker::MigratableStream> Broker::migratable_streams(Wire wire) const {
  std::unordered_set<RequestId> busy;
  for (const Event& event : gathered_) {
    if (const auto* e = std::get_if<Events>(&event)) busy.insert(e->id.request);
    if (const auto* e = std::get_if<Ended>(&event)) busy.insert(e->id.request);
    if (const auto* e = std::get_if<Rejected>(&event)) busy.insert(e->id.request);
    if (const auto* e = std::get_if<Gone>(&event)) busy.insert(e->id);
    if (const auto* e = std::get_if<Writable>(&event)) busy.insert(e->id);
  }
  std::vector<MigratableStream> out;
  for (const auto& [id, rpc] : rpcs_) {
    if (rpc.over() || rpc.bound < 0 || rpc.held_up || rpc.request->wire != wire || busy.count(id) > 0)
      continue;
    const auto attempts_out =
        std::count_if(rpc.calls.begin(), rpc.calls.end(), [](const AttemptState& c) { return c.out; });
    const AttemptState& call = rpc.calls[static_cast<std::size_t>(rpc.bound)];
    if (attempts_out != 1 || !call.out) continue;
    out.push_back({id,
                   {id, static_cast<std::uint32_t>(rpc.bound)},
                   call.replica,
                   rpc.came,
                   rpc.last_event,
                   rpc.request,
                   rpc.response_writer});
  }
  return out;
}

void Broker::migrated_out(const MigratableStream& r) {
  Rpc* rpc = nullptr;
  AttemptState* call = find_out(r.call, rpc);
  if (call == nullptr || rpc->over()) return;
  ++counters_.streams_migrated_out;
  call->out = false;
  close(*rpc);
  module_.on_client_disconnected(to_seconds(now_), r.id, *this);
  policy::AttemptResult gone;
  gone.id = r.id;
  gone.attempt = r.call.attempt;
  gone.replica = r.replica;
  gone.outcome = Outcome::moot;  // to this process's module: nothing is learned of how it ends
  gone.closed = true;
  module_.on_attempt_result(to_seconds(now_), gone, *this);
  drop_if_done(r.id, *rpc);
}

RequestId Broker::migrated_in(const MigratableStream& r) {
  if (!open_ids_.insert(r.request->trace_id).second) return 0;
  const RequestId id = ++last_id_;
  Rpc& rpc = rpcs_[id];
  rpc.request = r.request;
  rpc.response_writer = r.response_writer;
  rpc.came = r.came;
  rpc.deadline = kNever;  // met: it has its first event
  rpc.last_event = r.last_event;
  rpc.bound = 0;
  rpc.calls.push_back({r.replica, r.came, true, false});
  ++open_;
  ++counters_.streams_migrated_in;
  wake(r.last_event + settings_.stall_timeout, StallCheck{{id, 0}});
  return id;
}

// ---- the turn
// -----------------------------------------------------------------------------------------------

void Broker::run_iteration() {
  now_ = clock_.now();
  ++counters_.iterations;
  // What is gathered while the turn runs (a call that fails at once, say) belongs to the next turn.
  std::deque<Event> events;
  events.swap(gathered_);
  for (Event& event : events) {
    std::visit([this](auto& e) { take(e); }, event);
  }
  while (!alarms_.empty() && alarms_.top().at <= now_) {
    const Alarm alarm = alarms_.top();
    alarms_.pop();
    ring(alarm);
  }
  std::vector<Action> actions;
  actions.swap(actions_);
  for (const Action& action : actions) {
    std::visit([this](const auto& a) { carry_out(a); }, action);
  }
  forget_ended();
  if (phase_ == Phase::draining && rpcs_.empty() && now_ >= drained_at()) phase_ = Phase::stopped;
  counters_.longest_iteration_us =
      std::max(counters_.longest_iteration_us, static_cast<std::uint64_t>(clock_.now() - now_));
}

Micros Broker::next_timer() const {
  Micros at = alarms_.empty() ? kNever : alarms_.top().at;
  if (phase_ == Phase::draining && rpcs_.empty()) at = std::min(at, drained_at());
  if (accepts_new_clients()) at = std::min(at, drain_from_ + settings_.drain_accept_window);
  if (phase_ == Phase::draining && accepts_requests()) at = std::min(at, takes_until());
  return gathered_.empty() ? at : 0;
}

void Broker::reload(Micros drain_grace, Micros answer_grace, Micros cancel_hold) {
  ++counters_.reloads;
  settings_.drain_grace = drain_grace;
  settings_.answer_grace = answer_grace;
  settings_.cancel_hold = cancel_hold;
}

void Broker::drain(bool followed) {
  if (phase_ == Phase::draining || phase_ == Phase::stopped) return;
  phase_ = Phase::draining;
  followed_ = followed;
  drain_from_ = clock_.now();
  for (const auto& [id, rpc] : rpcs_) {
    for (std::uint32_t i = 0; rpc.over() && i < rpc.calls.size(); ++i) wake(drain_from_, HoldEnd{{id, i}});
    if (!rpc.over()) wake(drain_from_ + settings_.drain_limit, Overdue{id});
  }
}
// Seen on a rolling restart: a process that ends resets its connections, and answers that it had just given
// were lost on their way.
Micros Broker::drained_at() const {
  const Micros quiet = half_read_ > 0 ? takes_until() : drain_from_ + settings_.drain_accept_window;
  return std::max(quiet, answered_) + settings_.final_response_grace;
}
Micros Broker::takes_until() const {
  return drain_from_ +
         (followed_ ? settings_.drain_accept_window_with_successor : settings_.drain_accept_window);
}
bool Broker::accepts_requests() const {
  return phase_ != Phase::stopped && (phase_ != Phase::draining || now_ < takes_until());
}
void Broker::set_partially_read_requests(std::size_t half) {
  half_read_ = half;
  // They are refused by now, and are owed the time for that to reach them.
  if (half > 0 && !accepts_requests()) answered_ = std::min(now_, drain_from_ + settings_.drain_limit);
}
bool Broker::accepts_new_clients() const {
  return phase_ == Phase::draining && now_ < drain_from_ + settings_.drain_accept_window;
}

std::string Broker::not_ready_reason() const {
  if (!listed_) return heard_ ? "no list yet: every ask has failed" : "no list yet";
  if (replicas_.empty()) return "the list is empty";
  return "none of " + std::to_string(replicas_.size()) + " replicas is ready";
}

Broker::Rpc* Broker::find(RequestId id) {
  const auto it = rpcs_.find(id);
  return it == rpcs_.end() ? nullptr : &it->second;
}
Broker::AttemptState* Broker::find_out(AttemptId id, Rpc*& rpc) {
  rpc = find(id.request);
  if (rpc == nullptr || id.attempt >= rpc->calls.size() || !rpc->calls[id.attempt].out) return nullptr;
  return &rpc->calls[id.attempt];
}
ReplicaClient& Broker::replica_client(const Rpc& rpc) const {
  return *replica_clients_[static_cast<std::size_t>(rpc.request->wire)];
}

// ---- what happened
// ------------------------------------------------------------------------------------------

void Broker::take(Arrived& e) {
  ++counters_.requests;
  if (trace_) trace_({TraceEvent::Kind::request_received, e.id, 0, 0, e.request->trace_id});
  counters_.client_retries += e.request->is_retry;
  counters_.requests_resumed += e.request->resumed;
  // The bodies of waiting RPCs are the router's largest use of memory; past the budget a new one is refused
  // on the spot, rather than the process be killed with all it holds. So is one that comes on a connection
  // kept for long into a drain: it could be open still when the process is killed, and would be lost.
  const bool too_late = !accepts_requests();
  if (too_late || body_bytes_ + e.request->bytes() > settings_.body_budget) {
    ++(too_late ? counters_.requests_rejected : counters_.requests_shed);
    return refuse_unseen(e, kSecond);
  }
  SharedStatePort::QuotaDecision quota;
  if (shared_state_ != nullptr) quota = shared_state_->check_quota(now_, *e.request);
  if (quota.status == SharedStatePort::QuotaStatus::refused) {
    ++counters_.requests_over_quota;
    return refuse_unseen(e, quota.retry_after);
  }
  Rpc& rpc = rpcs_[e.id];
  rpc.request = std::move(e.request);
  rpc.response_writer = std::move(e.response_writer);
  rpc.came = now_;
  rpc.deadline = now_ + rpc.request->patience;
  body_bytes_ += rpc.request->bytes();
  ++open_;
  wake(rpc.deadline + settings_.answer_grace, Overdue{e.id});
  if (phase_ == Phase::draining) wake(drain_from_ + settings_.drain_limit, Overdue{e.id});
  const Request& r = *rpc.request;
  policy::NewRequest q;
  q.id = e.id;
  q.request_class = r.request_class;
  q.tenant = r.tenant;
  q.key = r.session;
  q.deadline = to_seconds(rpc.deadline);
  q.prefix_id = r.prefix;
  q.prompt_tokens = r.prompt_tokens;
  q.prefix_tokens = r.prefix_tokens;
  q.output_cap = r.output_cap;
  q.hint = r.work_hint;
  q.is_retry = r.is_retry;
  q.resumed = r.resumed;
  if (quota.status != SharedStatePort::QuotaStatus::unknown)
    q.quota_status = quota.status == SharedStatePort::QuotaStatus::over ? policy::QuotaStatus::over
                                                                        : policy::QuotaStatus::within;
  module_.on_request(to_seconds(now_), q, *this);
}

void Broker::refuse_unseen(Arrived& e, Micros again) {
  ++count(e.request->request_class).refused;
  open_ids_.erase(e.request->trace_id);
  if (shared_state_ != nullptr)
    shared_state_->on_request_finished(*e.request, SharedStatePort::RequestOutcome::refused);
  e.response_writer->reject(again, false);
}

void Broker::take(Warned& e) { module_.on_health_warning(to_seconds(now_), e.replica, to_seconds(e.span)); }

void Broker::take(Gone& e) {
  Rpc* rpc = find(e.id);
  if (rpc == nullptr || rpc->over()) return;
  ++counters_.clients_disconnected;
  if (trace_) trace_({TraceEvent::Kind::client_disconnected, e.id, 0, 0, "", now_ - rpc->came});
  close(*rpc);
  module_.on_client_disconnected(to_seconds(now_), e.id, *this);
  // The stream's own attempt is the core's to end: the module may not cancel one that has started. Its
  // replica may work on; its outcome is told all the same.
  const auto calls = static_cast<std::uint32_t>(rpc->calls.size());
  for (std::uint32_t i = 0; i < calls; ++i) {
    // Looked up each time: the last call's end drops the RPC.
    AttemptState* call = find_out({e.id, i}, rpc);
    if (call != nullptr)
      settings_.cancel_hold > 0 ? hold({e.id, i}, *rpc, *call)
                                : cancel_call({e.id, i}, *rpc, *call, Outcome::cancelled);
  }
  if ((rpc = find(e.id)) != nullptr) drop_if_done(e.id, *rpc);
}

// A request that a replica cannot use is the client's fault. It says nothing of the replica, whose health
// would sink under bad clients otherwise, and no other replica is asked.
void Broker::take(Rejected& e) {
  Rpc* rpc = nullptr;
  AttemptState* call = find_out(e.id, rpc);
  if (call == nullptr) return;
  if (!rpc->over() && rpc->bound < 0) {
    ++counters_.requests_failed;
    ++counters_.requests_invalid;
    close(*rpc, &Answers::failed)->fail(Failure::rejected);
    module_.on_client_disconnected(to_seconds(now_), e.id.request, *this);
  }
  end_call(e.id, *rpc, *call, Outcome::cancelled);
}

void Broker::take(Writable& e) {
  Rpc* rpc = find(e.id);
  if (rpc == nullptr || rpc->over() || !rpc->held_up) return;
  rpc->held_up = false;
  rpc->last_event = now_;
  if (rpc->bound >= 0)
    replica_client(*rpc).pause_attempt({e.id, static_cast<std::uint32_t>(rpc->bound)}, false);
}

void Broker::take(Events& e) {
  Rpc* rpc = nullptr;
  AttemptState* call = find_out(e.id, rpc);
  if (call == nullptr || call->stopped) return;
  if (rpc->over() || (rpc->bound >= 0 && rpc->bound != static_cast<int>(e.id.attempt))) {
    // Another attempt's stream was first, or the RPC is over: this one is of no use to anybody.
    return cancel_call(e.id, *rpc, *call, Outcome::cancelled);
  }
  if (rpc->bound < 0) {
    bind(e.id, *rpc, *call);
    wake(now_ + settings_.stall_timeout, StallCheck{e.id});
  }
  rpc->last_event = now_;
  if (!rpc->response_writer->write_events(e.bytes) && !rpc->held_up) {
    rpc->held_up = true;
    ++counters_.slow_clients;
    replica_client(*rpc).pause_attempt(e.id, true);
  }
}

void Broker::take(Ended& e) {
  Rpc* rpc = nullptr;
  AttemptState* call = find_out(e.id, rpc);
  if (call == nullptr) return;
  if (e.outcome == Outcome::ok && rpc->bound < 0 && !rpc->over() && !call->stopped &&
      rpc->request->may_be_empty)
    bind(e.id, *rpc, *call);
  end_call(e.id, *rpc, *call, e.outcome, e.kept, std::move(e.report));
}

void Broker::take(EndpointListUpdate& e) {
  if (e.kind == ListKind::failed) {
    ++counters_.list_failures;
  } else {
    ++counters_.on_endpoint_list_update;
  }
  static constexpr std::array<const char*, 4> kKinds = {"changes", "known", "whole", "failed"};
  if (trace_)
    trace_({TraceEvent::Kind::endpoint_list_update, 0, 0, 0, kKinds[static_cast<std::size_t>(e.kind)], 0,
            e.entries.size()});
  if (e.kind != ListKind::cached) heard_ = true;
  if (e.kind != ListKind::failed) version_ = e.version;
  if (e.kind == ListKind::full || e.kind == ListKind::delta) listed_ = true;
  policy::EndpointListChange change;
  change.kind = e.kind;
  change.version = e.version;
  if (e.kind == ListKind::full || e.kind == ListKind::cached) {
    // Whoever is missing from a full list is gone.
    std::unordered_set<ReplicaId> listed;
    for (const Endpoint& entry : e.entries) listed.insert(entry.replica.id);
    for (auto& [id, known] : replicas_) {
      if (listed.count(id) > 0 || known.replica.health == Health::gone) continue;
      e.entries.push_back(known);
      if (std::find(e.unreadable.begin(), e.unreadable.end(), id) != e.unreadable.end()) continue;
      e.entries.back().replica.health = Health::gone;
    }
  }
  std::erase_if(e.entries, [&](const Endpoint& entry) {
    const Retired* retired = overtaken_by(entry, e);
    if (retired == nullptr) return false;
    wake(retired->since + settings_.list_lag, Untold{entry, e.version, retired->since});
    return true;
  });
  for (const Endpoint& entry : e.entries) {
    change.replicas.push_back(entry.replica);
    const ReplicaId id = entry.replica.id;
    replicas_[id] = entry;
    if (entry.replica.health == Health::ready) {
      retired_.erase(id);
    } else {
      Retired& retired = retired_.try_emplace(id, Retired{now_, e.version}).first->second;
      retired.version = std::max(retired.version, e.version);  // the time is that of the first word
    }
    const auto retired = retired_.find(id);
    for (ReplicaClient* s : replica_clients_) {
      if (s != nullptr)
        s->update_endpoint(
            entry, retired == retired_.end() ? kNever : retired->second.since + settings_.drain_grace);
    }
  }
  serve_if_ready();
  module_.on_endpoint_list(to_seconds(now_), change, *this);
}

void Broker::serve_if_ready() {
  if (phase_ == Phase::starting && heard_ && replicas_of(Health::ready) > 0) phase_ = Phase::serving;
}

// Discovery that has moved may tell a whole list that is older than the word of a drain: believed, it would
// send new work to a replica that was told to drain. A replica that has started anew is another matter.
const Broker::Retired* Broker::overtaken_by(const Endpoint& entry, const EndpointListUpdate& news) const {
  const auto it = retired_.find(entry.replica.id);
  const auto held = replicas_.find(entry.replica.id);
  if (it == retired_.end() || held == replicas_.end() || entry.replica.health != Health::ready)
    return nullptr;
  const Retired& retired = it->second;
  const bool overtaken = news.version < retired.version && now_ < retired.since + settings_.list_lag &&
                         entry.replica.started_at <= held->second.replica.started_at;
  return overtaken ? &retired : nullptr;
}

// ---- alarms
// -------------------------------------------------------------------------------------------------

void Broker::wake(Micros at, What what) { alarms_.push(Alarm{at, ++alarms_set_, what}); }

void Broker::ring(const Alarm& alarm) {
  if (const auto* m = std::get_if<ModuleAlarm>(&alarm.what)) {
    module_.on_timer(to_seconds(now_), m->cookie, *this);
  } else if (const auto* c = std::get_if<AttemptExpiry>(&alarm.what)) {
    Rpc* rpc = nullptr;
    AttemptState* call = find_out(c->id, rpc);
    // A stream that the client already reads has no time-out any more.
    if (call == nullptr || call->stopped || rpc->bound == static_cast<int>(c->id.attempt)) return;
    cancel_call(c->id, *rpc, *call, Outcome::timeout);
  } else if (const auto* s = std::get_if<StallCheck>(&alarm.what)) {
    Rpc* rpc = nullptr;
    AttemptState* call = find_out(s->id, rpc);
    if (call == nullptr || rpc->over()) return;
    const Micros quiet = rpc->held_up ? 0 : now_ - rpc->last_event;
    if (quiet < settings_.stall_timeout)
      return wake(now_ + settings_.stall_timeout - quiet, StallCheck{s->id});
    // A machine that vanished in the middle of an answer says nothing, and TCP does not notice. The client is
    // better off with a broken stream, whose rest it can ask for, than with a silent one.
    ++counters_.streams_stalled;
    cancel_call(s->id, *rpc, *call, Outcome::reset);
  } else if (const auto* h = std::get_if<HoldEnd>(&alarm.what)) {
    Rpc* rpc = nullptr;
    AttemptState* call = find_out(h->id, rpc);
    if (call != nullptr && call->held) end_call(h->id, *rpc, *call, Outcome::cancelled);
  } else if (const auto* u = std::get_if<Untold>(&alarm.what)) {
    const auto retired = retired_.find(u->entry.replica.id);
    if (retired == retired_.end() || retired->second.since != u->since) return;
    EndpointListUpdate news;
    news.kind = ListKind::delta;
    news.version = u->version;
    news.entries.push_back(u->entry);
    take(news);
  } else if (const auto* o = std::get_if<Overdue>(&alarm.what)) {
    give_up(o->id);
  }
}

// The module owes every RPC an answer by its deadline. Should it not have given one, the client gets it from
// here, and the module is told that the RPC is over. In a drain, the process may be killed before that.
void Broker::give_up(RequestId id) {
  Rpc* rpc = find(id);
  if (rpc == nullptr || rpc->over() || rpc->bound >= 0) return;
  ++counters_.requests_overdue;
  ++counters_.requests_failed;
  if (trace_) trace_({TraceEvent::Kind::request_failed, id, 0, 0, "overdue", now_ - rpc->came});
  close(*rpc, &Answers::failed)->fail(now_ >= rpc->deadline ? Failure::deadline : Failure::error);
  module_.on_client_disconnected(to_seconds(now_), id, *this);
  drop_if_done(id, *rpc);
}

// ---- calls
// --------------------------------------------------------------------------------------------------

std::shared_ptr<ResponseWriter> Broker::close(Rpc& rpc) {
  --open_;
  answered_ = now_;
  open_ids_.erase(rpc.request->trace_id);
  return std::exchange(rpc.response_writer, nullptr);
}
std::shared_ptr<ResponseWriter> Broker::close(Rpc& rpc, std::uint64_t Answers::*as) {
  ++(count(rpc.request->request_class).*as);
  if (shared_state_ != nullptr)
    shared_state_->on_request_finished(*rpc.request,
                                       as == &Answers::served    ? SharedStatePort::RequestOutcome::served
                                       : as == &Answers::refused ? SharedStatePort::RequestOutcome::refused
                                                                 : SharedStatePort::RequestOutcome::failed);
  return close(rpc);
}

void Broker::drop_if_done(RequestId id, const Rpc& rpc) {
  if (!rpc.over()) return;
  if (std::any_of(rpc.calls.begin(), rpc.calls.end(), [](const AttemptState& c) { return c.out; })) return;
  ended_.push_back(id);
}

// The module may have asked for an attempt in the very turn in which the RPC ended, its client gone, say.
// That attempt is never sent, but the module is owed its outcome: until it has that, the RPC stays.
void Broker::forget_ended() {
  for (const RequestId id : std::exchange(ended_, {})) {
    const auto it = rpcs_.find(id);
    if (it == rpcs_.end()) continue;
    const Rpc& rpc = it->second;
    if (std::any_of(rpc.calls.begin(), rpc.calls.end(), [](const AttemptState& c) { return c.out; }))
      continue;
    body_bytes_ -= rpc.request->bytes();
    rpcs_.erase(it);
  }
}

// The client gets this attempt's answer, and no other's.
void Broker::bind(AttemptId id, Rpc& rpc, const AttemptState& call) {
  rpc.bound = static_cast<int>(id.attempt);
  policy::FirstEvent a;
  a.id = id.request;
  a.attempt = id.attempt;
  a.replica = call.replica;
  a.latency = to_seconds(now_ - call.sent);
  if (shared_state_ != nullptr) shared_state_->on_first_event(now_, call.replica);
  if (trace_)
    trace_({TraceEvent::Kind::first_event, id.request, id.attempt, call.replica, "", now_ - call.sent});
  module_.on_first_event(to_seconds(now_), a, *this);
}

// Its client is gone, and a replica may well work on: engines often finish what they have begun. The call is
// given up now; that its place is free the module learns after the hold, or at once in a drain.
void Broker::hold(AttemptId id, Rpc& rpc, AttemptState& call) {
  replica_client(rpc).cancel_attempt(id);
  call.stopped = call.held = true;
  ++counters_.attempts_held;
  if (!rpc.request->body.empty()) {
    const auto bare = std::make_shared<Request>();
    bare->wire = rpc.request->wire;
    body_bytes_ -= rpc.request->bytes();
    rpc.request = bare;
  }
  wake(now_ + (phase_ == Phase::draining ? 0 : settings_.cancel_hold), HoldEnd{id});
}

void Broker::cancel_call(AttemptId id, Rpc& rpc, AttemptState& call, Outcome outcome) {
  replica_client(rpc).cancel_attempt(id);
  end_call(id, rpc, call, outcome);
}

// Every attempt gets one outcome, whatever became of its RPC.
void Broker::end_call(AttemptId id, Rpc& rpc, AttemptState& call, Outcome outcome, std::uint32_t kept,
                      std::vector<float> report) {
  call.out = false;
  const bool bound = rpc.bound == static_cast<int>(id.attempt);
  // An answer that ended in the very turn in which its call was stopped has reached nobody.
  if (outcome == Outcome::ok && !bound) outcome = Outcome::cancelled;
  const std::size_t which = static_cast<std::size_t>(outcome) % counters_.outcomes.size();
  ++counters_.outcomes[which];
  if (shared_state_ != nullptr) shared_state_->on_attempt_ended(now_, call.replica, outcome);
  if (trace_)
    trace_({TraceEvent::Kind::attempt_ended, id.request, id.attempt, call.replica, kOutcomes[which],
            now_ - call.sent, 0, kept, replicas_[call.replica].replica.kind,
            replicas_[call.replica].replica.zone});
  if (!rpc.over() && outcome == Outcome::ok && bound) {
    ++counters_.requests_served;
    close(rpc, &Answers::served)->finish();
  } else if (!rpc.over() && bound) {
    ++counters_.streams_broken;
    close(rpc, &Answers::failed)->abort_stream();
  }
  policy::AttemptResult r;
  r.id = id.request;
  r.attempt = id.attempt;
  r.replica = call.replica;
  r.outcome = outcome;
  r.latency = to_seconds(now_ - call.sent);
  r.closed = rpc.over();
  r.note = kept;
  r.report = std::move(report);
  module_.on_attempt_result(to_seconds(now_), r, *this);
  drop_if_done(id.request, rpc);
}

// ---- the module's actions
// -----------------------------------------------------------------------------------

void Broker::attempt(RequestId id, ReplicaId replica, double allow_for) {
  actions_.push_back(Attempt{id, replica, allow_for});
}
void Broker::reject(RequestId id, double not_before_for) { actions_.push_back(Reject{id, not_before_for}); }
void Broker::fail(RequestId id) { actions_.push_back(Fail{id}); }
void Broker::stop_attempt(RequestId id, std::uint16_t attempt) {
  actions_.push_back(StopAttempt{{id, attempt}});
}
void Broker::set_timer(double span, std::uint64_t cookie) { actions_.push_back(SetTimer{span, cookie}); }
void Broker::subscribe(bool on) { actions_.push_back(Subscribe{on}); }

void Broker::carry_out(const Attempt& a) {
  Rpc* rpc = find(a.id);
  if (rpc == nullptr) return;
  const AttemptId id{a.id, static_cast<std::uint32_t>(rpc->calls.size())};
  rpc->calls.push_back({a.replica, now_, true, false});
  if (rpc->over() || rpc->bound >= 0 || now_ >= rpc->deadline) {
    return on_attempt_ended(id, Outcome::moot);  // never sent; the module learns it in the next turn
  }
  ++counters_.attempts;
  if (id.attempt > 0) ++counters_.further_attempts;
  if (trace_) trace_({TraceEvent::Kind::attempt_started, a.id, id.attempt, a.replica, "", now_ - rpc->came});
  const Micros left = rpc->deadline - now_;
  const Micros allowed = a.allow_for == 0.0 ? left : std::min(left, to_micros(a.allow_for));
  wake(now_ + allowed + (allowed == left ? kExpirySlack : 0), AttemptExpiry{id});
  replica_client(*rpc).start_attempt(id, a.replica, rpc->request, allowed);
}

void Broker::carry_out(const Reject& a) {
  Rpc* rpc = find(a.id);
  if (rpc == nullptr || rpc->over() || rpc->bound >= 0) return;
  ++counters_.requests_rejected;
  if (trace_) trace_({TraceEvent::Kind::request_rejected, a.id, 0, 0, "", now_ - rpc->came});
  close(*rpc, &Answers::refused)->reject(to_micros(a.not_before_for), now_ >= rpc->deadline);
  drop_if_done(a.id, *rpc);
}

void Broker::carry_out(const Fail& a) {
  Rpc* rpc = find(a.id);
  if (rpc == nullptr || rpc->over() || rpc->bound >= 0) return;
  ++counters_.requests_failed;
  if (trace_) trace_({TraceEvent::Kind::request_failed, a.id, 0, 0, "", now_ - rpc->came});
  close(*rpc, &Answers::failed)->fail(now_ >= rpc->deadline ? Failure::deadline : Failure::error);
  drop_if_done(a.id, *rpc);
}

void Broker::carry_out(const StopAttempt& a) {
  Rpc* rpc = nullptr;
  AttemptState* call = find_out(a.id, rpc);
  if (call == nullptr || call->held || rpc->bound == static_cast<int>(a.id.attempt)) return;
  call->stopped = true;
  // The connection goes now; the outcome is told in the next turn, since the module is not to be called
  // while its actions are carried out.
  replica_client(*rpc).cancel_attempt(a.id);
  on_attempt_ended(a.id, Outcome::cancelled);
}

void Broker::carry_out(const SetTimer& a) { wake(now_ + to_micros(a.span), ModuleAlarm{a.cookie}); }
void Broker::carry_out(const Subscribe& a) { list_.subscribe(a.on); }

}  // namespace flintglade::core
