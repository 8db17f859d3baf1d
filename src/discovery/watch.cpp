#include "discovery/watch.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <limits>
#include <optional>

#include "discovery/documents.h"
#include "log/log.h"
#include "net/write_all.h"

namespace flintglade::discovery {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

class Watch::Session : public std::enable_shared_from_this<Session> {
 public:
  Session(Watch& owner) : owner_(&owner), socket_(owner.io_), silence_(owner.io_) {
    parser_.eager(true);
    parser_.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  void start() {
    error_code ec;
    const auto address = asio::ip::make_address(owner_->at_.host, ec);
    if (ec) return fail("its address cannot be used");
    request_ = "GET /v1/endpoints?stream=1";
    if (owner_->have_list_) request_ += "&index=" + std::to_string(owner_->version_);
    request_ += " HTTP/1.1\r\nHost: discovery\r\nAccept: application/json\r\n\r\n";
    expect_within(owner_->silence_.first);
    socket_.async_connect({address, owner_->at_.port}, [self = shared_from_this()](error_code failed) {
      if (failed) return self->fail("cannot connect: " + failed.message());
      if (self->owner_ == nullptr) return;
      net::write_all(self->socket_, {asio::buffer(self->request_)}, [self](error_code wrong) {
        wrong ? self->fail("cannot ask: " + wrong.message()) : self->read();
      });
    });
  }

  void stop() {
    owner_ = nullptr;
    error_code ignored;
    silence_.cancel();
    socket_.close(ignored);
  }

 private:
  void expect_within(core::Micros span) {
    silence_.expires_after(std::chrono::microseconds(span));
    silence_.async_wait([self = shared_from_this()](error_code ec) {
      // A wait whose end crossed the arrival of bytes is not cancelled any more: the span has been set anew.
      const bool set_anew = self->silence_.expiry() > std::chrono::steady_clock::now();
      if (!ec && !set_anew)
        self->fail(self->documents_.begun() ? "a list that does not end" : "silent for too long");
    });
  }

  void read() {
    if (owner_ == nullptr) return;
    socket_.async_read_some(buffer_.prepare(16384),
                            [self = shared_from_this()](error_code ec, std::size_t n) {
                              if (ec) return self->fail("the watch ended: " + ec.message());
                              self->buffer_.commit(n);
                              self->take();
                            });
  }

  void take() {
    if (owner_ == nullptr) return;
    error_code ec;
    while (buffer_.size() > 0 && !parser_.is_done()) {
      const std::size_t used = parser_.put(buffer_.data(), ec);
      buffer_.consume(used);
      if (ec == http::error::need_more) break;
      if (ec) return fail("not HTTP: " + ec.message());
    }
    if (parser_.is_header_done()) {
      if (parser_.get().result() != http::status::ok)
        return fail("status " + std::to_string(parser_.get().result_int()));
      owner_->boots_.heard(owner_->clock_.now());
      bool onward =
          !documents_.begun();  // the span counts from the last list's end, or the next one's beginning
      documents_.add(std::exchange(parser_.get().body(), {}));
      while (const std::optional<std::string> document = documents_.next()) {
        if (!pass_on(*document)) return;
        onward = true;
      }
      if (documents_.wrong()) return fail("bytes that are no list");
      // A list that was torn may look like one that goes on: it has as long to its end as a silent watch.
      if (onward || !documents_.begun()) expect_within(owner_->silence_.open);
    }
    if (parser_.is_done()) return fail("the watch ended");  // it lasts until its connection ends
    read();
  }

  // False: the session is over.
  bool pass_on(const std::string& document) {
    const std::uint32_t before = owner_->version();
    if (!owner_->take(document)) {
      fail("a line that is no list");
      return false;
    }
    if (owner_ == nullptr) return false;
    if (owner_->on_line_ && owner_->version() != before)
      owner_->on_line_(owner_->last_was_whole_ ? 0 : before, owner_->version(), document);
    return owner_ != nullptr;
  }

  void fail(std::string why) {
    if (owner_ == nullptr) return;
    log::event(log::Level::warn, "endpoint_list_failed",
               {{"at", config::host_port(owner_->at_.host, owner_->at_.port)}, {"why", why}});
    owner_->last_error_ = std::move(why);
    Watch* owner = owner_;
    stop();
    owner->session_.reset();
    owner->tell_({});  // a failure: the list held stays in force
  }

  Watch* owner_;  // empty once stopped
  tcp::socket socket_;
  asio::steady_timer silence_;
  std::string request_;
  boost::beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  Documents documents_;
};

bool Watch::take(std::string_view text) {
  core::EndpointListUpdate news;
  if (!parse_list(text, names_, news)) return false;
  boots_.put_right(clock_.now(), news);
  if (news.kind == policy::ListKind::delta && have_list_ && news.version < version_) {
    // Late or repeated: what it tells has been overtaken by what is held.
    log::event(log::Level::warn, "endpoint_list_out_of_order", {{"rev", news.version}, {"held", version_}});
    return true;
  }
  if (!news.unreadable.empty())
    log::event(log::Level::warn, "endpoint_entries_unreadable",
               {{"entries", news.unreadable.size()}, {"in_force", "what was held of them"}});
  version_ = news.version;
  last_was_whole_ = news.kind != policy::ListKind::delta;
  have_list_ = true;
  last_error_.clear();
  tell_(std::move(news));
  return true;
}

Watch::Watch(asio::io_context& io, core::Clock& clock, config::HostPort at, Names names, BootClock boots,
             Silence silence)
    : io_(io),
      clock_(clock),
      at_(std::move(at)),
      names_(std::move(names)),
      boots_(std::move(boots)),
      silence_(silence) {}
Watch::~Watch() { subscribe(false); }

void Watch::known(const std::string& json) {
  core::EndpointListUpdate news;
  if (!json.empty() && parse_list(json, names_, news)) {
    boots_.known(clock_.now(), news);
    version_ = news.version;
    have_list_ = true;
  }
  // Told even where nothing is known: it is on this word that the module first asks for the list.
  news.kind = policy::ListKind::cached;
  tell_(std::move(news));
}

std::string Watch::status() const {
  const std::string where = config::host_port(at_.host, at_.port);
  return last_error_.empty() ? where + " has answered" : where + ": " + last_error_;
}

void Watch::move(config::HostPort to) {
  if (to.host == at_.host && to.port == at_.port) return;
  at_ = std::move(to);
  have_list_ = false;  // another service may count its versions otherwise: the whole list is asked for
  if (wanted_) subscribe(true);
}

void Watch::subscribe(bool on) {
  wanted_ = on;
  if (session_) {
    session_->stop();
    session_.reset();
  }
  if (!on) return;
  const auto session = session_ = std::make_shared<Session>(*this);
  session->start();
}

}  // namespace flintglade::discovery
