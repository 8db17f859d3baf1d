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
constexpr std::size_t kLargestCall = 4096;
constexpr std::chrono::seconds kLongestCall{3};  // from the connection to the last byte of the answer
constexpr std::chrono::milliseconds kNoDescriptor{20};
}  // namespace

class Server::Call : public std::enable_shared_from_this<Call> {
 public:
  Call(Server& owner, tcp::socket socket) : owner_(&owner), socket_(std::move(socket)), timer_(owner.io_) {
    parser_.header_limit(kLargestCall);
  }

  void run() {
    timer_.expires_after(kLongestCall);
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->end();
    });
    beast_http::async_read_header(
        socket_, buffer_, parser_, [self = shared_from_this()](error_code ec, std::size_t) {
          if (self->owner_ == nullptr) return;
          if (ec == beast_http::error::end_of_stream || (ec && !self->parser_.got_some())) return self->end();
          self->answer(ec);
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
    owner.open_.remove(self);
  }

 private:
  void answer(error_code wrong) {
    answering_ = true;
    const auto& call = parser_.get();
    const std::string_view path = http::path_of(call.target());
    answer_.version(11);
    answer_.set(beast_http::field::content_type, "text/plain; version=0.0.4");
    answer_.keep_alive(false);
    const bool known = path == "/_ready" || path == "/_vars";
    if (wrong) {
      fill(beast_http::status::bad_request, "not an HTTP request\n");
    } else if (!known) {
      fill(beast_http::status::not_found, "there is /_ready and /_vars\n");
    } else if (call.method() != beast_http::verb::get) {
      answer_.set(beast_http::field::allow, "GET");
      fill(beast_http::status::method_not_allowed, "GET only\n");
    } else if (path == "/_ready") {
      fill(owner_->calls_.ready() ? beast_http::status::ok : beast_http::status::service_unavailable,
           owner_->calls_.state() + "\n");
    } else {
      fill(beast_http::status::ok, owner_->calls_.vars());
    }
    std::ostringstream text;
    text << answer_;
    text_ = text.str();
    net::write_all(socket_, {asio::buffer(text_)}, [self = shared_from_this()](error_code) { self->end(); });
  }
  void fill(beast_http::status status, std::string body) {
    answer_.result(status);
    answer_.body() = std::move(body);
    answer_.prepare_payload();
  }

  Server* owner_;  // empty once ended
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_static_buffer<kLargestCall> buffer_;
  beast_http::request_parser<beast_http::empty_body> parser_;
  beast_http::response<beast_http::string_body> answer_;
  std::string text_;
  bool answering_ = false;
};

Server::Server(asio::io_context& io, Calls calls)
    : io_(io), calls_(std::move(calls)), acceptor_(io), again_(io) {}
Server::~Server() {
  while (!open_.empty()) open_.front()->end();
}

std::string Server::listen(const config::HostPort& at) {
  std::string error = http::listen(acceptor_, at);
  if (!error.empty()) return error;
  port_ = acceptor_.local_endpoint().port();
  accept();
  return "";
}

void Server::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      again_.expires_after(kNoDescriptor);
      return again_.async_wait([this](error_code stopped) {
        if (!stopped) accept();
      });
    }
    if (open_.size() >= kCallers) {
      // A caller that is being answered goes only where all are.
      auto out = std::find_if(open_.begin(), open_.end(), [](const auto& c) { return !c->answering(); });
      (out == open_.end() ? open_.front() : *out)->end();
    }
    open_.push_back(std::make_shared<Call>(*this, std::move(socket)));
    open_.back()->run();
    accept();
  });
}

}  // namespace flintglade::admin
