// Clients by the hundreds on one thread: true requests at a steady pace, and such as never finish one.
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
  double slow_part = 0.0;  // of the requests, written in pieces over slow_ms
  int slow_ms = 0;
  bool keep = false;     // on kept connections, a new one when all are busy; else a new one each
  std::size_t body = 2;  // bytes
  int events = 0;        // of each whole answer, numbered from 0; 0: not looked at
};

// How requests ended. Each that was written whole is in exactly one of the first five.
struct LoadResults {
  std::uint64_t served = 0, refused = 0, failed = 0;
  std::uint64_t door = 0;        // its connection was refused or closed without a byte of an answer
  std::uint64_t lost = 0;        // no final answer in time, or a broken one
  std::uint64_t torn = 0;        // beside that: served, and not just its events in their order
  std::uint64_t twice = 0;       // beside that: more came than one answer
  std::vector<double> first_ms;  // to the first event, of those served that were written in one piece
  std::uint64_t requests() const { return served + refused + failed + door + lost; }
};

class Load {
 public:
  Load(unsigned short port, LoadOptions pace, std::uint64_t seed);
  ~Load();
  // Connections that send just this and stay; one that is closed on comes again after again_ms (0: never).
  void crowd(int connections, const std::string& bytes, int again_ms);
  // No more requests; waits for the ends of those that are out.
  LoadResults finish();
  std::uint64_t requests() const { return asked_; }

 private:
  class Request;
  class Idler;
  void next();

  boost::asio::io_context io_;
  boost::asio::ip::tcp::endpoint to_;
  LoadOptions pace_;
  std::mt19937_64 random_;
  boost::asio::steady_timer timer_;
  std::vector<std::shared_ptr<Request>> kept_;
  std::list<std::shared_ptr<Idler>> idlers_;
  LoadResults ends_;
  std::atomic<std::uint64_t> asked_ = 0;
  std::uint64_t open_ = 0;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace flintglade::tests
