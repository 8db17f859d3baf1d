#include "fleet/load.h"

#include <array>
#include <chrono>
#include <functional>
#include <optional>

namespace flintglade::tests {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {
// As in the header X-Expires-In-Ms; a second is added for responses on their way.
constexpr std::chrono::seconds kResponseTimeout{8};
constexpr int kPieces = 8;
}  // namespace

class Load::Request : public std::enable_shared_from_this<Request> {
 public:
  explicit Request(Load& owner) : owner_(owner), socket_(owner.io_), timer_(owner.io_) {}

  void send(bool slow) {
    started_at_ = Clock::now();
    const std::uint64_t n = ++owner_.requests_;
    ++owner_.pending_;
    const std::string body(owner_.options_.body_bytes, 'x');
    request_ =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: " + std::to_string(owner_.random_()) +
        "\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Object: " + std::to_string(n % 997) +
        "\r\nX-Expires-In-Ms: 8000\r\nX-Props: prompt_len=100,prefix_len=0,max_out=50\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    received_.clear();
    first_ms_ = -1.0;
    written_ = 0;
    busy_ = true;
    ++request_id_;
    piece_bytes_ = slow ? request_.size() / kPieces + 1 : request_.size();
    timer_.expires_after(kResponseTimeout + std::chrono::seconds(1));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->end(&LoadResults::lost);
    });
    if (socket_.is_open()) return write();
    is_new_connection_ = true;
    socket_.async_connect(owner_.endpoint_, [self = shared_from_this()](error_code ec) {
      if (ec) return self->end(&LoadResults::unaccepted);
      error_code ignored;
      self->socket_.set_option(tcp::no_delay(true), ignored);
      self->write();
      self->read();
    });
  }
  bool idle() const { return !busy_ && socket_.is_open(); }
  void close() {
    error_code ignored;
    timer_.cancel();
    socket_.close(ignored);
  }

 private:
  void write() {
    const std::size_t n = std::min(piece_bytes_, request_.size() - written_);
    asio::async_write(socket_, asio::buffer(request_.data() + written_, n),
                      [self = shared_from_this(), request_id = request_id_](error_code ec, std::size_t sent) {
                        // Errors are handled by the read. It may already have started another request on this
                        // object when the completion of this write runs.
                        if (ec || !self->busy_ || request_id != self->request_id_) return;
                        self->written_ += sent;
                        if (self->written_ == self->request_.size()) return;
                        self->piece_timer_.emplace(self->owner_.io_);
                        self->piece_timer_->expires_after(
                            std::chrono::milliseconds(self->owner_.options_.slow_ms / (kPieces - 1)));
                        self->piece_timer_->async_wait([self, request_id](error_code stopped) {
                          if (!stopped && self->busy_ && request_id == self->request_id_) self->write();
                        });
                      });
  }
  void read() {
    socket_.async_read_some(asio::buffer(buffer_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec == asio::error::operation_aborted) return;
      self->received_.append(self->buffer_.data(), n);
      if (ec) return self->closed();
      self->parse_response();
      if (self->socket_.is_open()) self->read();
    });
  }
  void closed() {
    if (!busy_) return close();  // between requests, either side may close
    // The router may close a kept connection at the moment a request is sent: the request is sent again.
    if (received_.empty() && !is_new_connection_ && owner_.options_.keep_alive) {
      socket_.close();
      is_new_connection_ = true;
      --owner_.requests_;
      --owner_.pending_;
      return send(false);
    }
    end(received_.empty() ? &LoadResults::unaccepted : &LoadResults::lost);
  }
  void parse_response() {
    if (!busy_) {
      if (!received_.empty()) ++owner_.results_.surplus;
      return close();
    }
    const std::size_t header_end = received_.find("\r\n\r\n");
    if (header_end == std::string::npos) return;
    const bool served = received_.rfind("HTTP/1.1 200", 0) == 0;
    const bool closes = received_.find("Connection: close") < header_end;
    if (served && first_ms_ < 0 && received_.find("data: ") != std::string::npos)
      first_ms_ = std::chrono::duration<double, std::milli>(Clock::now() - started_at_).count();
    std::size_t response_end = std::string::npos;
    if (served) {
      const std::size_t last_chunk = received_.find("\r\n0\r\n\r\n", header_end);
      if (last_chunk != std::string::npos) response_end = last_chunk + 7;
    } else {
      const std::size_t length = received_.find("Content-Length: ");
      if (length < header_end) response_end = header_end + 4 + std::stoul(received_.substr(length + 16));
    }
    if (received_.size() < response_end) return;
    if (received_.size() > response_end) ++owner_.results_.surplus;
    if (served && owner_.options_.events > 0 && !in_order()) ++owner_.results_.malformed;
    const bool refused = received_.rfind("HTTP/1.1 503", 0) == 0 || received_.rfind("HTTP/1.1 429", 0) == 0;
    if (served && piece_bytes_ >= request_.size()) owner_.results_.first_ms.push_back(first_ms_);
    const bool keep = owner_.options_.keep_alive && !closes;
    end(served ? &LoadResults::served : refused ? &LoadResults::refused : &LoadResults::failed, keep);
  }
  bool in_order() const {
    std::size_t position = 0;
    for (int n = 0; n < owner_.options_.events; ++n) {
      position = received_.find("data: ", position);
      const std::string event = "data: {\"n\":" + std::to_string(n) + "}\n\n";
      if (position == std::string::npos || received_.compare(position, event.size(), event) != 0)
        return false;
      position += event.size();
    }
    return received_.find("data: ", position) == std::string::npos;
  }
  void end(std::uint64_t LoadResults::*result, bool keep = false) {
    if (!busy_) return;
    busy_ = false;
    is_new_connection_ = false;
    received_.clear();
    ++(owner_.results_.*result);
    --owner_.pending_;
    timer_.cancel();
    if (!keep) close();
  }

  Load& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::optional<asio::steady_timer> piece_timer_;
  std::string request_, received_;
  std::array<char, 4096> buffer_{};
  std::size_t written_ = 0, piece_bytes_ = 0;
  std::uint64_t request_id_ = 0;  // counts the requests sent by this object
  Clock::time_point started_at_;
  double first_ms_ = -1.0;
  bool busy_ = false, is_new_connection_ = false;
};

class Load::IdleConnection : public std::enable_shared_from_this<IdleConnection> {
 public:
  IdleConnection(Load& owner, std::string bytes, int reconnect_ms)
      : owner_(owner),
        socket_(owner.io_),
        timer_(owner.io_),
        bytes_(std::move(bytes)),
        reconnect_ms_(reconnect_ms) {}
  void connect() {
    socket_.async_connect(owner_.endpoint_, [self = shared_from_this()](error_code ec) {
      if (ec) return self->reconnect();
      asio::async_write(self->socket_, asio::buffer(self->bytes_), [self](error_code, std::size_t) {});
      self->read();
    });
  }
  void close() {
    reconnect_ms_ = 0;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void read() {
    socket_.async_read_some(asio::buffer(received_), [self = shared_from_this()](error_code ec, std::size_t) {
      ec ? self->reconnect() : self->read();
    });
  }
  void reconnect() {
    error_code ignored;
    socket_.close(ignored);
    if (reconnect_ms_ == 0) return;
    timer_.expires_after(std::chrono::milliseconds(reconnect_ms_));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->reconnect_ms_ > 0) self->connect();
    });
  }
  Load& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string bytes_;
  std::array<char, 256> received_{};
  int reconnect_ms_;
};

Load::Load(unsigned short port, LoadOptions options, std::uint64_t seed)
    : endpoint_(asio::ip::address_v4::loopback(), port), options_(options), random_(seed), timer_(io_) {
  asio::post(io_, [this] { schedule_next(); });
  thread_ = std::thread([this] { io_.run(); });
}

Load::~Load() {
  if (thread_.joinable()) finish();
}

void Load::schedule_next() {
  timer_.expires_after(std::chrono::microseconds(static_cast<long>(1e6 / options_.per_second)));
  timer_.async_wait([this](error_code ec) {
    if (ec || stopping_) return;
    schedule_next();
    const bool slow = std::uniform_real_distribution<>()(random_) < options_.slow_fraction;
    if (options_.keep_alive) {
      std::erase_if(kept_connections_, [](const auto& connection) {
        return connection.use_count() == 1 && !connection->idle();
      });
      for (const auto& connection : kept_connections_) {
        if (connection->idle()) return connection->send(slow);
      }
    }
    const auto request = std::make_shared<Request>(*this);
    if (options_.keep_alive) kept_connections_.push_back(request);
    request->send(slow);
  });
}

void Load::open_idle_connections(int connections, const std::string& bytes, int reconnect_ms) {
  asio::post(io_, [this, connections, bytes, reconnect_ms] {
    for (int i = 0; i < connections; ++i) {
      idle_connections_.push_back(std::make_shared<IdleConnection>(*this, bytes, reconnect_ms));
      idle_connections_.back()->connect();
    }
  });
}

LoadResults Load::finish() {
  std::function<void()> end = [&] {
    stopping_ = true;
    timer_.cancel();
    if (pending_ > 0) {
      timer_.expires_after(std::chrono::milliseconds(10));
      return timer_.async_wait([&](error_code) { end(); });
    }
    for (const auto& connection : kept_connections_) connection->close();
    for (const auto& connection : idle_connections_) connection->close();
  };
  asio::post(io_, end);
  thread_.join();
  return results_;
}

}  // namespace flintglade::tests
