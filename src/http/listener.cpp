#include "http/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace flintglade::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// A connection that ended in the queue is told, and accepting goes on. Otherwise Asio waits for the next one
// to come, and those that stand in the queue already wait with it.
void tell_aborted(tcp::acceptor& acceptor) {
  error_code ignored;
  acceptor.set_option(boost::asio::socket_base::enable_connection_aborted(true), ignored);
}

}  // namespace

std::string listen(tcp::acceptor& acceptor, const config::HostPort& at) {
  error_code ec;
  const auto ip = boost::asio::ip::make_address(at.host, ec);
  const tcp::endpoint endpoint(ip, at.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  tell_aborted(acceptor);
  if (ec) return "cannot listen on " + config::host_port(at.host, at.port) + ": " + ec.message();
  return "";
}

tcp protocol_of(int descriptor) {
  int domain = 0;
  socklen_t size = sizeof domain;
  ::getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size);
  return domain == AF_INET6 ? tcp::v6() : tcp::v4();
}

void leave(tcp::socket& socket) {
  error_code ec;
  const int descriptor = socket.release(ec);  // takes it out of the epoll set
  if (!ec) ::close(descriptor);
}

std::string adopt(tcp::acceptor& acceptor, int descriptor) {
  const std::string name = "descriptor " + std::to_string(descriptor);
  const auto option = [descriptor](int which, int& value) {
    socklen_t size = sizeof value;
    return ::getsockopt(descriptor, SOL_SOCKET, which, &value, &size) == 0;
  };
  int listening = 0, domain = 0, type = 0;
  if (!option(SO_ACCEPTCONN, listening) || !option(SO_DOMAIN, domain) || !option(SO_TYPE, type) ||
      listening == 0 || type != SOCK_STREAM || (domain != AF_INET && domain != AF_INET6))
    return name + " is no listening TCP socket";
  ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  error_code ec;
  acceptor.assign(protocol_of(descriptor), descriptor, ec);
  tell_aborted(acceptor);
  return ec ? name + " cannot be used: " + ec.message() : "";
}

}  // namespace flintglade::http
