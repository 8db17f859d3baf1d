#include "coordination/shared_endpoint_list.h"

#include <algorithm>
#include <utility>

namespace flintglade::coordination {
namespace {

constexpr std::size_t kMaxKeptLines = 256;
// An effect has to fit into one UDP datagram. A longer line is not sent; the followers lack it and fall back
// to discovery.
constexpr std::size_t kMaxEffectBytes = 48u << 10;
constexpr Micros kRequestRetryDelay = 200 * core::kMilli;

ListLine make_line(std::uint32_t after, std::uint32_t revision, std::string_view text) {
  ListLine line;
  line.set_after(after);
  line.set_rev(revision);
  line.set_text(text.data(), text.size());
  return line;
}

}  // namespace

SharedEndpointList::SharedEndpointList(core::Clock& clock, Settings settings, Ports ports, std::string source,
                                       std::uint64_t seed)
    : clock_(clock),
      settings_(settings),
      ports_(std::move(ports)),
      source_(std::move(source)),
      random_(seed) {}

const char* SharedEndpointList::state_name(State state) {
  static constexpr const char* kNames[] = {"alone", "following", "reader"};
  return kNames[static_cast<std::size_t>(state)];
}

void SharedEndpointList::enter(State state) {
  if (state_ == state) return;
  const bool was_following = state_ == State::following;
  state_ = state;
  behind_since_ = -1;
  fallback_delay_ = std::uniform_int_distribution<Micros>(0, settings_.fallback_jitter)(random_);
  next_heartbeat_ = state == State::reader ? clock_.now() : core::kNever;
  if (state == State::following) {
    ports_.set_watch_open(false);
  } else if (was_following && is_subscribed_) {
    ports_.set_watch_open(true);
  }
  if (ports_.on_state_change) ports_.on_state_change(state_name(state));
}

void SharedEndpointList::subscribe(bool on) {
  is_subscribed_ = on;
  if (state_ != State::following || !on) ports_.set_watch_open(on);
}

void SharedEndpointList::keep_line(std::uint32_t after, std::uint32_t revision, std::string_view text) {
  kept_bytes_ += text.size();
  kept_lines_.push_back(make_line(after, revision, text));
  while (!kept_lines_.empty() &&
         (kept_bytes_ > settings_.max_kept_bytes || kept_lines_.size() > kMaxKeptLines)) {
    kept_bytes_ -= kept_lines_.front().text().size();
    kept_lines_.pop_front();
  }
}

Effect SharedEndpointList::make_heartbeat() const {
  Effect effect;
  effect.set_source(source_);
  effect.set_rev(revision_);
  return effect;
}

void SharedEndpointList::on_watch_line(std::uint32_t after, std::uint32_t revision, std::string_view text) {
  revision_ = revision;
  keep_line(after, revision, text);
  if (state_ != State::reader) return;
  Effect effect = make_heartbeat();
  if (text.size() <= kMaxEffectBytes) *effect.add_lines() = make_line(after, revision, text);
  next_heartbeat_ = clock_.now() + settings_.heartbeat_period;
  ports_.publish(std::move(effect));
}

void SharedEndpointList::set_reader(bool is_reader) {
  if (is_reader) return enter(State::reader);
  if (state_ == State::reader) enter(State::alone);
}

void SharedEndpointList::on_effect(const Effect& effect) {
  if (effect.source() != source_) return;
  if (state_ == State::reader) return;  // of a former reader whose lease has ended
  last_effect_at_ = clock_.now();
  apply_lines(effect);
  if (revision_ < effect.rev()) return request_missing_lines();
  behind_since_ = -1;
  if (revision_ > 0) enter(State::following);
}

void SharedEndpointList::apply_lines(const Effect& effect) {
  for (const ListLine& line : effect.lines()) {
    if (line.rev() <= revision_ || line.after() > revision_) continue;
    if (!ports_.apply_line(line.text())) continue;
    revision_ = line.rev();
    keep_line(line.after(), line.rev(), line.text());
  }
}

// A datagram with a change was lost, or the change was too long for a datagram.
void SharedEndpointList::request_missing_lines() {
  const Micros now = clock_.now();
  if (behind_since_ < 0) behind_since_ = now;
  if (now < lines_requested_at_ + kRequestRetryDelay) return;
  lines_requested_at_ = now;
  ports_.request_lines(revision_);
}

void SharedEndpointList::on_list_request(std::uint32_t after, const std::string& address) {
  if (state_ != State::reader) return;
  Effect effect = make_heartbeat();
  std::size_t bytes = 0;
  std::uint32_t last_revision = after;
  for (const ListLine& line : kept_lines_) {
    if (line.rev() <= last_revision || line.after() > last_revision ||
        bytes + line.text().size() > kMaxEffectBytes)
      continue;
    *effect.add_lines() = line;
    bytes += line.text().size();
    last_revision = line.rev();
  }
  ports_.send(std::move(effect), address);
}

void SharedEndpointList::set_source(const std::string& source) {
  if (source == source_) return;
  source_ = source;
  revision_ = 0;
  kept_lines_.clear();
  kept_bytes_ = 0;
  if (state_ == State::following) enter(State::alone);
}

void SharedEndpointList::tick() {
  const Micros now = clock_.now();
  if (state_ == State::reader && now >= next_heartbeat_) {
    next_heartbeat_ = now + settings_.heartbeat_period;
    ports_.publish(make_heartbeat());
  }
  if (state_ == State::following && now >= next_timer()) enter(State::alone);
}

Micros SharedEndpointList::next_timer() const {
  if (state_ == State::reader) return next_heartbeat_;
  if (state_ == State::alone) return core::kNever;
  const Micros timeout = settings_.reader_timeout + fallback_delay_;
  const Micros reader_lost_at = last_effect_at_ + timeout;
  return behind_since_ < 0 ? reader_lost_at : std::min(reader_lost_at, behind_since_ + timeout);
}

}  // namespace flintglade::coordination
