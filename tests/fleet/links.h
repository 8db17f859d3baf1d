// A simulated network between the routers of a fleet, on loopback, with a link for each pair. Each router
// advertises the address of a socket of this object. A datagram that arrives there is forwarded to the port
// on which the router really listens, from the socket of the router that sent it.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <deque>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace flintglade::tests {

struct Link {
  bool cut = false;
  double loss = 0.0, duplication = 0.0;  // fractions of the datagrams
  int delay_ms = 0, jitter_ms = 0;       // jitter reorders datagrams
};

class Links {
 public:
  Links(std::size_t routers, std::uint64_t seed);
  ~Links();
  std::string advertised_address(std::size_t router) const;
  // The port on which the router itself listens; 0: none.
  void set_listen_port(std::size_t router, unsigned short port);
  void set(std::size_t from, std::size_t to, const Link& link);
  // Sets all links between two groups, in both directions or from the first to the second only.
  void between(const std::vector<std::size_t>& first, const std::vector<std::size_t>& second,
               const Link& link, bool both = true);
  void all(const Link& link);
  std::uint64_t forwarded_datagrams() const;

 private:
  struct Router;
  void read(std::size_t to);
  void read_command_replies();
  void forward(std::size_t from, std::size_t to, std::string bytes);

  boost::asio::io_context io_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::unique_ptr<Router> command_side_;             // forwards the datagrams of commands
  boost::asio::ip::udp::endpoint command_endpoint_;  // of the last command that sent a datagram
  std::vector<std::vector<Link>> links_;
  std::mt19937_64 random_;
  std::uint64_t forwarded_ = 0;
  std::thread thread_;
};

}  // namespace flintglade::tests
