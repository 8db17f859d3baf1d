// Counts the memory that client connections hold: what their containers have allocated, which can be several
// times what the containers hold. The containers allocate through CountingAllocator, so that nothing is
// estimated. Single-threaded.
#pragma once

#include <cstddef>
#include <memory>
#include <utility>

namespace flintglade::http {

// Bytes that are allocated, by purpose.
struct MemoryUsage {
  std::size_t read_buffers = 0;  // bytes that have been read and not parsed yet
  std::size_t headers = 0;       // of requests that are not complete yet
  std::size_t bodies = 0;        // of requests that are not complete yet
  std::size_t total() const { return read_buffers + headers + bodies; }
};

// The bytes that one container has allocated, which are also counted in a sum over all of its kind.
class MemoryCounter {
 public:
  explicit MemoryCounter(std::size_t& sum) : sum_(sum) {}
  MemoryCounter(const MemoryCounter&) = delete;
  MemoryCounter& operator=(const MemoryCounter&) = delete;

  void add(std::size_t bytes) {
    bytes_ += bytes;
    sum_ += bytes;
  }
  void subtract(std::size_t bytes) {
    bytes_ -= bytes;
    sum_ -= bytes;
  }
  std::size_t bytes() const { return bytes_; }

 private:
  std::size_t& sum_;
  std::size_t bytes_ = 0;
};

// What one client connection holds; counted in the usage of all connections too.
class ConnectionMemory {
 public:
  // A connection may outlive its server, which owns `all` too.
  explicit ConnectionMemory(std::shared_ptr<MemoryUsage> all)
      : all_(std::move(all)), read_buffer_(all_->read_buffers), header_(all_->headers), body_(all_->bodies) {}
  MemoryCounter& read_buffer() { return read_buffer_; }
  MemoryCounter& header() { return header_; }
  MemoryCounter& body() { return body_; }
  std::size_t total() const { return read_buffer_.bytes() + header_.bytes() + body_.bytes(); }

 private:
  std::shared_ptr<MemoryUsage> all_;
  MemoryCounter read_buffer_, header_, body_;
};

// A standard allocator that counts what it allocates. Containers that are copied or moved keep their counter.
template <class T>
class CountingAllocator {
 public:
  using value_type = T;

  CountingAllocator() = default;  // counts nothing
  explicit CountingAllocator(MemoryCounter& counter) : counter_(&counter) {}
  template <class U>
  CountingAllocator(
      const CountingAllocator<U>& other)  // NOLINT(google-explicit-constructor): as containers rebind it
      : counter_(other.counter()) {}

  T* allocate(std::size_t count) {
    T* const memory = std::allocator<T>().allocate(count);
    if (counter_ != nullptr) counter_->add(count * sizeof(T));
    return memory;
  }
  void deallocate(T* memory, std::size_t count) {
    if (counter_ != nullptr) counter_->subtract(count * sizeof(T));
    std::allocator<T>().deallocate(memory, count);
  }
  MemoryCounter* counter() const { return counter_; }

  template <class U>
  friend bool operator==(const CountingAllocator& a, const CountingAllocator<U>& b) {
    return a.counter() == b.counter();
  }
  template <class U>
  friend bool operator!=(const CountingAllocator& a, const CountingAllocator<U>& b) {
    return !(a == b);
  }

 private:
  MemoryCounter* counter_ = nullptr;
};

}  // namespace flintglade::http
