// Listening sockets: bound by this process, or inherited from its parent.
#pragma once

#include <boost/asio.hpp>
#include <string>

#include "config/config.h"

namespace flintglade::http {

// Binds and listens. Returns an empty string, or a one-line error message.
std::string listen(boost::asio::ip::tcp::acceptor& acceptor, const config::HostPort& address);

// Takes over a listening TCP socket that the process inherited as this descriptor. Several processes may
// accept from it; it stays open when they exit. Returns an empty string, or a one-line error message.
std::string adopt(boost::asio::ip::tcp::acceptor& acceptor, int descriptor);

// Closes this process's descriptor of a connection that another process also holds; nothing is sent to the
// peer. If Asio closed it, the connection would stay in the epoll set, since it is still open in the other
// process, and each of its events would wake this process.
void release_and_close(boost::asio::ip::tcp::socket& socket);

// The protocol (IPv4 or IPv6) of a TCP socket that is already open.
boost::asio::ip::tcp protocol_of(int descriptor);

}  // namespace flintglade::http
