#include "discovery/documents.h"

#include <utility>

namespace flintglade::discovery {
namespace {

bool is_space(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
bool is_scalar(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == 'E' || c == '+' || c == '-' || c == '.';
}

}  // namespace

JsonFollower::Step JsonFollower::open(char bracket) {
  if (next_ != Next::value && next_ != Next::value_or_close) return Step::wrong;
  if (open_.size() >= kDeepest) return Step::wrong;
  open_.push_back(bracket);
  next_ = bracket == '{' ? Next::key_or_close : Next::value_or_close;
  return Step::more;
}

JsonFollower::Step JsonFollower::close(char bracket) {
  const bool fits = !open_.empty() && open_.back() == (bracket == '}' ? '{' : '[');
  const bool may_end =
      next_ == Next::comma_or_close || next_ == Next::key_or_close || next_ == Next::value_or_close;
  if (!fits || !may_end) return Step::wrong;
  open_.pop_back();
  return end_value();
}

JsonFollower::Step JsonFollower::end_value() {
  next_ = Next::comma_or_close;
  return open_.empty() ? Step::whole : Step::more;
}

JsonFollower::Step JsonFollower::begin_string() {
  if (next_ == Next::colon || next_ == Next::comma_or_close) return Step::wrong;
  in_string_ = true;
  return Step::more;
}

JsonFollower::Step JsonFollower::follow_string(char c) {
  if (static_cast<unsigned char>(c) < 0x20) return Step::wrong;  // a line that was torn within a string
  if (std::exchange(escaped_, false)) return Step::more;
  if (c == '\\') escaped_ = true;
  if (c != '"') return Step::more;
  in_string_ = false;
  if (next_ != Next::key && next_ != Next::key_or_close) return end_value();
  next_ = Next::colon;
  return Step::more;
}

JsonFollower::Step JsonFollower::follow(char c) {
  if (in_string_) return follow_string(c);
  if (is_scalar(c)) {
    if (in_scalar_) return Step::more;
    if (next_ != Next::value && next_ != Next::value_or_close) return Step::wrong;
    in_scalar_ = true;
    return end_value();
  }
  in_scalar_ = false;
  if (is_space(c)) return Step::more;
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
      if (next_ != Next::colon) return Step::wrong;
      next_ = Next::value;
      return Step::more;
    case ',':
      if (next_ != Next::comma_or_close) return Step::wrong;
      next_ = open_.back() == '{' ? Next::key : Next::value;
      return Step::more;
    default:
      return Step::wrong;
  }
}

std::optional<std::string> Documents::next() {
  if (wrong_) return std::nullopt;
  if (followed_ == 0) {
    std::size_t blank = 0;
    while (blank < bytes_.size() && is_space(bytes_[blank])) ++blank;
    bytes_.erase(0, blank);
    if (!bytes_.empty() && bytes_.front() != '{') wrong_ = true;  // a list is an object
  }
  while (!wrong_ && followed_ < bytes_.size()) {
    const JsonFollower::Step step = follower_.follow(bytes_[followed_++]);
    if (step == JsonFollower::Step::wrong) wrong_ = true;
    if (step != JsonFollower::Step::whole) continue;
    std::string document = bytes_.substr(0, followed_);
    bytes_.erase(0, followed_);
    followed_ = 0;
    follower_ = {};
    return document;
  }
  return std::nullopt;
}

}  // namespace flintglade::discovery
