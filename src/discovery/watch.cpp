#include "discovery/watch.h"

#include <boost/beast/http.hpp>
#include <chrono>
#include <limits>
#include <optional>

#include "discovery/documents.h"
#include "log/log.h"
#include "net/receive_buffer.h"
#include "net/streamed_body.h"
#include "net/write_all.h"

namespace flintglade::discovery {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

class Watch::Session : public std::enable_shared_from_this<Session> {
 public:
  explicit Session(Watch& owner)
      : owner_(&owner), socket_(owner.io_), silence_timer_(owner.io_), started_at_(owner.clock_.now()) {
    parser_.eager(true);
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  void start() {
    error_code ec;
    const auto ip_address = asio::ip::make_address(owner_->address_.host, ec);
    if (ec) return fail("\"" + owner_->address_.host + "\" is not an IP address");
    request_ = "GET /v1/endpoints?stream=1";
    if (owner_->have_list_) request_ += "&index=" + std::to_string(owner_->version_);
    request_ += " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n";
    restart_silence_timer(owner_->silence_.first);
    socket_.async_connect(
        {ip_address, owner_->address_.port}, [self = shared_from_this()](error_code connect_error) {
          if (connect_error) return self->fail("cannot connect: " + connect_error.message());
          if (self->owner_ == nullptr) return;
          net::write_all(self->socket_, {asio::buffer(self->request_)}, [self](error_code write_error) {
            write_error ? self->fail("sending the request failed: " + write_error.message()) : self->read();
          });
        });
  }

  void stop() {
    owner_ = nullptr;
    error_code ignored;
    silence_timer_.cancel();
    socket_.close(ignored);
  }

  bool waits_for_answer() const { return !parser_.is_header_done(); }
  core::Micros started_at() const { return started_at_; }

 private:
  void restart_silence_timer(core::Micros span) {
    silence_timer_.expires_after(std::chrono::microseconds(span));
    silence_timer_.async_wait([self = shared_from_this(), span](error_code ec) {
      // If bytes arrived in the event loop iteration in which the timer expired, it was restarted, but this
      // handler can no longer be cancelled.
      const bool restarted = self->silence_timer_.expiry() > std::chrono::steady_clock::now();
      if (!ec && !restarted)
        self->fail(std::string(self->splitter_.begun() ? "a list was not completed" : "no data received") +
                   " within " + std::to_string(span / core::kMilli) + " ms");
    });
  }

  void read() {
    if (owner_ == nullptr) return;
    socket_.async_read_some(buffer_.prepare(net::kReadSize),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              if (ec) return self->fail("reading failed: " + ec.message());
                              self->buffer_.commit(n);
                              self->process_received();
                            });
  }

  void process_received() {
    if (owner_ == nullptr) return;
    error_code ec;
    while (buffer_.size() > 0 && !parser_.is_done()) {
      const std::size_t used = parser_.put(buffer_.data(), ec);
      buffer_.consume(used);
      if (ec == http::error::need_more) break;
      if (ec) return fail("malformed HTTP response: " + ec.message());
    }
    if (parser_.is_header_done()) {
      if (parser_.get().result() != http::status::ok)
        return fail("HTTP status " + std::to_string(parser_.get().result_int()));
      owner_->boot_clock_.on_data_received(owner_->clock_.now());
      // The time-out restarts when a list ends and when the next one begins.
      bool restart_timer = !splitter_.begun();
      splitter_.add(std::exchange(parser_.get().body(), {}));
      while (const std::optional<std::string> document = splitter_.next()) {
        if (!apply_document(*document)) return;
        restart_timer = true;
      }
      if (splitter_.malformed())
        return fail("received bytes that are not a JSON object of at most " +
                    std::to_string(DocumentSplitter::kLongest) + " bytes");
      // Further bytes of one list do not restart the time-out: a list that was cut off could otherwise look
      // like one that continues for ever.
      if (restart_timer || !splitter_.begun()) restart_silence_timer(owner_->silence_.open);
    }
    if (parser_.is_done()) return fail("discovery ended the response");  // a watch normally has no end
    if (net::element_is_too_long(buffer_.size()))
      return fail("malformed HTTP response: an element of over " + std::to_string(net::kMaxElementSize) +
                  " bytes");
    read();
  }

  // Returns false if the session has ended.
  bool apply_document(const std::string& document) {
    const std::uint32_t version_before = owner_->version();
    if (!owner_->apply(document)) {
      fail("received JSON that is not an endpoint list");
      return false;
    }
    if (owner_ == nullptr) return false;
    if (owner_->on_line_ && owner_->version() != version_before)
      owner_->on_line_(owner_->last_was_full_ ? 0 : version_before, owner_->version(), document);
    return owner_ != nullptr;
  }

  void fail(std::string why) {
    if (owner_ == nullptr) return;
    log::event(log::Level::warn, "endpoint_list_failed",
               {{"at", config::host_port(owner_->address_.host, owner_->address_.port)}, {"why", why}});
    owner_->last_error_ = std::move(why);
    Watch* owner = owner_;
    stop();
    owner->session_.reset();
    owner->update_handler_({});  // reports the failure; the list held stays in force
  }

  Watch* owner_;  // null once stopped
  tcp::socket socket_;
  asio::steady_timer silence_timer_;
  core::Micros started_at_;
  std::string request_;
  boost::beast::flat_buffer buffer_ = net::make_receive_buffer();
  http::response_parser<net::StreamedBody> parser_;
  DocumentSplitter splitter_;
};

bool Watch::apply(std::string_view text) {
  core::EndpointListUpdate update;
  if (!parse_list(text, names_, update)) return false;
  boot_clock_.convert_start_times(clock_.now(), update);
  if (update.kind == policy::ListKind::delta && have_list_ && update.version < version_) {
    // Late or repeated: the list held is newer.
    log::event(log::Level::warn, "endpoint_list_out_of_order", {{"rev", update.version}, {"held", version_}});
    return true;
  }
  if (!update.unreadable.empty())
    log::event(log::Level::warn, "endpoint_entries_unreadable",
               {{"entries", update.unreadable.size()}, {"in_force", "their previous entries"}});
  version_ = update.version;
  last_was_full_ = update.kind != policy::ListKind::delta;
  have_list_ = true;
  last_error_.clear();
  update_handler_(std::move(update));
  return true;
}

Watch::Watch(asio::io_context& io, core::Clock& clock, config::HostPort address, Names names,
             BootClock boot_clock, Silence silence)
    : io_(io),
      clock_(clock),
      address_(std::move(address)),
      names_(std::move(names)),
      boot_clock_(std::move(boot_clock)),
      silence_(silence) {}
Watch::~Watch() { subscribe(false); }

void Watch::load_cached_list(const std::string& json) {
  core::EndpointListUpdate update;
  if (!json.empty() && parse_list(json, names_, update)) {
    boot_clock_.convert_cached_start_times(clock_.now(), update);
    version_ = update.version;
    have_list_ = true;
  }
  // Delivered even if empty: this update makes the module request the list for the first time.
  update.kind = policy::ListKind::cached;
  update_handler_(std::move(update));
}

std::string Watch::status() const {
  const std::string address = config::host_port(address_.host, address_.port);
  return last_error_.empty() ? address + " has answered" : address + ": " + last_error_;
}

void Watch::set_address(config::HostPort to) {
  if (to.host == address_.host && to.port == address_.port) return;
  address_ = std::move(to);
  have_list_ = false;  // another service may have other versions, so request the complete list
  if (subscribed_) start_session();
}

void Watch::record_replaced_request() {
  ++counters_.requests_replaced;
  log::event(log::Level::info, "endpoint_list_request_replaced",
             {{"at", config::host_port(address_.host, address_.port)},
              {"after_ms", (clock_.now() - session_->started_at()) / core::kMilli}});
}

void Watch::subscribe(bool on) {
  subscribed_ = on;
  if (!on) return stop_session();
  if (session_ && session_->waits_for_answer()) return;
  start_session();
}

void Watch::start_session() {
  if (session_ && session_->waits_for_answer()) record_replaced_request();
  stop_session();
  ++counters_.requests;
  const auto session = session_ = std::make_shared<Session>(*this);
  session->start();
}

void Watch::stop_session() {
  if (!session_) return;
  session_->stop();
  session_.reset();
}

}  // namespace flintglade::discovery
