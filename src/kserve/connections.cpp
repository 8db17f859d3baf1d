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
constexpr std::chrono::milliseconds kAgain{
    50};  // after an accept that failed, for want of descriptors most likely
}  // namespace

Connections::Connections(asio::io_context& io, std::size_t most, HandOver hand_over)
    : acceptor_(io), again_(io), ends_(io), most_(most), hand_over_(std::move(hand_over)) {}

Connections::~Connections() { stop(); }

std::string Connections::listen(const config::HostPort& at, int& port) {
  const std::string failed = "kserve: cannot listen on " + config::host_port(at.host, at.port) + ": ";
  error_code ec;
  const auto address = asio::ip::make_address(at.host, ec);
  if (ec) return failed + ec.message();
  const asio::ip::tcp::endpoint endpoint(address, at.port);
  const int epoll = ::epoll_create1(EPOLL_CLOEXEC);
  if (epoll < 0) return failed + "no descriptor is left";
  ends_.assign(epoll);
  acceptor_.open(endpoint.protocol(), ec);
  if (!ec) acceptor_.set_option(asio::socket_base::reuse_address(true), ec);
  if (!ec) acceptor_.bind(endpoint, ec);
  if (!ec) acceptor_.listen(asio::socket_base::max_listen_connections, ec);
  // Else those that stand in the queue behind one that ended there would wait for the next one to come.
  if (!ec) acceptor_.set_option(asio::socket_base::enable_connection_aborted(true), ec);
  if (ec) return failed + ec.message();
  port = acceptor_.local_endpoint().port();
  accept();
  watch();
  return "";
}

void Connections::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  again_.cancel();
  ends_.close(ignored);
  for (const int fd : seen_) ::close(fd);
  seen_.clear();
}

void Connections::accept() {
  acceptor_.async_accept([this](error_code ec, asio::ip::tcp::socket socket) {
    if (!acceptor_.is_open()) return;
    if (ec) {
      again_.expires_after(kAgain);
      again_.async_wait([this](error_code cancelled) {
        if (!cancelled && acceptor_.is_open()) accept();
      });
      return;
    }
    const int copy = seen_.size() < most_ ? ::fcntl(socket.native_handle(), F_DUPFD_CLOEXEC, 0) : -1;
    epoll_event event{};
    event.data.fd = copy;  // no events asked for: EPOLLHUP and EPOLLERR come always
    if (copy < 0 || ::epoll_ctl(ends_.native_handle(), EPOLL_CTL_ADD, copy, &event) != 0) {
      if (copy >= 0) ::close(copy);
      ++refused_;  // and closed with its socket
    } else {
      seen_.insert(copy);
      socket.native_non_blocking(true, ec);
      socket.set_option(asio::ip::tcp::no_delay(true), ec);
      hand_over_(socket.release());
    }
    accept();
  });
}

void Connections::watch() {
  ends_.async_wait(asio::posix::stream_descriptor::wait_read, [this](error_code ec) {
    if (ec) return;
    std::array<epoll_event, 64> ended;
    for (int n = 1; n > 0;) {
      n = ::epoll_wait(ends_.native_handle(), ended.data(), static_cast<int>(ended.size()), 0);
      for (int i = 0; i < n; ++i) {
        const int fd = ended[static_cast<std::size_t>(i)].data.fd;
        ::epoll_ctl(ends_.native_handle(), EPOLL_CTL_DEL, fd, nullptr);
        ::close(fd);
        seen_.erase(fd);
      }
    }
    watch();
  });
}

}  // namespace flintglade::kserve
