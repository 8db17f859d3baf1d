#include "discovery/documents.h"

#include <utility>

namespace flintglade::discovery {
namespace {

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
bool is_scalar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == 'E' || c == '+' || c == '-' || c == '.';
}

}  // namespace

JsonScanner::Result JsonScanner::open(char bracket) {
  if (expected_ != Expected::value && expected_ != Expected::value_or_close) return Result::malformed;
  if (open_brackets_.size() >= kMaxDepth) return Result::malformed;
  open_brackets_.push_back(bracket);
  expected_ = bracket == '{' ? Expected::key_or_close : Expected::value_or_close;
  return Result::incomplete;
}

JsonScanner::Result JsonScanner::close(char bracket) {
  const bool matches = !open_brackets_.empty() && open_brackets_.back() == (bracket == '}' ? '{' : '[');
  const bool may_end = expected_ == Expected::comma_or_close || expected_ == Expected::key_or_close ||
                       expected_ == Expected::value_or_close;
  if (!matches || !may_end) return Result::malformed;
  open_brackets_.pop_back();
  return end_value();
}

JsonScanner::Result JsonScanner::end_value() {
  expected_ = Expected::comma_or_close;
  return open_brackets_.empty() ? Result::complete : Result::incomplete;
}

JsonScanner::Result JsonScanner::begin_string() {
  if (expected_ == Expected::colon || expected_ == Expected::comma_or_close) return Result::malformed;
  in_string_ = true;
  return Result::incomplete;
}

JsonScanner::Result JsonScanner::scan_string(char c) {
  if (static_cast<unsigned char>(c) < 0x20)
    return Result::malformed;  // a line break within a string: the document was cut off
  if (std::exchange(escaped_, false)) return Result::incomplete;
  if (c == '\\') escaped_ = true;
  if (c != '"') return Result::incomplete;
  in_string_ = false;
  if (expected_ != Expected::key && expected_ != Expected::key_or_close) return end_value();
  expected_ = Expected::colon;
  return Result::incomplete;
}

JsonScanner::Result JsonScanner::scan(char c) {
  if (in_string_) return scan_string(c);
  if (is_scalar(c)) {
    if (in_scalar_) return Result::incomplete;
    if (expected_ != Expected::value && expected_ != Expected::value_or_close) return Result::malformed;
    in_scalar_ = true;
    return end_value();
  }
  in_scalar_ = false;
  if (is_space(c)) return Result::incomplete;
  switch (c) {
    case '{':
    case '[':
      return open(c);
    case '}':
    case ']':
      return close(c);
    case '"':
      return begin_string();
    case ':':
      if (expected_ != Expected::colon) return Result::malformed;
      expected_ = Expected::value;
      return Result::incomplete;
    case ',':
      if (expected_ != Expected::comma_or_close) return Result::malformed;
      expected_ = open_brackets_.back() == '{' ? Expected::key : Expected::value;
      return Result::incomplete;
    default:
      return Result::malformed;
  }
}

std::optional<std::string> DocumentSplitter::next() {
  if (malformed_) return std::nullopt;
  if (scanned_ == 0) {
    std::size_t blank = 0;
    while (blank < bytes_.size() && is_space(bytes_[blank])) ++blank;
    bytes_.erase(0, blank);
    if (!bytes_.empty() && bytes_.front() != '{') malformed_ = true;  // an endpoint list is a JSON object
  }
  while (!malformed_ && scanned_ < bytes_.size()) {
    const JsonScanner::Result result = scanner_.scan(bytes_[scanned_++]);
    if (result == JsonScanner::Result::malformed) malformed_ = true;
    if (result != JsonScanner::Result::complete) continue;
    std::string document = bytes_.substr(0, scanned_);
    bytes_.erase(0, scanned_);
    scanned_ = 0;
    scanner_ = {};
    return document;
  }
  return std::nullopt;
}

}  // namespace flintglade::discovery
