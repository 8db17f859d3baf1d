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

// Ids have to be beyond guessing (RFC 5452, 9.2).
std::uint64_t random_word() {
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
    // Not connected: the kernel would hide what comes from elsewhere, and it is to be counted.
    if (!ec) udp_.send_to(asio::buffer(message_), {address, server.port}, 0, ec);
    if (ec) return fail("cannot send: " + ec.message());
    receive();
  }

  void open(const HostPort& server, std::string framed) {
    message_ = std::move(framed);
    error_code ec;
    const auto address = asio::ip::make_address(server.host, ec);
    if (ec) return fail("its address cannot be used");
    tcp_.async_connect({address, server.port}, [self = shared_from_this()](error_code failed) {
      if (failed) return self->fail("cannot connect: " + failed.message());
      net::write_all(self->tcp_, {asio::buffer(self->message_)}, [self](error_code wrong) {
        wrong ? self->fail("cannot ask: " + wrong.message()) : self->read();
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
        asio::buffer(buffer_), from_, [self = shared_from_this()](error_code ec, std::size_t n) {
          if (self->owner_ == nullptr) return;
          if (ec) return self->fail(ec.message());
          self->owner_->event([&](core::Micros now) {
            self->owner_->resolver_.datagram(now, self->id_,
                                             {self->from_.address().to_string(), self->from_.port()},
                                             {self->buffer_.data(), n});
          });
          if (self->owner_ != nullptr) self->receive();
        });
  }
  void read() {
    if (owner_ == nullptr) return;
    tcp_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (self->owner_ == nullptr) return;
      if (ec) return self->fail("ended: " + ec.message());
      self->owner_->event([&](core::Micros now) {
        self->owner_->resolver_.stream(now, self->id_, {self->buffer_.data(), n});
      });
      self->read();
    });
  }
  // In a turn of its own: the resolver may be the one that is sending.
  void fail(const std::string& why) {
    asio::post(udp_.get_executor(), [self = shared_from_this(), why] {
      if (self->owner_ == nullptr) return;
      self->owner_->event([&](core::Micros now) { self->owner_->resolver_.broken(now, self->id_, why); });
    });
  }

  Client* owner_;  // empty once stopped
  QueryId id_;
  udp::socket udp_;
  tcp::socket tcp_;
  udp::endpoint from_;
  std::string message_;
  std::array<char, 4096> buffer_{};
};

Client::Client(asio::io_context& io, core::Clock& clock, ResolverSettings settings,
               ResolverListener& listener)
    : io_(io), clock_(clock), alarm_(io), resolver_(std::move(settings), random_word, *this, listener) {}

Client::~Client() {
  for (auto& [id, socket] : sockets_) socket->stop();
}

void Client::configure(ResolverSettings settings, std::vector<std::string> names) {
  event([&](core::Micros now) { resolver_.configure(now, std::move(settings), std::move(names)); });
}
void Client::refresh(const std::string& name) {
  event([&](core::Micros now) { resolver_.refresh(now, name); });
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

void Client::run_iteration() {
  resolver_.wake(clock_.now());
  const core::Micros at = resolver_.next_timer();
  if (at == core::kNever) {
    alarm_.cancel();
    return;
  }
  alarm_.expires_at(std::chrono::steady_clock::time_point(std::chrono::microseconds(at)));
  alarm_.async_wait([this](error_code ec) {
    if (!ec) run_iteration();
  });
}

}  // namespace flintglade::dns
