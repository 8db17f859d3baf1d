// The real router: wires the packages together and runs the loop. It decides nothing.
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

// Descriptors outside the HTTP pools: the standard streams, the loop's own, listener and discovery, and some
// spare; and what gRPC is likely to want beside its clients' connections.
constexpr std::size_t kSpareDescriptors = 32, kGrpcDescriptors = 64, kFleetDescriptors = 8;
// The rest is shared by both sides: replicas may always have this part of it, and clients what replicas
// leave, with some room for calls to come. Clients by the hundreds that say nothing would fill a fixed half.
constexpr double kReplicaPart = 0.28;
constexpr int kMostHandlersATurn = 512;
constexpr double kLookEvery = 10.0;  // seconds between looks at certificates
// Where clients can't ask for the rest, a stream that is cut off while its replica only paused is lost, and
// one that leaves its client waiting for 5 s is too. Seen: gaps of over 2 s at many replicas at once.
constexpr Micros kLongestGap = 4 * core::kSecond;
constexpr std::chrono::seconds kFirstUnready{1}, kTellUnready{30};

config::Labels labels(const config::Config& config) {
  config::Labels out{config.classes, config.tenants, {}};
  for (const auto& c : config.module.classes) out.patience.push_back(static_cast<Micros>(c.hard_limit * 1e6));
  return out;
}

Micros longest(const policy::Settings& module) {
  double seconds = 0.0;
  for (const auto& c : module.classes) seconds = std::max(seconds, c.hard_limit);
  return static_cast<Micros>(seconds * 1e6);
}

struct Keys {
  tls::Material front, replica;
};
std::string read_keys(const deploy::KServe& file, bool front, bool replica, Keys& out) {
  std::string error;
  if (front) error = tls::CertificateProvider::read(kserve::front_tls_files(file), out.front);
  if (replica && error.empty())
    error = tls::CertificateProvider::read(kserve::replica_tls_files(file), out.replica);
  return error;
}

double look_every(const auto& tls) { return tls.has_look_every_s() ? tls.look_every_s() : kLookEvery; }

// One debug line an RPC's coming, refusal, failure or its client's going, a call attempt's start, first event
// and end, and a list.
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

// Waits until something is ready or an alarm is due, runs what is ready, and takes the core through its turn.
// before: each turn; told whether every handler that was ready has run.
void run(boost::asio::io_context& io, core::Broker& broker, const std::function<void(bool)>& before,
         const std::function<void()>& serving, const std::function<void()>& close_idle) {
  bool closed_idle = false, served = false;
  while (broker.phase() != core::Phase::stopped) {
    const Micros alarm = broker.next_timer();
    if (alarm == core::kNever) {
      io.run_one();
    } else {
      io.run_one_until(std::chrono::steady_clock::time_point(std::chrono::microseconds(alarm)));
    }
    int handlers = 0;
    while (handlers < kMostHandlersATurn && io.poll_one() > 0) ++handlers;
    before(handlers < kMostHandlersATurn);
    broker.run_iteration();
    if (broker.ready() && !std::exchange(served, true)) serving();
    if (broker.phase() == core::Phase::draining && !broker.accepts_new_clients() && !closed_idle) {
      closed_idle = true;
      close_idle();
    }
  }
}

}  // namespace

int serve(const ServeOptions& options) {
  boost::asio::io_context io(1);
  // Taken from the first moment on: a signal that comes before the router is up waits until it is, where the
  // default of SIGHUP would end the process.
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGUSR1);
  signals.add(SIGHUP);
  config::Config config;
  deploy::OperatorFile file;
  std::string error = config::load(config);
  if (error.empty() && !options.operator_file.empty())
    error = operator_file::load(options.operator_file, file);
  std::vector<endpoint_sources::SourceSpec> specs;
  if (error.empty()) specs = endpoint_sources::sources(file.membership(), config.zones, config.kinds, error);
  if (!error.empty()) return diagnose(error);
  if (file.has_membership()) {
    // DNS tells no start times, and its weights are sizes.
    config.module.slots = file.membership().slots() > 0 ? static_cast<int>(file.membership().slots())
                                                        : endpoint_sources::kSlots;
    config.module.weights = policy::WeightSource::nominal;
  }

  MonotonicClock clock;
  const std::size_t reserved = std::min(
      config.sockets / 2,
      kSpareDescriptors +
          (file.has_kserve() ? kGrpcDescriptors + 2 * kserve::front_settings(file.kserve()).limits.connections
                             : 0) +
          endpoint_sources::resolver_settings(file.membership().resolver()).outstanding *
              file.has_membership() +
          admin::Server::kDescriptors * !config.admin.host.empty() + kFleetDescriptors * file.has_fleet());
  http::HttpServer* front = nullptr;
  const http::HttpReplicaClient* replicas = nullptr;
  const core::Broker* core = nullptr;
  // Processes that share the clients' socket share the router's limits as well.
  const hot_restart::ProcessLimits whole{config.sockets, (config.memory_mb << 20) / 4};
  hot_restart::ProcessSlots process_slots;
  if (config.accept_fd >= 0) {
    const absl::Status joined = process_slots.join(config.scratch, config.name);
    if (!joined.ok())
      log::event(Level::warn, "process_slot_unavailable",
                 {{"why", std::string(joined.message())}, {"limits", "as if alone"}});
  }
  const auto use = [&] {
    hot_restart::ProcessUsage out{hot_restart::ProcessStage::starting, reserved, 0};
    if (core != nullptr && core->phase() != core::Phase::starting)
      out.stage = core->ready() ? hot_restart::ProcessStage::serving : hot_restart::ProcessStage::draining;
    out.descriptors +=
        (front != nullptr ? front->connections() : 0) + (replicas != nullptr ? replicas->connections() : 0);
    if (core != nullptr) out.body_bytes = core->body_bytes();
    return out;
  };
  const auto mine = [&] {
    if (!process_slots.has_slot()) return whole;
    const hot_restart::ProcessUsage now = use();
    process_slots.publish(now);
    return hot_restart::partition_limits(whole, now, process_slots.others());
  };
  const auto shared = [&mine, reserved] {
    const std::size_t sockets = mine().descriptors;
    return sockets - std::min(sockets, reserved);
  };
  const auto replica_part = [](std::size_t of) {
    return static_cast<std::size_t>(static_cast<double>(of) * kReplicaPart);
  };
  discovery::Watch watch(io, clock, config.discovery, {config.zones, config.kinds},
                         discovery::BootClock(unix_to_monotonic(clock)),
                         config.module.list_pushed ? discovery::kAgentSilence : discovery::Silence{});
  core::BrokerSettings settings;
  settings.drain_grace = core::write_grace(config.drain_grace);
  settings.answer_grace = config.answer_grace;
  settings.cancel_hold = static_cast<Micros>(file.calls().cancel_hold_s() * 1e6);
  if (!config.module.resume) settings.stall_timeout = kLongestGap;
  settings.drain_limit = std::min(settings.drain_limit, longest(config.module) + 400 * core::kMilli);
  settings.body_budget = whole.body_bytes;
  std::unique_ptr<endpoint_sources::EndpointSources> sources;
  if (file.has_membership())
    sources = std::make_unique<endpoint_sources::EndpointSources>(io, clock, watch, file.membership(), specs);
  std::optional<FleetMember> fleet_member;
  if (file.has_fleet()) fleet_member.emplace(io, clock, watch, file.fleet(), config);
  core::EndpointList& list = sources        ? static_cast<core::EndpointList&>(*sources)
                             : fleet_member ? fleet_member->list()
                                            : watch;
  core::Broker broker(settings, config.module, config.seed, clock, list);
  core = &broker;
  if (log::enabled(Level::debug)) broker.trace(write_trace);
  const auto told = [&broker](core::EndpointListUpdate news) {
    broker.on_endpoint_list_update(std::move(news));
  };
  if (sources) {
    sources->tell(told);
  } else {
    watch.tell(told);
  }

  http::ReplicaClientSettings http_settings;
  http_settings.dial_timeout = config.dial_timeout;
  http_settings.conn_idle = config.conn_idle;
  http_settings.room = [&front, shared, replica_part] {
    const std::size_t all = shared();
    return std::max(replica_part(all), all - std::min(all, front->connections()));
  };
  http::HttpReplicaClient http_subchannels(io, broker, clock, http_settings);
  replicas = &http_subchannels;
  broker.attach(core::Wire::http, http_subchannels);
  const auto client_room = [&http_subchannels, shared, replica_part] {
    const std::size_t all = shared(), calls = http_subchannels.connections();
    return all - std::min(all, std::max(replica_part(all), calls + calls / 8 + 6));
  };
  http::HttpServer http_front(io, broker, clock, {labels(config), client_room, reserved / 2});
  front = &http_front;
  http_front.on_exhausted([&http_subchannels] { return http_subchannels.shed_idle(); });
  // One inherited socket may have two processes at it: one that starts leaves its queue to the one that
  // serves.
  const auto open = [&broker, &process_slots] {
    return broker.phase() != core::Phase::starting ||
           (process_slots.has_slot() && process_slots.others().empty());
  };
  error =
      config.accept_fd >= 0 ? http_front.listen(config.accept_fd, open) : http_front.listen(config.listen);
  if (!error.empty()) return diagnose(error);
  log::event(Level::info, "listening",
             {{"name", config.name},
              {"wire", "http"},
              {"at", config::host_port(config.listen.host, http_front.port())}});

  // A yes is heard only once our seat says so too: the other process may be told to end at that very moment.
  bool announced = false;
  admin::Server admin(
      io, {[&broker, &announced] { return announced && broker.ready(); },
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

  std::unique_ptr<tls::CertificateProvider> front_keys, replica_keys;
  const auto use_keys = [&](const deploy::KServe& from, Keys keys, bool front_too, bool replica_too) {
    if (front_keys && front_too)
      front_keys->use(kserve::front_tls_files(from), look_every(from.tls()), std::move(keys.front));
    if (replica_keys && replica_too)
      replica_keys->use(kserve::replica_tls_files(from), look_every(from.replica_tls()),
                        std::move(keys.replica));
  };
  if (file.has_kserve()) {
    kserve::redirect_grpc_log();
    Keys keys;
    error = read_keys(file.kserve(), file.kserve().has_tls(), file.kserve().has_replica_tls(), keys);
    if (!error.empty()) return diagnose(error);
    if (file.kserve().has_tls()) front_keys = std::make_unique<tls::CertificateProvider>(io, "front");
    if (file.kserve().has_replica_tls())
      replica_keys = std::make_unique<tls::CertificateProvider>(io, "replicas");
    use_keys(file.kserve(), std::move(keys), true, true);
  }
  std::unique_ptr<kserve::GrpcReplicaClient> grpc_subchannels;
  std::unique_ptr<kserve::GrpcServer> grpc_front;
  if (file.has_kserve()) {
    const kserve::ServerSettings kserve_front = kserve::front_settings(file.kserve());
    grpc_subchannels = std::make_unique<kserve::GrpcReplicaClient>(
        io, broker, clock,
        kserve::ReplicaClientSettings{config.dial_timeout, kserve_front.replica_port,
                                      static_cast<Micros>(kserve_front.limits.replica_ping_s * 1e6),
                                      replica_keys.get(), file.kserve().replica_tls().server_name()});
    if (replica_keys) replica_keys->on_change([&grpc_subchannels] { grpc_subchannels->reset_channels(); });
    broker.attach(core::Wire::kserve, *grpc_subchannels);
    grpc_front = std::make_unique<kserve::GrpcServer>(io, broker, kserve_front, labels(config), config.name,
                                                      front_keys.get());
    if (kserve_front.replica_metadata.on) {
      grpc_front->set_replica_query(clock, [&grpc_subchannels](std::string method, std::string question,
                                                               kserve::GrpcServer::AnswerHandler answered) {
        grpc_subchannels->ask(std::move(method), std::move(question), std::move(answered));
      });
    }
    error = grpc_front->listen();
    if (!error.empty()) return diagnose(error);
    log::event(Level::info, "listening",
               {{"name", config.name},
                {"wire", "kserve"},
                {"at", config::host_port(kserve_front.listen.host, grpc_front->port())}});
  }
  if (sources) {
    sources->start(config.known);
  } else {
    watch.known(config.known);
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

  std::optional<HotRestartCoordinator> handoff;
  if (process_slots.has_slot())
    handoff.emplace(io, clock, broker, http_front, http_subchannels, process_slots, config);

  const auto print_counters = [&] {
    std::vector<log::Field> fields{{"phase", core::to_string(broker.phase())}};
    for (const auto& [name, value] : broker.counters().list()) fields.emplace_back(name, value);
    if (grpc_front) {
      fields.emplace_back("kserve_open_streams", grpc_front->open_calls());
      fields.emplace_back("kserve_streams_rejected", grpc_front->counters().streams_refused);
      fields.emplace_back("kserve_silent_streams", grpc_front->counters().silent_calls);
      fields.emplace_back("kserve_connections", grpc_front->connections().open());
      fields.emplace_back("kserve_connections_rejected", grpc_front->connections().refused());
      fields.emplace_back("kserve_descriptions_asked", grpc_front->counters().descriptions_asked);
      fields.emplace_back("kserve_descriptions_failed", grpc_front->counters().descriptions_failed);
      fields.emplace_back("kserve_denied", grpc_front->counters().denied);
    }
    const auto add_keys = [&fields](const tls::CertificateProvider* keys, const char* taken,
                                    const char* refused, const char* expires) {
      if (keys == nullptr) return;
      fields.emplace_back(taken, keys->counters().taken);
      fields.emplace_back(refused, keys->counters().refused);
      fields.emplace_back(expires, keys->expires_in_s());
    };
    add_keys(front_keys.get(), "tls_server_loaded", "tls_server_rejected", "tls_server_expires_in_s");
    add_keys(replica_keys.get(), "tls_replica_loaded", "tls_replica_rejected", "tls_replica_expires_in_s");
    std::vector<std::pair<std::string, std::uint64_t>> of_sources;
    if (sources) of_sources = sources->counters();
    for (const auto& [name, value] : of_sources) fields.emplace_back(name, value);
    fields.emplace_back("log_dropped", log::dropped());
    log::reply("counters", fields);
  };
  // SIGHUP: both files are read again and checked as at the start, and are taken over together or not at all.
  const auto reload = [&] {
    config::Config fresh;
    deploy::OperatorFile fresh_file;
    std::string wrong = config::reload(fresh);
    if (wrong.empty() && !options.operator_file.empty())
      wrong = operator_file::load(options.operator_file, fresh_file);
    std::vector<endpoint_sources::SourceSpec> fresh_specs;
    if (wrong.empty())
      fresh_specs = endpoint_sources::sources(fresh_file.membership(), fresh.zones, fresh.kinds, wrong);
    // Whether there is TLS at all takes a start; with what keys does not.
    const bool fresh_front = front_keys && fresh_file.kserve().has_tls();
    const bool fresh_replica = replica_keys && fresh_file.kserve().has_replica_tls();
    Keys keys;
    if (wrong.empty()) wrong = read_keys(fresh_file.kserve(), fresh_front, fresh_replica, keys);
    if (!wrong.empty()) {
      broker.reload_refused();
      log::event(Level::warn, "reload_rejected", {{"why", wrong}, {"in_force", "the old configuration"}});
      return;
    }
    broker.reload(core::write_grace(fresh.drain_grace), fresh.answer_grace,
                  static_cast<Micros>(fresh_file.calls().cancel_hold_s() * 1e6));
    http_subchannels.reload(fresh.dial_timeout, fresh.conn_idle);
    if (grpc_subchannels) grpc_subchannels->reload(fresh.dial_timeout);
    if (grpc_front && fresh_file.has_kserve())
      grpc_front->reload(kserve::front_settings(fresh_file.kserve()));
    use_keys(fresh_file.kserve(), std::move(keys), fresh_front, fresh_replica);
    if (sources && fresh_file.has_membership())
      sources->reload(fresh_file.membership(), std::move(fresh_specs));
    watch.move(fresh.discovery);
    if (fleet_member) fleet_member->moved(fresh.discovery);
    if (handoff) handoff->set_discovery(fresh.discovery);
    const bool all = fresh.fixed == config.fixed &&
                     operator_file::fixed_part(fresh_file) == operator_file::fixed_part(file);
    log::event(Level::info, "reloaded",
               {{"discovery", config::host_port(fresh.discovery.host, fresh.discovery.port)},
                {"at_next_start", all ? "nothing" : "some of what changed"}});
  };
  // A router that is not ready says why: soon, and then now and again.
  boost::asio::steady_timer unready(io);
  std::function<void(std::chrono::seconds)> tell_unready = [&](std::chrono::seconds in) {
    unready.expires_after(in);
    unready.async_wait([&](boost::system::error_code ec) {
      if (ec || broker.phase() != core::Phase::starting) return;
      log::event(Level::warn, "not_ready",
                 {{"why", broker.not_ready_reason()},
                  {"sources", sources ? sources->status() : "list at " + watch.status()}});
      tell_unready(kTellUnready);
    });
  };
  tell_unready(kFirstUnready);
  if (handoff) handoff->start();
  if (fleet_member) fleet_member->start(broker);
  std::function<void(boost::system::error_code, int)> on_signal = [&](boost::system::error_code ec,
                                                                      int signal) {
    if (ec) return;
    if (signal == SIGUSR1) {
      print_counters();
    } else if (signal == SIGHUP) {
      reload();
    } else {
      log::event(Level::info, "drain_started", {{"open", broker.requests_in_flight()}});
      if (fleet_member) fleet_member->leave();
      const bool followed = handoff && handoff->hand_over();
      broker.drain(followed);
      if (config.accept_fd >= 0 && (!handoff || followed)) http_front.stop_accepting();
    }
    signals.async_wait(on_signal);
  };
  signals.async_wait(on_signal);

  run(
      io, broker,
      [&](bool idle) {
        if (process_slots.has_slot())
          broker.body_budget(mine().body_bytes);  // and the others see what this process uses
        if (idle && handoff) handoff->migrate_streams();
        if (broker.phase() != core::Phase::draining) return;
        broker.set_partially_read_requests(http_front.partially_read_requests());
        if (!broker.accepts_requests()) http_front.refuse_half_read();
      },
      [&] {
        mine();
        announced = true;
        http_front.look();
      },
      [&] {
        http_front.close_idle();
        if (config.accept_fd >= 0) http_front.stop_accepting();
        if (grpc_front) grpc_front->close_idle();
      });
  log::event(Level::info, "stopped", {{"connections", http_front.connections()}});
  if (grpc_front) grpc_front->stop();
  // Calls that were given up may still be gRPC's to finish; they post to the loop when it has.
  while (grpc_subchannels && grpc_subchannels->unfinished() > 0)
    io.run_one_for(std::chrono::milliseconds(10));
  print_counters();
  return 0;
}

}  // namespace flintglade::commands
