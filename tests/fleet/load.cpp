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
constexpr std::chrono::seconds kPatience{8};  // as the header says, and a little for what is on its way
constexpr int kPieces = 8;
}  // namespace

class Load::Request : public std::enable_shared_from_this<Request> {
 public:
  explicit Request(Load& owner) : owner_(owner), socket_(owner.io_), timer_(owner.io_) {}

  void ask(bool slow) {
    began_ = Clock::now();
    const std::uint64_t n = ++owner_.asked_;
    ++owner_.open_;
    const std::string body(owner_.pace_.body, 'x');
    out_ =
        "POST /v1/chat/completions HTTP/1.1\r\nHost: b\r\nX-Trace-Id: " + std::to_string(owner_.random_()) +
        "\r\nX-Qos: chat\r\nX-Customer: acme\r\nX-Object: " + std::to_string(n % 997) +
        "\r\nX-Expires-In-Ms: 8000\r\nX-Props: prompt_len=100,prefix_len=0,max_out=50\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    in_.clear();
    first_ms_ = -1.0;
    written_ = 0;
    busy_ = true;
    ++turn_;
    piece_ = slow ? out_.size() / kPieces + 1 : out_.size();
    timer_.expires_after(kPatience + std::chrono::seconds(1));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->end(&LoadResults::lost);
    });
    if (socket_.is_open()) return write();
    fresh_ = true;
    socket_.async_connect(owner_.to_, [self = shared_from_this()](error_code ec) {
      if (ec) return self->end(&LoadResults::door);
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
    const std::size_t n = std::min(piece_, out_.size() - written_);
    asio::async_write(
        socket_, asio::buffer(out_.data() + written_, n),
        [self = shared_from_this(), turn = turn_](error_code ec, std::size_t sent) {
          // The read sees the end; it may have done so, and asked anew, before this word of the first write.
          if (ec || !self->busy_ || turn != self->turn_) return;
          self->written_ += sent;
          if (self->written_ == self->out_.size()) return;
          self->pause_.emplace(self->owner_.io_);
          self->pause_->expires_after(std::chrono::milliseconds(self->owner_.pace_.slow_ms / (kPieces - 1)));
          self->pause_->async_wait([self, turn](error_code stopped) {
            if (!stopped && self->busy_ && turn == self->turn_) self->write();
          });
        });
  }
  void read() {
    socket_.async_read_some(asio::buffer(bytes_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec == asio::error::operation_aborted) return;
      self->in_.append(self->bytes_.data(), n);
      if (ec) return self->closed();
      self->judge();
      if (self->socket_.is_open()) self->read();
    });
  }
  void closed() {
    if (!busy_) return close();  // between requests: anybody may
    // A kept connection that is closed before a byte of an answer may have crossed with the request.
    if (in_.empty() && !fresh_ && owner_.pace_.keep) {
      socket_.close();
      fresh_ = true;
      --owner_.asked_;
      --owner_.open_;
      return ask(false);
    }
    end(in_.empty() ? &LoadResults::door : &LoadResults::lost);
  }
  void judge() {
    if (!busy_) {
      if (!in_.empty()) ++owner_.ends_.twice;
      return close();
    }
    const std::size_t head = in_.find("\r\n\r\n");
    if (head == std::string::npos) return;
    const bool served = in_.rfind("HTTP/1.1 200", 0) == 0;
    const bool last = in_.find("Connection: close") < head;
    if (served && first_ms_ < 0 && in_.find("data: ") != std::string::npos)
      first_ms_ = std::chrono::duration<double, std::milli>(Clock::now() - began_).count();
    std::size_t whole = std::string::npos;
    if (served) {
      const std::size_t mark = in_.find("\r\n0\r\n\r\n", head);
      if (mark != std::string::npos) whole = mark + 7;
    } else {
      const std::size_t length = in_.find("Content-Length: ");
      if (length < head) whole = head + 4 + std::stoul(in_.substr(length + 16));
    }
    if (in_.size() < whole) return;
    if (in_.size() > whole) ++owner_.ends_.twice;
    if (served && owner_.pace_.events > 0 && !in_order()) ++owner_.ends_.torn;
    const bool refused = in_.rfind("HTTP/1.1 503", 0) == 0 || in_.rfind("HTTP/1.1 429", 0) == 0;
    if (served && piece_ >= out_.size()) owner_.ends_.first_ms.push_back(first_ms_);
    const bool keep = owner_.pace_.keep && !last;
    end(served ? &LoadResults::served : refused ? &LoadResults::refused : &LoadResults::failed, keep);
  }
  bool in_order() const {
    std::size_t at = 0;
    for (int n = 0; n < owner_.pace_.events; ++n) {
      at = in_.find("data: ", at);
      const std::string event = "data: {\"n\":" + std::to_string(n) + "}\n\n";
      if (at == std::string::npos || in_.compare(at, event.size(), event) != 0) return false;
      at += event.size();
    }
    return in_.find("data: ", at) == std::string::npos;
  }
  void end(std::uint64_t LoadResults::*as, bool keep = false) {
    if (!busy_) return;
    busy_ = false;
    fresh_ = false;
    in_.clear();
    ++(owner_.ends_.*as);
    --owner_.open_;
    timer_.cancel();
    if (!keep) close();
  }

  Load& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::optional<asio::steady_timer> pause_;
  std::string out_, in_;
  std::array<char, 4096> bytes_{};
  std::size_t written_ = 0, piece_ = 0;
  std::uint64_t turn_ = 0;  // which writing of a request this is
  Clock::time_point began_;
  double first_ms_ = -1.0;
  bool busy_ = false, fresh_ = false;
};

class Load::Idler : public std::enable_shared_from_this<Idler> {
 public:
  Idler(Load& owner, std::string bytes, int again_ms)
      : owner_(owner), socket_(owner.io_), timer_(owner.io_), bytes_(std::move(bytes)), again_ms_(again_ms) {}
  void come() {
    socket_.async_connect(owner_.to_, [self = shared_from_this()](error_code ec) {
      if (ec) return self->again();
      asio::async_write(self->socket_, asio::buffer(self->bytes_), [self](error_code, std::size_t) {});
      self->stay();
    });
  }
  void close() {
    again_ms_ = 0;
    timer_.cancel();
    error_code ignored;
    socket_.close(ignored);
  }

 private:
  void stay() {
    socket_.async_read_some(asio::buffer(in_), [self = shared_from_this()](error_code ec, std::size_t) {
      ec ? self->again() : self->stay();
    });
  }
  void again() {
    error_code ignored;
    socket_.close(ignored);
    if (again_ms_ == 0) return;
    timer_.expires_after(std::chrono::milliseconds(again_ms_));
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec && self->again_ms_ > 0) self->come();
    });
  }
  Load& owner_;
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::string bytes_;
  std::array<char, 256> in_{};
  int again_ms_;
};

Load::Load(unsigned short port, LoadOptions pace, std::uint64_t seed)
    : to_(asio::ip::address_v4::loopback(), port), pace_(pace), random_(seed), timer_(io_) {
  asio::post(io_, [this] { next(); });
  thread_ = std::thread([this] { io_.run(); });
}

Load::~Load() {
  if (thread_.joinable()) finish();
}

void Load::next() {
  timer_.expires_after(std::chrono::microseconds(static_cast<long>(1e6 / pace_.per_second)));
  timer_.async_wait([this](error_code ec) {
    if (ec || stopping_) return;
    next();
    const bool slow = std::uniform_real_distribution<>()(random_) < pace_.slow_part;
    if (pace_.keep) {
      std::erase_if(kept_, [](const auto& r) { return r.use_count() == 1 && !r->idle(); });
      for (const auto& r : kept_) {
        if (r->idle()) return r->ask(slow);
      }
    }
    const auto request = std::make_shared<Request>(*this);
    if (pace_.keep) kept_.push_back(request);
    request->ask(slow);
  });
}

void Load::crowd(int connections, const std::string& bytes, int again_ms) {
  asio::post(io_, [this, connections, bytes, again_ms] {
    for (int i = 0; i < connections; ++i) {
      idlers_.push_back(std::make_shared<Idler>(*this, bytes, again_ms));
      idlers_.back()->come();
    }
  });
}

LoadResults Load::finish() {
  std::function<void()> end = [&] {
    stopping_ = true;
    timer_.cancel();
    if (open_ > 0) {
      timer_.expires_after(std::chrono::milliseconds(10));
      return timer_.async_wait([&](error_code) { end(); });
    }
    for (const auto& r : kept_) r->close();
    for (const auto& i : idlers_) i->close();
  };
  asio::post(io_, end);
  thread_.join();
  return ends_;
}

}  // namespace flintglade::tests
