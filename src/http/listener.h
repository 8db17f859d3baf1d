// Listening sockets: bound here, or inherited from whoever started the process.
#pragma once

#include <boost/asio.hpp>
#include <string>

#include "config/config.h"

namespace flintglade::http {

// Binds and listens. Gives an empty string, or one line that says what is wrong.
std::string listen(boost::asio::ip::tcp::acceptor& acceptor, const config::HostPort& at);

// Takes over a listening TCP socket that the process inherited as this descriptor. Several processes may
// accept from it; it stays open when they end. Gives an empty string, or one line that says what is wrong.
std::string adopt(boost::asio::ip::tcp::acceptor& acceptor, int descriptor);

// Lets go of a connection that another process has too: nothing is said to the peer. Closing it by Asio would
// leave it in our epoll set, since it is open still elsewhere, and each of its events would wake us.
void leave(boost::asio::ip::tcp::socket& socket);

// The protocol of a TCP socket that is open already.
boost::asio::ip::tcp protocol_of(int descriptor);

}  // namespace flintglade::http
