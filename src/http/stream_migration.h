// Answers in their middle, from one process of a router to another: both connections go, and what each side
// knows.
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
  using Descriptors = std::array<int, 2>;  // the client's, then the replica's
  // Offers one answer to another process; true: it has it, with copies of both descriptors.
  using Offer = std::function<bool(std::string_view bytes, Descriptors descriptors)>;

  StreamMigration(core::Broker& broker, HttpServer& front, HttpReplicaClient& replicas)
      : broker_(broker), front_(front), replicas_(replicas) {}

  // Offers each answer that can move at this moment, up to the first that is not taken. Call it when no
  // handler of the loop waits to run: bytes that were read already would be lost.
  void out(const Offer& offer);
  // Goes on with an answer of another process. Whatever is wrong with it ends both connections, as the other
  // process's end would have.
  void in(std::string_view bytes, Descriptors descriptors);

 private:
  core::Broker& broker_;
  HttpServer& front_;
  HttpReplicaClient& replicas_;
};

}  // namespace flintglade::http
