// A replica spoils a stream after its first event: the size of the next chunk cannot be read, and its bytes
// keep coming. The router's memory is read while the stand-in sends.
#include "rig.h"

using namespace rig;

namespace {

constexpr int kMemoryMb = 192;
constexpr double kBytesPerSecond = 160e6;  // of one spoilt stream; under 1.5 gigabits a second
constexpr double kMostBytes = 3e9;         // what a page lets a spoilt stream declare and send
constexpr int kSpoiltStreams = 4;          // one after another

long peak_kb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string line;
  while (std::getline(in, line)) {
    if (line.rfind("VmHWM:", 0) == 0) return std::atol(line.c_str() + 6);
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  const Case run(argc, argv);
  Replica first, second;
  Discovery discovery;
  first.start("s1");
  second.start("s2");
  discovery.add({"s1", first.endpoint()});
  discovery.add({"s2", second.endpoint()});
  discovery.start();
  std::mutex mutex;
  std::set<std::string> spoilt;  // ids of the requests whose streams are spoilt
  std::atomic<double> most_sent = 0;
  const auto behaviour = [&](const Replica& replica, ReplicaRequest& request) {
    {
      const std::lock_guard lock(mutex);
      if (spoilt.count(request.id) == 0) return replica.answer(request);
    }
    sleep_for(replica.first_token_s);
    if (!send_all(request.fd, Replica::stream_head() + Replica::chunk(Replica::event("a")))) return false;
    sleep_for(replica.gap_s);
    const std::string digits(1 << 16, '1');  // of a size that does not end
    const double started = now();
    double sent = 0;
    while (sent < kMostBytes && send_all(request.fd, digits)) {
      sent += static_cast<double>(digits.size());
      sleep_until(started + sent / kBytesPerSecond);
    }
    RIG_NOTE("replica %s: %s: sent %.0f bytes of a chunk's size in %.2f s", replica.name.c_str(),
             request.id.c_str(), sent, now() - started);
    if (sent > most_sent) most_sent = sent;
    return false;
  };
  first.set_behaviour([&](ReplicaRequest& request) { return behaviour(first, request); });
  second.set_behaviour([&](ReplicaRequest& request) { return behaviour(second, request); });

  RouterConfig config;
  config.listen = free_port();
  config.discovery = discovery.address();
  config.known = discovery.whole_list();
  config.settings = site_settings(1, 0);
  config.memory_mb = kMemoryMb;
  const std::string file = run.scratch + "/config.json";
  write_file(file, config_text(config));
  Process router;
  router.start("exec build/flintglade",
               {{"GW_NAME", config.name},
                {"GW_LISTEN", "127.0.0.1:" + std::to_string(config.listen)},
                {"GW_DISCOVERY", discovery.address()},
                {"GW_CONFIG", file},
                {"TMPDIR", run.scratch}},
               run.scratch + "/router.log");
  if (!wait_for(10, [&] { return get_status(config.listen, "/ready") == 200; })) could_not_run("not ready");

  std::atomic<bool> clients_run = true;
  std::atomic<int> served = 0, others = 0;
  std::vector<std::thread> clients;
  for (int lane = 0; lane < 4; ++lane) {
    clients.emplace_back([&] {
      while (clients_run) {
        ClientRequest request;
        request.id = new_id("a1");
        const Answer answer = ask(config.listen, request);
        ++(answer.status == 200 && answer.complete ? served : others);
        sleep_for(0.1);
      }
    });
  }
  sleep_for(3);
  RIG_NOTE("router's peak memory before: %ld kB", peak_kb(router.pid()));
  for (int i = 0; i < kSpoiltStreams; ++i) {
    ClientRequest request;
    request.id = new_id("b1");
    if (run.trouble) {
      const std::lock_guard lock(mutex);
      spoilt.insert(request.id);
    }
    ask(config.listen, request);
    RIG_NOTE("router's peak memory: %ld kB", peak_kb(router.pid()));
    sleep_for(1);
  }
  const bool ended = router.ended();
  const long peak = peak_kb(router.pid());
  clients_run = false;
  for (std::thread& client : clients) client.join();
  RIG_NOTE("served %d, others %d; peak memory %ld kB of %d kB; the process has ended: %s", served.load(),
           others.load(), peak, kMemoryMb * 1024, ended ? "yes" : "no");
  std::printf("peak memory %ld kB, the limit is %d kB\n", peak, kMemoryMb * 1024);
  if (served < 50) could_not_run("too few requests were served");
  end_case(ended || peak > kMemoryMb * 1024L ? kBroken : kHeld);
}
