#include "pcap/replay.h"

#include <chrono>
#include <utility>

namespace flintglade::pcap {

using core::Micros;

namespace {
constexpr auto kReadyPoll = std::chrono::milliseconds(10);
}

// The client of one replayed request. Each event is written as it comes, in a segment of its own.
class Replay::Exchange final : public core::ResponseWriter {
 public:
  Exchange(Replay& owner, const CapturedRequest& request) : owner_(owner) {
    if (!owner_.writer_) return;
    state_ = owner_.writer_->begin(request.conversation, now());
    owner_.writer_->from_client(state_, request.head + request.rpc.body, now());
  }
  bool write_events(std::string_view events) override {
    if (!began_) say("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    began_ = true;
    say(events);
    return true;
  }
  void finish() override { end(true); }
  void abort_stream() override { end(false); }
  void reject(Micros retry_after, bool) override {
    say("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " +
        std::to_string(static_cast<double>(retry_after) / 1e6) + "\r\nContent-Length: 0\r\n\r\n");
    end(true);
  }
  void fail(core::Failure why) override {
    say(why == core::Failure::deadline ? "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"
                                       : "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    end(true);
  }

 private:
  Micros now() const { return owner_.clock_.now() + owner_.unix_offset_; }
  void say(std::string_view bytes) {
    if (owner_.writer_) owner_.writer_->from_server(state_, bytes, now());
  }
  void end(bool whole) {
    if (owner_.writer_) owner_.writer_->end(state_, whole, now());
    owner_.answered();
  }
  Replay& owner_;
  Writer::Exchange state_;
  bool began_ = false;
};

Replay::Replay(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock)
    : io_(io), broker_(broker), clock_(clock), timer_(io) {}
Replay::~Replay() = default;

std::string Replay::open(const std::string& from, const std::string& to, const config::Labels& labels) {
  const std::string error = read_requests(from, labels, source_);
  if (!error.empty() || to.empty()) return error;
  writer_ = std::make_unique<Writer>();
  return writer_->open(to);
}

void Replay::start(std::function<void()> done) {
  done_ = std::move(done);
  const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
  unix_offset_ = std::chrono::duration_cast<std::chrono::microseconds>(unix_now).count() - clock_.now();
  pump();
}

void Replay::pump() {
  const Micros now = clock_.now();
  std::chrono::microseconds wait = kReadyPoll;
  if (broker_.ready()) {
    if (started_ == 0) started_ = now;
    while (next_ < source_.requests.size() && source_.requests[next_].at <= now - started_) {
      const CapturedRequest& request = source_.requests[next_++];
      ++open_;
      broker_.on_request(std::make_shared<core::Request>(request.rpc),
                         std::make_shared<Exchange>(*this, request));
    }
    if (next_ == source_.requests.size()) {
      if (open_ == 0) done_();
      return;
    }
    wait = std::chrono::microseconds(source_.requests[next_].at - (now - started_));
  }
  timer_.expires_after(wait);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) pump();
  });
}

void Replay::answered() {
  --open_;
  if (open_ == 0 && next_ == source_.requests.size()) done_();
}

}  // namespace flintglade::pcap
