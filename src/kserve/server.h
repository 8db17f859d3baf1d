// The KServe v2 front end over gRPC: the standard calls, ModelInfer and ModelStreamInfer. gRPC's threads only
// post to the event loop, where all requests are handled.
#pragma once

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

#include <atomic>
#include <boost/asio.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/labels.h"
#include "core/broker.h"
#include "kserve/connections.h"
#include "kserve/descriptions.h"
#include "kserve/models.h"
#include "tls/certificate_provider.h"

namespace flintglade::kserve {

class GrpcServer {
 public:
  // certificate_provider: of the server; null: no encryption.
  GrpcServer(boost::asio::io_context& io, core::Broker& broker, ServerSettings settings,
             config::Labels labels, std::string name,
             const tls::CertificateProvider* certificate_provider = nullptr);
  ~GrpcServer();
  std::string listen();  // empty on success, else a one-line error
  int port() const { return port_; }
  // Applies new models, mapping, checks and some limits. The listen address, reflection and other settings
  // that the server is built with stay.
  void reload(ServerSettings settings);
  // Sets the function that queries replicas about models that the operator file does not describe.
  using AnswerHandler = std::function<void(const grpc::Status&, std::string)>;
  using ReplicaQuery = std::function<void(std::string method, std::string question, AnswerHandler)>;
  void set_replica_query(core::Clock& clock, ReplicaQuery query_replica);
  struct Counters {
    std::uint64_t streams_refused = 0;  // rejected: too many calls were open
    std::uint64_t silent_calls = 0;     // ended: no request arrived in time
    std::uint64_t descriptions_asked = 0, descriptions_failed = 0;
    std::uint64_t denied = 0;  // a certificate was bound to another tenant, or to none
  };
  const Counters& counters() const { return counters_; }
  std::size_t open_calls() const { return calls_.size(); }
  const Connections& connections() const { return connections_; }
  // Ends streams that have no open request, and rejects new calls from now on.
  void close_idle();
  // Shuts the server down and runs the event loop until gRPC has released every call. Calls that are open
  // after 500 ms are cancelled; the whole takes at most a second.
  void stop();

 private:
  class Call;
  class Exchange;
  class Infer;
  class Standard;
  struct PendingDescription {  // a ModelMetadata call that waits for a replica's description
    grpc::ServerUnaryReactor* reactor;
    grpc::CallbackServerContext* context;
    inference::ModelMetadataResponse* response;
    Model model;  // from the operator file at the time of the call
  };
  void describe_from_replicas(Descriptions::Key key, PendingDescription call);
  bool answer_from_cache(const Descriptions::Key& key, const PendingDescription& call);
  void update_health();

  boost::asio::io_context& io_;
  core::Broker& broker_;
  ServerSettings settings_;
  config::Labels labels_;
  std::string name_;
  const tls::CertificateProvider* certificate_provider_;
  std::set<std::shared_ptr<Call>> calls_;
  std::unique_ptr<Standard> standard_;
  std::unique_ptr<Infer> infer_;
  std::shared_ptr<grpc::ServerCredentials> credentials_;
  // Passes accepted connections to gRPC.
  std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> acceptor_;
  Connections connections_;
  std::unique_ptr<grpc::Server> server_;
  int port_ = 0;
  bool draining_ = false;
  Counters counters_;
  boost::asio::steady_timer health_timer_;
  std::map<std::string, bool> reported_health_;  // the state last reported to grpc.health.v1, by service
  std::uint64_t generated_trace_ids_ = 0;
  core::Clock* clock_ = nullptr;
  ReplicaQuery query_replica_;
  Descriptions descriptions_;
  std::map<Descriptions::Key, std::vector<PendingDescription>> pending_descriptions_;
  std::size_t pending_description_count_ = 0;
};

}  // namespace flintglade::kserve
