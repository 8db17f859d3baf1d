// Accepts clients' connections for gRPC, which bounds them by nothing, and hands on as many as may be open at
// once. One too many is closed there and then: a client that is left waiting in a backlog hangs.
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
  // hand_over takes the descriptor. Each open connection costs a second one, by which its end is seen.
  using HandOver = std::function<void(int fd)>;
  Connections(boost::asio::io_context& io, std::size_t most, HandOver hand_over);
  ~Connections();
  std::string listen(const config::HostPort& at, int& port);  // empty, or what is wrong
  void stop();
  void most(std::size_t n) { most_ = n; }  // for those that come
  std::size_t open() const { return seen_.size(); }
  std::uint64_t refused() const { return refused_; }

 private:
  void accept();
  void watch();
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer again_;
  // An epoll of its own holds the copies and wakes only at a connection's end: in the loop's, each packet
  // would.
  boost::asio::posix::stream_descriptor ends_;
  std::size_t most_;
  HandOver hand_over_;
  std::unordered_set<int> seen_;  // copies of the descriptors that gRPC has
  std::uint64_t refused_ = 0;
};

}  // namespace flintglade::kserve
