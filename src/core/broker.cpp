#include "core/broker.h"

#include <algorithm>
#include <deque>
#include <optional>
#include <utility>
#include <variant>

#include "core/overloaded.h"

namespace flintglade::core {

using policy::Health;
using policy::Outcome;

Broker::Broker(const BrokerSettings& settings, const policy::Settings& module, std::uint64_t seed,
               Clock& clock, EndpointList& list)
    : clock_(clock), list_(list), context_(settings, module, seed, clock.now()) {}

void Broker::run_iteration() {
  context_.now = clock_.now();
  Counters& counters = context_.counters;
  ++counters.iterations;
  handle_events();
  handle_expired_timers();
  execute_actions();
  context_.requests.erase_finished();
  context_.lifecycle.stop_if_drained(context_.now, context_.requests.empty());
  const auto duration = static_cast<std::uint64_t>(clock_.now() - context_.now);
  counters.longest_iteration_us = std::max(counters.longest_iteration_us, duration);
}

void Broker::handle_events() {
  // An event that arrives while these are handled (for example from an attempt that fails immediately) is
  // left for the next iteration.
  std::deque<Event> events;
  events.swap(context_.events);
  for (Event& event : events) handle(event);
}

// In a late iteration several timers are due. The actions of one are executed before the next one is handled,
// so that the result is the same as if each had been handled on time. Timers that these set, even if already
// due, are left for the next iteration.
void Broker::handle_expired_timers() {
  std::vector<Timer> expired;
  while (std::optional<Timer> timer = context_.timers.pop_expired(context_.now))
    expired.push_back(*std::move(timer));
  for (Timer& timer : expired) {
    handle_expired(timer);
    execute_actions();
  }
}

void Broker::execute_actions() {
  for (const Action& action : context_.actions.take()) execute(action);
}

void Broker::handle(Event& event) {
  std::visit(Overloaded{
                 [this](RequestReceived& e) { request_handler_.handle(e); },
                 [this](const ClientDisconnected& e) { request_handler_.handle(e); },
                 [this](const ClientWritable& e) { request_handler_.handle(e); },
                 [this](AttemptEvents& e) { attempt_handler_.handle(e); },
                 [this](AttemptEnded& e) { attempt_handler_.handle(e); },
                 [this](const AttemptRejected& e) { attempt_handler_.handle(e); },
                 [this](EndpointListUpdate& e) { endpoint_handler_.handle(e); },
                 [this](const HealthWarning& e) { endpoint_handler_.handle(e); },
             },
             event);
}

void Broker::handle_expired(Timer& timer) {
  std::visit(Overloaded{
                 [this](const ModuleTimer& t) {
                   context_.module.on_timer(context_.now_seconds(), t.cookie, context_.actions);
                 },
                 [this](const RequestDeadline& t) { request_handler_.handle_expired(t); },
                 [this](const AttemptTimeout& t) { attempt_handler_.handle_expired(t); },
                 [this](const StallCheck& t) { attempt_handler_.handle_expired(t); },
                 [this](const CancelHoldExpiry& t) { attempt_handler_.handle_expired(t); },
                 [this](StaleEntryExpiry& t) { endpoint_handler_.handle_expired(t); },
             },
             timer);
}

void Broker::execute(const Action& action) {
  std::visit(Overloaded{
                 [this](const StartAttempt& a) { attempt_handler_.execute(a); },
                 [this](const StopAttempt& a) { attempt_handler_.execute(a); },
                 [this](const RejectRequest& a) { request_handler_.execute(a); },
                 [this](const FailRequest& a) { request_handler_.execute(a); },
                 [this](const SetModuleTimer& a) {
                   context_.timers.set(context_.now + to_micros(a.delay_seconds), ModuleTimer{a.cookie});
                 },
                 [this](const SubscribeToList& a) { list_.subscribe(a.on); },
             },
             action);
}

Micros Broker::next_timer() const {
  if (has_work()) return 0;
  const Micros lifecycle = context_.lifecycle.next_timer(context_.now, context_.requests.empty());
  return std::min(context_.timers.next_expiry(), lifecycle);
}

void Broker::attach(Wire wire, ReplicaClient& replica_client) {
  context_.replica_clients[static_cast<std::size_t>(wire)] = &replica_client;
}

RequestId Broker::on_request(std::shared_ptr<const Request> request,
                             std::shared_ptr<ResponseWriter> response_writer) {
  const RequestId id = context_.requests.reserve(request->trace_id);
  if (id == 0) {
    // The server sends the error to the client.
    ++context_.counters.answers_of(request->request_class).failed;
    return 0;
  }
  context_.requests.count_queued_body(*request);
  context_.events.emplace_back(RequestReceived{id, std::move(request), std::move(response_writer)});
  return id;
}

void Broker::on_request_shed(std::uint32_t request_class) {
  ++context_.counters.requests_shed;
  ++context_.counters.answers_of(request_class).refused;
}

void Broker::on_client_disconnected(RequestId id) { context_.events.emplace_back(ClientDisconnected{id}); }

void Broker::on_client_writable(RequestId id) { context_.events.emplace_back(ClientWritable{id}); }

void Broker::on_attempt_events(AttemptId id, std::string events) {
  context_.queued_event_bytes += events.size();
  context_.events.emplace_back(AttemptEvents{id, std::move(events)});
}

void Broker::on_attempt_ended(AttemptId id, Outcome outcome, std::uint32_t cached_tokens,
                              std::vector<float> report) {
  context_.events.emplace_back(AttemptEnded{id, outcome, cached_tokens, std::move(report)});
}

void Broker::on_attempt_rejected(AttemptId id) { context_.events.emplace_back(AttemptRejected{id}); }

void Broker::on_endpoint_list_update(EndpointListUpdate update) {
  context_.events.emplace_back(std::move(update));
}

void Broker::on_health_warning(ReplicaId replica, Micros duration) {
  context_.events.emplace_back(HealthWarning{replica, duration});
}

void Broker::drain(bool has_successor) {
  if (context_.lifecycle.drain(clock_.now(), has_successor)) request_handler_.on_drain_started();
}

void Broker::reload(Micros drain_grace, Micros answer_grace, Micros cancel_hold) {
  ++context_.counters.reloads;
  context_.settings.drain_grace = drain_grace;
  context_.settings.answer_grace = answer_grace;
  context_.settings.cancel_hold = cancel_hold;
}

Broker::ProcessSnapshot Broker::snapshot() const {
  ProcessSnapshot snapshot = context_.endpoints.snapshot(context_.now);
  snapshot.learned = context_.module.learned();
  return snapshot;
}

void Broker::adopt(ProcessSnapshot snapshot, bool same_list) {
  context_.now = clock_.now();
  endpoint_handler_.restore(std::move(snapshot), same_list);
}

std::size_t Broker::listed_replicas() const {
  return context_.endpoints.count(Health::ready) + context_.endpoints.count(Health::draining);
}

std::size_t Broker::avoided_replicas() const {
  return context_.endpoints.count(Health::draining) + context_.module.avoided(to_seconds(clock_.now()));
}

}  // namespace flintglade::core
