// Runs a CoordinationProtocol on a thread of its own with a UDP socket, a timer and, for a voter, its
// storage. The thread is separate because a vote must be on stable storage before it is sent, and the thread
// that serves requests must never wait for that.
//
// Public functions may be called from any thread; callbacks run on this object's thread.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "absl/status/status.h"
#include "config/config.h"
#include "coordination/coordination_protocol.h"
#include "coordination/raft_storage.h"

namespace flintglade::coordination {

class CoordinationRuntime {
 public:
  // The clock of all coordination code, in microseconds. It also runs while the machine sleeps, since leases
  // expire at the other routers meanwhile.
  static Micros now();

  struct Settings {
    CoordinationSettings protocol;
    config::HostPort listen;
    std::uint64_t voter_id = 0;  // 0 if this router is not a voter
    std::string directory;       // of the voter's files
    std::uint64_t seed = 0;
    ProtocolExtension* extension = nullptr;  // not owned; used on this object's thread only
  };
  using NotificationCallback = std::function<void(const JobNotification&)>;

  CoordinationRuntime(Settings settings, NotificationCallback on_notification);
  // Ends the thread. The other routers are notified only if leave() was called before.
  ~CoordinationRuntime();
  CoordinationRuntime(const CoordinationRuntime&) = delete;
  CoordinationRuntime& operator=(const CoordinationRuntime&) = delete;

  void start();
  // Releases this router's leases and notifies the other routers, within half a second at most; then calls
  // `done`.
  void leave(std::function<void()> done);
  // Calls the CoordinationProtocol function of the same name; ignored until the socket is open.
  void send_effect(Effect effect, std::string site, std::string address = "");
  void request_list(std::string job, std::uint32_t revision);
  // Calls `action` on this object's thread; ignored until the socket is open.
  void with_protocol(std::function<void(Micros, CoordinationProtocol&)> action);

 private:
  void open();
  boost::system::error_code bind_socket();
  void retry_open(boost::system::error_code error);
  void start_protocol();
  absl::Status start_voting();
  void log_start_of_voting(const absl::Status& status);

  void wait_for_datagrams();
  void read_datagrams();
  void run_iteration();
  void deliver_notifications();
  void send_datagrams();
  void arm_timer();

  Settings settings_;
  NotificationCallback on_notification_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_, open_retry_timer_;
  std::string buffer_;
  std::unique_ptr<FileRaftStorage> storage_;
  std::unique_ptr<CoordinationProtocol> protocol_;  // null until the socket is open
  std::function<void()> on_left_;                   // set by leave()
  bool is_open_failure_logged_ = false;
  std::thread thread_;
};

}  // namespace flintglade::coordination
