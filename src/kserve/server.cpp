#include "kserve/server.h"

#include <grpcpp/ext/proto_server_reflection_plugin.h>
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/health_check_service_interface.h>
#include <grpcpp/resource_quota.h>
#include <grpcpp/server_builder.h>

#include <algorithm>
#include <chrono>
#include <deque>
#include <optional>
#include <thread>
#include <utility>

#include "kserve/check.h"
#include "kserve/credentials.h"
#include "kserve/mapping.h"
#include "kserve/metadata.h"
#include "kserve/names.h"
#include "kserve_v2.grpc.pb.h"

namespace flintglade::kserve {

using core::Micros;
using grpc::Status;
using grpc::StatusCode;

namespace {
constexpr std::size_t kMaxBacklogBytes = 64u << 10;  // of one request, before the core is paused
constexpr std::chrono::milliseconds kHealthInterval{50};
// Milliseconds after which a call that was rejected because the router was full may be retried.
constexpr char kFullPushback[] = "1000";
constexpr char kVersion[] = "0.1.0";
}  // namespace

// One request of a call, and the ResponseWriter through which the core answers it. Used on the event loop
// only.
class GrpcServer::Exchange final : public core::ResponseWriter,
                                   public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Call& call, std::string id, std::string model)
      : call_(&call), id_(std::move(id)), model_(std::move(model)) {}

  // False if the core already has an open request with this id.
  bool start(std::shared_ptr<const core::Request> rpc);
  bool write_events(std::string_view message) override;
  void finish() override;
  void abort_stream() override { fail_with(Status(StatusCode::INTERNAL, "the answer broke off"), 0); }
  void reject(Micros retry_after, bool late) override {
    if (late) return fail_with(Status(StatusCode::DEADLINE_EXCEEDED, "no answer in time"), 0);
    fail_with(Status(StatusCode::UNAVAILABLE, "refused: trying again is harmless"), retry_after);
  }
  void fail(core::Failure why) override {
    if (why == core::Failure::deadline)
      return fail_with(Status(StatusCode::DEADLINE_EXCEEDED, "no answer in time"), 0);
    fail_with(why == core::Failure::rejected
                  ? Status(StatusCode::INVALID_ARGUMENT, "no replica can use this request")
                  : Status(StatusCode::INTERNAL, "the request failed"),
              0);
  }
  void on_client_disconnected();
  void on_written(std::size_t bytes);  // so many bytes of its response were written to the client

 private:
  void fail_with(Status status, Micros retry_after);
  Call* call_;  // null once the request has ended
  std::string id_, model_;
  core::RequestId request_id_ = 0;
  std::size_t backlog_bytes_ = 0;  // not yet written to the client
  bool paused_ = false;            // until the whole backlog is written
};

// One call of ModelInfer or ModelStreamInfer. A stream carries any number of requests, several of them open
// at once; their responses are interleaved on it, and the messages of each request stay in order. Used on the
// event loop only, except for the reactor's callbacks, which post to it.
class GrpcServer::Call final : public grpc::ServerGenericBidiReactor,
                               public std::enable_shared_from_this<Call> {
 public:
  Call(GrpcServer& owner, grpc::GenericCallbackServerContext* context)
      : owner_(owner),
        io_(owner.io_),
        context_(context),
        first_request_timer_(owner.io_),
        is_stream_(context->method() == kStreamInfer) {}

  void start() {
    self_ = shared_from_this();  // released after OnDone
    if (!is_stream_ && context_->method() != kInfer) {
      return post([this] {
        owner_.calls_.insert(self_);
        end(unknown_method());
      });
    }
    // Reads the first message while the call is posted to the event loop, which saves one event loop
    // iteration.
    reading_ = true;
    StartRead(&incoming_);
    post([this] {
      owner_.calls_.insert(self_);
      if (owner_.settings_.gzip) context_->set_compression_level(GRPC_COMPRESS_LEVEL_MED);
      if (owner_.draining_) return end(Status(StatusCode::UNAVAILABLE, "going down"));
      if (owner_.calls_.size() > owner_.settings_.limits.streams) {
        ++owner_.counters_.streams_refused;
        context_->AddTrailingMetadata(kPushback, kFullPushback);
        return end(Status(StatusCode::UNAVAILABLE, "too many calls are open"));
      }
      first_request_timer_.expires_after(
          std::chrono::microseconds(static_cast<Micros>(owner_.settings_.limits.first_request_s * 1e6)));
      first_request_timer_.async_wait([self = self_](boost::system::error_code ec) {
        if (ec || self->request_count_ > 0 || self->ending_) return;
        ++self->owner_.counters_.silent_calls;
        self->end(Status(StatusCode::DEADLINE_EXCEEDED, "no request came"));
      });
    });
  }

  // ---- called on gRPC's threads ----
  void OnReadDone(bool ok) override {
    post([this, ok] { on_read(ok); });
  }
  void OnWriteDone(bool ok) override {
    post([this, ok] { on_write(ok); });
  }
  void OnCancel() override {
    post([this] {
      cancelled_ = true;
      end(Status::CANCELLED);
      finish_if_ready();
    });
  }
  void OnDone() override {
    post([this] {
      owner_.calls_.erase(self_);
      self_.reset();
    });
  }

  bool idle() const { return open_exchanges_.empty() && !pending_request_; }
  core::Broker& broker() { return owner_.broker_; }

  // ---- called by the exchanges ----
  void send(const std::shared_ptr<Exchange>& exchange, std::string_view message) {
    outgoing_.push_back({to_buffer(message), exchange});
    write();
  }
  void done(const std::shared_ptr<Exchange>& exchange) {
    open_exchanges_.erase(exchange);
    advance();
  }
  // Reports a failed request. A call with only one request so far ends with its status, because the retry
  // policy of a client library reads the call's status. On a stream with more requests, others may be open or
  // follow: the failure is sent as a message with the request's id, and the stream stays open.
  void failed(const std::shared_ptr<Exchange>& exchange, const std::string& id, const std::string& model,
              Status status, Micros retry_after) {
    if (exchange) open_exchanges_.erase(exchange);
    if (!is_stream_ || (request_count_ < 2 && !owner_.settings_.errors_in_band)) {
      if (retry_after > 0 && !finished_ && !cancelled_)
        context_->AddTrailingMetadata(kPushback, std::to_string(retry_after / core::kMilli));
      return end(std::move(status));
    }
    inference::ModelStreamInferResponse response;
    response.set_error_message(status.error_message());
    auto& infer_response = *response.mutable_infer_response();
    infer_response.set_id(id);
    infer_response.set_model_name(model);
    auto& parameters = *infer_response.mutable_parameters();
    parameters["flintglade_status"].set_int64_param(status.error_code());
    if (retry_after > 0) parameters["flintglade_retry_after_ms"].set_int64_param(retry_after / core::kMilli);
    parameters["triton_final_response"].set_bool_param(true);
    send(nullptr, response.SerializeAsString());
    advance();
  }

  // Ends the call with this status once the queued messages are written. Open requests are abandoned. Only
  // the first status counts.
  void end(Status status) {
    if (ending_) return;
    ending_ = true;
    first_request_timer_.cancel();
    status_ = std::move(status);
    pending_request_.reset();
    for (const auto& exchange : std::exchange(open_exchanges_, {})) exchange->on_client_disconnected();
    finish_if_ready();
  }

 private:
  template <typename F>
  void post(F handler) {
    boost::asio::post(io_, [self = self_, handler = std::move(handler)] { handler(); });
  }

  Status unknown_method() const {
    const bool repository = context_->method().find("/Repository") != std::string::npos;
    return {StatusCode::UNIMPLEMENTED, repository
                                           ? "models are loaded at the replicas, not through this router"
                                           : "there is no such method"};
  }

  void read() {
    if (ending_ || reading_ || half_closed_ || pending_request_) return;
    reading_ = true;
    StartRead(&incoming_);
  }

  void on_read(bool ok) {
    reading_ = false;
    if (ending_) return;
    if (!ok) {  // the client has half-closed the call
      half_closed_ = true;
      if (request_count_ == 0) return end(Status(StatusCode::INVALID_ARGUMENT, "no request came"));
      return advance();
    }
    pending_request_ = to_string(incoming_);
    incoming_.Clear();
    advance();
  }

  // Starts the pending request if the limit permits and reads the next one. Ends the call if no request is
  // open or can follow.
  void advance() {
    if (ending_) return;
    const std::size_t max_open = is_stream_ ? owner_.settings_.stream_requests : 1;
    if (pending_request_ && open_exchanges_.size() < max_open && (is_stream_ || request_count_ == 0))
      start_request();
    if (ending_) return;
    // A second message of a unary call is ignored, as by gRPC's own servers.
    if (!is_stream_ && request_count_ > 0) pending_request_.reset();
    if (half_closed_ && !pending_request_ && open_exchanges_.empty()) return end(Status::OK);
    if (!is_stream_ && request_count_ > 0 && open_exchanges_.empty()) return end(Status::OK);
    read();
  }

  void start_request() {
    ++request_count_;
    inference::ModelInferRequest request;
    auto rpc = std::make_shared<core::Request>();
    rpc->body = std::move(*pending_request_);
    pending_request_.reset();
    // A message that cannot be parsed has no request id to report the error with, so it ends the call.
    if (!request.ParseFromString(rpc->body))
      return end(Status(StatusCode::INVALID_ARGUMENT, "not a ModelInferRequest"));
    const auto reject_request = [&](StatusCode code, const std::string& why) {
      failed(nullptr, request.id(), request.model_name(), Status(code, why), 0);
    };
    const Model* model = owner_.settings_.find(request.model_name(), request.model_version());
    if (model == nullptr) return reject_request(StatusCode::NOT_FOUND, "the model is unknown");
    std::string denied;
    std::string error = apply_labels(request, *model, *rpc, denied);
    if (!denied.empty()) {
      ++owner_.counters_.denied;
      return reject_request(StatusCode::PERMISSION_DENIED, denied);
    }
    if (error.empty() && owner_.settings_.check_tensors) error = check_tensors(request, *model);
    if (!error.empty()) return reject_request(StatusCode::INVALID_ARGUMENT, error);
    if (owner_.settings_.fill_version && request.model_version().empty())
      append_model_version(model->highest_version(), *rpc);
    const auto exchange = std::make_shared<Exchange>(*this, request.id(), request.model_name());
    if (!exchange->start(std::move(rpc)))
      return reject_request(StatusCode::ALREADY_EXISTS, "a request with this id is open");
    open_exchanges_.insert(exchange);
  }

  // Fills the fields of rpc that do not depend on the body. Returns an empty string or the error; sets denied
  // if the client's certificate does not permit the request.
  std::string apply_labels(const inference::ModelInferRequest& request, const Model& model,
                           core::Request& rpc, std::string& denied) {
    const auto& client_metadata = context_->client_metadata();
    const CertificateBinding* bound =
        owner_.settings_.bound.empty()
            ? nullptr
            : find_certificate_binding(owner_.settings_.bound, certificate_names());
    if (bound == nullptr && owner_.settings_.bound_only)
      denied = "the client's certificate speaks for no tenant";
    const MappedLabels labels = map_request(
        request, model, owner_.settings_.mapping,
        [&client_metadata](const std::string& name) { return find_metadata(client_metadata, name.c_str()); },
        bound);
    if (denied.empty()) denied = labels.denied;
    if (!denied.empty()) return "";
    const std::string error = config::apply(labels.labels(), owner_.labels_, rpc);
    if (!error.empty()) return error;
    rpc.wire = core::Wire::kserve;
    rpc.may_be_empty = is_stream_ && model.decoupled;
    rpc.target = context_->method();
    rpc.trace_id = find_metadata(client_metadata, kTrace);
    // The metadata carries one trace id for the whole stream, so later requests append their own id to it.
    if (request_count_ > 1 && !rpc.trace_id.empty())
      rpc.trace_id += "/" + (request.id().empty() ? std::to_string(request_count_) : request.id());
    if (rpc.trace_id.empty()) rpc.trace_id = request.id();
    if (rpc.trace_id.empty())
      rpc.trace_id = owner_.name_ + "-" + std::to_string(++owner_.generated_trace_ids_);
    for (const auto& [key, value] : client_metadata) {
      const std::string_view name(key.data(), key.size());
      const std::string_view text(value.data(), value.size());
      if (is_trace_context(name)) {
        if (const auto sendable = sendable_trace_context(text)) rpc.metadata.add(name, *sendable);
      } else if (owner_.settings_.pass_metadata && passes_on(name)) {
        if (!is_sendable_metadata(name, text))
          return "metadata '" + header_value(name) + "' has a byte that gRPC does not carry";
        rpc.metadata.add(name, text);
      }
    }
    // gRPC's deadline applies to the whole call, so it also limits the time until the first event.
    const auto deadline = context_->deadline();
    if (deadline != std::chrono::system_clock::time_point::max()) {
      const auto remaining =
          std::chrono::duration_cast<std::chrono::microseconds>(deadline - std::chrono::system_clock::now());
      rpc.first_event_timeout = std::clamp<Micros>(remaining.count(), 0, rpc.first_event_timeout);
    }
    return "";
  }

  // Appends the version to the encoded message, which keeps its unknown fields: it is forwarded as received.
  static void append_model_version(const std::string& version, core::Request& rpc) {
    if (version.empty()) return;
    inference::ModelInferRequest version_only;
    version_only.set_model_version(version);
    rpc.body += version_only.SerializeAsString();
  }

  // The subject alternative names of the client's certificate.
  std::vector<std::string> certificate_names() const {
    std::vector<std::string> out;
    const auto auth_context = context_->auth_context();
    if (!auth_context || !auth_context->IsPeerAuthenticated()) return out;
    for (const auto& san : auth_context->FindPropertyValues(GRPC_X509_SAN_PROPERTY_NAME))
      out.emplace_back(san.data(), san.size());
    return out;
  }

  void write() {
    if (writing_ || outgoing_.empty() || finished_ || cancelled_) return;
    writing_ = true;
    StartWrite(&outgoing_.front().bytes);
  }

  void on_write(bool ok) {
    writing_ = false;
    if (!outgoing_.empty()) {
      const OutgoingMessage sent = std::move(outgoing_.front());
      outgoing_.pop_front();
      if (sent.exchange) sent.exchange->on_written(sent.bytes.Length());
    }
    if (!ok) outgoing_.clear();  // the client has disconnected; OnCancel ends the call
    write();
    finish_if_ready();
  }

  // Finishes an ending call once no write is in progress and, unless it is cancelled, all messages are
  // written. A call may be finished once, also if its client leaves meanwhile, and gRPC may destroy it from
  // then on: nothing else calls Finish.
  void finish_if_ready() {
    if (!ending_ || finished_ || writing_ || (!outgoing_.empty() && !cancelled_)) return;
    finished_ = true;
    Finish(status_);
  }

  struct OutgoingMessage {
    grpc::ByteBuffer bytes;
    std::shared_ptr<Exchange> exchange;  // null for a failure report
  };

  GrpcServer& owner_;
  boost::asio::io_context& io_;
  grpc::GenericCallbackServerContext* context_;
  std::shared_ptr<Call> self_;
  boost::asio::steady_timer first_request_timer_;
  grpc::ByteBuffer incoming_;
  // A request that has been read but not started, because the limit on open requests is reached. No further
  // message is read meanwhile.
  std::optional<std::string> pending_request_;
  std::deque<OutgoingMessage> outgoing_;
  std::set<std::shared_ptr<Exchange>> open_exchanges_;
  std::size_t request_count_ = 0;  // requests received, valid or not
  Status status_;
  const bool is_stream_;
  bool reading_ = false, writing_ = false, half_closed_ = false, ending_ = false, finished_ = false,
       cancelled_ = false;
};

bool GrpcServer::Exchange::start(std::shared_ptr<const core::Request> rpc) {
  request_id_ = call_->broker().on_request(std::move(rpc), shared_from_this());
  return request_id_ != 0;
}
bool GrpcServer::Exchange::write_events(std::string_view message) {
  // The core may write an event in the same event loop iteration in which it learns that the client has
  // disconnected. Observed under many simultaneous cancels: the call had already released its exchanges.
  if (call_ == nullptr) return true;
  backlog_bytes_ += message.size();
  call_->send(shared_from_this(), message);
  paused_ = paused_ || backlog_bytes_ > kMaxBacklogBytes;
  return !paused_;
}
void GrpcServer::Exchange::on_written(std::size_t bytes) {
  backlog_bytes_ -= std::min(backlog_bytes_, bytes);
  if (!paused_ || backlog_bytes_ > 0) return;
  paused_ = false;
  if (call_ != nullptr) call_->broker().on_client_writable(request_id_);
}
void GrpcServer::Exchange::finish() {
  if (Call* call = std::exchange(call_, nullptr)) call->done(shared_from_this());
}
void GrpcServer::Exchange::fail_with(Status status, Micros retry_after) {
  if (Call* call = std::exchange(call_, nullptr))
    call->failed(shared_from_this(), id_, model_, std::move(status), retry_after);
}
void GrpcServer::Exchange::on_client_disconnected() {
  if (Call* call = std::exchange(call_, nullptr)) call->broker().on_client_disconnected(request_id_);
}

class GrpcServer::Infer final : public grpc::CallbackGenericService {
 public:
  explicit Infer(GrpcServer& owner) : owner_(owner) {}
  grpc::ServerGenericBidiReactor* CreateReactor(grpc::GenericCallbackServerContext* context) override {
    const auto call = std::make_shared<Call>(owner_, context);
    call->start();
    return call.get();
  }

 private:
  GrpcServer& owner_;
};

// The calls that report liveness, readiness and metadata. They are answered on the event loop, where the
// state is known.
class GrpcServer::Standard final
    : public inference::GRPCInferenceService::WithCallbackMethod_ServerLive<
          inference::GRPCInferenceService::WithCallbackMethod_ServerReady<
              inference::GRPCInferenceService::WithCallbackMethod_ModelReady<
                  inference::GRPCInferenceService::WithCallbackMethod_ServerMetadata<
                      inference::GRPCInferenceService::WithCallbackMethod_ModelMetadata<
                          inference::GRPCInferenceService::WithGenericMethod_ModelInfer<
                              inference::GRPCInferenceService::WithGenericMethod_ModelStreamInfer<
                                  inference::GRPCInferenceService::Service>>>>>>> {
 public:
  explicit Standard(GrpcServer& owner) : owner_(owner) {}

  grpc::ServerUnaryReactor* ServerLive(grpc::CallbackServerContext* context,
                                       const inference::ServerLiveRequest*,
                                       inference::ServerLiveResponse* response) override {
    response->set_live(true);
    return answer(context, [] { return Status::OK; });
  }
  grpc::ServerUnaryReactor* ServerReady(grpc::CallbackServerContext* context,
                                        const inference::ServerReadyRequest*,
                                        inference::ServerReadyResponse* response) override {
    return answer(context, [this, response] {
      response->set_ready(owner_.broker_.ready());
      return Status::OK;
    });
  }
  grpc::ServerUnaryReactor* ModelReady(grpc::CallbackServerContext* context,
                                       const inference::ModelReadyRequest* request,
                                       inference::ModelReadyResponse* response) override {
    return answer(context, [this, request, response] {
      if (owner_.settings_.find(request->name(), request->version()) == nullptr) return unknown();
      response->set_ready(owner_.broker_.ready());
      return Status::OK;
    });
  }
  grpc::ServerUnaryReactor* ServerMetadata(grpc::CallbackServerContext* context,
                                           const inference::ServerMetadataRequest*,
                                           inference::ServerMetadataResponse* response) override {
    response->set_name("flintglade");
    response->set_version(kVersion);
    response->add_extensions("model_stream_infer");
    return answer(context, [] { return Status::OK; });
  }
  grpc::ServerUnaryReactor* ModelMetadata(grpc::CallbackServerContext* context,
                                          const inference::ModelMetadataRequest* request,
                                          inference::ModelMetadataResponse* response) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(owner_.io_, [this, context, request, response, reactor] {
      const Model* model = owner_.settings_.find(request->name(), request->version());
      if (model == nullptr) return reactor->Finish(unknown());
      describe(*model, *response);
      if (!owner_.query_replica_ || !model->inputs.empty() || !model->outputs.empty())
        return reactor->Finish(Status::OK);
      owner_.describe_from_replicas({request->name(), request->version()},
                                    {reactor, context, response, *model});
    });
    return reactor;
  }

 private:
  static Status unknown() { return {StatusCode::NOT_FOUND, "the model is unknown"}; }
  static void describe(const Model& model, inference::ModelMetadataResponse& out) {
    out.set_name(model.name);
    out.set_platform(model.platform);
    for (const std::string& version : model.versions) out.add_versions(version);
    for (const Tensor& tensor : model.inputs) describe(tensor, *out.add_inputs());
    for (const Tensor& tensor : model.outputs) describe(tensor, *out.add_outputs());
  }
  static void describe(const Tensor& tensor, inference::ModelMetadataResponse::TensorMetadata& out) {
    out.set_name(tensor.name);
    out.set_datatype(tensor.datatype);
    for (const std::int64_t dimension : tensor.shape) out.add_shape(dimension);
  }
  template <typename F>
  grpc::ServerUnaryReactor* answer(grpc::CallbackServerContext* context, F make_status) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(owner_.io_,
                      [reactor, make_status = std::move(make_status)] { reactor->Finish(make_status()); });
    return reactor;
  }
  GrpcServer& owner_;
};

GrpcServer::GrpcServer(boost::asio::io_context& io, core::Broker& broker, ServerSettings settings,
                       config::Labels labels, std::string name,
                       const tls::CertificateProvider* certificate_provider)
    : io_(io),
      broker_(broker),
      settings_(std::move(settings)),
      labels_(std::move(labels)),
      name_(std::move(name)),
      certificate_provider_(certificate_provider),
      connections_(io, settings_.limits.connections,
                   [this](int descriptor) {
                     grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
                     connection.listener_fd = -1;
                     connection.fd = descriptor;
                     acceptor_->HandleNewConnection(&connection);
                   }),
      health_timer_(io),
      descriptions_({settings_.replica_metadata.entries,
                     static_cast<Micros>(settings_.replica_metadata.ttl_s * 1e6),
                     static_cast<Micros>(settings_.replica_metadata.stale_s * 1e6)}) {}

GrpcServer::~GrpcServer() { stop(); }

void GrpcServer::set_replica_query(core::Clock& clock, ReplicaQuery query_replica) {
  clock_ = &clock;
  query_replica_ = std::move(query_replica);
}

// The response already contains the model's values from the operator file; the replica's description fills in
// the rest.
bool GrpcServer::answer_from_cache(const Descriptions::Key& key, const PendingDescription& call) {
  const Descriptions::Found found = descriptions_.find(key, clock_->now());
  if (found.state == Descriptions::State::absent) return false;
  if (found.state == Descriptions::State::unknown) {
    call.reactor->Finish(Status(StatusCode::NOT_FOUND, "the replicas do not know the model"));
    return true;
  }
  auto& out = *call.response;
  *out.mutable_inputs() = found.description->inputs();
  *out.mutable_outputs() = found.description->outputs();
  if (call.model.versions.empty()) *out.mutable_versions() = found.description->versions();
  if (call.model.platform.empty()) out.set_platform(found.description->platform());
  call.reactor->Finish(Status::OK);
  return true;
}

void GrpcServer::describe_from_replicas(Descriptions::Key key, PendingDescription call) {
  const auto fail = [](const PendingDescription& failed) {
    failed.context->AddTrailingMetadata(kPushback, kFullPushback);
    failed.reactor->Finish(Status(StatusCode::UNAVAILABLE, "no replica has described the model yet"));
  };
  // An old description is served while a new one is queried.
  const bool answered = answer_from_cache(key, call);
  const bool ask = !draining_ && descriptions_.ask(key, clock_->now());
  if (!answered) {
    if ((!ask && !descriptions_.asking(key)) || pending_description_count_ >= settings_.limits.streams)
      return fail(call);
    pending_descriptions_[key].push_back(std::move(call));
    ++pending_description_count_;
  }
  if (!ask) return;
  ++counters_.descriptions_asked;
  inference::ModelMetadataRequest request;
  request.set_name(key.first);
  request.set_version(key.second);
  query_replica_("/inference.GRPCInferenceService/ModelMetadata", request.SerializeAsString(),
                 [this, key, fail](const Status& status, const std::string& bytes) {
                   inference::ModelMetadataResponse description;
                   if (status.ok() && description.ParseFromString(bytes)) {
                     descriptions_.set_known(key, std::move(description), clock_->now());
                   } else if (status.error_code() == StatusCode::NOT_FOUND) {
                     descriptions_.set_unknown(key, clock_->now());
                   } else {
                     ++counters_.descriptions_failed;
                     descriptions_.failed(key, clock_->now());
                   }
                   const auto pending = pending_descriptions_.extract(key);
                   if (pending.empty()) return;
                   for (const PendingDescription& pending_call : pending.mapped()) {
                     --pending_description_count_;
                     if (!answer_from_cache(key, pending_call)) fail(pending_call);
                   }
                 });
}

std::string GrpcServer::listen() {
  standard_ = std::make_unique<Standard>(*this);
  infer_ = std::make_unique<Infer>(*this);
  // Both are process-wide gRPC plugins that apply to every server built from now on.
  grpc::EnableDefaultHealthCheckService(true);
  if (settings_.reflection) grpc::reflection::InitProtoReflectionServerBuilderPlugin();
  grpc::ServerBuilder builder;
  // Kept as a member: handshakes fetch keys from the credentials as long as the server runs, and the builder
  // does not keep them alive.
  credentials_ =
      certificate_provider_ == nullptr
          ? grpc::InsecureServerCredentials()
          : server_credentials(*certificate_provider_, !certificate_provider_->current().roots.empty());
  acceptor_ = builder.experimental().AddExternalConnectionAcceptor(
      grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD, credentials_);
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  // Compression is off unless configured: a gzip message of 200 KB that expanded to 200 MB made the process
  // use that much memory.
  for (const auto algorithm : {GRPC_COMPRESS_GZIP, GRPC_COMPRESS_DEFLATE})
    builder.SetCompressionAlgorithmSupportStatus(algorithm, settings_.gzip);
  const Limits& limits = settings_.limits;
  const auto millis = [](double seconds) { return static_cast<int>(seconds * 1e3); };
  builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS,
                             static_cast<int>(limits.streams_per_connection));
  // gRPC itself adds a jitter of 10% to the age and lets open calls finish.
  if (limits.connection_age_s > 0.0)
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_AGE_MS, millis(limits.connection_age_s));
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             millis(limits.least_ping_s));
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 2);
  // Time limit for the handshakes of TLS and HTTP/2 of a connection.
  builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, millis(limits.first_request_s));
  if (limits.connection_idle_s > 0.0)
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, millis(limits.connection_idle_s));
  grpc::ResourceQuota quota("flintglade-kserve");
  quota.Resize(limits.transport_mb << 20);
  builder.SetResourceQuota(quota);
  builder.RegisterService(standard_.get());
  builder.RegisterCallbackGenericService(infer_.get());
  server_ = builder.BuildAndStart();
  if (!server_) return "kserve: gRPC cannot start the server";
  const std::string error = connections_.listen(settings_.listen, port_);
  if (!error.empty()) return error;
  update_health();
  return "";
}

void GrpcServer::reload(ServerSettings settings) {
  settings.listen = settings_.listen;
  settings.replica_port = settings_.replica_port;
  settings.reflection = settings_.reflection;
  settings.gzip = settings_.gzip;
  settings.replica_metadata = settings_.replica_metadata;
  // Limits that the server was built with stay; the other limits change.
  const Limits built = settings_.limits;
  settings.limits.streams_per_connection = built.streams_per_connection;
  settings.limits.transport_mb = built.transport_mb;
  settings.limits.connection_age_s = built.connection_age_s;
  settings.limits.least_ping_s = built.least_ping_s;
  settings.limits.connection_idle_s = built.connection_idle_s;
  connections_.set_max_open(settings.limits.connections);
  settings_ = std::move(settings);
}

// Reports changed states to gRPC's health service, which answers Check and Watch of grpc.health.v1. Its
// service names are "" for the whole server, the inference service, and the name of each model.
void GrpcServer::update_health() {
  auto* service = server_->GetHealthCheckService();
  if (service == nullptr) return;
  const bool ready = broker_.ready() && !draining_;
  std::map<std::string, bool> now{{"", ready}, {"inference.GRPCInferenceService", ready}};
  for (const Model& model : settings_.models) now[model.name] = ready;
  // Models that a reload has removed are reported as not serving.
  for (const auto& [name, was_healthy] : reported_health_) now.try_emplace(name, false);
  for (const auto& [name, is_healthy] : now) {
    const auto before = reported_health_.find(name);
    if (before == reported_health_.end() || before->second != is_healthy)
      service->SetServingStatus(name, is_healthy);
  }
  reported_health_ = std::move(now);
  health_timer_.expires_after(kHealthInterval);
  health_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec && server_) update_health();
  });
}

void GrpcServer::close_idle() {
  draining_ = true;
  for (const auto& call : calls_) {
    if (call->idle()) call->end(Status(StatusCode::UNAVAILABLE, "going down"));
  }
}

void GrpcServer::stop() {
  if (!server_) return;
  close_idle();
  connections_.stop();
  // Shutdown waits for calls whose ends are posted to the event loop, so it runs on a separate thread.
  std::atomic<bool> down = false;
  std::thread waiter([this, &down] {
    server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
    server_->Wait();
    down = true;
  });
  while (!down || !calls_.empty()) io_.run_one_for(std::chrono::milliseconds(10));
  waiter.join();
  health_timer_.cancel();
  server_.reset();
}

}  // namespace flintglade::kserve
