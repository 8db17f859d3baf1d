// The body of an HTTP response that is taken out of the parser after each read: only what one read has
// brought is held. Beast's string_body reserves the length that the peer declares before any byte of the body
// has arrived.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

namespace flintglade::net {

// A body type of Beast (its concept Body, for parsers only).
struct StreamedBody {
  using value_type = std::string;

  class reader {
   public:
    template <bool isRequest, class Fields>
    reader(boost::beast::http::header<isRequest, Fields>&, value_type& body) : body_(body) {}
    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& ec) { ec = {}; }
    template <class ConstBufferSequence>
    std::size_t put(const ConstBufferSequence& buffers, boost::system::error_code& ec) {
      ec = {};
      std::size_t appended = 0;
      for (const boost::asio::const_buffer buffer : boost::beast::buffers_range_ref(buffers)) {
        body_.append(static_cast<const char*>(buffer.data()), buffer.size());
        appended += buffer.size();
      }
      return appended;
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace flintglade::net
