#include "scenario.h"

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <sstream>
#include <stdexcept>

#include "certs.h"
#include "dns_server.h"
#include "faults/faults.h"
#include "fleet/process.h"
#include "pcap/reader.h"
#include "pcap/writer.h"
#include "settings.h"
#include "stand_ins.h"

namespace flintglade::tests {
namespace {

using namespace std::chrono_literals;

// How long a step waits for its condition. Long enough that no result depends on the speed of the machine.
constexpr int kStepTimeoutMs = 20'000;

[[noreturn]] void fail(const std::string& what) { throw std::runtime_error(what); }

void wait_until(const std::string& what, const std::function<bool()>& condition) {
  if (!within(kStepTimeoutMs, condition)) fail(what + ": not reached within the step timeout");
}

// Replaces '_' by a blank, \n by a newline and any other escaped character by a carriage return.
std::string unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '\\' && i + 1 < text.size()) {
      out += text[++i] == 'n' ? '\n' : '\r';
    } else {
      out += text[i] == '_' ? ' ' : text[i];
    }
  }
  return out;
}

class Program {
 public:
  Program(const std::string& path, unsigned short discovery, Protocol protocol, const std::string& sockets,
          const std::string& membership, const std::string& kserve, bool admin = false, int replayed = 0,
          const std::map<std::string, std::string>& environment = {})
      : serves_kserve_(protocol == Protocol::kserve), admin_(admin), kserve_settings_(kserve), path_(path) {
    char name[] = "/tmp/flintglade-test-XXXXXX";
    if (mkdtemp(name) == nullptr) fail("cannot create a folder for the configuration in /tmp");
    folder_ = name;
    sockets_ = sockets;
    write_config(discovery);
    write_operator_file(membership);
    write_savefile(replayed);
    ProcessOptions start{path, {}, {}, -1};
    start.environment = {{"GW_CONFIG", folder_ + "/config.json"},
                         {"GW_DISCOVERY", "127.0.0.1:" + std::to_string(discovery)}};
    start.environment.insert(environment.begin(), environment.end());
    if (replayed > 0) {
      start.arguments = {"serve", "--replay", savefile(), "--record", record()};
    } else if (serves_kserve_ || !membership.empty()) {
      start.arguments = {"serve", "--operator", folder_ + "/operator.textproto"};
    }
    process_ = std::make_unique<Process>(start);
  }
  ~Program() {
    process_.reset();
    for (const char* file : {"/config.json", "/operator.textproto", "/in.pcap", "/out.pcap"})
      ::unlink((folder_ + file).c_str());
    ::rmdir(folder_.c_str());
  }
  void write_operator_file(const std::string& membership) {
    std::ofstream(folder_ + "/operator.textproto")
        << (serves_kserve_ ? "kserve { listen: \"127.0.0.1:0\" models { name: \"shared\" versions: \"1\" }" +
                                 kserve_settings_ + " }\n"
                           : "")
        << membership;
  }
  // Runs another command of the program with the operator's file as its last argument; returns its output.
  std::string run(const std::string& command) {
    const std::string line = "GW_CONFIG=" + folder_ + "/config.json " + path_ + " " + command + " " +
                             folder_ + "/operator.textproto 2>&1";
    FILE* pipe = ::popen(line.c_str(), "r");
    std::string out;
    char bytes[4096];
    for (std::size_t n; pipe != nullptr && (n = std::fread(bytes, 1, sizeof bytes, pipe)) > 0;)
      out.append(bytes, n);
    if (pipe != nullptr) ::pclose(pipe);
    return out;
  }
  void write_config(unsigned short discovery) {
    std::ofstream(folder_ + "/config.json")
        << "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":"
        << "\"127.0.0.1:" << discovery << "\",\"seed\":\"8c1f\","
        << (admin_ ? "\"admin_addr\":\"127.0.0.1:0\"," : "")
        << "\"limits\":{\"memory_mb\":192,\"sockets\":" << sockets_ << "},"
        << "\"settings\":" << kSettings << "}";
  }
  void set_kserve_settings(const std::string& settings) { kserve_settings_ = settings; }
  // Expects the program to exit by itself with status 1 and exactly one plain line (not a log event), which
  // contains this text.
  void expect_start_failure(const std::string& expected_text) {
    int status = 0;
    wait_until("process exit", [&] { return process_->ended(status); });
    wait_until("a line of output", [&] { return log().find('\n') != std::string::npos; });
    std::string output = log(), failure_line;
    std::istringstream lines(output);
    int plain_lines = 0;
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("flintglade: ", 0) == 0 && ++plain_lines > 0) failure_line = line;
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 1 || plain_lines != 1 ||
        failure_line.find(expected_text) == std::string::npos)
      fail("unexpected start: wait status " + std::to_string(status) + ", output: " + output);
  }
  // Reloads the configuration, or the operator's file if operator_file is not 'none', and waits for the log
  // line of its success or, if bad, of its rejection. A bad configuration is written here; a bad operator's
  // file by the caller.
  void reload(bool bad, const std::string& operator_file = "none") {
    if (bad && operator_file == "none") std::ofstream(folder_ + "/config.json") << "{\"settings\":";
    process_->signal(SIGHUP);
    const char* line = !bad                      ? "event=reloaded "
                       : operator_file == "none" ? "event=reload_rejected why=\"config: "
                                                 : "event=reload_rejected ";
    wait_until("log line of the reload", [&] {
      const std::string all = log();
      const std::size_t at = all.find(line, reload_search_from_);
      if (at == std::string::npos || all.find('\n', at) == std::string::npos) return false;
      reload_search_from_ = at + 1;
      return true;
    });
  }
  std::string log() { return process_->log(); }
  unsigned short port(const std::string& mark) { return process_->port(mark); }
  long counter(const std::string& name) {
    const std::size_t before = log().size();
    process_->signal(SIGUSR1);
    std::string all;
    wait_until("log line event=counters", [&] {
      all = log();
      const std::size_t line = all.find("event=counters", before);
      return line != std::string::npos && all.find('\n', line) != std::string::npos;
    });
    const std::size_t at = all.find(" " + name + "=", all.find("event=counters", before));
    if (at == std::string::npos) fail("no such counter: " + name);
    return std::atol(all.c_str() + at + name.size() + 2);
  }
  pid_t pid() const { return process_->pid(); }
  std::string savefile() const { return folder_ + "/in.pcap"; }
  std::string record() const { return folder_ + "/out.pcap"; }
  void stop() {
    process_->signal(SIGTERM);
    wait_for_exit();
  }
  void wait_for_exit() {
    int status = 0;
    wait_until("process exit", [&] { return process_->ended(status); });
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) fail("exit status " + std::to_string(status));
  }

 private:
  void write_savefile(int requests) {
    pcap::Writer writer;
    if (requests == 0 || !writer.open(savefile()).empty()) return;
    for (int i = 0; i < requests; ++i) {
      const auto port = static_cast<std::uint16_t>(40000 + i);
      const core::Micros at = i * 20 * core::kMilli;
      auto exchange = writer.begin({{{127, 0, 0, 1}, port}, {{127, 0, 0, 2}, 8000}}, at);
      writer.from_client(exchange,
                         "POST /v1/chat/completions HTTP/1.1\r\nX-Trace-Id: " + std::to_string(i) +
                             "\r\nX-Qos: chat\r\nX-Customer: acme\r\nContent-Length: 2\r\n\r\n{}",
                         at);
      writer.end(exchange, true, at);
    }
  }
  bool serves_kserve_, admin_;
  std::string kserve_settings_, path_, folder_, sockets_;
  std::size_t reload_search_from_ = 0;  // where in the log reload() searches for its next line
  std::unique_ptr<Process> process_;
};

class Run {
 public:
  Run(Protocol protocol, std::string path) : protocol_(protocol), path_(std::move(path)) {}
  ~Run() {
    std::error_code ignored;
    if (!certificates_folder_.empty()) std::filesystem::remove_all(certificates_folder_, ignored);
  }
  void step(const std::string& line) {
    std::istringstream in(line);
    std::string verb, first, second, third;
    in >> verb;
    if (verb == "list") return list(in);
    if (verb == "stop") return program().stop();
    if (verb == "replay" || verb == "recorded") {
      int n = 0;
      in >> n;
      return verb == "replay" ? replay(n) : recorded(n);
    }
    if (verb == "operators") return void(admin_ = true);
    in >> first;
    if (verb == "figure") {
      in >> second;
      return wait_until("metric " + first + " " + second, [&] {
        return http_call(admin_port_, "GET", "/_vars").find("\n" + first + " " + second + "\n") !=
               std::string::npos;
      });
    }
    if (verb == "callers") {
      in >> second;
      for (int i = 0; i < std::stoi(first); ++i)
        clients_["caller" + std::to_string(i)] = make_raw_client(admin_port_, unescape(second));
      return;
    }
    if (verb == "call") {
      in >> second >> third;
      const std::string got = http_call(admin_port_, first, second);
      return got.rfind(third + " ", 0) == 0 ? void() : fail("unexpected response: " + got);
    }
    if (verb == "wall") return faults().wall_clock(std::stod(first));
    if (verb == "faults") {
      std::string error, peer;
      int n = 0;
      in >> n >> error >> peer;
      return faults().set(first, n, error, peer.empty() ? 0 : replica(peer).port());
    }
    if (verb == "hit") {
      int n = 0;
      in >> n;
      return wait_until("hits of fault " + first, [&] { return faults().hits(first) >= n; });
    }
    if (verb == "start") return start(first.empty() ? "1024" : first);
    if (verb == "start_fails") {
      Program program(path_, discovery_.port(), protocol_, "1024", membership(), kserve());
      return program.expect_start_failure(unescape(first));
    }
    if (verb == "cert") return cert(first, in);
    if (verb == "handshakes") return measure_handshakes(port_, read_options(in), std::stoi(first));
    if (verb == "shy") {  // opens this many clients that send a request and read nothing
      for (int i = 0; i < std::stoi(first); ++i) {
        const std::string id = "shy" + std::to_string(i);
        clients_[id] = make_client(protocol_, port_, id, {{"shy", ""}, {"session", std::to_string(i)}});
      }
      return;
    }
    if (verb == "forget_shy") {
      std::erase_if(clients_, [](const auto& entry) { return entry.first.rfind("shy", 0) == 0; });
      return;
    }
    if (verb == "forget") return void(clients_.erase(first));
    if (verb == "rounds") {
      int n = 0;
      in >> n;
      return drain_rounds(first, n);
    }
    if (verb == "conformance") return conformance(first, in);
    if (verb == "describes") {
      in >> second >> third;
      std::string metadata;
      try {
        return wait_until("model metadata", [&] {
          metadata = grpc_model_metadata(port_, first, third);
          return metadata == second || metadata.find(unescape(second)) != std::string::npos;
        });
      } catch (const std::exception&) {
        fail("unexpected model metadata: " + metadata);
      }
    }
    if (verb == "logged")
      return wait_until("log line", [&] { return program().log().find(first) != std::string::npos; });
    if (verb == "dns") return dns(first, in);
    if (verb == "sources") {
      sources_ = {first};
      for (std::string argument; in >> argument;) sources_.push_back(argument);
      return;
    }
    if (verb == "rule" || verb == "resolver" || verb == "kserve" || verb == "operator") {
      std::string rest;
      std::getline(in, rest);
      std::string& text = (verb == "operator" ? operator_settings_
                           : verb == "rule"   ? rule_settings_
                           : verb == "kserve" ? kserve_settings_
                                              : resolver_settings_);
      first == "anew" ? text = rest : text += " " + first + rest;  // anew: replaces what was set before
      return;
    }
    if (verb == "quiet" || verb == "busy") {
      std::vector<std::string> names{first};
      for (std::string argument; in >> argument;) names.push_back(argument);
      return expect_calls(names, verb == "busy");
    }
    if (verb == "pause") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(first)));
    if (verb == "saw") return expect_metadata(first, in);
    if (verb == "measure") {
      int requests = 0;
      in >> requests;
      return measure_grpc(port_, replica(first).port(), requests);
    }
    if (verb == "memory") {
      std::ifstream file("/proc/" + std::to_string(program().pid()) + "/status");
      for (std::string status_line; std::getline(file, status_line);) {
        if (status_line.rfind("VmRSS", 0) == 0) std::printf("%s: %s\n", first.c_str(), status_line.c_str());
      }
      return;
    }
    if (verb == "hold") {
      int n = 0;
      in >> n;
      for (int i = 0; i < n; ++i) {
        open_streams_.push_back(make_stream(port_));
        open_streams_.back()->send_request(first + std::to_string(i), "shared", 0);
        if (i % 50 == 49)
          wait_until("stream",
                     [&] { return open_streams_.back()->response_count(first + std::to_string(i)) > 0; });
      }
      return;
    }
    if (verb == "storm") return cancel_streams(std::stoi(first));
    if (verb == "stream") {
      streams_[first] = make_stream(port_);
      return;
    }
    if (streams_.count(first) != 0) return stream(*streams_[first], verb, in);
    if (verb == "health") {
      std::string service;
      in >> service;
      return wait_until("health " + first, [&] { return grpc_health(port_, service) == first; });
    }
    if (verb == "resolved") return resolved(first, in);
    if (verb == "reload" && first == "operator") {
      in >> second;
      program().set_kserve_settings(kserve());
      program().write_operator_file(membership());
      return program().reload(second == "bad", second);
    }
    if (verb == "send") return send(first, in);
    in >> second >> third;
    if (verb == "raw") {
      clients_[first] = make_raw_client(http_port_, unescape(second));
      return;
    }
    if (verb == "reload") {
      if (first != "bad") program().write_config(discovery_.move());
      program().reload(first == "bad");
    } else if (verb == "replica") {
      replicas_[first] = make_replica(
          protocol_, second, third.empty() || second == "says" ? 1 : std::stoi(third), read_options(in));
      if (second == "says") replica(first).behaviour.text = unescape(third);
    } else if (verb == "discovery") {
      first == "down" ? discovery_.down() : discovery_.silent();
    } else if (verb == "read") {
      client(first).reading_paused = false;
    } else if (verb == "close") {
      client(first).close();
    } else if (verb == "release") {
      replica(first).behaviour.released = true;
    } else if (verb == "expect") {
      expect(client(first), unescape(second), third);
    } else if (verb == "wait") {
      wait(first, second, std::stol(third));
    } else {
      fail("unknown step");
    }
  }
  // The program's log, with only the last of its event=counters lines: steps request many of them.
  std::string log() {
    std::istringstream in(program_ ? program_->log() : "");
    std::string out, counters;
    for (std::string line; std::getline(in, line);) {
      (line.find("event=counters") == std::string::npos ? out : counters = "") += line + "\n";
    }
    return out + counters;
  }

 private:
  Program& program() { return program_ ? *program_ : (fail("the program has not been started"), *program_); }
  Replica& replica(const std::string& name) {
    const auto it = replicas_.find(name);
    return it != replicas_.end() ? *it->second : (fail("unknown replica " + name), *it->second);
  }
  Client& client(const std::string& id) {
    const auto it = clients_.find(id);
    return it != clients_.end() ? *it->second : (fail("unknown request " + id), *it->second);
  }
  DnsServer& dns_server() {
    if (!dns_) dns_ = std::make_unique<DnsServer>();
    return *dns_;
  }
  void dns(const std::string& name, std::istringstream& in) {
    DnsZone zone = dns_server().zone(name);
    std::string what;
    in >> what;
    if (what == "names") {
      zone.records.clear();
      for (std::string argument; in >> argument;) {
        DnsZone::Srv record;
        std::istringstream fields(argument);
        std::string priority, weight;
        std::getline(fields, record.target, ':');
        std::getline(fields, priority, ':');
        std::getline(fields, weight, ':');
        if (record.target != ".") record.port = replica(record.target).port();
        if (!priority.empty()) record.priority = static_cast<std::uint16_t>(std::stoi(priority));
        if (!weight.empty()) record.weight = static_cast<std::uint16_t>(std::stoi(weight));
        zone.records.push_back(record);
      }
    } else if (what == "many") {
      int n = 0;
      in >> n;
      for (int i = 0; i < n; ++i)
        zone.records.push_back({"n" + std::to_string(i), 9, 9, 1,
                                "127.1." + std::to_string(i / 250) + "." + std::to_string(i % 250 + 1)});
    } else if (what == "ttl") {
      in >> zone.ttl;
    } else if (what == "evil") {
      std::string evil;
      in >> evil;
      dns_server().evil(replica(evil).port());
    } else if (what == "glue") {
      zone.glue = false;
    } else if (what == "fault") {
      zone.fault.clear();
      in >> zone.fault >> zone.argument;
    } else {
      fail("unknown argument of step 'dns': " + what);
    }
    if (!program_ && std::find(zones_.begin(), zones_.end(), name) == zones_.end()) zones_.push_back(name);
    dns_server().zone(name, zone);
  }
  std::string membership() {
    std::vector<std::string> sources = sources_;
    if (sources.empty() && zones_.empty()) return operator_settings_;
    if (sources.empty()) {
      sources = zones_;
      sources.insert(sources.begin(), "list");
    }
    std::string out = "membership {\n";
    for (const std::string& source : sources) {
      out += "sources { name: \"" + source + "\" ";
      out += source == "list"
                 ? "list {} }\n"
                 : "dns_srv { name: \"_model._tcp." + source + ".test\" zero_weight: DRAINING } }\n";
    }
    out += "resolver { servers: \"127.0.0.1:" + std::to_string(dns_server().port()) +
           "\" timeout_s: 0.2 least_ttl_s: 0.1" + resolver_settings_ + " }\n";
    // Durations short enough for a test to wait for, unless it sets its own.
    out += "rule { return_s: 0.5 spill_hold_s: 0.5" + rule_settings_;
    return out + (rule_settings_.find("guard_s") == std::string::npos ? " guard_s: 2" : "") + " }\n}\n" +
           operator_settings_;
  }
  // Checks that each of these replicas gets new requests (or that none does): sends requests of enough
  // different sessions to reach every replica.
  void expect_calls(const std::vector<std::string>& names, bool expected) {
    std::vector<int> before;
    for (const std::string& name : names) before.push_back(replica(name).behaviour.calls);
    const auto calls = [&](std::size_t i) { return replica(names[i]).behaviour.calls - before[i]; };
    // The replica of a session depends on the replicas' ports, which differ in each run: sends until each
    // replica has had a request, or up to the limit.
    const int limit = expected ? 600 : 40;
    for (int n = 0; n < limit; ++n) {
      const std::string id = "spread" + std::to_string(++request_number_);
      const auto client =
          make_client(protocol_, port_, id, {{"session", std::to_string(request_number_ * 7919)}});
      const std::string outcome = client->outcome();
      if (outcome != "served") fail("unexpected outcome of request " + std::to_string(n) + ": " + outcome);
      bool all = expected;
      for (std::size_t i = 0; i < names.size(); ++i) all = all && calls(i) > 0;
      if (all) return;
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
      if ((calls(i) > 0) != expected)
        fail("replica " + names[i] + ": " + std::to_string(calls(i)) + " calls");
    }
  }
  // Makes a replica ready and draining n times, with replica b ready throughout: requests sent once the drain
  // is known must go to b.
  void drain_rounds(const std::string& name, int rounds) {
    long list_updates = program().counter("list_updates");
    for (int i = 0; i < rounds; ++i) {
      for (const char* state : {"ready", "draining"}) {
        std::istringstream entries(name + "=" + state + " b=ready");
        list(entries);
        wait_until("endpoint list update", [&] { return program().counter("list_updates") > list_updates; });
        list_updates = program().counter("list_updates");
      }
      const int before = replica(name).behaviour.calls;
      for (int request = 0; request < 4; ++request) {
        const std::string id = "round" + std::to_string(i) + "-" + std::to_string(request);
        const auto client =
            make_client(protocol_, port_, id, {{"session", std::to_string(i * 7919 + request)}});
        if (const std::string outcome = client->outcome(); outcome != "served")
          fail(id + ": unexpected outcome: " + outcome);
      }
      if (replica(name).behaviour.calls != before)
        fail("round " + std::to_string(i) + ": the draining replica was called");
    }
  }
  // Opens this many streams with one request each, 100 at a time, and cancels each batch once its last stream
  // has had a response.
  void cancel_streams(int streams) {
    for (int n = 0; n < streams;) {
      std::vector<std::unique_ptr<Stream>> batch;
      for (int i = 0; i < 100 && n < streams; ++i, ++n) {
        batch.push_back(make_stream(port_));
        batch.back()->send_request("storm" + std::to_string(n), "shared", 0);
      }
      wait_until("first response of the batch's last stream",
                 [&] { return batch.back()->response_count("storm" + std::to_string(n - 1)) > 0; });
      for (const auto& s : batch) s->cancel();
    }
  }
  void stream(Stream& stream, const std::string& verb, std::istringstream& in) {
    std::string id, argument;
    in >> id >> argument;
    if (verb == "ask") {
      long timeout_us = 0;
      in >> timeout_us;
      stream.send_request(id, argument.empty() ? "shared" : argument, timeout_us);
    } else if (verb == "pending") {
      if (!stream.error(id).empty() || stream.response_count(id) > 0)
        fail("request " + id + " is not pending: it has a response or an error");
    } else if (verb == "answers") {
      wait_until("responses to " + id, [&] { return stream.response_count(id) >= std::stoi(argument); });
      if (!stream.error(id).empty()) fail("request " + id + " failed: " + stream.error(id));
    } else if (verb == "error") {
      wait_until("error of " + id, [&] { return !stream.error(id).empty(); });
      if (stream.error(id).find(unescape(argument)) == std::string::npos)
        fail("unexpected error: " + stream.error(id));
    } else if (verb == "half_close") {
      stream.half_close();
    } else if (verb == "drop") {
      stream.cancel();
    } else if (verb == "ended") {
      const std::string got = stream.final_status();
      if (got != unescape(id)) fail("unexpected final status: " + got);
    } else {
      fail("unknown step of a stream");
    }
  }
  void expect_metadata(const std::string& name, std::istringstream& in) {
    std::string key, value;
    in >> key >> value;
    Behaviour& behaviour = replica(name).behaviour;
    const std::lock_guard lock(behaviour.mutex);
    const std::string got = behaviour.metadata.count(key) != 0 ? behaviour.metadata[key] : "nothing";
    if (got != value) fail("unexpected metadata value: " + got);
  }
  // Runs 'flintglade conformance' against the router or directly against a replica: exactly these checks must
  // fail or be skipped.
  void conformance(const std::string& target, std::istringstream& in) {
    std::set<std::string> expected, got;
    std::string arguments;
    for (std::string word; in >> word;)
      word[0] == '-' ? void(arguments += " " + word) : void(expected.insert(word));
    for (char& c : arguments) c = c == '=' ? ' ' : c;
    const unsigned short port = target == "router" ? port_ : replica(target).port();
    const std::string out =
        program().run("conformance 127.0.0.1:" + std::to_string(port) + " --model shared --timeout 2" +
                      with_certificates_folder(arguments) + " --junit /dev/null #");
    std::istringstream lines(out);
    bool has_summary = false;
    for (std::string line; std::getline(lines, line);) {
      std::istringstream fields(line);
      std::string result, name;
      fields >> result >> name;
      if (result == "FAIL" || result == "skip") got.insert(name);
      has_summary = has_summary || line.find(" passed, ") != std::string::npos;
    }
    if (!has_summary || got != expected) fail("unexpected conformance report:\n" + out);
  }
  void resolved(const std::string& first, std::istringstream& in) {
    std::vector<std::string> expected_texts{first};
    for (std::string word; in >> word;) expected_texts.push_back(word);
    const std::string out = program().run("resolve --wait 3");
    std::istringstream lines(out);
    for (std::string line; std::getline(lines, line);) {
      if (std::all_of(expected_texts.begin(), expected_texts.end(), [&](const std::string& text) {
            return line.find(unescape(text)) != std::string::npos;
          }))
        return;
    }
    fail("no line with all expected texts in the output:\n" + out);
  }
  void list(std::istringstream& in) {
    std::string entries;
    for (std::string argument; in >> argument;) {
      const std::string replica_at = argument.substr(0, argument.find('=')),
                        state = argument.substr(argument.find('=') + 1);
      const std::string name =
          replica_at.substr(replica_at.find('@') + 1);  // heir@a: another replica at a's address
      const char* state_name = state == "ready" ? "Ready" : state == "draining" ? "Terminating" : "Gone";
      if (!entries.empty()) entries += ",";
      entries += "{\"uid\":\"s-" + replica_at.substr(0, replica_at.find('@')) +
                 "\",\"endpoint\":\"127.0.0.1:" + std::to_string(replica(name).port()) +
                 "\",\"az\":\"hall\",\"model\":\"gpu\",\"pod_group\":0,\"state\":\"" + state_name +
                 "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }
    discovery_.change(entries);
  }
  void start(const std::string& sockets) {
    program_ = std::make_unique<Program>(
        path_, discovery_.port(), protocol_, sockets, membership(), kserve(), admin_, 0,
        faults_ ? faults_->environment() : std::map<std::string, std::string>{});
    const bool kserve = protocol_ == Protocol::kserve;
    wait_until("listening ports", [&] {
      http_port_ = program().port("wire=http at=127.0.0.1:");
      port_ = kserve ? program().port("wire=kserve at=127.0.0.1:") : http_port_;
      if (admin_) admin_port_ = program().port("wire=admin at=127.0.0.1:");
      return port_ != 0 && (!admin_ || admin_port_ != 0);
    });
    wait_until("status 200 of /ready", [&] { return http_status(http_port_, "/ready") == 200; });
  }
  Faults& faults() {
    if (!faults_) faults_ = std::make_unique<Faults>();
    return *faults_;
  }
  void replay(int requests) {
    program_ =
        std::make_unique<Program>(path_, discovery_.port(), protocol_, "1024", "", "", false, requests);
    program().wait_for_exit();
  }
  void recorded(int requests) {
    pcap::ReadResult got;
    const std::string error = pcap::read_requests(program().record(), {{"chat"}, {"acme"}, {1}}, got);
    if (!error.empty()) fail(error);
    std::ifstream file(program().record(), std::ios::binary);
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    int responses = 0;
    for (std::size_t at = 0; (at = bytes.find("HTTP/1.1 200 OK", at)) != std::string::npos; ++at) ++responses;
    if (static_cast<int>(got.requests.size()) != requests || responses != requests)
      fail(std::to_string(got.requests.size()) + " requests recorded, " + std::to_string(responses) +
           " responses");
  }
  Options read_options(std::istringstream& in) {
    Options out{{"folder", certificates_folder_}};
    for (std::string argument; in >> argument;) {
      const std::size_t equals = argument.find('=');
      out[argument.substr(0, equals)] = equals == std::string::npos ? "" : argument.substr(equals + 1);
    }
    return out;
  }
  // Makes a certificate. Options: ca, san, from and to (seconds from now); key=NAME: replaces its key with
  // another certificate's; mode: permissions of the key file, in octal.
  void cert(const std::string& name, std::istringstream& in) {
    if (certificates_folder_.empty()) {
      char folder[] = "/tmp/flintglade-certs-XXXXXX";
      if (mkdtemp(folder) == nullptr) fail("cannot create a folder for certificates in /tmp");
      certificates_folder_ = folder;
    }
    Options options = read_options(in);
    make_certificate(certificates_folder_, name, options["ca"], options["san"],
                     options.count("from") != 0 ? std::stol(options["from"]) : -3600,
                     options.count("to") != 0 ? std::stol(options["to"]) : 86400);
    if (options.count("key") != 0)
      std::filesystem::copy_file(certificates_folder_ + "/" + options["key"] + ".key",
                                 certificates_folder_ + "/" + name + ".key",
                                 std::filesystem::copy_options::overwrite_existing);
    if (options.count("mode") != 0)
      std::filesystem::permissions(
          certificates_folder_ + "/" + name + ".key",
          static_cast<std::filesystem::perms>(std::stoi(options["mode"], nullptr, 8)));
  }
  std::string kserve() const { return with_certificates_folder(kserve_settings_); }
  std::string with_certificates_folder(
      const std::string& text) const {  // replaces '@' with the folder of certificates
    std::string out;
    for (const char c : text) out += c == '@' ? certificates_folder_ + "/" : std::string(1, c);
    return out;
  }
  void send(const std::string& id, std::istringstream& in) {
    clients_[id] = make_client(protocol_, port_, id, read_options(in));
  }
  void expect(Client& client, std::string expected, const std::string& events) {
    const std::string got = client.outcome();
    // At the deadline the module rejects an idempotent request: over HTTP the client gets 503, over gRPC
    // DEADLINE_EXCEEDED.
    if (expected == "late" && protocol_ == Protocol::http) expected = "unavailable";
    if (got != expected) fail("unexpected outcome: " + got);
    if (!events.empty() && client.events != std::stoi(events))
      fail("unexpected number of events: " + std::to_string(client.events));
  }
  void wait(const std::string& what, const std::string& name, long value) {
    wait_until(what + " " + name, [&] {
      if (what == "events") return client(name).events >= value;
      if (what == "described") return replica(name).behaviour.metadata_calls >= value;
      if (what == "calls") return replica(name).behaviour.calls >= value;
      if (what == "least") return program().counter(name) >= value;
      return program().counter(name) == value;
    });
  }

  Protocol protocol_;
  std::string path_;
  Discovery discovery_;
  std::unique_ptr<DnsServer> dns_;
  std::unique_ptr<Faults> faults_;  // declared before program_: must outlive the process that maps it
  std::vector<std::string> zones_, sources_;
  std::string rule_settings_, resolver_settings_, kserve_settings_, operator_settings_, certificates_folder_;
  int request_number_ = 0;
  std::map<std::string, std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<Program> program_;
  std::map<std::string, std::unique_ptr<Client>> clients_;
  std::map<std::string, std::unique_ptr<Stream>> streams_;
  std::vector<std::unique_ptr<Stream>> open_streams_;
  unsigned short port_ = 0, http_port_ = 0, admin_port_ = 0;
  bool admin_ = false;
};

}  // namespace

std::string run_scenario(const std::string& text, Protocol protocol, const std::string& program) {
  Run run(protocol, program);
  std::istringstream in(text);
  int number = 0;
  for (std::string line; std::getline(in, line);) {
    ++number;
    line = line.substr(0, line.find('#'));
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    try {
      run.step(line);
    } catch (const std::exception& e) {
      return "line " + std::to_string(number) + ": " + line + ": " + e.what() + "\n" + run.log();
    }
  }
  return "";
}

}  // namespace flintglade::tests
