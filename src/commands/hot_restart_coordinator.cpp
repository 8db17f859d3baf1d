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
// Between two attempts to migrate the streams that could not migrate yet. Each attempt needs an iteration of
// the event loop, which the timer ensures.
constexpr std::chrono::milliseconds kMigrationPeriod{10};
}  // namespace

HotRestartCoordinator::HotRestartCoordinator(boost::asio::io_context& io, core::Clock& clock,
                                             core::Broker& broker, http::HttpServer& http_server,
                                             http::HttpReplicaClient& replica_client,
                                             hot_restart::ProcessSlots& slots, const config::Config& config)
    : clock_(clock),
      broker_(broker),
      http_server_(http_server),
      process_slots_(slots),
      directory_(config.scratch),
      origin_{config.name, "", clock.now(), -unix_to_monotonic(clock)},
      stream_migration_(broker, http_server, replica_client),
      descriptor_passing_(io),
      snapshot_file_(io, config.scratch, slots.slot()),
      wake_timer_(io),
      changes_(io) {
  set_discovery(config.discovery);
}

void HotRestartCoordinator::start() {
  const absl::Status listening =
      descriptor_passing_.listen(directory_, process_slots_.slot(),
                                 [this](std::string_view bytes, DescriptorPassing::Descriptors descriptors) {
                                   stream_migration_.migrate_in(bytes, descriptors);
                                 });
  if (!listening.ok())
    log::event(Level::warn, "stream_migration_unavailable",
               {{"why", std::string(listening.message())},
                {"answers", "not migrated: they end in the process in which they started"}});
  if (process_slots_.change_descriptor() < 0) return;
  changes_.assign(::dup(process_slots_.change_descriptor()));
  watch_changes();
  restore_snapshot();
}

void HotRestartCoordinator::watch_changes() {
  changes_.async_read_some(boost::asio::buffer(change_events_),
                           [this](boost::system::error_code error, std::size_t size) {
                             if (error) return;
                             on_changes(size);
                             watch_changes();
                           });
}

void HotRestartCoordinator::on_changes(std::size_t bytes) {
  http_server_.recheck_accepting();
  const auto others = process_slots_.others();
  if (others.empty()) return snapshot_file_.remove();
  if (hot_restart::ProcessSlots::file_moved_in({change_events_.data(), bytes},
                                               hot_restart::SnapshotFile::kName))
    restore_snapshot();
  // Saves once for each starting process: this process is also notified of the file that it creates itself.
  std::uint64_t newest_starting = 0;
  for (const hot_restart::ProcessUsage& other : others) {
    if (other.stage == ProcessStage::starting) newest_starting = std::max(newest_starting, other.join_order);
  }
  if (newest_starting > newest_saved_for_ && broker_.ready()) {
    newest_saved_for_ = newest_starting;
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

bool HotRestartCoordinator::start_handover() {
  for (const hot_restart::ProcessUsage& other : process_slots_.others()) {
    if (other.stage == ProcessStage::serving) successor_ = other.slot;
  }
  if (!successor_) {
    log::event(
        Level::info, "successor_not_found",
        {{"others", process_slots_.others().size()}, {"answers", "not migrated: they end in this process"}});
    return false;
  }
  log::event(Level::info, "successor_selected", {{"slot", *successor_}});
  save_snapshot();
  schedule_wakeup();
  return true;
}

void HotRestartCoordinator::schedule_wakeup() {
  wake_timer_.expires_after(kMigrationPeriod);
  wake_timer_.async_wait([this](boost::system::error_code error) {
    if (!error && successor_) schedule_wakeup();
  });
}

void HotRestartCoordinator::migrate_streams() {
  if (!successor_) return;
  stream_migration_.migrate_out([this](std::string_view bytes, DescriptorPassing::Descriptors descriptors) {
    const DescriptorPassing::SendResult result =
        DescriptorPassing::send(directory_, *successor_, bytes, descriptors);
    if (result == DescriptorPassing::SendResult::no_receiver) {
      log::event(
          Level::warn, "successor_lost",
          {{"slot", *successor_}, {"answers", "not migrated: the remaining ones end in this process"}});
      successor_.reset();
    }
    return result == DescriptorPassing::SendResult::sent;
  });
}

}  // namespace flintglade::commands
