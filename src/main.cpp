// The real router: wires the packages together and runs the loop. It decides nothing.
#include <unistd.h>

#include <boost/asio.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <ctime>
#include <memory>

#include "config/config.h"
#include "core/broker.h"
#include "discovery/watch.h"
#include "http/front.h"
#include "http/subchannels.h"

namespace {

using namespace flintglade;
using core::Micros;

// Descriptors outside the pools: the standard streams, the loop's own, listener and discovery, and some
// spare.
constexpr std::size_t kSpareDescriptors = 64;
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

int diagnose(const std::string& text) {
  std::fprintf(stderr, "flintglade: %s\n", text.c_str());
  return 1;
}

http::FrontSettings front_settings(const config::Config& config, std::size_t most_connections) {
  http::FrontSettings out{config.classes, config.tenants, {}, most_connections};
  for (const auto& c : config.module.classes) out.patience.push_back(static_cast<Micros>(c.hard_limit * 1e6));
  return out;
}

// Waits until something is ready or an alarm is due, runs what is ready, and takes the core through its turn.
void run(boost::asio::io_context& io, core::Broker& broker, http::HttpFront& front) {
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
      front.close_idle();
    }
  }
}

}  // namespace

int main() {
  config::Config config;
  std::string error = config::load(config);
  if (!error.empty()) return diagnose(error);

  boost::asio::io_context io(1);
  MonotonicClock clock;
  const std::size_t pool = (config.sockets - std::min(config.sockets / 2, kSpareDescriptors)) / 2;
  discovery::Watch watch(io, config.discovery, {config.zones, config.kinds, unix_to_monotonic(clock)});
  core::BrokerSettings settings;
  settings.drain_grace = config.drain_grace;
  settings.answer_grace = config.answer_grace;
  settings.body_budget = (config.memory_mb << 20) / 4;
  core::Broker broker(settings, config.module, config.seed, clock, watch);
  watch.tell([&broker](core::ListNews news) { broker.list_news(std::move(news)); });

  http::SubchannelSettings subs;
  subs.dial_timeout = config.dial_timeout;
  subs.conn_idle = config.conn_idle;
  subs.most_connections = pool;
  http::HttpSubchannels http_subchannels(io, broker, clock, subs);
  broker.attach(core::Wire::http, http_subchannels);
  http::HttpFront http_front(io, broker, clock, front_settings(config, pool));
  http_front.on_exhausted([&http_subchannels] { return http_subchannels.shed_idle(); });
  error = http_front.listen(config.listen);
  if (!error.empty()) return diagnose(error);
  std::fprintf(stderr, "flintglade: %s listens on %s:%u\n", config.name.c_str(), config.listen.host.c_str(),
               http_front.port());
  watch.known(config.known);

  const auto print_counters = [&broker] {
    std::fprintf(stderr, "flintglade: phase=%s %s\n", core::to_string(broker.phase()),
                 broker.counters().text().c_str());
  };
  boost::asio::signal_set signals(io, SIGTERM, SIGINT, SIGUSR1);
  std::function<void(boost::system::error_code, int)> on_signal = [&](boost::system::error_code ec,
                                                                      int signal) {
    if (ec) return;
    if (signal == SIGUSR1) {
      print_counters();
    } else {
      broker.drain();
    }
    signals.async_wait(on_signal);
  };
  signals.async_wait(on_signal);
  std::signal(SIGPIPE, SIG_IGN);

  run(io, broker, http_front);
  print_counters();
  return 0;
}
