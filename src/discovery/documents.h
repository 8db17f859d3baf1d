// Splits the byte stream from discovery into JSON documents, independently of how the bytes are chunked. A
// list may be on one line or indented over several lines, so a document ends with its closing bracket.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::discovery {

// Scans one JSON text byte by byte to find its end and syntax errors in brackets, strings and the order of
// tokens. Scalars are not checked; the parser of the complete document does that.
class JsonScanner {
 public:
  enum class Result : std::uint8_t { incomplete, complete, malformed };
  Result scan(char c);

 private:
  enum class Expected : std::uint8_t { value, value_or_close, key, key_or_close, colon, comma_or_close };
  static constexpr std::size_t kMaxDepth = 32;
  Result open(char bracket);
  Result close(char bracket);
  Result end_value();
  Result scan_string(char c);
  Result begin_string();

  std::vector<char> open_brackets_;
  Expected expected_ = Expected::value;
  bool in_string_ = false, escaped_ = false, in_scalar_ = false;
};

class DocumentSplitter {
 public:
  // A longer document is treated as malformed. Enough for about 4,000 entries, indented; a parsed document
  // takes ten times its size.
  static constexpr std::size_t kLongest = 2u << 20;

  void add(std::string_view bytes) { bytes_.append(bytes); }
  // The next complete document; nullopt if more bytes are needed or the stream is malformed: see malformed().
  std::optional<std::string> next();
  // Whether a document has begun and not ended.
  bool begun() const { return scanned_ > 0; }
  bool malformed() const { return malformed_ || bytes_.size() > kLongest; }

 private:
  std::string bytes_;        // from the first byte of the current document on
  std::size_t scanned_ = 0;  // how many of them the scanner has consumed
  JsonScanner scanner_;
  bool malformed_ = false;
};

}  // namespace flintglade::discovery
