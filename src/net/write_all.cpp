#include "net/write_all.h"

#include <algorithm>
#include <utility>

namespace flintglade::net {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using Done = std::function<void(error_code)>;

void consume(WriteBuffers& buffers, std::size_t written) {
  for (asio::const_buffer& buffer : buffers) {
    const std::size_t consumed = std::min(written, buffer.size());
    buffer += consumed;
    written -= consumed;
  }
}

// Writes until everything is written, an error occurs or the socket is not writable. False: it is not
// writable.
bool write_some(tcp::socket& socket, WriteBuffers& buffers, error_code& ec) {
  ec = {};
  while (!ec && asio::buffer_size(buffers) > 0) {
    consume(buffers, socket.write_some(buffers, ec));
    if (ec == asio::error::interrupted) ec = {};
  }
  return ec != asio::error::would_block && ec != asio::error::try_again;
}

void write_when_ready(tcp::socket& socket, WriteBuffers buffers, Done done) {
  // Waiting checks again whether the socket is writable; Asio does not do so when a write is started again.
  socket.async_wait(
      tcp::socket::wait_write, [&socket, buffers, done = std::move(done)](error_code ec) mutable {
        if (ec) return done(ec);
        write_some(socket, buffers, ec) ? done(ec) : write_when_ready(socket, buffers, std::move(done));
      });
}

}  // namespace

void write_all(tcp::socket& socket, WriteBuffers buffers, Done done) {
  error_code ec;
  if (!socket.non_blocking()) socket.non_blocking(true, ec);
  if (!ec && !write_some(socket, buffers, ec)) return write_when_ready(socket, buffers, std::move(done));
  asio::post(socket.get_executor(), [done = std::move(done), ec] { done(ec); });
}

}  // namespace flintglade::net
