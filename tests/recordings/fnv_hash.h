// A running 64-bit FNV-1a hash over everything that a recording compares. Integers are added lowest byte
// first, so that the value does not depend on the machine. A text is added with its length, so that the texts
// "ab", "c" and the texts "a", "bc" give different values.
#pragma once

#include <bit>
#include <cstdint>
#include <string_view>

namespace flintglade::tests {

class FnvHash {
 public:
  void add_integer(std::uint64_t value) {
    for (int shift = 0; shift < 64; shift += 8) add_byte(static_cast<std::uint8_t>(value >> shift));
  }
  void add_double(double value) { add_integer(std::bit_cast<std::uint64_t>(value)); }
  void add_text(std::string_view text) {
    add_integer(text.size());
    for (const char c : text) add_byte(static_cast<std::uint8_t>(c));
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325u;
  static constexpr std::uint64_t kPrime = 0x00000100000001b3u;
  void add_byte(std::uint8_t byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace flintglade::tests
