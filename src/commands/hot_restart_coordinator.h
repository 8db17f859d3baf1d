// Hot restart of a router: connects the process slots, descriptor passing and the snapshot file with the core
// and the HTTP server and client. hot_restart/limit_partition decides how many descriptors and how much
// memory each process may use; http::StreamMigration decides which streams can migrate. Used on the event
// loop's thread only.
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
  // `slots` must have a slot for this process.
  HotRestartCoordinator(boost::asio::io_context& io, core::Clock& clock, core::Broker& broker,
                        http::HttpServer& http_server, http::HttpReplicaClient& replica_client,
                        hot_restart::ProcessSlots& slots, const config::Config& config);

  void start();
  // Called on SIGTERM: saves a snapshot and starts to migrate streams to the process that has taken over.
  // Returns false if there is no such process.
  bool start_handover();
  // Migrates the streams that can migrate now. Called once per event loop iteration, when no handler is ready
  // to run.
  void migrate_streams();
  // The endpoint list is read from this address from now on.
  void set_discovery(const config::HostPort& address) {
    origin_.discovery = config::host_port(address.host, address.port);
  }

 private:
  void watch_changes();
  void on_changes(std::size_t bytes);
  void save_snapshot();
  void restore_snapshot();
  void schedule_wakeup();

  core::Clock& clock_;
  core::Broker& broker_;
  http::HttpServer& http_server_;
  hot_restart::ProcessSlots& process_slots_;
  const std::string directory_;
  hot_restart::Origin origin_;
  http::StreamMigration stream_migration_;
  hot_restart::DescriptorPassing descriptor_passing_;
  hot_restart::SnapshotFile snapshot_file_;
  // Join order of the newest starting process that a snapshot was saved for.
  std::uint64_t newest_saved_for_ = 0;
  std::optional<std::size_t> successor_;  // slot of the process that streams migrate to
  boost::asio::steady_timer wake_timer_;
  boost::asio::posix::stream_descriptor changes_;
  std::array<char, 4096> change_events_{};
};

}  // namespace flintglade::commands
