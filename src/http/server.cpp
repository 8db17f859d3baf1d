#include "http/server.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <optional>
#include <utility>

#include "http/listener.h"
#include "http/request.h"
#include "net/errors.h"
#include "net/write_all.h"

namespace flintglade::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using core::Micros;

namespace {

constexpr std::size_t kLargestHead = 16u << 10;
constexpr std::size_t kRead = 16384;
// What may wait for a slow client before its replica is no longer read.
constexpr std::size_t kBacklog = 64u << 10;
// A connection without an open request is closed after this long where room is short, else after kIdleClient.
// For less it may have a request on its way, and a first request that we close on has failed.
constexpr Micros kQuiet = 2100 * core::kMilli;
constexpr Micros kIdleClient = 60 * core::kSecond;
// A client that has not sent a whole request this long after it connected gets an error, or a close if it has
// said nothing: it would hold a descriptor for as long as it likes.
constexpr Micros kSilent = 2100 * core::kMilli, kFirstRequest = 2500 * core::kMilli;
// The same for a later request, from its first byte; and for one that has stopped, from its last byte so far:
// a client that stops in the middle is owed its error within 3 s.
constexpr Micros kHalfRequest = 5 * core::kSecond, kStoppedRequest = 2500 * core::kMilli;
// How often a client is looked at of which so much has been read ahead that its end would not be read.
constexpr Micros kLookForEnd = 50 * core::kMilli;
constexpr Micros kLinger = 4 * core::kSecond;  // a refused client that still sends
constexpr std::size_t kLingerRead = 64u << 10;
constexpr Micros kStuckWrite = 30 * core::kSecond;  // a client that reads nothing for this long

constexpr const char* kTooMany = "too many clients: try again later\n";
constexpr const char* kComeAgain = "Retry-After: 1\r\n";

const char* reason(unsigned status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Payload Too Large";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Internal Server Error";
  }
}

}  // namespace

class HttpServer::Connection final : public core::ResponseWriter,
                                     public std::enable_shared_from_this<Connection> {
 public:
  Connection(HttpServer& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), end_(socket_.get_executor()) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    since_ = heard_ = connected_ = owner.clock_.now();
    if (owner.wants_room()) count_queue();
    renew();
  }

  // What the client has written while it stood in the queue is taken before anybody asks what it has said:
  // the handler of the first read comes before ours.
  void begin() {
    read();
    asio::post(socket_.get_executor(), [self = shared_from_this()] { self->looked_ = true; });
  }

  void read() {
    if (owner_ == nullptr) return;
    owner_->sweeper_.by(due());  // every step but a write ends here
    if (reading_) return;
    if (buffer_.size() > kLargestHead) return look_for_end();
    reading_ = true;
    socket_.async_read_some(buffer_.prepare(refused_ ? kLingerRead : kRead),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              self->reading_ = false;
                              if (self->owner_ == nullptr) return;
                              if (ec) return self->drop();
                              self->heard_ = self->owner_->clock_.now() - std::exchange(self->queued_, 0);
                              self->buffer_.commit(n);
                              // What follows a refused request is not read as another.
                              if (self->refused_) self->buffer_.consume(self->buffer_.size());
                              if (self->rpc_ == 0) self->parse();
                              self->read();  // also while an answer runs: a client that goes away is noticed
                            });
  }

  // A client that has sent further requests beside its open one is not read on. That it has gone stands
  // behind what is not read yet, and has to be noticed all the same: nothing may be sent for it any more.
  void look_for_end() {
    if (looking_for_end_ || rpc_ == 0) return;
    looking_for_end_ = true;
    end_.expires_after(std::chrono::microseconds(kLookForEnd));
    end_.async_wait([self = shared_from_this()](error_code ec) {
      self->looking_for_end_ = false;
      if (ec || self->owner_ == nullptr) return;
      pollfd client{self->socket_.native_handle(), POLLRDHUP, 0};
      const bool gone = ::poll(&client, 1, 0) > 0 && (client.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      gone ? self->drop() : self->read();
    });
  }

  // ---- core::ResponseWriter ----
  bool write_events(std::string_view events) override {
    if (owner_ == nullptr) return true;
    if (!began_) {
      began_ = true;
      out_ += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n";
      out_ += close_line();
      out_ += "Transfer-Encoding: chunked\r\n\r\n";
    }
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
    out_.append(size.data()).append(events).append("\r\n");
    write();
    // Once held up, it stays so until wrote() has said that all is written: an event that was on its way when
    // the replica was paused must not take that word back, or nobody would ever read the replica again.
    held_up_ = held_up_ || out_.size() > kBacklog;
    return !held_up_;
  }
  void finish() override {
    out_ += "0\r\n\r\n";
    answered();
  }
  void abort_stream() override {  // what has come goes out; the last chunk does not
    broken_off_ = true;
    answered();
  }
  void reject(Micros retry_after, bool) override {
    std::array<char, 48> text{};
    if (retry_after > 0) {
      std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n",
                    static_cast<double>(retry_after) / 1e6);
    }
    respond(503, "refused: try again later\n", text.data());
    answered();
  }
  void fail(core::Failure why) override {
    switch (why) {
      case core::Failure::deadline:
        respond(504, "no answer in time\n");
        break;
      case core::Failure::rejected:
        respond(400, "no replica can use this request\n");
        break;
      case core::Failure::error:
        respond(500, "the request failed\n");
    }
    answered();
  }

  // All that was passed on is written, and the client reads on.
  int describe(hot_restart::Stream& to) {
    if (rpc_ == 0 || !began_ || writing_ || !out_.empty() || held_up_ || refused_) return -1;
    to.set_client_unread(boost::beast::buffers_to_string(buffer_.data()));
    to.set_client_close(client_closes_ || said_close_);
    return socket_.native_handle();
  }
  // Another process has the connection too: our end of it goes without a word to the client.
  void migrated_out() {
    rpc_ = 0;
    const auto self = shared_from_this();
    std::exchange(owner_, nullptr)->connections_.erase(self);
    leave(socket_);
  }
  void migrate_in(const hot_restart::Stream& from, core::RequestId rpc) {
    rpc_ = rpc;
    if (rpc == 0) return drop();
    looked_ = asked_ = began_ = true;
    said_close_ = from.client_close();
    buffer_.commit(
        asio::buffer_copy(buffer_.prepare(from.client_unread().size()), asio::buffer(from.client_unread())));
    read();
  }

  bool idle() const { return rpc_ == 0 && out_.empty() && !writing_ && buffer_.size() == 0 && !half_; }
  // When its time is up, as things stand.
  Micros due() const {
    if (writing_ || !out_.empty()) return since_ + kStuckWrite;
    if (rpc_ != 0) return core::kNever;
    if (lingering_) return since_ + kLinger;
    if (idle() && asked_) return since_ + kIdleClient;
    if (asked_) return std::min(since_ + kHalfRequest, heard_ + kStoppedRequest);
    return connected_ + (half_ ? kFirstRequest : kSilent);
  }
  bool partially_read_requests() const { return half_ && rpc_ == 0 && !refused_; }
  bool quiet(Micros now) const { return idle() && asked_ && now - since_ > kQuiet; }
  Client client() const {
    const bool busy = rpc_ != 0 || writing_ || !out_.empty() || !looked_;
    const bool half = !lingering_ && (half_ || buffer_.size() > 0);
    return {busy, asked_ || lingering_, half, connected_, half ? heard_ : std::max(since_, heard_)};
  }
  // Its time is up: a client that has begun a request is told, any other sees the end of its connection.
  void expire() { let_go(408, "the request did not come in time\n"); }
  // The same where it goes for want of room, and may come again.
  void make_way() { let_go(503, kTooMany, kComeAgain); }
  // Ends the connection; a client whose RPC is still open has gone away.
  void drop() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    HttpServer& owner = *std::exchange(owner_, nullptr);
    if (rpc_ != 0) owner.broker_.on_client_disconnected(rpc_);
    error_code ignored;
    end_.cancel();
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    owner.connections_.erase(self);
    if (!owner.accepting_) owner.accept();
  }

 private:
  void let_go(unsigned status, const char* why, const char* extra = "") {
    if (!half_ || refused_ || writing_ || !out_.empty()) return drop();
    refuse(status, why, extra);
  }
  // A connection may have stood in the listener's queue for long: its times are those of its handshake and of
  // the last byte that came, not of our look at it. Seen without: each of thousands was waited for anew.
  void count_queue() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return;
    const Micros data = info.tcpi_last_data_recv * core::kMilli,
                 word = info.tcpi_last_ack_recv * core::kMilli;
    queued_ = std::min({data, word, kSilent});
    connected_ -= std::min(word, kSilent);
  }
  void renew() {
    parser_.emplace();
    parser_->eager(true);
    parser_->body_limit(kLargestBody);
    parser_->header_limit(kLargestHead);
    half_ = false;
  }
  // The head of an answer says so if it is this connection's last. It is not while requests wait that have
  // been read already: each of them gets its answer here, since its client cannot know that it was not read.
  const char* close_line() {
    const bool enough = owner_->broker_.phase() != core::Phase::serving || wanted_back_;
    if (client_closes_ || refused_ || (enough && buffer_.size() == 0)) said_close_ = true;
    return said_close_ ? "Connection: close\r\n" : "";
  }

  void parse() {
    while (owner_ != nullptr && rpc_ == 0 && !client_closes_ && !refused_ && buffer_.size() > 0) {
      if (!half_) since_ = owner_->clock_.now();
      half_ = true;
      error_code ec;
      const std::size_t used = parser_->put(buffer_.data(), ec);
      buffer_.consume(used);
      if (ec == beast_http::error::need_more) {
        if (!parser_->is_done()) return;
      } else if (ec) {
        const bool large = ec == beast_http::error::body_limit;
        return refuse(large ? 413 : 400,
                      large ? "the body is larger than 256 KiB\n" : "not an HTTP request\n");
      }
      if (parser_->is_header_done() && !framed(parser_->get())) {
        return refuse(400, "the length of the body is in doubt\n");
      }
      if (!parser_->is_done()) continue;
      if (!parser_->keep_alive()) client_closes_ = true;
      Request request = parser_->release();
      renew();
      asked_ = true;
      handle(std::move(request));
    }
  }

  void handle(Request&& request) {
    if (said_close_) {
      // It crossed our word that the connection ends. Its client may have sent it again elsewhere by now.
      respond(503, kTooMany, kComeAgain);
      return write();
    }
    const std::string_view path = path_of(request.target());
    if (path == "/ready") {
      const bool ready = owner_->broker_.ready();
      respond(ready ? 200 : 503, std::string(core::to_string(owner_->broker_.phase())) + "\n");
      return write();
    }
    if (path != kCompletionsPath) {
      respond(404, "there is nothing here\n");
      return write();
    }
    if (request.method() != beast_http::verb::post) {
      respond(405, "POST only\n");
      return write();
    }
    auto rpc = std::make_shared<core::Request>();
    const std::string wrong = to_rpc(std::move(request), owner_->settings_.labels, *rpc);
    if (!wrong.empty()) {
      respond(400, wrong + "\n");
      return write();
    }
    if (owner_->crowded()) {
      // The kernel takes clients in whether we accept them or not, and what they have sent then counts as
      // taken. Rather than leave them waiting in the listener's queue, tell them at once to come again.
      owner_->broker_.on_request_shed(rpc->request_class);
      wanted_back_ = true;
      respond(503, kTooMany, kComeAgain);
      return write();
    }
    if (owner_->wants_room()) wanted_back_ = true;  // served, but its descriptor is wanted back
    began_ = false;
    rpc_ = owner_->broker_.on_request(std::move(rpc), shared_from_this());
    if (rpc_ == 0) {
      respond(409, "a request with this id is open\n");
      write();
    }
  }

  // Where Content-Length and Transfer-Encoding disagree on where a body ends, or an encoding is none that the
  // parser follows, what one reader takes for a body holds another request for the next reader.
  static bool framed(const Request& request) {
    const auto encoding = request[beast_http::field::transfer_encoding];
    if (request.count(beast_http::field::transfer_encoding) == 0) return true;
    return request.count(beast_http::field::content_length) == 0 &&
           boost::beast::iequals(encoding, "chunked");
  }

  // An error after which nothing on this connection can be trusted.
  void refuse(unsigned status, const char* why, const char* extra = "") {
    refused_ = true;
    buffer_.consume(buffer_.size());
    respond(status, why, extra);
    write();
    read();
  }

  void respond(unsigned status, const std::string& body, const char* extra = "") {
    if (owner_ == nullptr) return;
    out_ += "HTTP/1.1 " + std::to_string(status) + " " + reason(status) +
            "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra;
    out_ += close_line();
    out_ += "\r\n" + body;
  }

  void answered() {
    if (owner_ == nullptr) return;
    rpc_ = 0;
    held_up_ = false;
    write();
    if (!writing_) settle();
  }

  void write() {
    if (owner_ == nullptr || writing_ || out_.empty()) return;
    writing_ = true;
    since_ = owner_->clock_.now();
    sending_ = std::exchange(out_, {});
    owner_->sweeper_.by(due());
    net::write_all(socket_, {asio::buffer(sending_)},
                   [self = shared_from_this()](error_code ec) { self->wrote(ec); });
  }

  void wrote(error_code ec) {
    writing_ = false;
    sending_.clear();
    if (owner_ == nullptr) return;
    if (ec) return drop();
    since_ = owner_->clock_.now();
    if (!out_.empty()) return write();
    if (held_up_) {
      held_up_ = false;
      owner_->broker_.on_client_writable(rpc_);
    }
    settle();
  }

  // All is written: the connection closes, or goes on with the next request, if one has come already.
  void settle() {
    if (rpc_ != 0) return;
    if (refused_ && !lingering_) {
      // The client may still be sending what was refused. Closing now would answer those bytes with a reset,
      // which can take the answer away before the client has read it: say that no more comes, and read on.
      lingering_ = true;
      since_ = owner_->clock_.now();
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      return read();
    }
    if (lingering_) return;
    if (client_closes_ || broken_off_) return drop();
    parse();
    if (owner_ == nullptr) return;
    if (at_its_end()) return drop();
    read();
  }

  // Nothing is to be answered or written here, and no further request is wanted. One that is half read is
  // waited for, unless its client has been told that the connection ends.
  bool at_its_end() const {
    if (rpc_ != 0 || writing_ || !out_.empty() || refused_) return false;
    if (said_close_) return true;
    return !half_ && (wanted_back_ || owner_->broker_.phase() != core::Phase::serving);
  }

  HttpServer* owner_;  // empty once closed
  tcp::socket socket_;
  boost::beast::flat_buffer buffer_;
  std::optional<beast_http::request_parser<beast_http::string_body>> parser_;
  std::string out_, sending_;
  core::RequestId rpc_ = 0;  // the RPC that waits for its answer; 0: none
  Micros since_ = 0;         // the last step forward: a request's first byte, or a write
  Micros heard_ = 0;         // the last byte that came
  Micros queued_ = 0;        // how long the first byte that is read has waited for us
  Micros connected_ = 0;
  bool looked_ = false;  // what came with the connection has been read
  bool asked_ = false;   // a whole request has come on it
  asio::steady_timer end_;
  bool reading_ = false, writing_ = false, began_ = false, held_up_ = false, half_ = false, refused_ = false,
       lingering_ = false, looking_for_end_ = false;
  bool client_closes_ = false;  // it has said that what it asked last is its last request
  bool wanted_back_ = false;    // its descriptor is wanted for others
  bool said_close_ = false;     // an answer's head has said that this connection ends
  bool broken_off_ = false;     // its answer ended without its last chunk
};

HttpServer::HttpServer(asio::io_context& io, core::Broker& broker, core::Clock& clock,
                       ServerSettings settings)
    : io_(io),
      broker_(broker),
      clock_(clock),
      settings_(std::move(settings)),
      acceptor_(io),
      sweeper_(io, clock, [this] { sweep(); }),
      again_(io) {}

HttpServer::~HttpServer() {
  accepting_ = true;  // drop() is not to accept anew
  while (!connections_.empty()) (*connections_.begin())->drop();
}

std::string HttpServer::listen(const config::HostPort& at) {
  const std::string error = http::listen(acceptor_, at);
  if (error.empty()) begin();
  return error;
}
std::string HttpServer::listen(int descriptor, std::function<bool()> open) {
  const std::string error = adopt(acceptor_, descriptor);
  open_ = std::move(open);
  if (error.empty()) begin();
  return error;
}
void HttpServer::begin() {
  port_ = acceptor_.local_endpoint().port();
  accept();
}
void HttpServer::resume() {
  if (!accepting_ && acceptor_.is_open()) accept();
}
void HttpServer::look() {
  resume();
  if (wants_room()) sweeper_.by(clock_.now());
}
// What has been accepted is served; what waits in the queue is another process's.
void HttpServer::stop_accepting() {
  error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::accept() {
  // Past the budget of descriptors a few more are let in, to be told so; beyond them new clients wait in the
  // listener's queue until a connection ends.
  const ConnectionEviction crowd = this->crowd();
  if (crowd.pressing(connections_.size())) make_room(crowd);
  accepting_ =
      acceptor_.is_open() && (!open_ || open_()) && connections_.size() < crowd.room() + settings_.crowd;
  if (wants_room()) sweeper_.by(clock_.now() + IdleTimer::kApart);
  if (!accepting_) return;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      // EMFILE and its like: accepting again at once would spin. Give a descriptor back and wait a little.
      if (shed_ && net::lacks_descriptors(ec)) shed_();
      return accept_later();
    }
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->begin();
    accept();
  });
}

void HttpServer::accept_later() {
  again_.expires_after(std::chrono::milliseconds(20));
  again_.async_wait([this](error_code ec) {
    if (!ec) accept();
  });
}

bool HttpServer::crowded() const { return over_budget() && broker_.requests_in_flight() >= settings_.room(); }
// Quiet connections are to go, or nobody can be let in: that is looked at now and again.
bool HttpServer::wants_room() const {
  return crowd().filling(connections_.size()) || (!accepting_ && acceptor_.is_open());
}
bool HttpServer::over_budget() const { return connections_.size() > settings_.room(); }

// Clients may ask once and hold their connection for good, or never ask: http/connection_eviction.h says who
// goes, and when.
void HttpServer::make_room(const ConnectionEviction& crowd) {
  const Micros now = clock_.now();
  if (!crowd.filling(connections_.size())) return;
  struct Leaver {
    int order;
    Micros moved;
    std::shared_ptr<Connection> connection;
  };
  std::vector<Leaver> leavers;
  const bool pressing = crowd.pressing(connections_.size());
  for (const auto& c : connections_) {
    const Client client = c->client();
    const int order = pressing        ? ConnectionEviction::order(client, now)
                      : c->quiet(now) ? 0
                                      : ConnectionEviction::kNobody;
    if (order != ConnectionEviction::kNobody) leavers.push_back({order, client.moved, c});
  }
  std::sort(leavers.begin(), leavers.end(), [](const Leaver& a, const Leaver& b) {
    return a.order != b.order ? a.order < b.order : a.moved < b.moved;
  });
  const bool was_accepting = std::exchange(accepting_, true);  // drop() is not to accept meanwhile
  for (const Leaver& l : leavers) {
    if (!(pressing ? crowd.pressing(connections_.size()) : crowd.filling(connections_.size()))) break;
    l.connection->make_way();
  }
  accepting_ = was_accepting;
}

int HttpServer::describe(core::ResponseWriter& client, hot_restart::Stream& to) {
  return static_cast<Connection&>(client).describe(to);
}
void HttpServer::migrated_out(core::ResponseWriter& client) {
  static_cast<Connection&>(client).migrated_out();
}
void HttpServer::migrate_in(
    int descriptor, const hot_restart::Stream& from,
    const std::function<core::RequestId(std::shared_ptr<core::ResponseWriter>)>& go_on) {
  error_code ec;
  tcp::socket socket(io_);
  socket.assign(protocol_of(descriptor), descriptor, ec);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->migrate_in(from, go_on(connection));
}

std::size_t HttpServer::partially_read_requests() const {
  return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(),
                                                [](const auto& c) { return c->partially_read_requests(); }));
}

void HttpServer::refuse_half_read() {
  std::vector<std::shared_ptr<Connection>> half;
  std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(half),
               [](const auto& c) { return c->partially_read_requests(); });
  for (const auto& c : half) c->make_way();
}

void HttpServer::close_idle() {
  std::vector<std::shared_ptr<Connection>> idle;
  std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(idle),
               [](const auto& c) { return c->idle(); });
  for (const auto& c : idle) c->drop();
}

void HttpServer::sweep() {
  const Micros now = clock_.now();
  std::vector<std::shared_ptr<Connection>> expired;
  std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(expired),
               [now](const auto& c) { return c->due() <= now; });
  for (const auto& c : expired) c->expire();
  make_room(crowd());
  // Accepting stops while nobody can be let in; it is looked at here too, not only when a connection ends.
  resume();
  Micros next = core::kNever;
  for (const auto& c : connections_) next = std::min(next, c->due());
  sweeper_.by(wants_room() ? now + IdleTimer::kApart : std::max(next, now + IdleTimer::kApart));
}

}  // namespace flintglade::http
