// Discovery is down for a while and comes back, slow. A model replica that begins to drain after that must
// get nothing new.
#include "../stand_ins.h"

namespace review {
namespace {

constexpr int kReplicas = 6, kRouters = 3, kClients = 3;  // clients of each router
constexpr double kDown = 4.0, kOutage = 22.0, kUp = kDown + kOutage, kDrainBegins = kUp + 1.0,
                 kEnd = kDrainBegins + 15.0;
// Discovery answers each call so long after it has come.
constexpr double kDiscoveryAnswersAfter = 1.9;
// A change counts as told 6 s after discovery had it and could be reached, at the latest; drain_grace of the
// settings; the sockets' slack.
constexpr double kToldWithin = 6.0, kGrace = 2.0, kSlack = 0.05;
constexpr std::array<const char*, kRouters> kSeeds{"8c1f30d27a5be964", "1111111111111111",
                                                   "2222222222222222"};

int run(const Arguments& arguments) {
  Record record(arguments.record);
  if (!record.open()) return kCouldNotRun;
  record.line("trouble: %s", arguments.trouble ? "discovery is down for 22 s" : "none");

  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<Entry> entries;
  for (int i = 1; i <= kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(record, "r-" + std::to_string(i)));
    if (!replicas.back()->start()) return kCouldNotRun;
    entries.push_back({replicas.back()->uid(), replicas.back()->port()});
  }
  Replica& leaving = *replicas[2];
  Discovery discovery(record, "first", 40, entries);
  discovery.answers_after_s = kDiscoveryAnswersAfter;
  if (!discovery.start()) return kCouldNotRun;

  std::vector<int> ports;
  std::vector<std::unique_ptr<Router>> routers;
  for (int i = 0; i < kRouters; ++i) {
    const std::string name = "n" + std::to_string(i + 1), folder = arguments.folder + "/" + name;
    ports.push_back(free_port());
    routers.push_back(std::make_unique<Router>(record, name));
    if (::mkdir(folder.c_str(), 0700) != 0 ||
        !write_file(folder + "/config.json",
                    config_json(name, ports[i], discovery.port(), {}, list_json(40, true, entries), kRouters,
                                kSeeds[i])) ||
        !routers[i]->start(arguments.root, arguments.run, folder, ports[i], discovery.port()))
      return kCouldNotRun;
  }
  for (const auto& router : routers) {
    if (!router->wait_ready(20.0)) return kCouldNotRun;
  }

  // About 25 requests a second over all routers, each of a conversation of its own. The first digit of an id
  // tells the router.
  const double began = now_s();
  std::atomic<int> served = 0, refused = 0, failed = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kRouters * kClients; ++c) {
    clients.emplace_back([&, c] {
      const int router = c % kRouters;
      Client client(ports[router]);
      for (int n = 0; now_s() < began + kEnd; ++n) {
        char id[32];
        std::snprintf(id, sizeof id, "%x%03x%012x", router + 1, c / kRouters + 1, n + 1);
        const Answer answer = client.ask(completion_request(id, std::string("s") + id, 4800), 6.0);
        record.line("client of n%d: %s answered %d%s after %.3f s", router + 1, id, answer.status,
                    answer.complete ? "" : " (cut)", answer.took);
        ++(answer.status == 200 && answer.complete        ? served
           : answer.status == 503 || answer.status == 429 ? refused
                                                          : failed);
        sleep_s(0.18);
      }
    });
  }

  bool up = true;
  if (arguments.trouble) {
    sleep_until(began + kDown);
    record.line("discovery first: down");
    discovery.stop_accepting();
    discovery.close_connections();
    sleep_until(began + kUp);
    up = discovery.start();
    record.line("discovery first: up");
  }
  sleep_until(began + kUp);
  const int calls_before = discovery.calls();
  Entry drains = entries[2];
  drains.state = "Terminating";
  sleep_until(began + kDrainBegins);
  const double told = now_s() + kToldWithin;
  leaving.draining = true;
  discovery.change(drains);
  for (std::thread& client : clients) client.join();
  const int calls_after = discovery.calls() - calls_before;
  bool alive = true;
  for (const auto& router : routers) {
    alive = alive && router->alive();
    router->end();
  }

  std::map<char, int> sent_late;  // by router
  for (const Arrival& arrival : leaving.arrivals()) {
    if (arrival.first_byte <= told + kGrace + kSlack) continue;
    ++sent_late[arrival.id[0]];
    record.line("broken: n%c sent %s to %s %.3f s after the drain counts as told", arrival.id[0],
                arrival.id.c_str(), drains.uid.c_str(), arrival.first_byte - told);
  }
  record.line(
      "served %d, refused %d, failed %d; calls to discovery in the last %.0f s: %d; sent after the grace "
      "by n1 %d, n2 %d, n3 %d",
      served.load(), refused.load(), failed.load(), kEnd - kUp, calls_after, sent_late['1'], sent_late['2'],
      sent_late['3']);
  if (!up || !alive || served == 0) return kCouldNotRun;
  return sent_late['1'] + sent_late['2'] + sent_late['3'] > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** values) {
  review::Arguments arguments;
  if (!review::read_arguments(count, values, arguments)) return review::kCouldNotRun;
  return review::run(arguments);
}
