#include "coordination/coordination_runtime.h"

#include <google/protobuf/stubs/logging.h>
#include <time.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "log/log.h"

namespace flintglade::coordination {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using log::Level;

namespace {

constexpr std::size_t kLargest = 65536;
constexpr int kMostATurn = 256;
// While an earlier process of this router still has the address or the directory.
constexpr std::chrono::milliseconds kOpenAgain{200};

bool parse(const std::string& at, udp::endpoint& out) {
  config::HostPort host;
  error_code ec;
  if (!config::parse_host_port(at, host)) return false;
  const auto address = asio::ip::make_address(host.host, ec);
  out = {address, static_cast<unsigned short>(host.port)};
  return !ec;
}

void write(const Event& e) {
  std::vector<log::Field> fields;
  for (const auto& [key, value] : e.fields) fields.emplace_back(key, value);
  log::event(e.warning ? Level::warn : Level::info, e.name, fields);
}

}  // namespace

Micros CoordinationRuntime::now() {
  timespec t{};
  ::clock_gettime(CLOCK_BOOTTIME, &t);
  return static_cast<Micros>(t.tv_sec) * core::kSecond + t.tv_nsec / 1000;
}

CoordinationRuntime::CoordinationRuntime(Settings settings, OnWord on_word)
    : settings_(std::move(settings)),
      on_word_(std::move(on_word)),
      work_(io_.get_executor()),
      socket_(io_),
      timer_(io_),
      again_(io_),
      buffer_(kLargest, '\0') {}

CoordinationRuntime::~CoordinationRuntime() {
  asio::post(io_, [this] { io_.stop(); });
  if (thread_.joinable()) thread_.join();
}

void CoordinationRuntime::start() {
  // What comes may be no message at all: it is counted, and needs no line of the library's own for each.
  google::protobuf::SetLogHandler(nullptr);
  thread_ = std::thread([this] {
    asio::post(io_, [this] { open(); });
    io_.run();
  });
}

// The address first: who has it is the process of this name that takes part.
bool CoordinationRuntime::open() {
  error_code ec;
  const auto address = asio::ip::make_address(settings_.listen.host, ec);
  const udp::endpoint at(address, static_cast<unsigned short>(settings_.listen.port));
  if (!ec) socket_.open(at.protocol(), ec);
  if (!ec) socket_.non_blocking(true, ec);
  if (!ec) socket_.bind(at, ec);
  if (ec) {
    if (!std::exchange(told_, true))
      log::event(
          Level::warn, "coordination_socket_unavailable",
          {{"at", config::host_port(settings_.listen.host, settings_.listen.port)}, {"why", ec.message()}});
    error_code ignored;
    socket_.close(ignored);
    again_.expires_after(kOpenAgain);
    again_.async_wait([this](error_code stopped) {
      if (!stopped && !left_) open();
    });
    return false;
  }
  const unsigned short port = socket_.local_endpoint().port();
  if (settings_.agent.self.at.empty())
    settings_.agent.self.at = config::host_port(settings_.listen.host, port);
  agent_ = std::make_unique<CoordinationProtocol>(settings_.agent, settings_.seed);
  if (settings_.voter_id != 0) {
    const absl::Status status = start_voting();
    if (status.ok()) {
      log::event(Level::info, "raft_node_started",
                 {{"id", settings_.voter_id}, {"directory", settings_.directory}});
    } else {
      log::event(Level::warn, "raft_node_start_failed",
                 {{"id", settings_.voter_id}, {"why", std::string(status.message())}});
      // Nothing of it takes part: the router follows the other voters.
      agent_ = std::make_unique<CoordinationProtocol>(settings_.agent, settings_.seed);
      storage_.reset();
    }
  }
  log::event(Level::info, "listening",
             {{"name", settings_.agent.self.name},
              {"wire", "fleet"},
              {"at", config::host_port(settings_.listen.host, port)}});
  if (settings_.companion != nullptr)
    agent_->on_status([this](Micros t, Status& s) { settings_.companion->status(t, *agent_, s); });
  agent_->start(now());
  wait();
  run_iteration();
  return true;
}

absl::Status CoordinationRuntime::start_voting() {
  storage_ = std::make_unique<FileRaftStorage>();
  absl::StatusOr<PersistentState> state = storage_->open(settings_.directory);
  if (!state.ok()) return state.status();
  const Head& head = state->head;
  if (head.fleet().empty())
    return absl::NotFoundError(settings_.directory + " holds no record: 'flintglade fleet init'");
  if (head.fleet() != settings_.agent.peers.fleet)
    return absl::FailedPreconditionError(settings_.directory + " is of the fleet " + head.fleet());
  if (head.id() != settings_.voter_id)
    return absl::FailedPreconditionError(settings_.directory + " is of the voter " +
                                         std::to_string(head.id()));
  return agent_->vote(*std::move(state), *storage_);
}

void CoordinationRuntime::wait() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code ec) {
    if (ec) return;
    read();
    wait();
  });
}

void CoordinationRuntime::read() {
  for (int i = 0; i < kMostATurn; ++i) {
    udp::endpoint from;
    error_code ec;
    const std::size_t n = socket_.receive_from(asio::buffer(buffer_), from, 0, ec);
    // A refusal that came back for something sent before is no end of this.
    if (ec == asio::error::connection_refused) continue;
    if (ec) break;
    agent_->receive(now(), config::host_port(from.address().to_string(), from.port()),
                    std::string_view(buffer_).substr(0, n));
  }
  run_iteration();
}

void CoordinationRuntime::run_iteration() {
  if (!agent_) return;
  for (const Event& e : agent_->events()) write(e);
  // What the companion does can bring words of its own: what it is told of a job's turn, once more.
  for (int i = 0; i < 2; ++i) {
    for (const CoordinationProtocol::Word& w : agent_->words()) {
      if (settings_.companion != nullptr) settings_.companion->receive(now(), *agent_, w);
      if (w.what != CoordinationProtocol::Word::What::share) on_word_(w);
    }
    if (settings_.companion != nullptr && now() >= settings_.companion->next())
      settings_.companion->tick(now(), *agent_);
  }
  for (const membership::Datagram& d : agent_->take()) {
    udp::endpoint to;
    error_code ignored;
    if (parse(d.to, to)) socket_.send_to(asio::buffer(d.bytes), to, 0, ignored);
  }
  if (left_ && agent_->left(now())) {
    const auto done = std::exchange(left_, nullptr);
    timer_.cancel();
    return done();
  }
  arm();
}

void CoordinationRuntime::arm() {
  Micros at = agent_->next();
  if (settings_.companion != nullptr) at = std::min(at, settings_.companion->next());
  const Micros t = now();
  if (left_) at = std::min(at, t + 50 * core::kMilli);
  if (at == core::kNever) at = t + core::kSecond;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, at - t)));
  timer_.async_wait([this](error_code ec) {
    if (ec) return;
    agent_->tick(now());
    run_iteration();
  });
}

void CoordinationRuntime::leave(std::function<void()> done) {
  asio::post(io_, [this, done = std::move(done)] {
    if (!agent_) {
      left_ = [] {};
      return done();
    }
    agent_->leave(now());
    left_ = done;
    run_iteration();
  });
}

void CoordinationRuntime::effect(Effect effect, std::string site, std::string to) {
  asio::post(io_, [this, effect = std::move(effect), site = std::move(site), to = std::move(to)] {
    if (!agent_) return;
    agent_->effect(now(), effect, site, to);
    run_iteration();
  });
}

void CoordinationRuntime::with_protocol(std::function<void(Micros, CoordinationProtocol&)> what) {
  asio::post(io_, [this, what = std::move(what)] {
    if (!agent_) return;
    what(now(), *agent_);
    run_iteration();
  });
}

void CoordinationRuntime::want(std::string job, std::uint32_t rev) {
  asio::post(io_, [this, job = std::move(job), rev] {
    if (!agent_) return;
    agent_->want(now(), job, rev);
    run_iteration();
  });
}

}  // namespace flintglade::coordination
