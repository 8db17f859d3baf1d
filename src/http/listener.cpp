#include "http/listener.h"

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace flintglade::http {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// Makes accept report a connection that was aborted in the queue as an error. Without the option, Asio waits
// for the next incoming connection instead, and connections that are already queued wait with it.
void report_aborted_connections(tcp::acceptor& acceptor) {
  error_code ignored;
  acceptor.set_option(boost::asio::socket_base::enable_connection_aborted(true), ignored);
}

}  // namespace

std::string listen(tcp::acceptor& acceptor, const config::HostPort& address) {
  error_code ec;
  const auto ip_address = boost::asio::ip::make_address(address.host, ec);
  const tcp::endpoint endpoint(ip_address, address.port);
  if (!ec) acceptor.open(endpoint.protocol(), ec);
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  if (!ec) acceptor.listen(tcp::acceptor::max_listen_connections, ec);
  report_aborted_connections(acceptor);
  if (ec) return "cannot listen on " + config::host_port(address.host, address.port) + ": " + ec.message();
  return "";
}

tcp protocol_of(int descriptor) {
  int domain = 0;
  socklen_t size = sizeof domain;
  ::getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size);
  return domain == AF_INET6 ? tcp::v6() : tcp::v4();
}

void release_and_close(tcp::socket& socket) {
  error_code ec;
  const int descriptor = socket.release(ec);  // removes it from the epoll set
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
    return name + " is not a listening TCP socket";
  ::fcntl(descriptor, F_SETFD, FD_CLOEXEC);
  error_code ec;
  acceptor.assign(protocol_of(descriptor), descriptor, ec);
  report_aborted_connections(acceptor);
  return ec ? name + " cannot be used for accepting connections: " + ec.message() : "";
}

}  // namespace flintglade::http
