// Stream migration: moves unfinished streaming responses from one process of a router to another, with the
// client connection, the replica connection and the state of both.
#pragma once

#include <array>
#include <functional>
#include <string_view>

#include "core/broker.h"
#include "http/replica_client.h"
#include "http/server.h"

namespace flintglade::http {

class StreamMigration {
 public:
  using Descriptors = std::array<int, 2>;  // client connection, replica connection
  // Offers one response to another process. Returns true if that process has received it, with copies of both
  // descriptors.
  using Offer = std::function<bool(std::string_view bytes, Descriptors descriptors)>;

  StreamMigration(core::Broker& broker, HttpServer& server, HttpReplicaClient& replicas)
      : broker_(broker), server_(server), replicas_(replicas) {}

  // Offers each response that can move at this moment, and stops at the first one that is not accepted. To be
  // called only when no handler of the event loop is pending, since bytes that have already been read would
  // be lost.
  void migrate_out(const Offer& offer);
  // Continues a response of another process. On any error both connections are closed, as if the other
  // process had exited.
  void migrate_in(std::string_view bytes, Descriptors descriptors);

 private:
  core::Broker& broker_;
  HttpServer& server_;
  HttpReplicaClient& replicas_;
};

}  // namespace flintglade::http
