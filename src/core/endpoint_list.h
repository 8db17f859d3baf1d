// Port: service discovery, which brings the list of model replicas. Updates come in by
// Broker::on_endpoint_list_update; called on the core's thread only.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/ids.h"
#include "flintglade/policy/balancer.h"

namespace flintglade::core {

struct Endpoint {
  policy::Replica replica;
  std::string address;  // host:port
};

// One message from service discovery.
struct EndpointListUpdate {
  policy::ListKind kind = policy::ListKind::failed;
  std::uint32_t version = 0;  // of the list after the update; unused where kind is failed
  std::vector<Endpoint> entries;
  // Named in the update, but by an entry that could not be read: what is held of them stays in force.
  std::vector<ReplicaId> unreadable;
};

class EndpointList {
 public:
  virtual ~EndpointList() = default;
  // Asks for updates, or no longer. Asking again while subscribed means that the list is wanted anew.
  virtual void subscribe(bool on) = 0;
};

}  // namespace flintglade::core
