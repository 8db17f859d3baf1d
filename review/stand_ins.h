// Stand-ins of the platform for the cases of the review: discovery, model replicas and clients, on loopback
// addresses and the real clock, and the start and the end of a router by the deploy file's command. They
// follow the operators' protocol page. Every stand-in writes what it sees to one record.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
inline const Clock::time_point kStart = Clock::now();
inline double now_s() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline void sleep_s(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at) { sleep_s(at - now_s()); }

// One line an event, with the seconds since the start of the case.
class Record {
 public:
  explicit Record(const std::string& path) : file_(std::fopen(path.c_str(), "w")) {}
  ~Record() {
    if (file_ != nullptr) std::fclose(file_);
  }
  bool open() const { return file_ != nullptr; }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    char text[1024];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%9.4f %s\n", now_s(), text);
    std::fflush(file_);
  }

 private:
  std::FILE* file_;
  std::mutex mutex_;
};

// ---- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

// Listens on this loopback port; on a free one if it is 0, which it sets.
inline int listen_loopback(int& port, int backlog = 1024) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, backlog) != 0) {
    ::close(fd);
    return -1;
  }
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}

inline int free_port() {
  int port = 0;
  ::close(listen_loopback(port));
  return port;
}

inline int connect_loopback(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (fd >= 0 && ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Bytes received on a socket, read up to what a message needs.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}
  // Waits for more bytes. Returns the number of bytes; 0 at the end; -1 at an error; -2 after the wait.
  int fill(double wait_s) {
    pollfd entry{fd_, POLLIN, 0};
    const int ready = ::poll(&entry, 1, wait_s < 0 ? -1 : static_cast<int>(wait_s * 1e3));
    if (ready == 0) return -2;
    char bytes[16384];
    const ssize_t n = ::recv(fd_, bytes, sizeof bytes, 0);
    if (n > 0) buffer.append(bytes, static_cast<std::size_t>(n));
    return static_cast<int>(n);
  }
  std::string buffer;

 private:
  int fd_;
};

// A head of HTTP/1.1: its first line, and the headers with their names in lower case.
struct Head {
  std::string first_line;
  std::map<std::string, std::string> headers;
  std::string header(const std::string& name) const {
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
  }
};

// Takes a head off the front of the text. Returns false while it is incomplete.
inline bool take_head(std::string& text, Head& out) {
  const std::size_t end = text.find("\r\n\r\n");
  if (end == std::string::npos) return false;
  std::istringstream lines(text.substr(0, end));
  text.erase(0, end + 4);
  out = {};
  std::string line;
  while (std::getline(lines, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (out.first_line.empty()) {
      out.first_line = line;
    } else if (colon != std::string::npos) {
      std::string name = line.substr(0, colon), value = line.substr(colon + 1);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      value.erase(0, value.find_first_not_of(' '));
      out.headers[name] = value;
    }
  }
  return true;
}

inline std::string chunk(const std::string& bytes) {
  char size[24];
  std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

// Accepts connections and serves each in a thread of its own until stopped. It can start again, on the same
// port.
class Service {
 public:
  Service() = default;
  Service(const Service&) = delete;
  virtual ~Service() = default;
  int port() const { return port_; }
  bool start() {
    listener_ = listen_loopback(port_);
    if (listener_ < 0) return false;
    acceptor_ = std::thread([this] { accept(); });
    return true;
  }
  // Accepts nothing more; connections that come are refused.
  void stop_accepting() {
    if (listener_ < 0) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    listener_ = -1;
  }
  void close_connections() {
    const std::lock_guard lock(mutex_);
    for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
  }
  // To be called by the destructor of each service.
  void stop() {
    stopping_ = true;
    stop_accepting();
    close_connections();
    std::unique_lock lock(mutex_);
    all_closed_.wait(lock, [this] { return open_.empty(); });
  }

 protected:
  virtual void serve(int fd) = 0;
  bool stopping() const { return stopping_; }

 private:
  void accept() {
    for (;;) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && errno == ECONNABORTED) continue;
      if (fd < 0) return;
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      std::thread([this, fd] {
        serve(fd);
        const std::lock_guard inner(mutex_);
        open_.erase(fd);
        ::close(fd);
        all_closed_.notify_all();
      }).detach();
    }
  }
  int listener_ = -1, port_ = 0;
  std::atomic<bool> stopping_ = false;
  std::thread acceptor_;
  std::set<int> open_;
  std::condition_variable all_closed_;
  std::mutex mutex_;
};

// ---- discovery

struct Entry {
  std::string uid;
  int port = 0;
  std::string state = "Ready", zone = "hall";
};

inline std::string entry_json(const Entry& entry) {
  return R"({"uid":")" + entry.uid + R"(","endpoint":"127.0.0.1:)" + std::to_string(entry.port) +
         R"(","az":")" + entry.zone + R"(","model":"gpu","pod_group":0,"state":")" + entry.state +
         R"(","capacity_hint":1.0,"boot_ms":0})";
}

inline std::string list_json(int rev, bool all, const std::vector<Entry>& entries) {
  std::string out =
      "{\"rev\":" + std::to_string(rev) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
  for (std::size_t i = 0; i < entries.size(); ++i) out += (i > 0 ? "," : "") + entry_json(entries[i]);
  return out + "]}";
}

// The list of model replicas, whole and as a watch. A change is told when it has been written to the watch.
class Discovery : public Service {
 public:
  Discovery(Record& record, std::string name, int rev, std::vector<Entry> entries)
      : record_(record), name_(std::move(name)), rev_(rev), entries_(std::move(entries)) {}
  ~Discovery() override { stop(); }
  // Changes one entry; the watches get the change at once.
  void change(const Entry& entry) {
    const std::lock_guard lock(state_);
    ++rev_;
    for (Entry& held : entries_) {
      if (held.uid == entry.uid) held = entry;
    }
    changes_.emplace_back(rev_, entry);
    record_.line("discovery %s: rev %d, %s is %s", name_.c_str(), rev_, entry.uid.c_str(),
                 entry.state.c_str());
  }
  // How long a call waits for its answer.
  double answers_after_s = 0;
  int calls() const { return calls_; }
  // When the newest change of this replica was last written to a watch; negative: never.
  double told_at(const std::string& uid) const {
    const std::lock_guard lock(state_);
    const auto found = told_.find(uid);
    return found == told_.end() ? -1.0 : found->second;
  }

 protected:
  void serve(int fd) override {
    Reader reader(fd);
    Head head;
    while (!take_head(reader.buffer, head)) {
      if (reader.fill(-1) <= 0) return;
    }
    const bool watch = head.first_line.find("stream=1") != std::string::npos;
    const std::size_t index_at = head.first_line.find("index=");
    int known = index_at == std::string::npos ? -1 : std::atoi(head.first_line.c_str() + index_at + 6);
    if (calls_++ < 1000) record_.line("discovery %s: asked %s", name_.c_str(), head.first_line.c_str());
    pollfd ended{fd, POLLIN, 0};
    if (::poll(&ended, 1, static_cast<int>(answers_after_s * 1e3)) > 0) return;  // the router has given up
    if (!watch) {
      const std::lock_guard lock(state_);
      const std::string body = list_json(rev_, true, entries_);
      send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " +
                       std::to_string(body.size()) + "\r\n\r\n" + body);
      return;
    }
    send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n");
    double last_line = 0;
    for (bool begun = false; !stopping(); begun = true) {
      std::string line;
      {
        const std::lock_guard lock(state_);
        if (known < 0 || known > rev_) {
          line = list_json(rev_, true, entries_);
          record_.line("discovery %s: tells the whole list, rev %d", name_.c_str(), rev_);
          known = rev_;
        } else if (known < rev_ || !begun) {  // the first line comes even if nothing has changed
          std::vector<Entry> changed;
          for (const auto& [rev, entry] : changes_) {
            if (rev > known) changed.push_back(entry);
          }
          line = list_json(rev_, false, changed);
          for (const Entry& entry : changed) {
            told_[entry.uid] = now_s();
            record_.line("discovery %s: tells rev %d, %s is %s", name_.c_str(), rev_, entry.uid.c_str(),
                         entry.state.c_str());
          }
          known = rev_;
        }
      }
      const bool blank = line.empty() && now_s() - last_line >= 2.0;
      if (!line.empty() || blank) {
        if (!send_all(fd, chunk(line + "\n"))) return;
        last_line = now_s();
      }
      pollfd entry{fd, POLLIN, 0};
      if (::poll(&entry, 1, 5) > 0) return;  // the router has ended the watch
    }
  }

 private:
  Record& record_;
  std::string name_;
  mutable std::mutex state_;
  int rev_;
  std::vector<Entry> entries_;
  std::vector<std::pair<int, Entry>> changes_;
  std::map<std::string, double> told_;
  std::atomic<int> calls_ = 0;
};

// ---- model replicas

struct Arrival {
  double first_byte = 0;
  std::string id;
};

// Answers each request with a stream of events that name the request. It keeps connections alive.
class Replica : public Service {
 public:
  Replica(Record& record, std::string uid) : record_(record), uid_(std::move(uid)) {}
  ~Replica() override { stop(); }
  const std::string& uid() const { return uid_; }

  double first_token_s = 0.06, gap_s = 0.02;
  int events = 6;
  std::atomic<bool> draining = false;  // turns away what is new
  // How many milliseconds after its end an answer is sent a second time; negative: it is not.
  std::function<double(const std::string& id)> second_answer_after_ms;

  std::vector<Arrival> arrivals() const {
    const std::lock_guard lock(state_);
    return arrivals_;
  }
  std::size_t second_answers() const { return second_answers_; }
  // The body of the answer to a request: its events.
  static std::string event(const std::string& id, int number) {
    return R"(data: {"choices":[{"index":0,"delta":{"content":")" + id + " " + std::to_string(number) +
           R"("},"finish_reason":null}]})" + "\n\n";
  }
  static std::string last_events(int events) {
    return R"(data: {"choices":[],"usage":{"prompt_tokens":64,"completion_tokens":)" +
           std::to_string(events) + R"(,"prompt_tokens_details":{"cached_tokens":0}}})" +
           "\n\ndata: [DONE]\n\n";
  }
  static std::string whole_answer(const std::string& id, int events) {
    std::string out;
    for (int i = 0; i < events; ++i) out += event(id, i);
    return out + last_events(events);
  }

 protected:
  void serve(int fd) override {
    Reader reader(fd);
    for (;;) {
      Arrival arrival;
      if (reader.buffer.empty() && reader.fill(5.0) <= 0) return;  // idle for 5 s, or ended
      arrival.first_byte = now_s();
      Head head;
      while (!take_head(reader.buffer, head)) {
        if (reader.fill(-1) <= 0) return;
      }
      const auto length = static_cast<std::size_t>(std::atol(head.header("content-length").c_str()));
      while (reader.buffer.size() < length) {
        if (reader.fill(-1) <= 0) return;
      }
      reader.buffer.erase(0, length);
      arrival.id = head.header("x-trace-id");
      {
        const std::lock_guard lock(state_);
        arrivals_.push_back(arrival);
      }
      record_.line("replica %s: request %s%s", uid_.c_str(), arrival.id.c_str(),
                   draining ? " (draining: turned away)" : "");
      if (draining) {
        if (!send_all(fd, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"))
          return;
        continue;
      }
      const double second_after = second_answer_after_ms ? second_answer_after_ms(arrival.id) : -1.0;
      const std::string start =
          "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
      sleep_s(first_token_s);
      if (!send_all(fd, start + chunk(event(arrival.id, 0)))) return;
      for (int i = 1; i < events; ++i) {
        sleep_s(gap_s);
        if (!send_all(fd, chunk(event(arrival.id, i)))) return;
      }
      if (!send_all(fd, chunk(last_events(events)) + "0\r\n\r\n")) return;
      if (second_after >= 0) {
        sleep_s(second_after / 1e3);
        ++second_answers_;
        record_.line("replica %s: a second answer to %s", uid_.c_str(), arrival.id.c_str());
        if (!send_all(fd, start + chunk(whole_answer(arrival.id, events)) + "0\r\n\r\n")) return;
      }
    }
  }

 private:
  Record& record_;
  std::string uid_;
  mutable std::mutex state_;
  std::vector<Arrival> arrivals_;
  std::atomic<std::size_t> second_answers_ = 0;
};

// ---- clients

struct Answer {
  int status = 0;         // 0: none came
  bool complete = false;  // up to its last byte
  std::string body;
  double took = 0;
};

inline std::string completion_request(const std::string& id, const std::string& session, int expires_ms,
                                      std::size_t prompt_bytes = 256) {
  const std::string body =
      R"({"model":"chat","stream":true,"max_tokens":64,"messages":[{"role":"user","content":")" +
      std::string(prompt_bytes, 'x') + "\"}]}";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + id +
         "\r\nX-Qos: rules-help\r\nX-Customer: surat-retro\r\nX-Object: " + session +
         "\r\nX-Expires-In-Ms: " + std::to_string(expires_ms) +
         "\r\nX-Props: prompt_len=" + std::to_string(prompt_bytes / 4) +
         ",max_out=64\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

// A client connection that is kept between requests.
class Client {
 public:
  explicit Client(int port) : port_(port) {}
  ~Client() { close(); }
  Client(const Client&) = delete;
  // Sends the request and waits for the end of its answer. If the router closed a kept connection before it
  // read the request, the request is sent once more on a new one.
  Answer ask(const std::string& request, double wait_s) {
    const double began = now_s();
    const bool kept = fd_ >= 0;
    Answer answer = ask_once(request, began + wait_s);
    if (kept && answer.status == 0 && answer.body.empty() && now_s() < began + wait_s)
      answer = ask_once(request, began + wait_s);
    answer.took = now_s() - began;
    return answer;
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }

 private:
  Answer ask_once(const std::string& request, double until) {
    Answer answer;
    if (fd_ < 0) fd_ = connect_loopback(port_);
    if (fd_ < 0) return answer;
    Reader reader(fd_);
    bool keep = false;
    if (send_all(fd_, request)) keep = read(reader, answer, until);
    if (!keep) close();
    return answer;
  }
  // Returns whether the connection can be kept.
  static bool read(Reader& reader, Answer& answer, double until) {
    const auto more = [&] { return now_s() < until && reader.fill(until - now_s()) > 0; };
    Head head;
    while (!take_head(reader.buffer, head)) {
      if (!more()) return false;
    }
    answer.status = std::atoi(head.first_line.c_str() + 9);
    const bool keep = head.header("connection") != "close";
    if (head.header("transfer-encoding") != "chunked") {
      const auto length = static_cast<std::size_t>(std::atol(head.header("content-length").c_str()));
      while (reader.buffer.size() < length) {
        if (!more()) return false;
      }
      answer.body = reader.buffer.substr(0, length);
      answer.complete = true;
      return keep;
    }
    for (;;) {
      std::size_t line = 0;
      while ((line = reader.buffer.find("\r\n")) == std::string::npos) {
        if (!more()) return false;
      }
      const auto size = static_cast<std::size_t>(std::strtoul(reader.buffer.c_str(), nullptr, 16));
      while (reader.buffer.size() < line + 2 + size + 2) {
        if (!more()) return false;
      }
      answer.body += reader.buffer.substr(line + 2, size);
      reader.buffer.erase(0, line + 2 + size + 2);
      if (size == 0) {
        answer.complete = true;
        return keep;
      }
    }
  }
  int port_, fd_ = -1;
};

// ---- the router

struct Limits {
  int memory_mb = 192, sockets = 1024;
};

// A configuration file as the deployment page has it, with the settings of a small deployment.
inline std::string config_json(const std::string& name, int listen, int discovery, const Limits& limits,
                               const std::string& known, int routers = 1,
                               const std::string& seed = "8c1f30d27a5be964") {
  std::ostringstream out;
  out << R"({"name":")" << name << R"(","listen":"127.0.0.1:)" << listen << R"(","discovery":"127.0.0.1:)"
      << discovery << R"(","seed":")" << seed << R"(","limits":{"cores":1.0,"memory_mb":)" << limits.memory_mb
      << R"(,"sockets":)" << limits.sockets << R"(},"known":)" << known << R"(,"settings":{
  "service_type":"llm","balancers":)"
      << routers << R"(,"rank":0,"az":0,"failure_domains":["hall"],"models":["gpu"],
  "layers":["model-replicas"],"stage":0,"tick":0.005,"registry_mode":"on_request","weight_source":"rough",
  "worth_by":"work","over_share_worth":0.1,"callers":{"marks_retry":true},
  "family_info":{"resume":true,"token_aim":[0.08,0.1],"aim_us_per_1000_prompt_tokens":[30000.0,30000.0]},
  "classes":[
    {"name":"rules-help","aim":1.2,"hard_limit":5.0,"worth":5.0,"late_value":0.0,"semantics":"safe",
     "group":"all","key_ttl":5.0,"streamed":true},
    {"name":"run-digest","aim":3.0,"hard_limit":10.0,"worth":1.0,"late_value":0.0,"semantics":"safe",
     "group":"all","key_ttl":5.0,"streamed":true}],
  "accounts":[{"name":"surat-retro","quota_per_s":200.0,"share":0.6},
              {"name":"vadodara-platformers","quota_per_s":100.0,"share":0.4}],
  "permissions":{"may_cancel":true,"may_duplicate":true,"most_tries":3,"most_held":24017,"retry_after":true,
    "max_retry_after":2.0,"dial_timeout":0.15,"conn_idle":5.0,"peers":false,"probing":true,
    "streams_per_conn":1},
  "invariants":{"cold":8.9,"cold_from":0.31,"drain_grace":2.0,"fall":3.0,"fall_multiple":2.5,
    "grace_to_answer":0.02,"must_ask_in":10.0},
  "telemetry":{"how":"pull","fields":["inflight","latency_ms","qps"]}}})";
  return out.str();
}

inline bool write_file(const std::string& path, const std::string& text) {
  const std::string temporary = path + ".new";
  std::FILE* file = std::fopen(temporary.c_str(), "w");
  if (file == nullptr) return false;
  const bool written = std::fwrite(text.data(), 1, text.size(), file) == text.size();
  return std::fclose(file) == 0 && written && std::rename(temporary.c_str(), path.c_str()) == 0;
}

// One process of the program, started by the deploy file's `run` command.
class Router {
 public:
  Router(Record& record, std::string name) : record_(record), name_(std::move(name)) {}
  ~Router() { end(); }
  Router(const Router&) = delete;

  // root: the repository; folder: a temporary folder with the configuration file.
  bool start(const std::string& root, const std::string& run, const std::string& folder, int port,
             int discovery_port) {
    port_ = port;
    const std::string scratch = folder + "/scratch-" + name_, log = folder + "/" + name_ + ".log";
    if (std::system(("mkdir -p '" + scratch + "'").c_str()) != 0) return false;
    std::vector<std::string> variables{"GW_NAME=" + name_,
                                       "GW_LISTEN=127.0.0.1:" + std::to_string(port),
                                       "GW_DISCOVERY=127.0.0.1:" + std::to_string(discovery_port),
                                       "GW_CONFIG=" + folder + "/config.json",
                                       "TMPDIR=" + scratch,
                                       "PATH=/usr/bin:/bin"};
    std::vector<char*> environment;
    for (std::string& variable : variables) environment.push_back(variable.data());
    environment.push_back(nullptr);
    char* const words[] = {const_cast<char*>("sh"), const_cast<char*>("-c"), const_cast<char*>(run.c_str()),
                           nullptr};
    pid_ = ::fork();
    if (pid_ == 0) {  // only calls that are safe after a fork of a process with threads
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      ::dup2(out, 1);
      ::dup2(out, 2);
      if (::chdir(root.c_str()) == 0) ::execve("/bin/sh", words, environment.data());
      ::_exit(127);
    }
    record_.line("router %s: started, process %d", name_.c_str(), static_cast<int>(pid_));
    return pid_ > 0;
  }
  bool wait_ready(double seconds) {
    for (const double until = now_s() + seconds; now_s() < until && alive(); sleep_s(0.05)) {
      Client client(port_);
      if (client.ask("GET /ready HTTP/1.1\r\nHost: backend.local\r\n\r\n", 1.0).status == 200) {
        record_.line("router %s: ready", name_.c_str());
        return true;
      }
    }
    return false;
  }
  void signal(int number) {
    record_.line("router %s: signal %d", name_.c_str(), number);
    ::kill(pid_, number);
  }
  bool alive() {
    if (pid_ <= 0) return false;
    if (::waitpid(pid_, &status_, WNOHANG) == 0) return true;
    pid_ = 0;
    record_.line("router %s: ended, wait status %d", name_.c_str(), status_);
    return false;
  }
  // The resident memory in MB that only this process has: without the pages of files, such as libraries.
  double own_memory_mb() const {
    std::FILE* file = std::fopen(("/proc/" + std::to_string(pid_) + "/status").c_str(), "r");
    char line[256];
    double kilobytes = 0;
    while (file != nullptr && std::fgets(line, sizeof line, file) != nullptr)
      std::sscanf(line, "RssAnon: %lf", &kilobytes);
    if (file != nullptr) std::fclose(file);
    return kilobytes / 1024.0;
  }
  void end() {
    if (!alive()) return;
    signal(SIGTERM);
    for (const double until = now_s() + 6; now_s() < until && alive();) sleep_s(0.05);
    if (!alive()) return;
    signal(SIGKILL);
    ::waitpid(pid_, &status_, 0);
    pid_ = 0;
  }

 private:
  Record& record_;
  std::string name_;
  pid_t pid_ = 0;
  int status_ = 0, port_ = 0;
};

// What run.sh tells a case: the repository, the `run` command, a temporary folder, the record, and whether
// the disruption happens.
struct Arguments {
  std::string root, run, folder, record;
  bool trouble = true;
};
inline bool read_arguments(int count, char** values, Arguments& out) {
  if (count != 5) {
    std::fprintf(stderr, "usage: %s REPOSITORY RUN FOLDER RECORD\n", values[0]);
    return false;
  }
  ::signal(SIGPIPE, SIG_IGN);
  out = {values[1], values[2], values[3], values[4]};
  const char* trouble = std::getenv("TROUBLE");
  out.trouble = trouble == nullptr || std::strcmp(trouble, "0") != 0;
  return true;
}

enum ExitStatus { kHeld = 0, kBroken = 1, kCouldNotRun = 2 };

}  // namespace review
