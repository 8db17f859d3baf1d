// Streams that have started and continue in another process of this router (hot restart).
// src/http/stream_migration transfers the sockets; this class removes the streams from the core of one
// process and adds them to that of the other. Used on the core's thread only.
#pragma once

#include <memory>
#include <vector>

#include "core/broker_context.h"
#include "core/final_responder.h"

namespace flintglade::core {

// A stream that has started: its first event was sent to the client, and only its streaming attempt is
// running.
struct MigratableStream {
  RequestId id = 0;
  AttemptId attempt;
  ReplicaId replica = 0;
  Micros received_at = 0;
  Micros last_event_at = 0;
  std::shared_ptr<const Request> request;
  std::shared_ptr<ResponseWriter> response_writer;
};

class StreamMigration {
 public:
  StreamMigration(BrokerContext& context, FinalResponder& responder)
      : context_(context), responder_(responder) {}

  // See the functions with the same names in Broker.
  std::vector<MigratableStream> migratable_streams(Wire wire) const;
  void migrated_out(const MigratableStream& stream);
  RequestId migrated_in(const MigratableStream& stream);

 private:
  BrokerContext& context_;
  FinalResponder& responder_;
};

}  // namespace flintglade::core
