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
#include "kserve/names.h"
#include "kserve_v2.pb.h"
#include "log/log.h"

namespace flintglade::kserve {

using core::Micros;
using policy::Outcome;

namespace {

constexpr int kPingTimeout = 2000;  // ms
constexpr std::chrono::seconds kAnswerTime{1};
constexpr int kQuestionTries = 2;

// gRPC may not send anything again by itself (each arrival at a replica is an attempt), nor wait long before
// it connects anew, nor look for a proxy.
std::shared_ptr<grpc::Channel> open_channel(const config::HostPort& at, const ReplicaClientSettings& set) {
  const std::string target = channel_target(at);
  grpc::ChannelArguments args;
  args.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  args.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
  args.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 100);
  args.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
  args.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  args.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  if (set.ping > 0) {
    args.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, static_cast<int>(set.ping / core::kMilli));
    args.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, kPingTimeout);
    args.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);  // as long as the call is open
  }
  args.SetMaxReceiveMessageSize(kLargestMessage);
  args.SetInt(GRPC_COMPRESSION_CHANNEL_ENABLED_ALGORITHMS_BITSET, 1 << GRPC_COMPRESS_NONE);
  if (set.keys == nullptr) return grpc::CreateCustomChannel(target, grpc::InsecureChannelCredentials(), args);
  args.SetSslTargetNameOverride(set.server_name.empty() ? at.host : set.server_name);
  return grpc::CreateCustomChannel(target, channel_credentials(set.keys->current()), args);
}

}  // namespace

// One call attempt. Both methods are run as a stream of messages, which is what they are on the wire. What
// the reactor is told on gRPC's threads is posted to the loop; every member but the buffers lives there.
class GrpcReplicaClient::Call final : public grpc::ClientBidiReactor<grpc::ByteBuffer, grpc::ByteBuffer>,
                                      public std::enable_shared_from_this<Call> {
 public:
  Call(GrpcReplicaClient& owner, core::AttemptId id, std::shared_ptr<const core::Request> rpc,
       Micros patience)
      : owner_(owner), io_(owner.io_), id_(id), rpc_(std::move(rpc)), dial_(owner.io_) {
    streams_ = rpc_->target == kStreamInfer;
    context_.AddMetadata(kTrace, header_value(rpc_->trace_id));
    for (const auto& [name, value] : rpc_->metadata) context_.AddMetadata(name, value);
    context_.AddMetadata(kExpires, std::to_string(std::max<Micros>(1, patience / core::kMilli)));
    ++owner_.unfinished_;
  }

  void start(const std::shared_ptr<grpc::Channel>& channel, Micros dial) {
    self_ = shared_from_this();  // until gRPC is done with it
    stub_ = std::make_unique<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>>(channel);
    stub_->PrepareBidiStreamingCall(&context_, rpc_->target, {}, this);
    AddHold();  // reads are started from the loop
    out_ = to_buffer(rpc_->body);
    StartWriteLast(&out_, grpc::WriteOptions());
    reading_ = true;
    StartRead(&in_);
    StartCall();
    // A connection that does not come up in time is given up; it is also never to carry a call whose replica
    // has since drained, which gRPC, once connected, would not ask about.
    dial_.expires_after(std::chrono::microseconds(dial));
    dial_.async_wait([self = self_](boost::system::error_code ec) {
      if (!ec && !self->written_ && !self->dropped_) self->context_.TryCancel();
    });
  }

  void cancel() {
    dropped_ = true;
    dial_.cancel();
    context_.TryCancel();
    if (!reading_) let_go();
  }

  void pause(bool paused) {
    paused_ = paused;
    read_on();
  }

  // ---- on gRPC's threads ----
  void OnWriteDone(bool ok) override {
    post([this, ok] {
      written_ = ok;
      if (ok) owner_.broker_.on_attempt_written();
    });
  }
  void OnReadDone(bool ok) override {
    post([this, ok] { got(ok); });
  }
  void OnDone(const grpc::Status& status) override {
    post([this, status] { done(status); });
  }

 private:
  template <typename F>
  void post(F f) {
    boost::asio::post(io_, [self = shared_from_this(), f = std::move(f)] { f(); });
  }

  void got(bool ok) {
    reading_ = false;
    if (!ok || dropped_) return let_go();
    std::string bytes = to_string(in_);
    if (!began_ && streams_) {
      inference::ModelStreamInferResponse first;
      // An error instead of a first answer is no answer: another replica may still give one.
      if (!first.ParseFromString(bytes) || (!first.error_message().empty() && !first.has_infer_response())) {
        context_.TryCancel();
        return let_go();
      }
    }
    began_ = true;
    owner_.broker_.on_attempt_events(id_, std::move(bytes));
    read_on();
  }

  void read_on() {
    if (reading_ || paused_ || dropped_ || let_go_) return;
    reading_ = true;
    StartRead(&in_);
  }

  void let_go() {
    if (std::exchange(let_go_, true)) return;
    RemoveHold();
  }

  void done(const grpc::Status& status) {
    dial_.cancel();
    --owner_.unfinished_;
    const auto keep = std::exchange(self_, nullptr);
    if (dropped_) return;
    std::uint32_t kept = 0;
    const auto& trailing = context_.GetServerTrailingMetadata();
    const std::string_view cached = find_metadata(trailing, kCachedTokens);
    std::from_chars(cached.data(), cached.data() + cached.size(), kept);
    Outcome outcome = Outcome::error;
    if (status.ok() && (began_ || rpc_->may_be_empty)) {
      outcome = Outcome::ok;
    } else if (!began_ && find_metadata(trailing, kNeverRan) == "1") {
      outcome = Outcome::full;
    } else if (!written_) {
      outcome = Outcome::connect_failed;  // the request was never handed to a connection
      if (owner_.settings_.keys != nullptr)
        log::event(log::Level::warn, "replica_unreachable", {{"why", status.error_message()}});
    } else if (status.error_code() == grpc::StatusCode::UNAVAILABLE) {
      outcome = Outcome::reset;
    }
    if (!status.ok())
      log::event(log::Level::debug, "attempt_failed",
                 {{"status", static_cast<int>(status.error_code())},
                  {"began", began_},
                  {"why", status.error_message()}});
    owner_.calls_.erase(id_);
    if (!began_ && status.error_code() == grpc::StatusCode::INVALID_ARGUMENT)
      return owner_.broker_.on_attempt_rejected(id_);
    owner_.broker_.on_attempt_ended(id_, outcome, kept);
  }

  GrpcReplicaClient& owner_;
  boost::asio::io_context& io_;
  core::AttemptId id_;
  std::shared_ptr<const core::Request> rpc_;
  boost::asio::steady_timer dial_;
  grpc::ClientContext context_;
  std::unique_ptr<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>> stub_;
  grpc::ByteBuffer out_, in_;
  std::shared_ptr<Call> self_;
  bool streams_ = false, reading_ = false, paused_ = false, written_ = false, began_ = false,
       dropped_ = false, let_go_ = false;
};

GrpcReplicaClient::GrpcReplicaClient(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock,
                                     ReplicaClientSettings settings)
    : io_(io), broker_(broker), clock_(clock), settings_(std::move(settings)) {}
GrpcReplicaClient::~GrpcReplicaClient() = default;

void GrpcReplicaClient::update_endpoint(const core::Endpoint& endpoint, Micros no_new_after) {
  Subchannel& sub = subs_[endpoint.replica.id];
  if (!endpoint.address.empty() && sub.address != endpoint.address) {
    sub.address = endpoint.address;
    sub.channel.reset();
  }
  sub.no_new_after = no_new_after;
  sub.ready = endpoint.replica.health == policy::Health::ready && no_new_after == core::kNever;
  if (endpoint.replica.health == policy::Health::gone) sub.channel.reset();  // calls under way keep it
}

std::shared_ptr<grpc::Channel> GrpcReplicaClient::channel(Subchannel& sub) {
  config::HostPort at;
  if (sub.channel || !config::parse_host_port(sub.address, at)) return sub.channel;
  if (settings_.replica_port != 0) at.port = settings_.replica_port;
  return sub.channel = open_channel(at, settings_);
}

// Lives until it is answered.
class GrpcReplicaClient::Question final : public std::enable_shared_from_this<Question> {
 public:
  Question(GrpcReplicaClient& owner, std::string method, std::string question, Asked answered)
      : owner_(owner),
        method_(std::move(method)),
        question_(to_buffer(question)),
        answered_(std::move(answered)) {}
  void ask() {
    ++tries_;
    const auto channel = owner_.next_ready();
    if (!channel) return answered_({grpc::StatusCode::UNAVAILABLE, "no replica is ready"}, "");
    ++owner_.unfinished_;
    context_ = std::make_unique<grpc::ClientContext>();
    context_->set_deadline(std::chrono::system_clock::now() + kAnswerTime);
    stub_ = std::make_unique<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>>(channel);
    stub_->UnaryCall(context_.get(), method_, {}, &question_, &answer_,
                     [self = shared_from_this()](const grpc::Status& status) {
                       boost::asio::post(self->owner_.io_, [self, status] { self->done(status); });
                     });
  }

 private:
  void done(const grpc::Status& status) {
    --owner_.unfinished_;
    const bool answer = status.ok() || status.error_code() == grpc::StatusCode::NOT_FOUND;
    if (!answer && tries_ < kQuestionTries) return ask();
    answered_(status, status.ok() ? to_string(answer_) : "");
  }
  GrpcReplicaClient& owner_;
  std::string method_;
  grpc::ByteBuffer question_, answer_;
  Asked answered_;
  std::unique_ptr<grpc::ClientContext> context_;
  std::unique_ptr<grpc::TemplatedGenericStub<grpc::ByteBuffer, grpc::ByteBuffer>> stub_;
  int tries_ = 0;
};

std::shared_ptr<grpc::Channel> GrpcReplicaClient::next_ready() {
  // The first ready one behind the last that was asked, around the ring of ids.
  Subchannel* next = nullptr;
  core::ReplicaId best = 0;
  for (auto& [id, sub] : subs_) {
    if (!sub.ready) continue;
    if (next == nullptr || id - last_asked_ - 1 < best - last_asked_ - 1) {
      next = &sub;
      best = id;
    }
  }
  if (next == nullptr) return nullptr;
  last_asked_ = best;
  return channel(*next);
}

void GrpcReplicaClient::ask(std::string method, std::string question, Asked answered) {
  std::make_shared<Question>(*this, std::move(method), std::move(question), std::move(answered))->ask();
}

void GrpcReplicaClient::renew() {
  for (auto& [id, sub] : subs_) sub.channel.reset();
}

void GrpcReplicaClient::start_attempt(core::AttemptId id, core::ReplicaId replica,
                                      std::shared_ptr<const core::Request> rpc, Micros patience) {
  const auto it = subs_.find(replica);
  const Micros now = clock_.now();
  if (it == subs_.end() || now >= it->second.no_new_after)
    return broker_.on_attempt_ended(id, Outcome::connect_failed);
  Subchannel& sub = it->second;
  const auto open = channel(sub);
  if (!open) return broker_.on_attempt_ended(id, Outcome::connect_failed);
  const auto call = std::make_shared<Call>(*this, id, std::move(rpc), patience);
  calls_[id] = call;
  call->start(open, std::min(settings_.dial_timeout, sub.no_new_after - now));
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
