#include "http/stream_migration.h"

#include <unistd.h>

namespace flintglade::http {

void StreamMigration::migrate_out(const Offer& offer) {
  for (const core::Broker::MigratableStream& migratable : broker_.migratable_streams(core::Wire::http)) {
    hot_restart::Stream stream;
    const Descriptors fds{HttpServer::export_stream(*migratable.response_writer, stream),
                          replicas_.export_stream(migratable.attempt, stream)};
    if (fds[0] < 0 || fds[1] < 0) continue;
    stream.set_trace_id(migratable.request->trace_id);
    stream.set_klass(migratable.request->request_class);
    stream.set_tenant(migratable.request->tenant);
    stream.set_replica(migratable.replica);
    stream.set_came_us(migratable.received_at);
    stream.set_last_event_us(migratable.last_event_at);
    if (!offer(stream.SerializeAsString(), fds)) return;
    replicas_.migrated_out(migratable.attempt);
    HttpServer::migrated_out(*migratable.response_writer);
    broker_.migrated_out(migratable);
  }
}

void StreamMigration::migrate_in(std::string_view bytes, Descriptors descriptors) {
  const auto [client, replica] = descriptors;
  hot_restart::Stream stream;
  if (!stream.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || stream.trace_id().empty()) {
    ::close(client);
    ::close(replica);
    return;
  }
  core::Broker::MigratableStream migratable;
  const auto request = std::make_shared<core::Request>();
  request->trace_id = stream.trace_id();
  request->request_class = stream.klass();
  request->tenant = stream.tenant();
  migratable.request = request;
  migratable.replica = stream.replica();
  migratable.received_at = stream.came_us();
  migratable.last_event_at = stream.last_event_us();
  server_.migrate_in(client, stream, [&](std::shared_ptr<core::ResponseWriter> response_writer) {
    migratable.response_writer = std::move(response_writer);
    return migratable.id = broker_.migrated_in(migratable);
  });
  if (migratable.id == 0) {
    ::close(replica);
    return;
  }
  replicas_.migrate_in({migratable.id, 0}, migratable.replica, replica, stream);
}

}  // namespace flintglade::http
