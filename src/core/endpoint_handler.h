// Applies each change of the endpoint list to the endpoint table, the replica clients, the router's phase and
// the decision module, in this order. Used on the core's thread only.
#pragma once

#include "core/broker_context.h"

namespace flintglade::core {

class EndpointHandler {
 public:
  explicit EndpointHandler(BrokerContext& context) : context_(context) {}

  void handle(EndpointListUpdate& update);
  void handle(const HealthWarning& event);
  // Applies an entry that was deferred as stale, unless its replica's retirement has ended or started anew in
  // the meantime.
  void handle_expired(StaleEntryExpiry& timer);
  // See Broker::adopt.
  void restore(ProcessSnapshot snapshot, bool same_list);

 private:
  void count_and_trace(const EndpointListUpdate& update);
  void defer_stale_entries(EndpointListUpdate& update);
  void update_replica_clients(const Endpoint& endpoint);
  void serve_if_ready();

  BrokerContext& context_;
};

}  // namespace flintglade::core
