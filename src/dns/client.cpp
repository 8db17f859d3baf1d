#include "dns/client.h"

#include <openssl/rand.h>

#include <array>
#include <chrono>
#include <utility>

#include "net/write_all.h"

namespace flintglade::dns {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using boost::system::error_code;

namespace {

// Query ids must be unpredictable (RFC 5452, section 9.2).
std::uint64_t secure_random() {
  std::uint64_t out = 0;
  RAND_bytes(reinterpret_cast<unsigned char*>(&out), sizeof out);
  return out;
}

}  // namespace

class Client::Socket : public std::enable_shared_from_this<Socket> {
 public:
  Socket(Client& owner, QueryId id) : owner_(&owner), id_(id), udp_(owner.io_), tcp_(owner.io_) {}

  void send(const HostPort& server, std::string message) {
    message_ = std::move(message);
    error_code ec;
    const auto address = asio::ip::make_address(server.host, ec);
    if (!ec) udp_.open(address.is_v4() ? udp::v4() : udp::v6(), ec);
    if (!ec)
      udp_.bind(
          {address.is_v4() ? asio::ip::address(asio::ip::address_v4::any()) : asio::ip::address_v6::any(), 0},
          ec);
    // Not connected: on a connected socket the kernel drops datagrams from other sources, and the resolver
    // has to count them.
    if (!ec) udp_.send_to(asio::buffer(message_), {address, server.port}, 0, ec);
    if (ec) return fail("cannot send the query: " + ec.message());
    receive();
  }

  void open(const HostPort& server, std::string framed) {
    message_ = std::move(framed);
    error_code ec;
    const auto address = asio::ip::make_address(server.host, ec);
    if (ec) return fail("not a usable address: " + ec.message());
    tcp_.async_connect({address, server.port}, [self = shared_from_this()](error_code connect_error) {
      if (connect_error) return self->fail("cannot connect over TCP: " + connect_error.message());
      net::write_all(self->tcp_, {asio::buffer(self->message_)}, [self](error_code write_error) {
        write_error ? self->fail("cannot send the query over TCP: " + write_error.message()) : self->read();
      });
    });
  }

  void stop() {
    owner_ = nullptr;
    error_code ignored;
    udp_.close(ignored);
    tcp_.close(ignored);
  }

 private:
  void receive() {
    udp_.async_receive_from(
        asio::buffer(buffer_), from_, [self = shared_from_this()](error_code ec, std::size_t size) {
          if (self->owner_ == nullptr) return;
          if (ec) return self->fail("cannot receive: " + ec.message());
          self->owner_->handle_event([&](core::Micros now) {
            self->owner_->resolver_.datagram(now, self->id_,
                                             {self->from_.address().to_string(), self->from_.port()},
                                             {self->buffer_.data(), size});
          });
          if (self->owner_ != nullptr) self->receive();
        });
  }
  void read() {
    if (owner_ == nullptr) return;
    tcp_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](error_code ec, std::size_t size) {
      if (self->owner_ == nullptr) return;
      if (ec) return self->fail("TCP connection ended before the response was complete: " + ec.message());
      self->owner_->handle_event([&](core::Micros now) {
        self->owner_->resolver_.stream(now, self->id_, {self->buffer_.data(), size});
      });
      self->read();
    });
  }
  // Posted, as the resolver may be in the middle of the call that sends.
  void fail(const std::string& why) {
    asio::post(udp_.get_executor(), [self = shared_from_this(), why] {
      if (self->owner_ == nullptr) return;
      self->owner_->handle_event(
          [&](core::Micros now) { self->owner_->resolver_.transport_failed(now, self->id_, why); });
    });
  }

  Client* owner_;  // null after stop()
  QueryId id_;
  udp::socket udp_;
  tcp::socket tcp_;
  udp::endpoint from_;
  std::string message_;
  std::array<char, 4096> buffer_{};
};

Client::Client(asio::io_context& io, core::Clock& clock, ResolverSettings settings,
               ResolverListener& listener)
    : io_(io), clock_(clock), timer_(io), resolver_(std::move(settings), secure_random, *this, listener) {}

Client::~Client() {
  for (auto& [id, socket] : sockets_) socket->stop();
}

void Client::configure(ResolverSettings settings, std::vector<std::string> names) {
  handle_event([&](core::Micros now) { resolver_.configure(now, std::move(settings), std::move(names)); });
}
void Client::refresh(const std::string& name) {
  handle_event([&](core::Micros now) { resolver_.refresh(now, name); });
}

void Client::send(QueryId id, const HostPort& server, std::string message) {
  const auto socket = sockets_[id] = std::make_shared<Socket>(*this, id);
  socket->send(server, std::move(message));
}
void Client::open(QueryId id, const HostPort& server, std::string framed) {
  const auto socket = sockets_[id] = std::make_shared<Socket>(*this, id);
  socket->open(server, std::move(framed));
}
void Client::close(QueryId id) {
  const auto it = sockets_.find(id);
  if (it == sockets_.end()) return;
  it->second->stop();
  sockets_.erase(it);
}

void Client::run_resolver() {
  resolver_.wake(clock_.now());
  const core::Micros next = resolver_.next_timer();
  if (next == core::kNever) {
    timer_.cancel();
    return;
  }
  timer_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(next)));
  timer_.async_wait([this](error_code ec) {
    if (!ec) run_resolver();
  });
}

}  // namespace flintglade::dns
