// The model replicas behind KServe v2 over gRPC. gRPC's threads only post to the loop; all else happens
// there.
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
  std::uint16_t replica_port = 0;  // 0: replicas speak gRPC at the very endpoint that discovery gives
  core::Micros ping = 0;           // HTTP/2 keep-alive while a call is open; 0: none
  const tls::CertificateProvider* keys = nullptr;  // null: without encryption
  std::string server_name;  // which certificates must have; empty: the replica's address
};

class GrpcReplicaClient final : public core::ReplicaClient {
 public:
  GrpcReplicaClient(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock,
                    ReplicaClientSettings settings);
  ~GrpcReplicaClient() override;

  void update_endpoint(const core::Endpoint& endpoint, core::Micros no_new_after) override;
  void start_attempt(core::AttemptId id, core::ReplicaId replica, std::shared_ptr<const core::Request> rpc,
                     core::Micros patience) override;
  void cancel_attempt(core::AttemptId id) override;
  void pause_attempt(core::AttemptId id, bool paused) override;
  void reload(core::Micros dial_timeout) { settings_.dial_timeout = dial_timeout; }
  // One small question to a ready replica, and to another if it does not answer in time; each takes its turn.
  // Always answered, on the loop; UNAVAILABLE where there is no ready replica.
  using Asked = std::function<void(const grpc::Status& status, std::string answer)>;
  void ask(std::string method, std::string question, Asked answered);
  // Calls from now on go over new connections, by the keys in force; those under way keep theirs.
  void renew();
  std::size_t unfinished() const { return unfinished_; }  // calls that gRPC has not let go of yet

 private:
  class Call;
  class Question;
  struct Subchannel {
    std::string address;
    core::Micros no_new_after = core::kNever;
    bool ready = false;
    std::shared_ptr<grpc::Channel> channel;
  };
  // The subchannel's own, opened if need be; null: its address cannot be used.
  std::shared_ptr<grpc::Channel> channel(Subchannel& sub);
  std::shared_ptr<grpc::Channel> next_ready();  // null: none is

  boost::asio::io_context& io_;
  core::Broker& broker_;
  core::Clock& clock_;
  ReplicaClientSettings settings_;
  std::unordered_map<core::ReplicaId, Subchannel> subs_;
  std::map<core::AttemptId, std::shared_ptr<Call>> calls_;
  std::size_t unfinished_ = 0;
  core::ReplicaId last_asked_ = 0;
};

}  // namespace flintglade::kserve
