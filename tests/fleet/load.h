// Load generator: hundreds of clients on one thread, which send requests at a constant rate, and idle
// connections that never complete a request.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <list>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace flintglade::tests {

struct LoadOptions {
  double per_second = 60.0;
  double slow_fraction = 0.0;  // of the requests; these are written in pieces over slow_ms
  int slow_ms = 0;
  // Reuses connections, and opens a new one only if all are busy; false: one connection per request.
  bool keep_alive = false;
  std::size_t body_bytes = 2;
  int events = 0;  // expected in each response, numbered from 0; 0: not checked
};

// Results of the requests. Each request that was completely written counts in exactly one of the first five.
struct LoadResults {
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::uint64_t unaccepted = 0;  // connection refused, or closed before any byte of a response
  std::uint64_t lost = 0;        // no complete response in time, or the connection broke during it
  std::uint64_t malformed = 0;   // of those served: events missing, surplus or out of order
  std::uint64_t surplus = 0;     // responses followed by more bytes; counted in addition
  // Latencies of the first event, of requests served that were written in one piece.
  std::vector<double> first_ms;
  std::uint64_t requests() const { return served + refused + failed + unaccepted + lost; }
};

class Load {
 public:
  Load(unsigned short port, LoadOptions options, std::uint64_t seed);
  ~Load();
  // Opens connections that send only these bytes and stay open. If the router closes one, it is opened again
  // after reconnect_ms (0: never).
  void open_idle_connections(int connections, const std::string& bytes, int reconnect_ms);
  // Starts no more requests, and waits for the results of the pending ones.
  LoadResults finish();
  std::uint64_t requests() const { return requests_; }

 private:
  class Request;
  class IdleConnection;
  void schedule_next();

  boost::asio::io_context io_;
  boost::asio::ip::tcp::endpoint endpoint_;
  LoadOptions options_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::vector<std::shared_ptr<Request>> kept_connections_;
  std::list<std::shared_ptr<IdleConnection>> idle_connections_;
  LoadResults results_;
  std::atomic<std::uint64_t> requests_ = 0;
  std::uint64_t pending_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace flintglade::tests
