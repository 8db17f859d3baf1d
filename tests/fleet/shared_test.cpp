// Routers as processes that share budgets, counts and judgements, with clients, replicas, and faults between
// them: shared_test PROGRAM CASE [SEED]. What was spent is counted at the replicas.
#include <functional>

#include "config/labels.h"
#include "fleet/fleet.h"
#include "fleet/load.h"

namespace {

using namespace flintglade::tests;
using flintglade::coordination::Packet;

const Link kCut{true, 0, 0, 0, 0};

// One call for each request, so that what replicas count is what routers let through.
std::string single_tries() {
  std::string s = kSettings;
  const auto put = [&s](const std::string& old, const std::string& now) {
    CHECK(s.find(old) != std::string::npos);
    s.replace(s.find(old), old.size(), now);
  };
  put("\"may_duplicate\":true,\"most_tries\":3", "\"may_duplicate\":false,\"most_tries\":1");
  return s;
}

// How many requests have come to the replicas, over time.
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
    for (const auto& r : fleet.replicas) sum += r ? r->behaviour.calls.load() : 0;
    return sum;
  }
  // The most that came beyond this rate in any span: what a bucket would have needed.
  double most_beyond(double per_s) const {
    double least = 0, most = 0;
    for (const auto& [ms, calls] : seen_) {
      const double level = calls - per_s * ms / 1e3;
      least = std::min(least, level);
      most = std::max(most, level - least);
    }
    return most;
  }

 private:
  void run() {
    const auto from = now();
    while (!stopping_) {
      seen_.emplace_back(since(from), calls(fleet_));
      pause(10);
    }
  }
  const Fleet& fleet_;
  std::vector<std::pair<double, int>> seen_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

std::vector<std::unique_ptr<Load>> loads(const Fleet& fleet, const std::vector<double>& per_second) {
  std::vector<std::unique_ptr<Load>> out;
  for (std::size_t i = 0; i < per_second.size(); ++i) {
    Pace pace;
    pace.per_second = per_second[i];
    out.push_back(std::make_unique<Load>(fleet.http(i), pace, i + 1));
  }
  return out;
}

int bank(const Fleet& fleet) {
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (fleet.runs(i) && fleet.status(i).shared().bank()) return static_cast<int>(i);
  }
  return -1;
}
std::size_t wait_bank(const Fleet& fleet) {
  int found = -1;
  CHECK(within(15000, [&] { return (found = bank(fleet)) >= 0; }));
  return static_cast<std::size_t>(found);
}
void all_know_one_another(const Fleet& fleet) {
  CHECK(within(15000, [&] {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (fleet.status(i).routers_size() < static_cast<int>(fleet.size())) return false;
    }
    return true;
  }));
}

// ---- cases

// A quota: parted 5:3, one way, deaf, lossy with doubles, the bank stopped past its lease, killed and back.
void quota(std::uint64_t seed) {
  constexpr double kPerS = 50, kBurst = 100;
  Shape shape;
  shape.replicas = 4;
  shape.settings = single_tries();
  shape.extra = "shared { routers: 8 budgets { name: \"acme-quota\" team: \"acme\" per_s: 50 burst: 100 } }";
  Fleet fleet(8, 3, seed, shape);
  wait_bank(fleet);
  Meter meter(fleet);
  auto load = loads(fleet, {90, 40, 15, 15, 10, 10, 10, 10});
  const auto from = now();
  pause(3000);
  const int calm = Meter::calls(fleet);
  const auto parted = [&](const std::vector<std::size_t>& some, bool both, int ms) {
    std::vector<std::size_t> rest;
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (std::find(some.begin(), some.end(), i) == some.end()) rest.push_back(i);
    }
    fleet.links.between(some, rest, kCut, both);
    pause(ms);
    fleet.links.all({});
  };
  parted({5, 6, 7}, true, 2500);
  parted({4}, false, 1500);
  fleet.links.between(others(fleet, 0), {0}, kCut, false);  // the busiest hears nobody, and is heard
  pause(1500);
  fleet.links.all({false, 0.1, 0.2, 5, 60});
  pause(1500);
  fleet.links.all({});
  const std::size_t stopped = wait_bank(fleet);
  fleet.signal(stopped, SIGSTOP);
  pause(3 * kLeaseMs);
  fleet.signal(stopped, SIGCONT);
  pause(500);
  const std::size_t killed = wait_bank(fleet);
  // Its clients are not asked for: their connections go with it.
  load[killed]->finish();
  fleet.kill(killed);
  pause(1500);
  fleet.start(killed);
  pause(1000);
  const double seconds = since(from) / 1e3;
  for (auto& l : load) {
    if (l != load[killed]) l->finish();
  }
  meter.stop();
  const double beyond = meter.most_beyond(kPerS), part = Meter::calls(fleet) / (kPerS * seconds);
  std::printf(
      "quota of 50 a second and 100 at once, asked for 200 a second: %.0f beyond the rate at most, %.0f%% of "
      "it "
      "served (%.0f%% before the first fault)\n",
      beyond, 100 * part, 100 * calm / (kPerS * 3));
  // A request comes to its replica a little after it was let through: a fifth of a second's worth.
  CHECK(beyond <= kBurst + kPerS / 5);
  CHECK(part > 0.5);
  fleet.sound();
}

// A stock: never one too many, whoever is killed with parts in hand; little is lost.
void stock(std::uint64_t seed) {
  Shape shape;
  shape.replicas = 4;
  shape.settings = single_tries();
  shape.extra =
      "shared { routers: 8 budgets { name: \"acme-stock\" team: \"acme\" whole: 400 window_s: 86400 aside: "
      "0.1 } }";
  Fleet fleet(8, 3, seed, shape);
  wait_bank(fleet);
  const auto day = [] { return std::time(nullptr) / 86400; };
  const auto first = day();
  auto load = loads(fleet, {30, 15, 10, 10, 5, 5, 5, 5});
  const auto asked = [&] {
    std::uint64_t n = 0;
    for (const auto& l : load) n += l->asked();
    return n;
  };
  // Killed with parts in hand: a holder, then the bank; the bank is stopped over its lease.
  CHECK(within(20000, [&] { return Meter::calls(fleet) > 80; }));
  std::vector<std::size_t> gone;
  const auto kill = [&](std::size_t i) {
    load[i]->finish();
    fleet.kill(i);
    fleet.start(i);
    gone.push_back(i);
  };
  kill(wait_bank(fleet) == 4 ? 5 : 4);
  CHECK(within(20000, [&] { return Meter::calls(fleet) > 160; }));
  const std::size_t stopped = wait_bank(fleet);
  fleet.signal(stopped, SIGSTOP);
  pause(2 * kLeaseMs);
  fleet.signal(stopped, SIGCONT);
  const std::size_t killed = wait_bank(fleet);
  if (std::find(gone.begin(), gone.end(), killed) == gone.end()) kill(killed);
  // Until nothing is let through any more.
  int last = -1;
  CHECK(within(40000, [&] {
    if (Meter::calls(fleet) == last && asked() > 800) return true;
    last = Meter::calls(fleet);
    pause(1500);
    return false;
  }));
  std::uint64_t refused = 0;
  for (std::size_t i = 0; i < load.size(); ++i) {
    if (std::find(gone.begin(), gone.end(), i) == gone.end()) refused += load[i]->finish().refused;
  }
  const int calls = Meter::calls(fleet), most = static_cast<int>(400 * (1 + day() - first));
  std::printf(
      "stock of 400: %d served, %llu refused, three times a process with parts was killed or stopped\n",
      calls, static_cast<unsigned long long>(refused));
  CHECK(calls <= most);
  CHECK(calls >= 280);
  CHECK(refused > 100);
}

// Counts while a part hears nothing, and after: one number everywhere, over a kill too.
void counts(std::uint64_t seed) {
  Shape shape;
  shape.replicas = 2;
  shape.settings = single_tries();
  shape.extra = "shared { routers: 8 counts: true most_per_s: 500 snapshot: \"@.counts\" }";
  Fleet fleet(8, 3, seed, shape);
  all_know_one_another(fleet);
  const auto read = [&](std::size_t i) {
    std::pair<std::uint64_t, std::uint64_t> out;
    const auto status = fleet.status(i);
    for (const auto& t : status.shared().totals()) {
      out.first += t.served();
      out.second += t.most();
    }
    return std::pair(out, status.shared().rows());
  };
  CHECK(within(10000, [&] { return read(0).second == 8; }));
  auto load = loads(fleet, {20, 20, 10, 10, 10, 10, 10, 10});
  std::uint64_t readings = 0, widest = 0;
  const auto look = [&](int ms) {
    for (const auto from = now(); since(from) < ms;) {
      for (std::size_t i = 0; i < fleet.size(); ++i) {
        const int before = Meter::calls(fleet);
        const auto [range, rows] = read(i);
        const int after = Meter::calls(fleet);
        if (rows < 8) continue;
        ++readings;
        widest = std::max(widest, range.second - range.first);
        // A call is counted as it comes, an answer as it ends: a few are between.
        CHECK(range.first <= static_cast<std::uint64_t>(after));
        CHECK(range.second + 20 >= static_cast<std::uint64_t>(before));
      }
      pause(50);
    }
  };
  look(1500);
  fleet.links.between({5, 6, 7}, {0, 1, 2, 3, 4}, kCut);
  look(3000);
  fleet.links.all({});
  fleet.links.all({false, 0.1, 0.2, 2, 30});
  look(1500);
  fleet.links.between({6}, others(fleet, 6), kCut);
  look(1000);
  fleet.links.all({});
  std::uint64_t truth = 0;
  for (auto& l : load) truth += l->finish().served;
  const auto equal = [&](std::uint64_t of) {
    for (std::size_t i = 0; i < fleet.size(); ++i) {
      if (read(i).first.first != of) return false;
    }
    return true;
  };
  const auto from = now();
  const bool good = within(8000, [&] { return equal(truth); });
  const double took = since(from);
  for (std::size_t i = 0; !good && i < fleet.size(); ++i)
    std::fprintf(stderr, "n%zu: %llu of %llu\n", i, static_cast<unsigned long long>(read(i).first.first),
                 static_cast<unsigned long long>(truth));
  CHECK(good);
  // A life that ends is taken in by the next one of its name; all at once, from what each has on disk.
  fleet.kill(3);
  fleet.start(3);
  CHECK(within(8000, [&] { return equal(truth); }));
  pause(2500);  // a snapshot of each
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.kill(i);
  for (std::size_t i = 0; i < fleet.size(); ++i) fleet.start(i);
  CHECK(within(15000, [&] { return equal(truth) && read(2).second == 8; }));
  const auto counters = fleet.status(0).shared().counters();
  std::printf(
      "%llu readings held the truth (%llu served), widest by %llu; equal everywhere %.0f ms after the last "
      "answer; %llu bytes in %llu packets since n0's last start\n",
      static_cast<unsigned long long>(readings), static_cast<unsigned long long>(truth),
      static_cast<unsigned long long>(widest), took,
      static_cast<unsigned long long>(counters.at("bytes_sent")),
      static_cast<unsigned long long>(counters.at("sent")));
}

// A dead replica is avoided by those who never asked it; a good one by nobody, whatever one says.
void hearsay(std::uint64_t seed) {
  Shape shape;
  shape.replicas = 10;
  shape.sites = 2;
  shape.settings = single_tries();
  shape.extra = "shared { routers: 8 hearsay { keep_s: 3 } }";
  Fleet fleet(8, 3, seed, shape);
  all_know_one_another(fleet);
  auto load = loads(fleet, {40, 40, 40, 40, 40, 40});  // n6 and n7 hear, and ask nobody
  pause(1000);
  const auto avoided = [&](std::size_t i) {
    std::size_t n = 0;
    const auto status = fleet.status(i);
    for (const auto& h : status.shared().heard()) n += h.avoided();
    return n;
  };
  // Words of n5 about all replicas, loud and from the future; and amounts that cannot be.
  const auto speak = [&](std::size_t as, std::size_t to,
                         const std::function<void(flintglade::coordination::SharedStateMessage&)>& say) {
    Packet p;
    p.set_fleet("test");
    p.set_version(1);
    p.set_from(Fleet::id(as));
    p.set_birth(fleet.status(as).birth());
    p.set_to(Fleet::id(to));
    say(*p.mutable_share());
    fleet.forge(to, p);
  };
  const auto all_bad = [&](std::size_t as, int age) {
    return [&fleet, as, age](flintglade::coordination::SharedStateMessage& s) {
      auto& seen = *s.mutable_news()->add_seen();
      seen.set_name(Fleet::id(as));
      seen.set_birth(fleet.status(as).birth());
      seen.set_site(as % 2 == 0 ? "hall0" : "hall1");
      seen.set_version(1'000'000);
      for (std::size_t r = 0; r < 10; ++r) {
        auto& c = *seen.add_cases();
        c.set_replica(flintglade::config::hash_name("s-" + std::to_string(r)));
        c.set_bad(true);
        c.set_count(4'000'000'000u);
        c.set_age_us(age);
      }
    };
  };
  for (std::size_t to = 0; to < 8; ++to) {
    if (to != 5) speak(5, to, all_bad(5, 0));
    if (to != 3) speak(3, to, all_bad(3, 0));  // a second one of the same site, and a third
    if (to != 1) speak(1, to, all_bad(1, 0));
  }
  pause(600);
  for (std::size_t i = 0; i < 8; ++i) CHECK(avoided(i) == 0);
  const std::size_t to = 6;
  speak(5, to, all_bad(5, -5));
  speak(5, to, [](flintglade::coordination::SharedStateMessage& s) { s.mutable_ask()->set_want(-1); });
  speak(5, to, [](flintglade::coordination::SharedStateMessage& s) {
    s.mutable_ask()->set_want(INT64_MAX);
    s.mutable_ask()->set_budget("of nobody");
  });
  speak(5, to,
        [](flintglade::coordination::SharedStateMessage& s) { s.mutable_parcel()->set_amount(INT64_MAX); });
  CHECK(within(3000, [&] { return fleet.status(to).shared().counters().at("absurd") >= 3; }));
  CHECK(fleet.log(to).find("event=shared_state_message_rejected from=n5") != std::string::npos);
  pause(3000);  // no word outlives its time
  // A replica dies.
  const auto from = now();
  fleet.replicas[4].reset();
  const auto on_health_warning = [&](std::size_t i) {
    return fleet.log(i).find("event=replica_avoided_by_gossip") != std::string::npos;
  };
  const bool good = within(5000, [&] { return on_health_warning(6) && on_health_warning(7); });
  const double took = since(from);
  if (!good) fleet.print_logs();
  CHECK(good);
  CHECK(avoided(6) <= 2 && avoided(7) <= 2);
  // Who hears nothing for longer than a word counts avoids nobody by hearsay.
  fleet.links.between({7}, others(fleet, 7), kCut);
  CHECK(within(8000, [&] { return avoided(7) == 0; }));
  fleet.links.all({});
  std::uint64_t asked = 0, served = 0;
  for (auto& l : load) {
    const Ends e = l->finish();
    asked += e.asked();
    served += e.served;
  }
  std::printf(
      "a dead replica was avoided by routers that never asked it after %.0f ms; %llu of %llu served\n", took,
      static_cast<unsigned long long>(served), static_cast<unsigned long long>(asked));
}

// A figure, no test: requests lost to a replica that dies, with and without what others say, at routers that
// ask it seldom.
void dead(std::uint64_t seed, bool heard) {
  Shape shape;
  shape.replicas = 10;
  shape.settings = single_tries();
  shape.extra = std::string("shared { routers: 8 ") + (heard ? "hearsay { }" : "counts: true") + " }";
  Fleet fleet(8, 3, seed, shape);
  all_know_one_another(fleet);
  auto load = loads(fleet, std::vector<double>(8, 12));
  pause(2000);
  fleet.replicas[4].reset();
  pause(8000);
  std::uint64_t asked = 0, served = 0;
  for (auto& l : load) {
    const Ends e = l->finish();
    asked += e.asked();
    served += e.served;
  }
  std::printf("%s: %llu of %llu requests not served\n", heard ? "with hearsay" : "without",
              static_cast<unsigned long long>(asked - served), static_cast<unsigned long long>(asked));
}

// A figure, no test: what the serving path pays for all of it. By turns through a router with and one
// without.
void cost(std::uint64_t seed) {
  Shape shape;
  shape.replicas = 4;
  shape.extra =
      "shared { routers: 8 counts: true hearsay { } budgets { name: \"q\" team: \"acme\" per_s: 2000 burst: "
      "4000 } }";
  Fleet fleet(5, 3, seed, shape);
  wait_bank(fleet);
  Process plain(
      Start{g_program, {"serve"}, {{"GW_CONFIG", fleet.folder + "/n4.json"}, {"TMPDIR", fleet.folder}}, -1});
  CHECK(within(5000, [&] { return plain.port("wire=http at=127.0.0.1:") != 0; }));
  pause(1000);
  std::map<bool, std::vector<double>> first;
  std::map<bool, double> cpu;
  for (int turn = 0; turn < 8; ++turn) {
    const bool with = turn % 2 == 0;
    const long before = with ? fleet.cpu_ms(4) : plain.cpu_ms();
    Load load(with ? fleet.http(4) : plain.port("wire=http at=127.0.0.1:"), {300, 0, 0, true, 2000}, seed);
    pause(2500);
    const Ends e = load.finish();
    cpu[with] += static_cast<double>((with ? fleet.cpu_ms(4) : plain.cpu_ms()) - before);
    first[with].insert(first[with].end(), e.first_ms.begin(), e.first_ms.end());
  }
  const long idle = fleet.cpu_ms(3);
  pause(5000);
  for (const bool with : {true, false})
    std::printf("%s: first event p50 %.3f ms, p99 %.3f ms, %.1f%% of a core at 300 a second\n",
                with ? "all of it on" : "no fleet", percentile(first[with], 0.5),
                percentile(first[with], 0.99), cpu[with] / (4 * 25));
  std::printf("a router of five that serves nothing: %.2f%% of a core\n",
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
      {"hearsay", hearsay},
      {"cost", cost},
      {"dead_heard", [](std::uint64_t s) { dead(s, true); }},
      {"dead_unheard", [](std::uint64_t s) { dead(s, false); }}};
  const auto it = cases.find(argv[2]);
  if (it == cases.end()) return 2;
  it->second(seed);
}
