#include "commands/hot_restart_coordinator.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "commands/clock.h"
#include "log/log.h"

namespace flintglade::commands {

using hot_restart::Passage;
using hot_restart::Stage;
using log::Level;

namespace {
// While answers wait for a moment in which they can move.
constexpr std::chrono::milliseconds kMoveEvery{10};
}  // namespace

Handoff::Handoff(boost::asio::io_context& io, core::Clock& clock, core::Broker& broker,
                 http::HttpFront& front, http::HttpSubchannels& replicas, hot_restart::Seats& seats,
                 const config::Config& config)
    : clock_(clock),
      broker_(broker),
      front_(front),
      seats_(seats),
      folder_(config.scratch),
      origin_{config.name, "", clock.now(), -unix_to_monotonic(clock)},
      moves_(broker, front, replicas),
      passage_(io),
      shelf_(io, config.scratch, seats.seat()),
      again_(io),
      changes_(io) {
  discovery(config.discovery);
}

void Handoff::start() {
  const std::string why = passage_.open(
      folder_, seats_.seat(),
      [this](std::string_view bytes, Passage::Descriptors descriptors) { moves_.in(bytes, descriptors); });
  if (!why.empty())
    log::event(Level::warn, "no_passage", {{"why", why}, {"answers", "end where they began"}});
  if (seats_.changes() < 0) return;
  changes_.assign(::dup(seats_.changes()));
  watch();
  take_state();
}

void Handoff::watch() {
  changes_.async_read_some(boost::asio::buffer(events_), [this](boost::system::error_code ec, std::size_t n) {
    if (ec) return;
    seats_changed(n);
    watch();
  });
}

void Handoff::seats_changed(std::size_t bytes) {
  front_.look();
  const auto others = seats_.others();
  if (others.empty()) return shelf_.clear();
  if (hot_restart::Seats::moved(events_.data(), bytes, hot_restart::Shelf::kName)) take_state();
  // Once for each: the file's own coming wakes us too.
  std::uint64_t newest = 0;
  for (const hot_restart::Use& o : others) {
    if (o.stage == Stage::starting) newest = std::max(newest, o.joined);
  }
  if (newest > left_for_ && broker_.ready()) {
    left_for_ = newest;
    leave_state();
  }
}

void Handoff::leave_state() {
  shelf_.save(hot_restart::write_state(broker_.hand(), origin_, clock_.now()), [](const std::string& why) {
    if (!why.empty()) log::event(Level::warn, "state_not_left", {{"why", why}});
  });
}

void Handoff::take_state() {
  shelf_.load(hot_restart::kMostState, [this](const std::string& bytes) {
    if (bytes.empty() || broker_.phase() == core::Phase::draining) return;
    core::Broker::Handed state;
    bool same_list = false;
    const std::string why = hot_restart::read_state(bytes, origin_, clock_.now(), state, same_list);
    if (why == hot_restart::kOurOwn) return;
    if (!why.empty()) return log::event(Level::warn, "state_refused", {{"why", why}});
    log::event(Level::info, "state_taken",
               {{"bytes", bytes.size()},
                {"list", state.version},
                {"replicas", state.learned.replicas.size()},
                {"prefixes", state.learned.prefixes.size()},
                {"drains", state.retired.size()}});
    broker_.adopt(std::move(state), same_list);
  });
}

bool Handoff::hand_over() {
  for (const hot_restart::Use& o : seats_.others()) {
    if (o.stage == Stage::serving) heir_ = o.seat;
  }
  if (!heir_) {
    log::event(Level::info, "no_heir", {{"others", seats_.others().size()}, {"answers", "end here"}});
    return false;
  }
  log::event(Level::info, "heir", {{"seat", *heir_}});
  leave_state();
  keep_moving();
  return true;
}

void Handoff::keep_moving() {
  again_.expires_after(kMoveEvery);
  again_.async_wait([this](boost::system::error_code ec) {
    if (!ec && heir_) keep_moving();
  });
}

void Handoff::idle() {
  if (!heir_) return;
  moves_.out([this](std::string_view bytes, Passage::Descriptors descriptors) {
    const Passage::Sent sent = Passage::send(folder_, *heir_, bytes, descriptors);
    if (sent == Passage::Sent::never) {
      log::event(Level::warn, "heir_lost", {{"seat", *heir_}, {"answers", "end here"}});
      heir_.reset();
    }
    return sent == Passage::Sent::yes;
  });
}

}  // namespace flintglade::commands
