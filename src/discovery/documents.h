// Splits what discovery sends into its JSON documents, whatever the pieces that it comes in. A list may come
// on one line or indented over many: it ends with the bracket that closes it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::discovery {

// Follows one JSON text byte by byte, as far as telling its end and its faults needs: brackets, strings, and
// what may follow what. Scalars are not looked at closely; whoever reads the whole document does that.
class JsonFollower {
 public:
  enum class Step : std::uint8_t { more, whole, wrong };
  Step follow(char c);

 private:
  enum class Next : std::uint8_t { value, value_or_close, key, key_or_close, colon, comma_or_close };
  static constexpr std::size_t kDeepest = 32;
  Step open(char bracket);
  Step close(char bracket);
  Step end_value();
  Step follow_string(char c);
  Step begin_string();

  std::vector<char> open_;  // the brackets that are open
  Next next_ = Next::value;
  bool in_string_ = false, escaped_ = false, in_scalar_ = false;
};

class Documents {
 public:
  // A document longer than this has gone wrong: some 4,000 entries, indented; read, it takes ten times its
  // size.
  static constexpr std::size_t kLongest = 2u << 20;

  void add(std::string_view bytes) { bytes_.append(bytes); }
  // The next whole document; nothing if more bytes are needed, or if what came is none: see wrong().
  std::optional<std::string> next();
  // A document has begun and has not ended.
  bool begun() const { return followed_ > 0; }
  bool wrong() const { return wrong_ || bytes_.size() > kLongest; }

 private:
  std::string bytes_;         // from the first byte of a document on
  std::size_t followed_ = 0;  // of them, those that the follower has seen
  JsonFollower follower_;
  bool wrong_ = false;
};

}  // namespace flintglade::discovery
