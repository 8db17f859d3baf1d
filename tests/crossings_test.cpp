// Events that cross: what happens where two of them meet in one iteration, or one comes between two steps of
// another. The order is forced: by steps of the loop, by what is left unread in a socket, never by a pause.
// docs/design/crossings.md says which cell of its table each test forces.
#include <sys/socket.h>

#include <boost/asio.hpp>
#include <chrono>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <thread>

#include "check.h"
#include "core_stand_ins.h"
#include "discovery/boot_clock.h"
#include "discovery/documents.h"
#include "discovery/watch.h"
#include "http/replica_client.h"
#include "http/server.h"

namespace {

using namespace flintglade;
using boost::asio::ip::tcp;
using core::Micros;
using flintglade::tests::Core;
using policy::Health;
using policy::Outcome;

constexpr int kPatienceMs = 5000;  // for what must come; no verdict hangs on less

// ---- lists ----------------------------------------------------------------------------------------------

constexpr char kLine[] = R"({"rev":7,"all":true,"targets":[{"uid":"a}\"{","endpoint":"h:1","n":-1.5e3}]})";
constexpr char kIndented[] =
    "{\n  \"rev\": 8,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": \"b\"\n    },\n    {}\n"
    "  ]\n}";

void lists_are_told_apart_whatever_their_pieces() {
  const std::string all = std::string("\n\n") + kLine + "\r\n\n" + kIndented + "\n" + kLine + "\n\n";
  for (std::size_t size = 1; size <= all.size(); ++size) {
    discovery::DocumentSplitter documents;
    std::vector<std::string> got;
    for (std::size_t at = 0; at < all.size(); at += size) {
      documents.add(std::string_view(all).substr(at, size));
      while (const auto document = documents.next()) got.push_back(*document);
    }
    CHECK(!documents.malformed() && got.size() == 3);
    CHECK(got[0] == kLine && got[1] == kIndented && got[2] == kLine);
  }
}

// A list that was torn is noticed by what follows, and not taken for a part of the next one.
void torn_lists_are_noticed() {
  const std::string line = kLine;
  for (std::size_t torn = 1; torn < line.size(); ++torn) {
    discovery::DocumentSplitter documents;
    documents.add(line.substr(0, torn) + "\n" + line + "\n");
    while (documents.next()) {
    }
    // Behind an open bracket of entries the next list may pass for one of them; then it does not end.
    CHECK(documents.malformed() || documents.begun());
  }
  for (const char* text : {"nonsense", "[1]", "7", "{,}", "{\"a\" 1}", "{\"a\":1 2}", "{1:2}", "{\"a\":}",
                           "{\"a\":[1,]}", "{\"a\":1]", "{\"a\":1,}", "{\"a\":\"b\" \"c\"}"}) {
    discovery::DocumentSplitter documents;
    documents.add(text);
    CHECK(!documents.next().has_value() && documents.malformed());
  }
  discovery::DocumentSplitter endless;
  endless.add("{\"a\":\"" + std::string(discovery::DocumentSplitter::kLongest, 'x'));
  CHECK(!endless.next().has_value() && endless.malformed());
}

Micros started_at(discovery::BootClock& clock, Micros now, core::ReplicaId id, Micros unix_time) {
  core::EndpointListUpdate news;
  news.entries.resize(1);
  news.entries[0].replica.id = id;
  news.entries[0].replica.started_at = static_cast<double>(unix_time) / 1e6;
  clock.convert_start_times(now, news);
  return static_cast<Micros>(news.entries[0].replica.started_at * 1e6 + 0.5);
}

// The wall clock may be stepped before the router's start: replicas that have just started are cold all the
// same, and a start once told keeps its time.
void starts_are_known_though_the_wall_clock_is_stepped() {
  constexpr Micros kHour = 3600 * core::kSecond, kNow = 100 * core::kSecond;
  constexpr Micros kUnix = 1'700'000'000 * core::kSecond;  // Unix time when the monotonic clock began
  for (const Micros step : {Micros{0}, kHour, -kHour, 3 * core::kSecond, -3 * core::kSecond}) {
    discovery::BootClock clock(-kUnix - step);
    const Micros first = started_at(clock, kNow, 1, kUnix + 50 * core::kSecond);
    // It starts anew at 119 s, which is told at 120 s.
    clock.on_data_received(118 * core::kSecond);
    const Micros again = started_at(clock, 120 * core::kSecond, 1, kUnix + 119 * core::kSecond);
    const Micros off = again - 119 * core::kSecond;
    CHECK(again <= 120 * core::kSecond && std::abs(off) <= 3 * core::kSecond);
    // By now the offset is right to some seconds for those that no list named before.
    const Micros other = started_at(clock, 121 * core::kSecond, 2, kUnix + 120 * core::kSecond);
    CHECK(other <= 121 * core::kSecond && other >= 116 * core::kSecond);
    CHECK(started_at(clock, 130 * core::kSecond, 1, kUnix + 119 * core::kSecond) == again);
    CHECK(step != 0 || first == 50 * core::kSecond);
  }
}

// A router comes up with a list from a minute ago, and a replica has started anew meanwhile, before the
// router did: that is no sign that the clock is wrong.
void an_old_list_proves_nothing_of_the_clock() {
  constexpr Micros kNow = 100 * core::kSecond, kUnix = 1'700'000'000 * core::kSecond;
  discovery::BootClock clock(-kUnix);
  core::EndpointListUpdate old;
  old.entries.resize(1);
  old.entries[0].replica.id = 1;
  old.entries[0].replica.started_at = static_cast<double>(kUnix + 10 * core::kSecond) / 1e6;
  clock.convert_cached_start_times(kNow, old);
  CHECK(started_at(clock, kNow + core::kSecond, 1, kUnix + 50 * core::kSecond) == 50 * core::kSecond);
  // Nor is a start that discovery tells late, as far as it may fall behind.
  clock.on_data_received(kNow + 20 * core::kSecond);
  CHECK(started_at(clock, kNow + 21 * core::kSecond, 1, kUnix + kNow) == kNow);
}

// Lists on a watch, as discovery writes them: an indented one is a list, and a span that has been set anew in
// the iteration in which it ended is no silence.
struct Discovery {
  boost::asio::io_context io{1};
  tests::Ports ports;
  tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket peer{io};
  std::vector<core::EndpointListUpdate> told;
  std::unique_ptr<discovery::Watch> watch;
  explicit Discovery(discovery::Silence silence = {}) {
    watch = std::make_unique<discovery::Watch>(
        io, ports, config::HostPort{"127.0.0.1", acceptor.local_endpoint().port()}, discovery::Names{},
        discovery::BootClock(0), silence);
    watch->set_update_handler([this](core::EndpointListUpdate news) { told.push_back(std::move(news)); });
    watch->subscribe(true);
    acceptor.accept(peer);
    write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  }
  void write(const std::string& bytes) { boost::asio::write(peer, boost::asio::buffer(bytes)); }
  void chunk(const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    write(size + text + "\r\n");
  }
  bool until(const std::function<bool()>& so) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    while (!so() && std::chrono::steady_clock::now() < end) io.run_one_for(std::chrono::milliseconds(20));
    return so();
  }
};

void an_indented_list_is_a_list() {
  Discovery d;
  std::string list = kIndented;
  for (std::size_t at = 0; at < list.size(); at += 7) d.chunk(list.substr(at, 7));
  CHECK(d.until([&] { return !d.told.empty(); }));
  CHECK(d.told[0].kind == policy::ListKind::delta && d.told[0].version == 8);
}

void a_span_of_silence_that_was_set_anew_has_not_ended() {
  Discovery d({core::kSecond, 200 * core::kMilli});
  CHECK(d.until([&] { return d.peer.available() > 0; }));       // it has asked
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // the first span ends, unseen
  d.chunk("\n");
  d.chunk(kLine + std::string("\n"));
  // Both are ready by now, in whichever order the loop takes them.
  CHECK(d.until([&] { return !d.told.empty(); }));
  const bool silent = d.told[0].kind == policy::ListKind::failed;
  CHECK(silent || d.told[0].version == 7);
  d.io.poll();
  CHECK(silent || d.told.size() == 1);
}

void a_list_that_does_not_end_is_no_sign_of_life() {
  Discovery d({300 * core::kMilli, 300 * core::kMilli});
  d.chunk(R"({"rev":7,"all":true,"targets":[)");
  CHECK(d.until([&] {
    if (d.told.empty()) d.chunk("\n");
    return !d.told.empty();
  }));
  CHECK(d.told[0].kind == policy::ListKind::failed);
}

void a_watch_that_falls_silent_is_opened_anew_in_time() {
  // 6 s after it fell silent a change counts as told. Two calls may fail after 2 s each before the third.
  const discovery::Silence usual;
  CHECK(usual.open > 2 * core::kSecond && usual.open + 2 * 2 * core::kSecond < 8 * core::kSecond);
  Discovery d({200 * core::kMilli, 200 * core::kMilli});
  d.chunk("\n");
  CHECK(d.until([&] { return !d.told.empty(); }));
  CHECK(d.told[0].kind == policy::ListKind::failed);
}

// ---- clients over HTTP ----------------------------------------------------------------------------------

std::string request(const std::string& id, const std::string& body = "{}") {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Qos: chat\r\nX-Trace-Id: " + id +
         "\r\nX-Expires-In-Ms: 5000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A front on loopback, a core on stand-in replicas, and one client; the loop runs when a test says so.
struct Router {
  boost::asio::io_context io{1};  // outlives the core, which holds connections
  Core core;
  http::HttpServer front;
  tcp::socket client{io};
  Router()
      : front(io, *core.broker, core.ports,
              {{{"chat"}, {}, {5 * core::kSecond}}, [] { return std::size_t{64}; }}) {
    CHECK(front.listen(config::HostPort{"127.0.0.1", 0}).empty());
    connect(client);
    step();
  }
  void connect(tcp::socket& to) { to.connect({boost::asio::ip::address_v4::loopback(), front.port()}); }
  void step() {  // what is ready, and the core's turns that follow from it
    for (int i = 0; i < 4; ++i) {
      io.poll();
      io.restart();
      core.broker->run_iteration();
    }
  }
  void write(const std::string& bytes) {
    boost::asio::write(client, boost::asio::buffer(bytes));
    step();
  }
  void answer(core::RequestId id) {
    core.broker->on_attempt_events({id, 0}, "data: x\n\n");
    core.broker->on_attempt_ended({id, 0}, Outcome::ok);
    step();
  }
  // All that the client gets until its connection ends, or until it has this at its end.
  std::string read(const std::string& end = "") {
    std::string out;
    client.non_blocking(true);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    while (std::chrono::steady_clock::now() < until && (end.empty() || !out.ends_with(end))) {
      char bytes[4096];
      boost::system::error_code ec;
      const std::size_t n = client.read_some(boost::asio::buffer(bytes), ec);
      out.append(bytes, n);
      if (ec && ec != boost::asio::error::would_block)
        return out + (ec == boost::asio::error::eof ? "" : "!");
      step();
    }
    return end.empty() ? out + "?" : out;
  }
  bool until(const std::function<bool()>& so) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(kPatienceMs);
    while (!so() && std::chrono::steady_clock::now() < end) {
      step();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return so();
  }
};

std::size_t count(const std::string& in, const std::string& what) {
  std::size_t n = 0;
  for (std::size_t at = 0; (at = in.find(what, at)) != std::string::npos; at += what.size()) ++n;
  return n;
}

// SIGTERM comes while one of three requests is answered and two have been read behind it: each gets its
// answer, and only the last says that the connection ends.
void requests_that_were_read_before_a_drain_are_answered() {
  Router r;
  r.write(request("1") + request("2") + request("3"));
  CHECK(r.core.ports.calls.size() == 1);
  r.core.broker->drain();
  for (core::RequestId id = 1; id <= 3; ++id) r.answer(id);
  const std::string got = r.read();
  CHECK(count(got, "HTTP/1.1 200 OK") == 3 && count(got, "Connection: close") == 1 && !got.ends_with("!"));
  CHECK(got.rfind("Connection: close") > got.rfind("HTTP/1.1 200 OK"));
}

// A request that crosses our word that the connection ends is not forwarded: its client may have sent it
// elsewhere.
void a_request_that_crosses_the_end_is_not_forwarded() {
  Router r;
  r.core.broker->drain();
  r.write(request("1"));
  r.core.broker->on_attempt_events({1, 0}, "data: x\n\n");
  r.step();
  r.write(request("2"));  // the head of the first answer has said 'Connection: close' by now
  r.core.broker->on_attempt_ended({1, 0}, Outcome::ok);
  const std::string got = r.read();
  CHECK(count(got, "HTTP/1.1 200 OK") == 1 && count(got, "HTTP/1.1 503") == 1 && !got.ends_with("!"));
  CHECK(r.core.ports.calls.size() == 1);
}

void a_half_read_request_is_refused_when_a_drain_takes_no_more() {
  Router r;
  const std::string whole = request("1");
  r.write(whole.substr(0, whole.size() / 2));
  r.core.broker->drain();
  r.core.pass_time(r.core.limits.drain_accept_window + 10 * core::kMilli);
  CHECK(!r.core.broker->accepts_requests());
  r.core.broker->set_partially_read_requests(r.front.partially_read_requests());
  r.front.reject_partially_read_requests();
  r.step();
  r.core.pass_time(r.core.limits.final_response_grace / 2);
  CHECK(r.core.broker->phase() == core::Phase::draining);  // the word is on its way
  boost::asio::write(r.client, boost::asio::buffer(whole.substr(whole.size() / 2)));
  r.client.shutdown(tcp::socket::shutdown_send);
  const std::string got = r.read();
  CHECK(got.rfind("HTTP/1.1 503", 0) == 0 && !got.ends_with("!"));
  CHECK(r.core.ports.calls.empty());
}

// Its end stands behind more bytes than are read ahead.
void a_client_that_sends_much_and_goes_is_noticed() {
  Router r;
  std::string much = request("1");
  for (int i = 2; i < 12; ++i) much += request(std::to_string(i), std::string(8000, 'x'));
  boost::asio::write(r.client, boost::asio::buffer(much));
  r.client.close();
  CHECK(r.until([&] { return !r.core.ports.cancelled.empty(); }));
  r.step();
  CHECK(r.core.ports.calls.size() == 1 && r.core.broker->requests_in_flight() == 0);
}

// A client that stops in the middle of a later request is told within 3 s, as in its first.
void a_client_that_stops_in_a_later_request_is_told() {
  Router r;
  const auto began = std::chrono::steady_clock::now();
  const auto now = [began] {
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - began)
        .count();
  };
  const Micros start = r.core.ports.time;
  r.write(request("1"));
  r.answer(1);
  r.read("0\r\n\r\n");
  r.write(request("2").substr(0, 40));
  const bool told = r.until([&] {
    r.core.ports.time = start + now();
    return r.client.available() > 0;
  });
  CHECK(told && now() < 3 * core::kSecond);
  CHECK(r.read("\n").rfind("HTTP/1.1 408", 0) == 0);
}

// ---- replicas over HTTP ---------------------------------------------------------------------------------

http::ReplicaClientSettings some_room() {
  http::ReplicaClientSettings out;
  out.connection_limit = [] { return std::size_t{16}; };
  return out;
}

// A replica's listener, and a call to it whose connection the kernel has made: our loop has not looked yet.
struct Dialled {
  Core core;
  boost::asio::io_context io{1};
  http::HttpReplicaClient replica_client{io, *core.broker, core.ports, some_room()};
  tcp::acceptor listener{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket peer{io};
  core::Endpoint at;
  Dialled() {
    at.address = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
    at.replica.id = 5;
    replica_client.update_endpoint(at, core::kNever);
    auto rpc = std::make_shared<core::Request>();
    rpc->method = "POST";
    replica_client.start_attempt({1, 0}, 5, rpc, core::kSecond);
    listener.accept(peer);
  }
  // The loop looks; the connection ends without a byte.
  bool nothing_is_written() {
    io.poll();
    boost::system::error_code ec;
    char byte = 0;
    return peer.read_some(boost::asio::buffer(&byte, 1), ec) == 0 && ec;
  }
};

void a_client_that_leaves_while_a_connection_comes_up() {
  Dialled d;
  d.replica_client.cancel_attempt({1, 0});
  CHECK(d.nothing_is_written());
}

// Its replica drains, and its grace is over, while the connection comes up.
void a_replica_that_drains_while_a_connection_comes_up() {
  Dialled d;
  d.replica_client.update_endpoint(d.at, d.core.ports.time);
  CHECK(d.nothing_is_written());
}

// ---- what passes on -------------------------------------------------------------------------------------

// What the client says to its replica goes through as it is: an idempotency key, which marks a repeat as one.
// What is said to the router, or belongs to the connection, does not.
void a_clients_own_headers_pass_on() {
  Router r;
  http::HttpReplicaClient replica_client(r.io, *r.core.broker, r.core.ports, some_room());
  r.core.broker->attach(core::Wire::http, replica_client);
  tcp::acceptor replica(r.io, {boost::asio::ip::address_v4::loopback(), 0});
  core::Endpoint at;
  at.address = "127.0.0.1:" + std::to_string(replica.local_endpoint().port());
  at.replica.id = 1;
  replica_client.update_endpoint(at, core::kNever);
  std::string asked = request("1");
  asked.insert(
      asked.find("\r\n") + 2,
      "Idempotency-Key: \"a 1\"\r\ncontent-type: application/json\r\nX-Own: b\r\nConnection: x-own\r\n"
      "Keep-Alive: 5\r\nTE: trailers\r\nx-qos-more: c\r\n");
  r.write(asked);
  tcp::socket peer(r.io);
  replica.accept(peer);
  r.step();
  std::string got;
  CHECK(r.until([&] {
    char bytes[4096];
    if (peer.available() > 0) got.append(bytes, peer.read_some(boost::asio::buffer(bytes)));
    return got.ends_with("\r\n\r\n{}");
  }));
  for (const char* line : {"Idempotency-Key: \"a 1\"", "content-type: application/json", "x-qos-more: c",
                           "X-Trace-Id: 1", "Content-Length: 2"})
    CHECK(count(got, std::string("\r\n") + line + "\r\n") == 1);
  for (const char* name : {"X-Own", "Connection", "Keep-Alive", "TE:", "X-Qos:"})
    CHECK(count(got, name) == 0);
  CHECK(count(got, "Host:") == 1);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {lists_are_told_apart_whatever_their_pieces,
                                         torn_lists_are_noticed,
                                         starts_are_known_though_the_wall_clock_is_stepped,
                                         an_old_list_proves_nothing_of_the_clock,
                                         an_indented_list_is_a_list,
                                         a_span_of_silence_that_was_set_anew_has_not_ended,
                                         a_list_that_does_not_end_is_no_sign_of_life,
                                         a_watch_that_falls_silent_is_opened_anew_in_time,
                                         requests_that_were_read_before_a_drain_are_answered,
                                         a_request_that_crosses_the_end_is_not_forwarded,
                                         a_half_read_request_is_refused_when_a_drain_takes_no_more,
                                         a_client_that_sends_much_and_goes_is_noticed,
                                         a_client_that_stops_in_a_later_request_is_told,
                                         a_client_that_leaves_while_a_connection_comes_up,
                                         a_replica_that_drains_while_a_connection_comes_up,
                                         a_clients_own_headers_pass_on};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
