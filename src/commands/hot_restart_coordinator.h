// Hot restart of a router: connects the process slots, the descriptor passing and the snapshot file with the
// core and the HTTP side. What each process may hold is decided by hot_restart/limit_partition, and which
// streams can migrate by http::StreamMigration. One thread, the loop's.
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
  // For a process that has a slot.
  HotRestartCoordinator(boost::asio::io_context& io, core::Clock& clock, core::Broker& broker,
                        http::HttpServer& front, http::HttpReplicaClient& replicas,
                        hot_restart::ProcessSlots& slots, const config::Config& config);

  void start();
  // On SIGTERM: leaves a snapshot and begins to migrate streams to the process that serves from now on.
  // False: there is none.
  bool hand_over();
  // Migrates the streams that can go now. Once an iteration, when no handler of the loop waits to run.
  void migrate_streams();
  // The endpoint list comes from there from now on.
  void set_discovery(const config::HostPort& at) { origin_.discovery = config::host_port(at.host, at.port); }

 private:
  void watch_changes();
  void on_changes(std::size_t bytes);
  void save_snapshot();
  void restore_snapshot();
  void wake_regularly();

  core::Clock& clock_;
  core::Broker& broker_;
  http::HttpServer& front_;
  hot_restart::ProcessSlots& process_slots_;
  const std::string folder_;
  hot_restart::Origin origin_;
  http::StreamMigration stream_migration_;
  hot_restart::DescriptorPassing descriptor_passing_;
  hot_restart::SnapshotFile snapshot_file_;
  std::uint64_t saved_for_ =
      0;  // the join order of the newest starting process that a snapshot was saved for
  std::optional<std::size_t> successor_;  // the slot of the process that our streams go to
  boost::asio::steady_timer wake_timer_;
  boost::asio::posix::stream_descriptor changes_;
  std::array<char, 4096> change_events_{};
};

}  // namespace flintglade::commands
