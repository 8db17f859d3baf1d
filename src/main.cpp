// The real router: wires the packages together and runs the loop. It decides nothing.
#include <algorithm>
#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "config/config.h"
#include "config/labels.h"
#include "core/broker.h"
#include "discovery/watch.h"
#include "http/front.h"
#include "http/subchannels.h"
#include "kserve/front.h"
#include "kserve/operator_file.h"
#include "kserve/subchannels.h"
#include "pcap/replay.h"

namespace {

using namespace flintglade;
using core::Micros;

// Descriptors outside the HTTP pools: the standard streams, the loop's own, listener and discovery, and some
// spare; and what gRPC is likely to want where its front is on.
constexpr std::size_t kSpareDescriptors = 32, kGrpcDescriptors = 192;
// The rest is shared by both sides: replicas may always have this part of it, and clients what replicas
// leave, with some room for calls to come. Clients by the hundreds that say nothing would fill a fixed half.
constexpr double kReplicaPart = 0.28;
constexpr int kMostHandlersATurn = 512;

class MonotonicClock final : public core::Clock {
 public:
  Micros now() override {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }
};

Micros unix_to_monotonic(core::Clock& clock) {
  const auto unix_now = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  return clock.now() - unix_now.count();
}

struct Options {
  std::string kserve, replay, record;
};

std::string parse_options(int argc, char** argv, Options& out) {
  for (int i = 1; i < argc; i += 2) {
    const std::string_view name = argv[i];
    std::string* value = name == "--kserve"   ? &out.kserve
                         : name == "--replay" ? &out.replay
                         : name == "--record" ? &out.record
                                              : nullptr;
    if (value == nullptr || i + 1 >= argc)
      return "usage: flintglade [--kserve FILE] [--replay PCAP [--record PCAP]]";
    *value = argv[i + 1];
  }
  return out.record.empty() || !out.replay.empty() ? "" : "--record goes with --replay";
}

int diagnose(const std::string& text) {
  std::fprintf(stderr, "flintglade: %s\n", text.c_str());
  return 1;
}

config::Labels labels(const config::Config& config) {
  config::Labels out{config.classes, config.tenants, {}};
  for (const auto& c : config.module.classes) out.patience.push_back(static_cast<Micros>(c.hard_limit * 1e6));
  return out;
}

// Waits until something is ready or an alarm is due, runs what is ready, and takes the core through its turn.
void run(boost::asio::io_context& io, core::Broker& broker, const std::function<void()>& close_idle) {
  bool closed_idle = false;
  while (broker.phase() != core::Phase::stopped) {
    const Micros alarm = broker.next_alarm();
    if (alarm == core::kNever) {
      io.run_one();
    } else {
      io.run_one_until(std::chrono::steady_clock::time_point(std::chrono::microseconds(alarm)));
    }
    for (int i = 0; i < kMostHandlersATurn && io.poll_one() > 0; ++i) {
    }
    broker.turn();
    if (broker.phase() == core::Phase::draining && !broker.lingering() && !closed_idle) {
      closed_idle = true;
      close_idle();
    }
  }
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  // Taken from the first moment on: a signal that comes before the router is up waits until it is, where the
  // default of SIGHUP would end the process.
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGUSR1);
  signals.add(SIGHUP);
  Options options;
  config::Config config;
  kserve::OperatorFile operator_file;
  std::string error = parse_options(argc, argv, options);
  if (error.empty()) error = config::load(config);
  if (error.empty() && !options.kserve.empty()) error = kserve::load(options.kserve, operator_file);
  if (!error.empty()) return diagnose(error);

  MonotonicClock clock;
  const std::size_t reserved =
      std::min(config.sockets / 2, kSpareDescriptors + (options.kserve.empty() ? 0 : kGrpcDescriptors));
  const std::size_t shared = config.sockets - reserved;
  const auto replica_part = static_cast<std::size_t>(static_cast<double>(shared) * kReplicaPart);
  http::HttpFront* front = nullptr;
  discovery::Watch watch(io, config.discovery, {config.zones, config.kinds, unix_to_monotonic(clock)});
  core::BrokerSettings settings;
  settings.drain_grace = config.drain_grace;
  settings.answer_grace = config.answer_grace;
  settings.body_budget = (config.memory_mb << 20) / 4;
  core::Broker broker(settings, config.module, config.seed, clock, watch);
  watch.tell([&broker](core::ListNews news) { broker.list_news(std::move(news)); });

  http::SubchannelSettings http_settings;
  http_settings.dial_timeout = config.dial_timeout;
  http_settings.conn_idle = config.conn_idle;
  http_settings.room = [&front, shared, replica_part] {
    return std::max(replica_part, shared - std::min(shared, front->connections()));
  };
  http::HttpSubchannels http_subchannels(io, broker, clock, http_settings);
  broker.attach(core::Wire::http, http_subchannels);
  const auto client_room = [&http_subchannels, shared, replica_part] {
    const std::size_t calls = http_subchannels.connections();
    return shared - std::min(shared, std::max(replica_part, calls + calls / 8 + 6));
  };
  http::HttpFront http_front(io, broker, clock, {labels(config), client_room, reserved / 2});
  front = &http_front;
  http_front.on_exhausted([&http_subchannels] { return http_subchannels.shed_idle(); });
  error = http_front.listen(config.listen);
  if (!error.empty()) return diagnose(error);
  std::fprintf(stderr, "flintglade: %s listens on %s:%u\n", config.name.c_str(), config.listen.host.c_str(),
               http_front.port());

  std::unique_ptr<kserve::GrpcSubchannels> grpc_subchannels;
  std::unique_ptr<kserve::GrpcFront> grpc_front;
  if (!options.kserve.empty()) {
    grpc_subchannels = std::make_unique<kserve::GrpcSubchannels>(
        io, broker, clock, kserve::SubchannelSettings{config.dial_timeout, operator_file.replica_port});
    broker.attach(core::Wire::kserve, *grpc_subchannels);
    grpc_front = std::make_unique<kserve::GrpcFront>(io, broker, operator_file, labels(config), config.name);
    error = grpc_front->listen();
    if (!error.empty()) return diagnose(error);
    std::fprintf(stderr, "flintglade: KServe v2 on %s:%d\n", operator_file.listen.host.c_str(),
                 grpc_front->port());
  }
  watch.known(config.known);

  pcap::Replay replay(io, broker, clock);
  if (!options.replay.empty()) {
    error = replay.open(options.replay, options.record, labels(config));
    if (!error.empty()) return diagnose(error);
    std::fprintf(stderr,
                 "flintglade: replays %zu requests (%zu packets, %zu skipped, %zu requests malformed)\n",
                 replay.source().requests.size(), replay.source().packets, replay.source().skipped,
                 replay.source().malformed);
    replay.start([&broker] { broker.drain(); });
  }

  const auto print_counters = [&broker] {
    std::fprintf(stderr, "flintglade: phase=%s %s\n", core::to_string(broker.phase()),
                 broker.counters().text().c_str());
  };
  // SIGHUP: both files are read again and checked as at the start, and are taken over together or not at all.
  const auto reload = [&] {
    config::Config fresh;
    kserve::OperatorFile fresh_file;
    std::string wrong = config::reload(fresh);
    if (wrong.empty() && grpc_front) wrong = kserve::load(options.kserve, fresh_file);
    if (!wrong.empty()) {
      broker.reload_refused();
      diagnose("reload refused, the old configuration stays in force: " + wrong);
      return;
    }
    broker.reload(fresh.drain_grace, fresh.answer_grace);
    http_subchannels.reload(fresh.dial_timeout, fresh.conn_idle);
    if (grpc_subchannels) grpc_subchannels->reload(fresh.dial_timeout);
    if (grpc_front) grpc_front->reload(std::move(fresh_file.models));
    watch.move(fresh.discovery);
    std::fprintf(stderr, "flintglade: configuration reloaded, discovery at %s:%u%s\n",
                 fresh.discovery.host.c_str(), fresh.discovery.port,
                 fresh.fixed == config.fixed ? "" : "; some of what changed takes effect at the next start");
  };
  std::function<void(boost::system::error_code, int)> on_signal = [&](boost::system::error_code ec,
                                                                      int signal) {
    if (ec) return;
    if (signal == SIGUSR1) {
      print_counters();
    } else if (signal == SIGHUP) {
      reload();
    } else {
      broker.drain();
    }
    signals.async_wait(on_signal);
  };
  signals.async_wait(on_signal);

  run(io, broker, [&] {
    http_front.close_idle();
    if (grpc_front) grpc_front->close_idle();
  });
  if (grpc_front) grpc_front->stop();
  // Calls that were given up may still be gRPC's to finish; they post to the loop when it has.
  while (grpc_subchannels && grpc_subchannels->unfinished() > 0)
    io.run_one_for(std::chrono::milliseconds(10));
  print_counters();
  return 0;
}
