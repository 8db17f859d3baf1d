// Connects this router's core with its fleet: with the coordination runtime's thread, the jobs and the shared
// state. Which router owns which job is decided by coordination::CoordinationProtocol; how the endpoint list
// is read and passed on, by coordination::SharedEndpointList.
#pragma once

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "commands/shared_state_bridge.h"
#include "config/config.h"
#include "coordination/coordination_runtime.h"
#include "coordination/shared_endpoint_list.h"
#include "discovery/watch.h"
#include "operator.pb.h"

namespace flintglade::commands {

class FleetMember {
 public:
  // `watch` is not owned and must outlive this object. Nothing is sent before start().
  FleetMember(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
              const deploy::Fleet& fleet, const config::Config& config);

  // The source of the core's endpoint list: the watch, or the list that one router per site reads for all.
  core::EndpointList& endpoint_list();
  // Starts the coordination runtime and connects the shared state with `core`: the core then checks quotas
  // against it and receives health warnings about replicas from it.
  void start(core::Broker& core);
  // The endpoint list is read from this address from now on.
  void set_discovery(const config::HostPort& discovery);
  // Releases this router's leases and notifies the other routers. Takes half a second at most, on the
  // runtime's thread; the core continues to run meanwhile.
  void leave();

 private:
  void on_notification(const coordination::JobNotification& notification);
  void arm_timer();

  boost::asio::io_context& io_;
  core::Clock& clock_;
  discovery::Watch& watch_;
  const std::string job_, site_;
  std::optional<coordination::SharedEndpointList> shared_list_;
  coordination::CoordinationRuntime::Settings settings_;
  std::unique_ptr<SharedStateBridge> shared_state_;
  boost::asio::steady_timer timer_;
  // The last member, so that its thread ends before the members that its callbacks use are destroyed.
  coordination::CoordinationRuntime runtime_;
};

}  // namespace flintglade::commands
