// What system calls on sockets may lack on this machine for a moment, by their errors.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

namespace flintglade::net {

inline bool lacks_descriptors(boost::system::error_code why) {
  return why == boost::asio::error::no_descriptors ||
         why == boost::system::errc::too_many_files_open_in_system;
}

// What fails here before a packet has left for the peer, and passes: it says nothing of the peer.
inline bool lacks_here(boost::system::error_code why) {
  return lacks_descriptors(why) || why == boost::asio::error::no_buffer_space ||
         why == boost::asio::error::no_memory || why == boost::system::errc::address_not_available ||
         why == boost::asio::error::network_unreachable;
}

}  // namespace flintglade::net
