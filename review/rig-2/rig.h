// Stand-ins and tools of the review's cases: processes of the project, discovery, model replicas and clients,
// as the platform's protocol describes them. All addresses are loopback addresses. Each connection of a
// stand-in has a thread of its own. Times are seconds since the start of the case.
#pragma once

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace rig {

// The case's verdicts, which are its exit codes.
constexpr int kHeld = 0, kBroken = 1, kCouldNotRun = 2;

inline double now() {
  static const auto start = std::chrono::steady_clock::now();
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}
inline void sleep_for(double seconds) {
  if (seconds > 0) std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
inline void sleep_until(double at) { sleep_for(at - now()); }
inline bool wait_for(double seconds, const std::function<bool()>& holds) {
  for (const double end = now() + seconds; now() < end; sleep_for(0.02)) {
    if (holds()) return true;
  }
  return holds();
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& path) { file_ = std::fopen(path.c_str(), "w"); }
  void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard lock(mutex_);
    if (file_ == nullptr) return;
    std::fprintf(file_, "%9.3f ", now());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file_, format, arguments);
    va_end(arguments);
    std::fputc('\n', file_);
    std::fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_ = nullptr;
};
#define RIG_NOTE(...) ::rig::Record::get().line(__VA_ARGS__)

[[noreturn]] inline void could_not_run(const std::string& why);

// ---- sockets

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

inline int port_of(int fd) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

inline int listen_on(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = loopback(port);
  if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      ::listen(fd, 512) != 0) {
    ::close(fd);
    return -1;
  }
  return fd;
}

// A port that nobody uses now, for a process of the project: below those from which the system picks, so that
// no connection takes it before that process does.
inline int free_port(int type = SOCK_STREAM) {
  static std::mutex mutex;
  static std::mt19937 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  int port = 0;
  for (bool is_free = false; !is_free;) {
    port = std::uniform_int_distribution<int>(12'000, 31'999)(random);
    const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    is_free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
  }
  return port;
}

inline int connect_to(int port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int on = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

inline void close_with_reset(int fd) {
  const linger reset{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  ::close(fd);
}

inline bool send_all(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads more into the buffer. 1: bytes came; 0: the peer has closed; -1: reset or another error; -2: nothing
// within the time.
inline int read_more(int fd, std::string& buffer, double seconds) {
  pollfd waiting{fd, POLLIN, 0};
  if (::poll(&waiting, 1, static_cast<int>(std::max(0.0, seconds) * 1e3)) <= 0) return -2;
  char bytes[16384];
  const ssize_t n = ::recv(fd, bytes, sizeof bytes, 0);
  if (n < 0) return -1;
  buffer.append(bytes, static_cast<std::size_t>(n));
  return n > 0 ? 1 : 0;
}

inline std::string header(const std::string& head, const std::string& name) {
  std::string lower = head;
  std::transform(lower.begin(), lower.end(), lower.begin(), ::tolower);
  std::string key = "\r\n" + name + ":";
  std::transform(key.begin(), key.end(), key.begin(), ::tolower);
  const std::size_t at = lower.find(key);
  if (at == std::string::npos) return "";
  std::size_t from = at + key.size();
  while (from < head.size() && head[from] == ' ') ++from;
  return head.substr(from, head.find("\r\n", from) - from);
}

// A server that runs a function for each connection, on a thread of its own.
class Server {
 public:
  using Handler = std::function<void(int fd, int peer_port)>;
  void start(int port, Handler handler) {
    handler_ = std::move(handler);
    fd_ = listen_on(port);
    if (fd_ < 0) could_not_run("a stand-in cannot listen");
    port_ = port_of(fd_);
    thread_ = std::thread([this] { run(); });
    thread_.detach();
  }
  int port() const { return port_; }
  // Refuses new connections and resets the open ones, as a process that dies does.
  void stop() {
    const int fd = fd_.exchange(-1);
    if (fd >= 0) {
      ::shutdown(fd, SHUT_RDWR);
      ::close(fd);
    }
    const std::lock_guard lock(mutex_);
    for (const int open : open_) {
      const linger reset{1, 0};
      ::setsockopt(open, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      ::shutdown(open, SHUT_RDWR);
    }
  }

 private:
  void run() {
    for (;;) {
      sockaddr_in peer{};
      socklen_t size = sizeof peer;
      const int listener = fd_;
      if (listener < 0) return;
      const int fd = ::accept4(listener, reinterpret_cast<sockaddr*>(&peer), &size, SOCK_CLOEXEC);
      if (fd < 0) {
        if (fd_ < 0) return;
        sleep_for(0.005);
        continue;
      }
      const int on = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      {
        const std::lock_guard lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd, peer_port = static_cast<int>(ntohs(peer.sin_port))] {
        handler_(fd, peer_port);
        const std::lock_guard lock(mutex_);
        open_.erase(fd);
        ::close(fd);
      }).detach();
    }
  }
  Handler handler_;
  std::atomic<int> fd_ = -1;
  int port_ = 0;
  std::thread thread_;
  std::mutex mutex_;
  std::set<int> open_;
};

// ---- processes of the project

class Process {
 public:
  // Runs the command from the repository's root by /bin/sh -c, as the deploy file's commands are run.
  void start(const std::string& command, const std::map<std::string, std::string>& environment,
             const std::string& log, int inherited_listener = -1) {
    log_ = log;
    pid_ = ::fork();
    if (pid_ != 0) {
      const std::lock_guard lock(all_mutex());
      all().insert(pid_);
      return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(out, 1);
    ::dup2(out, 2);
    if (inherited_listener >= 0 && inherited_listener != 3) ::dup2(inherited_listener, 3);
    if (inherited_listener == 3) ::fcntl(3, F_SETFD, 0);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  pid_t pid() const { return pid_; }
  void signal(int number) const { ::kill(pid_, number); }
  // Whether it has ended; its status is kept.
  bool ended() {
    if (ended_) return true;
    ended_ = ::waitpid(pid_, &status_, WNOHANG) == pid_;
    if (ended_) {
      const std::lock_guard lock(all_mutex());
      all().erase(pid_);
    }
    return ended_;
  }
  int status() const { return status_; }
  std::string log() const {
    std::ifstream in(log_);
    std::ostringstream text;
    text << in.rdbuf();
    return text.str();
  }
  static std::set<pid_t>& all() {
    static std::set<pid_t> pids;
    return pids;
  }
  static std::mutex& all_mutex() {
    static std::mutex mutex;
    return mutex;
  }

 private:
  pid_t pid_ = -1;
  bool ended_ = false;
  int status_ = 0;
  std::string log_;
};

// Ends all processes that the case has started, and then the case.
[[noreturn]] inline void end_case(int verdict) {
  std::set<pid_t> pids;
  {
    const std::lock_guard lock(Process::all_mutex());
    pids = Process::all();
  }
  for (const pid_t pid : pids) ::kill(pid, SIGCONT);
  for (const pid_t pid : pids) ::kill(pid, SIGKILL);
  for (const pid_t pid : pids) ::waitpid(pid, nullptr, 0);
  const char* names[] = {"held", "broken", "could not run"};
  RIG_NOTE("verdict: %s", names[verdict]);
  std::printf("verdict: %s\n", names[verdict]);
  std::fflush(stdout);
  ::_exit(verdict);
}
inline void could_not_run(const std::string& why) {
  RIG_NOTE("could not run: %s", why.c_str());
  std::printf("could not run: %s\n", why.c_str());
  end_case(kCouldNotRun);
}

// The port of the peer's end tells which process has opened a connection.
inline bool owns_connection(pid_t pid, int own_port, int peer_port) {
  char local[16], remote[16];
  std::snprintf(local, sizeof local, "0100007F:%04X", peer_port);
  std::snprintf(remote, sizeof remote, "0100007F:%04X", own_port);
  std::ifstream table("/proc/net/tcp");
  std::string line, inode;
  while (std::getline(table, line)) {
    std::istringstream fields(line);
    std::string number, from, to, skip, found;
    fields >> number >> from >> to;
    for (int i = 0; i < 6; ++i) fields >> skip;
    fields >> found;
    if (from == local && to == remote) inode = "socket:[" + found + "]";
  }
  if (inode.empty()) return false;
  const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
  DIR* entries = ::opendir(folder.c_str());
  bool owns = false;
  while (const dirent* entry = entries == nullptr ? nullptr : ::readdir(entries)) {
    char target[64] = {};
    if (::readlink((folder + "/" + entry->d_name).c_str(), target, sizeof target - 1) > 0)
      owns = owns || inode == target;
  }
  if (entries != nullptr) ::closedir(entries);
  return owns;
}

// ---- discovery

struct Target {
  std::string uid, endpoint, zone = "hall", kind = "gpu", state = "Ready";
  std::int64_t boot_ms = 0;
};

class Discovery {
 public:
  // Whether this connection is cut off: nothing is read from it or written to it any more.
  using Cut = std::function<bool(int peer_port)>;

  void start(int port = 0) {
    server_.start(port, [this](int fd, int peer_port) { serve(fd, peer_port); });
  }
  int port() const { return server_.port(); }
  std::string address() const { return "127.0.0.1:" + std::to_string(port()); }
  void stop() { server_.stop(); }
  void set_cut(Cut cut) {
    const std::lock_guard lock(mutex_);
    cut_ = std::move(cut);
  }
  void add(const Target& target) { change(target); }
  void change(const Target& target) {
    const std::lock_guard lock(mutex_);
    ++rev_;
    targets_[target.uid] = {target, rev_};
  }
  std::string whole_list() {
    const std::lock_guard lock(mutex_);
    return list(true, 0);
  }

 private:
  struct Versioned {
    Target target;
    unsigned rev = 0;
  };
  std::string list(bool all, unsigned after) const {
    std::string out =
        "{\"rev\":" + std::to_string(rev_) + ",\"all\":" + (all ? "true" : "false") + ",\"targets\":[";
    bool first = true;
    for (const auto& [uid, entry] : targets_) {
      const Target& t = entry.target;
      if (all ? t.state == "Gone" : entry.rev <= after) continue;
      out += std::string(first ? "" : ",") + "{\"uid\":\"" + t.uid + "\",\"endpoint\":\"" + t.endpoint +
             "\",\"az\":\"" + t.zone + "\",\"model\":\"" + t.kind + "\",\"pod_group\":0,\"state\":\"" +
             t.state + "\",\"capacity_hint\":1.0,\"boot_ms\":" + std::to_string(t.boot_ms) + "}";
      first = false;
    }
    return out + "]}";
  }
  bool is_cut(int peer_port) {
    Cut cut;
    {
      const std::lock_guard lock(mutex_);
      cut = cut_;
    }
    return cut && cut(peer_port);
  }
  static std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  static bool closed(int fd) {
    pollfd peer{fd, POLLRDHUP, 0};
    return ::poll(&peer, 1, 0) > 0 && (peer.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
  }
  void serve(int fd, int peer_port) {
    std::string request;
    while (request.find("\r\n\r\n") == std::string::npos) {
      if (read_more(fd, request, 30) <= 0) return;
    }
    const bool watch = request.find("stream=1") != std::string::npos;
    const std::size_t index = request.find("index=");
    unsigned sent =
        index == std::string::npos ? 0 : static_cast<unsigned>(std::atoi(request.c_str() + index + 6));
    RIG_NOTE("discovery: call from port %d: %s", peer_port, request.substr(0, request.find("\r\n")).c_str());
    if (is_cut(peer_port)) {
      RIG_NOTE("discovery: port %d is cut off: no answer", peer_port);
      while (!closed(fd)) sleep_for(0.05);
      return;
    }
    std::string text;
    {
      const std::lock_guard lock(mutex_);
      text = list(index == std::string::npos || sent > rev_, sent);
      sent = rev_;
    }
    if (!watch) {
      send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(text.size()) +
                       "\r\nConnection: close\r\n\r\n" + text);
      return;
    }
    send_all(fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n" +
                     chunk(text + "\n"));
    double last = now();
    while (!closed(fd)) {
      sleep_for(0.02);
      text.clear();
      {
        const std::lock_guard lock(mutex_);
        if (rev_ > sent) text = list(false, sent);
      }
      if (text.empty() && now() - last < 2.0) continue;
      if (is_cut(peer_port)) {
        last = now();
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        text = rev_ > sent ? list(false, sent) : "";
        sent = rev_;
      }
      if (!send_all(fd, chunk(text + "\n"))) return;
      last = now();
    }
  }
  Server server_;
  std::mutex mutex_;
  Cut cut_;
  std::map<std::string, Versioned> targets_;
  unsigned rev_ = 40;
};

// ---- model replicas

struct ReplicaRequest {
  std::string replica, id, head, body;
  double first_byte = 0, last_byte = 0;
  int fd = -1;
};

class Replica {
 public:
  // Answers one request. Returns whether the connection stays open.
  using Behaviour = std::function<bool(ReplicaRequest&)>;
  std::string name;
  double first_token_s = 0.05, gap_s = 0.02;
  int events = 8;

  void start(const std::string& replica, int port = 0) {
    name = replica;
    server_.start(port, [this](int fd, int) { serve(fd); });
  }
  void stop() { server_.stop(); }
  int port() const { return server_.port(); }
  std::string endpoint() const { return "127.0.0.1:" + std::to_string(port()); }
  void set_behaviour(Behaviour behaviour) {
    const std::lock_guard lock(mutex_);
    behaviour_ = std::move(behaviour);
  }
  // All requests whose last byte has come.
  std::vector<ReplicaRequest> requests() {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

  static std::string chunk(const std::string& bytes) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
  }
  static std::string stream_head() {
    return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
  }
  static std::string event(const std::string& content, bool last = false) {
    return "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + content +
           "\"},\"finish_reason\":" + (last ? "\"stop\"" : "null") + "}]}\n\n";
  }
  static std::string closing_events(int tokens) {
    return "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":" +
           std::to_string(tokens) + ",\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\ndata: [DONE]\n\n";
  }
  // A sound answer: the first token, further events, the end.
  bool answer(ReplicaRequest& request) const {
    sleep_for(first_token_s);
    if (!send_all(request.fd, stream_head())) return false;
    for (int i = 0; i < events; ++i) {
      if (i > 0) sleep_for(gap_s);
      const std::string content = name + "/" + request.id + "/" + std::to_string(i);
      if (!send_all(request.fd, chunk(event(content, i + 1 == events)))) return false;
    }
    return send_all(request.fd, chunk(closing_events(events)) + "0\r\n\r\n");
  }

 private:
  void serve(int fd) {
    std::string buffer;
    for (;;) {
      ReplicaRequest request;
      request.replica = name;
      request.fd = fd;
      if (buffer.empty() && read_more(fd, buffer, 60) <= 0) return;
      request.first_byte = now();
      std::size_t end = std::string::npos;
      while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (read_more(fd, buffer, 60) <= 0) return;
      }
      request.head = buffer.substr(0, end + 2);
      buffer.erase(0, end + 4);
      request.id = header(request.head, "X-Trace-Id");
      const auto length =
          static_cast<std::size_t>(std::atoll(header(request.head, "Content-Length").c_str()));
      while (buffer.size() < length) {
        if (read_more(fd, buffer, 60) <= 0) return;
      }
      request.body = buffer.substr(0, length);
      buffer.erase(0, length);
      request.last_byte = now();
      RIG_NOTE("replica %s: got %s", name.c_str(), request.id.c_str());
      Behaviour behaviour;
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
        behaviour = behaviour_;
      }
      if (!(behaviour ? behaviour(request) : answer(request))) return;
    }
  }
  Server server_;
  std::mutex mutex_;
  Behaviour behaviour_;
  std::vector<ReplicaRequest> requests_;
};

// ---- clients

struct Answer {
  int status = 0;         // 0: no answer
  bool complete = false;  // to the last chunk, or to the declared length
  bool reset = false;
  std::string body;  // the events, without chunks
  double sent = 0, first_byte = 0, ended = 0;
};

struct ClientRequest {
  std::string id, request_class = "rules-help", tenant = "surat-retro", session, second_try;
  int expires_ms = 5000;
  std::size_t body_bytes = 400;
  double patience = 20;  // for the whole answer
};

inline std::string request_bytes(const ClientRequest& request) {
  std::string body = "{\"model\":\"" + request.request_class +
                     "\",\"stream\":true,\"max_tokens\":64,\"messages\":[{\"role\":\"user\",\"content\":\"";
  const std::size_t used = body.size() + 5;
  body += std::string(request.body_bytes > used ? request.body_bytes - used : 1, 'x') + "\"}]}";
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + request.id +
         "\r\nX-Qos: " + request.request_class + "\r\nX-Customer: " + request.tenant +
         "\r\nX-Object: " + (request.session.empty() ? request.id : request.session) +
         "\r\nX-Expires-In-Ms: " + std::to_string(request.expires_ms) +
         (request.second_try.empty() ? "" : "\r\nX-Second-Try: " + request.second_try) +
         "\r\nX-Props: prompt_len=" + std::to_string(request.body_bytes / 4) +
         ",max_out=64\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Reads the answer to a request that has been sent on this connection.
inline Answer read_answer(int fd, double patience, std::string& buffer) {
  Answer answer;
  answer.sent = now();
  const double until = answer.sent + patience;
  const auto more = [&] {
    const int got = read_more(fd, buffer, until - now());
    answer.reset = got == -1;
    if (got == 1 && answer.first_byte == 0) answer.first_byte = now();
    return got == 1;
  };
  const auto done = [&](bool complete) {
    answer.complete = complete;
    answer.ended = now();
    return answer;
  };
  std::size_t end = std::string::npos;
  while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return done(false);
  }
  const std::string head = buffer.substr(0, end + 2);
  buffer.erase(0, end + 4);
  answer.status = std::atoi(head.c_str() + 9);
  if (header(head, "Transfer-Encoding") != "chunked") {
    const auto length = static_cast<std::size_t>(std::atoll(header(head, "Content-Length").c_str()));
    while (buffer.size() < length) {
      if (!more()) return done(false);
    }
    answer.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return done(true);
  }
  for (;;) {
    std::size_t line = std::string::npos;
    while ((line = buffer.find("\r\n")) == std::string::npos) {
      if (!more()) return done(false);
    }
    const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
    while (buffer.size() < line + 4 + size) {
      if (!more()) return done(false);
    }
    answer.body += buffer.substr(line + 2, size);
    buffer.erase(0, line + 4 + size);
    if (size == 0) return done(true);
  }
}

// Sends one request on a connection of its own and reads its answer.
inline Answer ask(int port, const ClientRequest& request) {
  Answer answer;
  const int fd = connect_to(port);
  if (fd < 0) {
    answer.sent = answer.ended = now();
    RIG_NOTE("client: %s: connection refused", request.id.c_str());
    return answer;
  }
  send_all(fd, request_bytes(request));
  RIG_NOTE("client: sent %s to port %d", request.id.c_str(), port);
  std::string buffer;
  answer = read_answer(fd, request.patience, buffer);
  RIG_NOTE("client: %s: status %d%s%s, %zu bytes, %.3f s", request.id.c_str(), answer.status,
           answer.complete ? "" : " incomplete", answer.reset ? " reset" : "", answer.body.size(),
           answer.ended - answer.sent);
  ::close(fd);
  return answer;
}

inline int get_status(int port, const std::string& path) {
  const int fd = connect_to(port);
  if (fd < 0) return 0;
  send_all(fd, "GET " + path + " HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n");
  std::string buffer;
  const Answer answer = read_answer(fd, 2, buffer);
  ::close(fd);
  return answer.status;
}

// An id as the platform's clients give them; `tag` of two hexadecimal digits tells who sent it.
inline std::string new_id(const std::string& tag) {
  static std::mutex mutex;
  static std::mt19937_64 random{std::random_device{}()};
  const std::lock_guard lock(mutex);
  char text[32];
  std::snprintf(text, sizeof text, "%014llx", static_cast<unsigned long long>(random() >> 8));
  return tag + text;
}

// ---- the case

// The settings of the site gsba-model-serve, for a small deployment.
inline std::string site_settings(int routers, int rank) {
  return "{\"service_type\":\"llm\",\"balancers\":" + std::to_string(routers) +
         ",\"rank\":" + std::to_string(rank) +
         ",\"az\":0,\"failure_domains\":[\"hall\"],\"models\":[\"gpu\"],\"registry_mode\":\"on_request\","
         "\"weight_source\":\"rough\",\"worth_by\":\"work\",\"over_share_worth\":0.1,\"tick\":0.005,"
         "\"callers\":{\"marks_retry\":true},"
         "\"classes\":[{\"name\":\"rules-help\",\"aim\":1.2,\"hard_limit\":5.0,\"worth\":5.0,\"late_value\":"
         "0.0,"
         "\"semantics\":\"safe\",\"group\":\"all\",\"key_ttl\":5.0,\"streamed\":true},"
         "{\"name\":\"run-digest\",\"aim\":3.0,\"hard_limit\":10.0,\"worth\":1.0,\"late_value\":0.0,"
         "\"semantics\":\"safe\",\"group\":\"all\",\"key_ttl\":5.0,\"streamed\":true}],"
         "\"family_info\":{\"resume\":true,\"token_aim\":[0.08,0.1],"
         "\"aim_us_per_1000_prompt_tokens\":[30000.0,30000.0]},"
         "\"accounts\":[{\"name\":\"surat-retro\",\"quota_per_s\":37,\"share\":0.48},"
         "{\"name\":\"vadodara-platformers\",\"quota_per_s\":19,\"share\":0.24},"
         "{\"name\":\"rajkot-racing\",\"quota_per_s\":16,\"share\":0.2},"
         "{\"name\":\"bhavnagar-puzzle\",\"quota_per_s\":6,\"share\":0.08}],"
         "\"permissions\":{\"may_cancel\":true,\"may_duplicate\":true,\"most_tries\":3,\"retry_after\":true,"
         "\"max_retry_after\":2.0,\"dial_timeout\":0.15,\"conn_idle\":5.0,\"probing\":true,\"peers\":false},"
         "\"invariants\":{\"cold\":8.9,\"cold_from\":0.31,\"drain_grace\":2.0,\"grace_to_answer\":0.02,"
         "\"must_ask_in\":10.0,\"fall\":3.0,\"fall_multiple\":2.5},"
         "\"telemetry\":{\"how\":\"pull\",\"fields\":[\"inflight\",\"latency_ms\",\"qps\"]}}";
}

struct RouterConfig {
  std::string name = "n1", known, settings, admin;
  int listen = 0;
  std::string discovery;
  int memory_mb = 192, sockets = 1024;
};

inline std::string config_text(const RouterConfig& config) {
  return "{\"name\":\"" + config.name + "\",\"listen\":\"127.0.0.1:" + std::to_string(config.listen) +
         "\",\"discovery\":\"" + config.discovery + "\",\"seed\":\"8c1f30d27a5be964\"," +
         (config.admin.empty() ? "" : "\"admin_addr\":\"" + config.admin + "\",") +
         "\"limits\":{\"cores\":1.0,\"memory_mb\":" + std::to_string(config.memory_mb) +
         ",\"sockets\":" + std::to_string(config.sockets) + "},\"known\":" + config.known +
         ",\"settings\":" + config.settings + "}";
}

inline void write_file(const std::string& path, const std::string& text) {
  std::ofstream(path + ".new") << text;
  if (std::rename((path + ".new").c_str(), path.c_str()) != 0) could_not_run("cannot write " + path);
}

// The folder and the switch that run.sh passes on; the case ends by itself after `limit_s`.
struct Case {
  std::string folder, scratch;
  bool trouble = true;
  explicit Case(int argc, char** argv, double limit_s = 115) {
    if (argc < 3) {
      std::printf("usage: %s CASE_FOLDER SCRATCH_FOLDER\n", argv[0]);
      std::exit(kCouldNotRun);
    }
    folder = argv[1];
    scratch = argv[2];
    const char* off = std::getenv("TROUBLE");
    trouble = off == nullptr || std::string(off) != "0";
    ::signal(SIGPIPE, SIG_IGN);
    now();
    Record::get().open(folder + "/record.txt");
    RIG_NOTE("trouble: %s", trouble ? "yes" : "no");
    std::thread([limit_s] {
      sleep_for(limit_s);
      could_not_run("the case took too long");
    }).detach();
  }
};

}  // namespace rig
