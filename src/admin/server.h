// Where operators call: HTTP/1.1, one call to a connection, on an address of its own. Its callers have a
// small share of the descriptors that nobody else may use, and are answered whatever the clients' side does.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "config/config.h"

namespace flintglade::admin {

struct Calls {                         // what the answers are made of; called on the loop
  std::function<bool()> ready;         // whether this process is ready to serve
  std::function<std::string()> state;  // a word or two beside it
  std::function<std::string()> vars;   // the figures, as text
};

class Server {
 public:
  // Descriptors: so many callers, and the listener. Beyond them the longest silent one gives way.
  static constexpr std::size_t kCallers = 12, kDescriptors = kCallers + 2;

  Server(boost::asio::io_context& io, Calls calls);
  ~Server();
  std::string listen(const config::HostPort& at);  // empty, or one line that says what is wrong
  std::uint16_t port() const { return port_; }

 private:
  class Call;
  void accept();

  boost::asio::io_context& io_;
  Calls calls_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer again_;
  std::list<std::shared_ptr<Call>> open_;  // the one that came first is first
  std::uint16_t port_ = 0;
};

}  // namespace flintglade::admin
