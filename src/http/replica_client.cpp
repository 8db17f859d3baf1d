#include "http/replica_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <limits>
#include <optional>

#include "config/config.h"
#include "core/string_memory.h"
#include "http/listener.h"
#include "http/sse.h"
#include "log/log.h"
#include "net/errors.h"
#include "net/receive_buffer.h"
#include "net/streamed_body.h"
#include "net/write_all.h"

namespace flintglade::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using core::Micros;
using policy::Outcome;

namespace {
// Idle connections are closed this long before the replica may close them. A request that is sent while the
// replica closes would end in a reset, which does not prove that the request never ran.
constexpr Micros kIdleMargin = 700 * core::kMilli;
constexpr Micros kRecentAttemptsPeriod = 4 * core::kSecond;
// Events are small. A larger chunk size is not that of an event, and its bytes would be read without end.
constexpr std::uint64_t kMaxChunkSize = 1u << 20;
// A response header section arrives in one piece with the first token. If it is still incomplete this long
// after its first byte, it is not going to be completed.
constexpr Micros kHeadTimeout = core::kSecond;
constexpr std::string_view kEndOfHead = "\r\n";
constexpr Micros kRedialInterval = 10 * core::kMilli;  // after a local resource error
}  // namespace

class HttpReplicaClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpReplicaClient& owner, core::ReplicaId replica)
      : owner_(&owner),
        replica_(replica),
        socket_(owner.io_),
        dial_timer_(owner.io_),
        redial_timer_(owner.io_),
        held_(owner.settings_.response_memory, ResponseMemory::Part::unforwarded) {
    ++owner.connections_;
  }

  void assign(core::AttemptId id, std::shared_ptr<const core::Request> request, Micros first_event_timeout) {
    id_ = id;
    request_ = std::move(request);
    deadline_ = owner_->clock_.now() + first_event_timeout;
    busy_ = true;
    request_written_ = paused_ = events_started_ = false;
    head_started_at_ = core::kNever;
    chunk_bytes_declared_ = chunk_bytes_received_ = 0;
    events_.clear();
    reset_parser();
  }

  void reset_parser() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->on_chunk_header(on_chunk_);
  }

  void start_dial(const std::string& address) {
    config::HostPort host_port;
    error_code ec;
    asio::ip::address ip_address;
    if (!config::parse_host_port(address, host_port) ||
        (ip_address = asio::ip::make_address(host_port.host, ec), ec)) {
      return fail(Outcome::connect_failed);
    }
    endpoint_ = {ip_address, host_port.port};
    dial_deadline_ = owner_->clock_.now() + owner_->settings_.dial_timeout;
    dial_timer_.expires_after(std::chrono::microseconds(owner_->settings_.dial_timeout));
    dial_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && !self->connected_) self->fail(Outcome::connect_failed);
    });
    connect();
  }

  void connect() {
    error_code ec;
    if (!socket_.is_open()) socket_.open(endpoint_.protocol(), ec);
    if (ec) return on_connect_failed(ec);
    socket_.async_connect(endpoint_, [self = shared_from_this()](error_code failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->on_connect_failed(failed);
      self->connected_ = true;
      error_code ignored;
      self->dial_timer_.cancel();
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->socket_.non_blocking(true, ignored);
      self->send();
      // Reads without waiting, since an error of the connection need not make it readable. Posted behind the
      // end of a write that was possible at once: what is read before that is no response to the request.
      asio::post(self->socket_.get_executor(), [self] {
        if (self->owner_ != nullptr) self->receive();
      });
    });
  }

  // A local resource error gives no information about the replica and is temporary: the connection is tried
  // again until the dial timeout has passed.
  void on_connect_failed(error_code error) {
    error_code ignored;
    socket_.close(ignored);
    if (net::is_descriptor_exhaustion(error) && owner_->close_longest_idle()) return connect();
    const Micros next_dial = owner_->clock_.now() + kRedialInterval;
    if (!net::is_local_resource_error(error) || next_dial >= dial_deadline_)
      return fail(Outcome::connect_failed);
    redial_timer_.expires_after(std::chrono::microseconds(kRedialInterval));
    redial_timer_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr) self->connect();
    });
  }

  void send() {
    const auto subchannel = owner_->subchannels_.find(replica_);
    // The replica may have started to drain while the connection was being established. No new request may be
    // written to it then, and a request of which no byte was written has never run.
    const Micros now = owner_->clock_.now();
    if (subchannel == owner_->subchannels_.end() || now >= subchannel->second.no_new_after ||
        now >= deadline_) {
      return fail(Outcome::connect_failed);
    }
    const Micros remaining_ms = std::max<Micros>(1, (deadline_ - now) / core::kMilli);
    head_ = request_->method + " " + request_->target +
            " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + request_->trace_id +
            "\r\nX-Expires-In-Ms: " + std::to_string(remaining_ms) +
            "\r\nContent-Length: " + std::to_string(request_->body.size()) + "\r\n";
    net::write_all(socket_,
                   {asio::buffer(head_), asio::buffer(request_->metadata.lines()),
                    asio::buffer(kEndOfHead.data(), kEndOfHead.size()), asio::buffer(request_->body)},
                   [self = shared_from_this(), request = request_](error_code ec) {
                     if (self->owner_ == nullptr) return;
                     // Broke before the last byte: it never ran.
                     if (ec) return self->fail(Outcome::connect_failed);
                     self->on_request_written();
                   });
  }

  // Waits until there is something to read, and reads it. Memory for it is allocated only then.
  void read() {
    if (owner_ == nullptr || reading_ || waits_for_memory_ || paused_) return;
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      self->reading_ = false;
      if (self->owner_ == nullptr || self->paused_) return;
      ec ? self->on_read(ec) : self->receive();
    });
  }

  // Reads once, unless the memory of all responses is used up.
  void receive() {
    if (!owner_->may_read()) {
      waits_for_memory_ = true;
      return owner_->waiting_for_memory_.push_back(shared_from_this());
    }
    error_code ec;
    const std::size_t bytes =
        socket_.read_some(buffer_.prepare(owner_->settings_.response_memory->read_size()), ec);
    buffer_.commit(bytes);
    if (ec != asio::error::would_block && ec != asio::error::interrupted) return on_read(ec);
    buffer_.shrink_to_fit();
    read();
  }
  void on_memory_free() {
    waits_for_memory_ = false;
    read();
  }

  void pause(bool paused) {
    paused_ = paused;
    if (!paused) read();
  }

  // When a response whose header section is incomplete is treated as malformed; kNever if none is incomplete.
  Micros head_deadline() const {
    return busy_ && head_started_at_ != core::kNever ? head_started_at_ + kHeadTimeout : core::kNever;
  }
  void fail_malformed() { fail(request_written_ ? Outcome::error : Outcome::connect_failed); }

  // Closes the connection without a report to the core.
  void close() {
    if (owner_ == nullptr) return;
    --owner_->connections_;
    owner_ = nullptr;
    error_code ignored;
    dial_timer_.cancel();
    redial_timer_.cancel();
    socket_.close(ignored);
    release_received();
  }

  // Possible only once the body of the response arrives in chunks: the parser's state is then small enough to
  // be exported.
  int export_stream(hot_restart::Stream& stream) {
    if (!events_started_ || !request_written_ || paused_ || !parser_->chunked() || parser_->is_done() ||
        chunk_bytes_declared_ == 0)
      return -1;
    stream.set_replica_unread(boost::beast::buffers_to_string(buffer_.data()));
    stream.set_chunk_left(chunk_bytes_declared_ - chunk_bytes_received_);
    stream.set_partial_event(events_.partial());
    stream.set_cached_tokens(events_.cached_tokens());
    stream.set_replica_keeps(parser_->keep_alive());
    return socket_.native_handle();
  }
  void migrated_out() {
    --std::exchange(owner_, nullptr)->connections_;
    release_and_close(socket_);
  }
  // Brings the parser to the state that the other process exported, which is within a chunk of which
  // chunk_left bytes are missing, or after a complete chunk.
  void migrate_in(core::AttemptId id, int descriptor, const hot_restart::Stream& stream) {
    assign(id, nullptr, core::kNever / 2);
    error_code ec;
    socket_.assign(protocol_of(descriptor), descriptor, ec);
    std::array<char, 32> chunk{};
    std::snprintf(chunk.data(), chunk.size(), "%llx\r\n%s",
                  static_cast<unsigned long long>(std::max<std::uint64_t>(1, stream.chunk_left())),
                  stream.chunk_left() == 0 ? "x" : "");
    const std::string preamble = std::string("HTTP/1.1 200 OK\r\n") +
                                 (stream.replica_keeps() ? "" : "Connection: close\r\n") +
                                 "Transfer-Encoding: chunked\r\n\r\n" + chunk.data();
    for (std::size_t offset = 0; !ec && offset < preamble.size();)
      offset += parser_->put(asio::buffer(preamble) + offset, ec);
    chunk_bytes_received_ = parser_->get().body().size();
    parser_->get().body().clear();
    events_.restore(stream.partial_event(), stream.cached_tokens());
    connected_ = request_written_ = events_started_ = true;
    socket_.non_blocking(true, ec);
    if (net::element_is_too_long(stream.replica_unread().size())) return fail_malformed();
    buffer_.commit(asio::buffer_copy(buffer_.prepare(stream.replica_unread().size()),
                                     asio::buffer(stream.replica_unread())));
    on_read(ec);
  }

  Micros idle_since() const { return idle_since_; }
  std::size_t held_bytes() const { return held_.bytes(); }
  // Bytes of the response that have been received and not passed on.
  std::size_t unforwarded_bytes() const {
    return buffer_.size() + parser_->get().body().size() + events_.partial().size();
  }
  // False if something unread has arrived on the idle connection: its end, or bytes that no request asked
  // for.
  bool has_no_unread_data() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
  }

 private:
  void on_request_written() {
    request_written_ = true;
    request_.reset();
    core::free_memory(head_);
    owner_->broker_.on_attempt_written();
  }

  void release_received() {
    buffer_.clear();
    buffer_.shrink_to_fit();
    events_.clear();
    held_.set(0);
  }
  void count_held_bytes() { held_.set(buffer_.capacity() + core::heap_bytes(events_.partial())); }

  // Ends the attempt after its connection broke. Only a request that was not written completely is known
  // never to have run.
  void on_connection_lost() { fail(request_written_ ? Outcome::reset : Outcome::connect_failed); }

  void on_read(error_code ec) {
    if (!busy_) {
      if (buffer_.size() > 0) record_unsolicited_response();
      return remove_idle();
    }
    error_code parse_error;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const std::size_t consumed = parser_->put(buffer_.data(), parse_error);
      buffer_.consume(consumed);
      if (parse_error) break;
      // The parser takes an interim response (1xx) for a complete one; the final response follows it.
      if (parser_->is_done() && parser_->get().result_int() / 100 == 1) {
        reset_parser();
        head_started_at_ = core::kNever;
      }
    }
    if (parse_error == beast_http::error::need_more) parse_error = {};
    buffer_.shrink_to_fit();
    if (parser_->is_header_done()) {
      head_started_at_ = core::kNever;
    } else if (parser_->got_some() && head_started_at_ == core::kNever) {
      head_started_at_ = owner_->clock_.now();
      owner_->sweep_timer_.fire_by(head_deadline());
    }
    const std::string body = std::exchange(parser_->get().body(), {});  // of an error response: discarded
    if (parser_->is_header_done() && parser_->get().result() == beast_http::status::ok) {
      // A replica begins a request when its last byte has arrived: this is the response to an earlier one.
      if (!request_written_) return fail(Outcome::connect_failed);
      // Without chunks or a length, the end of the stream cannot be distinguished from a broken connection.
      if (parser_->need_eof()) return fail_malformed();
      chunk_bytes_received_ += body.size();
      forward_events(events_.feed(body));
      count_held_bytes();
      if (events_.malformed()) return fail_malformed();
    }
    if (parse_error || (!parser_->is_done() && net::element_is_too_long(buffer_.size())))
      return fail_malformed();
    if (parser_->is_done()) return on_response_complete();
    if (ec) return on_connection_lost();
    // The core learns of these events, and whether the client takes them, in its next iteration. Until then
    // nothing more is read: one stream could otherwise fill the memory of all.
    owner_->read_in_this_iteration_.push_back(shared_from_this());
  }

  void forward_events(std::string events) {
    if (events.empty()) return;
    events_started_ = true;
    owner_->broker_.on_attempt_events(id_, std::move(events));
  }

  void on_response_complete() {
    const auto& head = parser_->get();
    const unsigned status = head.result_int();
    Outcome outcome = Outcome::error;
    if (status == 200) {
      forward_events(events_.finish());
      count_held_bytes();
      if (events_.malformed()) return fail_malformed();
      outcome = events_started_ ? Outcome::ok : Outcome::error;  // a response without any event is an error
    } else if ((status == 503 || status == 504) && head["X-Never-Ran"] == "1") {
      outcome = Outcome::full;
    }
    idle_since_ = owner_->clock_.now();
    if (buffer_.size() > 0) record_unsolicited_response();
    const bool reusable = parser_->keep_alive() && request_written_ && buffer_.size() == 0;
    if (status == 400 || status == 413 || status == 422) {
      owner_->broker_.on_attempt_rejected(id_);
    } else {
      owner_->broker_.on_attempt_ended(id_, outcome, events_.cached_tokens());
    }
    HttpReplicaClient& owner = *owner_;
    owner.attempts_.erase(key(id_));
    busy_ = events_started_ = paused_ = false;
    request_.reset();
    const auto subchannel = owner.subchannels_.find(replica_);
    if (!reusable || subchannel == owner.subchannels_.end() ||
        subchannel->second.no_new_after != core::kNever)
      return close();
    subchannel->second.idle.push_back(shared_from_this());
    owner.sweep_timer_.fire_by(idle_since_ + owner.idle_lifetime());
    read();  // so that its end is detected while it is idle
  }

  void fail(Outcome outcome) {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    owner_->attempts_.erase(key(id_));
    owner_->broker_.on_attempt_ended(id_, outcome);
    close();
  }

  void record_unsolicited_response() {
    const Micros now = owner_->clock_.now();
    ++owner_->counters_.unsolicited_responses;
    owner_->reuse_delay_.on_unsolicited_response(now - idle_since_, now);
    log::event(log::Level::info, "unsolicited_response",
               {{"replica", replica_}, {"idle_us", now - idle_since_}, {"bytes", buffer_.size()}});
  }

  // Removes an idle connection that the replica closed, or on which it sent bytes that no request asked for.
  void remove_idle() {
    const auto subchannel = owner_->subchannels_.find(replica_);
    if (subchannel != owner_->subchannels_.end()) std::erase(subchannel->second.idle, shared_from_this());
    close();
  }

  HttpReplicaClient* owner_;  // null once closed
  core::ReplicaId replica_;
  tcp::socket socket_;
  tcp::endpoint endpoint_;
  asio::steady_timer dial_timer_, redial_timer_;  // dial timeout; delay until the next try
  Micros dial_deadline_ = 0;
  core::AttemptId id_;
  std::shared_ptr<const core::Request> request_;
  HeldResponseBytes held_;
  std::string head_;
  Micros deadline_ = 0, idle_since_ = 0;
  Micros head_started_at_ = core::kNever;  // when the first byte of an incomplete header section arrived
  bool busy_ = false, connected_ = false, request_written_ = false, reading_ = false, paused_ = false,
       events_started_ = false, waits_for_memory_ = false;
  std::uint64_t chunk_bytes_declared_ = 0, chunk_bytes_received_ = 0;  // of the response body
  boost::beast::flat_buffer buffer_ = net::make_receive_buffer();
  std::optional<beast_http::response_parser<net::StreamedBody>> parser_;
  EventStream events_;
  // A member because the parser keeps a reference to it.
  std::function<void(std::uint64_t, boost::beast::string_view, error_code&)> on_chunk_ =
      [this](std::uint64_t size, boost::beast::string_view, error_code& ec) {
        chunk_bytes_declared_ += size;
        if (size > kMaxChunkSize) ec = beast_http::error::bad_chunk;
      };
};

HttpReplicaClient::HttpReplicaClient(asio::io_context& io, core::Broker& broker, core::Clock& clock,
                                     ReplicaClientSettings settings)
    : io_(io),
      broker_(broker),
      clock_(clock),
      settings_(settings),
      sweep_timer_(io, clock, [this] { sweep(); }),
      recent_attempts_(kRecentAttemptsPeriod) {}

HttpReplicaClient::~HttpReplicaClient() {
  for (auto& [id, connection] : attempts_) connection->close();
  for (auto& [id, subchannel] : subchannels_) close_idle(subchannel);
}

Micros HttpReplicaClient::idle_lifetime() const {
  return std::max(settings_.conn_idle / 2, settings_.conn_idle - kIdleMargin);
}

void HttpReplicaClient::update_endpoint(const core::Endpoint& endpoint, Micros no_new_after) {
  Subchannel& subchannel = subchannels_[endpoint.replica.id];
  const bool address_changed = !endpoint.address.empty() && subchannel.address != endpoint.address;
  if (address_changed) subchannel.address = endpoint.address;
  subchannel.no_new_after = no_new_after;
  if (address_changed || no_new_after != core::kNever) close_idle(subchannel);
}

void HttpReplicaClient::start_attempt(core::AttemptId id, core::ReplicaId replica,
                                      std::shared_ptr<const core::Request> request,
                                      Micros first_event_timeout) {
  const auto subchannel = subchannels_.find(replica);
  const Micros now = clock_.now();
  if (subchannel == subchannels_.end() || now >= subchannel->second.no_new_after) {
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  }
  if (const auto connection = take_idle(subchannel->second)) {
    add_attempt(id, connection);
    ++counters_.reused;
    connection->assign(id, std::move(request), first_event_timeout);
    return connection->send();
  }
  if (connections_ >= settings_.connection_limit() && !close_longest_idle()) {
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  }
  const auto connection = std::make_shared<Connection>(*this, replica);
  add_attempt(id, connection);
  ++counters_.opened;
  connection->assign(id, std::move(request), first_event_timeout);
  connection->start_dial(subchannel->second.address);
}

void HttpReplicaClient::add_attempt(core::AttemptId id, std::shared_ptr<Connection> connection) {
  attempts_[key(id)] = std::move(connection);
  settings_.response_memory->set_streams(attempts_.size());
  recent_attempts_.record(attempts_.size(), clock_.now());
}

std::shared_ptr<HttpReplicaClient::Connection> HttpReplicaClient::take_idle(Subchannel& subchannel) {
  const Micros now = clock_.now();
  const Micros reuse_delay = std::min(reuse_delay_.at(now), idle_lifetime() / 2);
  auto& idle = subchannel.idle;
  const auto candidate = std::find_if(idle.rbegin(), idle.rend(), [now, reuse_delay](const auto& connection) {
    return now - connection->idle_since() >= reuse_delay && connection->has_no_unread_data();
  });
  if (candidate == idle.rend() || now - (*candidate)->idle_since() >= idle_lifetime()) return nullptr;
  auto connection = *candidate;
  idle.erase(std::next(candidate).base());
  return connection;
}

void HttpReplicaClient::cancel_attempt(core::AttemptId id) {
  const auto it = attempts_.find(key(id));
  if (it == attempts_.end()) return;
  const auto connection = it->second;
  attempts_.erase(it);
  connection->close();
}

int HttpReplicaClient::export_stream(core::AttemptId id, hot_restart::Stream& stream) const {
  const auto it = attempts_.find(key(id));
  return it == attempts_.end() ? -1 : it->second->export_stream(stream);
}
void HttpReplicaClient::migrated_out(core::AttemptId id) {
  if (const auto node = attempts_.extract(key(id))) node.mapped()->migrated_out();
}
void HttpReplicaClient::migrate_in(core::AttemptId id, core::ReplicaId replica, int descriptor,
                                   const hot_restart::Stream& stream) {
  const auto connection = std::make_shared<Connection>(*this, replica);
  add_attempt(id, connection);
  connection->migrate_in(id, descriptor, stream);
}

std::size_t HttpReplicaClient::unforwarded_bytes() const {
  std::size_t sum = 0;
  for (const auto& [id, connection] : attempts_) sum += connection->unforwarded_bytes();
  return sum;
}

bool HttpReplicaClient::may_read() const {
  const ResponseMemory& memory = *settings_.response_memory;
  return memory.held() + broker_.queued_event_bytes() < memory.budget();
}

bool HttpReplicaClient::end_newest_unforwarded() {
  const std::size_t all = settings_.response_memory->held(ResponseMemory::Part::unforwarded);
  std::uint64_t newest = 0;
  std::shared_ptr<Connection> chosen;
  for (const auto& [id, connection] : attempts_) {
    const bool is_large =
        connection->held_bytes() > 0 && 2 * connection->held_bytes() * attempts_.size() >= all;
    if (!is_large || (chosen != nullptr && id < newest)) continue;
    newest = id;
    chosen = connection;
  }
  if (chosen == nullptr) return false;
  ++counters_.ended_for_memory;
  chosen->fail_malformed();
  return true;
}

void HttpReplicaClient::on_iteration_done() {
  settings_.response_memory->set_streams(attempts_.size());
  for (const auto& connection : std::exchange(read_in_this_iteration_, {})) connection->read();
  // One that is read may wait again: each is tried once.
  for (std::size_t left = waiting_for_memory_.size(); left > 0 && may_read(); --left) {
    const auto connection = waiting_for_memory_.front();
    waiting_for_memory_.pop_front();
    connection->on_memory_free();
  }
}

void HttpReplicaClient::pause_attempt(core::AttemptId id, bool paused) {
  const auto it = attempts_.find(key(id));
  if (it != attempts_.end()) it->second->pause(paused);
}

void HttpReplicaClient::close_idle(Subchannel& subchannel) {
  for (const auto& connection : subchannel.idle) connection->close();
  subchannel.idle.clear();
}

bool HttpReplicaClient::close_longest_idle() {
  Subchannel* oldest = nullptr;
  for (auto& [id, subchannel] : subchannels_) {
    if (subchannel.idle.empty()) continue;
    if (oldest == nullptr || subchannel.idle.front()->idle_since() < oldest->idle.front()->idle_since())
      oldest = &subchannel;
  }
  if (oldest == nullptr) return false;
  oldest->idle.front()->close();
  oldest->idle.pop_front();
  return true;
}

void HttpReplicaClient::close_idle_above(std::size_t connections) {
  while (connections_ > connections) {
    Subchannel* newest = nullptr;
    for (auto& [id, subchannel] : subchannels_) {
      if (subchannel.idle.empty()) continue;
      if (newest == nullptr || subchannel.idle.back()->idle_since() > newest->idle.back()->idle_since())
        newest = &subchannel;
    }
    if (newest == nullptr) return;
    newest->idle.back()->close();
    newest->idle.pop_back();
  }
}

void HttpReplicaClient::sweep() {
  const Micros now = clock_.now();
  Micros next_deadline = core::kNever;
  std::vector<std::shared_ptr<Connection>> expired;
  for (const auto& [id, connection] : attempts_) {
    if (connection->head_deadline() <= now) {
      expired.push_back(connection);
    } else {
      next_deadline = std::min(next_deadline, connection->head_deadline());
    }
  }
  for (const auto& connection : expired) connection->fail_malformed();
  for (auto& [id, subchannel] : subchannels_) {
    while (!subchannel.idle.empty() && now - subchannel.idle.front()->idle_since() >= idle_lifetime()) {
      subchannel.idle.front()->close();
      subchannel.idle.pop_front();
    }
    if (!subchannel.idle.empty())
      next_deadline = std::min(next_deadline, subchannel.idle.front()->idle_since() + idle_lifetime());
  }
  sweep_timer_.fire_by(std::max(next_deadline, now + IdleTimer::kMinSweepInterval));
}

}  // namespace flintglade::http
