// What the recordings of decisions share: a random source and a hash that give the same values with every
// compiler, build type and standard library.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string_view>
#include <utility>
#include <vector>

namespace flintglade::testing_support {

// The engine is laid down by the C++ standard; the standard's distributions are not, so they stay out.
class SeededRandom {
 public:
  explicit SeededRandom(std::uint64_t seed) : engine_(seed) {}

  std::uint64_t bits() { return engine_(); }
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  bool one_in(std::uint64_t n) { return below(n) == 0; }
  bool percent(std::uint64_t chance) { return below(100) < chance; }
  double between(double low, double high) {
    const double unit = static_cast<double>(engine_() >> 11) * 0x1p-53;
    return low + (high - low) * unit;
  }
  template <typename T>
  void shuffle(std::vector<T>& items) {
    for (std::size_t left = items.size(); left > 1; --left) std::swap(items[left - 1], items[below(left)]);
  }

 private:
  std::mt19937_64 engine_;
};

// FNV-1a, 64 bits (Fowler, Noll, Vo), over numbers as eight bytes each, the lowest first.
class RecordingHash {
 public:
  void add(std::uint64_t number) {
    for (int shift = 0; shift < 64; shift += 8) add_byte((number >> shift) & 0xff);
  }
  void add_text(std::string_view text) {
    add(text.size());
    for (const char c : text) add_byte(static_cast<unsigned char>(c));
  }
  // A span of time, rounded to microseconds.
  void add_seconds(double seconds) { add(static_cast<std::uint64_t>(rounded(seconds * 1e6))); }
  // Any figure, rounded to nine digits: exponent and mantissa, so that small ones count like large ones.
  void add_figure(double figure) {
    if (figure == 0.0 || !std::isfinite(figure)) return add(figure == 0.0 ? 0 : ~std::uint64_t{0});
    int exponent = 0;
    const double mantissa = std::frexp(figure, &exponent);
    add(static_cast<std::uint64_t>(rounded(mantissa * 1e9)));
    add(static_cast<std::uint64_t>(static_cast<std::int64_t>(exponent)));
  }
  std::uint64_t value() const { return value_; }

 private:
  static constexpr std::uint64_t kOffsetBasis = 0xcbf29ce484222325ull, kPrime = 0x100000001b3ull;
  static constexpr double kLargest = 9e18;  // what fits into 64 bits with a sign

  static std::int64_t rounded(double x) {
    return std::isfinite(x) ? std::llround(std::clamp(x, -kLargest, kLargest)) : INT64_MIN;
  }
  void add_byte(std::uint64_t byte) { value_ = (value_ ^ byte) * kPrime; }

  std::uint64_t value_ = kOffsetBasis;
};

}  // namespace flintglade::testing_support
