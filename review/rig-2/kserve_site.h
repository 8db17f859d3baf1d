// A small deployment with the KServe front: one router, two HTTP replicas, one gRPC replica that stands for
// both, and HTTP clients whose streams are under way.
#pragma once

#include "h2.h"

namespace rig {

class KServeSite {
 public:
  Process router;
  int kserve_port = 0;
  std::atomic<int> served = 0, cut = 0, others = 0;

  explicit KServeSite(const Case& run, int memory_mb = 192, int sockets = 1024) {
    for (Replica* replica : {&first_, &second_}) {
      replica->events = 20;
      replica->gap_s = 0.05;
    }
    first_.start("s1");
    second_.start("s2");
    grpc_replica_.start();
    discovery_.add({"s1", first_.endpoint()});
    discovery_.add({"s2", second_.endpoint()});
    discovery_.start();
    RouterConfig config;
    listen_ = config.listen = free_port();
    config.discovery = discovery_.address();
    config.known = discovery_.whole_list();
    config.settings = site_settings(1, 0);
    config.memory_mb = memory_mb;
    config.sockets = sockets;
    kserve_port = free_port();
    write_file(run.scratch + "/config.json", config_text(config));
    write_file(run.scratch + "/operator.textproto",
               "kserve {\n  listen: \"127.0.0.1:" + std::to_string(kserve_port) + "\"\n  replica_port: " +
                   std::to_string(grpc_replica_.port()) + "\n  models { name: \"m\" versions: \"1\" }\n}\n");
    router.start("exec build/flintglade serve --operator " + run.scratch + "/operator.textproto",
                 {{"GW_NAME", config.name},
                  {"GW_LISTEN", "127.0.0.1:" + std::to_string(config.listen)},
                  {"GW_DISCOVERY", discovery_.address()},
                  {"GW_CONFIG", run.scratch + "/config.json"},
                  {"TMPDIR", run.scratch}},
                 run.scratch + "/router.log");
    if (!wait_for(10, [&] { return get_status(listen_, "/ready") == 200; })) could_not_run("not ready");
    for (int lane = 0; lane < 6; ++lane) {
      clients_.emplace_back([this] {
        while (clients_run_) {
          ClientRequest request;
          request.id = new_id("a1");
          const Answer answer = ask(listen_, request);
          if (answer.status == 200) {
            ++(answer.complete ? served : cut);
          } else {
            ++others;
          }
          sleep_for(0.1);
        }
      });
    }
    sleep_for(3);
  }

  // Ends the clients, records how the router is, and ends the case: a router that has ended, or was over its
  // memory, has crashed.
  [[noreturn]] void end(long peak_kb = 0, int memory_mb = 192) {
    const bool ended = wait_for(2, [&] { return router.ended(); });
    clients_run_ = false;
    for (std::thread& client : clients_) client.join();
    const int status = router.status();
    RIG_NOTE("the router's process %s (signal %d)", ended ? "has ended" : "runs",
             ended && WIFSIGNALED(status) ? WTERMSIG(status) : 0);
    RIG_NOTE("HTTP clients: served %d, streams cut %d, others %d", served.load(), cut.load(), others.load());
    std::istringstream log(router.log());
    for (std::string line; std::getline(log, line);) RIG_NOTE("router: %s", line.c_str());
    if (peak_kb > 0) RIG_NOTE("peak memory %ld kB of %d kB", peak_kb, memory_mb * 1024);
    if (peak_kb > 0) std::printf("peak memory %ld kB; ", peak_kb);
    std::printf("the router %s; HTTP streams served %d, cut %d\n", ended ? "has ended" : "runs",
                served.load(), cut.load());
    if (served == 0) could_not_run("no stream was served before");
    end_case(ended || peak_kb > memory_mb * 1024L ? kBroken : kHeld);
  }

 private:
  Replica first_, second_;
  GrpcReplica grpc_replica_;
  Discovery discovery_;
  int listen_ = 0;
  std::atomic<bool> clients_run_ = true;
  std::vector<std::thread> clients_;
};

// What a KServe client of the site sends beside its request.
inline std::vector<std::pair<std::string, std::string>> sound_metadata() {
  return {{"flintglade-class", "rules-help"},
          {"flintglade-tenant", "surat-retro"},
          {"flintglade-expires-in-ms", "3000"},
          {"traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"}};
}

}  // namespace rig
