// Router processes that share budgets, request counts and replica health, with clients, replicas, and network
// faults between the routers: shared_test PROGRAM CASE [SEED]. Spending is measured as the requests that
// reach the replicas.
#include <functional>

#include "config/labels.h"
#include "fleet/fleet.h"
#include "fleet/load.h"

namespace {

using namespace flintglade::tests;
using flintglade::coordination::Packet;

const Link kCut{true, 0, 0, 0, 0};

// Settings with one attempt for each request, so that the replicas' counts are the requests that routers
// admitted.
std::string single_attempts() {
  std::string settings = kSettings;
  const auto replace = [&settings](const std::string& old_text, const std::string& new_text) {
    CHECK(settings.find(old_text) != std::string::npos);
    settings.replace(settings.find(old_text), old_text.size(), new_text);
  };
  replace("\"may_duplicate\":true,\"most_tries\":3", "\"may_duplicate\":false,\"most_tries\":1");
  return settings;
}

// Records the number of requests that have reached the replicas, over time.
class Meter {
 public:
  explicit Meter(const Fleet& fleet) : fleet_(fleet), thread_([this] { run(); }) {}
  ~Meter() { stop(); }
  void stop() {
    stopping_ = true;
    if (thread_.joinable()) thread_.join();
  }
  static int calls(const Fleet& fleet) {
    int sum = 0;
    for (const auto& replica : fleet.replicas) sum += replica ? replica->behaviour.calls.load() : 0;
    return sum;
  }
  // The largest excess over this rate in any time span, which is the burst of the token bucket that would
  // have admitted the same requests.
  double max_excess(double per_s) const {
    double lowest = 0, excess = 0;
    for (const auto& [ms, calls] : samples_) {
      const double level = calls - per_s * ms / 1e3;
      lowest = std::min(lowest, level);
      excess = std::max(excess, level - lowest);
    }
    return excess;
  }

 private:
  void run() {
    const auto from = now();
    while (!stopping_) {
      samples_.emplace_back(since(from), calls(fleet_));
      pause(10);
    }
  }
  const Fleet& fleet_;
  std::vector<std::pair<double, int>> samples_;  // time in ms, requests
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

std::vector<std::unique_ptr<Load>> start_loads(const Fleet& fleet, const std::vector<double>& per_second) {
  std::vector<std::unique_ptr<Load>> out;
  for (std::size_t i = 0; i < per_second.size(); ++i) {
    LoadOptions options;
    options.per_second = per_second[i];
    out.push_back(std::make_unique<Load>(fleet.http(i), options, i + 1));
  }
  return out;
}

// The router that is the quota allocator; -1 if there is none.
int find_allocator(const Fleet& fleet) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.runs(i) && fleet.status(i).shared().bank()) return static_cast<int>(i);
  }
  return -1;
}
std::size_t wait_for_allocator(const Fleet& fleet) {
  int found = -1;
  CHECK(within(15000, [&] { return (found = find_allocator(fleet)) >= 0; }));
  return static_cast<std::size_t>(found);
}
void wait_for_full_membership(const Fleet& fleet) {
  CHECK(within(15000, [&] {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.status(i).routers_size() < static_cast<int>(fleet.size())) return false;
    }
    return true;
  }));
}

// ---- cases

// A quota is not overspent under a 5:3 partition, a one-way partition, a router that receives nothing, packet
// loss and duplication, an allocator that is suspended for longer than its lease, and one that is killed and
// restarted.
void quota(std::uint64_t seed) {
  constexpr double kPerS = 50, kBurst = 100;
  FleetOptions options;
  options.replicas = 4;
  options.settings = single_attempts();
  options.extra =
      "shared { routers: 8 budgets { name: \"acme-quota\" team: \"acme\" per_s: 50 burst: 100 } }";
  Fleet fleet(8, 3, seed, options);
  wait_for_allocator(fleet);
  Meter meter(fleet);
  auto load = start_loads(fleet, {90, 40, 15, 15, 10, 10, 10, 10});
  const auto from = now();
  pause(3000);
  const int calls_before_faults = Meter::calls(fleet);
  const auto partition = [&](const std::vector<std::size_t>& some, bool both, int ms) {
    std::vector<std::size_t> remaining;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (std::find(some.begin(), some.end(), i) == some.end()) remaining.push_back(i);
    }
    fleet.links.between(some, remaining, kCut, both);
    pause(ms);
    fleet.links.all({});
  };
  partition({5, 6, 7}, true, 2500);
  partition({4}, false, 1500);
  fleet.links.between(others(fleet, 0), {0}, kCut, false);  // the busiest router can send but not receive
  pause(1500);
  fleet.links.all({false, 0.1, 0.2, 5, 60});
  pause(1500);
  fleet.links.all({});
  const std::size_t stopped = wait_for_allocator(fleet);
  fleet.signal(stopped, SIGSTOP);
  pause(3 * kLeaseMs);
  fleet.signal(stopped, SIGCONT);
  pause(500);
  const std::size_t killed = wait_for_allocator(fleet);
  // The results of its clients are ignored, since their connections break when it is killed.
  load[killed]->finish();
  fleet.kill(killed);
  pause(1500);
  fleet.start(killed);
  pause(1000);
  const double seconds = since(from) / 1e3;
  for (auto& client : load) {
    if (client != load[killed]) client->finish();
  }
  meter.stop();
  const double excess = meter.max_excess(kPerS), served_share = Meter::calls(fleet) / (kPerS * seconds);
  std::printf(
      "quota of 50 per second with a burst of 100, 200 per second requested: at most %.0f over the rate, "
      "%.0f%% of the quota served (%.0f%% before the first fault)\n",
      excess, 100 * served_share, 100 * calls_before_faults / (kPerS * 3));
  // Tolerance of 0.2 s, since a request reaches its replica some time after it was admitted.
  CHECK(excess <= kBurst + kPerS / 5);
  CHECK(served_share > 0.5);
  fleet.check_invariants();
}

// A stock is never overspent when processes that hold leases are killed or suspended, and most of it is
// served.
void stock(std::uint64_t seed) {
  FleetOptions options;
  options.replicas = 4;
  options.settings = single_attempts();
  options.extra =
      "shared { routers: 8 budgets { name: \"acme-stock\" team: \"acme\" whole: 400 window_s: 86400 aside: "
      "0.1 } }";
  Fleet fleet(8, 3, seed, options);
  wait_for_allocator(fleet);
  const auto day = [] { return std::time(nullptr) / 86400; };
  const auto first_day = day();
  auto load = start_loads(fleet, {30, 15, 10, 10, 5, 5, 5, 5});
  const auto requested = [&] {
    std::uint64_t sum = 0;
    for (const auto& client : load) sum += client->requests();
    return sum;
  };
  // Kills a holder with leases, suspends the allocator for longer than its lease, then kills the allocator.
  CHECK(within(20000, [&] { return Meter::calls(fleet) > 80; }));
  std::vector<std::size_t> killed_routers;
  const auto kill = [&](std::size_t i) {
    load[i]->finish();
    fleet.kill(i);
    fleet.start(i);
    killed_routers.push_back(i);
  };
  kill(wait_for_allocator(fleet) == 4 ? 5 : 4);
  CHECK(within(20000, [&] { return Meter::calls(fleet) > 160; }));
  const std::size_t stopped = wait_for_allocator(fleet);
  fleet.signal(stopped, SIGSTOP);
  pause(2 * kLeaseMs);
  fleet.signal(stopped, SIGCONT);
  const std::size_t killed = wait_for_allocator(fleet);
  if (std::find(killed_routers.begin(), killed_routers.end(), killed) == killed_routers.end()) kill(killed);
  // Waits until no more requests are admitted.
  int last = -1;
  CHECK(within(40000, [&] {
    if (Meter::calls(fleet) == last && requested() > 800) return true;
    last = Meter::calls(fleet);
    pause(1500);
    return false;
  }));
  std::uint64_t refused = 0;
  for (std::size_t i = 0; i < load.size(); ++i) {
    if (std::find(killed_routers.begin(), killed_routers.end(), i) == killed_routers.end())
      refused += load[i]->finish().refused;
  }
  const int calls = Meter::calls(fleet), max_calls = static_cast<int>(400 * (1 + day() - first_day));
  std::printf(
      "stock of 400: %d served, %llu rejected; three times a process that held leases was killed or "
      "suspended\n",
      calls, static_cast<unsigned long long>(refused));
  CHECK(calls <= max_calls);
  CHECK(calls >= 280);
  CHECK(refused > 100);
}

// The bounds of the counts hold during partitions; afterwards all routers have the same totals, also after
// kills and restarts.
void counts(std::uint64_t seed) {
  FleetOptions options;
  options.replicas = 2;
  options.settings = single_attempts();
  options.extra = "shared { routers: 8 counts: true most_per_s: 500 snapshot: \"@.counts\" }";
  Fleet fleet(8, 3, seed, options);
  wait_for_full_membership(fleet);
  // Lower and upper bound of the requests served, and the number of rows.
  const auto read = [&](std::size_t i) {
    std::pair<std::uint64_t, std::uint64_t> bounds;
    const auto status = fleet.status(i);
    for (const auto& total : status.shared().totals()) {
      bounds.first += total.served();
      bounds.second += total.most();
    }
    return std::pair(bounds, status.shared().rows());
  };
  CHECK(within(10000, [&] { return read(0).second == 8; }));
  auto load = start_loads(fleet, {20, 20, 10, 10, 10, 10, 10, 10});
  std::uint64_t readings = 0, widest = 0;
  const auto check_bounds_for = [&](int ms) {
    for (const auto from = now(); since(from) < ms;) {
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        const int before = Meter::calls(fleet);
        const auto [bounds, rows] = read(i);
        const int after = Meter::calls(fleet);
        if (rows < 8) continue;
        ++readings;
        widest = std::max(widest, bounds.second - bounds.first);
        // Replicas count a request when it arrives, routers when its response ends; 20 may be in between.
        CHECK(bounds.first <= static_cast<std::uint64_t>(after));
        CHECK(bounds.second + 20 >= static_cast<std::uint64_t>(before));
      }
      pause(50);
    }
  };
  check_bounds_for(1500);
  fleet.links.between({5, 6, 7}, {0, 1, 2, 3, 4}, kCut);
  check_bounds_for(3000);
  fleet.links.all({});
  fleet.links.all({false, 0.1, 0.2, 2, 30});
  check_bounds_for(1500);
  fleet.links.between({6}, others(fleet, 6), kCut);
  check_bounds_for(1000);
  fleet.links.all({});
  std::uint64_t true_count = 0;
  for (auto& client : load) true_count += client->finish().served;
  const auto all_equal = [&](std::uint64_t count) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (read(i).first.first != count) return false;
    }
    return true;
  };
  const auto from = now();
  const bool good = within(8000, [&] { return all_equal(true_count); });
  const double took = since(from);
  for (std::size_t i = 0; !good && i < fleet.size(); ++i)
    std::fprintf(stderr, "n%zu: %llu of %llu\n", i, static_cast<unsigned long long>(read(i).first.first),
                 static_cast<unsigned long long>(true_count));
  CHECK(good);
  // The counts of a killed process are folded in by the router's next process. If all are killed at once,
  // each restores its counts from its snapshot.
  fleet.kill(3);
  fleet.start(3);
  CHECK(within(8000, [&] { return all_equal(true_count); }));
  pause(2500);  // until each has written a snapshot
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
  CHECK(within(15000, [&] { return all_equal(true_count) && read(2).second == 8; }));
  const auto counters = fleet.status(0).shared().counters();
  std::printf(
      "the true count lay within the bounds in %llu readings (%llu served), widest by %llu; equal everywhere "
      "%.0f ms after the last answer; %llu bytes in %llu packets since n0's last start\n",
      static_cast<unsigned long long>(readings), static_cast<unsigned long long>(true_count),
      static_cast<unsigned long long>(widest), took,
      static_cast<unsigned long long>(counters.at("bytes_sent")),
      static_cast<unsigned long long>(counters.at("sent")));
}

// Routers that have sent no requests to a dead replica avoid it; forged reports from a single site make no
// router avoid a healthy one.
void health_gossip(std::uint64_t seed) {
  FleetOptions options;
  options.replicas = 10;
  options.sites = 2;
  options.settings = single_attempts();
  options.extra = "shared { routers: 8 hearsay { keep_s: 3 } }";
  Fleet fleet(8, 3, seed, options);
  wait_for_full_membership(fleet);
  auto load = start_loads(fleet, {40, 40, 40, 40, 40, 40});  // n6 and n7 get no requests, only gossip
  pause(1000);
  const auto avoided = [&](std::size_t i) {
    std::size_t count = 0;
    const auto status = fleet.status(i);
    for (const auto& summary : status.shared().heard()) count += summary.avoided();
    return count;
  };
  // Sends a forged message with the name and birth of the router `as`.
  const auto forge = [&](std::size_t as, std::size_t to,
                         const std::function<void(flintglade::coordination::SharedStateMessage&)>& fill) {
    Packet packet;
    packet.set_fleet("test");
    packet.set_version(1);
    packet.set_from(Fleet::id(as));
    packet.set_birth(fleet.status(as).birth());
    packet.set_to(Fleet::id(to));
    fill(*packet.mutable_share());
    fleet.forge(to, packet);
  };
  // Reports all replicas as failing, in a high version.
  const auto all_bad = [&](std::size_t as, int age) {
    return [&fleet, as, age](flintglade::coordination::SharedStateMessage& message) {
      auto& row = *message.mutable_news()->add_seen();
      row.set_name(Fleet::id(as));
      row.set_birth(fleet.status(as).birth());
      row.set_site(as % 2 == 0 ? "hall0" : "hall1");
      row.set_version(1'000'000);
      for (std::size_t replica = 0; replica < 10; ++replica) {
        auto& observation = *row.add_cases();
        observation.set_replica(flintglade::config::hash_name("s-" + std::to_string(replica)));
        observation.set_bad(true);
        observation.set_count(4'000'000'000u);
        observation.set_age_us(age);
      }
    };
  };
  for (std::size_t to = 0; to < 8; ++to) {
    if (to != 5) forge(5, to, all_bad(5, 0));
    if (to != 3) forge(3, to, all_bad(3, 0));  // n1 and n3 are at the same site as n5
    if (to != 1) forge(1, to, all_bad(1, 0));
  }
  pause(600);
  for (std::size_t i = 0; i < 8; ++i) CHECK(avoided(i) == 0);
  // An observation with a negative age, and implausible amounts.
  const std::size_t to = 6;
  forge(5, to, all_bad(5, -5));
  forge(5, to,
        [](flintglade::coordination::SharedStateMessage& message) { message.mutable_ask()->set_want(-1); });
  forge(5, to, [](flintglade::coordination::SharedStateMessage& message) {
    message.mutable_ask()->set_want(INT64_MAX);
    message.mutable_ask()->set_budget("unknown budget");
  });
  forge(5, to, [](flintglade::coordination::SharedStateMessage& message) {
    message.mutable_parcel()->set_amount(INT64_MAX);
  });
  CHECK(within(3000, [&] { return fleet.status(to).shared().counters().at("absurd") >= 3; }));
  CHECK(fleet.log(to).find("event=shared_state_message_rejected from=n5") != std::string::npos);
  pause(3000);  // until all forged observations have expired
  // A replica dies.
  const auto from = now();
  fleet.replicas[4].reset();
  const auto has_avoided = [&](std::size_t i) {
    return fleet.log(i).find("event=replica_avoided_by_gossip") != std::string::npos;
  };
  const bool good = within(5000, [&] { return has_avoided(6) && has_avoided(7); });
  const double took = since(from);
  if (!good) fleet.print_logs();
  CHECK(good);
  CHECK(avoided(6) <= 2 && avoided(7) <= 2);
  // A router that is cut off for longer than observations are valid avoids no replica because of gossip.
  fleet.links.between({7}, others(fleet, 7), kCut);
  CHECK(within(8000, [&] { return avoided(7) == 0; }));
  fleet.links.all({});
  std::uint64_t requested = 0, served = 0;
  for (auto& client : load) {
    const LoadResults results = client->finish();
    requested += results.requests();
    served += results.served;
  }
  std::printf("routers without requests to a dead replica avoided it after %.0f ms; %llu of %llu served\n",
              took, static_cast<unsigned long long>(served), static_cast<unsigned long long>(requested));
}

// A measurement, not a test: requests lost to a replica that dies, with and without health gossip, at routers
// that send it few requests.
void dead_replica(std::uint64_t seed, bool with_gossip) {
  FleetOptions options;
  options.replicas = 10;
  options.settings = single_attempts();
  options.extra = std::string("shared { routers: 8 ") + (with_gossip ? "hearsay { }" : "counts: true") + " }";
  Fleet fleet(8, 3, seed, options);
  wait_for_full_membership(fleet);
  auto load = start_loads(fleet, std::vector<double>(8, 12));
  pause(2000);
  fleet.replicas[4].reset();
  pause(8000);
  std::uint64_t requested = 0, served = 0;
  for (auto& client : load) {
    const LoadResults results = client->finish();
    requested += results.requests();
    served += results.served;
  }
  std::printf("%s: %llu of %llu requests not served\n", with_gossip ? "with health gossip" : "without",
              static_cast<unsigned long long>(requested - served),
              static_cast<unsigned long long>(requested));
}

// A measurement, not a test: the cost of the shared state on the serving path. Alternates between a router
// with all of it and one without a fleet.
void cost(std::uint64_t seed) {
  FleetOptions options;
  options.replicas = 4;
  options.extra =
      "shared { routers: 8 counts: true hearsay { } budgets { name: \"q\" team: \"acme\" per_s: 2000 burst: "
      "4000 } }";
  Fleet fleet(5, 3, seed, options);
  wait_for_allocator(fleet);
  Process without_fleet(ProcessOptions{
      g_program, {"serve"}, {{"GW_CONFIG", fleet.folder + "/n4.json"}, {"TMPDIR", fleet.folder}}, -1});
  CHECK(within(5000, [&] { return without_fleet.port("wire=http at=127.0.0.1:") != 0; }));
  pause(1000);
  std::map<bool, std::vector<double>> first_event_ms;
  std::map<bool, double> cpu_ms;
  for (int turn = 0; turn < 8; ++turn) {
    const bool with = turn % 2 == 0;
    const long before = with ? fleet.cpu_ms(4) : without_fleet.cpu_ms();
    Load load(with ? fleet.http(4) : without_fleet.port("wire=http at=127.0.0.1:"), {300, 0, 0, true, 2000},
              seed);
    pause(2500);
    const LoadResults results = load.finish();
    cpu_ms[with] += static_cast<double>((with ? fleet.cpu_ms(4) : without_fleet.cpu_ms()) - before);
    first_event_ms[with].insert(first_event_ms[with].end(), results.first_ms.begin(), results.first_ms.end());
  }
  const long idle = fleet.cpu_ms(3);
  pause(5000);
  for (const bool with : {true, false})
    std::printf("%s: first event p50 %.3f ms, p99 %.3f ms, %.1f%% of a core at 300 requests per second\n",
                with ? "with all shared state" : "without a fleet", percentile(first_event_ms[with], 0.5),
                percentile(first_event_ms[with], 0.99), cpu_ms[with] / (4 * 25));
  std::printf("an idle router in a fleet of five: %.2f%% of a core\n",
              static_cast<double>(fleet.cpu_ms(3) - idle) / 50);
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  g_program = argv[1];
  const std::uint64_t seed = argc > 3 ? std::strtoull(argv[3], nullptr, 10) : 7;
  const std::map<std::string, std::function<void(std::uint64_t)>> cases = {
      {"quota", quota},
      {"stock", stock},
      {"counts", counts},
      {"hearsay", health_gossip},
      {"cost", cost},
      {"dead_heard", [](std::uint64_t s) { dead_replica(s, true); }},
      {"dead_unheard", [](std::uint64_t s) { dead_replica(s, false); }}};
  const auto it = cases.find(argv[2]);
  if (it == cases.end()) return 2;
  it->second(seed);
}
