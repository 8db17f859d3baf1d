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
#include <string>
#include <tuple>
#include <utility>

#include "core/string_memory.h"
#include "http/connection_memory.h"
#include "http/listener.h"
#include "http/receive_progress.h"
#include "http/request.h"
#include "http/segmented_body.h"
#include "net/errors.h"
#include "net/receive_buffer.h"
#include "net/write_all.h"

namespace flintglade::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using core::Micros;

namespace {

constexpr std::size_t kMaxHeadSize = net::kMaxElementSize;
// Unsent bytes of responses that are made here, above which no further request of the connection is handled.
constexpr std::size_t kMaxUnsentBytes = 64u << 10;
// A connection without an open request is closed after kEvictableIdle if connections are scarce, otherwise
// after kIdleTimeout. A shorter time could close the connection while a request is on its way, and that
// request would fail.
constexpr Micros kEvictableIdle = 2100 * core::kMilli;
constexpr Micros kIdleTimeout = 60 * core::kSecond;
// Limits on the time from the connection to the first byte, and to the end of the first request: otherwise a
// client could hold a descriptor for any time. The connection is closed without a response if no byte has
// arrived, otherwise the client receives an error.
constexpr Micros kFirstByteTimeout = 2100 * core::kMilli, kFirstRequestTimeout = 2500 * core::kMilli;
// The limits for a later request: from its first byte to its end, and from the last byte received if the
// client stalls. A client that stalls in the middle of a request must get its error within 3 s.
constexpr Micros kRequestTimeout = 5 * core::kSecond, kStalledRequestTimeout = 2500 * core::kMilli;
// How often a client is checked for a disconnect when so much has been read ahead that reading has stopped.
constexpr Micros kDisconnectPollInterval = 50 * core::kMilli;
constexpr Micros kLingerTimeout = 4 * core::kSecond;  // while a client still sends after its error response
constexpr std::size_t kLingerReadSize = 64u << 10;
// A client that leaves bytes of its response unread for so long gives way where memory is short.
constexpr Micros kSlowReaderGrace = 100 * core::kMilli;
constexpr Micros kWriteTimeout = 30 * core::kSecond;  // for a client that reads nothing

// How often accepting is tried again while no connection could give way to a new one.
constexpr Micros kBlockedAcceptInterval = 10 * core::kMilli;
// Part of the memory budget that requests read ahead behind open ones may use beside it.
constexpr std::size_t kReadAheadDivisor = 8;

constexpr const char* kTooManyClients = "too many clients: try again later\n";
constexpr const char* kRetryAfter = "Retry-After: 1\r\n";

using RequestParser = beast_http::request_parser<SegmentedBody, CountingAllocator<char>>;
using ParsedRequest = RequestParser::value_type;

const char* reason_phrase(unsigned status) {
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
      : owner_(&owner),
        socket_(std::move(socket)),
        memory_(owner.memory_),
        buffer_(CountingAllocator<char>(memory_.read_buffer())),
        unsent_(owner.settings_.response_memory, ResponseMemory::Part::unsent),
        disconnect_timer_(socket_.get_executor()) {
    error_code ignored;
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay(true), ignored);
    last_progress_ = last_received_ = connected_at_ = owner.clock_.now();
    if (owner.under_connection_pressure()) account_for_accept_queue();
    reset_parser();
  }

  // What the client sent while the connection was in the accept queue is read at once, before eviction
  // considers the connection.
  void start() {
    receive();
    initial_read_done_ = true;
  }

  // Waits until there is something to read. Memory for it is allocated only then: a connection whose client
  // sends nothing holds none.
  void read() {
    if (owner_ == nullptr) return;
    owner_->sweep_timer_.fire_by(deadline());  // every step except a write ends here
    if (reading_) return;
    if (buffer_.size() > 0 && !may_read()) return poll_for_disconnect();
    reading_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code ec) {
      self->reading_ = false;
      if (self->owner_ == nullptr) return;
      if (ec) return self->drop();
      self->receive();
    });
  }

  // Reads what has arrived, handles it, and waits for more.
  void receive() {
    if (!may_read()) return poll_for_disconnect();
    error_code ec;
    const std::size_t bytes =
        socket_.read_some(buffer_.prepare(closing_on_error_ ? kLingerReadSize : net::kReadSize), ec);
    buffer_.commit(bytes);
    if (ec && ec != asio::error::would_block && ec != asio::error::interrupted) return drop();
    if (bytes > 0) on_received(bytes);
    buffer_.shrink_to_fit();
    if (owner_ != nullptr) owner_->enforce_memory_budget();
    read();  // also during a response, to detect a disconnect
  }

  void on_received(std::size_t bytes) {
    last_received_ = owner_->clock_.now() - std::exchange(queue_delay_, 0);
    if (!partial_request_) progress_ = {};
    progress_.on_received(bytes, last_received_);
    // Bytes after a request that ended in an error are not parsed as another request.
    if (closing_on_error_) buffer_.consume(buffer_.size());
    if (request_id_ == 0) parse();
    if (client_sent_close_) buffer_.consume(buffer_.size());  // nothing follows its last request
  }

  // Requests behind the open one are read ahead up to a limit, and only while all connections together have
  // read little ahead: they cannot be refused before the open one has its response. Without an open request,
  // reading goes on once the client has taken its responses.
  bool may_read() const {
    if (request_id_ == 0) return closing_on_error_ || has_room_for_responses();
    return buffer_.size() <= kMaxHeadSize && owner_->may_read_ahead();
  }

  // A client that pipelines many requests behind the open one is not read any further. Its disconnect comes
  // after the unread bytes, but must be detected: no attempt may be sent for it any more.
  void poll_for_disconnect() {
    if (polling_disconnect_ || request_id_ == 0) return;
    polling_disconnect_ = true;
    disconnect_timer_.expires_after(std::chrono::microseconds(kDisconnectPollInterval));
    disconnect_timer_.async_wait([self = shared_from_this()](error_code ec) {
      self->polling_disconnect_ = false;
      if (ec || self->owner_ == nullptr) return;
      pollfd client{self->socket_.native_handle(), POLLRDHUP, 0};
      const bool disconnected =
          ::poll(&client, 1, 0) > 0 && (client.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
      disconnected ? self->drop() : self->read();
    });
  }

  // ---- core::ResponseWriter ----
  bool write_events(std::string_view events) override {
    if (owner_ == nullptr) return true;
    if (!response_started_) {
      response_started_ = true;
      pending_output_ += "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-cache\r\n";
      pending_output_ += close_header();
      pending_output_ += "Transfer-Encoding: chunked\r\n\r\n";
    }
    std::array<char, 24> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", events.size());
    pending_output_.append(size.data()).append(events).append("\r\n");
    write();
    // The backpressure stays until on_written() has written everything and has reported the client as
    // writable. An event that was in flight when the replica was paused must not clear it, because the
    // replica would then never be read again.
    backpressured_ =
        backpressured_ || unsent_.bytes() > owner_->settings_.response_memory->max_unsent_bytes();
    return !backpressured_;
  }
  void finish() override {
    pending_output_ += "0\r\n\r\n";
    on_response_complete();
  }
  void abort_stream() override {  // received events are written; the last chunk is not
    stream_aborted_ = true;
    on_response_complete();
  }
  void reject(Micros retry_after, bool) override {
    std::array<char, 48> text{};
    if (retry_after > 0) {
      std::snprintf(text.data(), text.size(), "Retry-After: %.3f\r\n",
                    static_cast<double>(retry_after) / 1e6);
    }
    respond(503, "refused: try again later\n", text.data());
    on_response_complete();
  }
  void fail(core::Failure failure) override {
    switch (failure) {
      case core::Failure::deadline:
        respond(504, "no answer in time\n");
        break;
      case core::Failure::rejected:
        respond(400, "no replica can use this request\n");
        break;
      case core::Failure::error:
        respond(500, "the request failed\n");
    }
    on_response_complete();
  }

  // Possible only while all events are written and the client keeps up with them.
  int export_stream(hot_restart::Stream& stream) {
    if (request_id_ == 0 || !response_started_ || writing_ || !pending_output_.empty() || backpressured_ ||
        closing_on_error_)
      return -1;
    stream.set_client_unread(boost::beast::buffers_to_string(buffer_.data()));
    stream.set_client_close(client_sent_close_ || sent_close_);
    return socket_.native_handle();
  }
  // Another process has the connection too: it is released here without sending anything to the client.
  void migrated_out() {
    request_id_ = 0;
    const auto self = shared_from_this();
    std::exchange(owner_, nullptr)->connections_.erase(self);
    release_and_close(socket_);
  }
  void migrate_in(const hot_restart::Stream& stream, core::RequestId id) {
    request_id_ = id;
    if (id == 0) return drop();
    initial_read_done_ = received_request_ = response_started_ = true;
    sent_close_ = stream.client_close();
    buffer_.commit(asio::buffer_copy(buffer_.prepare(stream.client_unread().size()),
                                     asio::buffer(stream.client_unread())));
    read();
  }

  Micros unread_since() const { return unread_since_; }
  std::size_t held_response_bytes() const { return unsent_.bytes(); }
  bool has_room_for_responses() const { return pending_output_.size() <= kMaxUnsentBytes; }
  std::size_t unsent_bytes() const { return pending_output_.size() + write_buffer_.size(); }
  bool idle() const {
    return request_id_ == 0 && pending_output_.empty() && !writing_ && buffer_.size() == 0 &&
           !partial_request_;
  }
  // When the connection times out in its present state; kNever while a request is open.
  Micros deadline() const {
    if (writing_ || !pending_output_.empty()) return last_progress_ + kWriteTimeout;
    if (request_id_ != 0) return core::kNever;
    if (lingering_) return last_progress_ + kLingerTimeout;
    if (idle() && received_request_) return last_progress_ + kIdleTimeout;
    if (received_request_)
      return std::min(last_progress_ + kRequestTimeout, last_received_ + kStalledRequestTimeout);
    return connected_at_ + (partial_request_ ? kFirstRequestTimeout : kFirstByteTimeout);
  }
  // Its last response is being written, or has been: it only waits for its client to read it.
  bool is_leaving() const { return closing_on_error_; }
  bool has_partially_read_request() const {
    return partial_request_ && request_id_ == 0 && !closing_on_error_;
  }
  bool idle_long_enough(Micros now) const {
    return idle() && received_request_ && now - last_progress_ > kEvictableIdle;
  }
  ConnectionState state() const {
    ConnectionState state;
    state.busy = request_id_ != 0 || writing_ || !pending_output_.empty() || !initial_read_done_;
    state.received_request = received_request_ || lingering_;
    state.partial_request = has_partially_read_request();
    state.connected_at = connected_at_;
    state.last_activity = state.partial_request ? progress_.last_progress_at()
                          : lingering_          ? last_progress_
                                                : std::max(last_progress_, last_received_);
    state.request_started_at = received_request_ ? last_progress_ : connected_at_;
    state.received_since_progress = progress_.received_since_progress();
    state.held_bytes = memory_.total();
    return state;
  }
  // Handles a timeout: a client that has started a request gets an error, any other connection is closed.
  void expire() { end_with_status(408, "the request did not come in time\n"); }
  // Ends a connection that is evicted or drained. A request that has been received in part is refused, also
  // if an earlier response is still being written: the client may retry.
  void evict() {
    has_partially_read_request() ? respond_and_close(503, kTooManyClients, kRetryAfter) : drop();
  }
  // Closes the connection. An open request is reported to the core as a client disconnect.
  void drop() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    HttpServer& owner = *std::exchange(owner_, nullptr);
    if (request_id_ != 0) owner.broker_.on_client_disconnected(request_id_);
    error_code ignored;
    disconnect_timer_.cancel();
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    release_request();
    core::free_memory(pending_output_);
    count_unsent();
    owner.connections_.erase(self);
    if (!owner.accepting_) owner.accept();
  }

 private:
  void end_with_status(unsigned status, const char* body, const char* header = "") {
    if (!partial_request_ || closing_on_error_ || writing_ || !pending_output_.empty()) return drop();
    respond_and_close(status, body, header);
  }
  // A connection may have been in the accept queue for long. Its timeouts count from its handshake and from
  // the last byte received, not from the accept: otherwise the router waits the full timeout again for each
  // of thousands of connections.
  void account_for_accept_queue() {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) return;
    const Micros since_last_data = info.tcpi_last_data_recv * core::kMilli,
                 since_last_ack = info.tcpi_last_ack_recv * core::kMilli;
    queue_delay_ = std::min({since_last_data, since_last_ack, kFirstByteTimeout});
    connected_at_ -= std::min(since_last_ack, kFirstByteTimeout);
  }
  // Frees what has been received of a request. Nothing is parsed on this connection any more.
  void release_request() {
    parser_.reset();
    buffer_.consume(buffer_.size());
    buffer_.shrink_to_fit();
    partial_request_ = false;
  }
  void reset_parser() {
    parser_.emplace(std::piecewise_construct, std::forward_as_tuple(memory_.body()),
                    std::make_tuple(CountingAllocator<char>(memory_.header())));
    parser_->eager(true);
    parser_->body_limit(kLargestBody);
    parser_->header_limit(kMaxHeadSize);
    partial_request_ = false;
  }
  // The header that announces the last response of this connection, or an empty string. A response is not the
  // last one while requests wait that have already been read: each of them is answered here, since the client
  // cannot know whether they were read.
  const char* close_header() {
    const bool no_more_requests = owner_->broker_.phase() != core::Phase::serving || close_after_response_;
    if (client_sent_close_ || closing_on_error_ || (no_more_requests && buffer_.size() == 0))
      sent_close_ = true;
    return sent_close_ ? "Connection: close\r\n" : "";
  }

  void parse() {
    while (owner_ != nullptr && request_id_ == 0 && !client_sent_close_ && !closing_on_error_ &&
           buffer_.size() > 0 && has_room_for_responses()) {
      if (!partial_request_) last_progress_ = owner_->clock_.now();
      partial_request_ = true;
      error_code ec;
      const std::size_t consumed = parser_->put(buffer_.data(), ec);
      buffer_.consume(consumed);
      if (ec == beast_http::error::need_more) {
        if (!parser_->is_done()) {
          if (net::element_is_too_long(buffer_.size()))
            respond_and_close(400, "a part of the request is too long\n");
          return;
        }
      } else if (ec) {
        const bool too_large = ec == beast_http::error::body_limit;
        return respond_and_close(too_large ? 413 : 400,
                                 too_large ? "the body is larger than 256 KiB\n" : "not an HTTP request\n");
      }
      if (parser_->is_header_done() && !has_unambiguous_framing(parser_->get())) {
        return respond_and_close(400, "the length of the body is in doubt\n");
      }
      if (!parser_->is_done()) continue;
      if (!parser_->keep_alive()) client_sent_close_ = true;
      Request request(std::move(parser_->get().base()), parser_->get().body().take());
      reset_parser();
      received_request_ = true;
      handle(std::move(request));
    }
  }

  void handle(Request&& request) {
    if (sent_close_) {
      // The request was sent before the client received our "Connection: close". The client may have retried
      // it elsewhere by now.
      respond(503, kTooManyClients, kRetryAfter);
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
    auto core_request = std::make_shared<core::Request>();
    const std::string error = to_core_request(std::move(request), owner_->settings_.labels, *core_request);
    if (!error.empty()) {
      respond(400, error + "\n");
      return write();
    }
    if (owner_->should_shed()) {
      // The kernel establishes connections and receives requests whether or not we accept them. Instead of
      // leaving clients to wait in the accept queue, ask them at once to retry.
      close_after_response_ = true;
      return shed(*core_request);
    }
    // Many requests may come before the core's next iteration, which would reject those without memory.
    if (!owner_->has_memory_for(*core_request)) return shed(*core_request);
    if (owner_->under_connection_pressure())
      close_after_response_ = true;  // served, but its descriptor is needed afterwards
    response_started_ = false;
    request_id_ = owner_->broker_.on_request(std::move(core_request), shared_from_this());
    if (request_id_ == 0) {
      respond(409, "a request with this id is open\n");
      write();
    }
  }

  void shed(const core::Request& request) {
    owner_->broker_.on_request_shed(request.request_class);
    respond(503, kTooManyClients, kRetryAfter);
    write();
  }

  // If Content-Length and Transfer-Encoding disagree on where a body ends, or the encoding is one that the
  // parser does not implement, bytes that one recipient takes for the body are another request for the next
  // one (request smuggling).
  static bool has_unambiguous_framing(const ParsedRequest& request) {
    const auto encoding = request[beast_http::field::transfer_encoding];
    if (request.count(beast_http::field::transfer_encoding) == 0) return true;
    return request.count(beast_http::field::content_length) == 0 &&
           boost::beast::iequals(encoding, "chunked");
  }

  // Sends an error response after which the connection is not used for further requests.
  void respond_and_close(unsigned status, const char* body, const char* header = "") {
    closing_on_error_ = true;
    release_request();
    respond(status, body, header);
    write();
    read();
  }

  void respond(unsigned status, const std::string& body, const char* header = "") {
    if (owner_ == nullptr) return;
    pending_output_ += "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) +
                       "\r\nContent-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) +
                       "\r\n" + header;
    pending_output_ += close_header();
    pending_output_ += "\r\n" + body;
  }

  void on_response_complete() {
    if (owner_ == nullptr) return;
    request_id_ = 0;
    backpressured_ = false;
    write();
    if (!writing_) continue_or_close();
  }

  void count_unsent() { unsent_.set(core::heap_bytes(pending_output_) + core::heap_bytes(write_buffer_)); }

  void write() {
    if (owner_ == nullptr) return;
    if (writing_ || pending_output_.empty()) return count_unsent();
    writing_ = true;
    last_progress_ = owner_->clock_.now();
    if (unread_since_ == core::kNever) unread_since_ = last_progress_;
    write_buffer_ = std::exchange(pending_output_, {});
    count_unsent();
    owner_->sweep_timer_.fire_by(deadline());
    net::write_all(socket_, {asio::buffer(write_buffer_)},
                   [self = shared_from_this()](error_code ec) { self->on_written(ec); });
  }

  void on_written(error_code ec) {
    writing_ = false;
    core::free_memory(write_buffer_);
    count_unsent();
    if (owner_ == nullptr) return;
    if (ec) return drop();
    last_progress_ = owner_->clock_.now();
    if (!pending_output_.empty()) return write();
    unread_since_ = core::kNever;
    if (backpressured_) {
      backpressured_ = false;
      owner_->broker_.on_client_writable(request_id_);
    }
    continue_or_close();
  }

  // Called when everything is written: closes the connection, or continues with the next request if one has
  // already been received.
  void continue_or_close() {
    if (request_id_ != 0) return;
    if (closing_on_error_ && !lingering_) {
      // The client may still be sending the request. Closing now would answer those bytes with a reset, which
      // can discard the response before the client has read it: shut down the sending side and keep reading.
      lingering_ = true;
      last_progress_ = owner_->clock_.now();
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      return read();
    }
    if (lingering_) return;
    if (client_sent_close_ || stream_aborted_) return drop();
    parse();
    if (owner_ == nullptr) return;
    if (should_close()) return drop();
    read();
  }

  // No response is open or unwritten, and no further request is accepted here. A partially received request
  // is waited for, unless a response has already announced the close.
  bool should_close() const {
    if (request_id_ != 0 || writing_ || !pending_output_.empty() || closing_on_error_) return false;
    if (sent_close_) return true;
    return !partial_request_ && (close_after_response_ || owner_->broker_.phase() != core::Phase::serving);
  }

  HttpServer* owner_;  // null once closed
  tcp::socket socket_;
  ConnectionMemory memory_;
  boost::beast::basic_flat_buffer<CountingAllocator<char>> buffer_;
  std::optional<RequestParser> parser_;  // empty once nothing is parsed any more
  std::string pending_output_, write_buffer_;
  HeldResponseBytes unsent_;
  Micros unread_since_ = core::kNever;  // since when the client has not taken all of its response
  core::RequestId request_id_ = 0;      // the open request; 0: none
  Micros last_progress_ = 0;            // the first byte of a request, or the start or end of a write
  Micros last_received_ = 0;            // when the last byte arrived
  ReceiveProgress progress_;            // of the request that is being received
  Micros queue_delay_ = 0;              // how long the first bytes waited in the accept queue
  Micros connected_at_ = 0;
  bool initial_read_done_ = false;  // the bytes received before the accept have been read
  bool received_request_ = false;   // a complete request has been received
  asio::steady_timer disconnect_timer_;
  bool reading_ = false, writing_ = false, response_started_ = false, backpressured_ = false,
       partial_request_ = false, closing_on_error_ = false, lingering_ = false, polling_disconnect_ = false;
  bool client_sent_close_ = false;     // its latest request is its last one
  bool close_after_response_ = false;  // its descriptor is needed for other clients
  bool sent_close_ = false;            // a response has announced the close
  bool stream_aborted_ = false;        // the response ended without its last chunk
};

HttpServer::HttpServer(asio::io_context& io, core::Broker& broker, core::Clock& clock,
                       ServerSettings settings)
    : io_(io),
      broker_(broker),
      clock_(clock),
      settings_(std::move(settings)),
      acceptor_(io),
      sweep_timer_(io, clock, [this] { sweep(); }),
      accept_retry_timer_(io) {}

HttpServer::~HttpServer() {
  accepting_ = true;  // keeps drop() from accepting
  while (!connections_.empty()) (*connections_.begin())->drop();
}

std::string HttpServer::listen(const config::HostPort& address) {
  const std::string error = http::listen(acceptor_, address);
  if (error.empty()) start_accepting();
  return error;
}
std::string HttpServer::listen(int descriptor, std::function<bool()> may_accept) {
  const std::string error = adopt(acceptor_, descriptor);
  may_accept_ = std::move(may_accept);
  if (error.empty()) start_accepting();
  return error;
}
void HttpServer::start_accepting() {
  port_ = acceptor_.local_endpoint().port();
  accept();
}
void HttpServer::resume() {
  if (!accepting_ && acceptor_.is_open()) accept();
}
void HttpServer::recheck_accepting() {
  resume();
  if (under_connection_pressure()) sweep_timer_.fire_by(clock_.now());
}
// Accepted connections are still served; those in the accept queue are left to another process.
void HttpServer::stop_accepting() {
  error_code ignored;
  acceptor_.close(ignored);
}

void HttpServer::accept() {
  // A few connections above the limit are accepted so that their clients can be answered with a 503; further
  // clients wait in the accept queue until a connection ends.
  const ConnectionEviction eviction = this->eviction();
  if (eviction.above_hard_limit(connections_.size())) evict_connections(eviction);
  accepting_ = acceptor_.is_open() && (!may_accept_ || may_accept_()) &&
               connections_.size() < eviction.capacity() + settings_.overflow_connections;
  if (under_connection_pressure()) sweep_timer_.fire_by(clock_.now() + sweep_interval());
  if (!accepting_) return;
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      // EMFILE and similar errors: accepting again at once would loop without progress. Free a descriptor and
      // wait for a short time.
      if (release_descriptor_ && net::is_descriptor_exhaustion(ec)) release_descriptor_();
      return accept_later();
    }
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->start();
    accept();
  });
}

void HttpServer::accept_later() {
  accept_retry_timer_.expires_after(std::chrono::milliseconds(20));
  accept_retry_timer_.async_wait([this](error_code ec) {
    if (!ec) accept();
  });
}

// More connections than the limit are no reason to shed as long as fewer requests are in flight: then some
// connections have no request in flight.
bool HttpServer::should_shed() const {
  return over_connection_limit() && broker_.requests_in_flight() >= settings_.connection_limit();
}

// Idle connections have to be evicted, or no client can be accepted: sweeps are then made at short intervals.
bool HttpServer::under_connection_pressure() const {
  return eviction().above_soft_limit(connections_.size()) || (!accepting_ && acceptor_.is_open());
}
Micros HttpServer::sweep_interval() const {
  return accepting_ || !acceptor_.is_open() ? IdleTimer::kMinSweepInterval : kBlockedAcceptInterval;
}
bool HttpServer::over_connection_limit() const { return connections_.size() > settings_.connection_limit(); }

// Clients may keep a connection open for any time after a request, or without sending one. The order of
// eviction is documented in http/connection_eviction.h.
void HttpServer::evict_connections(const ConnectionEviction& eviction) {
  const Micros now = clock_.now();
  if (!eviction.above_soft_limit(connections_.size())) return;
  struct Candidate {
    int rank;
    Micros last_activity;
    std::shared_ptr<Connection> connection;
  };
  std::vector<Candidate> candidates;
  const bool urgent = eviction.above_hard_limit(connections_.size());
  std::size_t leaving = 0;  // they hold a descriptor only until their client has read its response
  for (const auto& connection : connections_) {
    leaving += connection->is_leaving();
    const ConnectionState state = connection->state();
    const int rank = urgent                              ? ConnectionEviction::eviction_rank(state, now)
                     : connection->idle_long_enough(now) ? 0
                                                         : ConnectionEviction::kNotEvictable;
    if (rank != ConnectionEviction::kNotEvictable)
      candidates.push_back({rank, state.last_activity, connection});
  }
  std::sort(candidates.begin(), candidates.end(), [](const Candidate& a, const Candidate& b) {
    return a.rank != b.rank ? a.rank < b.rank : a.last_activity < b.last_activity;
  });
  const bool was_accepting = std::exchange(accepting_, true);  // keeps drop() from accepting
  for (const Candidate& candidate : candidates) {
    const bool was_leaving = candidate.connection->is_leaving();
    const std::size_t competing = connections_.size() - (was_leaving ? 0 : leaving);
    if (!(urgent ? eviction.above_hard_limit(competing) : eviction.above_soft_limit(competing))) continue;
    candidate.connection->evict();
    counters_.evicted += !was_leaving;
    if (was_leaving) --leaving;
    if (!was_leaving && candidate.connection->is_leaving()) ++leaving;
  }
  accepting_ = was_accepting;
}

bool HttpServer::refuse_one_for_memory() {
  std::vector<ConnectionState> states;
  states.reserve(connections_.size());
  for (const auto& connection : connections_) states.push_back(connection->state());
  const std::optional<std::size_t> chosen = ConnectionEviction::choose_for_memory(states, clock_.now());
  if (!chosen) return false;
  const auto connection = *std::next(connections_.begin(), static_cast<std::ptrdiff_t>(*chosen));
  connection->evict();
  return true;
}

bool HttpServer::has_memory_for(const core::Request& request) const {
  return broker_.received_body_bytes() + request.bytes() <= settings_.memory_budget();
}

bool HttpServer::end_slowest_response() {
  const Micros slow_since = clock_.now() - kSlowReaderGrace;
  std::size_t holders = 0, held = 0;
  for (const auto& connection : connections_) {
    if (connection->unread_since() > slow_since) continue;
    ++holders;
    held += connection->held_response_bytes();
  }
  // At least half of the average, as for requests: one that holds little frees little.
  std::shared_ptr<Connection> slowest;
  for (const auto& connection : connections_) {
    if (connection->unread_since() > slow_since) continue;
    if (2 * connection->held_response_bytes() * holders < held) continue;
    if (slowest == nullptr || connection->unread_since() < slowest->unread_since()) slowest = connection;
  }
  if (slowest == nullptr) {
    // Whoever reads nothing meanwhile is slow by then, and nothing else might wake the event loop.
    sweep_timer_.fire_by(clock_.now() + kSlowReaderGrace);
    return false;
  }
  ++counters_.responses_ended_for_memory;
  slowest->drop();
  return true;
}

std::size_t HttpServer::unsent_bytes() const {
  std::size_t sum = 0;
  for (const auto& connection : connections_) sum += connection->unsent_bytes();
  return sum;
}

std::size_t HttpServer::held_bytes() const { return memory_->total() + broker_.received_body_bytes(); }

// Requests in flight cannot be refused any more. They fit the budget by their admission (RequestHandler).
void HttpServer::enforce_memory_budget() {
  while (held_bytes() > settings_.memory_budget() && refuse_one_for_memory()) ++counters_.refused_for_memory;
}

bool HttpServer::may_read_ahead() const {
  return memory_->read_buffers < settings_.memory_budget() / kReadAheadDivisor;
}

int HttpServer::export_stream(core::ResponseWriter& client, hot_restart::Stream& stream) {
  return static_cast<Connection&>(client).export_stream(stream);
}
void HttpServer::migrated_out(core::ResponseWriter& client) {
  static_cast<Connection&>(client).migrated_out();
}
void HttpServer::migrate_in(
    int descriptor, const hot_restart::Stream& stream,
    const std::function<core::RequestId(std::shared_ptr<core::ResponseWriter>)>& resume_request) {
  error_code ec;
  tcp::socket socket(io_);
  socket.assign(protocol_of(descriptor), descriptor, ec);
  const auto connection = std::make_shared<Connection>(*this, std::move(socket));
  connections_.insert(connection);
  connection->migrate_in(stream, resume_request(connection));
}

std::size_t HttpServer::partially_read_requests() const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& connection) { return connection->has_partially_read_request(); }));
}

void HttpServer::reject_partially_read_requests() {
  std::vector<std::shared_ptr<Connection>> incomplete;
  std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(incomplete),
               [](const auto& connection) { return connection->has_partially_read_request(); });
  for (const auto& connection : incomplete) connection->evict();
}

void HttpServer::close_idle() {
  std::vector<std::shared_ptr<Connection>> idle;
  std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(idle),
               [](const auto& connection) { return connection->idle(); });
  for (const auto& connection : idle) connection->drop();
}

void HttpServer::sweep() {
  const Micros now = clock_.now();
  std::vector<std::shared_ptr<Connection>> expired;
  std::copy_if(connections_.begin(), connections_.end(), std::back_inserter(expired),
               [now](const auto& connection) { return connection->deadline() <= now; });
  for (const auto& connection : expired) connection->expire();
  evict_connections(eviction());
  // Accepting may have stopped because the limit was reached; it is retried here, not only when a connection
  // ends.
  resume();
  Micros next_deadline = core::kNever;
  for (const auto& connection : connections_) next_deadline = std::min(next_deadline, connection->deadline());
  sweep_timer_.fire_by(under_connection_pressure()
                           ? now + sweep_interval()
                           : std::max(next_deadline, now + IdleTimer::kMinSweepInterval));
}

}  // namespace flintglade::http
