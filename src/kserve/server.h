// The KServe v2 front over gRPC: the standard calls, ModelInfer, and ModelStreamInfer. gRPC's threads only
// post to the loop; the RPCs live there.
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
  // keys: of the server; null: it speaks without encryption.
  GrpcServer(boost::asio::io_context& io, core::Broker& broker, ServerSettings file, config::Labels labels,
             std::string name, const tls::CertificateProvider* keys = nullptr);
  ~GrpcServer();
  std::string listen();  // empty, or one line that says what is wrong
  int port() const { return port_; }
  // Models, mapping and checks change live; where it listens, and reflection, do not.
  void reload(ServerSettings fresh);
  // Where replicas' word on models comes from, for models that the file does not describe.
  using Answered = std::function<void(const grpc::Status&, std::string)>;
  using Ask = std::function<void(std::string method, std::string question, Answered)>;
  void ask_replicas(core::Clock& clock, Ask ask);
  struct Counters {
    std::uint64_t streams_refused = 0;  // too many were open
    std::uint64_t silent_calls = 0;     // no request came in time
    std::uint64_t descriptions_asked = 0, descriptions_failed = 0;
    std::uint64_t denied = 0;  // a certificate spoke for another tenant, or for none
  };
  const Counters& counters() const { return counters_; }
  std::size_t open_calls() const { return calls_.size(); }
  const Connections& connections() const { return connections_; }
  // Ends streams on which no RPC is open; none will come any more.
  void close_idle();
  // Runs the loop until gRPC has let go of every call, at most for a second.
  void stop();

 private:
  class Call;
  class Exchange;
  class Infer;
  class Standard;
  struct Waiting {  // for a replica's word
    grpc::ServerUnaryReactor* reactor;
    grpc::CallbackServerContext* context;
    inference::ModelMetadataResponse* response;
    Model model;  // as the file had it when the question came
  };
  void describe(Descriptions::Key key, Waiting question);
  bool answer_from_cache(const Descriptions::Key& key, const Waiting& question);
  void tell_health();

  boost::asio::io_context& io_;
  core::Broker& broker_;
  ServerSettings file_;
  config::Labels labels_;
  std::string name_;
  const tls::CertificateProvider* keys_;
  std::set<std::shared_ptr<Call>> calls_;
  std::unique_ptr<Standard> standard_;
  std::unique_ptr<Infer> infer_;
  std::shared_ptr<grpc::ServerCredentials> credentials_;
  std::unique_ptr<grpc::experimental::ExternalConnectionAcceptor> acceptor_;  // gRPC's end of connections_
  Connections connections_;
  std::unique_ptr<grpc::Server> server_;
  int port_ = 0;
  bool closing_ = false;
  Counters counters_;
  boost::asio::steady_timer health_;
  std::map<std::string, bool> healthy_;  // as grpc.health.v1 has been told, by service
  std::uint64_t traces_ = 0;
  core::Clock* clock_ = nullptr;
  Ask ask_;
  Descriptions descriptions_;
  std::map<Descriptions::Key, std::vector<Waiting>> waiting_;
  std::size_t waiting_count_ = 0;
};

}  // namespace flintglade::kserve
