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

constexpr int kPatienceMs = 20'000;  // how long a step waits for what must come; no verdict hangs on less

[[noreturn]] void wrong(const std::string& what) { throw std::runtime_error(what); }

void until(const std::string& what, const std::function<bool()>& so) {
  if (!within(kPatienceMs, so)) wrong(what + " has not come about");
}

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
      : kserve_(protocol == Protocol::kserve), admin_(admin), more_(kserve), path_(path) {
    char name[] = "/tmp/flintglade-test-XXXXXX";
    if (mkdtemp(name) == nullptr) wrong("no folder for the configuration");
    folder_ = name;
    sockets_ = sockets;
    configure(discovery);
    operator_file(membership);
    write_savefile(replayed);
    ProcessOptions options{path, {}, {}, -1};
    options.environment = {{"GW_CONFIG", folder_ + "/config.json"},
                           {"GW_DISCOVERY", "127.0.0.1:" + std::to_string(discovery)}};
    options.environment.insert(environment.begin(), environment.end());
    if (replayed > 0) {
      options.arguments = {"serve", "--replay", savefile(), "--record", record()};
    } else if (kserve_ || !membership.empty()) {
      options.arguments = {"serve", "--operator", folder_ + "/operator.textproto"};
    }
    process_ = std::make_unique<Process>(options);
  }
  ~Program() {
    process_.reset();
    for (const char* file : {"/config.json", "/operator.textproto", "/in.pcap", "/out.pcap"})
      ::unlink((folder_ + file).c_str());
    ::rmdir(folder_.c_str());
  }
  void operator_file(const std::string& membership) {
    std::ofstream(folder_ + "/operator.textproto")
        << (kserve_ ? "kserve { listen: \"127.0.0.1:0\" models { name: \"shared\" versions: \"1\" }" + more_ +
                          " }\n"
                    : "")
        << membership;
  }
  // What another command prints on standard output, given the operator's file.
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
  void configure(unsigned short discovery) {
    std::ofstream(folder_ + "/config.json")
        << "{\"name\":\"n1\",\"listen\":\"127.0.0.1:0\",\"discovery\":"
        << "\"127.0.0.1:" << discovery << "\",\"seed\":\"8c1f\","
        << (admin_ ? "\"admin_addr\":\"127.0.0.1:0\"," : "")
        << "\"limits\":{\"memory_mb\":192,\"sockets\":" << sockets_ << "},"
        << "\"settings\":" << kSettings << "}";
  }
  void kserve(const std::string& more) { more_ = more; }
  // It is to end by itself, with status 1 and one line that has these words.
  void fails(const std::string& words) {
    int status = 0;
    until("the exit", [&] { return process_->ended(status); });
    until("a line", [&] { return log().find('\n') != std::string::npos; });
    std::string all = log(), last;
    std::istringstream lines(all);
    int plain = 0;
    for (std::string line; std::getline(lines, line);) {
      if (line.rfind("flintglade: ", 0) == 0 && ++plain > 0) last = line;
    }
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 1 || plain != 1 || last.find(words) == std::string::npos)
      wrong("status " + std::to_string(status) + ", it said " + all);
  }
  void reload(bool bad, const std::string& of_operator = "none") {
    if (bad && of_operator == "none") std::ofstream(folder_ + "/config.json") << "{\"settings\":";
    process_->signal(SIGHUP);
    const char* line = !bad                    ? "event=reloaded "
                       : of_operator == "none" ? "event=reload_rejected why=\"config: "
                                               : "event=reload_rejected ";
    until("the word of the reload", [&] {
      const std::string all = log();
      const std::size_t at = all.find(line, seen_);
      if (at == std::string::npos || all.find('\n', at) == std::string::npos) return false;
      seen_ = at + 1;
      return true;
    });
  }
  std::string log() { return process_->log(); }
  unsigned short port(const std::string& mark) { return process_->port(mark); }
  long counter(const std::string& name) {
    const std::size_t before = log().size();
    process_->signal(SIGUSR1);
    std::string all;
    until("the line of counters", [&] {
      all = log();
      const std::size_t line = all.find("event=counters", before);
      return line != std::string::npos && all.find('\n', line) != std::string::npos;
    });
    const std::size_t at = all.find(" " + name + "=", all.find("event=counters", before));
    if (at == std::string::npos) wrong("there is no counter " + name);
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
    until("the exit", [&] { return process_->ended(status); });
    if (!WIFEXITED(status) || WEXITSTATUS(status) != 0) wrong("exit status " + std::to_string(status));
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
  bool kserve_, admin_;
  std::string more_, path_, folder_, sockets_;
  std::size_t seen_ = 0;  // of the log, by reload
  std::unique_ptr<Process> process_;
};

class Run {
 public:
  Run(Protocol protocol, std::string path) : protocol_(protocol), path_(std::move(path)) {}
  ~Run() {
    std::error_code ignored;
    if (!certs_.empty()) std::filesystem::remove_all(certs_, ignored);
  }
  void step(const std::string& line) {
    std::istringstream in(line);
    std::string verb, a, b, c;
    in >> verb;
    if (verb == "list") return list(in);
    if (verb == "stop") return program().stop();
    if (verb == "replay" || verb == "recorded") {
      int n = 0;
      in >> n;
      return verb == "replay" ? replay(n) : recorded(n);
    }
    if (verb == "operators") return void(admin_ = true);
    in >> a;
    if (verb == "figure") {
      in >> b;
      return until("the figure", [&] {
        return http_call(operators_, "GET", "/_vars").find("\n" + a + " " + b + "\n") != std::string::npos;
      });
    }
    if (verb == "callers") {
      in >> b;
      for (int i = 0; i < std::stoi(a); ++i)
        clients_["caller" + std::to_string(i)] = make_raw_client(operators_, unescape(b));
      return;
    }
    if (verb == "call") {
      in >> b >> c;
      const std::string got = http_call(operators_, a, b);
      return got.rfind(c + " ", 0) == 0 ? void() : wrong("it was " + got);
    }
    if (verb == "wall") return faults().wall_clock(std::stod(a));
    if (verb == "faults") {
      std::string error, peer;
      int n = 0;
      in >> n >> error >> peer;
      return faults().set(a, n, error, peer.empty() ? 0 : replica(peer).port());
    }
    if (verb == "hit") {
      int n = 0;
      in >> n;
      return until("the fault", [&] { return faults().hits(a) >= n; });
    }
    if (verb == "start") return start(a.empty() ? "1024" : a);
    if (verb == "start_fails") {
      Program program(path_, discovery_.port(), protocol_, "1024", membership(), kserve());
      return program.fails(unescape(a));
    }
    if (verb == "cert") return cert(a, in);
    if (verb == "handshakes") return measure_handshakes(port_, words(in), std::stoi(a));
    if (verb == "shy") {  // so many clients that ask and read nothing
      for (int i = 0; i < std::stoi(a); ++i) {
        const std::string id = "shy" + std::to_string(i);
        clients_[id] = make_client(protocol_, port_, id, {{"shy", ""}, {"session", std::to_string(i)}});
      }
      return;
    }
    if (verb == "forget_shy") {
      std::erase_if(clients_, [](const auto& c) { return c.first.rfind("shy", 0) == 0; });
      return;
    }
    if (verb == "forget") return void(clients_.erase(a));
    if (verb == "rounds") {
      int n = 0;
      in >> n;
      return rounds(a, n);
    }
    if (verb == "conformance") return conformance(a, in);
    if (verb == "describes") {
      in >> b >> c;
      std::string said;
      try {
        return until("it", [&] {
          said = grpc_describe(port_, a, c);
          return said == b || said.find(unescape(b)) != std::string::npos;
        });
      } catch (const std::exception&) {
        wrong("it is " + said);
      }
    }
    if (verb == "logged")
      return until("the line", [&] { return program().log().find(a) != std::string::npos; });
    if (verb == "dns") return dns(a, in);
    if (verb == "sources") {
      sources_ = {a};
      for (std::string word; in >> word;) sources_.push_back(word);
      return;
    }
    if (verb == "rule" || verb == "resolver" || verb == "kserve" || verb == "operator") {
      std::string rest;
      std::getline(in, rest);
      std::string& text = (verb == "operator" ? operator_
                           : verb == "rule"   ? rule_
                           : verb == "kserve" ? kserve_
                                              : resolver_);
      a == "anew" ? text = rest : text += " " + a + rest;  // anew: forgets what was set before
      return;
    }
    if (verb == "quiet" || verb == "busy") {
      std::vector<std::string> names{a};
      for (std::string word; in >> word;) names.push_back(word);
      return spread(names, verb == "busy");
    }
    if (verb == "pause") return std::this_thread::sleep_for(std::chrono::milliseconds(std::stoi(a)));
    if (verb == "saw") return saw(a, in);
    if (verb == "measure") {
      int requests = 0;
      in >> requests;
      return measure_grpc(port_, replica(a).port(), requests);
    }
    if (verb == "memory") {
      std::ifstream file("/proc/" + std::to_string(program().pid()) + "/status");
      for (std::string l; std::getline(file, l);) {
        if (l.rfind("VmRSS", 0) == 0) std::printf("%s: %s\n", a.c_str(), l.c_str());
      }
      return;
    }
    if (verb == "hold") {
      int n = 0;
      in >> n;
      for (int i = 0; i < n; ++i) {
        held_.push_back(make_stream(port_));
        held_.back()->ask(a + std::to_string(i), "shared", 0);
        if (i % 50 == 49) until("stream", [&] { return held_.back()->answers(a + std::to_string(i)) > 0; });
      }
      return;
    }
    if (verb == "storm") return storm(std::stoi(a));
    if (verb == "stream") {
      streams_[a] = make_stream(port_);
      return;
    }
    if (streams_.count(a) != 0) return stream(*streams_[a], verb, in);
    if (verb == "health") {
      std::string service;
      in >> service;
      return until("health " + a, [&] { return grpc_health(port_, service) == a; });
    }
    if (verb == "resolved") return resolved(a, in);
    if (verb == "reload" && a == "operator") {
      in >> b;
      program().kserve(kserve());
      program().operator_file(membership());
      return program().reload(b == "bad", b);
    }
    if (verb == "send") return send(a, in);
    in >> b >> c;
    if (verb == "raw") {
      clients_[a] = make_raw_client(front_, unescape(b));
      return;
    }
    if (verb == "reload") {
      if (a != "bad") program().configure(discovery_.move());
      program().reload(a == "bad");
    } else if (verb == "replica") {
      replicas_[a] = make_replica(protocol_, b, c.empty() || b == "says" ? 1 : std::stoi(c), words(in));
      if (b == "says") replica(a).behaviour.text = unescape(c);
    } else if (verb == "discovery") {
      a == "down" ? discovery_.down() : discovery_.silent();
    } else if (verb == "read") {
      client(a).shy = false;
    } else if (verb == "close") {
      client(a).close();
    } else if (verb == "release") {
      replica(a).behaviour.released = true;
    } else if (verb == "expect") {
      expect(client(a), unescape(b), c);
    } else if (verb == "wait") {
      wait(a, b, std::stol(c));
    } else {
      wrong("there is no such step");
    }
  }
  // What the program said, without the counters that steps asked for; the last of them is enough.
  std::string log() {
    std::istringstream in(program_ ? program_->log() : "");
    std::string out, counters;
    for (std::string line; std::getline(in, line);) {
      (line.find("event=counters") == std::string::npos ? out : counters = "") += line + "\n";
    }
    return out + counters;
  }

 private:
  Program& program() { return program_ ? *program_ : (wrong("not started"), *program_); }
  Replica& replica(const std::string& name) {
    const auto it = replicas_.find(name);
    return it != replicas_.end() ? *it->second : (wrong("no replica " + name), *it->second);
  }
  Client& client(const std::string& id) {
    const auto it = clients_.find(id);
    return it != clients_.end() ? *it->second : (wrong("no request " + id), *it->second);
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
      for (std::string word; in >> word;) {
        DnsZone::Srv srv;
        std::istringstream parts(word);
        std::string priority, weight;
        std::getline(parts, srv.target, ':');
        std::getline(parts, priority, ':');
        std::getline(parts, weight, ':');
        if (srv.target != ".") srv.port = replica(srv.target).port();
        if (!priority.empty()) srv.priority = static_cast<std::uint16_t>(std::stoi(priority));
        if (!weight.empty()) srv.weight = static_cast<std::uint16_t>(std::stoi(weight));
        zone.records.push_back(srv);
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
      wrong("there is no such word of dns");
    }
    if (!program_ && std::find(zones_.begin(), zones_.end(), name) == zones_.end()) zones_.push_back(name);
    dns_server().zone(name, zone);
  }
  std::string membership() {
    std::vector<std::string> sources = sources_;
    if (sources.empty() && zones_.empty()) return operator_;
    if (sources.empty()) {
      sources = zones_;
      sources.insert(sources.begin(), "list");
    }
    std::string out = "membership {\n";
    for (const std::string& s : sources) {
      out += "sources { name: \"" + s + "\" ";
      out += s == "list" ? "list {} }\n"
                         : "dns_srv { name: \"_model._tcp." + s + ".test\" zero_weight: DRAINING } }\n";
    }
    out += "resolver { servers: \"127.0.0.1:" + std::to_string(dns_server().port()) +
           "\" timeout_s: 0.2 least_ttl_s: 0.1" + resolver_ + " }\n";
    // Spans that a test can wait for, unless it sets its own.
    out += "rule { return_s: 0.5 spill_hold_s: 0.5" + rule_;
    return out + (rule_.find("guard_s") == std::string::npos ? " guard_s: 2" : "") + " }\n}\n" + operator_;
  }
  // Whether a replica gets new work, over both wires: requests of as many sessions as reach every replica.
  void spread(const std::vector<std::string>& names, bool some) {
    std::vector<int> before;
    for (const std::string& name : names) before.push_back(replica(name).behaviour.calls);
    const auto calls = [&](std::size_t i) { return replica(names[i]).behaviour.calls - before[i]; };
    // Which sessions go where hangs on the ports of the day: until each has had some, or long enough.
    const int most = some ? 600 : 40;
    for (int n = 0; n < most; ++n) {
      const std::string id = "spread" + std::to_string(++spread_);
      const auto client = make_client(protocol_, port_, id, {{"session", std::to_string(spread_ * 7919)}});
      const std::string verdict = client->verdict();
      if (verdict != "served") wrong("request " + std::to_string(n) + " was " + verdict);
      bool all = some;
      for (std::size_t i = 0; i < names.size(); ++i) all = all && calls(i) > 0;
      if (all) return;
    }
    for (std::size_t i = 0; i < names.size(); ++i) {
      if ((calls(i) > 0) != some) wrong(names[i] + " had " + std::to_string(calls(i)) + " calls");
    }
  }
  // A replica comes and drains, over and over, b beside it: what is asked once its drain is known goes to b.
  void rounds(const std::string& name, int n) {
    long news = program().counter("list_updates");
    for (int i = 0; i < n; ++i) {
      for (const char* state : {"ready", "draining"}) {
        std::istringstream entries(name + "=" + state + " b=ready");
        list(entries);
        until("the news", [&] { return program().counter("list_updates") > news; });
        news = program().counter("list_updates");
      }
      const int before = replica(name).behaviour.calls;
      for (int k = 0; k < 4; ++k) {
        const std::string id = "round" + std::to_string(i) + "-" + std::to_string(k);
        const auto client = make_client(protocol_, port_, id, {{"session", std::to_string(i * 7919 + k)}});
        if (const std::string verdict = client->verdict(); verdict != "served") wrong(id + " was " + verdict);
      }
      if (replica(name).behaviour.calls != before) wrong("round " + std::to_string(i) + ": a call to it");
    }
  }
  // So many streams with a request each, dropped as soon as it has begun, some hundred at a time.
  void storm(int streams) {
    for (int n = 0; n < streams;) {
      std::vector<std::unique_ptr<Stream>> batch;
      for (int i = 0; i < 100 && n < streams; ++i, ++n) {
        batch.push_back(make_stream(port_));
        batch.back()->ask("storm" + std::to_string(n), "shared", 0);
      }
      until("the storm", [&] { return batch.back()->answers("storm" + std::to_string(n - 1)) > 0; });
      for (const auto& s : batch) s->drop();
    }
  }
  void stream(Stream& s, const std::string& verb, std::istringstream& in) {
    std::string id, word;
    in >> id >> word;
    if (verb == "ask") {
      long timeout_us = 0;
      in >> timeout_us;
      s.ask(id, word.empty() ? "shared" : word, timeout_us);
    } else if (verb == "pending") {
      if (!s.error(id).empty() || s.answers(id) > 0) wrong("it is not");
    } else if (verb == "answers") {
      until("answers to " + id, [&] { return s.answers(id) >= std::stoi(word); });
      if (!s.error(id).empty()) wrong("it failed: " + s.error(id));
    } else if (verb == "error") {
      until("an error of " + id, [&] { return !s.error(id).empty(); });
      if (s.error(id).find(unescape(word)) == std::string::npos) wrong("it was " + s.error(id));
    } else if (verb == "half_close") {
      s.half_close();
    } else if (verb == "drop") {
      s.drop();
    } else if (verb == "ended") {
      const std::string got = s.ended();
      if (got != unescape(id)) wrong("it ended with " + got);
    } else {
      wrong("there is no such step of a stream");
    }
  }
  void saw(const std::string& name, std::istringstream& in) {
    std::string key, value;
    in >> key >> value;
    Behaviour& b = replica(name).behaviour;
    const std::lock_guard lock(b.mutex);
    const std::string got = b.metadata.count(key) != 0 ? b.metadata[key] : "nothing";
    if (got != value) wrong("it saw " + got);
  }
  // 'flintglade conformance' of the router, or straight at a replica: just these checks fail, or are skipped.
  void conformance(const std::string& of, std::istringstream& in) {
    std::set<std::string> expected, got;
    std::string more;
    for (std::string word; in >> word;)
      word[0] == '-' ? void(more += " " + word) : void(expected.insert(word));
    for (char& c : more) c = c == '=' ? ' ' : c;
    const unsigned short port = of == "router" ? port_ : replica(of).port();
    const std::string out =
        program().run("conformance 127.0.0.1:" + std::to_string(port) + " --model shared --timeout 2" +
                      with_certs(more) + " --junit /dev/null #");
    std::istringstream lines(out);
    bool whole = false;
    for (std::string line; std::getline(lines, line);) {
      std::istringstream words(line);
      std::string verdict, name;
      words >> verdict >> name;
      if (verdict == "FAIL" || verdict == "skip") got.insert(name);
      whole = whole || line.find(" passed, ") != std::string::npos;
    }
    if (!whole || got != expected) wrong("it said\n" + out);
  }
  void resolved(const std::string& first, std::istringstream& in) {
    std::vector<std::string> words{first};
    for (std::string word; in >> word;) words.push_back(word);
    const std::string out = program().run("resolve --wait 3");
    std::istringstream lines(out);
    for (std::string line; std::getline(lines, line);) {
      if (std::all_of(words.begin(), words.end(),
                      [&](const std::string& w) { return line.find(unescape(w)) != std::string::npos; }))
        return;
    }
    wrong("no such line in\n" + out);
  }
  void list(std::istringstream& in) {
    std::string entries;
    for (std::string word; in >> word;) {
      const std::string who = word.substr(0, word.find('=')), state = word.substr(word.find('=') + 1);
      const std::string name = who.substr(who.find('@') + 1);  // heir@a: another replica, at a's address
      const char* as = state == "ready" ? "Ready" : state == "draining" ? "Terminating" : "Gone";
      if (!entries.empty()) entries += ",";
      entries += "{\"uid\":\"s-" + who.substr(0, who.find('@')) +
                 "\",\"endpoint\":\"127.0.0.1:" + std::to_string(replica(name).port()) +
                 "\",\"az\":\"hall\",\"model\":\"gpu\",\"pod_group\":0,\"state\":\"" + as +
                 "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
    }
    discovery_.change(entries);
  }
  void start(const std::string& sockets) {
    program_ = std::make_unique<Program>(
        path_, discovery_.port(), protocol_, sockets, membership(), kserve(), admin_, 0,
        faults_ ? faults_->environment() : std::map<std::string, std::string>{});
    const bool kserve = protocol_ == Protocol::kserve;
    until("the port", [&] {
      front_ = program().port("wire=http at=127.0.0.1:");
      port_ = kserve ? program().port("wire=kserve at=127.0.0.1:") : front_;
      if (admin_) operators_ = program().port("wire=admin at=127.0.0.1:");
      return port_ != 0 && (!admin_ || operators_ != 0);
    });
    until("readiness", [&] { return http_status(front_, "/ready") == 200; });
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
    if (!error.empty()) wrong(error);
    std::ifstream file(program().record(), std::ios::binary);
    const std::string bytes(std::istreambuf_iterator<char>(file), {});
    int whole = 0;
    for (std::size_t at = 0; (at = bytes.find("HTTP/1.1 200 OK", at)) != std::string::npos; ++at) ++whole;
    if (static_cast<int>(got.requests.size()) != requests || whole != requests)
      wrong(std::to_string(got.requests.size()) + " requests, " + std::to_string(whole) + " answers");
  }
  Words words(std::istringstream& in) {
    Words out{{"folder", certs_}};
    for (std::string word; in >> word;) {
      const std::size_t equals = word.find('=');
      out[word.substr(0, equals)] = equals == std::string::npos ? "" : word.substr(equals + 1);
    }
    return out;
  }
  // A certificate by the words ca, san, from and to (seconds from now); key=NAME: with another's key.
  void cert(const std::string& name, std::istringstream& in) {
    if (certs_.empty()) {
      char folder[] = "/tmp/flintglade-certs-XXXXXX";
      if (mkdtemp(folder) == nullptr) wrong("no folder for certificates");
      certs_ = folder;
    }
    Words w = words(in);
    make_certificate(certs_, name, w["ca"], w["san"], w.count("from") != 0 ? std::stol(w["from"]) : -3600,
                     w.count("to") != 0 ? std::stol(w["to"]) : 86400);
    if (w.count("key") != 0)
      std::filesystem::copy_file(certs_ + "/" + w["key"] + ".key", certs_ + "/" + name + ".key",
                                 std::filesystem::copy_options::overwrite_existing);
    if (w.count("mode") != 0)
      std::filesystem::permissions(certs_ + "/" + name + ".key",
                                   static_cast<std::filesystem::perms>(std::stoi(w["mode"], nullptr, 8)));
  }
  std::string kserve() const { return with_certs(kserve_); }
  std::string with_certs(const std::string& text) const {  // '@' stands for the folder of certificates
    std::string out;
    for (const char c : text) out += c == '@' ? certs_ + "/" : std::string(1, c);
    return out;
  }
  void send(const std::string& id, std::istringstream& in) {
    clients_[id] = make_client(protocol_, port_, id, words(in));
  }
  void expect(Client& client, std::string verdict, const std::string& events) {
    const std::string got = client.verdict();
    // At the deadline the module refuses what may be repeated; HTTP says so, gRPC has a status of its own.
    if (verdict == "late" && protocol_ == Protocol::http) verdict = "unavailable";
    if (got != verdict) wrong("it was " + got);
    if (!events.empty() && client.events != std::stoi(events))
      wrong(std::to_string(client.events) + " events");
  }
  void wait(const std::string& what, const std::string& name, long value) {
    until(what + " " + name, [&] {
      if (what == "events") return client(name).events >= value;
      if (what == "described") return replica(name).behaviour.described >= value;
      if (what == "calls") return replica(name).behaviour.calls >= value;
      if (what == "least") return program().counter(name) >= value;
      return program().counter(name) == value;
    });
  }

  Protocol protocol_;
  std::string path_;
  Discovery discovery_;
  std::unique_ptr<DnsServer> dns_;
  std::unique_ptr<Faults> faults_;  // outlives the program that has it mapped
  std::vector<std::string> zones_, sources_;
  std::string rule_, resolver_, kserve_, operator_, certs_;
  int spread_ = 0;
  std::map<std::string, std::unique_ptr<Replica>> replicas_;
  std::unique_ptr<Program> program_;
  std::map<std::string, std::unique_ptr<Client>> clients_;
  std::map<std::string, std::unique_ptr<Stream>> streams_;
  std::vector<std::unique_ptr<Stream>> held_;
  unsigned short port_ = 0, front_ = 0, operators_ = 0;
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
