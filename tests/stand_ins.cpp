#include "stand_ins.h"

#include <google/protobuf/wrappers.pb.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <future>

#include "certs.h"
#include "h2_replica.h"
#include "kserve/names.h"
#include "kserve_v2.grpc.pb.h"

namespace flintglade::tests {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using namespace std::chrono_literals;

namespace {

tcp::endpoint loopback(unsigned short port) { return {asio::ip::address_v4::loopback(), port}; }

bool send_all(tcp::socket& socket, const std::string& bytes) {
  error_code ec;
  asio::write(socket, asio::buffer(bytes), ec);
  return !ec;
}
std::string chunk(const std::string& bytes) {
  std::array<char, 16> size{};
  std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
  return size.data() + bytes + "\r\n";
}
std::string option(const Options& options, const std::string& key, const std::string& fallback) {
  const auto it = options.find(key);
  return it == options.end() ? fallback : it->second;
}

// Options cert=NAME and trust=NAME: the certificate in the folder that this side presents, and the authority
// it trusts.
std::string read_pem(const Options& options, const std::string& key, const char* suffix) {
  const std::string name = option(options, key, "");
  return name.empty() ? "" : read_file(option(options, "folder", "") + "/" + name + suffix);
}
std::shared_ptr<grpc::ServerCredentials> server_credentials(const Options& options) {
  if (options.count("cert") == 0) return grpc::InsecureServerCredentials();
  grpc::SslServerCredentialsOptions ssl(options.count("trust") == 0
                                            ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                                            : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
  ssl.pem_root_certs = read_pem(options, "trust", ".pem");
  ssl.pem_key_cert_pairs.push_back({read_pem(options, "cert", ".key"), read_pem(options, "cert", ".pem")});
  return grpc::SslServerCredentials(ssl);
}
std::shared_ptr<grpc::Channel> channel_to(unsigned short port, const Options& options) {
  const std::string address = "ipv4:127.0.0.1:" + std::to_string(port);
  grpc::ChannelArguments args;
  if (options.count("own") != 0)
    args.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // no connection shared with other channels
  if (options.count("ping") != 0) {
    args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, std::stoi(option(options, "ping", "")));
    args.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  }
  if (options.count("trust") == 0)
    return grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), args);
  args.SetSslTargetNameOverride(option(options, "name", "127.0.0.1"));
  return grpc::CreateCustomChannel(
      address,
      grpc::SslCredentials({read_pem(options, "trust", ".pem"), read_pem(options, "cert", ".key"),
                            read_pem(options, "cert", ".pem")}),
      args);
}

// ---- replicas
// -----------------------------------------------------------------------------------------------

class HttpReplica final : public Replica {
 public:
  HttpReplica() : listener_([this](tcp::socket& s) { serve(s); }) {}
  ~HttpReplica() override {
    behaviour.stopping = true;
    listener_.stop();
  }
  unsigned short port() const override { return listener_.port(); }

 private:
  void serve(tcp::socket& socket) {
    boost::beast::flat_buffer buffer;
    error_code ec;
    for (;;) {
      http::request<http::string_body> request;
      http::read(socket, buffer, request, ec);
      if (ec) return;
      if (!behaviour.text.empty()) {
        ++behaviour.calls;
        if (!send_all(socket, std::exchange(behaviour.text, {}))) return;
        continue;
      }
      bool headers_sent = false;
      // Each event is split over two chunks, so that the router has to reassemble it.
      const auto end = behaviour.play([&](int n) {
        const std::string event = "data: {\"n\":" + std::to_string(n) + behaviour.padding() + "}\n\n";
        std::string out = headers_sent ? "" : "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        headers_sent = true;
        out += chunk(event.substr(0, 7)) + chunk(event.substr(7));
        // 'trickle' cuts the bytes anywhere, also within a chunk's size: a router that takes the stream over
        // in between has to continue from that position.
        const std::size_t piece = behaviour.kind == "trickle" ? 5 + n % 7 : out.size();
        for (std::size_t at = 0; at < out.size(); at += piece) {
          if (!send_all(socket, out.substr(at, piece))) return false;
          if (piece < out.size()) std::this_thread::sleep_for(1ms);
        }
        return true;
      });
      switch (end) {
        case Behaviour::End::complete:
          if (!send_all(socket, "0\r\n\r\n")) return;
          break;
        case Behaviour::End::failed:
          if (!send_all(socket, "HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n")) return;
          break;
        case Behaviour::End::shed:
          if (!send_all(socket, "HTTP/1.1 503 no\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")) return;
          break;
        case Behaviour::End::rejected:
          if (!send_all(socket, "HTTP/1.1 400 no\r\nContent-Length: 0\r\n\r\n")) return;
          break;
        case Behaviour::End::broken:
          return;
      }
    }
  }
  Listener listener_;
};

class GrpcReplica final : public Replica, private inference::GRPCInferenceService::Service {
 public:
  explicit GrpcReplica(const Options& options) {
    grpc::EnableDefaultHealthCheckService(true);
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", server_credentials(options), &port_);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
  }
  ~GrpcReplica() override {
    behaviour.stopping = true;
    server_->Shutdown(std::chrono::system_clock::now() + 100ms);
  }
  unsigned short port() const override { return static_cast<unsigned short>(port_); }

 private:
  // Keeps the call's metadata for the step 'saw', with two pseudo-keys: 'version', the requested model
  // version, and 'unknown', the message's number of unknown fields.
  void record_request(const grpc::ServerContext* context, const inference::ModelInferRequest& request) {
    const std::lock_guard lock(behaviour.mutex);
    behaviour.metadata.clear();
    behaviour.metadata["version"] = request.model_version();
    behaviour.metadata["unknown"] =
        std::to_string(request.GetReflection()->GetUnknownFields(request).field_count());
    for (const auto& [key, value] : context->client_metadata())
      behaviour.metadata[{key.data(), key.size()}] = {value.data(), value.size()};
  }
  grpc::Status status_of(Behaviour::End end, grpc::ServerContext* context) {
    switch (end) {
      case Behaviour::End::complete:
        return grpc::Status::OK;
      case Behaviour::End::failed:
        return {grpc::StatusCode::INTERNAL, "no"};
      case Behaviour::End::shed:
        context->AddTrailingMetadata(kserve::kNeverRan, "1");
        return {grpc::StatusCode::UNAVAILABLE, "full"};
      case Behaviour::End::rejected:
        return {grpc::StatusCode::INVALID_ARGUMENT, "no"};
      case Behaviour::End::broken:
        break;
    }
    return {grpc::StatusCode::UNAVAILABLE, "broke"};
  }
  grpc::Status ModelInfer(grpc::ServerContext* context, const inference::ModelInferRequest* request,
                          inference::ModelInferResponse* response) override {
    record_request(context, *request);
    return status_of(behaviour.play([&](int) {
      response->set_id(request->id());
      response->set_model_name(request->model_name());
      response->set_model_version(request->model_version());
      return !context->IsCancelled();
    }),
                     context);
  }
  grpc::Status ModelStreamInfer(grpc::ServerContext* context,
                                grpc::ServerReaderWriter<inference::ModelStreamInferResponse,
                                                         inference::ModelInferRequest>* stream) override {
    inference::ModelInferRequest request;
    stream->Read(&request);
    record_request(context, request);
    return status_of(behaviour.play([&](int n) {
      inference::ModelStreamInferResponse event;
      event.mutable_infer_response()->set_id(request.id());
      event.mutable_infer_response()->set_model_version(std::to_string(n) + behaviour.padding());
      return stream->Write(event) && !context->IsCancelled();
    }),
                     context);
  }
  // The only model: 'shared', version 1, with one input and one output of two INT32.
  static bool serves_model(const std::string& name, const std::string& version) {
    return name == "shared" && (version.empty() || version == "1");
  }
  static grpc::Status unknown_model() { return {grpc::StatusCode::NOT_FOUND, "unknown model"}; }
  grpc::Status ServerLive(grpc::ServerContext*, const inference::ServerLiveRequest*,
                          inference::ServerLiveResponse* response) override {
    response->set_live(true);
    return grpc::Status::OK;
  }
  grpc::Status ServerReady(grpc::ServerContext*, const inference::ServerReadyRequest*,
                           inference::ServerReadyResponse* response) override {
    response->set_ready(true);
    return grpc::Status::OK;
  }
  grpc::Status ServerMetadata(grpc::ServerContext*, const inference::ServerMetadataRequest*,
                              inference::ServerMetadataResponse* response) override {
    response->set_name("stand-in");
    response->set_version("1");
    return grpc::Status::OK;
  }
  grpc::Status ModelReady(grpc::ServerContext*, const inference::ModelReadyRequest* request,
                          inference::ModelReadyResponse* response) override {
    response->set_ready(serves_model(request->name(), request->version()));
    return response->ready() ? grpc::Status::OK : unknown_model();
  }
  grpc::Status ModelMetadata(grpc::ServerContext*, const inference::ModelMetadataRequest* request,
                             inference::ModelMetadataResponse* response) override {
    ++behaviour.metadata_calls;
    if (behaviour.kind == "hang") std::this_thread::sleep_for(1500ms);
    if (behaviour.kind == "error") return {grpc::StatusCode::INTERNAL, "no"};
    if (!serves_model(request->name(), request->version())) return unknown_model();
    response->set_name(request->name());
    response->add_versions("1");
    response->set_platform("stand_in");
    for (auto* tensor : {response->add_inputs(), response->add_outputs()}) {
      tensor->set_name("x");
      tensor->set_datatype("INT32");
      tensor->add_shape(2);
    }
    return grpc::Status::OK;
  }
  int port_ = 0;
  std::unique_ptr<grpc::Server> server_;
};

class RefusingReplica final : public Replica {  // its port has no listener: connections are refused
 public:
  RefusingReplica() : port_(Listener([](tcp::socket&) {}).port()) {}
  unsigned short port() const override { return port_; }

 private:
  unsigned short port_;
};

// ---- clients
// ------------------------------------------------------------------------------------------------

class HttpClient final : public Client {
 public:
  HttpClient(unsigned short port, const std::string& id, Options options) : socket_(io_) {
    reading_paused = options.count("shy") != 0;
    socket_.connect(loopback(port));
    const std::string body(std::stoul(option(options, "body", "2")), 'x');
    std::string head = "POST " + option(options, "path", "/v1/chat/completions") + " HTTP/1.1\r\nHost: b\r\n";
    if (option(options, "trace", "") != "none")
      head += "X-Trace-Id: " + option(options, "trace", id) + "\r\n";
    head += "X-Qos: " + option(options, "class", "chat") +
            "\r\nX-Customer: " + option(options, "tenant", "acme") +
            "\r\nX-Object: " + option(options, "session", "7f") +
            "\r\nX-Expires-In-Ms: " + option(options, "expires", "8000") +
            "\r\nX-Props: " + (options.count("session") == 0 ? "prefix=5c," : "") +
            "prompt_len=100,prefix_len=80,max_out=50\r\nContent-Length: " + std::to_string(body.size()) +
            "\r\n\r\n";
    thread_ = std::thread([this, request = head + body] { run(request); });
  }
  HttpClient(unsigned short port, const std::string& bytes) : socket_(io_), max_polls_(2000) {
    socket_.connect(loopback(port));
    thread_ = std::thread([this, bytes] { run(bytes); });
  }
  ~HttpClient() override {
    close();
    thread_.join();
  }
  void close() override {
    // Shut down before the thread is allowed to read: a client that closes without reading must not receive
    // any of its response.
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    reading_paused = false;
  }
  std::string outcome() override {
    for (int i = 0; i < max_polls_ && !done_; ++i) std::this_thread::sleep_for(2ms);
    return done_ ? outcome_ : "still open";
  }

 private:
  void run(const std::string& request) {
    error_code ec;
    asio::write(socket_, asio::buffer(request), ec);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(1u << 30);
    std::string body;
    while (reading_paused) std::this_thread::sleep_for(2ms);
    while (!parser.is_done() && !ec) {
      buffer.commit(socket_.read_some(buffer.prepare(4096), ec));
      for (error_code more; buffer.size() > 0 && !parser.is_done() && !more;) {
        buffer.consume(parser.put(buffer.data(), more));
      }
      body += std::exchange(parser.get().body(), {});
      for (std::size_t end; (end = body.find("\n\n")) != std::string::npos; ++events) body.erase(0, end + 2);
    }
    outcome_ = outcome_of(parser);
    done_ = true;
  }
  std::string outcome_of(http::response_parser<http::string_body>& parser) {
    if (!parser.is_header_done()) return "nothing";
    const auto& head = parser.get();
    switch (head.result_int()) {
      case 200:
        return parser.is_done() ? "served" : "broken";
      case 503:
        return head.count("Retry-After") != 0 ? "unavailable" : "unavailable without advice";
      case 504:
        return "late";
      case 500:
        return "failed";
      case 400:
        return "invalid";
      case 404:
        return "missing";
      case 408:
        return "slow";
      case 409:
        return "duplicate";
      case 413:
        return "large";
      default:
        return std::to_string(head.result_int());
    }
  }
  asio::io_context io_;
  tcp::socket socket_;
  const int max_polls_ = 15000;  // every 2 ms
  std::string outcome_;
  std::atomic<bool> done_ = false;
  std::thread thread_;
};

class GrpcClient final : public Client {
 public:
  GrpcClient(unsigned short port, const std::string& id, const Options& options) {
    reading_paused = options.count("shy") != 0;
    channel_ = channel_to(port, options);
    stub_ = inference::GRPCInferenceService::NewStub(channel_);
    // 'plain': a standard KServe client that sends none of this router's metadata.
    if (options.count("plain") == 0) add_metadata(options);
    inference::ModelInferRequest request;
    request.set_id(option(options, "trace", id));
    request.set_model_name(option(options, "model", "shared"));
    request.add_raw_input_contents(std::string(std::stoul(option(options, "body", "2")), 'x'));
    if (options.count("plain") != 0) request.clear_raw_input_contents();
    for (const auto& [name, value] : options) {
      if (name.rfind("md.", 0) == 0) context_.AddMetadata(name.substr(3), value);
      if (name.rfind("param.", 0) == 0) {
        auto& parameter = (*request.mutable_parameters())[name.substr(6)];
        const bool is_number = value.find_first_not_of("0123456789") == std::string::npos;
        is_number ? parameter.set_int64_param(std::stoll(value)) : parameter.set_string_param(value);
      }
      if (name == "input") {  // INT32 of shape [2]; the value is the number of raw bytes sent
        auto* input = request.add_inputs();
        input->set_name("x");
        input->set_datatype("INT32");
        input->add_shape(2);
        request.add_raw_input_contents(std::string(std::stoul(value), 'x'));
      }
    }
    if (options.count("gzip") != 0) context_.set_compression_algorithm(GRPC_COMPRESS_GZIP);
    request.set_model_version(option(options, "version", ""));
    if (options.count("twice") != 0) {
      thread_ = std::thread([this, request] { send_two_messages(request); });
      return;
    }
    const bool unary = options.count("unary") != 0;
    thread_ = std::thread([this, request, unary] { unary ? infer(request) : stream(request); });
  }
  ~GrpcClient() override {
    close();
    thread_.join();
  }
  void close() override {
    context_.TryCancel();
    reading_paused = false;
  }
  std::string outcome() override {
    for (int i = 0; i < 15000 && !done_; ++i) std::this_thread::sleep_for(2ms);
    return done_ ? outcome_ : "still open";
  }

 private:
  void add_metadata(const Options& options) {
    context_.AddMetadata(kserve::kClass, option(options, "class", "chat"));
    context_.AddMetadata(kserve::kTenant, option(options, "tenant", "acme"));
    context_.AddMetadata(kserve::kSession, option(options, "session", "7f"));
    if (options.count("session") == 0) context_.AddMetadata(kserve::kPrefix, "5c");
    context_.AddMetadata(kserve::kPromptTokens, "100");
    context_.AddMetadata(kserve::kPrefixTokens, "80");
    context_.AddMetadata(kserve::kExpires, option(options, "expires", "8000"));
  }
  void infer(const inference::ModelInferRequest& request) {
    inference::ModelInferResponse response;
    const grpc::Status status = stub_->ModelInfer(&context_, request, &response);
    events = status.ok() ? 1 : 0;
    finish(status);
  }
  // Sends two messages on a unary call.
  void send_two_messages(const inference::ModelInferRequest& request) {
    struct Reactor : grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer> {
      std::promise<grpc::Status> status;
      int writes = 0, reads = 0;
      grpc::ByteBuffer out, in;
      void OnWriteDone(bool ok) override {
        if (ok && ++writes < 2) StartWriteLast(&out, {});
      }
      void OnReadDone(bool ok) override {
        if (ok && ++reads > 0) StartRead(&in);
      }
      void OnDone(const grpc::Status& s) override { status.set_value(s); }
    } reactor;
    reactor.out = kserve::to_buffer(request.SerializeAsString());
    grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer> stub(channel_);
    stub.PrepareBidiStreamingCall(&context_, std::string(kserve::kInfer), {}, &reactor);
    reactor.StartWrite(&reactor.out);
    reactor.StartRead(&reactor.in);
    reactor.StartCall();
    const grpc::Status status = reactor.status.get_future().get();
    events = reactor.reads;
    finish(status);
  }
  void stream(const inference::ModelInferRequest& request) {
    const auto call = stub_->ModelStreamInfer(&context_);
    call->Write(request);
    call->WritesDone();
    inference::ModelStreamInferResponse event;
    while (reading_paused) std::this_thread::sleep_for(2ms);
    while (call->Read(&event)) ++events;
    finish(call->Finish());
  }
  void finish(const grpc::Status& status) {
    const bool has_retry_advice = context_.GetServerTrailingMetadata().count(kserve::kPushback) != 0;
    switch (status.error_code()) {
      case grpc::StatusCode::OK:
        outcome_ = "served";
        break;
      case grpc::StatusCode::UNAVAILABLE:
        outcome_ = has_retry_advice ? "unavailable" : "unavailable without advice";
        break;
      case grpc::StatusCode::DEADLINE_EXCEEDED:
        outcome_ = "late";
        break;
      case grpc::StatusCode::INTERNAL:
        outcome_ = events > 0 ? "broken" : "failed";
        break;
      case grpc::StatusCode::INVALID_ARGUMENT:
        outcome_ = "invalid";
        break;
      case grpc::StatusCode::NOT_FOUND:
        outcome_ = "missing";
        break;
      case grpc::StatusCode::UNIMPLEMENTED:
        outcome_ = "unsupported";
        break;
      case grpc::StatusCode::PERMISSION_DENIED:
        outcome_ = "denied";
        break;
      case grpc::StatusCode::ALREADY_EXISTS:
        outcome_ = "duplicate";
        break;
      case grpc::StatusCode::RESOURCE_EXHAUSTED:
        outcome_ = "large";
        break;
      default:
        outcome_ = "status " + std::to_string(status.error_code()) + ": " + status.error_message();
    }
    done_ = true;
  }
  std::shared_ptr<grpc::Channel> channel_;
  std::unique_ptr<inference::GRPCInferenceService::Stub> stub_;
  grpc::ClientContext context_;
  std::string outcome_;
  std::atomic<bool> done_ = false;
  std::thread thread_;
};

}  // namespace

Behaviour::End Behaviour::play(const std::function<bool(int)>& emit) {
  ++calls;
  const auto wait_until = [this, &emit](const std::atomic<bool>& flag, bool emitting) {
    for (int n = 0; !flag && !stopping; ++n) {
      if (emitting && n % 10 == 0 && !emit(n / 10)) return false;
      std::this_thread::sleep_for(5ms);
    }
    return true;
  };
  if (kind == "error") return End::failed;
  if (kind == "reject") return End::rejected;
  if (kind == "full") return End::shed;
  if (kind == "gated" && !emit(0)) return End::broken;  // at least one event, even if already released
  if (kind == "gated") return wait_until(released, true) ? End::complete : End::broken;
  for (int n = 0; n < events && kind != "hang" && kind != "none"; ++n) {
    if (!emit(n)) return End::broken;
    if (kind == "trickle") std::this_thread::sleep_for(25ms);
  }
  if (kind == "stream" || kind == "trickle" || kind == "flood" || kind == "none") return End::complete;
  if (kind == "break")
    std::this_thread::sleep_for(50ms);  // the events must arrive before the connection is closed
  if (kind != "break") wait_until(stopping, false);
  return End::broken;
}

Listener::Listener(Serve serve) : acceptor_(io_, loopback(0)), serve_(std::move(serve)) {
  port_ = acceptor_.local_endpoint().port();
  threads_.emplace_back([this] {
    for (int id = 0;; ++id) {
      const auto socket = std::make_shared<tcp::socket>(io_);
      error_code ec;
      acceptor_.accept(*socket, ec);
      const std::lock_guard lock(mutex_);
      if (ec || stopping_) return;
      open_[id] = socket;
      threads_.emplace_back([this, id, socket] {
        serve_(*socket);
        const std::lock_guard closing(mutex_);
        open_.erase(id);
        error_code ignored;
        socket->close(ignored);
      });
    }
  });
}

void Listener::stop() {
  if (stopping_.exchange(true)) return;
  error_code ignored;
  ::shutdown(acceptor_.native_handle(), SHUT_RDWR);  // wakes the accepting thread
  threads_.front().join();
  acceptor_.close(ignored);
  {
    const std::lock_guard lock(mutex_);
    for (auto& [id, socket] : open_) socket->shutdown(tcp::socket::shutdown_both, ignored);
  }
  for (std::size_t i = 1; i < threads_.size(); ++i) threads_[i].join();
}

std::unique_ptr<Replica> make_replica(Protocol protocol, const std::string& kind, int events,
                                      const Options& options) {
  std::unique_ptr<Replica> out;
  if (kind == "refuse") {
    out = std::make_unique<RefusingReplica>();
  } else if (kind.rfind("h2.", 0) == 0) {
    out = make_h2_replica(options);
  } else if (protocol == Protocol::http) {
    out = std::make_unique<HttpReplica>();
  } else {
    out = std::make_unique<GrpcReplica>(options);
  }
  out->behaviour.kind = kind;
  out->behaviour.events = events;
  return out;
}

Discovery::Discovery() : listener_(std::make_unique<Listener>([this](tcp::socket& s) { serve(s); })) {
  port_ = listener_->port();
}
Discovery::~Discovery() {
  stopping_ = true;
  down();
}
void Discovery::down() {
  stopping_ = true;
  if (listener_) listener_->stop();
}
unsigned short Discovery::move() {
  const auto old = std::exchange(listener_, std::make_unique<Listener>([this](tcp::socket& s) { serve(s); }));
  return port_ = listener_->port();
}
void Discovery::change(const std::string& entries) {
  const std::lock_guard lock(mutex_);
  lines_.push_back("{\"rev\":" + std::to_string(lines_.size() + 1) +
                   ",\"all\":" + (lines_.empty() ? "true" : "false") + ",\"targets\":[" + entries + "]}\n");
}
void Discovery::serve(tcp::socket& socket) {
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  error_code ec;
  http::read(socket, buffer, request, ec);
  if (ec || !send_all(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")) return;
  std::size_t sent = 0;
  for (int n = 0; !stopping_; ++n) {
    std::string out;
    if (!silent_) {
      const std::lock_guard lock(mutex_);
      while (sent < lines_.size()) out += chunk(lines_[sent++]);
    }
    if (n % 200 == 199 && !silent_) out += chunk("\n");
    if (!out.empty() && !send_all(socket, out)) return;
    std::this_thread::sleep_for(5ms);
  }
}

std::unique_ptr<Client> make_client(Protocol protocol, unsigned short port, const std::string& id,
                                    Options options) {
  if (protocol == Protocol::http) return std::make_unique<HttpClient>(port, id, std::move(options));
  return std::make_unique<GrpcClient>(port, id, options);
}

std::unique_ptr<Client> make_raw_client(unsigned short port, const std::string& bytes) {
  return std::make_unique<HttpClient>(port, bytes);
}

namespace {
class GrpcStream final : public Stream {
 public:
  explicit GrpcStream(unsigned short port)
      : stub_(inference::GRPCInferenceService::NewStub(channel_to(port, {}))) {
    context_.AddMetadata(kserve::kClass, "chat");
    context_.AddMetadata(kserve::kTenant, "acme");
    call_ = stub_->ModelStreamInfer(&context_);
    reader_ = std::thread([this] {
      inference::ModelStreamInferResponse event;
      while (call_->Read(&event)) on_message(event);
      const grpc::Status status = call_->Finish();
      const std::lock_guard lock(mutex_);
      final_status_ = status.ok() ? "OK" : "status " + std::to_string(status.error_code());
    });
  }
  ~GrpcStream() override {
    cancel();
    reader_.join();
  }
  void send_request(const std::string& id, const std::string& model, long timeout_us) override {
    inference::ModelInferRequest request;
    request.set_id(id);
    request.set_model_name(model);
    if (timeout_us > 0) (*request.mutable_parameters())["timeout"].set_int64_param(timeout_us);
    call_->Write(request);
  }
  void half_close() override { call_->WritesDone(); }
  void cancel() override { context_.TryCancel(); }
  int response_count(const std::string& id) override {
    const std::lock_guard lock(mutex_);
    return response_counts_[id];
  }
  std::string error(const std::string& id) override {
    const std::lock_guard lock(mutex_);
    return errors_[id];
  }
  std::string final_status() override {
    for (int i = 0; i < 15000; ++i) {
      {
        const std::lock_guard lock(mutex_);
        if (!final_status_.empty()) return final_status_;
      }
      std::this_thread::sleep_for(2ms);
    }
    return "still open";
  }

 private:
  void on_message(const inference::ModelStreamInferResponse& event) {
    const std::lock_guard lock(mutex_);
    const auto& response = event.infer_response();
    if (!event.error_message().empty()) {
      errors_[response.id()] = event.error_message();
    } else if (const int n = std::stoi(response.model_version()); n >= last_event_[response.id()]) {
      last_event_[response.id()] = n;  // equal is in order: a gated replica sends number 0 twice
      ++response_counts_[response.id()];
    } else {
      errors_[response.id()] = "out of order";
    }
  }
  std::unique_ptr<inference::GRPCInferenceService::Stub> stub_;
  grpc::ClientContext context_;
  std::unique_ptr<grpc::ClientReaderWriter<inference::ModelInferRequest, inference::ModelStreamInferResponse>>
      call_;
  std::mutex mutex_;
  std::map<std::string, int> response_counts_, last_event_;
  std::map<std::string, std::string> errors_;
  std::string final_status_;
  std::thread reader_;
};
}  // namespace

std::unique_ptr<Stream> make_stream(unsigned short port) { return std::make_unique<GrpcStream>(port); }

void measure_grpc(unsigned short router, unsigned short replica, int requests) {
  using Clock = std::chrono::steady_clock;
  std::array<std::unique_ptr<inference::GRPCInferenceService::Stub>, 2> stubs;
  for (int i = 0; i < 2; ++i)
    stubs[static_cast<std::size_t>(i)] =
        inference::GRPCInferenceService::NewStub(channel_to(i == 0 ? replica : router, {}));
  const auto stream = [&](std::size_t to, int number, double& first_latency_us, double& stream_seconds) {
    grpc::ClientContext context;
    context.AddMetadata(kserve::kClass, "chat");
    context.AddMetadata(kserve::kTenant, "acme");
    context.AddMetadata(kserve::kSession, std::to_string(number));
    inference::ModelInferRequest request;
    request.set_id("m" + std::to_string(to) + "-" + std::to_string(number));
    request.set_model_name("shared");
    const auto from = Clock::now();
    const auto call = stubs[to]->ModelStreamInfer(&context);
    call->Write(request);
    call->WritesDone();
    inference::ModelStreamInferResponse event;
    int events = 0;
    while (call->Read(&event)) {
      if (++events == 1)
        first_latency_us = std::chrono::duration<double, std::micro>(Clock::now() - from).count();
    }
    call->Finish();
    stream_seconds = std::chrono::duration<double>(Clock::now() - from).count();
    return events;
  };
  std::array<std::vector<double>, 2> first_message_us;
  std::array<double, 2> total_seconds{};
  std::array<long, 2> events{};
  for (int n = 0; n < requests; ++n) {
    for (std::size_t to = 0; to < 2; ++to) {
      double first_latency_us = 0.0, stream_seconds = 0.0;
      events[to] += stream(to, n, first_latency_us, stream_seconds);
      if (n < requests / 10) continue;  // warm-up
      first_message_us[to].push_back(first_latency_us);
      total_seconds[to] += stream_seconds;
    }
  }
  for (auto& latencies : first_message_us) std::sort(latencies.begin(), latencies.end());
  const auto percentile = [&](std::size_t target, double quantile) {
    return first_message_us[target][static_cast<std::size_t>(
        quantile * static_cast<double>(first_message_us[target].size() - 1))];
  };
  for (std::size_t to = 0; to < 2; ++to)
    std::printf("%s requests=%zu first_p50_us=%.0f first_p99_us=%.0f messages_per_s=%.0f\n",
                to == 0 ? "straight" : "through ", first_message_us[to].size(), percentile(to, 0.5),
                percentile(to, 0.99), static_cast<double>(events[to]) * 0.9 / total_seconds[to]);
  std::printf("added first_p50_us=%.0f first_p99_us=%.0f\n", percentile(1, 0.5) - percentile(0, 0.5),
              percentile(1, 0.99) - percentile(0, 0.99));
}

void measure_handshakes(unsigned short port, const Options& options, int connections) {
  Options fresh_connection_options = options;
  fresh_connection_options["own"] = "";
  const auto from = std::chrono::steady_clock::now();
  for (int i = 0; i < connections; ++i) {
    const auto stub = inference::GRPCInferenceService::NewStub(channel_to(port, fresh_connection_options));
    grpc::ClientContext context;
    inference::ServerLiveResponse response;
    if (!stub->ServerLive(&context, {}, &response).ok()) throw std::runtime_error("ServerLive call failed");
  }
  std::printf("connections_per_s=%.0f\n",
              connections / std::chrono::duration<double>(std::chrono::steady_clock::now() - from).count());
}

std::string grpc_health(unsigned short port, const std::string& service) {
  // The request of grpc.health.v1 has a string and the response a number, both as field 1: wire-compatible
  // with StringValue and UInt32Value, so its schema is not needed.
  google::protobuf::StringValue check_request;
  check_request.set_value(service);
  const grpc::ByteBuffer request = kserve::to_buffer(check_request.SerializeAsString());
  grpc::ByteBuffer response;
  grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer> stub(channel_to(port, {}));
  grpc::ClientContext context;
  std::promise<grpc::Status> done;
  stub.UnaryCall(&context, "/grpc.health.v1.Health/Check", {}, &request, &response,
                 [&done](const grpc::Status& status) { done.set_value(status); });
  const grpc::Status status = done.get_future().get();
  if (status.error_code() == grpc::StatusCode::NOT_FOUND) return "NOT_FOUND";
  google::protobuf::UInt32Value state;
  if (!status.ok() || !state.ParseFromString(kserve::to_string(response))) return status.error_message();
  return state.value() == 1 ? "SERVING" : "NOT_SERVING";
}

std::string grpc_model_metadata(unsigned short port, const std::string& model, const std::string& version) {
  const auto stub = inference::GRPCInferenceService::NewStub(channel_to(port, {}));
  grpc::ClientContext context;
  inference::ModelMetadataRequest request;
  request.set_name(model);
  request.set_version(version);
  inference::ModelMetadataResponse response;
  const grpc::Status status = stub->ModelMetadata(&context, request, &response);
  if (status.ok()) return response.ShortDebugString();
  return status.error_code() == grpc::StatusCode::NOT_FOUND     ? "NOT_FOUND"
         : status.error_code() == grpc::StatusCode::UNAVAILABLE ? "UNAVAILABLE"
                                                                : status.error_message();
}

std::string http_call(unsigned short port, const std::string& method, const std::string& path) {
  asio::io_context io;
  tcp::socket socket(io);
  error_code ec;
  socket.connect(loopback(port), ec);
  if (ec || !send_all(socket, method + " " + path + " HTTP/1.1\r\nHost: b\r\n\r\n")) return "";
  boost::beast::flat_buffer buffer;
  http::response<http::string_body> response;
  http::read(socket, buffer, response, ec);
  return ec ? "" : std::to_string(response.result_int()) + " " + response.body();
}
int http_status(unsigned short port, const std::string& path) {
  return std::atoi(http_call(port, "GET", path).c_str());
}

}  // namespace flintglade::tests
