// The network between routers of a fleet: a stand-in for each pair's link, on loopback. A router is reached
// at the address that it advertises, which is ours; what comes there goes on to where it really listens, from
// the address that stands for its sender.
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
  double loss = 0.0, twice = 0.0;   // parts of the datagrams
  int delay_ms = 0, jitter_ms = 0;  // jitter reorders
};

class Links {
 public:
  Links(std::size_t routers, std::uint64_t seed);
  ~Links();
  std::string at(std::size_t router) const;            // what it advertises
  void real(std::size_t router, unsigned short port);  // where it listens
  void set(std::size_t from, std::size_t to, const Link& link);
  // All links between the two groups, both ways or from the first to the second only.
  void between(const std::vector<std::size_t>& some, const std::vector<std::size_t>& others, const Link& link,
               bool both = true);
  void all(const Link& link);
  std::uint64_t passed() const;

 private:
  struct Router;
  void read(std::size_t to);
  void read_operator();
  void forward(std::size_t from, std::size_t to, std::string bytes);

  boost::asio::io_context io_;
  mutable std::mutex mutex_;
  std::vector<std::unique_ptr<Router>> routers_;
  std::unique_ptr<Router> operator_;  // whoever else asks a router; `from` is where it last was
  boost::asio::ip::udp::endpoint asker_;
  std::vector<std::vector<Link>> links_;
  std::mt19937_64 random_;
  std::uint64_t passed_ = 0;
  std::thread thread_;
};

}  // namespace flintglade::tests
