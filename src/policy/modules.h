// The components of one Balancer and their shared state, in order of construction: each component gets
// references to those declared before it. Not thread-safe; times are seconds.
#pragma once

#include <cstdint>
#include <utility>

#include "policy/admission.h"
#include "policy/endpoint_list_polling.h"
#include "policy/fleet_monitor.h"
#include "policy/fleet_summary.h"
#include "policy/hedging.h"
#include "policy/hot_prefixes.h"
#include "policy/learned_state.h"
#include "policy/outlier_detection.h"
#include "policy/replica_capacity.h"
#include "policy/replica_load.h"
#include "policy/replica_picker.h"
#include "policy/replica_table.h"
#include "policy/request_work.h"
#include "policy/retry_budget.h"
#include "policy/settings_validation.h"
#include "policy/slow_start.h"
#include "policy/statistics.h"
#include "policy/tenant_quotas.h"
#include "policy/time_windows.h"
#include "policy/zone_preference.h"

namespace flintglade::policy {

// The time and the sink of one event. The sink is borrowed for the duration of the event.
struct EventContext {
  double now;  // never earlier than at the previous event
  ActionSink& sink;
};

struct Modules {
  Modules(Settings unchecked_settings, std::uint64_t seed, double now)
      : settings(clamped_settings(std::move(unchecked_settings))),
        random{seed},
        windows(time_windows(settings)),
        quotas(settings, learned, windows.load_s, now) {
    learned.started_at = now;
  }
  Modules(const Modules&) = delete;
  Modules& operator=(const Modules&) = delete;

  // Shared state.
  const Settings settings;
  RandomState random;
  const TimeWindows windows;
  LearnedState learned;
  FleetSummary fleet;
  ReplicaTable replicas;

  // Requests.
  RequestWork work{learned, windows.load_s};
  TenantQuotas quotas;
  Admission admission{settings, learned, windows.load_s};
  RetryBudget retry_budget{learned};
  Hedging hedging{settings, learned, admission};

  // Replicas.
  EndpointListPolling list_polling{settings, random};
  ReplicaCapacity capacity{settings, replicas, learned};
  ReplicaLoad load{replicas, learned, capacity, fleet, windows.load_s};
  OutlierDetection outliers{replicas, learned, fleet, random, windows.longest_hard_limit_s};
  SlowStart slow_start{settings, replicas, learned, capacity, work, fleet, random};
  FleetMonitor fleet_monitor{settings, replicas,   learned, capacity,      load,
                             outliers, slow_start, fleet,   windows.load_s};

  // Placement.
  ZonePreference zones{settings, learned};
  HotPrefixes hot_prefixes{learned, fleet, zones, random, windows.load_s};
  ReplicaPicker picker{settings, replicas, capacity, load, outliers, slow_start, zones};
};

}  // namespace flintglade::policy
