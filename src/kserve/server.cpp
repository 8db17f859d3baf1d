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
#include "kserve/names.h"
#include "kserve_v2.grpc.pb.h"

namespace flintglade::kserve {

using core::Micros;
using grpc::Status;
using grpc::StatusCode;

namespace {
constexpr std::size_t kBacklog = 64u << 10;  // bytes that may wait for a slow client
constexpr std::chrono::milliseconds kHealthEvery{50};
constexpr char kFullPushback[] = "1000";  // ms after which a call that found the router full may come back
constexpr char kVersion[] = "0.1.0";
}  // namespace

// One request of a call, and the core's channel to it. Lives on the loop.
class GrpcServer::Exchange final : public core::ResponseWriter,
                                   public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(Call& call, std::string id, std::string model)
      : call_(&call), id_(std::move(id)), model_(std::move(model)) {}

  // False, and one status, if the core has taken a request of this name already.
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
  void drop();                      // the client is gone
  void written(std::size_t bytes);  // that much of its answer has left

 private:
  void fail_with(Status status, Micros retry_after);
  Call* call_;  // empty once it has ended
  std::string id_, model_;
  core::RequestId rpc_ = 0;
  std::size_t backlog_ = 0;  // bytes that wait for the client
  bool held_up_ = false;     // until all of it is written
};

// One call of ModelInfer or ModelStreamInfer. A stream carries any number of requests, several of them open
// at once; their answers share its one order, each request's own order kept. Lives on the loop, but for what
// the reactor is told, which is posted there.
class GrpcServer::Call final : public grpc::ServerGenericBidiReactor,
                               public std::enable_shared_from_this<Call> {
 public:
  Call(GrpcServer& owner, grpc::GenericCallbackServerContext* context)
      : owner_(owner),
        io_(owner.io_),
        context_(context),
        first_(owner.io_),
        streams_(context->method() == kStreamInfer) {}

  void start() {
    self_ = shared_from_this();  // until gRPC is done with it
    if (!streams_ && context_->method() != kInfer) {
      const bool repository = context_->method().find("/Repository") != std::string::npos;
      Finish(Status(StatusCode::UNIMPLEMENTED,
                    repository ? "models are loaded at the replicas, not through this router"
                               : "there is no such method"));
      return;
    }
    // The first message is read while the loop hears of the call: a turn of the loop less before it is there.
    reading_ = true;
    StartRead(&in_);
    post([this] {
      owner_.calls_.insert(self_);
      if (owner_.file_.gzip) context_->set_compression_level(GRPC_COMPRESS_LEVEL_MED);
      if (owner_.closing_) return end(Status(StatusCode::UNAVAILABLE, "going down"));
      if (owner_.calls_.size() > owner_.file_.limits.streams) {
        ++owner_.counters_.streams_refused;
        context_->AddTrailingMetadata(kPushback, kFullPushback);
        return end(Status(StatusCode::UNAVAILABLE, "too many calls are open"));
      }
      first_.expires_after(
          std::chrono::microseconds(static_cast<Micros>(owner_.file_.limits.first_request_s * 1e6)));
      first_.async_wait([self = self_](boost::system::error_code ec) {
        if (ec || self->taken_ > 0 || self->ending_) return;
        ++self->owner_.counters_.silent_calls;
        self->end(Status(StatusCode::DEADLINE_EXCEEDED, "no request came"));
      });
    });
  }

  // ---- on gRPC's threads ----
  void OnReadDone(bool ok) override {
    post([this, ok] { got(ok); });
  }
  void OnWriteDone(bool ok) override {
    post([this, ok] { wrote(ok); });
  }
  void OnCancel() override {
    post([this] {
      cancelled_ = true;
      end(Status::CANCELLED);
      settle();
    });
  }
  void OnDone() override {
    post([this] {
      owner_.calls_.erase(self_);
      self_.reset();
    });
  }

  bool idle() const { return open_.empty() && !waiting_; }
  core::Broker& broker() { return owner_.broker_; }

  // ---- what becomes of its requests ----
  void send(const std::shared_ptr<Exchange>& of, std::string_view message) {
    out_.push_back({to_buffer(message), of});
    write();
  }
  void done(const std::shared_ptr<Exchange>& exchange) {
    open_.erase(exchange);
    go_on();
  }
  // A request that failed. A call that has carried one request ends with its status, which is what the retry
  // policy of a client's library reads. Once a stream has carried more, others are open or may come: the
  // failure is a message with the request's id, and the stream lives on.
  void failed(const std::shared_ptr<Exchange>& exchange, const std::string& id, const std::string& model,
              Status status, Micros retry_after) {
    if (exchange) open_.erase(exchange);
    if (!streams_ || (taken_ < 2 && !owner_.file_.errors_in_band)) {
      if (retry_after > 0 && !finished_ && !cancelled_)
        context_->AddTrailingMetadata(kPushback, std::to_string(retry_after / core::kMilli));
      return end(std::move(status));
    }
    inference::ModelStreamInferResponse response;
    response.set_error_message(status.error_message());
    auto& about = *response.mutable_infer_response();
    about.set_id(id);
    about.set_model_name(model);
    auto& parameters = *about.mutable_parameters();
    parameters["flintglade_status"].set_int64_param(status.error_code());
    if (retry_after > 0) parameters["flintglade_retry_after_ms"].set_int64_param(retry_after / core::kMilli);
    parameters["triton_final_response"].set_bool_param(true);
    send(nullptr, response.SerializeAsString());
    go_on();
  }

  // The one end of the call, once all that was passed on is written. What is open on it is given up.
  void end(Status status) {
    if (ending_) return;
    ending_ = true;
    first_.cancel();
    status_ = std::move(status);
    waiting_.reset();
    for (const auto& exchange : std::exchange(open_, {})) exchange->drop();
    settle();
  }

 private:
  template <typename F>
  void post(F f) {
    boost::asio::post(io_, [self = self_, f = std::move(f)] { f(); });
  }

  void read() {
    if (ending_ || reading_ || half_closed_ || waiting_) return;
    reading_ = true;
    StartRead(&in_);
  }

  void got(bool ok) {
    reading_ = false;
    if (ending_) return;
    if (!ok) {  // the client has said all
      half_closed_ = true;
      if (taken_ == 0) return end(Status(StatusCode::INVALID_ARGUMENT, "no request came"));
      return go_on();
    }
    waiting_ = to_string(in_);
    in_.Clear();
    go_on();
  }

  // Takes the next request if there is room, and reads the one behind it. With none left to come, the call
  // ends.
  void go_on() {
    if (ending_) return;
    const std::size_t most = streams_ ? owner_.file_.stream_requests : 1;
    if (waiting_ && open_.size() < most && (streams_ || taken_ == 0)) take_request();
    if (ending_) return;
    // A second message of a unary call is passed over, as gRPC's own servers do.
    if (!streams_ && taken_ > 0) waiting_.reset();
    if (half_closed_ && !waiting_ && open_.empty()) return end(Status::OK);
    if (!streams_ && taken_ > 0 && open_.empty()) return end(Status::OK);
    read();
  }

  void take_request() {
    ++taken_;
    inference::ModelInferRequest request;
    auto rpc = std::make_shared<core::Request>();
    rpc->body = std::move(*waiting_);
    waiting_.reset();
    // Bytes that are no message have no id to answer under: they end the call.
    if (!request.ParseFromString(rpc->body))
      return end(Status(StatusCode::INVALID_ARGUMENT, "not a ModelInferRequest"));
    const auto refuse = [&](StatusCode code, const std::string& why) {
      failed(nullptr, request.id(), request.model_name(), Status(code, why), 0);
    };
    const Model* model = owner_.file_.find(request.model_name(), request.model_version());
    if (model == nullptr) return refuse(StatusCode::NOT_FOUND, "the model is unknown");
    std::string denied;
    std::string wrong = label(request, *model, *rpc, denied);
    if (!denied.empty()) {
      ++owner_.counters_.denied;
      return refuse(StatusCode::PERMISSION_DENIED, denied);
    }
    if (wrong.empty() && owner_.file_.check_tensors) wrong = check_tensors(request, *model);
    if (!wrong.empty()) return refuse(StatusCode::INVALID_ARGUMENT, wrong);
    if (owner_.file_.fill_version && request.model_version().empty())
      name_version(model->highest_version(), *rpc);
    const auto exchange = std::make_shared<Exchange>(*this, request.id(), request.model_name());
    if (!exchange->start(std::move(rpc)))
      return refuse(StatusCode::ALREADY_EXISTS, "a request with this id is open");
    open_.insert(exchange);
  }

  std::string label(const inference::ModelInferRequest& request, const Model& model, core::Request& rpc,
                    std::string& denied) {
    const auto& said = context_->client_metadata();
    const Bound* bound = owner_.file_.bound.empty() ? nullptr : find_bound(owner_.file_.bound, names());
    if (bound == nullptr && owner_.file_.bound_only) denied = "the client's certificate speaks for no tenant";
    const Mapped mapped = map_request(
        request, model, owner_.file_.mapping,
        [&said](const std::string& name) { return find_metadata(said, name.c_str()); }, bound);
    if (denied.empty()) denied = mapped.denied;
    if (!denied.empty()) return "";
    const std::string wrong = config::apply(mapped.labels(), owner_.labels_, rpc);
    if (!wrong.empty()) return wrong;
    rpc.wire = core::Wire::kserve;
    rpc.may_be_empty = streams_ && model.decoupled;
    rpc.target = context_->method();
    rpc.trace_id = find_metadata(said, kTrace);
    // One name for a whole stream: its later requests need their own beside it.
    if (taken_ > 1 && !rpc.trace_id.empty())
      rpc.trace_id += "/" + (request.id().empty() ? std::to_string(taken_) : request.id());
    if (rpc.trace_id.empty()) rpc.trace_id = request.id();
    if (rpc.trace_id.empty()) rpc.trace_id = owner_.name_ + "-" + std::to_string(++owner_.traces_);
    for (const auto& [key, value] : said) {
      const std::string_view name(key.data(), key.size());
      // W3C trace context goes through a router as it is, whatever else does.
      const bool trace = name == "traceparent" || name == "tracestate";
      if (trace || (owner_.file_.pass_metadata && passes_on(name)))
        rpc.metadata.emplace_back(name, std::string(value.data(), value.size()));
    }
    // gRPC's own deadline is for the whole call; no first event is wanted after it either.
    const auto deadline = context_->deadline();
    if (deadline != std::chrono::system_clock::time_point::max()) {
      const auto left =
          std::chrono::duration_cast<std::chrono::microseconds>(deadline - std::chrono::system_clock::now());
      rpc.first_event_timeout = std::clamp<Micros>(left.count(), 0, rpc.first_event_timeout);
    }
    return "";
  }

  // The message is passed on as it came, unknown fields and all, with one field more behind it.
  static void name_version(const std::string& version, core::Request& rpc) {
    if (version.empty()) return;
    inference::ModelInferRequest only;
    only.set_model_version(version);
    rpc.body += only.SerializeAsString();
  }

  // The subject alternative names of the client's certificate.
  std::vector<std::string> names() const {
    std::vector<std::string> out;
    const auto about = context_->auth_context();
    if (!about || !about->IsPeerAuthenticated()) return out;
    for (const auto& san : about->FindPropertyValues(GRPC_X509_SAN_PROPERTY_NAME))
      out.emplace_back(san.data(), san.size());
    return out;
  }

  void write() {
    if (writing_ || out_.empty() || finished_ || cancelled_) return;
    writing_ = true;
    StartWrite(&out_.front().bytes);
  }

  void wrote(bool ok) {
    writing_ = false;
    if (!out_.empty()) {
      const Out sent = std::move(out_.front());
      out_.pop_front();
      if (sent.of) sent.of->written(sent.bytes.Length());
    }
    if (!ok) out_.clear();  // the client is gone; OnCancel says so
    write();
    settle();
  }

  void settle() {
    if (!ending_ || finished_ || writing_ || (!out_.empty() && !cancelled_)) return;
    finished_ = true;
    Finish(status_);
  }

  struct Out {
    grpc::ByteBuffer bytes;
    std::shared_ptr<Exchange> of;
  };

  GrpcServer& owner_;
  boost::asio::io_context& io_;
  grpc::GenericCallbackServerContext* context_;
  std::shared_ptr<Call> self_;
  boost::asio::steady_timer first_;  // for its first request
  grpc::ByteBuffer in_;
  std::optional<std::string>
      waiting_;  // a request that is read and has no room yet; nothing is read behind it
  std::deque<Out> out_;
  std::set<std::shared_ptr<Exchange>> open_;
  std::size_t taken_ = 0;  // requests, good or bad
  Status status_;
  const bool streams_;
  bool reading_ = false, writing_ = false, half_closed_ = false, ending_ = false, finished_ = false,
       cancelled_ = false;
};

bool GrpcServer::Exchange::start(std::shared_ptr<const core::Request> rpc) {
  rpc_ = call_->broker().on_request(std::move(rpc), shared_from_this());
  return rpc_ != 0;
}
bool GrpcServer::Exchange::write_events(std::string_view message) {
  // The core may have an event in the very turn in which it learns that the client is gone. Seen under a
  // storm of cancels: the call had let go of its exchanges by then.
  if (call_ == nullptr) return true;
  backlog_ += message.size();
  call_->send(shared_from_this(), message);
  held_up_ = held_up_ || backlog_ > kBacklog;
  return !held_up_;
}
void GrpcServer::Exchange::written(std::size_t bytes) {
  backlog_ -= std::min(backlog_, bytes);
  if (!held_up_ || backlog_ > 0) return;
  held_up_ = false;
  if (call_ != nullptr) call_->broker().on_client_writable(rpc_);
}
void GrpcServer::Exchange::finish() {
  if (Call* call = std::exchange(call_, nullptr)) call->done(shared_from_this());
}
void GrpcServer::Exchange::fail_with(Status status, Micros retry_after) {
  if (Call* call = std::exchange(call_, nullptr))
    call->failed(shared_from_this(), id_, model_, std::move(status), retry_after);
}
void GrpcServer::Exchange::drop() {
  if (Call* call = std::exchange(call_, nullptr)) call->broker().on_client_disconnected(rpc_);
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

// The calls that say how the router is. Their answers are made on the loop, where the phase is known.
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
      if (owner_.file_.find(request->name(), request->version()) == nullptr) return unknown();
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
      const Model* model = owner_.file_.find(request->name(), request->version());
      if (model == nullptr) return reactor->Finish(unknown());
      describe(*model, *response);
      if (!owner_.ask_ || !model->inputs.empty() || !model->outputs.empty())
        return reactor->Finish(Status::OK);
      owner_.describe({request->name(), request->version()}, {reactor, context, response, *model});
    });
    return reactor;
  }

 private:
  static Status unknown() { return {StatusCode::NOT_FOUND, "the model is unknown"}; }
  static void describe(const Model& model, inference::ModelMetadataResponse& out) {
    out.set_name(model.name);
    out.set_platform(model.platform);
    for (const std::string& v : model.versions) out.add_versions(v);
    for (const Tensor& t : model.inputs) describe(t, *out.add_inputs());
    for (const Tensor& t : model.outputs) describe(t, *out.add_outputs());
  }
  static void describe(const Tensor& t, inference::ModelMetadataResponse::TensorMetadata& out) {
    out.set_name(t.name);
    out.set_datatype(t.datatype);
    for (const std::int64_t n : t.shape) out.add_shape(n);
  }
  template <typename F>
  grpc::ServerUnaryReactor* answer(grpc::CallbackServerContext* context, F make) {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    boost::asio::post(owner_.io_, [reactor, make = std::move(make)] { reactor->Finish(make()); });
    return reactor;
  }
  GrpcServer& owner_;
};

GrpcServer::GrpcServer(boost::asio::io_context& io, core::Broker& broker, ServerSettings file,
                       config::Labels labels, std::string name, const tls::CertificateProvider* keys)
    : io_(io),
      broker_(broker),
      file_(std::move(file)),
      labels_(std::move(labels)),
      name_(std::move(name)),
      keys_(keys),
      connections_(io, file_.limits.connections,
                   [this](int fd) {
                     grpc::experimental::ExternalConnectionAcceptor::NewConnectionParameters connection;
                     connection.listener_fd = -1;
                     connection.fd = fd;
                     acceptor_->HandleNewConnection(&connection);
                   }),
      health_(io),
      descriptions_({file_.replica_metadata.entries, static_cast<Micros>(file_.replica_metadata.ttl_s * 1e6),
                     static_cast<Micros>(file_.replica_metadata.stale_s * 1e6)}) {}

GrpcServer::~GrpcServer() { stop(); }

void GrpcServer::ask_replicas(core::Clock& clock, Ask ask) {
  clock_ = &clock;
  ask_ = std::move(ask);
}

// The response has what the file says already; where the file is silent, a replica's word is put in.
bool GrpcServer::answer_from_cache(const Descriptions::Key& key, const Waiting& question) {
  const Descriptions::Found found = descriptions_.find(key, clock_->now());
  if (found.state == Descriptions::State::absent) return false;
  if (found.state == Descriptions::State::unknown) {
    question.reactor->Finish(Status(StatusCode::NOT_FOUND, "the replicas do not know the model"));
    return true;
  }
  auto& out = *question.response;
  *out.mutable_inputs() = found.said->inputs();
  *out.mutable_outputs() = found.said->outputs();
  if (question.model.versions.empty()) *out.mutable_versions() = found.said->versions();
  if (question.model.platform.empty()) out.set_platform(found.said->platform());
  question.reactor->Finish(Status::OK);
  return true;
}

void GrpcServer::describe(Descriptions::Key key, Waiting question) {
  const auto none = [](const Waiting& w) {
    w.context->AddTrailingMetadata(kPushback, kFullPushback);
    w.reactor->Finish(Status(StatusCode::UNAVAILABLE, "no replica has described the model yet"));
  };
  const bool answered = answer_from_cache(key, question);  // an old word serves while a new one is asked for
  const bool ask = !closing_ && descriptions_.ask(key, clock_->now());
  if (!answered) {
    if ((!ask && !descriptions_.asking(key)) || waiting_count_ >= file_.limits.streams) return none(question);
    waiting_[key].push_back(std::move(question));
    ++waiting_count_;
  }
  if (!ask) return;
  ++counters_.descriptions_asked;
  inference::ModelMetadataRequest asked;
  asked.set_name(key.first);
  asked.set_version(key.second);
  ask_("/inference.GRPCInferenceService/ModelMetadata", asked.SerializeAsString(),
       [this, key, none](const Status& status, const std::string& bytes) {
         inference::ModelMetadataResponse said;
         if (status.ok() && said.ParseFromString(bytes)) {
           descriptions_.told(key, std::move(said), clock_->now());
         } else if (status.error_code() == StatusCode::NOT_FOUND) {
           descriptions_.told_unknown(key, clock_->now());
         } else {
           ++counters_.descriptions_failed;
           descriptions_.failed(key, clock_->now());
         }
         const auto waiting = waiting_.extract(key);
         if (waiting.empty()) return;
         for (const Waiting& w : waiting.mapped()) {
           --waiting_count_;
           if (!answer_from_cache(key, w)) none(w);
         }
       });
}

std::string GrpcServer::listen() {
  standard_ = std::make_unique<Standard>(*this);
  infer_ = std::make_unique<Infer>(*this);
  // Both are plugins of the library, for every server built from here on.
  grpc::EnableDefaultHealthCheckService(true);
  if (file_.reflection) grpc::reflection::InitProtoReflectionServerBuilderPlugin();
  grpc::ServerBuilder builder;
  // The server's handshakes ask the credentials for keys as long as it runs; the builder lets go of them.
  credentials_ = keys_ == nullptr ? grpc::InsecureServerCredentials()
                                  : server_credentials(*keys_, !keys_->current().roots.empty());
  acceptor_ = builder.experimental().AddExternalConnectionAcceptor(
      grpc::ServerBuilder::experimental_type::ExternalConnectionType::FROM_FD, credentials_);
  builder.SetMaxReceiveMessageSize(kLargestMessage);
  // Seen: 200 KB of gzip that unfold to 200 MB took the process there. Only messages as they are, unless
  // asked for.
  for (const auto algorithm : {GRPC_COMPRESS_GZIP, GRPC_COMPRESS_DEFLATE})
    builder.SetCompressionAlgorithmSupportStatus(algorithm, file_.gzip);
  const Limits& limits = file_.limits;
  const auto millis = [](double seconds) { return static_cast<int>(seconds * 1e3); };
  builder.AddChannelArgument(GRPC_ARG_MAX_CONCURRENT_STREAMS,
                             static_cast<int>(limits.streams_per_connection));
  // gRPC spreads the age by a tenth itself, and lets what is open end.
  if (limits.connection_age_s > 0.0)
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_AGE_MS, millis(limits.connection_age_s));
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             millis(limits.least_ping_s));
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 2);
  // Until its handshake is over, of TLS and of HTTP/2, a connection has this long.
  builder.AddChannelArgument(GRPC_ARG_SERVER_HANDSHAKE_TIMEOUT_MS, millis(limits.first_request_s));
  if (limits.connection_idle_s > 0.0)
    builder.AddChannelArgument(GRPC_ARG_MAX_CONNECTION_IDLE_MS, millis(limits.connection_idle_s));
  grpc::ResourceQuota quota("flintglade-kserve");
  quota.Resize(limits.transport_mb << 20);
  builder.SetResourceQuota(quota);
  builder.RegisterService(standard_.get());
  builder.RegisterCallbackGenericService(infer_.get());
  server_ = builder.BuildAndStart();
  if (!server_) return "kserve: the server does not start";
  const std::string error = connections_.listen(file_.listen, port_);
  if (!error.empty()) return error;
  tell_health();
  return "";
}

void GrpcServer::reload(ServerSettings fresh) {
  fresh.listen = file_.listen;
  fresh.replica_port = file_.replica_port;
  fresh.reflection = file_.reflection;
  fresh.gzip = file_.gzip;
  fresh.replica_metadata = file_.replica_metadata;
  // What the server was built with stays; the rest of the limits change.
  const Limits built = file_.limits;
  fresh.limits.streams_per_connection = built.streams_per_connection;
  fresh.limits.transport_mb = built.transport_mb;
  fresh.limits.connection_age_s = built.connection_age_s;
  fresh.limits.least_ping_s = built.least_ping_s;
  fresh.limits.connection_idle_s = built.connection_idle_s;
  connections_.most(fresh.limits.connections);
  file_ = std::move(fresh);
}

// grpc.health.v1 answers Check and Watch by the library; this tells it what has changed. By service: the
// whole server, the inference service, and each model by its name.
void GrpcServer::tell_health() {
  auto* service = server_->GetHealthCheckService();
  if (service == nullptr) return;
  const bool ready = broker_.ready() && !closing_;
  std::map<std::string, bool> now{{"", ready}, {"inference.GRPCInferenceService", ready}};
  for (const Model& m : file_.models) now[m.name] = ready;
  for (const auto& [name, was] : healthy_) now.try_emplace(name, false);  // a model that a reload took away
  for (const auto& [name, is] : now) {
    const auto before = healthy_.find(name);
    if (before == healthy_.end() || before->second != is) service->SetServingStatus(name, is);
  }
  healthy_ = std::move(now);
  health_.expires_after(kHealthEvery);
  health_.async_wait([this](boost::system::error_code ec) {
    if (!ec && server_) tell_health();
  });
}

void GrpcServer::close_idle() {
  closing_ = true;
  for (const auto& call : calls_) {
    if (call->idle()) call->end(Status(StatusCode::UNAVAILABLE, "going down"));
  }
}

void GrpcServer::stop() {
  if (!server_) return;
  close_idle();
  connections_.stop();
  // Shutdown waits for calls whose ends are posted to the loop, so it waits beside the loop.
  std::atomic<bool> down = false;
  std::thread waiter([this, &down] {
    server_->Shutdown(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
    server_->Wait();
    down = true;
  });
  while (!down || !calls_.empty()) io_.run_one_for(std::chrono::milliseconds(10));
  waiter.join();
  health_.cancel();
  server_.reset();
}

}  // namespace flintglade::kserve
