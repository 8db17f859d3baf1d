// Complete writes to a socket that may accept only a few bytes at a time.
#pragma once

#include <array>
#include <boost/asio.hpp>
#include <functional>

namespace flintglade::net {

using WriteBuffers = std::array<boost::asio::const_buffer, 4>;

// Writes all buffers, then calls done from the event loop, never from within this call; with an error if the
// connection breaks or closes first. The socket and the memory of the buffers must stay valid until then.
// Boost.Asio's async_write treats a short write as a full socket buffer and waits for a writability event,
// which never arrives if the buffer was not full.
void write_all(boost::asio::ip::tcp::socket& socket, WriteBuffers buffers,
               std::function<void(boost::system::error_code)> done);

}  // namespace flintglade::net
