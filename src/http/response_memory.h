// The memory of responses: what has been received from replicas and has not been taken by the clients yet.
//
// A client that reads slowly leaves the bytes of its response here. Each stream has a limit of its own, above
// which its replica is not read. Hundreds of such clients at once would still take hundreds of times that
// limit, so all streams share one budget: the limit of a stream falls as their number grows, no replica is
// read while the budget is used up, and then the streams of the slowest clients are ended. Counts what is
// allocated. Single-threaded.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <utility>

namespace flintglade::http {

class ResponseMemory {
 public:
  enum class Part : std::uint8_t { unforwarded, unsent };  // at connections to replicas, and to clients
  // Unsent bytes of one client above which its replica is not read.
  static constexpr std::size_t kMaxUnsentBytes = 64u << 10, kMinUnsentBytes = 2u << 10;
  // What is read of a replica at once.
  static constexpr std::size_t kMaxReadSize = 16u << 10, kMinReadSize = 1u << 10;

  void set_budget(std::size_t bytes) { budget_ = bytes; }
  std::size_t budget() const { return budget_; }
  void set_streams(std::size_t streams) { streams_ = streams; }
  void add(Part part, std::size_t bytes) { held_[index(part)] += bytes; }
  void subtract(Part part, std::size_t bytes) { held_[index(part)] -= bytes; }
  std::size_t held(Part part) const { return held_[index(part)]; }
  std::size_t held() const { return held(Part::unforwarded) + held(Part::unsent); }

  // All streams at their limits, with buffers that have doubled, and one read of each beyond that, hold five
  // eighths of the budget.
  std::size_t max_unsent_bytes() const { return std::clamp(share() / 4, kMinUnsentBytes, kMaxUnsentBytes); }
  std::size_t read_size() const { return std::clamp(share() / 8, kMinReadSize, kMaxReadSize); }
  // Where the budget is used up, streams are ended until so much is held: an eighth is free then, so that
  // reading can go on.
  std::size_t after_relief() const { return budget_ - budget_ / 8; }

 private:
  static std::size_t index(Part part) { return static_cast<std::size_t>(part); }
  std::size_t share() const { return budget_ / std::max<std::size_t>(1, streams_); }

  std::size_t budget_ = std::numeric_limits<std::size_t>::max();
  std::size_t streams_ = 0;
  std::array<std::size_t, 2> held_{};  // by part
};

// What one connection holds of responses.
class HeldResponseBytes {
 public:
  // A connection may outlive its server or client, which owns `all` too.
  HeldResponseBytes(std::shared_ptr<ResponseMemory> all, ResponseMemory::Part part)
      : all_(std::move(all)), part_(part) {}
  ~HeldResponseBytes() { set(0); }
  HeldResponseBytes(const HeldResponseBytes&) = delete;
  HeldResponseBytes& operator=(const HeldResponseBytes&) = delete;

  void set(std::size_t bytes) {
    all_->add(part_, bytes);
    all_->subtract(part_, std::exchange(bytes_, bytes));
  }
  std::size_t bytes() const { return bytes_; }

 private:
  std::shared_ptr<ResponseMemory> all_;
  const ResponseMemory::Part part_;
  std::size_t bytes_ = 0;
};

}  // namespace flintglade::http
