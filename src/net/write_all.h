// Writes on a connection that may take them a few bytes at a time.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>

namespace flintglade::net {

using WriteBuffers = std::array<boost::asio::const_buffer, 2>;

// Writes all of this, and calls done from the loop, never at once; with an error if the connection breaks or
// closes first. What the buffers point at and the socket live until then. Boost.Asio's own async_write takes
// a short write for a full buffer and waits for room to be told, which nothing tells where the buffer was not
// full.
void write_all(boost::asio::ip::tcp::socket& socket, WriteBuffers buffers,
               std::function<void(boost::system::error_code)> done);

}  // namespace flintglade::net
