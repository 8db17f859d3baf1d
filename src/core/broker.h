// The core of the router. It owns the requests in flight, their attempts, the timers and the process's phase.
// It does not decide where a request goes or whether it is rejected: in each event loop iteration it reports
// the events to the decision module (policy::Balancer) and executes the actions that the module requests. It
// depends on no socket and no wire protocol; those are behind the ports (core/ports.h).
//
// Threading: all functions, and all calls that the Broker makes to its ports, run on one thread, the event
// loop's. Times are microseconds on the monotonic clock. No function reports errors or throws by itself:
// calls and events that refer to something unknown (for example a request that has ended) are ignored.
//
// Parts: Broker runs the steps of an iteration in order; RequestHandler, AttemptHandler, FinalResponder,
// EndpointHandler and StreamMigration handle the events, timers and actions; RequestTable, EndpointTable,
// TimerQueue, Lifecycle and Counters hold the state.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "core/attempt_handler.h"
#include "core/broker_context.h"
#include "core/broker_settings.h"
#include "core/counters.h"
#include "core/endpoint_handler.h"
#include "core/final_responder.h"
#include "core/lifecycle.h"
#include "core/ports.h"
#include "core/process_snapshot.h"
#include "core/request_handler.h"
#include "core/stream_migration.h"
#include "flintglade/policy/balancer.h"

namespace flintglade::core {

class Broker final {
 public:
  using ProcessSnapshot = core::ProcessSnapshot;
  using MigratableStream = core::MigratableStream;

  // clock and list are borrowed. seed: for the decision module's random numbers.
  Broker(const BrokerSettings& settings, const policy::Settings& module, std::uint64_t seed, Clock& clock,
         EndpointList& list);

  // Sets the replica client of a wire, which is borrowed. To be called before the first request of that wire.
  void attach(Wire wire, ReplicaClient& replica_client);
  // Sets the listener that gets the trace events; an empty one turns tracing off.
  void trace(TraceListener listener) { context_.trace = std::move(listener); }
  // Sets the state shared by the routers of the fleet, which is borrowed; null: nothing is shared.
  void share(SharedStatePort* shared_state) { context_.shared_state = shared_state; }

  // === Events: queued, and handled in the next iteration ===

  // A server has read a request. Returns 0, and does not accept the request, if an open request has the same
  // trace id, as the replicas could not distinguish the two.
  RequestId on_request(std::shared_ptr<const Request> request,
                       std::shared_ptr<ResponseWriter> response_writer);
  // A server had no memory or descriptors for a request of this class and has rejected it. Only counted.
  void on_request_shed(std::uint32_t request_class);
  void on_client_disconnected(RequestId id);
  // The client, for which ResponseWriter::write_events returned false, can be written to again.
  void on_client_writable(RequestId id);
  // Complete events of a response. The client gets the response of the attempt whose events arrive first.
  void on_attempt_events(AttemptId id, std::string events);
  // cached_tokens: prompt tokens that the replica had cached. report: the replica's load report.
  void on_attempt_ended(AttemptId id, policy::Outcome outcome, std::uint32_t cached_tokens = 0,
                        std::vector<float> report = {});
  // The replica has rejected the request as invalid; no other replica is tried.
  void on_attempt_rejected(AttemptId id);
  // The last byte of an attempt was written to its replica; called once per attempt. Only counted.
  void on_attempt_written() { ++context_.counters.attempts_written; }
  void on_endpoint_list_update(EndpointListUpdate update);
  // Other routers have seen this replica fail: it is treated as unreachable for this duration.
  void on_health_warning(ReplicaId replica, Micros duration);

  // === The event loop ===

  // Handles the queued events and the expired timers, and executes the module's actions.
  void run_iteration();
  // When the next iteration is due even if no event arrives: 0 if events are queued, kNever if there is no
  // timer.
  Micros next_timer() const;
  bool has_work() const { return !context_.events.empty(); }

  // === Phases ===

  Phase phase() const { return context_.lifecycle.phase(); }
  bool ready() const { return phase() == Phase::serving; }
  // A short text for the log, while the phase is starting.
  std::string not_ready_reason() const { return context_.endpoints.not_ready_reason(); }
  // Graceful shutdown: finishes the requests in flight and those that still arrive, then stops.
  // has_successor: another process serves, and streams migrate there once they have started, so there is time
  // to wait for requests that are partially read by now.
  void drain(bool has_successor = false);
  // Whether the router is draining and still accepts clients that connect now.
  bool accepts_new_clients() const { return context_.lifecycle.accepts_new_clients(context_.now); }
  // Whether a request that arrives now is accepted, if there is memory for it.
  bool accepts_requests() const { return context_.lifecycle.accepts_requests(context_.now); }
  // While draining: how many clients are in the middle of sending a request.
  void set_partially_read_requests(std::size_t count) {
    context_.lifecycle.set_partially_read_requests(count, context_.now);
  }

  // === Configuration ===

  // Applies the settings of a reload (SIGHUP) from now on. See BrokerSettings.
  void reload(Micros drain_grace, Micros answer_grace, Micros cancel_hold = 0);
  // A reload was rejected because its file was invalid. Only counted.
  void reload_refused() { ++context_.counters.reloads_rejected; }
  // Sets the budget for request bodies, in bytes, for requests that arrive from now on.
  void body_budget(std::size_t bytes) { context_.settings.body_budget = bytes; }
  std::size_t body_budget() const { return context_.settings.body_budget; }

  // === Hot restart ===

  // The state of this process, for its successor.
  ProcessSnapshot snapshot() const;
  // Restores the state of another process. same_list: the versions of its endpoint list and of this process's
  // list are comparable. This process's list stays in force if it is at least as new. A replica's retirement
  // starts at the earlier of the times at which the two processes first learned of it.
  void adopt(ProcessSnapshot snapshot, bool same_list);

  // The streams of this wire that can migrate now: none with an event queued for the next iteration.
  std::vector<MigratableStream> migratable_streams(Wire wire) const {
    return stream_migration_.migratable_streams(wire);
  }
  // Another process continues the stream. It is removed here, and no final response is counted for it.
  void migrated_out(const MigratableStream& stream) { stream_migration_.migrated_out(stream); }
  // Takes over a stream from another process; its id and attempt are ignored. Returns its id in this process
  // (its attempt is 0). Returns 0, and does not take the stream, if an open request has the same trace id.
  RequestId migrated_in(const MigratableStream& stream) { return stream_migration_.migrated_in(stream); }

  // === Statistics ===

  // Requests without a final response.
  std::size_t requests_in_flight() const { return context_.requests.open_requests(); }
  // Bytes of request bodies held.
  std::size_t body_bytes() const { return context_.requests.body_bytes(); }
  // The same with the requests that wait for the next iteration.
  // Bytes of responses that replicas have sent and that wait for the next iteration.
  std::size_t queued_event_bytes() const { return context_.queued_event_bytes; }
  std::size_t received_body_bytes() const {
    return context_.requests.body_bytes() + context_.requests.queued_body_bytes();
  }
  // Replicas that the current endpoint list has as ready or draining.
  std::size_t listed_replicas() const;
  // Of them, those that are draining or that the module currently avoids.
  std::size_t avoided_replicas() const;
  std::vector<ReplicaId> ready_replicas() const { return context_.endpoints.ready_replicas(); }
  const Counters& counters() const { return context_.counters; }

 private:
  void handle_events();
  void handle_expired_timers();
  void execute_actions();
  void handle(Event& event);
  void handle_expired(Timer& timer);
  void execute(const Action& action);

  Clock& clock_;
  EndpointList& list_;
  BrokerContext context_;
  FinalResponder final_responder_{context_};
  AttemptHandler attempt_handler_{context_, final_responder_};
  RequestHandler request_handler_{context_, final_responder_, attempt_handler_};
  EndpointHandler endpoint_handler_{context_};
  StreamMigration stream_migration_{context_, final_responder_};
};

}  // namespace flintglade::core
