// Port: service discovery, which supplies the list of model replicas. Updates arrive through
// Broker::on_endpoint_list_update. Called on the core's thread only.
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
  // Replicas whose entries in the update could not be parsed: their previous entries stay in force.
  std::vector<ReplicaId> unreadable;
};

class EndpointList {
 public:
  virtual ~EndpointList() = default;
  // Starts or ends the subscription to updates. Subscribing again while subscribed requests the list again,
  // unless a request for it still waits for its answer.
  virtual void subscribe(bool on) = 0;
};

}  // namespace flintglade::core
