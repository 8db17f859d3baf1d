// The core of the router. It owns the requests in flight, their attempts, the timers and the process's phase,
// and decides nothing about where a request goes or whether it is rejected: once an iteration of the event
// loop it tells the decision module (policy::Balancer) what happened, and executes what the module asks for.
// It knows no socket and no wire; those are behind the ports (core/ports.h).
//
// Threading: all functions, and all calls that the Broker makes to its ports, are on one thread, the event
// loop's. Times are microseconds on the monotonic clock. No function fails or throws of itself: what is not
// known any more (a request that has ended, say) is passed over.
//
// Parts: Broker, the order of one iteration; RequestHandler, AttemptHandler, FinalResponder, EndpointHandler
// and StreamMigration, what is done with each event, timer and action; RequestTable, EndpointTable,
// TimerQueue, Lifecycle and Counters, the state.
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

  // clock and list are borrowed. seed: of the decision module's random draws.
  Broker(const BrokerSettings& settings, const policy::Settings& module, std::uint64_t seed, Clock& clock,
         EndpointList& list);

  // Sets the replica client of a wire, which is borrowed. Before the first request of that wire.
  void attach(Wire wire, ReplicaClient& replica_client);
  // Sets who is told what the core does; an empty one tells nobody.
  void trace(TraceListener listener) { context_.trace = std::move(listener); }
  // Sets what the routers of the fleet share, which is borrowed; null: each router for itself.
  void share(SharedStatePort* shared_state) { context_.shared_state = shared_state; }

  // === Events: gathered, and handled in the next iteration ===

  // A request that a server has read. Returns 0, and takes nothing, if an open request has the same trace id,
  // as the replicas could not tell the two apart.
  RequestId on_request(std::shared_ptr<const Request> request,
                       std::shared_ptr<ResponseWriter> response_writer);
  // A server had no room for a request of this class, and has rejected it. Only counted.
  void on_request_shed(std::uint32_t request_class);
  void on_client_disconnected(RequestId id);
  // The client, for which ResponseWriter::write_events had returned false, can be written to again.
  void on_client_writable(RequestId id);
  // Whole events of an answer. The attempt whose first ones come first is the one whose answer the client
  // gets.
  void on_attempt_events(AttemptId id, std::string events);
  // cached_tokens: prompt tokens that the replica had cached. report: its load report.
  void on_attempt_ended(AttemptId id, policy::Outcome outcome, std::uint32_t cached_tokens = 0,
                        std::vector<float> report = {});
  // The replica says that the request itself is at fault; no other replica is asked.
  void on_attempt_rejected(AttemptId id);
  // The last byte of an attempt is written; once for each. Only counted.
  void on_attempt_written() { ++context_.counters.attempts_written; }
  void on_endpoint_list_update(EndpointListUpdate update);
  // Other routers have seen this replica fail: it is passed over for so long, as if it could not be reached.
  void on_health_warning(ReplicaId replica, Micros span);

  // === The event loop ===

  // Handles the gathered events and the expired timers, and executes the module's actions.
  void run_iteration();
  // When the next iteration is due even if nothing happens: 0 if events are gathered, kNever if there is no
  // timer.
  Micros next_timer() const;
  bool has_work() const { return !context_.events.empty(); }

  // === Phases ===

  Phase phase() const { return context_.lifecycle.phase(); }
  bool ready() const { return phase() == Phase::serving; }
  // In a few words, while the phase is starting.
  std::string not_ready_reason() const { return context_.endpoints.not_ready_reason(); }
  // Graceful shutdown: finishes the requests in flight and those that still come, then stops. has_successor:
  // another process serves, and answers migrate there once they have begun; requests that are partially read
  // by now can be waited for.
  void drain(bool has_successor = false);
  // Draining, and clients that connect now are still accepted.
  bool accepts_new_clients() const { return context_.lifecycle.accepts_new_clients(context_.now); }
  // Requests that come now are taken, where there is memory for them.
  bool accepts_requests() const { return context_.lifecycle.accepts_requests(context_.now); }
  // While draining: how many clients are in the middle of sending a request.
  void set_partially_read_requests(std::size_t count) {
    context_.lifecycle.set_partially_read_requests(count, context_.now);
  }

  // === Configuration ===

  // Settings of a reload (SIGHUP), for what happens from now on. See BrokerSettings.
  void reload(Micros drain_grace, Micros answer_grace, Micros cancel_hold = 0);
  // A reload whose file could not be used. Only counted.
  void reload_refused() { ++context_.counters.reloads_rejected; }
  // Sets the budget for request bodies, in bytes, for what comes from now on.
  void body_budget(std::size_t bytes) { context_.settings.body_budget = bytes; }

  // === Hot restart ===

  // What this process knows, for the one that takes its place.
  ProcessSnapshot snapshot() const;
  // Takes over what another process knew. same_list: versions of its endpoint list can be compared with those
  // of ours. A list of ours that is as new stays in force, and each replica's retirement begins when either
  // process first knew of it.
  void adopt(ProcessSnapshot snapshot, bool same_list);

  // The streams of this wire that can migrate now: none that has an event gathered for the next iteration.
  std::vector<MigratableStream> migratable_streams(Wire wire) const {
    return stream_migration_.migratable_streams(wire);
  }
  // Another process goes on with the stream. It is forgotten here, and no final response of it is counted.
  void migrated_out(const MigratableStream& stream) { stream_migration_.migrated_out(stream); }
  // Takes a stream from another process; its id and attempt are ignored. Returns its id here (its attempt is
  // 0), or 0, with nothing taken, if an open request has the same trace id.
  RequestId migrated_in(const MigratableStream& stream) { return stream_migration_.migrated_in(stream); }

  // === Figures ===

  // Requests without a final response.
  std::size_t requests_in_flight() const { return context_.requests.open_requests(); }
  // Bytes of request bodies held.
  std::size_t body_bytes() const { return context_.requests.body_bytes(); }
  // Replicas that are not gone, by the list held.
  std::size_t listed_replicas() const;
  // Of them, those that the module now avoids or that drain.
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
