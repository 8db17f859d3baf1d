// Classifies errors of socket calls: temporary shortages of resources on this machine.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

namespace flintglade::net {

inline bool is_descriptor_exhaustion(boost::system::error_code error) {
  return error == boost::asio::error::no_descriptors ||
         error == boost::system::errc::too_many_files_open_in_system;
}

// Temporary local failures that occur before any packet is sent: they give no information about the peer.
inline bool is_local_resource_error(boost::system::error_code error) {
  return is_descriptor_exhaustion(error) || error == boost::asio::error::no_buffer_space ||
         error == boost::asio::error::no_memory || error == boost::system::errc::address_not_available ||
         error == boost::asio::error::network_unreachable;
}

}  // namespace flintglade::net
