// The body of a request while it is being received: a sequence of blocks of equal size.
//
// A string would double its capacity as it grows, and Beast's string_body allocates the length that the
// client declares before any byte of the body has arrived. Here at most one block is allocated beyond the
// bytes that have been received, and blocks of one size leave no gaps in the heap that another body cannot
// use.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "http/connection_memory.h"

namespace flintglade::http {

class SegmentedBuffer {
 public:
  static constexpr std::size_t kBlockSize = 4096;

  // The counter counts the blocks.
  explicit SegmentedBuffer(MemoryCounter& counter) : allocator_(counter), blocks_(allocator_) {}
  ~SegmentedBuffer() { clear(); }
  SegmentedBuffer(const SegmentedBuffer&) = delete;
  SegmentedBuffer& operator=(const SegmentedBuffer&) = delete;

  std::size_t size() const { return size_; }
  void append(std::string_view bytes);
  // Returns the bytes as one string, whose capacity is its size, and frees the blocks.
  std::string take();
  void clear();

 private:
  CountingAllocator<char> allocator_;
  std::vector<char*, CountingAllocator<char*>> blocks_;
  std::size_t size_ = 0;
};

// A body type of Beast (its concept Body, for parsers only).
struct SegmentedBody {
  using value_type = SegmentedBuffer;

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
        body_.append({static_cast<const char*>(buffer.data()), buffer.size()});
        appended += buffer.size();
      }
      return appended;
    }
    void finish(boost::system::error_code& ec) { ec = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace flintglade::http
