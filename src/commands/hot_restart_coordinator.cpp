#include "commands/hot_restart_coordinator.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "commands/clock.h"
#include "log/log.h"

namespace flintglade::commands {

using hot_restart::DescriptorPassing;
using hot_restart::ProcessStage;
using log::Level;

namespace {
// Between two attempts, while streams wait for a moment in which they can migrate.
constexpr std::chrono::milliseconds kMigrationPeriod{10};
}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, core::Clock& clock,
                                             core::Broker& broker, http::HttpServer& front,
                                             http::HttpReplicaClient& replicas,
                                             hot_restart::ProcessSlots& slots, const config::Config& config)
    : clock_(clock),
      broker_(broker),
      front_(front),
      process_slots_(slots),
      folder_(config.scratch),
      origin_{config.name, "", clock.now(), -unix_to_monotonic(clock)},
      stream_migration_(broker, front, replicas),
      descriptor_passing_(io),
      snapshot_file_(io, config.scratch, slots.slot()),
      wake_timer_(io),
      changes_(io) {
  set_discovery(config.discovery);
}

void HotRestartCoordinator::start() {
  const absl::Status listening =
      descriptor_passing_.listen(folder_, process_slots_.slot(),
                                 [this](std::string_view bytes, DescriptorPassing::Descriptors descriptors) {
                                   stream_migration_.migrate_in(bytes, descriptors);
                                 });
  if (!listening.ok())
    log::event(Level::warn, "stream_migration_unavailable",
               {{"why", std::string(listening.message())}, {"answers", "end where they began"}});
  if (process_slots_.change_descriptor() < 0) return;
  changes_.assign(::dup(process_slots_.change_descriptor()));
  watch_changes();
  restore_snapshot();
}

void HotRestartCoordinator::watch_changes() {
  changes_.async_read_some(boost::asio::buffer(change_events_),
                           [this](boost::system::error_code ec, std::size_t n) {
                             if (ec) return;
                             on_changes(n);
                             watch_changes();
                           });
}

void HotRestartCoordinator::on_changes(std::size_t bytes) {
  front_.recheck_accepting();
  const auto others = process_slots_.others();
  if (others.empty()) return snapshot_file_.remove();
  if (hot_restart::ProcessSlots::file_moved_in({change_events_.data(), bytes},
                                               hot_restart::SnapshotFile::kName))
    restore_snapshot();
  // Once for each starting process: the appearance of the file wakes this process too.
  std::uint64_t newest = 0;
  for (const hot_restart::ProcessUsage& other : others) {
    if (other.stage == ProcessStage::starting) newest = std::max(newest, other.join_order);
  }
  if (newest > saved_for_ && broker_.ready()) {
    saved_for_ = newest;
    save_snapshot();
  }
}

void HotRestartCoordinator::save_snapshot() {
  snapshot_file_.save(
      hot_restart::encode_snapshot(broker_.snapshot(), origin_, clock_.now()), [](const absl::Status& saved) {
        if (saved.ok()) return;
        log::event(Level::warn, "snapshot_write_failed", {{"why", std::string(saved.message())}});
      });
}

void HotRestartCoordinator::restore_snapshot() {
  snapshot_file_.load(hot_restart::kMaxSnapshotBytes, [this](const std::string& bytes) {
    if (bytes.empty() || broker_.phase() == core::Phase::draining) return;
    auto decoded = hot_restart::decode_snapshot(bytes, origin_, clock_.now());
    if (hot_restart::is_written_by_younger_process(decoded.status())) return;
    if (!decoded.ok()) {
      log::event(Level::warn, "snapshot_rejected", {{"why", std::string(decoded.status().message())}});
      return;
    }
    core::Broker::ProcessSnapshot& snapshot = decoded->snapshot;
    log::event(Level::info, "snapshot_restored",
               {{"bytes", bytes.size()},
                {"list", snapshot.version},
                {"replicas", snapshot.learned.replicas.size()},
                {"prefixes", snapshot.learned.prefixes.size()},
                {"drains", snapshot.retired.size()}});
    broker_.adopt(std::move(snapshot), decoded->same_list);
  });
}

bool HotRestartCoordinator::hand_over() {
  for (const hot_restart::ProcessUsage& other : process_slots_.others()) {
    if (other.stage == ProcessStage::serving) successor_ = other.slot;
  }
  if (!successor_) {
    log::event(Level::info, "successor_not_found",
               {{"others", process_slots_.others().size()}, {"answers", "end here"}});
    return false;
  }
  log::event(Level::info, "successor_selected", {{"slot", *successor_}});
  save_snapshot();
  wake_regularly();
  return true;
}

void HotRestartCoordinator::wake_regularly() {
  wake_timer_.expires_after(kMigrationPeriod);
  wake_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec && successor_) wake_regularly();
  });
}

void HotRestartCoordinator::migrate_streams() {
  if (!successor_) return;
  stream_migration_.migrate_out([this](std::string_view bytes, DescriptorPassing::Descriptors descriptors) {
    const DescriptorPassing::SendResult result =
        DescriptorPassing::send(folder_, *successor_, bytes, descriptors);
    if (result == DescriptorPassing::SendResult::no_receiver) {
      log::event(Level::warn, "successor_lost", {{"slot", *successor_}, {"answers", "end here"}});
      successor_.reset();
    }
    return result == DescriptorPassing::SendResult::sent;
  });
}

}  // namespace flintglade::commands
