// Races between events: two events in one event loop iteration, or one event between two steps of another.
// The tests force the order by running the loop step by step or by leaving bytes unread in a socket, never by
// timing. docs/design/crossings.md lists which cell of its table each test covers.
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

constexpr int kWaitTimeoutMs = 5000;  // for events that have to arrive; no result depends on a shorter wait

// ---- endpoint lists -------------------------------------------------------------------------------------

constexpr char kSingleLineList[] =
    R"({"rev":7,"all":true,"targets":[{"uid":"a}\"{","endpoint":"h:1","n":-1.5e3}]})";
constexpr char kIndentedList[] =
    "{\n  \"rev\": 8,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": \"b\"\n    },\n    {}\n"
    "  ]\n}";

void documents_are_split_independently_of_chunk_boundaries() {
  const std::string stream =
      std::string("\n\n") + kSingleLineList + "\r\n\n" + kIndentedList + "\n" + kSingleLineList + "\n\n";
  for (std::size_t size = 1; size <= stream.size(); ++size) {
    discovery::DocumentSplitter documents;
    std::vector<std::string> lists;
    for (std::size_t offset = 0; offset < stream.size(); offset += size) {
      documents.add(std::string_view(stream).substr(offset, size));
      while (const auto document = documents.next()) lists.push_back(*document);
    }
    CHECK(!documents.malformed() && lists.size() == 3);
    CHECK(lists[0] == kSingleLineList && lists[1] == kIndentedList && lists[2] == kSingleLineList);
  }
}

// A truncated list is detected by the bytes that follow it, and does not become a part of the next list.
void truncated_lists_are_detected() {
  const std::string line = kSingleLineList;
  for (std::size_t length = 1; length < line.size(); ++length) {
    discovery::DocumentSplitter documents;
    documents.add(line.substr(0, length) + "\n" + line + "\n");
    while (documents.next()) {
    }
    // After the open bracket of the entries the next list may parse as an entry; then the document never
    // ends.
    CHECK(documents.malformed() || documents.begun());
  }
  for (const char* text : {"nonsense", "[1]", "7", "{,}", "{\"a\" 1}", "{\"a\":1 2}", "{1:2}", "{\"a\":}",
                           "{\"a\":[1,]}", "{\"a\":1]", "{\"a\":1,}", "{\"a\":\"b\" \"c\"}"}) {
    discovery::DocumentSplitter documents;
    documents.add(text);
    CHECK(!documents.next().has_value() && documents.malformed());
  }
  discovery::DocumentSplitter too_long;
  too_long.add("{\"a\":\"" + std::string(discovery::DocumentSplitter::kLongest, 'x'));
  CHECK(!too_long.next().has_value() && too_long.malformed());
}

// The monotonic start time of a replica that a list received now has with this Unix start time.
Micros started_at(discovery::BootClock& clock, Micros now, core::ReplicaId id, Micros unix_time) {
  core::EndpointListUpdate update;
  update.entries.resize(1);
  update.entries[0].replica.id = id;
  update.entries[0].replica.started_at = static_cast<double>(unix_time) / 1e6;
  clock.convert_start_times(now, update);
  return static_cast<Micros>(update.entries[0].replica.started_at * 1e6 + 0.5);
}

// The wall clock may be stepped before the router starts: replicas that have just started still count as
// cold, and a start time that was reported once does not change.
void start_times_are_correct_despite_wall_clock_steps() {
  constexpr Micros kHour = 3600 * core::kSecond, kNow = 100 * core::kSecond;
  constexpr Micros kUnix = 1'700'000'000 * core::kSecond;  // Unix time when the monotonic clock began
  for (const Micros step : {Micros{0}, kHour, -kHour, 3 * core::kSecond, -3 * core::kSecond}) {
    discovery::BootClock clock(-kUnix - step);
    const Micros first = started_at(clock, kNow, 1, kUnix + 50 * core::kSecond);
    // The replica restarts at 119 s; a list reports it at 120 s.
    clock.on_data_received(118 * core::kSecond);
    const Micros restarted = started_at(clock, 120 * core::kSecond, 1, kUnix + 119 * core::kSecond);
    const Micros error = restarted - 119 * core::kSecond;
    CHECK(restarted <= 120 * core::kSecond && std::abs(error) <= 3 * core::kSecond);
    // By now the offset is accurate to a few seconds for replicas that were in no earlier list.
    const Micros other = started_at(clock, 121 * core::kSecond, 2, kUnix + 120 * core::kSecond);
    CHECK(other <= 121 * core::kSecond && other >= 116 * core::kSecond);
    CHECK(started_at(clock, 130 * core::kSecond, 1, kUnix + 119 * core::kSecond) == restarted);
    CHECK(step != 0 || first == 50 * core::kSecond);
  }
}

// A router starts with a list that is a minute old, and a replica has restarted since then, before the router
// started. This is no evidence that the wall clock is wrong.
void an_old_list_does_not_correct_the_clock() {
  constexpr Micros kNow = 100 * core::kSecond, kUnix = 1'700'000'000 * core::kSecond;
  discovery::BootClock clock(-kUnix);
  core::EndpointListUpdate old_list;
  old_list.entries.resize(1);
  old_list.entries[0].replica.id = 1;
  old_list.entries[0].replica.started_at = static_cast<double>(kUnix + 10 * core::kSecond) / 1e6;
  clock.convert_cached_start_times(kNow, old_list);
  CHECK(started_at(clock, kNow + core::kSecond, 1, kUnix + 50 * core::kSecond) == 50 * core::kSecond);
  // Neither is a start that service discovery reports late, within its maximum lag.
  clock.on_data_received(kNow + 20 * core::kSecond);
  CHECK(started_at(clock, kNow + 21 * core::kSecond, 1, kUnix + kNow) == kNow);
}

// A watch connected to a simulated service discovery, which writes raw bytes of an HTTP response.
struct DiscoveryFixture {
  boost::asio::io_context io{1};
  tests::Ports ports;
  tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket peer{io};
  std::vector<core::EndpointListUpdate> updates;
  std::unique_ptr<discovery::Watch> watch;
  explicit DiscoveryFixture(discovery::Silence silence = {}) {
    watch = std::make_unique<discovery::Watch>(
        io, ports, config::HostPort{"127.0.0.1", acceptor.local_endpoint().port()}, discovery::Names{},
        discovery::BootClock(0), silence);
    watch->set_update_handler(
        [this](core::EndpointListUpdate update) { updates.push_back(std::move(update)); });
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
  bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kWaitTimeoutMs);
    while (!condition() && std::chrono::steady_clock::now() < deadline)
      io.run_one_for(std::chrono::milliseconds(20));
    return condition();
  }
};

void an_indented_list_is_accepted() {
  DiscoveryFixture d;
  std::string list = kIndentedList;
  for (std::size_t offset = 0; offset < list.size(); offset += 7) d.chunk(list.substr(offset, 7));
  CHECK(d.run_until([&] { return !d.updates.empty(); }));
  CHECK(d.updates[0].kind == policy::ListKind::delta && d.updates[0].version == 8);
}

// A silence timer that is restarted in the same iteration in which it expires does not count as expired.
void a_restarted_silence_timer_has_not_expired() {
  DiscoveryFixture d({core::kSecond, 200 * core::kMilli});
  CHECK(d.run_until([&] { return d.peer.available() > 0; }));   // the watch has sent its request
  std::this_thread::sleep_for(std::chrono::milliseconds(300));  // the first timer expires unhandled
  d.chunk("\n");
  d.chunk(kSingleLineList + std::string("\n"));
  // Both the timer and the bytes are ready by now; the loop may handle them in either order.
  CHECK(d.run_until([&] { return !d.updates.empty(); }));
  const bool timed_out = d.updates[0].kind == policy::ListKind::failed;
  CHECK(timed_out || d.updates[0].version == 7);
  d.io.poll();
  CHECK(timed_out || d.updates.size() == 1);
}

// Bytes within a list that never ends do not restart the silence timer.
void an_unfinished_list_does_not_keep_a_watch_alive() {
  DiscoveryFixture d({300 * core::kMilli, 300 * core::kMilli});
  d.chunk(R"({"rev":7,"all":true,"targets":[)");
  CHECK(d.run_until([&] {
    if (d.updates.empty()) d.chunk("\n");
    return !d.updates.empty();
  }));
  CHECK(d.updates[0].kind == policy::ListKind::failed);
}

void a_silent_watch_fails_in_time_to_be_reopened() {
  // A change counts as delivered 6 s after the watch fell silent. Before a third request succeeds, two may
  // fail after 2 s each.
  const discovery::Silence defaults;
  CHECK(defaults.open > 2 * core::kSecond && defaults.open + 2 * 2 * core::kSecond < 8 * core::kSecond);
  DiscoveryFixture d({200 * core::kMilli, 200 * core::kMilli});
  d.chunk("\n");
  CHECK(d.run_until([&] { return !d.updates.empty(); }));
  CHECK(d.updates[0].kind == policy::ListKind::failed);
}

// Guards against calls to discovery that the router ends itself: while discovery was slow, a timer that asked
// again ended the call that waited, and no list came.
void asking_again_does_not_end_a_call_that_waits() {
  DiscoveryFixture d;
  d.watch->subscribe(true);  // the head of the answer to the first call has not been read yet
  CHECK(d.watch->counters().requests == 1 && d.watch->counters().requests_replaced == 0);
  d.chunk(kSingleLineList + std::string("\n"));
  CHECK(d.run_until([&] { return !d.updates.empty(); }));
  CHECK(d.updates[0].version == 7);
}

// A call to an address that a reload has withdrawn is given up at once.
void a_moved_discovery_is_asked_at_once() {
  DiscoveryFixture d;
  tcp::acceptor moved(d.io, {boost::asio::ip::address_v4::loopback(), 0});
  d.watch->set_address({"127.0.0.1", moved.local_endpoint().port()});
  CHECK(d.watch->counters().requests == 2 && d.watch->counters().requests_replaced == 1);
  d.peer.close();
  moved.accept(d.peer);
  d.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  d.chunk(kSingleLineList + std::string("\n"));
  CHECK(d.run_until([&] { return !d.updates.empty(); }));
  CHECK(d.updates[0].version == 7);
}

// ---- clients over HTTP ----------------------------------------------------------------------------------

std::string http_request(const std::string& id, const std::string& body = "{}") {
  return "POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Qos: chat\r\nX-Trace-Id: " + id +
         "\r\nX-Expires-In-Ms: 5000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An HTTP server on loopback, a core on stand-in replicas, and one client; the loop runs only when a test
// runs it.
struct RouterFixture {
  boost::asio::io_context io{1};  // outlives the core, which holds connections
  Core core;
  http::HttpServer server;
  tcp::socket client{io};
  RouterFixture()
      : server(io, *core.broker, core.ports,
               {{{"chat"}, {}, {5 * core::kSecond}}, [] { return std::size_t{64}; }}) {
    CHECK(server.listen(config::HostPort{"127.0.0.1", 0}).empty());
    connect(client);
    step();
  }
  void connect(tcp::socket& socket) {
    socket.connect({boost::asio::ip::address_v4::loopback(), server.port()});
  }
  void step() {  // handles all ready events and runs the resulting iterations of the core
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
  void complete(core::RequestId id) {
    core.broker->on_attempt_events({id, 0}, "data: x\n\n");
    core.broker->on_attempt_ended({id, 0}, Outcome::ok);
    step();
  }
  // Returns what the client reads until its connection ends, or until the text ends with the suffix. A "!" is
  // appended if the connection ended with an error, a "?" if it was still open at the timeout.
  std::string read(const std::string& suffix = "") {
    std::string out;
    client.non_blocking(true);
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kWaitTimeoutMs);
    while (std::chrono::steady_clock::now() < deadline && (suffix.empty() || !out.ends_with(suffix))) {
      char bytes[4096];
      boost::system::error_code ec;
      const std::size_t n = client.read_some(boost::asio::buffer(bytes), ec);
      out.append(bytes, n);
      if (ec && ec != boost::asio::error::would_block)
        return out + (ec == boost::asio::error::eof ? "" : "!");
      step();
    }
    return suffix.empty() ? out + "?" : out;
  }
  bool run_until(const std::function<bool()>& condition) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kWaitTimeoutMs);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      step();
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    return condition();
  }
};

std::size_t count(const std::string& text, const std::string& part) {
  std::size_t n = 0;
  for (std::size_t pos = 0; (pos = text.find(part, pos)) != std::string::npos; pos += part.size()) ++n;
  return n;
}

// SIGTERM arrives while the first of three pipelined requests is being served and the other two have been
// read: each gets its response, and only the last one has 'Connection: close'.
void requests_read_before_a_drain_are_served() {
  RouterFixture r;
  r.write(http_request("1") + http_request("2") + http_request("3"));
  CHECK(r.core.ports.attempts.size() == 1);
  r.core.broker->drain();
  for (core::RequestId id = 1; id <= 3; ++id) r.complete(id);
  const std::string response = r.read();
  CHECK(count(response, "HTTP/1.1 200 OK") == 3 && count(response, "Connection: close") == 1 &&
        !response.ends_with("!"));
  CHECK(response.rfind("Connection: close") > response.rfind("HTTP/1.1 200 OK"));
}

// A request that arrives after 'Connection: close' was sent is not forwarded: its client may have sent it to
// another router.
void a_request_after_connection_close_is_not_forwarded() {
  RouterFixture r;
  r.core.broker->drain();
  r.write(http_request("1"));
  r.core.broker->on_attempt_events({1, 0}, "data: x\n\n");
  r.step();
  r.write(http_request("2"));  // the first response's header already had 'Connection: close'
  r.core.broker->on_attempt_ended({1, 0}, Outcome::ok);
  const std::string response = r.read();
  CHECK(count(response, "HTTP/1.1 200 OK") == 1 && count(response, "HTTP/1.1 503") == 1 &&
        !response.ends_with("!"));
  CHECK(r.core.ports.attempts.size() == 1);
}

void a_partially_read_request_is_rejected_after_the_accept_window() {
  RouterFixture r;
  const std::string complete = http_request("1");
  r.write(complete.substr(0, complete.size() / 2));
  r.core.broker->drain();
  r.core.pass_time(r.core.limits.drain_accept_window + 10 * core::kMilli);
  CHECK(!r.core.broker->accepts_requests());
  r.core.broker->set_partially_read_requests(r.server.partially_read_requests());
  r.server.reject_partially_read_requests();
  r.step();
  r.core.pass_time(r.core.limits.final_response_grace / 2);
  CHECK(r.core.broker->phase() == core::Phase::draining);  // waits for the rejection to arrive
  boost::asio::write(r.client, boost::asio::buffer(complete.substr(complete.size() / 2)));
  r.client.shutdown(tcp::socket::shutdown_send);
  const std::string response = r.read();
  CHECK(response.rfind("HTTP/1.1 503", 0) == 0 && !response.ends_with("!"));
  CHECK(r.core.ports.attempts.empty());
}

// The end of the connection comes after more bytes than the server reads ahead.
void a_disconnect_behind_many_unread_bytes_is_detected() {
  RouterFixture r;
  std::string requests = http_request("1");
  for (int i = 2; i < 12; ++i) requests += http_request(std::to_string(i), std::string(8000, 'x'));
  boost::asio::write(r.client, boost::asio::buffer(requests));
  r.client.close();
  CHECK(r.run_until([&] { return !r.core.ports.cancelled.empty(); }));
  r.step();
  CHECK(r.core.ports.attempts.size() == 1 && r.core.broker->requests_in_flight() == 0);
}

// A client that stops in the middle of a later request gets an error within 3 s, as in its first request.
void a_client_that_stops_in_a_later_request_gets_an_error() {
  RouterFixture r;
  const auto started = std::chrono::steady_clock::now();
  const auto elapsed = [started] {
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - started)
        .count();
  };
  const Micros start = r.core.ports.time;
  r.write(http_request("1"));
  r.complete(1);
  r.read("0\r\n\r\n");
  r.write(http_request("2").substr(0, 40));
  const bool response_received = r.run_until([&] {
    r.core.ports.time = start + elapsed();
    return r.client.available() > 0;
  });
  CHECK(response_received && elapsed() < 3 * core::kSecond);
  CHECK(r.read("\n").rfind("HTTP/1.1 408", 0) == 0);
}

// ---- replicas over HTTP ---------------------------------------------------------------------------------

http::ReplicaClientSettings replica_client_settings() {
  http::ReplicaClientSettings settings;
  settings.connection_limit = [] { return std::size_t{16}; };
  return settings;
}

// A replica's listener, and an attempt whose connection the kernel has established; the event loop has not
// handled that yet.
struct ConnectingFixture {
  Core core;
  boost::asio::io_context io{1};
  http::HttpReplicaClient replica_client{io, *core.broker, core.ports, replica_client_settings()};
  tcp::acceptor listener{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket peer{io};
  core::Endpoint endpoint;
  ConnectingFixture() {
    endpoint.address = "127.0.0.1:" + std::to_string(listener.local_endpoint().port());
    endpoint.replica.id = 5;
    replica_client.update_endpoint(endpoint, core::kNever);
    auto request = std::make_shared<core::Request>();
    request->method = "POST";
    replica_client.start_attempt({1, 0}, 5, request, core::kSecond);
    listener.accept(peer);
  }
  // Runs the loop; true if the connection then ends without a byte having been written.
  bool nothing_is_written() {
    io.poll();
    boost::system::error_code ec;
    char byte = 0;
    return peer.read_some(boost::asio::buffer(&byte, 1), ec) == 0 && ec;
  }
};

void a_client_that_disconnects_while_a_connection_is_established() {
  ConnectingFixture d;
  d.replica_client.cancel_attempt({1, 0});
  CHECK(d.nothing_is_written());
}

// The replica drains, and its grace ends, while the connection is being established.
void a_replica_that_drains_while_a_connection_is_established() {
  ConnectingFixture d;
  d.replica_client.update_endpoint(d.endpoint, d.core.ports.time);
  CHECK(d.nothing_is_written());
}

// ---- forwarded headers ----------------------------------------------------------------------------------

// Headers for the replica are forwarded unchanged, such as the idempotency key, by which a replica recognizes
// a repeated request. Headers for the router and headers of the connection are not forwarded.
void end_to_end_headers_are_forwarded() {
  RouterFixture r;
  http::HttpReplicaClient replica_client(r.io, *r.core.broker, r.core.ports, replica_client_settings());
  r.core.broker->attach(core::Wire::http, replica_client);
  tcp::acceptor replica(r.io, {boost::asio::ip::address_v4::loopback(), 0});
  core::Endpoint endpoint;
  endpoint.address = "127.0.0.1:" + std::to_string(replica.local_endpoint().port());
  endpoint.replica.id = 1;
  replica_client.update_endpoint(endpoint, core::kNever);
  std::string request = http_request("1");
  request.insert(
      request.find("\r\n") + 2,
      "Idempotency-Key: \"a 1\"\r\ncontent-type: application/json\r\nX-Own: b\r\nConnection: x-own\r\n"
      "Keep-Alive: 5\r\nTE: trailers\r\nx-qos-more: c\r\n");
  r.write(request);
  tcp::socket peer(r.io);
  replica.accept(peer);
  r.step();
  std::string forwarded;
  CHECK(r.run_until([&] {
    char bytes[4096];
    if (peer.available() > 0) forwarded.append(bytes, peer.read_some(boost::asio::buffer(bytes)));
    return forwarded.ends_with("\r\n\r\n{}");
  }));
  for (const char* line : {"Idempotency-Key: \"a 1\"", "content-type: application/json", "x-qos-more: c",
                           "X-Trace-Id: 1", "Content-Length: 2"})
    CHECK(count(forwarded, std::string("\r\n") + line + "\r\n") == 1);
  for (const char* name : {"X-Own", "Connection", "Keep-Alive", "TE:", "X-Qos:"})
    CHECK(count(forwarded, name) == 0);
  CHECK(count(forwarded, "Host:") == 1);
}

}  // namespace

int main() {
  const std::function<void()> tests[] = {documents_are_split_independently_of_chunk_boundaries,
                                         truncated_lists_are_detected,
                                         start_times_are_correct_despite_wall_clock_steps,
                                         an_old_list_does_not_correct_the_clock,
                                         an_indented_list_is_accepted,
                                         a_restarted_silence_timer_has_not_expired,
                                         an_unfinished_list_does_not_keep_a_watch_alive,
                                         a_silent_watch_fails_in_time_to_be_reopened,
                                         asking_again_does_not_end_a_call_that_waits,
                                         a_moved_discovery_is_asked_at_once,
                                         requests_read_before_a_drain_are_served,
                                         a_request_after_connection_close_is_not_forwarded,
                                         a_partially_read_request_is_rejected_after_the_accept_window,
                                         a_disconnect_behind_many_unread_bytes_is_detected,
                                         a_client_that_stops_in_a_later_request_gets_an_error,
                                         a_client_that_disconnects_while_a_connection_is_established,
                                         a_replica_that_drains_while_a_connection_is_established,
                                         end_to_end_headers_are_forwarded};
  for (const auto& test : tests) test();
  std::printf("%zu passed, 0 failed\n", std::size(tests));
}
