#include "fleet/links.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace flintglade::tests {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

struct Links::Router {
  explicit Router(asio::io_context& io) : socket(io, udp::endpoint(asio::ip::address_v4::loopback(), 0)) {}
  udp::socket socket;
  udp::endpoint sender;  // of the datagram that was received last
  unsigned short listen_port = 0;
  std::array<char, 65536> bytes{};
};

Links::Links(std::size_t routers, std::uint64_t seed) : random_(seed) {
  links_.assign(routers, std::vector<Link>(routers));
  for (std::size_t i = 0; i < routers; ++i) routers_.push_back(std::make_unique<Router>(io_));
  command_side_ = std::make_unique<Router>(io_);
  for (std::size_t i = 0; i < routers; ++i) read(i);
  read_command_replies();
  thread_ = std::thread([this] { io_.run(); });
}

Links::~Links() {
  io_.stop();
  thread_.join();
}

std::string Links::advertised_address(std::size_t router) const {
  return "127.0.0.1:" + std::to_string(routers_[router]->socket.local_endpoint().port());
}
void Links::set_listen_port(std::size_t router, unsigned short port) {
  const std::lock_guard lock(mutex_);
  routers_[router]->listen_port = port;
}
void Links::set(std::size_t from, std::size_t to, const Link& link) {
  const std::lock_guard lock(mutex_);
  links_[from][to] = link;
}
void Links::between(const std::vector<std::size_t>& first, const std::vector<std::size_t>& second,
                    const Link& link, bool both) {
  for (const std::size_t from : first) {
    for (const std::size_t to : second) {
      set(from, to, link);
      if (both) set(to, from, link);
    }
  }
}
void Links::all(const Link& link) {
  const std::lock_guard lock(mutex_);
  for (auto& row : links_) row.assign(row.size(), link);
}
std::uint64_t Links::forwarded_datagrams() const {
  const std::lock_guard lock(mutex_);
  return forwarded_;
}

void Links::read(std::size_t to) {
  Router& router = *routers_[to];
  router.socket.async_receive_from(
      asio::buffer(router.bytes), router.sender, [this, to](error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        Router& receiver = *routers_[to];
        if (!error) {
          const std::lock_guard lock(mutex_);
          const auto from = std::find_if(routers_.begin(), routers_.end(), [&](const auto& candidate) {
            return candidate->listen_port == receiver.sender.port();
          });
          // Datagrams of commands are always forwarded.
          if (from == routers_.end() && receiver.listen_port != 0) {
            command_endpoint_ = receiver.sender;
            error_code ignored;
            command_side_->socket.send_to(asio::buffer(receiver.bytes.data(), size),
                                          {asio::ip::address_v4::loopback(), receiver.listen_port}, 0,
                                          ignored);
          } else if (from != routers_.end()) {
            const std::size_t sender = static_cast<std::size_t>(from - routers_.begin());
            const Link& link = links_[sender][to];
            const auto happens = [this](double probability) {
              return std::uniform_real_distribution<>()(random_) < probability;
            };
            const int copies = link.cut || happens(link.loss) ? 0 : happens(link.duplication) ? 2 : 1;
            for (int copy = 0; copy < copies; ++copy) {
              const int delay_ms =
                  link.delay_ms + (link.jitter_ms > 0 ? static_cast<int>(random_() % link.jitter_ms) : 0);
              if (delay_ms == 0) {
                forward(sender, to, std::string(receiver.bytes.data(), size));
                continue;
              }
              const auto timer =
                  std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(delay_ms));
              timer->async_wait([this, timer, sender, to,
                                 bytes = std::string(receiver.bytes.data(), size)](error_code stopped) {
                const std::lock_guard locked(mutex_);
                if (!stopped) forward(sender, to, bytes);
              });
            }
          }
        }
        read(to);
      });
}

void Links::read_command_replies() {
  Router& router = *command_side_;
  router.socket.async_receive_from(
      asio::buffer(router.bytes), router.sender, [this](error_code error, std::size_t size) {
        if (error == asio::error::operation_aborted) return;
        error_code ignored;
        const std::lock_guard lock(mutex_);
        if (!error)
          command_side_->socket.send_to(asio::buffer(command_side_->bytes.data(), size), command_endpoint_, 0,
                                        ignored);
        read_command_replies();
      });
}

void Links::forward(std::size_t from, std::size_t to, std::string bytes) {
  error_code ignored;
  if (routers_[to]->listen_port == 0) return;
  ++forwarded_;
  routers_[from]->socket.send_to(asio::buffer(bytes),
                                 {asio::ip::address_v4::loopback(), routers_[to]->listen_port}, 0, ignored);
}

}  // namespace flintglade::tests
