#include "http/stream_migration.h"

#include <unistd.h>

namespace flintglade::http {

void StreamMigration::out(const Offer& offer) {
  for (const core::Broker::MigratableStream& r : broker_.migratable_streams(core::Wire::http)) {
    hot_restart::Stream stream;
    const Descriptors fds{HttpServer::describe(*r.response_writer, stream),
                          replicas_.describe(r.attempt, stream)};
    if (fds[0] < 0 || fds[1] < 0) continue;
    stream.set_trace_id(r.request->trace_id);
    stream.set_klass(r.request->request_class);
    stream.set_tenant(r.request->tenant);
    stream.set_replica(r.replica);
    stream.set_came_us(r.received_at);
    stream.set_last_event_us(r.last_event_at);
    if (!offer(stream.SerializeAsString(), fds)) return;
    replicas_.migrated_out(r.attempt);
    HttpServer::migrated_out(*r.response_writer);
    broker_.migrated_out(r);
  }
}

void StreamMigration::in(std::string_view bytes, Descriptors descriptors) {
  const auto [client, replica] = descriptors;
  hot_restart::Stream stream;
  if (!stream.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || stream.trace_id().empty()) {
    ::close(client);
    ::close(replica);
    return;
  }
  core::Broker::MigratableStream r;
  const auto request = std::make_shared<core::Request>();
  request->trace_id = stream.trace_id();
  request->request_class = stream.klass();
  request->tenant = stream.tenant();
  r.request = request;
  r.replica = stream.replica();
  r.received_at = stream.came_us();
  r.last_event_at = stream.last_event_us();
  front_.migrate_in(client, stream, [&](std::shared_ptr<core::ResponseWriter> response_writer) {
    r.response_writer = std::move(response_writer);
    return r.id = broker_.migrated_in(r);
  });
  if (r.id == 0) {
    ::close(replica);
    return;
  }
  replicas_.migrate_in({r.id, 0}, r.replica, replica, stream);
}

}  // namespace flintglade::http
