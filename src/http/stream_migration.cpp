#include "http/stream_migration.h"

#include <unistd.h>

namespace flintglade::http {

void StreamMigration::out(const Offer& offer) {
  for (const core::Broker::Running& r : broker_.running(core::Wire::http)) {
    hot_restart::Stream stream;
    const Descriptors fds{HttpServer::describe(*r.channel, stream), replicas_.describe(r.call, stream)};
    if (fds[0] < 0 || fds[1] < 0) continue;
    stream.set_trace_id(r.request->trace_id);
    stream.set_klass(r.request->klass);
    stream.set_tenant(r.request->tenant);
    stream.set_replica(r.replica);
    stream.set_came_us(r.came);
    stream.set_last_event_us(r.last_event);
    if (!offer(stream.SerializeAsString(), fds)) return;
    replicas_.moved_out(r.call);
    HttpServer::moved_out(*r.channel);
    broker_.moved_out(r);
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
  core::Broker::Running r;
  const auto request = std::make_shared<core::RpcRequest>();
  request->trace_id = stream.trace_id();
  request->klass = stream.klass();
  request->tenant = stream.tenant();
  r.request = request;
  r.replica = stream.replica();
  r.came = stream.came_us();
  r.last_event = stream.last_event_us();
  front_.move_in(client, stream, [&](std::shared_ptr<core::Channel> channel) {
    r.channel = std::move(channel);
    return r.id = broker_.moved_in(r);
  });
  if (r.id == 0) {
    ::close(replica);
    return;
  }
  replicas_.move_in({r.id, 0}, r.replica, replica, stream);
}

}  // namespace flintglade::http
