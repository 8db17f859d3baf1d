#include "http/segmented_body.h"

#include <algorithm>
#include <cstring>

namespace flintglade::http {

void SegmentedBuffer::append(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t used = size_ % kBlockSize;
    if (used == 0) blocks_.push_back(allocator_.allocate(kBlockSize));
    const std::size_t count = std::min(bytes.size(), kBlockSize - used);
    std::memcpy(blocks_.back() + used, bytes.data(), count);
    size_ += count;
    bytes.remove_prefix(count);
  }
}

std::string SegmentedBuffer::take() {
  std::string contiguous;
  contiguous.reserve(size_);
  for (const char* block : blocks_) contiguous.append(block, std::min(kBlockSize, size_ - contiguous.size()));
  clear();
  return contiguous;
}

void SegmentedBuffer::clear() {
  for (char* block : blocks_) allocator_.deallocate(block, kBlockSize);
  blocks_.clear();
  blocks_.shrink_to_fit();
  size_ = 0;
}

}  // namespace flintglade::http
