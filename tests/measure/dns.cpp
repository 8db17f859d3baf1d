// Measures the DNS source against the stand-in server: how a change spreads, what it costs. Not a test:
// figures only. docs/measurements/dns.md has them, and how to repeat them.
//   measure_dns spread    time from a change in DNS to the first and last of N resolvers that has it, by TTL
//   measure_dns turn N    longest handler on the loop while N records are refreshed, and memory for them
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "commands/clock.h"
#include "dns/client.h"
#include "dns_server.h"
#include "endpoint_sources/endpoint_sources.h"

namespace {

using namespace flintglade;
using tests::DnsServer;
using tests::DnsZone;
using Steady = std::chrono::steady_clock;

DnsZone make_zone(int from, int count, std::uint32_t ttl) {
  DnsZone zone;
  zone.ttl = ttl;
  for (int i = from; i < from + count; ++i)
    zone.records.push_back({"n" + std::to_string(i), 8000, 0, 1,
                            "127." + std::to_string(1 + i / 60000) + "." + std::to_string(i / 250 % 240) +
                                "." + std::to_string(i % 250 + 1)});
  return zone;
}

dns::ResolverSettings settings(const DnsServer& server) {
  dns::ResolverSettings out;
  out.servers = {{"127.0.0.1", server.port()}};
  return out;
}

struct Watcher final : dns::ResolverListener {
  std::size_t targets = 0;
  Steady::time_point at;
  void answered(const std::string&, const dns::SrvAnswer& answer) override {
    if (answer.targets.size() == targets) return;
    targets = answer.targets.size();
    at = Steady::now();
  }
  void failed(const std::string&, const std::string&) override {}
};

void spread() {
  std::printf("ttl_s resolvers first_ms median_ms last_ms queries_per_s\n");
  for (const std::uint32_t ttl : {1u, 5u, 10u}) {
    for (const int count : {1, 10, 50}) {
      std::vector<double> delays;
      double rate = 0.0;
      for (int round = 0; round < 3; ++round) {
        DnsServer server;
        server.zone("hall", make_zone(0, 10, ttl));
        boost::asio::io_context io(1);
        commands::MonotonicClock clock;
        std::vector<std::unique_ptr<Watcher>> watchers;
        std::vector<std::unique_ptr<dns::Client>> clients;
        for (int i = 0; i < count; ++i) {
          watchers.push_back(std::make_unique<Watcher>());
          clients.push_back(std::make_unique<dns::Client>(io, clock, settings(server), *watchers.back()));
          clients.back()->configure(settings(server), {"_model._tcp.hall.test"});
          io.run_for(std::chrono::milliseconds(7));
        }
        io.run_for(std::chrono::milliseconds(1500 + 137 * round));
        const int before = server.queries();
        server.zone("hall", make_zone(0, 11, ttl));
        const auto changed = Steady::now();
        io.run_for(std::chrono::milliseconds(1000 * ttl + 500));
        rate += server.queries() - before;
        for (const auto& w : watchers) {
          if (w->targets == 11)
            delays.push_back(std::chrono::duration<double, std::milli>(w->at - changed).count());
        }
        clients.clear();
      }
      std::sort(delays.begin(), delays.end());
      std::printf("%u %d %.0f %.0f %.0f %.1f (%zu of %d)\n", ttl, count, delays.front(),
                  delays[delays.size() / 2], delays.back(), rate / 3 / (ttl + 0.5), delays.size(), 3 * count);
      std::fflush(stdout);
    }
  }
}

long resident_kb() {
  malloc_trim(0);
  std::ifstream file("/proc/self/statm");
  long size = 0, resident = 0;
  file >> size >> resident;
  return resident * 4;
}

void turn(int records) {
  DnsServer server;
  boost::asio::io_context io(1);
  commands::MonotonicClock clock;
  discovery::Watch watch(io, clock, {}, {}, discovery::BootClock(0));
  deploy::Membership file;
  std::vector<endpoint_sources::SourceSpec> specs;
  const int each = 500;
  for (int from = 0; from < records; from += each) {
    const std::string name = "z" + std::to_string(from / each);
    server.zone(name, make_zone(from, std::min(each, records - from), 3));
    endpoint_sources::SourceSpec spec;
    spec.name = name;
    spec.dns_name = "_model._tcp." + name + ".test.";
    specs.push_back(spec);
  }
  file.mutable_resolver()->add_servers("127.0.0.1:" + std::to_string(server.port()));
  file.mutable_resolver()->set_cache_entries(200000);
  const long before = resident_kb();
  endpoint_sources::EndpointSources sources(io, clock, watch, file, specs);
  std::size_t told = 0;
  sources.set_update_handler([&told](core::EndpointListUpdate news) { told += news.entries.size(); });
  sources.start("");
  std::vector<double> handlers;
  double at_first = 0.0, at_change = 0.0;
  bool changed = false;
  const auto start = Steady::now();
  double whole_s = 0.0;
  while (Steady::now() - start < std::chrono::seconds(20)) {
    const auto from = Steady::now();
    if (io.stopped()) io.restart();
    if (io.poll_one() == 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(200));
      continue;
    }
    const double took = std::chrono::duration<double, std::micro>(Steady::now() - from).count();
    const auto since = Steady::now() - start;
    if (since < std::chrono::seconds(3)) {
      at_first = std::max(at_first, took);
    } else if (!changed) {
      handlers.push_back(took);
    } else {
      at_change = std::max(at_change, took);
    }
    if (!changed && since > std::chrono::seconds(12)) {
      changed = true;
      server.zone("z0", make_zone(1, std::min(each, records) - 1, 3));
    }
    if (whole_s == 0.0 && sources.merger().merged_endpoints().size() >= static_cast<std::size_t>(records))
      whole_s = std::chrono::duration<double>(Steady::now() - start).count();
  }
  std::sort(handlers.begin(), handlers.end());
  std::printf(
      "records=%d known_after_s=%.2f handlers=%zu p50_us=%.0f p99_us=%.0f longest_us=%.0f at_first_us=%.0f "
      "at_change_us=%.0f memory_kb=%ld "
      "cached=%zu queries=%d told=%zu\n",
      records, whole_s, handlers.size(), handlers[handlers.size() / 2], handlers[handlers.size() * 99 / 100],
      handlers.back(), at_first, at_change, resident_kb() - before, sources.resolver().cached(),
      server.queries(), told);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string what = argc > 1 ? argv[1] : "";
  if (what == "spread") {
    spread();
  } else if (what == "turn" && argc > 2) {
    turn(std::atoi(argv[2]));
  } else {
    std::fprintf(stderr, "usage: measure_dns spread | turn RECORDS\n");
    return 2;
  }
}
