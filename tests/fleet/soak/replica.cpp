#include "fleet/soak/replica.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <string>

namespace flintglade::tests::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int kShortEvents = 8, kLongEvents = 200;
constexpr int kMaxShortGapMs = 15, kLongGapMs = 20, kMaxFirstDelayMs = 40;
constexpr int kOneLongStreamIn = 12;
// Of the complete responses, one in so many is sent a second time, so long after its end.
constexpr int kOneSecondResponseIn = 12, kMaxSecondResponseLateMs = 40;

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof size, "%zx\r\n", data.size());
  return size + data + "\r\n";
}

}  // namespace

// One connection of a router.
class SoakReplica::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(SoakReplica& owner, tcp::socket socket)
      : owner_(owner), socket_(std::move(socket)), timer_(owner.io_) {}

  void read() {
    request_ = {};
    http::async_read(socket_, buffer_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
      if (!ec) self->begin();
    });
  }

 private:
  int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(owner_.random_); }

  void begin() {
    plan_ = owner_.draw_plan();
    const auto id = request_["X-Trace-Id"];
    serial_ = owner_.history_.on_attempt({id.data(), id.size()}, plan_, owner_.clock_());
    const bool is_long = draw(1, kOneLongStreamIn) == 1;
    events_ = is_long ? draw(kShortEvents, kLongEvents) : draw(1, kShortEvents);
    gap_ms_ = is_long ? kLongGapMs : draw(0, kMaxShortGapMs);
    next_ = 0;
    if (plan_ == AttemptPlan::hang) return wait_for_close();
    after(draw(0, kMaxFirstDelayMs), &Session::answer);
  }

  void answer() {
    switch (plan_) {
      case AttemptPlan::error:
        return write("HTTP/1.1 500 error\r\nContent-Length: 0\r\n\r\n", &Session::read);
      case AttemptPlan::never_ran:
        return write("HTTP/1.1 503 full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n", &Session::read);
      case AttemptPlan::reset:
        return close();
      default:
        return write(kHead, &Session::send_event);
    }
  }

  void send_event() {
    if (plan_ == AttemptPlan::broken && next_ > events_ / 2) return close();
    if (next_ == events_) return write(end_of_response(), &Session::finish);
    write(event(next_++), &Session::wait_for_next_event);
  }
  std::string event(int number) const {
    return chunk("data: {\"attempt\":" + std::to_string(serial_) + ",\"n\":" + std::to_string(number) +
                 "}\n\n");
  }
  static std::string end_of_response() { return chunk("data: [DONE]\n\n") + "0\r\n\r\n"; }

  void finish() {
    if (draw(1, kOneSecondResponseIn) > 1) return read();
    after(draw(1, kMaxSecondResponseLateMs), &Session::send_second_response);
  }
  void send_second_response() {
    std::string response = kHead;
    for (int number = 0; number < events_; ++number) response += event(number);
    write(response + end_of_response(), &Session::read);
  }
  void wait_for_next_event() { after(gap_ms_, &Session::send_event); }

  // A replica that hangs keeps the connection until the router closes it.
  void wait_for_close() {
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code) { self->close(); });
  }

  void after(int milliseconds, void (Session::*step)()) {
    timer_.expires_after(std::chrono::milliseconds(milliseconds));
    timer_.async_wait([self = shared_from_this(), step](error_code ec) {
      if (!ec) (self.get()->*step)();
    });
  }
  void write(std::string bytes, void (Session::*next)()) {
    out_ = std::move(bytes);
    asio::async_write(socket_, asio::buffer(out_),
                      [self = shared_from_this(), next](error_code ec, std::size_t) {
                        if (!ec) (self.get()->*next)();
                      });
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }

  SoakReplica& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  boost::beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::string out_;
  AttemptPlan plan_ = AttemptPlan::complete;
  std::uint32_t serial_ = 0;
  int events_ = 0, gap_ms_ = 0, next_ = 0;
};

SoakReplica::SoakReplica(asio::io_context& io, RequestHistory& history, std::function<Micros()> clock,
                         std::uint64_t seed, ReplicaFaults faults)
    : io_(io),
      acceptor_(io, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
      history_(history),
      clock_(std::move(clock)),
      random_(seed),
      faults_(faults) {
  accept();
}

void SoakReplica::accept() {
  acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
    if (ec) return;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::make_shared<Session>(*this, std::move(socket))->read();
    accept();
  });
}

AttemptPlan SoakReplica::draw_plan() {
  int percent = std::uniform_int_distribution<int>(0, 99)(random_);
  const auto falls_into = [&percent](int share) { return (percent -= share) < 0; };
  if (falls_into(faults_.error)) return AttemptPlan::error;
  if (falls_into(faults_.never_ran)) return AttemptPlan::never_ran;
  if (falls_into(faults_.broken)) return AttemptPlan::broken;
  if (falls_into(faults_.reset)) return AttemptPlan::reset;
  if (falls_into(faults_.hang)) return AttemptPlan::hang;
  return AttemptPlan::complete;
}

}  // namespace flintglade::tests::soak
