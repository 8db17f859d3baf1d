// Measures the DNS source against the stand-in DNS server: how fast a change spreads and what it costs. This
// is not a test; it only prints measurements. docs/measurements/dns.md has the results and how to repeat
// them.
//   measure_dns spread    time from a change in DNS until the first, median and last of N resolvers see it,
//                         for several TTLs
//   measure_dns turn N    longest handler on the event loop while N records are refreshed, and their memory
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
  Steady::time_point changed_at;
  void answered(const std::string&, const dns::SrvAnswer& answer) override {
    if (answer.targets.size() == targets) return;
    targets = answer.targets.size();
    changed_at = Steady::now();
  }
  void failed(const std::string&, const std::string&) override {}
};

void measure_spread() {
  std::printf("ttl_s resolvers first_ms median_ms last_ms queries_per_s\n");
  for (const std::uint32_t ttl : {1u, 5u, 10u}) {
    for (const int count : {1, 10, 50}) {
      std::vector<double> delays;
      double query_count = 0.0;
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
        query_count += server.queries() - before;
        for (const auto& watcher : watchers) {
          if (watcher->targets == 11)
            delays.push_back(
                std::chrono::duration<double, std::milli>(watcher->changed_at - changed).count());
        }
        clients.clear();
      }
      std::sort(delays.begin(), delays.end());
      std::printf("%u %d %.0f %.0f %.0f %.1f (%zu of %d)\n", ttl, count, delays.front(),
                  delays[delays.size() / 2], delays.back(), query_count / 3 / (ttl + 0.5), delays.size(),
                  3 * count);
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

void measure_refresh(int records) {
  DnsServer server;
  boost::asio::io_context io(1);
  commands::MonotonicClock clock;
  discovery::Watch watch(io, clock, {}, {}, discovery::BootClock(0));
  deploy::Membership file;
  std::vector<endpoint_sources::SourceSpec> specs;
  const int records_per_zone = 500;
  for (int from = 0; from < records; from += records_per_zone) {
    const std::string name = "z" + std::to_string(from / records_per_zone);
    server.zone(name, make_zone(from, std::min(records_per_zone, records - from), 3));
    endpoint_sources::SourceSpec spec;
    spec.name = name;
    spec.dns_name = "_model._tcp." + name + ".test.";
    specs.push_back(spec);
  }
  file.mutable_resolver()->add_servers("127.0.0.1:" + std::to_string(server.port()));
  file.mutable_resolver()->set_cache_entries(200000);
  const long before = resident_kb();
  endpoint_sources::EndpointSources sources(io, clock, watch, file, specs);
  std::size_t delivered = 0;
  sources.set_update_handler(
      [&delivered](core::EndpointListUpdate update) { delivered += update.entries.size(); });
  sources.start("");
  std::vector<double> handler_times_us;
  double longest_at_start_us = 0.0, longest_after_change_us = 0.0;
  bool changed = false;
  const auto start = Steady::now();
  double complete_s = 0.0;
  while (Steady::now() - start < std::chrono::seconds(20)) {
    const auto from = Steady::now();
    if (io.stopped()) io.restart();
    if (io.poll_one() == 0) {
      std::this_thread::sleep_for(std::chrono::microseconds(200));
      continue;
    }
    const double handler_us = std::chrono::duration<double, std::micro>(Steady::now() - from).count();
    const auto since = Steady::now() - start;
    if (since < std::chrono::seconds(3)) {
      longest_at_start_us = std::max(longest_at_start_us, handler_us);
    } else if (!changed) {
      handler_times_us.push_back(handler_us);
    } else {
      longest_after_change_us = std::max(longest_after_change_us, handler_us);
    }
    if (!changed && since > std::chrono::seconds(12)) {
      changed = true;
      server.zone("z0", make_zone(1, std::min(records_per_zone, records) - 1, 3));
    }
    if (complete_s == 0.0 && sources.merger().merged_endpoints().size() >= static_cast<std::size_t>(records))
      complete_s = std::chrono::duration<double>(Steady::now() - start).count();
  }
  std::sort(handler_times_us.begin(), handler_times_us.end());
  std::printf(
      "records=%d known_after_s=%.2f handlers=%zu p50_us=%.0f p99_us=%.0f longest_us=%.0f at_first_us=%.0f "
      "at_change_us=%.0f memory_kb=%ld "
      "cached=%zu queries=%d told=%zu\n",
      records, complete_s, handler_times_us.size(), handler_times_us[handler_times_us.size() / 2],
      handler_times_us[handler_times_us.size() * 99 / 100], handler_times_us.back(), longest_at_start_us,
      longest_after_change_us, resident_kb() - before, sources.resolver().cached(), server.queries(),
      delivered);
}

}  // namespace

int main(int argc, char** argv) {
  const std::string mode = argc > 1 ? argv[1] : "";
  if (mode == "spread") {
    measure_spread();
  } else if (mode == "turn" && argc > 2) {
    measure_refresh(std::atoi(argv[2]));
  } else {
    std::fprintf(stderr, "usage: measure_dns spread | turn RECORDS\n");
    return 2;
  }
}
