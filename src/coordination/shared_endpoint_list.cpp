#include "coordination/shared_endpoint_list.h"

#include <algorithm>
#include <utility>

namespace flintglade::coordination {
namespace {
constexpr std::size_t kMostLines = 256;
constexpr std::size_t kMostInEffect = 48u
                                      << 10;  // a longer line is not passed on: who misses it asks discovery
constexpr Micros kAskAgain = 200 * core::kMilli;
}  // namespace

SharedEndpointList::SharedEndpointList(core::Clock& clock, Settings settings, Ports ports, std::string source,
                                       std::uint64_t seed)
    : clock_(clock),
      settings_(settings),
      ports_(std::move(ports)),
      source_(std::move(source)),
      random_(seed) {}

const char* SharedEndpointList::name(State s) {
  static constexpr const char* kNames[] = {"alone", "following", "reader"};
  return kNames[static_cast<std::size_t>(s)];
}

void SharedEndpointList::become(State s) {
  if (state_ == s) return;
  const bool was_closed = state_ == State::following;
  state_ = s;
  behind_since_ = -1;
  wait_ = std::uniform_int_distribution<Micros>(0, settings_.spread)(random_);
  next_beat_ = s == State::reader ? clock_.now() : core::kNever;
  if (s == State::following) {
    ports_.watch(false);
  } else if (was_closed && observed_) {
    ports_.watch(true);
  }
  if (ports_.changed) ports_.changed(name(s));
}

void SharedEndpointList::subscribe(bool on) {
  observed_ = on;
  if (state_ != State::following || !on) ports_.watch(on);
}

void SharedEndpointList::keep(std::uint32_t after, std::uint32_t rev, std::string_view text) {
  ListLine l;
  l.set_after(after);
  l.set_rev(rev);
  l.set_text(text.data(), text.size());
  bytes_ += text.size();
  lines_.push_back(std::move(l));
  while (!lines_.empty() && (bytes_ > settings_.most_bytes || lines_.size() > kMostLines)) {
    bytes_ -= lines_.front().text().size();
    lines_.pop_front();
  }
}

void SharedEndpointList::line(std::uint32_t after, std::uint32_t rev, std::string_view text) {
  rev_ = rev;
  keep(after, rev, text);
  if (state_ != State::reader) return;
  Effect e;
  e.set_source(source_);
  e.set_rev(rev);
  if (text.size() <= kMostInEffect) {
    ListLine* l = e.add_lines();
    l->set_after(after);
    l->set_rev(rev);
    l->set_text(text.data(), text.size());
  }
  next_beat_ = clock_.now() + settings_.beat;
  ports_.publish(std::move(e));
}

void SharedEndpointList::reader(bool is) {
  if (is) return become(State::reader);
  if (state_ == State::reader) become(State::alone);
}

void SharedEndpointList::effect(const Effect& e) {
  if (e.source() != source_) return;
  if (state_ == State::reader) return;  // of one that does not know yet that it is none any more
  heard_ = clock_.now();
  for (const ListLine& l : e.lines()) {
    if (l.rev() <= rev_ || l.after() > rev_) continue;
    if (!ports_.feed(l.text())) continue;
    rev_ = l.rev();
    keep(l.after(), l.rev(), l.text());
  }
  if (rev_ >= e.rev()) {
    behind_since_ = -1;
    if (rev_ > 0) become(State::following);
    return;
  }
  // A change was lost on its way, or was too long.
  const Micros now = clock_.now();
  if (behind_since_ < 0) behind_since_ = now;
  if (now >= asked_ + kAskAgain) {
    asked_ = now;
    ports_.want(rev_);
  }
}

void SharedEndpointList::wanted(std::uint32_t rev, const std::string& from) {
  if (state_ != State::reader) return;
  Effect e;
  e.set_source(source_);
  e.set_rev(rev_);
  std::size_t size = 0;
  std::uint32_t at = rev;
  for (const ListLine& l : lines_) {
    if (l.rev() <= at || l.after() > at || size + l.text().size() > kMostInEffect) continue;
    *e.add_lines() = l;
    size += l.text().size();
    at = l.rev();
  }
  ports_.send(std::move(e), from);
}

void SharedEndpointList::moved(const std::string& source) {
  if (source == source_) return;
  source_ = source;
  rev_ = 0;
  lines_.clear();
  bytes_ = 0;
  if (state_ == State::following) become(State::alone);
}

void SharedEndpointList::tick() {
  const Micros now = clock_.now();
  if (state_ == State::reader && now >= next_beat_) {
    next_beat_ = now + settings_.beat;
    Effect e;
    e.set_source(source_);
    e.set_rev(rev_);
    ports_.publish(std::move(e));
  }
  if (state_ == State::following && now >= next()) become(State::alone);
}

Micros SharedEndpointList::next() const {
  if (state_ == State::reader) return next_beat_;
  if (state_ == State::alone) return core::kNever;
  const Micros silent = heard_ + settings_.silence + wait_;
  return behind_since_ < 0 ? silent : std::min(silent, behind_since_ + settings_.silence + wait_);
}

}  // namespace flintglade::coordination
