#include "http/replica_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <limits>
#include <optional>

#include "config/config.h"
#include "http/listener.h"
#include "http/sse.h"
#include "net/errors.h"
#include "net/write_all.h"

namespace flintglade::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using core::Micros;
using policy::Outcome;

namespace {
// Connections are dropped this long before the replica may close them: a request that crosses the close
// would end in a reset, which does not prove that it never ran.
constexpr Micros kIdleMargin = 700 * core::kMilli;
constexpr std::size_t kRead = 16384;
// Events are small. A chunk declared larger than this is not one of them, and would keep coming.
constexpr std::uint64_t kLargestChunk = 1u << 20;
// A head comes in one piece with the first token; one that is not whole by now never will be.
constexpr Micros kHalfHead = core::kSecond;
// Not reused so soon: a replica that says more than belongs to its answer says it right after, and it would
// pass for the answer to the next call.
constexpr Micros kSettle = 3 * core::kMilli;
constexpr Micros kDialAgain = 10 * core::kMilli;  // after a lack of this machine's
}  // namespace

class HttpReplicaClient::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpReplicaClient& owner, core::ReplicaId replica)
      : owner_(&owner), replica_(replica), socket_(owner.io_), dial_(owner.io_), dial_again_(owner.io_) {
    ++owner.connections_;
  }

  void assign(core::AttemptId id, std::shared_ptr<const core::Request> rpc, Micros patience) {
    id_ = id;
    rpc_ = std::move(rpc);
    expires_ = owner_->clock_.now() + patience;
    busy_ = true;
    written_ = paused_ = began_ = false;
    head_since_ = core::kNever;
    promised_ = came_ = 0;
    events_ = {};
    expect_answer();
  }

  void expect_answer() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->on_chunk_header(on_chunk_);
  }

  void dial(const std::string& address) {
    config::HostPort to;
    error_code ec;
    asio::ip::address ip;
    if (!config::parse_host_port(address, to) || (ip = asio::ip::make_address(to.host, ec), ec)) {
      return end(Outcome::connect_failed);
    }
    endpoint_ = {ip, to.port};
    dial_until_ = owner_->clock_.now() + owner_->settings_.dial_timeout;
    dial_.expires_after(std::chrono::microseconds(owner_->settings_.dial_timeout));
    dial_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && !self->connected_) self->end(Outcome::connect_failed);
    });
    connect();
  }

  void connect() {
    error_code ec;
    if (!socket_.is_open()) socket_.open(endpoint_.protocol(), ec);
    if (ec) return not_connected(ec);
    socket_.async_connect(endpoint_, [self = shared_from_this()](error_code failed) {
      if (self->owner_ == nullptr) return;
      if (failed) return self->not_connected(failed);
      self->connected_ = true;
      error_code ignored;
      self->dial_.cancel();
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->send();
      self->read();
    });
  }

  // A lack of this machine's says nothing of the replica, and passes: tried again until the dial's time is
  // up.
  void not_connected(error_code why) {
    error_code ignored;
    socket_.close(ignored);
    if (net::lacks_descriptors(why) && owner_->shed_idle()) return connect();
    const Micros again = owner_->clock_.now() + kDialAgain;
    if (!net::lacks_here(why) || again >= dial_until_) return end(Outcome::connect_failed);
    dial_again_.expires_after(std::chrono::microseconds(kDialAgain));
    dial_again_.async_wait([self = shared_from_this()](error_code cancelled) {
      if (!cancelled && self->owner_ != nullptr) self->connect();
    });
  }

  void send() {
    const auto sub = owner_->subs_.find(replica_);
    // Its replica may have begun to drain while this connection came up. Nothing new may be written to it
    // then, and a call of which no byte was written has never run.
    const Micros now = owner_->clock_.now();
    if (sub == owner_->subs_.end() || now >= sub->second.no_new_after || now >= expires_) {
      return end(Outcome::connect_failed);
    }
    const Micros left = std::max<Micros>(1, (expires_ - now) / core::kMilli);
    head_ = rpc_->method + " " + rpc_->target +
            " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: " + rpc_->trace_id +
            "\r\nX-Expires-In-Ms: " + std::to_string(left) +
            "\r\nContent-Length: " + std::to_string(rpc_->body.size()) + "\r\n";
    for (const auto& [name, value] : rpc_->metadata)
      head_.append(name).append(": ").append(value).append("\r\n");
    head_ += "\r\n";
    net::write_all(socket_, {asio::buffer(head_), asio::buffer(rpc_->body)},
                   [self = shared_from_this(), rpc = rpc_](error_code ec) {
                     if (self->owner_ == nullptr) return;
                     if (ec)
                       return self->end(Outcome::connect_failed);  // broke before the last byte: never ran
                     self->written_ = true;
                     self->owner_->broker_.on_attempt_written();
                   });
  }

  void read() {
    if (owner_ == nullptr || reading_ || paused_) return;
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(kRead),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->reading_ = false;
                              if (self->owner_ == nullptr) return;
                              self->buffer_.commit(n);
                              self->take(ec);
                            });
  }

  void pause(bool paused) {
    paused_ = paused;
    if (!paused) read();
  }

  // Bytes of an answer have come, but its head does not end: from then on the stream is spoilt.
  Micros spoilt_at() const {
    return busy_ && head_since_ != core::kNever ? head_since_ + kHalfHead : core::kNever;
  }
  void spoil() { end(written_ ? Outcome::error : Outcome::connect_failed); }

  // Ends the connection without a word to the core.
  void close() {
    if (owner_ == nullptr) return;
    --owner_->connections_;
    owner_ = nullptr;
    error_code ignored;
    dial_.cancel();
    dial_again_.cancel();
    socket_.close(ignored);
  }

  // What the parser knows can be told in a few words once chunks of the answer's body come.
  int describe(hot_restart::Stream& to) {
    if (!began_ || !written_ || paused_ || !parser_->chunked() || parser_->is_done() || promised_ == 0)
      return -1;
    to.set_replica_unread(boost::beast::buffers_to_string(buffer_.data()));
    to.set_chunk_left(promised_ - came_);
    to.set_partial_event(events_.partial());
    to.set_cached_tokens(events_.cached_tokens());
    to.set_replica_keeps(parser_->keep_alive());
    return socket_.native_handle();
  }
  void migrated_out() {
    --std::exchange(owner_, nullptr)->connections_;
    leave(socket_);
  }
  // The parser is brought to where the other process's stood: in a chunk of which so much is left, or behind
  // one.
  void migrate_in(core::AttemptId id, int descriptor, const hot_restart::Stream& from) {
    assign(id, nullptr, core::kNever / 2);
    error_code ec;
    socket_.assign(protocol_of(descriptor), descriptor, ec);
    std::array<char, 32> chunk{};
    std::snprintf(chunk.data(), chunk.size(), "%llx\r\n%s",
                  static_cast<unsigned long long>(std::max<std::uint64_t>(1, from.chunk_left())),
                  from.chunk_left() == 0 ? "x" : "");
    const std::string before = std::string("HTTP/1.1 200 OK\r\n") +
                               (from.replica_keeps() ? "" : "Connection: close\r\n") +
                               "Transfer-Encoding: chunked\r\n\r\n" + chunk.data();
    for (std::size_t at = 0; !ec && at < before.size();) at += parser_->put(asio::buffer(before) + at, ec);
    came_ = parser_->get().body().size();
    parser_->get().body().clear();
    events_.go_on(from.partial_event(), from.cached_tokens());
    connected_ = written_ = began_ = true;
    buffer_.commit(asio::buffer_copy(buffer_.prepare(from.replica_unread().size()),
                                     asio::buffer(from.replica_unread())));
    take(ec);
  }

  Micros idle_since() const { return idle_since_; }
  // Nothing has come in that is not read yet: an end, or what nobody asked for.
  bool silent() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0;
  }

 private:
  // How a call ends whose connection broke: only what was not written whole is proved never to have run.
  void broke() { end(written_ ? Outcome::reset : Outcome::connect_failed); }

  void take(error_code ec) {
    if (!busy_) return retire();  // idle: it has closed, or says what nobody asked for
    error_code wrong;
    while (buffer_.size() > 0 && !parser_->is_done()) {
      const std::size_t used = parser_->put(buffer_.data(), wrong);
      buffer_.consume(used);
      if (wrong) break;
      // 1xx says that the answer is still to come; to the parser it is a whole one.
      if (parser_->is_done() && parser_->get().result_int() / 100 == 1) {
        expect_answer();
        head_since_ = core::kNever;
      }
    }
    if (wrong == beast_http::error::need_more) wrong = {};
    if (parser_->is_header_done()) {
      head_since_ = core::kNever;
    } else if (parser_->got_some() && head_since_ == core::kNever) {
      head_since_ = owner_->clock_.now();
      owner_->sweeper_.by(spoilt_at());
    }
    if (parser_->is_header_done() && parser_->get().result() == beast_http::status::ok) {
      // Without a length of its own the end of a stream could not be told from a break.
      if (parser_->need_eof()) return spoil();
      came_ += parser_->get().body().size();
      pass_on(events_.feed(std::exchange(parser_->get().body(), {})));
      if (events_.spoilt()) return spoil();
    }
    if (wrong) return spoil();
    if (parser_->is_done()) return done();
    if (ec) return broke();
    read();
  }

  void pass_on(std::string events) {
    if (events.empty()) return;
    began_ = true;
    owner_->broker_.on_attempt_events(id_, std::move(events));
  }

  void done() {
    const auto& head = parser_->get();
    const unsigned status = head.result_int();
    Outcome outcome = Outcome::error;
    if (status == 200) {
      pass_on(events_.rest());
      if (events_.spoilt()) return spoil();
      outcome = began_ ? Outcome::ok : Outcome::error;  // an answer without an event is none
    } else if ((status == 503 || status == 504) && head["X-Never-Ran"] == "1") {
      outcome = Outcome::full;
    }
    const bool reusable = parser_->keep_alive() && written_ && buffer_.size() == 0;
    if (status == 400 || status == 413 || status == 422) {
      owner_->broker_.on_attempt_rejected(id_);
    } else {
      owner_->broker_.on_attempt_ended(id_, outcome, events_.cached_tokens());
    }
    HttpReplicaClient& owner = *owner_;
    owner.calls_.erase(key(id_));
    busy_ = began_ = paused_ = false;
    rpc_.reset();
    const auto sub = owner.subs_.find(replica_);
    if (!reusable || sub == owner.subs_.end() || sub->second.no_new_after != core::kNever) return close();
    idle_since_ = owner.clock_.now();
    sub->second.idle.push_back(shared_from_this());
    owner.sweeper_.by(idle_since_ + owner.keep_for());
    read();  // so that its end is noticed while it is idle
  }

  void end(Outcome outcome) {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    owner_->calls_.erase(key(id_));
    owner_->broker_.on_attempt_ended(id_, outcome);
    close();
  }

  void retire() {
    const auto sub = owner_->subs_.find(replica_);
    if (sub != owner_->subs_.end()) std::erase(sub->second.idle, shared_from_this());
    close();
  }

  HttpReplicaClient* owner_;  // empty once closed
  core::ReplicaId replica_;
  tcp::socket socket_;
  tcp::endpoint endpoint_;
  asio::steady_timer dial_, dial_again_;  // until the connection has to be up; until it is tried again
  Micros dial_until_ = 0;
  core::AttemptId id_;
  std::shared_ptr<const core::Request> rpc_;
  std::string head_;
  Micros expires_ = 0, idle_since_ = 0;
  Micros head_since_ = core::kNever;  // the first byte of a head that is not whole yet
  bool busy_ = false, connected_ = false, written_ = false, reading_ = false, paused_ = false, began_ = false;
  std::uint64_t promised_ = 0, came_ = 0;  // bytes of the answer's chunks: declared, and here
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::response_parser<beast_http::string_body>> parser_;
  EventStream events_;
  // The parser keeps a reference to it.
  std::function<void(std::uint64_t, boost::beast::string_view, error_code&)> on_chunk_ =
      [this](std::uint64_t size, boost::beast::string_view, error_code& ec) {
        promised_ += size;
        if (size > kLargestChunk) ec = beast_http::error::bad_chunk;
      };
};

HttpReplicaClient::HttpReplicaClient(asio::io_context& io, core::Broker& broker, core::Clock& clock,
                                     ReplicaClientSettings settings)
    : io_(io), broker_(broker), clock_(clock), settings_(settings), sweeper_(io, clock, [this] {
        sweep();
      }) {}

HttpReplicaClient::~HttpReplicaClient() {
  for (auto& [id, connection] : calls_) connection->close();
  for (auto& [id, sub] : subs_) drop_idle(sub);
}

Micros HttpReplicaClient::keep_for() const {
  return std::max(settings_.conn_idle / 2, settings_.conn_idle - kIdleMargin);
}

void HttpReplicaClient::update_endpoint(const core::Endpoint& endpoint, Micros no_new_after) {
  Subchannel& sub = subs_[endpoint.replica.id];
  const bool moved = !endpoint.address.empty() && sub.address != endpoint.address;
  if (moved) sub.address = endpoint.address;
  sub.no_new_after = no_new_after;
  if (moved || no_new_after != core::kNever) drop_idle(sub);
}

void HttpReplicaClient::start_attempt(core::AttemptId id, core::ReplicaId replica,
                                      std::shared_ptr<const core::Request> rpc, Micros patience) {
  const auto sub = subs_.find(replica);
  const Micros now = clock_.now();
  if (sub == subs_.end() || now >= sub->second.no_new_after) {
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  }
  auto& idle = sub->second.idle;
  const auto settled = std::find_if(idle.rbegin(), idle.rend(), [this, now](const auto& c) {
    return now - c->idle_since() >= kSettle && c->silent();
  });
  if (settled != idle.rend() && now - (*settled)->idle_since() < keep_for()) {
    const auto connection = *settled;
    idle.erase(std::next(settled).base());
    calls_[key(id)] = connection;
    connection->assign(id, std::move(rpc), patience);
    return connection->send();
  }
  if (connections_ >= settings_.room() && !shed_idle()) {
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  }
  const auto connection = std::make_shared<Connection>(*this, replica);
  calls_[key(id)] = connection;
  connection->assign(id, std::move(rpc), patience);
  connection->dial(sub->second.address);
}

void HttpReplicaClient::cancel_attempt(core::AttemptId id) {
  const auto it = calls_.find(key(id));
  if (it == calls_.end()) return;
  const auto connection = it->second;
  calls_.erase(it);
  connection->close();
}

int HttpReplicaClient::describe(core::AttemptId id, hot_restart::Stream& to) const {
  const auto it = calls_.find(key(id));
  return it == calls_.end() ? -1 : it->second->describe(to);
}
void HttpReplicaClient::migrated_out(core::AttemptId id) {
  if (const auto node = calls_.extract(key(id))) node.mapped()->migrated_out();
}
void HttpReplicaClient::migrate_in(core::AttemptId id, core::ReplicaId replica, int descriptor,
                                   const hot_restart::Stream& from) {
  const auto connection = calls_[key(id)] = std::make_shared<Connection>(*this, replica);
  connection->migrate_in(id, descriptor, from);
}

void HttpReplicaClient::pause_attempt(core::AttemptId id, bool paused) {
  const auto it = calls_.find(key(id));
  if (it != calls_.end()) it->second->pause(paused);
}

void HttpReplicaClient::drop_idle(Subchannel& sub) {
  for (const auto& connection : sub.idle) connection->close();
  sub.idle.clear();
}

bool HttpReplicaClient::shed_idle() {
  Subchannel* oldest = nullptr;
  for (auto& [id, sub] : subs_) {
    if (sub.idle.empty()) continue;
    if (oldest == nullptr || sub.idle.front()->idle_since() < oldest->idle.front()->idle_since())
      oldest = &sub;
  }
  if (oldest == nullptr) return false;
  oldest->idle.front()->close();
  oldest->idle.pop_front();
  return true;
}

void HttpReplicaClient::sweep() {
  const Micros now = clock_.now();
  Micros next = core::kNever;
  std::vector<std::shared_ptr<Connection>> spoilt;
  for (const auto& [id, connection] : calls_) {
    if (connection->spoilt_at() <= now) {
      spoilt.push_back(connection);
    } else {
      next = std::min(next, connection->spoilt_at());
    }
  }
  for (const auto& connection : spoilt) connection->spoil();
  for (auto& [id, sub] : subs_) {
    while (!sub.idle.empty() && now - sub.idle.front()->idle_since() >= keep_for()) {
      sub.idle.front()->close();
      sub.idle.pop_front();
    }
    if (!sub.idle.empty()) next = std::min(next, sub.idle.front()->idle_since() + keep_for());
  }
  sweeper_.by(std::max(next, now + IdleTimer::kApart));
}

}  // namespace flintglade::http
