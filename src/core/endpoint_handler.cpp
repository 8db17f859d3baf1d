#include "core/endpoint_handler.h"

#include <array>
#include <utility>
#include <vector>

namespace flintglade::core {

using policy::Health;
using policy::ListKind;

namespace {

// Names in the log, indexed by ListKind.
constexpr std::array<const char*, 4> kListKindNames = {"changes", "known", "whole", "failed"};

}  // namespace

void EndpointHandler::handle(EndpointListUpdate& update) {
  count_and_trace(update);
  context_.endpoints.record_update(update);
  context_.endpoints.append_missing(update);
  defer_stale_entries(update);
  policy::EndpointListChange change;
  change.kind = update.kind;
  change.version = update.version;
  for (const Endpoint& entry : update.entries) {
    change.replicas.push_back(entry.replica);
    context_.endpoints.store(entry, update.version, context_.now);
    update_replica_clients(entry);
  }
  serve_if_ready();
  context_.module.on_endpoint_list(context_.now_seconds(), change, context_.actions);
}

void EndpointHandler::handle(const HealthWarning& event) {
  context_.module.on_health_warning(context_.now_seconds(), event.replica, to_seconds(event.duration));
}

void EndpointHandler::handle_expired(StaleEntryExpiry& timer) {
  const Retirement* retirement = context_.endpoints.find_retirement(timer.entry.replica.id);
  if (retirement == nullptr || retirement->since != timer.retired_since) return;
  EndpointListUpdate update;
  update.kind = ListKind::delta;
  update.version = timer.version;
  update.entries.push_back(std::move(timer.entry));
  handle(update);
}

void EndpointHandler::restore(ProcessSnapshot snapshot, bool same_list) {
  EndpointTable& endpoints = context_.endpoints;
  ++context_.counters.snapshots_restored;
  const bool own_list_prevails = same_list ? snapshot.version <= endpoints.version() : endpoints.has_list();
  endpoints.record_restored_list();
  for (const ProcessSnapshot::RetiredReplica& retired : snapshot.retired) {
    if (!endpoints.merge_retirement(retired, own_list_prevails)) continue;
    const Endpoint* endpoint = endpoints.find(retired.replica);
    if (endpoint != nullptr) update_replica_clients(*endpoint);
  }
  if (!own_list_prevails) {
    EndpointListUpdate update;
    update.kind = ListKind::cached;  // not from this process's subscription: the module still subscribes
    update.version = snapshot.version;
    update.entries = std::move(snapshot.entries);
    handle(update);
  }
  serve_if_ready();
  context_.module.adopt(context_.now_seconds(), std::move(snapshot.learned), context_.actions);
}

void EndpointHandler::count_and_trace(const EndpointListUpdate& update) {
  if (update.kind == ListKind::failed) {
    ++context_.counters.list_failures;
  } else {
    ++context_.counters.list_updates;
  }
  context_.trace_event({.kind = TraceEvent::Kind::endpoint_list_update,
                        .detail = kListKindNames[static_cast<std::size_t>(update.kind)],
                        .entries = update.entries.size()});
}

void EndpointHandler::defer_stale_entries(EndpointListUpdate& update) {
  std::erase_if(update.entries, [&](const Endpoint& entry) {
    const Retirement* retirement =
        context_.endpoints.contradicting_retirement(entry, update.version, context_.now);
    if (retirement == nullptr) return false;
    context_.timers.set(retirement->since + context_.settings.list_lag,
                        StaleEntryExpiry{entry, update.version, retirement->since});
    return true;
  });
}

void EndpointHandler::update_replica_clients(const Endpoint& endpoint) {
  const Micros no_new_after =
      context_.endpoints.no_new_after(endpoint.replica.id, context_.settings.drain_grace);
  for (ReplicaClient* client : context_.replica_clients) {
    if (client != nullptr) client->update_endpoint(endpoint, no_new_after);
  }
}

void EndpointHandler::serve_if_ready() {
  if (context_.endpoints.has_discovery_result() && context_.endpoints.count(Health::ready) > 0)
    context_.lifecycle.serve();
}

}  // namespace flintglade::core
