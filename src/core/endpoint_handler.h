// Carries each change of the endpoint list to whoever has to know it: the endpoint table, the replica
// clients, the router's phase and the decision module, in this order. On the core's thread only.
#pragma once

#include "core/broker_context.h"

namespace flintglade::core {

class EndpointHandler {
 public:
  explicit EndpointHandler(BrokerContext& context) : context_(context) {}

  void handle(EndpointListUpdate& update);
  void handle(const HealthWarning& event);
  // An entry that was put aside as stale is believed by now, unless its replica's retirement has ended
  // meanwhile.
  void handle_expired(StaleEntryExpiry& timer);
  // See Broker::adopt.
  void restore(ProcessSnapshot snapshot, bool same_list);

 private:
  void count_and_trace(const EndpointListUpdate& update);
  void put_stale_entries_aside(EndpointListUpdate& update);
  void update_replica_clients(const Endpoint& endpoint);
  void serve_if_ready();

  BrokerContext& context_;
};

}  // namespace flintglade::core
