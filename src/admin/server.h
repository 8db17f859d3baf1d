// The operators' HTTP/1.1 endpoint, on its own address, with one request per connection. A few file
// descriptors are reserved for its connections, so that operators are answered even when clients use all
// others.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config/config.h"

namespace flintglade::admin {

struct Handlers {                      // produce the response bodies; called on the event loop
  std::function<bool()> ready;         // whether this process is ready to serve
  std::function<std::string()> state;  // the body of /_ready: a short description of that state
  std::function<std::string()> vars;   // the body of /_vars: the metrics as text
};

class Server {
 public:
  // Descriptors: those of the connections, the listener and a new connection. At the limit a new connection
  // evicts the oldest one that has not sent its request.
  static constexpr std::size_t kMaxConnections = 12, kDescriptors = kMaxConnections + 2;

  Server(boost::asio::io_context& io, Handlers handlers);
  ~Server();
  std::string listen(const config::HostPort& address);  // empty on success, else a one-line error
  std::uint16_t port() const { return port_; }

 private:
  class Connection;
  void accept();

  boost::asio::io_context& io_;
  Handlers handlers_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::list<std::shared_ptr<Connection>> connections_;  // the oldest first
  std::uint16_t port_ = 0;
};

}  // namespace flintglade::admin
