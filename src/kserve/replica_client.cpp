#include "kserve/replica_client.h"

#include <grpc/compression.h>
#include <grpcpp/create_channel.h>
#include <grpcpp/generic/generic_stub.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <utility>

#include "config/config.h"
#include "kserve/credentials.h"
#include "kserve/metadata.h"
#include "kserve/names.h"
#include "kserve/read_ahead.h"
#include "kserve_v2.pb.h"
#include "log/log.h"

namespace flintglade::kserve {

using core::Micros;
using policy::Outcome;

namespace {

constexpr int kPingTimeoutMs = 2000;
constexpr std::chrono::seconds kQueryTimeout{1};
constexpr int kMaxQueryTries = 2;

// Disables gRPC's own retries (each arrival at a replica must be an attempt of the router), long reconnect
// backoff and the use of a proxy.
std::shared_ptr<grpc::Channel> open_channel(const config::HostPort& address,
                                            const ReplicaClientSettings& settings) {
  const std::string target = channel_target(address);
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  if (settings.ping > 0) {
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(settings.ping / core::kMilli));
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPingTimeoutMs);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);  // no limit while a call is open
  }
  arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
  arguments.SetInt(GRPC_COMPRESSION_CHANNEL_ENABLED_ALGORITHMS_BITSET, 1 << GRPC_COMPRESS_NONE);
  if (settings.certificate_provider == nullptr)
    return grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), arguments);
  arguments.SetSslTargetNameOverride(settings.server_name.empty() ? address.host : settings.server_name);
  return grpc::CreateCustomChannel(target, channel_credentials(settings.certificate_provider->current()),
                                   arguments);
}

}  // namespace

// The gRPC call of one attempt. Both methods run as a stream of messages, which they are on the wire. The
// reactor's callbacks arrive on gRPC's threads and are posted to the event loop; all members except the
// buffers and the ReadAhead are used on the event loop only.
class GrpcReplicaClient::Call final : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>,
                                      public std::enable_shared_from_this<Call> {
 public:
  Call(GrpcReplicaClient& owner, core::AttemptId id, std::shared_ptr<const core::Request> rpc,
       Micros first_event_timeout)
      : owner_(owner), io_(owner.io_), id_(id), rpc_(std::move(rpc)), dial_timer_(owner.io_) {
    is_stream_ = rpc_->target == kStreamInfer;
    add_metadata(kTrace, header_value(rpc_->trace_id));
    for (const auto& [name, value] : rpc_->metadata) add_metadata(name, value);
    add_metadata(kExpires, std::to_string(std::max<Micros>(1, first_event_timeout / core::kMilli)));
    ++owner_.unfinished_;
  }

  void start(const std::shared_ptr<grpc::Channel>& channel, Micros dial) {
    self_ = shared_from_this();  // released in OnDone
    stub_ = std::make_unique<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>>(channel);
    stub_->PrepareBidiStreamingCall(&context_, rpc_->target, {}, this);
    AddHold();  // needed because reads are started outside the reactor's callbacks
    request_buffer_ = to_buffer(rpc_->body);
    StartWriteLast(&request_buffer_, grpc::WriteOptions());
    start_read_if(read_ahead_.start());
    StartCall();
    // Cancels the call if the request is not written in time. This also keeps gRPC, which knows nothing of
    // draining, from sending the request over a late connection to a replica that has started to drain.
    dial_timer_.expires_after(std::chrono::microseconds(dial));
    dial_timer_.async_wait([self = self_](boost::system::error_code ec) {
      if (!ec && !self->written_ && !self->cancelled_) self->context_.TryCancel();
    });
  }

  void cancel() {
    cancelled_ = true;
    dial_timer_.cancel();
    stop_reading();
  }

  void pause(bool paused) {
    if (paused) return read_ahead_.pause();
    start_read_if(read_ahead_.resume());
  }

  // ---- called on gRPC's threads ----
  void OnWriteDone(bool ok) override {
    post([this, ok] {
      written_ = ok;
      if (ok) owner_.broker_.on_attempt_written();
    });
  }
  void OnReadDone(bool ok) override {
    if (!ok) {
      read_ahead_.on_end();
      return post([this] { release_hold_if_finished(); });
    }
    std::string message = to_string(response_buffer_);
    const bool reads_on = read_ahead_.on_message(message.size());
    post([this, message = std::move(message)]() mutable { on_message(std::move(message)); });
    start_read_if(reads_on);  // after the post, which keeps the messages in order
  }
  void OnDone(const grpc::Status& status) override {
    post([this, status] { on_done(status); });
  }

 private:
  // The servers check what clients send. gRPC would end the process on what it cannot send.
  void add_metadata(std::string_view name, std::string_view value) {
    if (is_sendable_metadata(name, value)) context_.AddMetadata(std::string(name), std::string(value));
  }

  template <typename F>
  void post(F handler) {
    boost::asio::post(io_,
                      [self = shared_from_this(), handler = std::move(handler)]() mutable { handler(); });
  }

  void on_message(std::string message) {
    const std::size_t bytes = message.size();
    if (!reading_stopped_) handle_message(std::move(message));
    start_read_if(read_ahead_.on_handled(bytes));
    release_hold_if_finished();
  }

  void handle_message(std::string message) {
    if (!response_started_ && is_stream_) {
      inference::ModelStreamInferResponse first;
      // An error as the first message is not a response: another replica may still give one.
      if (!first.ParseFromString(message) || (!first.error_message().empty() && !first.has_infer_response()))
        return stop_reading();
    }
    response_started_ = true;
    owner_.broker_.on_attempt_events(id_, std::move(message));
  }

  // Callable on any thread: ReadAhead permits one read at a time.
  void start_read_if(bool permitted) {
    if (permitted) StartRead(&response_buffer_);
  }

  // Ends the call. Messages that have been read and not handled yet are discarded.
  void stop_reading() {
    reading_stopped_ = true;
    read_ahead_.stop();
    context_.TryCancel();
    release_hold_if_finished();
  }

  // The hold is released once no read can start any more.
  void release_hold_if_finished() {
    if (!read_ahead_.is_finished() || std::exchange(hold_released_, true)) return;
    RemoveHold();
  }

  void on_done(const grpc::Status& status) {
    dial_timer_.cancel();
    --owner_.unfinished_;
    const auto keep_alive = std::exchange(self_, nullptr);
    if (cancelled_) return;
    std::uint32_t cached_tokens = 0;
    const auto& trailing = context_.GetServerTrailingMetadata();
    const std::string_view cached_tokens_text = find_metadata(trailing, kCachedTokens);
    std::from_chars(cached_tokens_text.data(), cached_tokens_text.data() + cached_tokens_text.size(),
                    cached_tokens);
    Outcome outcome = Outcome::error;
    if (status.ok() && (response_started_ || rpc_->may_be_empty)) {
      outcome = Outcome::ok;
    } else if (!response_started_ && find_metadata(trailing, kNeverRan) == "1") {
      outcome = Outcome::full;
    } else if (!written_) {
      outcome = Outcome::connect_failed;  // the request was never written to a connection
      if (owner_.settings_.certificate_provider != nullptr)
        log::event(log::Level::warn, "replica_unreachable", {{"why", status.error_message()}});
    } else if (status.error_code() == grpc::StatusCode::UNAVAILABLE) {
      outcome = Outcome::reset;
    }
    if (!status.ok())
      log::event(log::Level::debug, "attempt_failed",
                 {{"status", static_cast<int>(status.error_code())},
                  {"began", response_started_},
                  {"why", status.error_message()}});
    owner_.calls_.erase(id_);
    if (!response_started_ && status.error_code() == grpc::StatusCode::INVALID_ARGUMENT)
      return owner_.broker_.on_attempt_rejected(id_);
    owner_.broker_.on_attempt_ended(id_, outcome, cached_tokens);
  }

  GrpcReplicaClient& owner_;
  boost::asio::io_context& io_;
  core::AttemptId id_;
  std::shared_ptr<const core::Request> rpc_;
  boost::asio::steady_timer dial_timer_;
  grpc::ClientContext context_;
  std::unique_ptr<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>> stub_;
  grpc::ByteBuffer request_buffer_, response_buffer_;
  std::shared_ptr<Call> self_;
  ReadAhead read_ahead_;
  bool is_stream_ = false, written_ = false, response_started_ = false, cancelled_ = false,
       reading_stopped_ = false, hold_released_ = false;
};

GrpcReplicaClient::GrpcReplicaClient(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock,
                                     ReplicaClientSettings settings)
    : io_(io), broker_(broker), clock_(clock), settings_(std::move(settings)) {}
GrpcReplicaClient::~GrpcReplicaClient() = default;

void GrpcReplicaClient::update_endpoint(const core::Endpoint& endpoint, Micros no_new_after) {
  Subchannel& subchannel = subchannels_[endpoint.replica.id];
  if (!endpoint.address.empty() && subchannel.address != endpoint.address) {
    subchannel.address = endpoint.address;
    subchannel.channel.reset();
  }
  subchannel.no_new_after = no_new_after;
  subchannel.ready = endpoint.replica.health == policy::Health::ready && no_new_after == core::kNever;
  if (endpoint.replica.health == policy::Health::gone)
    subchannel.channel.reset();  // calls in progress keep it
}

std::shared_ptr<grpc::Channel> GrpcReplicaClient::channel(Subchannel& subchannel) {
  config::HostPort address;
  if (subchannel.channel || !config::parse_host_port(subchannel.address, address)) return subchannel.channel;
  if (settings_.replica_port != 0) address.port = settings_.replica_port;
  return subchannel.channel = open_channel(address, settings_);
}

// One query, sent to the next ready replica at each try. Keeps itself alive until its handler is called.
class GrpcReplicaClient::Query final : public std::enable_shared_from_this<Query> {
 public:
  Query(GrpcReplicaClient& owner, std::string method, std::string question, AnswerHandler answered)
      : owner_(owner),
        method_(std::move(method)),
        question_(to_buffer(question)),
        answered_(std::move(answered)) {}
  void send() {
    ++tries_;
    const auto channel = owner_.next_ready_channel();
    if (!channel) return answered_({grpc::StatusCode::UNAVAILABLE, "no replica is ready"}, "");
    ++owner_.unfinished_;
    context_ = std::make_unique<grpc::ClientContext>();
    context_->set_deadline(std::chrono::system_clock::now() + kQueryTimeout);
    stub_ = std::make_unique<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>>(channel);
    stub_->UnaryCall(context_.get(), method_, {}, &question_, &answer_,
                     [self = shared_from_this()](const grpc::Status& status) {
                       boost::asio::post(self->owner_.io_, [self, status] { self->done(status); });
                     });
  }

 private:
  void done(const grpc::Status& status) {
    --owner_.unfinished_;
    const bool answered = status.ok() || status.error_code() == grpc::StatusCode::NOT_FOUND;
    if (!answered && tries_ < kMaxQueryTries) return send();
    answered_(status, status.ok() ? to_string(answer_) : "");
  }
  GrpcReplicaClient& owner_;
  std::string method_;
  grpc::ByteBuffer question_, answer_;
  AnswerHandler answered_;
  std::unique_ptr<grpc::ClientContext> context_;
  std::unique_ptr<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>> stub_;
  int tries_ = 0;
};

std::shared_ptr<grpc::Channel> GrpcReplicaClient::next_ready_channel() {
  // Round robin: the first ready replica after the last one queried, by id and with wraparound.
  Subchannel* next = nullptr;
  core::ReplicaId next_id = 0;
  for (auto& [id, subchannel] : subchannels_) {
    if (!subchannel.ready) continue;
    if (next == nullptr || id - last_queried_ - 1 < next_id - last_queried_ - 1) {
      next = &subchannel;
      next_id = id;
    }
  }
  if (next == nullptr) return nullptr;
  last_queried_ = next_id;
  return channel(*next);
}

void GrpcReplicaClient::ask(std::string method, std::string question, AnswerHandler answered) {
  std::make_shared<Query>(*this, std::move(method), std::move(question), std::move(answered))->send();
}

void GrpcReplicaClient::reset_channels() {
  for (auto& [id, subchannel] : subchannels_) subchannel.channel.reset();
}

void GrpcReplicaClient::start_attempt(core::AttemptId id, core::ReplicaId replica,
                                      std::shared_ptr<const core::Request> rpc, Micros first_event_timeout) {
  const auto it = subchannels_.find(replica);
  const Micros now = clock_.now();
  if (it == subchannels_.end() || now >= it->second.no_new_after)
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  Subchannel& subchannel = it->second;
  const auto open = channel(subchannel);
  if (!open) return broker_.on_attempt_ended(id, Outcome::connect_failed);
  const auto call = std::make_shared<Call>(*this, id, std::move(rpc), first_event_timeout);
  calls_[id] = call;
  call->start(open, std::min(settings_.dial_timeout, subchannel.no_new_after - now));
}

void GrpcReplicaClient::cancel_attempt(core::AttemptId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end()) return;
  const auto call = it->second;
  calls_.erase(it);
  call->cancel();
}

void GrpcReplicaClient::pause_attempt(core::AttemptId id, bool paused) {
  const auto it = calls_.find(id);
  if (it != calls_.end()) it->second->pause(paused);
}

}  // namespace flintglade::kserve
