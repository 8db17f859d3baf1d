// A fleet of router processes with a simulated link between each pair, and helpers of the tests that use it.
#pragma once

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

#include "check.h"
#include "coordination.pb.h"
#include "coordination/audit.h"
#include "fleet/links.h"
#include "fleet/process.h"
#include "settings.h"
#include "stand_ins.h"

namespace flintglade::tests {

using coordination::Audit;
using coordination::LogLine;

inline std::string g_program;  // path of the router program
inline constexpr const char* kJob = "list-reader@hall";
inline constexpr int kLeaseMs = 800;

inline void pause(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }
inline double since(std::chrono::steady_clock::time_point from) {
  return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - from).count();
}
inline std::chrono::steady_clock::time_point now() { return std::chrono::steady_clock::now(); }
inline double percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return 0.0;
  std::sort(values.begin(), values.end());
  return values[std::min(values.size() - 1,
                         static_cast<std::size_t>(fraction * static_cast<double>(values.size())))];
}

inline std::string contents(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(in), {});
}

// What differs between the test cases.
struct FleetOptions {
  std::size_t replicas = 1, sites = 1;
  std::string extra;     // added to `fleet` in each operator file; '@' becomes a path prefix of that router
  std::string settings;  // empty: kSettings
};

class Fleet {
 public:
  Links links;
  Discovery discovery;
  std::vector<std::unique_ptr<Replica>> replicas;

  // There is one link more than routers, for a process that a test case starts itself.
  Fleet(std::size_t routers, std::size_t voters, std::uint64_t seed, FleetOptions options = {})
      : links(routers + 1, seed), voters_(voters), options_(std::move(options)) {
    char name[] = "/tmp/flintglade-owners-XXXXXX";
    CHECK(::mkdtemp(name) != nullptr);
    folder = name;
    for (std::size_t i = 0; i < options_.replicas; ++i)
      replicas.push_back(make_replica(Protocol::http, "stream", 1));
    change("Ready");
    routers_.resize(routers);
    for (std::size_t i = 0; i < routers; ++i) {
      write_file(i);
      if (i < voters) CHECK(command({"fleet", "init", file(i), "--router", id(i)}) == 0);
    }
    for (std::size_t i = 0; i < routers; ++i) start(i);
  }
  ~Fleet() {
    routers_.clear();
    std::filesystem::remove_all(folder);
  }

  static std::string id(std::size_t i) { return "n" + std::to_string(i); }
  std::string file(std::size_t i) const { return folder + "/" + id(i) + ".textproto"; }
  std::string disk(std::size_t i) const { return folder + "/" + id(i) + ".record"; }
  std::size_t size() const { return routers_.size(); }
  // Sets the state of all replicas in the endpoint list.
  void change(const std::string& state) {
    std::string entries;
    for (std::size_t i = 0; i < replicas.size(); ++i)
      entries += std::string(i > 0 ? "," : "") + "{\"uid\":\"s-" + std::to_string(i) +
                 "\",\"endpoint\":\"127.0.0.1:" + std::to_string(replicas[i]->port()) +
                 "\",\"az\":\"hall\",\"model\":\"gpu\",\"pod_group\":0,\"state\":\"" + state +
                 "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    discovery.change(entries);
  }

  void start(std::size_t i) {
    const std::string config = folder + "/" + id(i) + ".json";
    std::ofstream(config) << "{\"name\":\"" << id(i)
                          << "\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:" << discovery.port()
                          << "\",\"seed\":\"" << ++starts_
                          << "\",\"limits\":{\"memory_mb\":64,\"sockets\":256},\"settings\":"
                          << (options_.settings.empty() ? kSettings : options_.settings) << "}";
    ProcessOptions options{
        g_program, {"serve", "--operator", file(i)}, {{"GW_CONFIG", config}, {"TMPDIR", folder}}, -1};
    auto process = std::make_unique<Process>(options);
    unsigned short port = 0;
    CHECK(within(5000, [&] { return (port = process->port("wire=fleet at=127.0.0.1:")) != 0; }));
    links.set_listen_port(i, port);
    ports_[i] = port;
    routers_[i] = std::move(process);
  }
  void signal(std::size_t i, int number) { routers_[i]->signal(number); }
  void kill(std::size_t i) {
    links.set_listen_port(i, 0);
    routers_[i]->signal(SIGKILL);
    int status = 0;
    CHECK(within(3000, [&] { return routers_[i]->ended(status); }));
    logs_[i] += routers_[i]->log();
    routers_[i].reset();
  }
  long cpu_ms(std::size_t i) const { return routers_[i]->cpu_ms(); }
  bool runs(std::size_t i) const { return routers_[i] != nullptr; }
  std::string log(std::size_t i) const {
    const auto it = logs_.find(i);
    return (it == logs_.end() ? "" : it->second) + (routers_[i] ? routers_[i]->log() : "");
  }
  unsigned short http(std::size_t i) const { return routers_[i]->port("wire=http at=127.0.0.1:"); }
  std::string address(std::size_t i) const { return "127.0.0.1:" + std::to_string(ports_.at(i)); }

  Audit audit() const {
    Audit out;
    for (std::size_t i = 0; i < routers_.size(); ++i) out.add_log(id(i), log(i));
    return out;
  }
  // The router that became owner of kJob last; -1 if its ownership has ended or its process does not run.
  int owner() const {
    const auto owners = audit().ownerships();
    const Audit::Ownership* last = nullptr;
    for (const Audit::Ownership& ownership : owners) {
      if (ownership.job == kJob && (last == nullptr || ownership.number >= last->number)) last = &ownership;
    }
    if (last == nullptr || last->end_reason != "its log ends") return -1;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (id(i) == last->router && runs(i)) return static_cast<int>(i);
    }
    return -1;
  }
  std::uint64_t highest_ownership_number() const {
    std::uint64_t highest = 0;
    for (const Audit::Ownership& ownership : audit().ownerships())
      highest = std::max(highest, ownership.number);
    return highest;
  }
  // Waits for an owner with a higher ownership number that is not one of `excluded`; -1 on a timeout.
  int wait_owner(std::uint64_t above, int timeout_ms, const std::vector<std::size_t>& excluded = {}) {
    int found = -1;
    within(timeout_ms, [&] {
      const int current = owner();
      if (current < 0 || highest_ownership_number() <= above) return false;
      if (std::find(excluded.begin(), excluded.end(), static_cast<std::size_t>(current)) != excluded.end())
        return false;
      found = current;
      return true;
    });
    return found;
  }
  // The running voter that leads in the highest term according to its log; -1: none.
  int leader() const {
    int found = -1;
    std::uint64_t term = 0;
    for (std::size_t i = 0; i < voters_; ++i) {
      if (!runs(i)) continue;
      std::istringstream lines(log(i));
      std::uint64_t led_term = 0;
      for (std::string text; std::getline(lines, text);) {
        const std::optional<LogLine> parsed = coordination::parse_log_line(text);
        if (!parsed) continue;
        const LogLine& line = *parsed;
        if (line.event == "leadership_acquired") led_term = std::strtoull(line["term"].c_str(), nullptr, 10);
        if (line.event == "leadership_lost" || (line.event == "listening" && line["wire"] == "http"))
          led_term = 0;
      }
      if (led_term > term) {
        term = led_term;
        found = static_cast<int>(i);
      }
    }
    return found;
  }
  // The number of running routers whose last log event endpoint_list_reader has this state.
  std::size_t reads_as(const std::string& state) const {
    std::size_t count = 0;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (!runs(i)) continue;
      const std::string text = routers_[i]->log();
      const std::string marker = "event=endpoint_list_reader as=";
      const std::size_t at = text.rfind(marker);
      count += (at == std::string::npos
                    ? "alone"
                    : text.substr(at + marker.size(), text.find('\n', at) - at - marker.size())) == state;
    }
    return count;
  }
  // Waits until one router reads the endpoint list and all others follow it.
  void wait_until_all_follow() const {
    const bool all_follow =
        within(15000, [&] { return reads_as("following") == size() - 1 && reads_as("reader") == 1; });
    if (!all_follow) print_logs();
    CHECK(all_follow);
  }
  // Runs a command of the program. Returns its exit status; -1: it did not end.
  int command(const std::vector<std::string>& arguments) const {
    Process process(ProcessOptions{g_program, arguments, {}, -1});
    int status = 0;
    if (!within(15000, [&] { return process.ended(status); })) return -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  }
  // The status that the router reports; without a name if it does not answer.
  coordination::Status status(std::size_t i) const {
    coordination::Packet question, answer;
    question.mutable_query();
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(io, {boost::asio::ip::udp::v4(), 0});
    std::array<char, 65536> bytes{};
    send(socket, i, question);
    socket.async_receive(boost::asio::buffer(bytes), [&](boost::system::error_code ec, std::size_t n) {
      if (!ec) answer.ParseFromArray(bytes.data(), static_cast<int>(n));
    });
    io.run_for(std::chrono::milliseconds(1000));
    return answer.status();
  }
  // Sends a packet to a router as if it came from another router of the fleet.
  void forge(std::size_t to, const coordination::Packet& packet) const {
    boost::asio::io_context io;
    boost::asio::ip::udp::socket socket(io, {boost::asio::ip::udp::v4(), 0});
    send(socket, to, packet);
  }
  // Ends the test if the audit of the logs reports a violated rule.
  void check_invariants() const {
    const Audit logs = audit();
    for (const std::string& violation : logs.violations())
      std::fprintf(stderr, "BROKEN: %s\n", violation.c_str());
    CHECK(logs.violations().empty());
  }
  void print_logs() const {
    for (std::size_t i = 0; i < routers_.size(); ++i)
      std::fprintf(stderr, "== %s\n%s", id(i).c_str(), log(i).c_str());
  }
  std::string folder;

 private:
  void send(boost::asio::ip::udp::socket& socket, std::size_t to, const coordination::Packet& packet) const {
    socket.send_to(boost::asio::buffer(packet.SerializeAsString()),
                   {boost::asio::ip::address_v4::loopback(), ports_.at(to)});
  }
  void write_file(std::size_t i) {
    std::ofstream out(file(i));
    out << "fleet { name: \"test\" listen: \"127.0.0.1:0\" advertise: \"" << links.advertised_address(i)
        << "\" site: \"" << (options_.sites > 1 ? "hall" + std::to_string(i % options_.sites) : "hall")
        << "\"\n"
        << "directory: \"" << disk(i) << "\" " << (options_.sites > 1 ? "" : "list_readers: \"hall\"")
        << " period_s: 0.2 probe_timeout_s: 0.06 lease_s: " << kLeaseMs / 1000.0
        << " election_s: 0.3 list_silence_s: 0.6\n";
    for (std::size_t v = 0; v < voters_; ++v)
      out << "seeds: \"" << links.advertised_address(v) << "\" voters { router: \"" << id(v)
          << "\" id: " << v + 1 << " at: \"" << links.advertised_address(v) << "\" }\n";
    std::string extra = options_.extra;
    if (const std::size_t at = extra.find("@"); at != std::string::npos)
      extra.replace(at, 1, folder + "/" + id(i));
    out << extra << "}\n";
  }
  std::size_t voters_;
  FleetOptions options_;
  int starts_ = 0;
  std::vector<std::unique_ptr<Process>> routers_;
  std::map<std::size_t, std::string> logs_;
  std::map<std::size_t, unsigned short> ports_;
};

inline std::vector<std::size_t> others(const Fleet& fleet, std::size_t excluded) {
  std::vector<std::size_t> out;
  for (std::size_t i = 0; i < fleet.size(); ++i) {
    if (i != excluded) out.push_back(i);
  }
  return out;
}

}  // namespace flintglade::tests
