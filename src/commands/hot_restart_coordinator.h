// How one process of a router follows another: wires seats, passage and shelf to the core and the HTTP side.
// What each process may hold, and when anything goes, is decided by handover and http::Moves.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <optional>
#include <string>

#include "config/config.h"
#include "core/broker.h"
#include "hot_restart/descriptor_passing.h"
#include "hot_restart/process_slots.h"
#include "hot_restart/snapshot.h"
#include "hot_restart/snapshot_file.h"
#include "http/replica_client.h"
#include "http/server.h"
#include "http/stream_migration.h"

namespace flintglade::commands {

class HotRestartCoordinator {
 public:
  // For a process that has a seat.
  HotRestartCoordinator(boost::asio::io_context& io, core::Clock& clock, core::Broker& broker,
                        http::HttpServer& front, http::HttpReplicaClient& replicas,
                        hot_restart::ProcessSlots& seats, const config::Config& config);

  void start();
  // SIGTERM: what is known and the answers that run go to the process that serves from now on. False: there
  // is none.
  bool hand_over();
  // Once a turn, when no handler of the loop waits to run.
  void idle();
  void discovery(const config::HostPort& at) { origin_.discovery = config::host_port(at.host, at.port); }

 private:
  void watch();
  void seats_changed(std::size_t bytes);
  void leave_state();
  void take_state();
  void keep_moving();

  core::Clock& clock_;
  core::Broker& broker_;
  http::HttpServer& front_;
  hot_restart::ProcessSlots& process_slots_;
  const std::string folder_;
  hot_restart::Origin origin_;
  http::StreamMigration stream_migration_;
  hot_restart::DescriptorPassing descriptor_passing_;
  hot_restart::SnapshotFile snapshot_file_;
  std::uint64_t left_for_ = 0;            // the newest of those that start and have been left what we know
  std::optional<std::size_t> successor_;  // the seat of the process that gets our answers
  boost::asio::steady_timer again_;
  boost::asio::posix::stream_descriptor changes_;
  std::array<char, 4096> events_{};
};

}  // namespace flintglade::commands
