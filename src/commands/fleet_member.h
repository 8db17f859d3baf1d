// This router's part in its fleet: wires the member's thread, its jobs and the core together. Who does what
// is decided by coordination::CoordinationProtocol and coordination::SharedEndpointList.
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
  // watch is borrowed. Nothing is sent before start().
  FleetMember(boost::asio::io_context& io, core::Clock& clock, discovery::Watch& watch,
              const deploy::Fleet& file, const config::Config& config);

  // What the core asks for its list: the watch, or what one router of the site reads for all.
  core::EndpointList& list();
  // core: budgets are asked there, and what is heard of replicas is told there.
  void start(core::Broker& core);
  void moved(const config::HostPort& discovery);
  // Gives up this router's jobs and says good-bye. It takes half a second at the most, on the member's
  // thread; the core goes on meanwhile.
  void leave();

 private:
  void take(const coordination::JobNotification& notification);
  void arm();

  boost::asio::io_context& io_;
  core::Clock& clock_;
  discovery::Watch& watch_;
  const std::string job_, site_;
  std::optional<coordination::SharedEndpointList> shared_;
  coordination::CoordinationRuntime::Settings settings_;
  std::unique_ptr<SharedStateBridge> shares_;
  boost::asio::steady_timer alarm_;
  coordination::CoordinationRuntime member_;  // last: its thread ends before what it posts to
};

}  // namespace flintglade::commands
