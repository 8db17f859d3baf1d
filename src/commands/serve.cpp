// The serve command: constructs and connects the packages and runs the event loop. Contains no decision
// logic.
#include <malloc.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admin/metrics.h"
#include "admin/server.h"
#include "commands/clock.h"
#include "commands/commands.h"
#include "commands/fleet_member.h"
#include "commands/hot_restart_coordinator.h"
#include "config/config.h"
#include "config/labels.h"
#include "core/broker.h"
#include "discovery/watch.h"
#include "endpoint_sources/endpoint_sources.h"
#include "hot_restart/limit_partition.h"
#include "hot_restart/process_slots.h"
#include "http/replica_client.h"
#include "http/response_memory.h"
#include "http/server.h"
#include "kserve/credentials.h"
#include "kserve/models.h"
#include "kserve/replica_client.h"
#include "kserve/server.h"
#include "log/log.h"
#include "operator/operator_file.h"
#include "pcap/replay.h"
#include "tls/certificate_provider.h"

namespace flintglade::commands {
namespace {

using core::Micros;
using log::Level;

// Descriptors that are not HTTP connections. kSpareDescriptors: the standard streams, the event loop's own,
// the listener, discovery, and some spare. kGrpcDescriptors: what gRPC is likely to need besides its clients'
// connections.
constexpr std::size_t kSpareDescriptors = 32, kGrpcDescriptors = 64, kFleetDescriptors = 8;
// Client and replica connections share the remaining descriptors: replica connections may always use this
// share, and clients what the recent attempts leave, less some room for new attempts. With a fixed half for
// the clients, hundreds of idle client connections would fill it.
constexpr double kReplicaShare = 0.28;
constexpr std::size_t kRoomForNewAttempts = 6;  // and an eighth of the recent attempts
constexpr int kMaxHandlersPerIteration = 512;
// Larger blocks (bodies, events, backlogs) go back to the system when they are freed. Glibc would otherwise
// raise this limit with each one that is freed, and keep the gaps that they leave in the heap.
constexpr int kSeparateBlockBytes = 128 << 10;
// Responses may hold this part of what requests may hold.
constexpr std::size_t kResponseBudgetDivisor = 2, kMinResponseBudget = 256u << 10;
// How often certificate files are checked for changes, unless the operator's file says otherwise.
constexpr double kDefaultCertificateCheckSeconds = 10.0;
// When clients cannot resume a stream, a stream that is cut off while its replica only paused is lost, and so
// is one that makes its client wait for 5 s. Pauses of over 2 s have been observed at many replicas at once.
constexpr Micros kStallTimeoutWithoutResume = 4 * core::kSecond;
constexpr std::chrono::seconds kFirstNotReadyLogDelay{1}, kNotReadyLogPeriod{30};

config::Labels labels(const config::Config& config) {
  config::Labels result{config.classes, config.tenants, {}};
  for (const auto& c : config.module.classes)
    result.patience.push_back(static_cast<Micros>(c.hard_limit * 1e6));
  return result;
}

Micros longest_hard_limit(const policy::Settings& module) {
  double seconds = 0.0;
  for (const auto& c : module.classes) seconds = std::max(seconds, c.hard_limit);
  return static_cast<Micros>(seconds * 1e6);
}

struct TlsMaterial {
  tls::Material server, replica_client;
};
// Reads the certificates and keys of the KServe server, of the replica client, or both. Returns an empty
// string or an error message.
std::string read_tls_material(const deploy::KServe& file, bool server, bool replica_client,
                              TlsMaterial& out) {
  std::string error;
  if (server) error = tls::CertificateProvider::read(kserve::front_tls_files(file), out.server);
  if (replica_client && error.empty())
    error = tls::CertificateProvider::read(kserve::replica_tls_files(file), out.replica_client);
  return error;
}

double certificate_check_seconds(const auto& tls) {
  return tls.has_look_every_s() ? tls.look_every_s() : kDefaultCertificateCheckSeconds;
}

// Writes one debug line for each trace event: a request is received, rejected or fails, its client
// disconnects; an attempt starts, produces its first event or ends; an endpoint list is applied.
void write_trace(const core::TraceEvent& event) {
  static constexpr std::array<const char*, 8> kNames = {
      "attempt_started", "attempt_ended",        "first_event",      "request_rejected",
      "request_failed",  "endpoint_list_update", "request_received", "client_disconnected"};
  const char* name = kNames[static_cast<std::size_t>(event.kind)];
  if (event.kind == core::TraceEvent::Kind::endpoint_list_update) {
    log::event(Level::debug, name, {{"kind", event.detail}, {"entries", event.entries}});
  } else if (event.kind == core::TraceEvent::Kind::request_received) {
    log::event(Level::debug, name, {{"request", event.request}, {"id", event.detail}});
  } else if (event.kind == core::TraceEvent::Kind::attempt_ended) {
    log::event(Level::debug, name,
               {{"request", event.request},
                {"attempt", event.attempt},
                {"replica", event.replica},
                {"kind", event.replica_kind},
                {"zone", event.replica_zone},
                {"outcome", event.detail},
                {"took_us", event.took},
                {"kept", event.cached_tokens}});
  } else {
    log::event(Level::debug, name,
               {{"request", event.request},
                {"attempt", event.attempt},
                {"replica", event.replica},
                {"outcome", event.detail},
                {"took_us", event.took}});
  }
}

// Runs event loop iterations until the core has stopped. Each waits until a handler is ready or a timer of
// the core is due, runs the ready handlers (at most kMaxHandlersPerIteration), and then the core's iteration.
// Calls before_iteration before each iteration of the core, with whether no ready handler is left, and
// after_iteration after it; on_serving once, when the router is ready for the first time; and close_idle
// once, when a draining router accepts no new clients any more.
void run(boost::asio::io_context& io, core::Broker& broker, const std::function<void(bool)>& before_iteration,
         const std::function<void()>& after_iteration, const std::function<void()>& on_serving,
         const std::function<void()>& close_idle) {
  bool closed_idle = false, was_ready = false;
  while (broker.phase() != core::Phase::stopped) {
    const Micros next_timer = broker.next_timer();
    if (next_timer == core::kNever) {
      io.run_one();
    } else {
      io.run_one_until(std::chrono::steady_clock::time_point(std::chrono::microseconds(next_timer)));
    }
    int handlers = 0;
    while (handlers < kMaxHandlersPerIteration && io.poll_one() > 0) ++handlers;
    before_iteration(handlers < kMaxHandlersPerIteration);
    broker.run_iteration();
    after_iteration();
    if (broker.ready() && !std::exchange(was_ready, true)) on_serving();
    if (broker.phase() == core::Phase::draining && !broker.accepts_new_clients() && !closed_idle) {
      closed_idle = true;
      close_idle();
    }
  }
}

// Where the memory of responses is used up, ends those whose clients read slowest, and then reads the
// replicas that have waited.
void relieve_response_memory(http::HttpServer& server, http::HttpReplicaClient& replica_client,
                             const http::ResponseMemory& memory) {
  using Part = http::ResponseMemory::Part;
  while (replica_client.waits_for_memory() && memory.held() > memory.after_relief()) {
    const bool clients_hold_more = memory.held(Part::unsent) >= memory.held(Part::unforwarded);
    if (clients_hold_more && server.end_slowest_response()) continue;
    if (!replica_client.end_newest_unforwarded() && !server.end_slowest_response()) break;
  }
  replica_client.on_iteration_done();
}

// What requests hold, and what the allocator has taken from the system, in bytes.
void add_memory_fields(const http::MemoryUsage& connections, std::size_t request_bytes,
                       std::vector<log::Field>& fields) {
  const struct mallinfo2 heap = ::mallinfo2();
  fields.emplace_back("client_read_buffer_bytes", connections.read_buffers);
  fields.emplace_back("client_header_bytes", connections.headers);
  fields.emplace_back("client_body_bytes", connections.bodies);
  fields.emplace_back("request_bytes", request_bytes);
  fields.emplace_back("heap_used_bytes", heap.uordblks + heap.hblkhd);
  fields.emplace_back("heap_free_bytes", heap.fordblks);
}

void add_handled_signals(boost::asio::signal_set& signals) {
  for (const int signal : {SIGTERM, SIGINT, SIGUSR1, SIGHUP}) signals.add(signal);
}

// Asio restores a signal's default action, which ends the process, with the last signal_set that has it. This
// one is never destroyed: a signal that comes while the process exits has no effect.
void keep_signal_handlers_until_exit() {
  static auto* const io = new boost::asio::io_context;
  static auto* const signals = new boost::asio::signal_set(*io);
  add_handled_signals(*signals);
}

}  // namespace

int serve(const ServeOptions& options) {
  ::mallopt(M_MMAP_THRESHOLD, kSeparateBlockBytes);
  boost::asio::io_context io(1);
  // The handlers are installed first of all: a signal that arrives during the start is handled after it,
  // whereas the default action of SIGHUP would end the process.
  boost::asio::signal_set signals(io);
  add_handled_signals(signals);
  keep_signal_handlers_until_exit();
  config::Config config;
  deploy::OperatorFile file;
  std::string error = config::load(config);
  if (error.empty() && !options.operator_file.empty())
    error = operator_file::load(options.operator_file, file);
  std::vector<endpoint_sources::SourceSpec> source_specs;
  if (error.empty())
    source_specs = endpoint_sources::sources(file.membership(), config.zones, config.kinds, error);
  if (!error.empty()) return diagnose(error);
  if (file.has_membership()) {
    // DNS has no start times of replicas, and its weights stand for sizes.
    config.module.slots = file.membership().slots() > 0 ? static_cast<int>(file.membership().slots())
                                                        : endpoint_sources::kSlots;
    config.module.weights = policy::WeightSource::nominal;
  }

  MonotonicClock clock;
  const std::size_t reserved_descriptors = std::min(
      config.sockets / 2,
      kSpareDescriptors +
          (file.has_kserve() ? kGrpcDescriptors + 2 * kserve::front_settings(file.kserve()).limits.connections
                             : 0) +
          endpoint_sources::resolver_settings(file.membership().resolver()).outstanding *
              file.has_membership() +
          admin::Server::kDescriptors * !config.admin.host.empty() + kFleetDescriptors * file.has_fleet());
  // Null until the objects are constructed, below.
  http::HttpServer* http_server_pointer = nullptr;
  const http::HttpReplicaClient* http_replica_client_pointer = nullptr;
  const core::Broker* broker_pointer = nullptr;
  // Processes that share the listening socket also share the router's limits.
  const hot_restart::ProcessLimits router_limits{config.sockets, (config.memory_mb << 20) / 4};
  hot_restart::ProcessSlots process_slots;
  if (config.accept_fd >= 0) {
    const absl::Status joined = process_slots.join(config.scratch, config.name);
    if (!joined.ok())
      log::event(Level::warn, "process_slot_unavailable",
                 {{"why", std::string(joined.message())},
                  {"limits", "those of the whole router, as if no other process of it ran"}});
  }
  const auto current_usage = [&] {
    hot_restart::ProcessUsage usage{hot_restart::ProcessStage::starting, reserved_descriptors, 0};
    if (broker_pointer != nullptr && broker_pointer->phase() != core::Phase::starting)
      usage.stage =
          broker_pointer->ready() ? hot_restart::ProcessStage::serving : hot_restart::ProcessStage::draining;
    usage.descriptors +=
        (http_server_pointer != nullptr ? http_server_pointer->connections() : 0) +
        (http_replica_client_pointer != nullptr ? http_replica_client_pointer->connections() : 0);
    if (broker_pointer != nullptr) usage.body_bytes = broker_pointer->received_body_bytes();
    if (http_server_pointer != nullptr) usage.body_bytes += http_server_pointer->memory().total();
    return usage;
  };
  // Publishes what this process uses, and returns the limits that it has now.
  const auto publish_usage_and_get_limits = [&] {
    if (!process_slots.has_slot()) return router_limits;
    const hot_restart::ProcessUsage usage = current_usage();
    process_slots.publish(usage);
    return hot_restart::partition_limits(router_limits, usage, process_slots.others());
  };
  // The number of HTTP connections, from clients and to replicas, within these limits.
  const auto http_connections = [reserved_descriptors](const hot_restart::ProcessLimits& limits) {
    return limits.descriptors - std::min(limits.descriptors, reserved_descriptors);
  };
  const auto max_http_connections = [&publish_usage_and_get_limits, http_connections] {
    return http_connections(publish_usage_and_get_limits());
  };
  const auto replica_share = [](std::size_t connections) {
    return static_cast<std::size_t>(static_cast<double>(connections) * kReplicaShare);
  };
  discovery::Watch watch(io, clock, config.discovery, {config.zones, config.kinds},
                         discovery::BootClock(unix_to_monotonic(clock)),
                         config.module.list_pushed ? discovery::kAgentSilence : discovery::Silence{});
  core::BrokerSettings settings;
  settings.drain_grace = core::write_grace(config.drain_grace);
  settings.answer_grace = config.answer_grace;
  settings.cancel_hold = static_cast<Micros>(file.calls().cancel_hold_s() * 1e6);
  if (!config.module.resume) settings.stall_timeout = kStallTimeoutWithoutResume;
  settings.drain_limit =
      std::min(settings.drain_limit, longest_hard_limit(config.module) + 400 * core::kMilli);
  settings.body_budget = router_limits.body_bytes;
  std::unique_ptr<endpoint_sources::EndpointSources> sources;
  if (file.has_membership())
    sources = std::make_unique<endpoint_sources::EndpointSources>(io, clock, watch, file.membership(),
                                                                  source_specs);
  std::optional<FleetMember> fleet_member;
  if (file.has_fleet()) fleet_member.emplace(io, clock, watch, file.fleet(), config);
  core::EndpointList& endpoint_list = sources        ? static_cast<core::EndpointList&>(*sources)
                                      : fleet_member ? fleet_member->endpoint_list()
                                                     : watch;
  core::Broker broker(settings, config.module, config.seed, clock, endpoint_list);
  broker_pointer = &broker;
  if (log::enabled(Level::debug)) broker.trace(write_trace);
  const auto on_update = [&broker](core::EndpointListUpdate update) {
    broker.on_endpoint_list_update(std::move(update));
  };
  if (sources) {
    sources->set_update_handler(on_update);
  } else {
    watch.set_update_handler(on_update);
  }

  const auto response_memory = std::make_shared<http::ResponseMemory>();
  const auto response_budget = [](const hot_restart::ProcessLimits& limits) {
    return std::max(limits.body_bytes / kResponseBudgetDivisor, kMinResponseBudget);
  };
  response_memory->set_budget(response_budget(router_limits));
  http::ReplicaClientSettings http_settings;
  http_settings.response_memory = response_memory;
  http_settings.dial_timeout = config.dial_timeout;
  http_settings.conn_idle = config.conn_idle;
  http_settings.connection_limit = [&http_server_pointer, max_http_connections, replica_share] {
    const std::size_t all = max_http_connections();
    return std::max(replica_share(all), all - std::min(all, http_server_pointer->connections()));
  };
  http::HttpReplicaClient http_replica_client(io, broker, clock, http_settings);
  http_replica_client_pointer = &http_replica_client;
  broker.attach(core::Wire::http, http_replica_client);
  // How many of all HTTP connections clients leave to replicas, whether or not they are in use.
  const auto reserved_for_replicas = [&http_replica_client, replica_share](std::size_t all) {
    const std::size_t attempts = http_replica_client.recent_attempts();
    return std::max(replica_share(all), attempts + attempts / 8 + kRoomForNewAttempts);
  };
  const auto max_client_connections = [max_http_connections, reserved_for_replicas] {
    const std::size_t all = max_http_connections();
    return all - std::min(all, reserved_for_replicas(all));
  };
  // Idle connections never take a descriptor that a client could use, and a draining process, whose requests
  // end, leaves all of theirs to its successor.
  const auto max_connections_with_idle_ones = [&broker, http_connections, reserved_for_replicas](
                                                  const hot_restart::ProcessLimits& limits) -> std::size_t {
    if (broker.phase() == core::Phase::draining) return 0;
    return reserved_for_replicas(http_connections(limits));
  };
  http::HttpServer http_server(io, broker, clock,
                               {labels(config), max_client_connections, reserved_descriptors / 2,
                                [&broker] { return broker.body_budget(); }, response_memory});
  http_server_pointer = &http_server;
  http_server.on_descriptors_exhausted(
      [&http_replica_client] { return http_replica_client.close_longest_idle(); });
  // Two processes may accept from one inherited socket: a starting process leaves the clients to the one that
  // serves.
  const auto may_accept = [&broker, &process_slots] {
    return broker.phase() != core::Phase::starting ||
           (process_slots.has_slot() && process_slots.others().empty());
  };
  error = config.accept_fd >= 0 ? http_server.listen(config.accept_fd, may_accept)
                                : http_server.listen(config.listen);
  if (!error.empty()) return diagnose(error);
  log::event(Level::info, "listening",
             {{"name", config.name},
              {"wire", "http"},
              {"at", config::host_port(config.listen.host, http_server.port())}});

  // The readiness probe succeeds only after the process slot has published that this process serves: as soon
  // as the probe succeeds, the other process may receive SIGTERM, and then it looks for its successor in the
  // slots.
  bool serving_published = false;
  admin::Server admin(
      io, {[&broker, &serving_published] { return serving_published && broker.ready(); },
           [&broker] { return std::string(to_string(broker.phase())); },
           [&broker, &config] {
             return admin::render({&broker.counters(), config.classes, broker.requests_in_flight(),
                                   broker.listed_replicas(), broker.avoided_replicas()});
           }});
  if (!config.admin.host.empty()) {
    error = admin.listen(config.admin);
    if (!error.empty()) return diagnose(error);
    log::event(Level::info, "listening",
               {{"name", config.name},
                {"wire", "admin"},
                {"at", config::host_port(config.admin.host, admin.port())}});
  }

  std::unique_ptr<tls::CertificateProvider> server_certificates, replica_client_certificates;
  const auto use_tls_material = [&](const deploy::KServe& from, TlsMaterial material, bool for_server,
                                    bool for_replica_client) {
    if (server_certificates && for_server)
      server_certificates->use(kserve::front_tls_files(from), certificate_check_seconds(from.tls()),
                               std::move(material.server));
    if (replica_client_certificates && for_replica_client)
      replica_client_certificates->use(kserve::replica_tls_files(from),
                                       certificate_check_seconds(from.replica_tls()),
                                       std::move(material.replica_client));
  };
  if (file.has_kserve()) {
    kserve::redirect_grpc_log();
    TlsMaterial material;
    error =
        read_tls_material(file.kserve(), file.kserve().has_tls(), file.kserve().has_replica_tls(), material);
    if (!error.empty()) return diagnose(error);
    if (file.kserve().has_tls())
      server_certificates = std::make_unique<tls::CertificateProvider>(io, "front");
    if (file.kserve().has_replica_tls())
      replica_client_certificates = std::make_unique<tls::CertificateProvider>(io, "replicas");
    use_tls_material(file.kserve(), std::move(material), true, true);
  }
  std::unique_ptr<kserve::GrpcReplicaClient> grpc_replica_client;
  std::unique_ptr<kserve::GrpcServer> grpc_server;
  if (file.has_kserve()) {
    const kserve::ServerSettings kserve_settings = kserve::front_settings(file.kserve());
    grpc_replica_client = std::make_unique<kserve::GrpcReplicaClient>(
        io, broker, clock,
        kserve::ReplicaClientSettings{config.dial_timeout, kserve_settings.replica_port,
                                      static_cast<Micros>(kserve_settings.limits.replica_ping_s * 1e6),
                                      replica_client_certificates.get(),
                                      file.kserve().replica_tls().server_name()});
    if (replica_client_certificates)
      replica_client_certificates->on_change(
          [&grpc_replica_client] { grpc_replica_client->reset_channels(); });
    broker.attach(core::Wire::kserve, *grpc_replica_client);
    grpc_server = std::make_unique<kserve::GrpcServer>(io, broker, kserve_settings, labels(config),
                                                       config.name, server_certificates.get());
    if (kserve_settings.replica_metadata.on) {
      grpc_server->set_replica_query(
          clock, [&grpc_replica_client](std::string method, std::string request,
                                        kserve::GrpcServer::AnswerHandler answered) {
            grpc_replica_client->ask(std::move(method), std::move(request), std::move(answered));
          });
    }
    error = grpc_server->listen();
    if (!error.empty()) return diagnose(error);
    log::event(Level::info, "listening",
               {{"name", config.name},
                {"wire", "kserve"},
                {"at", config::host_port(kserve_settings.listen.host, grpc_server->port())}});
  }
  if (sources) {
    sources->start(config.known);
  } else {
    watch.load_cached_list(config.known);
  }

  pcap::Replay replay(io, broker, clock);
  if (!options.replay.empty()) {
    error = replay.open(options.replay, options.record, labels(config));
    if (!error.empty()) return diagnose(error);
    log::event(Level::info, "replay_started",
               {{"requests", replay.source().requests.size()},
                {"packets", replay.source().packets},
                {"skipped", replay.source().skipped},
                {"malformed", replay.source().malformed}});
    replay.start([&broker] { broker.drain(); });
  }

  std::optional<HotRestartCoordinator> hot_restart_coordinator;
  if (process_slots.has_slot())
    hot_restart_coordinator.emplace(io, clock, broker, http_server, http_replica_client, process_slots,
                                    config);

  const auto print_counters = [&] {
    std::vector<log::Field> fields{{"phase", core::to_string(broker.phase())}};
    for (const auto& [name, value] : broker.counters().list()) fields.emplace_back(name, value);
    fields.emplace_back("list_requests", watch.counters().requests);
    fields.emplace_back("list_requests_replaced", watch.counters().requests_replaced);
    fields.emplace_back("replica_connections_opened", http_replica_client.counters().opened);
    fields.emplace_back("replica_connections_reused", http_replica_client.counters().reused);
    fields.emplace_back("unsolicited_responses", http_replica_client.counters().unsolicited_responses);
    fields.emplace_back("client_connections_evicted", http_server.counters().evicted);
    fields.emplace_back("client_requests_refused_for_memory", http_server.counters().refused_for_memory);
    fields.emplace_back("client_unsent_bytes", http_server.unsent_bytes());
    fields.emplace_back("client_responses_ended_for_memory",
                        http_server.counters().responses_ended_for_memory);
    fields.emplace_back("replica_attempts_ended_for_memory", http_replica_client.counters().ended_for_memory);
    fields.emplace_back("replica_unforwarded_bytes", http_replica_client.unforwarded_bytes());
    fields.emplace_back("response_held_bytes", response_memory->held());
    add_memory_fields(http_server.memory(), broker.body_bytes(), fields);
    if (grpc_server) {
      fields.emplace_back("kserve_open_streams", grpc_server->open_calls());
      fields.emplace_back("kserve_streams_rejected", grpc_server->counters().streams_refused);
      fields.emplace_back("kserve_silent_streams", grpc_server->counters().silent_calls);
      fields.emplace_back("kserve_connections", grpc_server->connections().open());
      fields.emplace_back("kserve_connections_rejected", grpc_server->connections().refused());
      fields.emplace_back("kserve_descriptions_asked", grpc_server->counters().descriptions_asked);
      fields.emplace_back("kserve_descriptions_failed", grpc_server->counters().descriptions_failed);
      fields.emplace_back("kserve_denied", grpc_server->counters().denied);
    }
    const auto add_certificate_fields = [&fields](const tls::CertificateProvider* provider,
                                                  const char* loaded, const char* rejected,
                                                  const char* expires) {
      if (provider == nullptr) return;
      fields.emplace_back(loaded, provider->counters().taken);
      fields.emplace_back(rejected, provider->counters().refused);
      fields.emplace_back(expires, provider->expires_in_s());
    };
    add_certificate_fields(server_certificates.get(), "tls_server_loaded", "tls_server_rejected",
                           "tls_server_expires_in_s");
    add_certificate_fields(replica_client_certificates.get(), "tls_replica_loaded", "tls_replica_rejected",
                           "tls_replica_expires_in_s");
    std::vector<std::pair<std::string, std::uint64_t>> source_counters;
    if (sources) source_counters = sources->counters();
    for (const auto& [name, value] : source_counters) fields.emplace_back(name, value);
    fields.emplace_back("log_dropped", log::dropped());
    log::reply("counters", fields);
  };
  // On SIGHUP: reads and checks both files again as at the start; applies both of them or neither.
  const auto reload = [&] {
    config::Config new_config;
    deploy::OperatorFile new_file;
    std::string reload_error = config::reload(new_config);
    if (reload_error.empty() && !options.operator_file.empty())
      reload_error = operator_file::load(options.operator_file, new_file);
    std::vector<endpoint_sources::SourceSpec> new_specs;
    if (reload_error.empty())
      new_specs =
          endpoint_sources::sources(new_file.membership(), new_config.zones, new_config.kinds, reload_error);
    // Turning TLS on or off requires a restart; new certificates and keys do not.
    const bool reload_server_certificates = server_certificates && new_file.kserve().has_tls();
    const bool reload_replica_client_certificates =
        replica_client_certificates && new_file.kserve().has_replica_tls();
    TlsMaterial material;
    if (reload_error.empty())
      reload_error = read_tls_material(new_file.kserve(), reload_server_certificates,
                                       reload_replica_client_certificates, material);
    if (!reload_error.empty()) {
      broker.reload_refused();
      log::event(Level::warn, "reload_rejected",
                 {{"why", reload_error}, {"in_force", "the previous configuration"}});
      return;
    }
    broker.reload(core::write_grace(new_config.drain_grace), new_config.answer_grace,
                  static_cast<Micros>(new_file.calls().cancel_hold_s() * 1e6));
    http_replica_client.reload(new_config.dial_timeout, new_config.conn_idle);
    if (grpc_replica_client) grpc_replica_client->reload(new_config.dial_timeout);
    if (grpc_server && new_file.has_kserve()) grpc_server->reload(kserve::front_settings(new_file.kserve()));
    use_tls_material(new_file.kserve(), std::move(material), reload_server_certificates,
                     reload_replica_client_certificates);
    if (sources && new_file.has_membership()) sources->reload(new_file.membership(), std::move(new_specs));
    watch.set_address(new_config.discovery);
    if (fleet_member) fleet_member->set_discovery(new_config.discovery);
    if (hot_restart_coordinator) hot_restart_coordinator->set_discovery(new_config.discovery);
    const bool all_applied = new_config.fixed == config.fixed &&
                             operator_file::fixed_part(new_file) == operator_file::fixed_part(file);
    log::event(Level::info, "reloaded",
               {{"discovery", config::host_port(new_config.discovery.host, new_config.discovery.port)},
                {"at_next_start", all_applied ? "nothing" : "some of the changes"}});
  };
  // A router that is not ready logs the reason: after kFirstNotReadyLogDelay, then every kNotReadyLogPeriod.
  boost::asio::steady_timer not_ready_timer(io);
  std::function<void(std::chrono::seconds)> log_not_ready_after = [&](std::chrono::seconds delay) {
    not_ready_timer.expires_after(delay);
    not_ready_timer.async_wait([&](boost::system::error_code timer_error) {
      if (timer_error || broker.phase() != core::Phase::starting) return;
      log::event(Level::warn, "not_ready",
                 {{"why", broker.not_ready_reason()},
                  {"sources", sources ? sources->status() : "list at " + watch.status()}});
      log_not_ready_after(kNotReadyLogPeriod);
    });
  };
  log_not_ready_after(kFirstNotReadyLogDelay);
  if (hot_restart_coordinator) hot_restart_coordinator->start();
  if (fleet_member) fleet_member->start(broker);
  std::function<void(boost::system::error_code, int)> on_signal = [&](boost::system::error_code signal_error,
                                                                      int signal) {
    if (signal_error) return;
    if (signal == SIGUSR1) {
      print_counters();
    } else if (signal == SIGHUP) {
      reload();
    } else {
      log::event(Level::info, "drain_started", {{"open", broker.requests_in_flight()}});
      if (fleet_member) fleet_member->leave();
      const bool has_successor = hot_restart_coordinator && hot_restart_coordinator->start_handover();
      broker.drain(has_successor);
      if (config.accept_fd >= 0 && (!hot_restart_coordinator || has_successor)) http_server.stop_accepting();
    }
    signals.async_wait(on_signal);
  };
  signals.async_wait(on_signal);

  run(
      io, broker,
      [&](bool no_handler_ready) {
        // In each iteration, so that the usage that the other processes see is current.
        const hot_restart::ProcessLimits limits = publish_usage_and_get_limits();
        broker.body_budget(limits.body_bytes);
        response_memory->set_budget(response_budget(limits));
        http_server.enforce_memory_budget();
        http_replica_client.close_idle_above(max_connections_with_idle_ones(limits));
        if (no_handler_ready && hot_restart_coordinator) hot_restart_coordinator->migrate_streams();
        if (broker.phase() != core::Phase::draining) return;
        broker.set_partially_read_requests(http_server.partially_read_requests());
        if (!broker.accepts_requests()) http_server.reject_partially_read_requests();
      },
      [&] { relieve_response_memory(http_server, http_replica_client, *response_memory); },
      [&] {
        publish_usage_and_get_limits();
        serving_published = true;
        http_server.recheck_accepting();
      },
      [&] {
        http_server.close_idle();
        if (config.accept_fd >= 0) http_server.stop_accepting();
        if (grpc_server) grpc_server->close_idle();
      });
  log::event(Level::info, "stopped", {{"connections", http_server.connections()}});
  if (grpc_server) grpc_server->stop();
  // gRPC may not have finished cancelled calls yet; each posts to the event loop when it has.
  while (grpc_replica_client && grpc_replica_client->unfinished() > 0)
    io.run_one_for(std::chrono::milliseconds(10));
  print_counters();
  return 0;
}

}  // namespace flintglade::commands
