// Runs an Agent: a thread of its own with one UDP socket, a timer and, for a voter, its disk, since votes
// have to be on stable storage before they are given. The serving loop is never waited for, and never waits.
#pragma once

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "config/config.h"
#include "coordination/coordination_protocol.h"

namespace flintglade::coordination {

class CoordinationRuntime {
 public:
  // Its clock, which runs while the machine sleeps, too: a lease ends on all clocks.
  static Micros now();
  struct Settings {
    CoordinationSettings agent;
    config::HostPort listen;
    std::uint64_t voter_id = 0;  // 0: no voter
    std::string directory;       // of a voter
    std::uint64_t seed = 0;
    Companion* companion = nullptr;  // borrowed; on the member's thread alone
  };
  using OnWord = std::function<void(const CoordinationProtocol::Word&)>;  // on the member's thread

  CoordinationRuntime(Settings settings, OnWord on_word);
  ~CoordinationRuntime();  // without a good-bye, unless leave() came first
  CoordinationRuntime(const CoordinationRuntime&) = delete;
  CoordinationRuntime& operator=(const CoordinationRuntime&) = delete;

  void start();
  // Gives up the jobs and says good-bye, in half a second at the most; then done is called on the member's
  // thread.
  void leave(std::function<void()> done);
  // From any thread. Nothing is written without a proved lease.
  void effect(Effect effect, std::string site, std::string to = "");
  void want(std::string job, std::uint32_t rev);
  // On the member's thread; dropped while the agent is not there yet.
  void with_protocol(std::function<void(Micros, CoordinationProtocol&)> what);

 private:
  bool open();
  void wait();
  void read();
  void run_iteration();
  void arm();
  absl::Status start_voting();

  Settings settings_;
  OnWord on_word_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_, again_;
  std::string buffer_;
  std::unique_ptr<FileRaftStorage> storage_;
  std::unique_ptr<CoordinationProtocol> agent_;
  std::function<void()> left_;
  bool told_ = false;
  std::thread thread_;
};

}  // namespace flintglade::coordination
