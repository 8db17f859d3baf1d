#include "admin/server.h"

#include <algorithm>
#include <boost/beast/core/flat_static_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <sstream>
#include <utility>

#include "http/listener.h"
#include "http/request.h"
#include "net/write_all.h"

namespace flintglade::admin {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {
constexpr std::size_t kMaxRequestBytes = 4096;
// From the accept of the connection to the last byte of the response.
constexpr std::chrono::seconds kConnectionTimeout{3};
// Delay after a failed accept, which most likely means that the process has no free descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{20};
}  // namespace

class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(Server& owner, tcp::socket socket)
      : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
    parser_.header_limit(kMaxRequestBytes);
  }

  void run() {
    timer_.expires_after(kConnectionTimeout);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->end();
    });
    beast_http::async_read_header(
        socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
          if (self->owner_ == nullptr) return;
          if (ec == beast_http::error::end_of_stream || (ec && !self->parser_.got_some())) return self->end();
          self->respond(ec);
        });
  }
  bool answering() const { return answering_; }

  void end() {
    if (owner_ == nullptr) return;
    const auto self = shared_from_this();
    Server& owner = *std::exchange(owner_, nullptr);
    timer_.cancel();
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    socket_.close(ignored);
    owner.connections_.remove(self);
  }

 private:
  void respond(error_code error) {
    answering_ = true;
    const auto& request = parser_.get();
    const std::string_view path = http::path_of(request.target());
    response_.version(11);
    response_.set(beast_http::field::content_type, "text/plain; version=0.0.4");
    response_.keep_alive(false);
    const bool known_path = path == "/_ready" || path == "/_vars";
    if (error) {
      set_body(beast_http::status::bad_request, "not an HTTP request\n");
    } else if (!known_path) {
      set_body(beast_http::status::not_found, "there is /_ready and /_vars\n");
    } else if (request.method() != beast_http::verb::get) {
      response_.set(beast_http::field::allow, "GET");
      set_body(beast_http::status::method_not_allowed, "GET only\n");
    } else if (path == "/_ready") {
      set_body(owner_->handlers_.ready() ? beast_http::status::ok : beast_http::status::service_unavailable,
               owner_->handlers_.state() + "\n");
    } else {
      set_body(beast_http::status::ok, owner_->handlers_.vars());
    }
    std::ostringstream stream;
    stream << response_;
    response_bytes_ = stream.str();
    net::write_all(socket_, {asio::buffer(response_bytes_)},
                   [self = shared_from_this()](error_code) { self->end(); });
  }
  void set_body(beast_http::status status, std::string body) {
    response_.result(status);
    response_.body() = std::move(body);
    response_.prepare_payload();
  }

  Server* owner_;  // null once ended
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_static_buffer<kMaxRequestBytes> buffer_;
  beast_http::request_parser<beast_http::empty_body> parser_;
  beast_http::response<beast_http::string_body> response_;
  std::string response_bytes_;
  bool answering_ = false;
};

Server::Server(asio::io_context& io, Handlers handlers)
    : io_(io), handlers_(std::move(handlers)), acceptor_(io), accept_retry_timer_(io) {}
Server::~Server() {
  while (!connections_.empty()) connections_.front()->end();
}

std::string Server::listen(const config::HostPort& address) {
  std::string error = http::listen(acceptor_, address);
  if (!error.empty()) return error;
  port_ = acceptor_.local_endpoint().port();
  accept();
  return "";
}

void Server::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      return accept_retry_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled) accept();
      });
    }
    if (connections_.size() >= kMaxConnections) {
      // Evicts the oldest connection that is not being answered, or the oldest one if all are.
      auto evicted = std::find_if(connections_.begin(), connections_.end(),
                                  [](const auto& connection) { return !connection->answering(); });
      (evicted == connections_.end() ? connections_.front() : *evicted)->end();
    }
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->run();
    accept();
  });
}

}  // namespace flintglade::admin
