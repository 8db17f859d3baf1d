#include "fleet/unfinished_calls.h"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>

namespace flintglade::tests {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

nghttp2_nv header(std::string_view name, std::string_view value) {
  return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
          reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

// The prefix of a gRPC message (not compressed, its length in four bytes), and a part of the message.
std::string unfinished_message(std::size_t bytes) {
  const std::size_t declared = bytes + 1000;
  std::string message(1, '\0');
  for (int shift = 24; shift >= 0; shift -= 8) message += static_cast<char>(declared >> shift);
  return message + std::string(bytes, 'x');
}

class Connection {
 public:
  Connection(asio::io_context& io, unsigned short port, int calls, const std::string& message)
      : socket_(io), message_(message) {
    socket_.connect({asio::ip::address_v4::loopback(), port});
    socket_.non_blocking(true);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_client_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, nullptr, 0);
    for (int i = 0; i < calls; ++i) open_call();
  }
  ~Connection() { nghttp2_session_del(session_); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  // Reads and writes what is possible at once.
  void step() {
    error_code ec;
    std::array<std::uint8_t, 65536> received;
    while (const std::size_t n = socket_.read_some(asio::buffer(received), ec))
      nghttp2_session_mem_recv(session_, received.data(), n);
    for (;;) {
      if (unsent_.empty()) {
        const std::uint8_t* data = nullptr;
        const ssize_t n = nghttp2_session_mem_send(session_, &data);
        if (n <= 0) return;
        unsent_.assign(reinterpret_cast<const char*>(data), static_cast<std::size_t>(n));
      }
      unsent_.erase(0, socket_.write_some(asio::buffer(unsent_), ec));
      if (ec) return;
    }
  }

 private:
  struct Call {
    const std::string* message;
    std::size_t sent = 0;
  };

  void open_call() {
    Call& call = calls_.emplace_back(Call{&message_});
    const std::array headers = {header(":method", "POST"),
                                header(":scheme", "http"),
                                header(":path", "/inference.GRPCInferenceService/ModelInfer"),
                                header(":authority", "router"),
                                header("content-type", "application/grpc"),
                                header("te", "trailers")};
    nghttp2_data_provider body{};
    body.source.ptr = &call;
    body.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* buffer, std::size_t size,
                            std::uint32_t*, nghttp2_data_source* source, void*) -> ssize_t {
      Call& sending = *static_cast<Call*>(source->ptr);
      const std::size_t n = std::min(size, sending.message->size() - sending.sent);
      if (n == 0) return NGHTTP2_ERR_DEFERRED;  // the rest never comes
      std::copy_n(sending.message->data() + sending.sent, n, buffer);
      sending.sent += n;
      return static_cast<ssize_t>(n);
    };
    nghttp2_submit_request(session_, nullptr, headers.data(), headers.size(), &body, nullptr);
  }

  tcp::socket socket_;
  nghttp2_session* session_ = nullptr;
  const std::string& message_;
  std::list<Call> calls_;  // nghttp2 keeps pointers to them
  std::string unsent_;
};

}  // namespace

void run_unfinished_calls(unsigned short port, const UnfinishedCallsOptions& options, int milliseconds) {
  asio::io_context io;
  const std::string message = unfinished_message(options.message_bytes);
  std::list<Connection> connections;
  for (int i = 0; i < options.connections; ++i)
    connections.emplace_back(io, port, options.calls_per_connection, message);
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(milliseconds);
  while (std::chrono::steady_clock::now() < end) {
    for (Connection& connection : connections) connection.step();
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
}

}  // namespace flintglade::tests
