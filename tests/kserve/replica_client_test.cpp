// What the gRPC replica client passes on of a response while the event loop is busy.
#include "kserve/replica_client.h"

#include <gtest/gtest.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "core/broker_fixture.h"
#include "h2_replica.h"
#include "kserve/names.h"
#include "kserve/read_ahead.h"
#include "kserve_v2.pb.h"

namespace flintglade::tests {
namespace {

using std::chrono::milliseconds;

constexpr core::ReplicaId kReplica = 1;
constexpr milliseconds kTimeout{5000};
// Longer than the replica waits between its last message and the end of the stream.
constexpr milliseconds kUntilTheStreamHasEnded{400};

bool poll_until(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(milliseconds(1));
  }
  return true;
}

std::string responses(int count) {
  std::string out;
  for (int i = 0; i < count; ++i) {
    inference::ModelStreamInferResponse response;
    response.mutable_infer_response()->set_model_version(std::to_string(i));
    out += response.SerializeAsString();
  }
  return out;
}

// One attempt at a replica that ends its stream with an error some time after its messages.
class ReplicaClientTest : public ::testing::Test {
 protected:
  ReplicaClientTest() : client_(io_, *core_.broker, core_.ports, settings()) {}

  static kserve::ReplicaClientSettings settings() {
    kserve::ReplicaClientSettings out;
    out.dial_timeout = core::kSecond;
    return out;
  }
  void start_attempt(const std::string& kind, int events) {
    replica_->behaviour.kind = kind;
    replica_->behaviour.events = events;
    core::Endpoint endpoint;
    endpoint.address = "127.0.0.1:" + std::to_string(replica_->port());
    endpoint.replica.id = kReplica;
    endpoint.replica.health = policy::Health::ready;
    client_.update_endpoint(endpoint, core::kNever);
    core::RequestId id = 0;
    response_ = core_.send(id);
    const auto request = core_.make_request();
    request->target = std::string(kserve::kStreamInfer);
    client_.start_attempt({id, 0}, kReplica, request, core::kSecond);
  }
  // The event loop handles nothing until the replica has ended the stream.
  void keep_the_event_loop_busy() {
    ASSERT_TRUE(poll_until([&] { return replica_->behaviour.calls == 1; }));
    std::this_thread::sleep_for(kUntilTheStreamHasEnded);
  }
  void run_event_loop_to_the_end() {
    ASSERT_TRUE(poll_until([&] {
      io_.restart();
      io_.poll();
      return client_.unfinished() == 0;
    }));
    core_.broker->run_iteration();
  }

  std::unique_ptr<Replica> replica_ = make_h2_replica({{"code", "8"}, {"status", "14"}});
  boost::asio::io_context io_;
  BrokerFixture core_;
  kserve::GrpcReplicaClient client_;
  std::shared_ptr<FakeResponseWriter> response_;
};

// h2_ends.kserve: messages that were received while the event loop was busy were lost at the stream's error.
TEST_F(ReplicaClientTest, PassesOnMessagesReceivedBeforeAResetWhileTheEventLoopIsBusy) {
  start_attempt("h2.rst", 3);
  keep_the_event_loop_busy();
  run_event_loop_to_the_end();
  EXPECT_EQ(response_->text, responses(3));
  EXPECT_EQ(response_->end, "break");
}

// h2_ends.kserve: the same at trailers with an error.
TEST_F(ReplicaClientTest, PassesOnMessagesReceivedBeforeAnErrorStatusWhileTheEventLoopIsBusy) {
  start_attempt("h2.trailers", 3);
  keep_the_event_loop_busy();
  run_event_loop_to_the_end();
  EXPECT_EQ(response_->text, responses(3));
  EXPECT_EQ(response_->end, "break");
}

// h2_ends.kserve: the same at the end of the connection.
TEST_F(ReplicaClientTest, PassesOnMessagesReceivedBeforeACloseWhileTheEventLoopIsBusy) {
  start_attempt("h2.close", 3);
  keep_the_event_loop_busy();
  run_event_loop_to_the_end();
  EXPECT_EQ(response_->text, responses(3));
  EXPECT_EQ(response_->end, "break");
}

TEST_F(ReplicaClientTest, ReadsNoFurtherThanTheLimitWhileTheEventLoopIsBusy) {
  const int limit = static_cast<int>(kserve::ReadAhead::kMaxMessages);
  start_attempt("h2.rst", 2 * limit);
  keep_the_event_loop_busy();
  run_event_loop_to_the_end();
  EXPECT_EQ(response_->text, responses(limit));
  EXPECT_EQ(response_->end, "break");
}

TEST_F(ReplicaClientTest, EndsACancelledCallWithUnhandledMessages) {
  start_attempt("h2.rst", 3);
  keep_the_event_loop_busy();
  client_.cancel_attempt({1, 0});
  run_event_loop_to_the_end();
  EXPECT_EQ(response_->text, "");
}

}  // namespace
}  // namespace flintglade::tests
