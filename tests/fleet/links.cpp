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
  udp::endpoint from;
  unsigned short real = 0;
  std::array<char, 65536> bytes{};
};

Links::Links(std::size_t routers, std::uint64_t seed) : random_(seed) {
  links_.assign(routers, std::vector<Link>(routers));
  for (std::size_t i = 0; i < routers; ++i) routers_.push_back(std::make_unique<Router>(io_));
  operator_ = std::make_unique<Router>(io_);
  for (std::size_t i = 0; i < routers; ++i) read(i);
  read_operator();
  thread_ = std::thread([this] { io_.run(); });
}

Links::~Links() {
  io_.stop();
  thread_.join();
}

std::string Links::at(std::size_t router) const {
  return "127.0.0.1:" + std::to_string(routers_[router]->socket.local_endpoint().port());
}
void Links::real(std::size_t router, unsigned short port) {
  const std::lock_guard lock(mutex_);
  routers_[router]->real = port;
}
void Links::set(std::size_t from, std::size_t to, const Link& link) {
  const std::lock_guard lock(mutex_);
  links_[from][to] = link;
}
void Links::between(const std::vector<std::size_t>& some, const std::vector<std::size_t>& others,
                    const Link& link, bool both) {
  for (const std::size_t a : some) {
    for (const std::size_t b : others) {
      set(a, b, link);
      if (both) set(b, a, link);
    }
  }
}
void Links::all(const Link& link) {
  const std::lock_guard lock(mutex_);
  for (auto& row : links_) row.assign(row.size(), link);
}
std::uint64_t Links::passed() const {
  const std::lock_guard lock(mutex_);
  return passed_;
}

void Links::read(std::size_t to) {
  Router& r = *routers_[to];
  r.socket.async_receive_from(asio::buffer(r.bytes), r.from, [this, to](error_code ec, std::size_t n) {
    if (ec == asio::error::operation_aborted) return;
    Router& at = *routers_[to];
    if (!ec) {
      const std::lock_guard lock(mutex_);
      const auto from = std::find_if(routers_.begin(), routers_.end(),
                                     [&](const auto& one) { return one->real == at.from.port(); });
      if (from == routers_.end() && at.real != 0) {  // a command: its link is never broken
        asker_ = at.from;
        error_code ignored;
        operator_->socket.send_to(asio::buffer(at.bytes.data(), n),
                                  {asio::ip::address_v4::loopback(), at.real}, 0, ignored);
      } else if (from != routers_.end()) {
        const std::size_t i = static_cast<std::size_t>(from - routers_.begin());
        const Link& link = links_[i][to];
        const auto happens = [this](double part) {
          return std::uniform_real_distribution<>()(random_) < part;
        };
        const int copies = link.cut || happens(link.loss) ? 0 : happens(link.twice) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
          const int wait =
              link.delay_ms + (link.jitter_ms > 0 ? static_cast<int>(random_() % link.jitter_ms) : 0);
          if (wait == 0) {
            forward(i, to, std::string(at.bytes.data(), n));
            continue;
          }
          const auto timer = std::make_shared<asio::steady_timer>(io_, std::chrono::milliseconds(wait));
          timer->async_wait(
              [this, timer, i, to, bytes = std::string(at.bytes.data(), n)](error_code stopped) {
                const std::lock_guard locked(mutex_);
                if (!stopped) forward(i, to, bytes);
              });
        }
      }
    }
    read(to);
  });
}

void Links::read_operator() {
  Router& r = *operator_;
  r.socket.async_receive_from(asio::buffer(r.bytes), r.from, [this](error_code ec, std::size_t n) {
    if (ec == asio::error::operation_aborted) return;
    error_code ignored;
    const std::lock_guard lock(mutex_);
    if (!ec) operator_->socket.send_to(asio::buffer(operator_->bytes.data(), n), asker_, 0, ignored);
    read_operator();
  });
}

void Links::forward(std::size_t from, std::size_t to, std::string bytes) {
  error_code ignored;
  if (routers_[to]->real == 0) return;
  ++passed_;
  routers_[from]->socket.send_to(asio::buffer(bytes), {asio::ip::address_v4::loopback(), routers_[to]->real},
                                 0, ignored);
}

}  // namespace flintglade::tests
