#include "pcap/replay.h"

#include <chrono>
#include <utility>

namespace flintglade::pcap {

using core::Micros;

namespace {
constexpr auto kReadyPollInterval = std::chrono::milliseconds(10);
}

// Stands in for the client of one replayed request. Records each event when it arrives, in a TCP segment of
// its own.
class Replay::Exchange final : public core::ResponseWriter {
 public:
  Exchange(Replay& owner, const CapturedRequest& request) : owner_(owner) {
    if (!owner_.writer_) return;
    exchange_ = owner_.writer_->begin(request.conversation, now());
    owner_.writer_->from_client(exchange_, request.head + request.rpc.body, now());
  }
  bool write_events(std::string_view events) override {
    if (!headers_sent_)
      write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
    headers_sent_ = true;
    write(events);
    return true;
  }
  void finish() override { end(true); }
  void abort_stream() override { end(false); }
  void reject(Micros retry_after, bool) override {
    write("HTTP/1.1 503 Service Unavailable\r\nRetry-After: " +
          std::to_string(static_cast<double>(retry_after) / 1e6) + "\r\nContent-Length: 0\r\n\r\n");
    end(true);
  }
  void fail(core::Failure why) override {
    write(why == core::Failure::deadline ? "HTTP/1.1 504 Gateway Timeout\r\nContent-Length: 0\r\n\r\n"
                                         : "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n");
    end(true);
  }

 private:
  Micros now() const { return owner_.clock_.now() + owner_.unix_offset_; }
  void write(std::string_view bytes) {
    if (owner_.writer_) owner_.writer_->from_server(exchange_, bytes, now());
  }
  void end(bool complete) {
    if (owner_.writer_) owner_.writer_->end(exchange_, complete, now());
    owner_.on_answered();
  }
  Replay& owner_;
  Writer::Exchange exchange_;
  bool headers_sent_ = false;
};

Replay::Replay(boost::asio::io_context& io, core::Broker& broker, core::Clock& clock)
    : io_(io), broker_(broker), clock_(clock), timer_(io) {}
Replay::~Replay() = default;

std::string Replay::open(const std::string& source_path, const std::string& record_path,
                         const config::Labels& labels) {
  const std::string error = read_requests(source_path, labels, source_);
  if (!error.empty() || record_path.empty()) return error;
  writer_ = std::make_unique<Writer>();
  return writer_->open(record_path);
}

void Replay::start(std::function<void()> done) {
  done_ = std::move(done);
  const auto unix_now = std::chrono::system_clock::now().time_since_epoch();
  unix_offset_ = std::chrono::duration_cast<std::chrono::microseconds>(unix_now).count() - clock_.now();
  pump();
}

void Replay::pump() {
  const Micros now = clock_.now();
  std::chrono::microseconds wait = kReadyPollInterval;
  if (broker_.ready()) {
    if (started_at_ == 0) started_at_ = now;
    while (next_request_ < source_.requests.size() &&
           source_.requests[next_request_].at <= now - started_at_) {
      const CapturedRequest& request = source_.requests[next_request_++];
      ++unanswered_;
      broker_.on_request(std::make_shared<core::Request>(request.rpc),
                         std::make_shared<Exchange>(*this, request));
    }
    if (next_request_ == source_.requests.size()) {
      if (unanswered_ == 0) done_();
      return;
    }
    wait = std::chrono::microseconds(source_.requests[next_request_].at - (now - started_at_));
  }
  timer_.expires_after(wait);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) pump();
  });
}

void Replay::on_answered() {
  --unanswered_;
  if (unanswered_ == 0 && next_request_ == source_.requests.size()) done_();
}

}  // namespace flintglade::pcap
