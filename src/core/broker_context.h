// The state shared by the handlers of the core. Owned by the Broker and borrowed by the handlers. Used on the
// core's thread only.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>

#include "core/actions.h"
#include "core/broker_settings.h"
#include "core/counters.h"
#include "core/endpoint_table.h"
#include "core/events.h"
#include "core/lifecycle.h"
#include "core/module_time.h"
#include "core/ports.h"
#include "core/request_table.h"
#include "core/timer_queue.h"
#include "flintglade/policy/balancer.h"

namespace flintglade::core {

struct BrokerContext {
  BrokerContext(const BrokerSettings& broker_settings, const policy::Settings& module_settings,
                std::uint64_t seed, Micros start)
      : settings(broker_settings),
        module(module_settings, seed, to_seconds(start)),
        now(start),
        endpoints(broker_settings.list_lag),
        lifecycle(settings),
        counters(module_settings.classes.size()) {}
  BrokerContext(const BrokerContext&) = delete;
  BrokerContext& operator=(const BrokerContext&) = delete;

  double now_seconds() const { return to_seconds(now); }
  ReplicaClient& replica_client(const RequestState& state) const {
    return *replica_clients[static_cast<std::size_t>(state.request->wire)];
  }
  void trace_event(const TraceEvent& event) const {
    if (trace) trace(event);
  }

  BrokerSettings settings;
  policy::Balancer module;  // the decision module
  Micros now;               // start time of the iteration
  RequestTable requests;
  EndpointTable endpoints;
  TimerQueue timers;
  Lifecycle lifecycle;
  std::deque<Event> events;            // for the next iteration; a deque grows without moving its elements
  std::size_t queued_event_bytes = 0;  // of the responses in them
  ActionCollector actions;             // requested by the module in this iteration
  Counters counters;
  std::array<ReplicaClient*, kWires> replica_clients{};  // borrowed; null until attached
  SharedStatePort* shared_state = nullptr;               // borrowed; null: nothing is shared
  TraceListener trace;                                   // empty: off
};

}  // namespace flintglade::core
