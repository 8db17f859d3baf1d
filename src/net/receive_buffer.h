// The bytes that a peer has sent and that its parser has not consumed yet, with a largest size.
//
// A parser of HTTP/1.1 leaves the bytes of an element in the buffer until the element is complete: of a head,
// of the line with a chunk's size and extensions, or of the fields behind the last chunk. Without a limit, a
// peer that never completes one decides how much memory is held.
#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <cstddef>

namespace flintglade::net {

inline constexpr std::size_t kReadSize = 16u << 10;
// The longest element that a parser waits for.
inline constexpr std::size_t kMaxElementSize = 16u << 10;

// Whether the element at the front of what is left after parsing is longer than any valid one.
inline bool element_is_too_long(std::size_t unparsed_bytes) { return unparsed_bytes > kMaxElementSize; }

// A buffer with room for an incomplete element and one read. A read beyond that throws std::length_error, so
// the user ends the connection once element_is_too_long().
inline boost::beast::flat_buffer make_receive_buffer() {
  return boost::beast::flat_buffer(kMaxElementSize + kReadSize);
}

}  // namespace flintglade::net
