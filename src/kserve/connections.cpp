#include "kserve/connections.h"

#include <fcntl.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace flintglade::kserve {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {
// Delay after a failed accept, which most likely means that the process has no free descriptor.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
}  // namespace

Connections::Connections(asio::io_context& io, std::size_t max_open, AcceptHandler on_accept)
    : acceptor_(io),
      accept_retry_timer_(io),
      ends_epoll_(io),
      max_open_(max_open),
      on_accept_(std::move(on_accept)) {}

Connections::~Connections() { stop(); }

std::string Connections::listen(const config::HostPort& address, int& port) {
  const std::string failed =
      "kserve: cannot listen on " + config::host_port(address.host, address.port) + ": ";
  error_code ec;
  const auto ip_address = asio::ip::make_address(address.host, ec);
  if (ec) return failed + ec.message();
  const asio::ip::tcp::endpoint endpoint(ip_address, address.port);
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (epoll < 0) return failed + "cannot create an epoll descriptor";
  ends_epoll_.assign(epoll);
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  // Report a connection that was aborted in the accept queue as an error. Otherwise the connections queued
  // behind it would not be accepted until the next connection arrives.
  if (!ec) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  if (ec) return failed + ec.message();
  port = acceptor_.local_endpoint().port();
  accept();
  watch_ends();
  return "";
}

void Connections::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  accept_retry_timer_.cancel();
  ends_epoll_.close(ignored);
  for (const int fd : watched_) ::close(fd);
  watched_.clear();
}

void Connections::accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (ec) {
      accept_retry_timer_.expires_after(kAcceptRetryDelay);
      accept_retry_timer_.async_wait([this](error_code cancelled) {
        if (!cancelled && acceptor_.is_open()) accept();
      });
      return;
    }
    const int duplicate =
        watched_.size() < max_open_ ? ::fcntl(socket.native_handle(), F_DUPFD_CLOEXEC, 0) : -1;
    epoll_event event{};
    event.data.fd = duplicate;  // no events requested: EPOLLHUP and EPOLLERR are always reported
    if (duplicate < 0 || ::epoll_ctl(ends_epoll_.native_handle(), EPOLL_CTL_ADD, duplicate, &event) != 0) {
      if (duplicate >= 0) ::close(duplicate);
      ++refused_;  // `socket` closes the connection when it goes out of scope
    } else {
      watched_.insert(duplicate);
      socket.native_non_blocking(true, ec);
      socket.set_option(asio::ip::tcp::no_delay(true), ec);
      on_accept_(socket.release());
    }
    accept();
  });
}

void Connections::watch_ends() {
  ends_epoll_.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
    if (ec) return;
    std::array<epoll_event, 64> ended;
    for (int count = 1; count > 0;) {
      count = ::epoll_wait(ends_epoll_.native_handle(), ended.data(), static_cast<int>(ended.size()), 0);
      for (int i = 0; i < count; ++i) {
        const int fd = ended[static_cast<std::size_t>(i)].data.fd;
        ::epoll_ctl(ends_epoll_.native_handle(), EPOLL_CTL_DEL, fd, nullptr);
        ::close(fd);
        watched_.erase(fd);
      }
    }
    watch_ends();
  });
}

}  // namespace flintglade::kserve
