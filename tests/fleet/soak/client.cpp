#include "fleet/soak/client.h"

#include <sys/socket.h>

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <optional>

namespace flintglade::tests::soak {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// What a client does with a request: one in so many.
constexpr int kOneOrderIn = 7, kOneHalfWrittenIn = 25, kOneAbandonedIn = 50, kOneLeavesIn = 20;
constexpr int kOneThinksIn = 4, kOneNewConnectionIn = 20;
constexpr int kMaxThinkMs = 60, kMaxHalfWrittenMs = 300, kMaxLeavesAfterMs = 200;
constexpr int kMinDeadlineMs = 800, kMaxDeadlineMs = 2500;
constexpr int kRetryConnectMs = 20;
// A planted drop closes the connection after this time.
constexpr int kPlantedDropMs = 200;
// Longer than any response after its deadline.
constexpr std::chrono::seconds kGivesUpAfter{12};
constexpr std::size_t kMaxBodyBytes = 4000;

// Returns what is wrong with the events of a complete response; sets the serial of its attempt.
std::string check_events(const std::string& body, std::uint32_t& attempt) {
  std::size_t at = 0;
  for (int n = 0;; ++n) {
    const std::size_t end = body.find("\n\n", at);
    if (end == std::string::npos) return "the response has no end of its events";
    const std::string event = body.substr(at, end - at);
    at = end + 2;
    if (event == "data: [DONE]") return at == body.size() ? "" : "events after the last one";
    unsigned serial = 0;
    int number = -1;
    if (std::sscanf(event.c_str(), "data: {\"attempt\":%u,\"n\":%d}", &serial, &number) != 2)
      return "an event that no replica sent: " + event;
    if (n == 0) attempt = serial;
    if (serial != attempt) return "events of two attempts";
    if (number != n) return "an event is missing or comes twice";
  }
}

}  // namespace

class SoakClients::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(SoakClients& owner, std::size_t index)
      : owner_(owner),
        socket_(owner.io_),
        pace_(owner.io_),
        leave_timer_(owner.io_),
        give_up_timer_(owner.io_),
        router_(index % owner.front_.routers()) {}

  void next() {
    if (owner_.finishing_) return;
    const int think_ms = one_in(kOneThinksIn) ? draw(0, kMaxThinkMs) : 0;
    after(think_ms, &Client::send);
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
    is_open_ = false;
  }

 private:
  bool one_in(int n) { return draw(1, n) == 1; }
  int draw(int from, int to) { return std::uniform_int_distribution<int>(from, to)(owner_.random_); }
  void after(int milliseconds, void (Client::*step)()) {
    pace_.expires_after(std::chrono::milliseconds(milliseconds));
    pace_.async_wait([self = shared_from_this(), step](error_code ec) {
      if (!ec) (self.get()->*step)();
    });
  }

  void send() {
    if (owner_.finishing_) return;
    if (is_open_ && one_in(kOneNewConnectionIn) && owner_.front_.is_open(router_)) close();
    if (is_open_ && !is_closed_by_router()) return write();
    connect();
  }

  // Between requests the router may close the connection at any time.
  bool is_closed_by_router() {
    char byte = 0;
    return ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }

  // Another router after a failure, as the front deals out connections.
  void connect() {
    router_ = (router_ + 1) % owner_.front_.routers();
    if (!owner_.front_.is_open(router_)) return after(kRetryConnectMs, &Client::send);
    socket_ = tcp::socket(owner_.io_);
    buffer_.clear();
    const tcp::endpoint to(asio::ip::address_v4::loopback(), owner_.front_.port(router_));
    socket_.async_connect(to, [self = shared_from_this()](error_code ec) {
      if (ec) return self->after(kRetryConnectMs, &Client::send);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->is_open_ = true;
      self->write();
    });
  }

  void write() {
    make_request();
    const bool in_halves = one_in(kOneHalfWrittenIn);
    const bool abandons = one_in(kOneAbandonedIn);
    const std::size_t first = in_halves || abandons ? bytes_.size() / 2 : bytes_.size();
    asio::async_write(socket_, asio::buffer(bytes_.data(), first),
                      [self = shared_from_this(), first, abandons](error_code, std::size_t) {
                        if (abandons) return self->abandon();
                        if (first == self->bytes_.size()) return self->on_written();
                        self->after(self->draw(1, kMaxHalfWrittenMs), &Client::write_second_half);
                      });
  }
  void write_second_half() {
    const std::size_t first = bytes_.size() / 2;
    asio::async_write(socket_, asio::buffer(bytes_.data() + first, bytes_.size() - first),
                      [self = shared_from_this()](error_code ec, std::size_t) {
                        if (ec) return self->abandon();  // closed before the router had the whole request
                        self->on_written();
                      });
  }
  // Half of a request, and the connection closed: it was never sent.
  void abandon() {
    close();
    request_.end = RequestEnd::left;
    owner_.history_.on_end(id_, request_, owner_.clock_());
    next();
  }

  void make_request() {
    char id[17];
    std::snprintf(id, sizeof id, "%016llx", static_cast<unsigned long long>(owner_.random_()));
    id_ = id;
    request_ = {};
    request_.router = router_;
    request_.may_run_twice = !one_in(kOneOrderIn);
    const int deadline_ms = draw(kMinDeadlineMs, kMaxDeadlineMs);
    request_.deadline = deadline_ms * core::kMilli;
    const std::string body(static_cast<std::size_t>(draw(0, static_cast<int>(kMaxBodyBytes))), 'x');
    bytes_ = "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: " + id_ +
             "\r\nX-Qos: " + (request_.may_run_twice ? "chat" : "order") +
             "\r\nX-Customer: acme\r\nX-Object: " + std::to_string(draw(0, 50)) +
             "\r\nX-Expires-In-Ms: " + std::to_string(deadline_ms) +
             "\r\nX-Props: prompt_len=100,prefix_len=0,max_out=50\r\nContent-Length: " +
             std::to_string(body.size()) + "\r\n\r\n" + body;
    // Known before its first byte is written, since a replica may have it before the write has returned.
    request_.written_at = owner_.clock_();
    owner_.history_.on_request(id_, request_);
  }

  void on_written() {
    ++owner_.open_requests_;
    owner_.history_.on_written(id_, owner_.clock_());
    is_pending_ = true;
    const std::uint64_t number = ++sent_;
    parser_.emplace();
    parser_->body_limit(boost::none);
    if (owner_.planted_ == PlantedFault::drop_request && one_in(kOnePlantedIn))
      return after(kPlantedDropMs, &Client::drop);
    http::async_read(socket_, buffer_, *parser_,
                     [self = shared_from_this(), number](error_code ec, std::size_t) {
                       if (self->is_pending_ && number == self->sent_) self->on_response(ec);
                     });
    start_timer(give_up_timer_, kGivesUpAfter, RequestEnd::timed_out, number);
    if (one_in(kOneLeavesIn))
      start_timer(leave_timer_, std::chrono::milliseconds(draw(0, kMaxLeavesAfterMs)), RequestEnd::left,
                  number);
  }
  // After this time the client closes the connection.
  void start_timer(asio::steady_timer& timer, std::chrono::milliseconds time, RequestEnd end,
                   std::uint64_t number) {
    timer.expires_after(time);
    timer.async_wait([self = shared_from_this(), end, number](error_code ec) {
      if (ec || !self->is_pending_ || number != self->sent_) return;
      self->close();
      self->end(end);
    });
  }
  void drop() {
    close();
    end(RequestEnd::unanswered);
  }

  void on_response(error_code ec) {
    const bool has_head = parser_->is_header_done();
    if (ec || !has_head) {
      close();
      if (has_head) request_.status = parser_->get().result_int();
      return end(has_head ? RequestEnd::broken : RequestEnd::unanswered);
    }
    const auto& response = parser_->get();
    request_.status = response.result_int();
    if (buffer_.size() > 0) request_.fault = "bytes after the response";
    const bool keeps = response.keep_alive();
    if (!keeps) close();
    if (request_.status == 200) return end(check_served(response.body()));
    end(request_.status == 429 || request_.status == 503 ? RequestEnd::refused : RequestEnd::failed);
  }
  RequestEnd check_served(const std::string& body) {
    if (owner_.planted_ == PlantedFault::cut_response && one_in(kOnePlantedIn)) {
      close();
      return RequestEnd::broken;
    }
    const std::string fault = check_events(body, request_.served_attempt);
    if (request_.fault.empty()) request_.fault = fault;
    return RequestEnd::served;
  }

  void end(RequestEnd end) {
    is_pending_ = false;
    leave_timer_.cancel();
    give_up_timer_.cancel();
    --owner_.open_requests_;
    request_.end = end;
    owner_.history_.on_end(id_, request_, owner_.clock_());
    next();
  }

  SoakClients& owner_;
  tcp::socket socket_;
  asio::steady_timer pace_, leave_timer_, give_up_timer_;
  std::size_t router_;
  boost::beast::flat_buffer buffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::string id_, bytes_;
  Request request_;
  std::uint64_t sent_ = 0;
  bool is_open_ = false, is_pending_ = false;
};

SoakClients::SoakClients(asio::io_context& io, RequestHistory& history, const Front& front,
                         std::function<Micros()> clock, std::uint64_t seed, PlantedFault planted)
    : io_(io), history_(history), front_(front), clock_(std::move(clock)), random_(seed), planted_(planted) {}
SoakClients::~SoakClients() = default;

void SoakClients::start(int clients) {
  for (int i = 0; i < clients; ++i) {
    clients_.push_back(std::make_shared<Client>(*this, static_cast<std::size_t>(i)));
    clients_.back()->next();
  }
}

void SoakClients::close_connections() {
  for (const auto& client : clients_) client->close();
}

}  // namespace flintglade::tests::soak
