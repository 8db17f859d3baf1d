#include "coordination/coordination_runtime.h"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <utility>

#include "log/log.h"

namespace flintglade::coordination {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;
using log::Level;

namespace {

constexpr std::size_t kMaxDatagramBytes = 65536;
// Limit on the datagrams that are read before the resulting ones are sent.
constexpr int kMaxDatagramsPerIteration = 256;
// Between attempts to bind the address, which an earlier process of this router may still have.
constexpr std::chrono::milliseconds kOpenRetryDelay{200};
// How often has_left() is checked during a shutdown.
constexpr Micros kLeavePollPeriod = 50 * core::kMilli;
// The timer's period when nothing is due.
constexpr Micros kIdlePeriod = core::kSecond;

bool parse_endpoint(const std::string& text, udp::endpoint& out) {
  config::HostPort parsed;
  if (!config::parse_host_port(text, parsed)) return false;
  error_code error;
  const auto address = asio::ip::make_address(parsed.host, error);
  out = {address, static_cast<unsigned short>(parsed.port)};
  return !error;
}

void write_to_log(const Event& event) {
  std::vector<log::Field> fields;
  for (const auto& [key, value] : event.fields) fields.emplace_back(key, value);
  log::event(event.warning ? Level::warn : Level::info, event.name, fields);
}

}  // namespace

Micros CoordinationRuntime::now() {
  timespec time{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return static_cast<Micros>(time.tv_sec) * core::kSecond + time.tv_nsec / 1000;
}

CoordinationRuntime::CoordinationRuntime(Settings settings, NotificationCallback on_notification)
    : settings_(std::move(settings)),
      on_notification_(std::move(on_notification)),
      work_(io_.get_executor()),
      socket_(io_),
      timer_(io_),
      open_retry_timer_(io_),
      buffer_(kMaxDatagramBytes, '\0') {}

CoordinationRuntime::~CoordinationRuntime() {
  asio::post(io_, [this] { io_.stop(); });
  if (thread_.joinable()) thread_.join();
}

void CoordinationRuntime::start() {
  // The socket may receive arbitrary bytes. Packets that cannot be parsed are counted; by default protobuf
  // would also log a line for each.
  google::protobuf::SetLogHandler(nullptr);
  thread_ = std::thread([this] {
    asio::post(io_, [this] { open(); });
    io_.run();
  });
}

// The address is bound before the directory is opened: the process that has the address is the one that takes
// part in the fleet under this router's name.
void CoordinationRuntime::open() {
  if (const error_code error = bind_socket()) return retry_open(error);
  start_protocol();
}

error_code CoordinationRuntime::bind_socket() {
  error_code error;
  const auto address = asio::ip::make_address(settings_.listen.host, error);
  const udp::endpoint endpoint(address, static_cast<unsigned short>(settings_.listen.port));
  if (!error) socket_.open(endpoint.protocol(), error);
  if (!error) socket_.non_blocking(true, error);
  if (!error) socket_.bind(endpoint, error);
  return error;
}

void CoordinationRuntime::retry_open(error_code error) {
  if (!std::exchange(is_open_failure_logged_, true))
    log::event(
        Level::warn, "coordination_socket_unavailable",
        {{"at", config::host_port(settings_.listen.host, settings_.listen.port)}, {"why", error.message()}});
  error_code ignored;  // a new socket is opened in any case
  socket_.close(ignored);
  open_retry_timer_.expires_after(kOpenRetryDelay);
  open_retry_timer_.async_wait([this](error_code stopped) {
    if (!stopped && !on_left_) open();
  });
}

void CoordinationRuntime::start_protocol() {
  const unsigned short port = socket_.local_endpoint().port();
  membership::Self& self = settings_.protocol.self;
  if (self.at.empty()) self.at = config::host_port(settings_.listen.host, port);
  protocol_ = std::make_unique<CoordinationProtocol>(settings_.protocol, settings_.seed);
  if (settings_.voter_id != 0) {
    const absl::Status status = start_voting();
    if (!status.ok()) {
      // Starts over without the voter; this router follows the other voters.
      protocol_ = std::make_unique<CoordinationProtocol>(settings_.protocol, settings_.seed);
      storage_.reset();
    }
    log_start_of_voting(status);
  }
  log::event(
      Level::info, "listening",
      {{"name", self.name}, {"wire", "fleet"}, {"at", config::host_port(settings_.listen.host, port)}});
  if (settings_.extension != nullptr)
    protocol_->set_status_extension(
        [this](Micros time, Status& status) { settings_.extension->status(time, *protocol_, status); });
  protocol_->start(now());
  wait_for_datagrams();
  run_iteration();
}

absl::Status CoordinationRuntime::start_voting() {
  const std::string& directory = settings_.directory;
  storage_ = std::make_unique<FileRaftStorage>();
  absl::StatusOr<PersistentState> state = storage_->open(directory);
  if (!state.ok()) return state.status();
  const Head& head = state->head;
  if (head.fleet().empty())
    return absl::NotFoundError(directory + ": no voter's files; create them with 'flintglade fleet init'");
  if (head.fleet() != settings_.protocol.membership.fleet)
    return absl::FailedPreconditionError(directory + ": belongs to fleet '" + head.fleet() + "', not to '" +
                                         settings_.protocol.membership.fleet + "'");
  if (head.id() != settings_.voter_id)
    return absl::FailedPreconditionError(directory + ": belongs to voter " + std::to_string(head.id()) +
                                         ", not to " + std::to_string(settings_.voter_id));
  return protocol_->start_voting(*std::move(state), *storage_);
}

void CoordinationRuntime::log_start_of_voting(const absl::Status& status) {
  if (status.ok()) {
    log::event(Level::info, "raft_node_started",
               {{"id", settings_.voter_id}, {"directory", settings_.directory}});
  } else {
    log::event(Level::warn, "raft_node_start_failed",
               {{"id", settings_.voter_id}, {"why", std::string(status.message())}});
  }
}

void CoordinationRuntime::wait_for_datagrams() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code error) {
    if (error) return;
    read_datagrams();
    wait_for_datagrams();
  });
}

void CoordinationRuntime::read_datagrams() {
  for (int i = 0; i < kMaxDatagramsPerIteration; ++i) {
    udp::endpoint sender;
    error_code error;
    const std::size_t size = socket_.receive_from(asio::buffer(buffer_), sender, 0, error);
    // An ICMP error in response to a datagram sent earlier; there may be more to read.
    if (error == asio::error::connection_refused) continue;
    if (error) break;
    protocol_->receive(now(), config::host_port(sender.address().to_string(), sender.port()),
                       std::string_view(buffer_).substr(0, size));
  }
  run_iteration();
}

void CoordinationRuntime::run_iteration() {
  if (!protocol_) return;
  for (const Event& event : protocol_->take_events()) write_to_log(event);
  deliver_notifications();
  send_datagrams();
  if (on_left_ && protocol_->has_left(now())) {
    const auto done = std::exchange(on_left_, nullptr);
    timer_.cancel();
    return done();
  }
  arm_timer();
}

void CoordinationRuntime::deliver_notifications() {
  ProtocolExtension* extension = settings_.extension;
  // Two rounds, since the extension's reaction to the first notifications can cause further ones.
  for (int round = 0; round < 2; ++round) {
    for (const JobNotification& notification : protocol_->take_notifications()) {
      if (extension != nullptr) extension->receive(now(), *protocol_, notification);
      if (notification.kind != JobNotification::Kind::shared_state) on_notification_(notification);
    }
    if (extension != nullptr && now() >= extension->next_timer()) extension->tick(now(), *protocol_);
  }
}

void CoordinationRuntime::send_datagrams() {
  for (const membership::Datagram& datagram : protocol_->take_datagrams()) {
    udp::endpoint receiver;
    error_code ignored;  // a datagram that cannot be sent counts as lost
    if (parse_endpoint(datagram.to, receiver))
      socket_.send_to(asio::buffer(datagram.bytes), receiver, 0, ignored);
  }
}

void CoordinationRuntime::arm_timer() {
  Micros next = protocol_->next_timer();
  if (settings_.extension != nullptr) next = std::min(next, settings_.extension->next_timer());
  const Micros time = now();
  if (on_left_) next = std::min(next, time + kLeavePollPeriod);
  if (next == core::kNever) next = time + kIdlePeriod;
  timer_.expires_after(std::chrono::microseconds(std::max<Micros>(0, next - time)));
  timer_.async_wait([this](error_code error) {
    if (error) return;
    protocol_->tick(now());
    run_iteration();
  });
}

void CoordinationRuntime::leave(std::function<void()> done) {
  asio::post(io_, [this, done = std::move(done)] {
    if (!protocol_) {
      on_left_ = [] {};  // stops the attempts to open the socket
      return done();
    }
    protocol_->leave(now());
    on_left_ = done;
    run_iteration();
  });
}

void CoordinationRuntime::send_effect(Effect effect, std::string site, std::string address) {
  with_protocol([effect = std::move(effect), site = std::move(site), address = std::move(address)](
                    Micros time, CoordinationProtocol& protocol) {
    protocol.send_effect(time, effect, site, address);
  });
}

void CoordinationRuntime::request_list(std::string job, std::uint32_t revision) {
  with_protocol([job = std::move(job), revision](Micros, CoordinationProtocol& protocol) {
    protocol.request_list(job, revision);
  });
}

void CoordinationRuntime::with_protocol(std::function<void(Micros, CoordinationProtocol&)> action) {
  asio::post(io_, [this, action = std::move(action)] {
    if (!protocol_) return;
    action(now(), *protocol_);
    run_iteration();
  });
}

}  // namespace flintglade::coordination
