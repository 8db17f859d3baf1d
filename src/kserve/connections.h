// Accepts client connections on behalf of gRPC, which has no limit on open connections, and passes them to
// gRPC up to a limit. A connection above the limit is closed at once: a client left in the accept queue would
// hang.
#pragma once

#include <boost/asio.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>

#include "config/config.h"

namespace flintglade::kserve {

class Connections {
 public:
  // on_accept takes ownership of the descriptor. Each open connection uses a second, duplicated descriptor,
  // on which its end is detected.
  using AcceptHandler = std::function<void(int fd)>;
  Connections(boost::asio::io_context& io, std::size_t max_open, AcceptHandler on_accept);
  ~Connections();
  std::string listen(const config::HostPort& address, int& port);  // empty on success, else the error
  void stop();
  void set_max_open(std::size_t max_open) { max_open_ = max_open; }  // applies to new connections only
  std::size_t open() const { return watched_.size(); }
  std::uint64_t refused() const { return refused_; }

 private:
  void accept();
  void watch_ends();
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  // A separate epoll set holds the duplicated descriptors and becomes readable only when a connection ends:
  // in the event loop's own set, each packet would wake the loop.
  boost::asio::posix::stream_descriptor ends_epoll_;
  std::size_t max_open_;
  AcceptHandler on_accept_;
  std::unordered_set<int> watched_;  // duplicates of the descriptors that gRPC owns
  std::uint64_t refused_ = 0;
};

}  // namespace flintglade::kserve
