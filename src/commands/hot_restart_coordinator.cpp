#include "commands/hot_restart_coordinator.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "commands/clock.h"
#include "log/log.h"

namespace flintglade::commands {

using hot_restart::DescriptorPassing;
using hot_restart::Stage;
using log::Level;

namespace {
// While answers wait for a moment in which they can move.
constexpr std::chrono::milliseconds kMoveEvery{10};
}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, core::Clock& clock,
                                             core::Broker& broker, http::HttpServer& front,
                                             http::HttpReplicaClient& replicas,
                                             hot_restart::ProcessSlots& seats, const config::Config& config)
    : clock_(clock),
      broker_(broker),
      front_(front),
      process_slots_(seats),
      folder_(config.scratch),
      origin_{config.name, "", clock.now(), -unix_to_monotonic(clock)},
      stream_migration_(broker, front, replicas),
      descriptor_passing_(io),
      snapshot_file_(io, config.scratch, seats.seat()),
      again_(io),
      changes_(io) {
  discovery(config.discovery);
}

void HotRestartCoordinator::start() {
  const std::string why =
      descriptor_passing_.open(folder_, process_slots_.seat(),
                               [this](std::string_view bytes, DescriptorPassing::Descriptors descriptors) {
                                 stream_migration_.in(bytes, descriptors);
                               });
  if (!why.empty())
    log::event(Level::warn, "stream_migration_unavailable",
               {{"why", why}, {"answers", "end where they began"}});
  if (process_slots_.changes() < 0) return;
  changes_.assign(::dup(process_slots_.changes()));
  watch();
  take_state();
}

void HotRestartCoordinator::watch() {
  changes_.async_read_some(boost::asio::buffer(events_), [this](boost::system::error_code ec, std::size_t n) {
    if (ec) return;
    seats_changed(n);
    watch();
  });
}

void HotRestartCoordinator::seats_changed(std::size_t bytes) {
  front_.look();
  const auto others = process_slots_.others();
  if (others.empty()) return snapshot_file_.clear();
  if (hot_restart::ProcessSlots::moved(events_.data(), bytes, hot_restart::SnapshotFile::kName)) take_state();
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

void HotRestartCoordinator::leave_state() {
  snapshot_file_.save(hot_restart::encode_snapshot(broker_.snapshot(), origin_, clock_.now()),
                      [](const std::string& why) {
                        if (!why.empty()) log::event(Level::warn, "snapshot_write_failed", {{"why", why}});
                      });
}

void HotRestartCoordinator::take_state() {
  snapshot_file_.load(hot_restart::kMaxSnapshotBytes, [this](const std::string& bytes) {
    if (bytes.empty() || broker_.phase() == core::Phase::draining) return;
    core::Broker::ProcessSnapshot state;
    bool same_list = false;
    const std::string why = hot_restart::decode_snapshot(bytes, origin_, clock_.now(), state, same_list);
    if (why == hot_restart::kWriterNotOlder) return;
    if (!why.empty()) return log::event(Level::warn, "snapshot_rejected", {{"why", why}});
    log::event(Level::info, "snapshot_restored",
               {{"bytes", bytes.size()},
                {"list", state.version},
                {"replicas", state.learned.replicas.size()},
                {"prefixes", state.learned.prefixes.size()},
                {"drains", state.retired.size()}});
    broker_.adopt(std::move(state), same_list);
  });
}

bool HotRestartCoordinator::hand_over() {
  for (const hot_restart::Use& o : process_slots_.others()) {
    if (o.stage == Stage::serving) successor_ = o.seat;
  }
  if (!successor_) {
    log::event(Level::info, "successor_not_found",
               {{"others", process_slots_.others().size()}, {"answers", "end here"}});
    return false;
  }
  log::event(Level::info, "successor_selected", {{"slot", *successor_}});
  leave_state();
  keep_moving();
  return true;
}

void HotRestartCoordinator::keep_moving() {
  again_.expires_after(kMoveEvery);
  again_.async_wait([this](boost::system::error_code ec) {
    if (!ec && successor_) keep_moving();
  });
}

void HotRestartCoordinator::idle() {
  if (!successor_) return;
  stream_migration_.out([this](std::string_view bytes, DescriptorPassing::Descriptors descriptors) {
    const DescriptorPassing::Sent sent = DescriptorPassing::send(folder_, *successor_, bytes, descriptors);
    if (sent == DescriptorPassing::Sent::never) {
      log::event(Level::warn, "successor_lost", {{"slot", *successor_}, {"answers", "end here"}});
      successor_.reset();
    }
    return sent == DescriptorPassing::Sent::yes;
  });
}

}  // namespace flintglade::commands
