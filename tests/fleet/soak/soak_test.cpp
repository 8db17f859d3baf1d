// A soak over processes of the program: soak_test PROGRAM SEED [RUNS [PARALLEL [FAULT]]]
//
// Each run starts two routers over stand-in replicas, discovery and clients on loopback, and shuts them down
// and starts them again under load. Clients use open connections until SIGKILL, which comes at the earliest
// time that the platform's protocol allows; signals come in series; in every second run a crowd of idle and
// half-written connections is open beside. RequestHistory has the rules. Each violation is printed with its
// seed and time, and the exit status is 1 if there is any. FAULT (cut_response, drop_request) is simulated at
// the clients' sockets to verify the rules themselves: the exit status is then 1 if no run detects it.
#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <future>
#include <latch>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "check.h"
#include "fleet/load.h"
#include "fleet/process.h"
#include "fleet/soak/client.h"
#include "fleet/soak/replica.h"
#include "fleet/soak/request_history.h"
#include "settings.h"
#include "stand_ins.h"

namespace flintglade::tests::soak {
namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kRouters = 2, kReplicas = 4;
constexpr int kClients = 48, kShutdowns = 2;
constexpr int kBadReplicaPercent = 40;
constexpr int kCrowdOfEachRouter = 300;
constexpr int kCrowdReconnectMs = 200;
constexpr int kSocketLimit = 1024, kMemoryLimitMb = 192;
// The protocol: SIGKILL comes no sooner after SIGTERM, since the longest deadline counts as 3 s here.
constexpr int kSigkillAfterMs = 3700;
// The protocol: new connections go on coming for so long after SIGTERM.
constexpr int kMinNewConnectionsMs = 200, kMaxNewConnectionsMs = 400;
// The protocol: no SIGHUP in a process's first second.
constexpr int kMinServingMs = 1000, kMaxServingMs = 1800;
constexpr int kReadyTimeoutMs = 6000;
// Ports of the routers; the step has no common divisor with their number.
constexpr int kFirstPort = 12'000, kPorts = 16'000, kPortStep = 997;
// Longer than idle connections to replicas stay open (`conn_idle` of the settings).
constexpr int kIdleTimeoutMs = 9000;
constexpr std::size_t kDescriptorTolerance = 4;
#ifdef __SANITIZE_ADDRESS__
constexpr bool kChecksMemory = false;  // most of it is the sanitizer's own
#else
constexpr bool kChecksMemory = true;
#endif

void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

// An io_context with a thread of its own.
class IoThread {
 public:
  IoThread() : work_(boost::asio::make_work_guard(io)), thread_([this] { io.run(); }) {}
  ~IoThread() { stop(); }
  // Handlers that are queued by then are never called.
  void stop() {
    io.stop();
    if (thread_.joinable()) thread_.join();
  }
  boost::asio::io_context io;

 private:
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  std::thread thread_;
};

struct RunOptions {
  std::string program;
  std::uint64_t seed = 1;
  PlantedFault planted = PlantedFault::none;
  bool has_crowd() const { return seed % 2 == 0; }
  // Whether the platform holds the listening sockets, and the next process starts beside the old one.
  bool upgrades() const { return seed % 4 >= 2; }
};

// One router of a run: its place on the network and the processes that take it in turn.
class SoakRouter {
 public:
  SoakRouter(const RunOptions& options, std::size_t index, const std::string& folder,
             unsigned short discovery, RequestHistory& history, std::function<Micros()> clock)
      : options_(options),
        index_(index),
        folder_(folder + "/n" + std::to_string(index)),
        discovery_(discovery),
        history_(history),
        clock_(std::move(clock)),
        random_(options.seed * kRouters + index),
        acceptor_(bind_acceptor(io_, options.seed * kRouters + index)) {
    std::filesystem::create_directory(folder_);
    port_ = acceptor_.local_endpoint().port();
    if (options.upgrades()) {
      acceptor_.listen();
    } else {
      acceptor_.close();  // the router listens itself
    }
  }

  unsigned short port() const { return port_; }
  bool is_open() const { return is_open_; }

  void start() {
    process_ = start_process();
    wait_until_ready(*process_);
    idle_descriptors_ = process_->descriptors();
    is_open_ = true;
  }
  // Serves for a while, then is shut down and started again, several times.
  void run() {
    for (int i = 0; i < kShutdowns && process_ != nullptr; ++i) {
      serve();
      options_.upgrades() ? upgrade() : restart();
    }
    serve();
  }
  // To be called once all clients have closed their connections.
  void check_resources() {
    const auto is_idle = [&] { return process_->descriptors() <= idle_descriptors_ + kDescriptorTolerance; };
    if (!within(kIdleTimeoutMs, is_idle))
      report("descriptors: " + std::to_string(process_->descriptors()) +
             ", when idle before: " + std::to_string(idle_descriptors_));
    if (kChecksMemory && process_->resident_kb() > kMemoryLimitMb * 1024 / 2)
      report("memory: " + std::to_string(process_->resident_kb()) + " kB");
  }
  std::string log() { return process_ == nullptr ? "" : process_->log(); }

 private:
  // Below the ports from which the system picks: no other socket takes the port while its router is down.
  static tcp::acceptor bind_acceptor(boost::asio::io_context& io, std::uint64_t number) {
    tcp::acceptor acceptor(io, tcp::v4());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    for (int tries = 0; tries < kPorts; ++tries) {
      const auto port = static_cast<unsigned short>(kFirstPort + (number + tries * kPortStep) % kPorts);
      boost::system::error_code ec;
      acceptor.bind({boost::asio::ip::address_v4::loopback(), port}, ec);
      if (!ec) return acceptor;
    }
    CHECK(false);
    return acceptor;
  }

  int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(random_); }
  void report(const std::string& text) {
    history_.add_violation(clock_(), "router " + std::to_string(index_) + ": " + text);
  }

  std::unique_ptr<Process> start_process() {
    const std::string config = folder_ + "/config.json";
    std::ofstream(config) << "{\"name\":\"n" << index_
                          << "\",\"listen\":\"127.0.0.1:" << (options_.upgrades() ? 1 : port_)
                          << "\",\"discovery\":\"127.0.0.1:" << discovery_
                          << "\",\"admin_addr\":\"127.0.0.1:0\",\"seed\":\"" << ++starts_
                          << "\",\"limits\":{\"memory_mb\":" << kMemoryLimitMb
                          << ",\"sockets\":" << kSocketLimit << "},\"settings\":" << kSettings << "}";
    ProcessOptions options{options_.program, {}, {{"GW_CONFIG", config}, {"TMPDIR", folder_}}, -1};
    if (options_.upgrades()) {
      options.environment["GW_ACCEPT_FD"] = "3";
      options.inherit = acceptor_.native_handle();
    }
    return std::make_unique<Process>(options);
  }
  void wait_until_ready(Process& process) {
    const bool is_ready = within(kReadyTimeoutMs, [&] {
      const unsigned short admin_port = process.port("wire=admin at=127.0.0.1:");
      return admin_port != 0 && http_status(admin_port, "/_ready") == 200;
    });
    if (!is_ready) report("a process is not ready\n" + process.log());
  }
  void check_running() {
    int status = 0;
    if (process_->ended(status))
      report("ended without SIGTERM, wait status " + std::to_string(status) + "\n" + process_->log());
  }

  void serve() {
    const int until_ms = draw(kMinServingMs, kMaxServingMs);
    pause(kMinServingMs);
    if (draw(0, 1) == 1) process_->signal(SIGHUP);
    if (draw(0, 1) == 1) process_->signal(SIGUSR1);
    pause(until_ms - kMinServingMs);
    check_running();
  }

  void restart() {
    const Micros begun_at = send_sigterm(*process_);
    std::thread front([this, begun_at] {
      sleep_until(begun_at + draw_new_connections_time());
      is_open_ = false;
    });
    shut_down(*process_, begun_at);
    front.join();
    process_ = start_process();
    wait_until_ready(*process_);
    is_open_ = true;
  }

  void upgrade() {
    auto next = start_process();
    wait_until_ready(*next);
    const Micros begun_at = send_sigterm(*process_);
    shut_down(*process_, begun_at);
    process_ = std::move(next);
  }

  Micros draw_new_connections_time() {
    return draw(kMinNewConnectionsMs, kMaxNewConnectionsMs) * core::kMilli;
  }
  // Returns the time of the signal; in some shutdowns a SIGHUP comes right before.
  Micros send_sigterm(Process& process) {
    if (draw(0, 2) == 0) process.signal(SIGHUP);
    const Micros now = clock_();
    process.signal(SIGTERM);
    return now;
  }
  void sleep_until(Micros time) {
    const Micros left = time - clock_();
    if (left > 0) std::this_thread::sleep_for(std::chrono::microseconds(left));
  }

  // Waits for the end of a process that has got SIGTERM, with more signals on the way, or kills it.
  void shut_down(Process& process, Micros begun_at) {
    const Micros kill_at = begun_at + kSigkillAfterMs * core::kMilli;
    Shutdown shutdown{index_, begun_at, 0};
    int status = 0;
    while (!process.ended(status)) {
      if (clock_() >= kill_at) {
        shutdown.killed_at = clock_();  // before its clients can see it
        process.signal(SIGKILL);
        break;
      }
      send_further_signal(process);
      pause(1);
    }
    history_.on_shutdown(shutdown);
    if (shutdown.killed_at > 0) {
      within(kReadyTimeoutMs, [&] { return process.ended(status); });
    } else if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) {
      report("ended badly after SIGTERM, wait status " + std::to_string(status) + "\n" + process.log());
    }
  }
  // About every 100 ms: SIGTERM once more, SIGHUP up to three times at once, or SIGUSR1.
  void send_further_signal(Process& process) {
    if (draw(1, 100) > 1) return;
    const int kind = draw(0, 2);
    if (kind == 0) process.signal(SIGTERM);
    if (kind == 1) process.signal(SIGUSR1);
    for (int i = kind == 2 ? draw(1, 3) : 0; i > 0; --i) process.signal(SIGHUP);
  }

  const RunOptions& options_;
  std::size_t index_;
  std::string folder_;
  unsigned short discovery_;
  RequestHistory& history_;
  std::function<Micros()> clock_;
  std::mt19937_64 random_;
  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  unsigned short port_ = 0;
  int starts_ = 0;
  std::size_t idle_descriptors_ = 0;
  std::unique_ptr<Process> process_;
  std::atomic<bool> is_open_ = false;
};

// One run: routers, replicas, discovery and clients.
class Run final : public Front {
 public:
  explicit Run(const RunOptions& options)
      : options_(options),
        random_(options.seed),
        clock_([start = std::chrono::steady_clock::now()] {
          return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() -
                                                                       start)
              .count();
        }),
        clients_(client_io_.io, history_, *this, clock_, options.seed, options.planted) {
    char name[] = "/tmp/flintglade-soak-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder_ = name;
    for (std::size_t i = 0; i < kReplicas; ++i)
      replicas_.push_back(
          std::make_unique<SoakReplica>(replica_io_.io, history_, clock_, random_(), faults_of(i)));
    list_replicas(kReplicas);
    for (std::size_t i = 0; i < kRouters; ++i)
      routers_.push_back(
          std::make_unique<SoakRouter>(options_, i, folder_, discovery_.port(), history_, clock_));
  }
  ~Run() override {
    client_io_.stop();
    replica_io_.stop();
    std::filesystem::remove_all(folder_);
  }

  bool is_open(std::size_t router) const override { return routers_[router]->is_open(); }
  unsigned short port(std::size_t router) const override { return routers_[router]->port(); }
  std::size_t routers() const override { return routers_.size(); }

  std::vector<std::string> play() {
    for (const auto& router : routers_) router->start();
    open_crowd();
    on_client_thread([this] { clients_.start(kClients); });
    std::atomic<bool> is_over = false;
    std::thread list([&] {
      while (!is_over) change_list();
    });
    // A process ends with the thread that has started it: each thread stays until its router is checked.
    std::latch all_have_run(static_cast<std::ptrdiff_t>(routers_.size())), clients_have_left(1);
    std::vector<std::thread> threads;
    for (const auto& router : routers_) {
      threads.emplace_back([&] {
        router->run();
        all_have_run.count_down();
        clients_have_left.wait();
        router->check_resources();
      });
    }
    all_have_run.wait();
    is_over = true;
    list.join();
    finish_clients();
    crowd_.clear();
    clients_have_left.count_down();
    for (std::thread& thread : threads) thread.join();
    return history_.violations();
  }
  const RequestHistory& history() const { return history_; }

 private:
  // In two of three runs the first replica is a bad one.
  ReplicaFaults faults_of(std::size_t replica) const {
    ReplicaFaults faults;
    if (replica > 0) return faults;
    if (options_.seed % 3 == 1) faults.hang = kBadReplicaPercent;
    if (options_.seed % 3 == 2) faults.reset = kBadReplicaPercent;
    return faults;
  }
  // `draining`: the index of the replica that is draining; kReplicas: none.
  void list_replicas(std::size_t draining) {
    std::string entries;
    for (std::size_t i = 0; i < replicas_.size(); ++i)
      entries += std::string(i > 0 ? "," : "") + "{\"uid\":\"s-" + std::to_string(i) +
                 "\",\"endpoint\":\"127.0.0.1:" + std::to_string(replicas_[i]->port()) +
                 "\",\"az\":\"hall\",\"model\":\"gpu\",\"pod_group\":0,\"state\":\"" +
                 (i == draining ? "Terminating" : "Ready") + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    discovery_.change(entries);
  }
  // One replica drains for a while and comes back.
  void change_list() {
    pause(std::uniform_int_distribution<int>(300, 900)(random_));
    list_replicas(random_() % kReplicas);
    pause(std::uniform_int_distribution<int>(200, 600)(random_));
    list_replicas(kReplicas);
  }

  void open_crowd() {
    if (!options_.has_crowd()) return;
    LoadOptions no_requests;
    no_requests.per_second = 1e-6;
    for (const auto& router : routers_) {
      crowd_.push_back(std::make_unique<Load>(router->port(), no_requests, options_.seed));
      crowd_.back()->open_idle_connections(kCrowdOfEachRouter / 2, "", kCrowdReconnectMs);
      crowd_.back()->open_idle_connections(kCrowdOfEachRouter / 2, "POST /v1/chat/comp", kCrowdReconnectMs);
    }
  }

  void on_client_thread(const std::function<void()>& step) {
    std::promise<void> done;
    boost::asio::post(client_io_.io, [&] {
      step();
      done.set_value();
    });
    done.get_future().wait();
  }
  void finish_clients() {
    on_client_thread([this] { clients_.finish(); });
    int open_requests = 1;
    within(2 * kIdleTimeoutMs, [&] {
      on_client_thread([&] { open_requests = clients_.open_requests(); });
      return open_requests == 0;
    });
    on_client_thread([this] { clients_.close_connections(); });
  }

  // Constructed first: sockets and timers have to be destroyed before their io_context.
  IoThread replica_io_, client_io_;
  RunOptions options_;
  std::mt19937_64 random_;
  std::function<Micros()> clock_;
  std::string folder_;
  RequestHistory history_;
  Discovery discovery_;
  std::vector<std::unique_ptr<SoakReplica>> replicas_;
  std::vector<std::unique_ptr<SoakRouter>> routers_;
  std::vector<std::unique_ptr<Load>> crowd_;
  SoakClients clients_;
};

// The results of all runs, printed as they come.
class Results {
 public:
  void add(const RunOptions& options, const RequestHistory& history,
           const std::vector<std::string>& violations) {
    const std::lock_guard lock(mutex_);
    const std::vector<std::size_t> ends = history.ends();
    std::printf(
        "seed %llu%s%s: served %zu, refused %zu, failed %zu, broken %zu, unanswered %zu, left %zu, "
        "attempts %zu, killed %zu of %zu, violations %zu\n",
        static_cast<unsigned long long>(options.seed), options.upgrades() ? " upgrades" : "",
        options.has_crowd() ? " crowd" : "", count(ends, RequestEnd::served),
        count(ends, RequestEnd::refused), count(ends, RequestEnd::failed), count(ends, RequestEnd::broken),
        count(ends, RequestEnd::unanswered), count(ends, RequestEnd::left), history.attempts(),
        history.kills(), history.shutdowns(), violations.size());
    for (const std::string& violation : violations)
      std::printf("VIOLATION seed %llu: %s\n", static_cast<unsigned long long>(options.seed),
                  violation.c_str());
    std::fflush(stdout);
    runs_with_violations_ += violations.empty() ? 0 : 1;
  }
  int runs_with_violations() const { return runs_with_violations_; }

 private:
  static std::size_t count(const std::vector<std::size_t>& ends, RequestEnd end) {
    return ends[static_cast<std::size_t>(end)];
  }
  std::mutex mutex_;
  int runs_with_violations_ = 0;
};

PlantedFault parse_fault(const std::string& name) {
  if (name == "cut_response") return PlantedFault::cut_response;
  if (name == "drop_request") return PlantedFault::drop_request;
  return PlantedFault::none;
}

int play_all(const std::string& program, std::uint64_t first_seed, int runs, int parallel,
             PlantedFault planted) {
  Results results;
  std::atomic<int> next = 0;
  std::vector<std::thread> threads;
  for (int i = 0; i < parallel; ++i) {
    threads.emplace_back([&] {
      for (int run = next++; run < runs; run = next++) {
        const RunOptions options{program, first_seed + static_cast<std::uint64_t>(run), planted};
        Run soak(options);
        const std::vector<std::string> violations = soak.play();
        results.add(options, soak.history(), violations);
      }
    });
  }
  for (std::thread& thread : threads) thread.join();
  const bool has_violations = results.runs_with_violations() > 0;
  std::printf("%d runs, %d with violations\n", runs, results.runs_with_violations());
  return has_violations == (planted != PlantedFault::none) ? 0 : 1;
}

}  // namespace
}  // namespace flintglade::tests::soak

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  const int runs = argc > 3 ? std::atoi(argv[3]) : 1;
  const int parallel = argc > 4 ? std::atoi(argv[4]) : 1;
  using namespace flintglade::tests::soak;
  return play_all(argv[1], std::strtoull(argv[2], nullptr, 10), runs, parallel,
                  parse_fault(argc > 5 ? argv[5] : ""));
}
