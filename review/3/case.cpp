// Some answers of model replicas never end: errors whose body keeps coming. The router must stay under its
// limit on memory, over which the platform kills it.
#include "../stand_ins.h"

namespace review {
namespace {

constexpr int kReplicas = 4, kClients = 24;
constexpr double kSeconds = 15.0;
constexpr int kOneIn = 20;  // answers that never end
constexpr Limits kLimits{192, 1024};

int run(const Arguments& arguments) {
  Record record(arguments.record);
  if (!record.open()) return kCouldNotRun;
  record.line("trouble: %s", arguments.trouble ? "one answer in twenty is an error that never ends" : "none");

  std::atomic<int> answers = 0;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<Entry> entries;
  for (int i = 1; i <= kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(record, "r-" + std::to_string(i)));
    if (arguments.trouble) {
      replicas.back()->never_ends = [&answers](const std::string&) { return answers++ % kOneIn == 0; };
    }
    if (!replicas.back()->start()) return kCouldNotRun;
    entries.push_back({replicas.back()->uid(), replicas.back()->port()});
  }
  Discovery discovery(record, "first", 40, entries);
  if (!discovery.start()) return kCouldNotRun;

  const int port = free_port();
  Router router(record, "n1");
  if (!write_file(arguments.folder + "/config.json",
                  config_json("n1", port, discovery.port(), kLimits, list_json(40, true, entries))) ||
      !router.start(arguments.root, arguments.run, arguments.folder, port, discovery.port()) ||
      !router.wait_ready(20.0))
    return kCouldNotRun;

  // About 80 requests a second, with pauses of changing length.
  const double began = now_s();
  std::atomic<bool> killed = false;
  std::atomic<int> served = 0, refused = 0, failed = 0, unanswered = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      Client client(port);
      unsigned random = 7919u * static_cast<unsigned>(c + 1);
      for (int n = 0; now_s() < began + kSeconds && !killed; ++n) {
        random = random * 1664525u + 1013904223u;
        sleep_s(0.08 + (random >> 16) % 120 / 1000.0);
        if (killed) break;
        char id[32];
        std::snprintf(id, sizeof id, "%04x%012x", c + 1, n + 1);
        const Answer answer = client.ask(completion_request(id, std::string("s") + id, 4800), 6.0);
        record.line("client %d: %s answered %d%s after %.3f s", c, id, answer.status,
                    answer.complete ? "" : " (cut)", answer.took);
        ++(answer.status == 0                             ? unanswered
           : answer.status == 200 && answer.complete      ? served
           : answer.status == 503 || answer.status == 429 ? refused
                                                          : failed);
      }
    });
  }
  // The platform: it looks at the memory of the process every 10 ms and kills it over the limit.
  double most = 0;
  for (double next_line = began; now_s() < began + kSeconds && !killed; sleep_s(0.01)) {
    if (!router.alive()) break;
    const double used = router.memory_mb();
    most = std::max(most, used);
    if (now_s() >= next_line || used > kLimits.memory_mb)
      record.line("platform: the router uses %.1f MB of %d", used, kLimits.memory_mb);
    if (now_s() >= next_line) next_line += 1.0;
    if (used <= kLimits.memory_mb) continue;
    killed = true;
    record.line("broken: over its limit on memory, the router is killed");
    router.signal(SIGKILL);
  }
  for (std::thread& client : clients) client.join();
  const bool ended_by_itself = !killed && !router.alive();
  if (ended_by_itself) record.line("broken: the router has ended");
  router.end();
  std::size_t endless = 0;
  for (const auto& replica : replicas) {
    replica->stop();
    endless += replica->endless_answers();
  }
  record.line("served %d, refused %d, failed %d, unanswered %d; endless answers %zu; most memory %.1f MB",
              served.load(), refused.load(), failed.load(), unanswered.load(), endless, most);
  if (served == 0 || (endless > 0) != arguments.trouble) return kCouldNotRun;
  return killed || ended_by_itself ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** values) {
  review::Arguments arguments;
  if (!review::read_arguments(count, values, arguments)) return review::kCouldNotRun;
  return review::run(arguments);
}
