// Some answers of model replicas are followed by a second answer some milliseconds late. Each client must get
// the events that a model replica made for its own request.
#include "../stand_ins.h"

namespace review {
namespace {

constexpr int kReplicas = 4, kClients = 24;
constexpr double kSeconds = 20.0;
constexpr double kSecondAnswerMs = 6.0;
constexpr int kOneIn = 10;  // answers that a second one follows

int run(const Arguments& arguments) {
  Record record(arguments.record);
  if (!record.open()) return kCouldNotRun;
  record.line("trouble: %s",
              arguments.trouble ? "one answer in ten is followed by a second one, 6 ms late" : "none");

  std::atomic<int> answers = 0;
  std::vector<std::unique_ptr<Replica>> replicas;
  std::vector<Entry> entries;
  for (int i = 1; i <= kReplicas; ++i) {
    replicas.push_back(std::make_unique<Replica>(record, "r-" + std::to_string(i)));
    if (arguments.trouble) {
      replicas.back()->second_answer_after_ms = [&answers](const std::string&) {
        return answers++ % kOneIn == 0 ? kSecondAnswerMs : -1.0;
      };
    }
    if (!replicas.back()->start()) return kCouldNotRun;
    entries.push_back({replicas.back()->uid(), replicas.back()->port()});
  }
  Discovery discovery(record, "first", 40, entries);
  if (!discovery.start()) return kCouldNotRun;

  const int port = free_port();
  Router router(record, "n1");
  if (!write_file(arguments.folder + "/config.json",
                  config_json("n1", port, discovery.port(), {}, list_json(40, true, entries))) ||
      !router.start(arguments.root, arguments.run, arguments.folder, port, discovery.port()) ||
      !router.wait_ready(20.0))
    return kCouldNotRun;

  // About 80 requests a second, with pauses of changing length.
  const double began = now_s();
  std::atomic<int> served = 0, refused = 0, failed = 0, foreign = 0;
  std::vector<std::thread> clients;
  for (int c = 0; c < kClients; ++c) {
    clients.emplace_back([&, c] {
      Client client(port);
      unsigned random = 7919u * static_cast<unsigned>(c + 1);
      for (int n = 0; now_s() < began + kSeconds; ++n) {
        random = random * 1664525u + 1013904223u;
        sleep_s(0.08 + (random >> 16) % 120 / 1000.0);
        char id[32];
        std::snprintf(id, sizeof id, "%04x%012x", c + 1, n + 1);
        const Answer answer = client.ask(completion_request(id, std::string("s") + id, 4800), 6.0);
        const bool whole = answer.status == 200 && answer.complete;
        record.line("client %d: %s answered %d%s after %.3f s", c, id, answer.status,
                    answer.complete ? "" : " (cut)", answer.took);
        // A stream that breaks off is a failure and no foreign answer: what came of it has to be its own.
        const std::string own = Replica::whole_answer(id, replicas.front()->events);
        const bool is_own = whole ? answer.body == own : own.compare(0, answer.body.size(), answer.body) == 0;
        if (answer.status == 200 && !is_own) {
          ++foreign;
          const std::size_t content = answer.body.find("content\":\"");
          record.line("broken: %s got the answer of %s", id,
                      content == std::string::npos ? "?" : answer.body.substr(content + 10, 16).c_str());
        }
        ++(whole ? served : answer.status == 503 || answer.status == 429 ? refused : failed);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  const bool alive = router.alive();
  router.end();
  std::size_t second_answers = 0;
  for (const auto& replica : replicas) {
    replica->stop();
    second_answers += replica->second_answers();
  }
  record.line("served %d, refused %d, failed %d; second answers sent %zu; foreign answers %d", served.load(),
              refused.load(), failed.load(), second_answers, foreign.load());
  if (!alive || served == 0 || (second_answers > 0) != arguments.trouble) return kCouldNotRun;
  return foreign > 0 ? kBroken : kHeld;
}

}  // namespace
}  // namespace review

int main(int count, char** values) {
  review::Arguments arguments;
  if (!review::read_arguments(count, values, arguments)) return review::kCouldNotRun;
  return review::run(arguments);
}
