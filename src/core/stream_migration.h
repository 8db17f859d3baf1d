// Answers in their middle that go on in another process of this router (hot restart). The sockets are handed
// over by src/http/stream_migration; here is what the core forgets and learns of them. On the core's thread
// only.
#pragma once

#include <memory>
#include <vector>

#include "core/broker_context.h"
#include "core/final_responder.h"

namespace flintglade::core {

// An answer in its middle: its first event is passed on, and one attempt of it runs.
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

  // See the functions of the same names of Broker.
  std::vector<MigratableStream> migratable_streams(Wire wire) const;
  void migrated_out(const MigratableStream& stream);
  RequestId migrated_in(const MigratableStream& stream);

 private:
  BrokerContext& context_;
  FinalResponder& responder_;
};

}  // namespace flintglade::core
