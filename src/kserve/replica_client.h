// Sends attempts to model replicas by KServe v2 over gRPC. gRPC's threads only post to the event loop;
// everything else runs on the event loop.
#pragma once

#include <grpcpp/channel.h>

#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "core/broker.h"
#include "core/ports.h"
#include "tls/certificate_provider.h"

namespace flintglade::kserve {

struct ReplicaClientSettings {
  core::Micros dial_timeout = 150 * core::kMilli;
  std::uint16_t replica_port = 0;  // 0: the port that discovery gives
  core::Micros ping = 0;           // interval of HTTP/2 keepalive pings while a call is open; 0: none
  const tls::CertificateProvider* certificate_provider = nullptr;  // null: no encryption
  std::string server_name;  // required in the replicas' certificates; empty: the replica's address
};

class GrpcReplicaClient final : public core::ReplicaClient {
 public:
  GrpcReplicaClient(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock,
                    ReplicaClientSettings settings);
  ~GrpcReplicaClient() override;

  void update_endpoint(const core::Endpoint& endpoint, core::Micros no_new_after) override;
  void start_attempt(core::AttemptId id, core::ReplicaId replica, std::shared_ptr<const core::Request> rpc,
                     core::Micros first_event_timeout) override;
  void cancel_attempt(core::AttemptId id) override;
  void pause_attempt(core::AttemptId id, bool paused) override;
  void reload(core::Micros dial_timeout) { settings_.dial_timeout = dial_timeout; }
  // Sends a small unary query to a ready replica, and to another one if it fails or does not answer in time.
  // The ready replicas are queried in rotation. The handler is always called, on the event loop; with
  // UNAVAILABLE if no replica is ready.
  using AnswerHandler = std::function<void(const grpc::Status& status, std::string answer)>;
  void ask(std::string method, std::string question, AnswerHandler answered);
  // New calls use new connections with the current certificate and key; calls in progress keep their
  // connection.
  void reset_channels();
  std::size_t unfinished() const { return unfinished_; }  // calls that gRPC still holds

 private:
  class Call;
  class Query;
  struct Subchannel {
    std::string address;
    core::Micros no_new_after = core::kNever;
    bool ready = false;
    std::shared_ptr<grpc::Channel> channel;
  };
  // The channel of this subchannel, opened if necessary; null if its address is invalid.
  std::shared_ptr<grpc::Channel> channel(Subchannel& subchannel);
  std::shared_ptr<grpc::Channel> next_ready_channel();  // null if no replica is ready

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  ReplicaClientSettings settings_;
  std::unordered_map<core::ReplicaId, Subchannel> subchannels_;
  std::map<core::AttemptId, std::shared_ptr<Call>> calls_;
  std::size_t unfinished_ = 0;
  core::ReplicaId last_queried_ = 0;
};

}  // namespace flintglade::kserve
