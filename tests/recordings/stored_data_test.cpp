// Checks that stored data stays compatible. The files under tests/data were written by an earlier version
// (tests/data/write_fixtures.cpp). Every later version must read them, field by field, and write the same
// bytes for the same values. The files are never regenerated. An expectation here changes only together with
// an intended change of the stored format, and then a file of the new format is added next to the old one.
#include <gtest/gtest.h>

#include <cstring>
#include <filesystem>

#include "config/labels.h"
#include "coordination/coordination_protocol.h"
#include "coordination/raft_storage.h"
#include "hot_restart/process_slots.h"
#include "recordings/stored_samples.h"
#include "shared/counter_snapshot.h"

namespace flintglade::tests {
namespace {

namespace fs = std::filesystem;

std::string fixture(const std::string& name) { return file_contents(FLINTGLADE_TEST_DATA "/" + name); }

class StoredData : public testing::Test {
 protected:
  StoredData() {
    folder_ =
        testing::TempDir() + "stored_data." + testing::UnitTest::GetInstance()->current_test_info()->name();
    fs::remove_all(folder_);
    fs::create_directory(folder_);
  }
  ~StoredData() override { fs::remove_all(folder_); }
  void put(const std::string& fixture_name, const std::string& path) const {
    fs::copy_file(FLINTGLADE_TEST_DATA "/" + fixture_name, folder_ + path);
  }
  std::string folder_;
};

// ---- the state snapshot

void expect_same(const policy::TimeInSystem& read, const policy::TimeInSystem& sample) {
  EXPECT_EQ(read.in_flight_seconds, sample.in_flight_seconds);
  EXPECT_EQ(read.arrivals, sample.arrivals);
  EXPECT_EQ(read.updated_at, sample.updated_at);
}
void expect_same(const policy::DecayingSum& read, const policy::DecayingSum& sample) {
  EXPECT_EQ(read.sum, sample.sum);
  EXPECT_EQ(read.updated_at, sample.updated_at);
}
void expect_same(const policy::PrefillCost& read, const policy::PrefillCost& sample) {
  EXPECT_EQ(read.seconds_per_token, sample.seconds_per_token);
  EXPECT_EQ(read.samples, sample.samples);
}
void expect_same(double read, double sample) { EXPECT_EQ(read, sample); }
void expect_same(const policy::ZoneState& read, const policy::ZoneState& sample) {
  EXPECT_EQ(read.unreachable_until, sample.unreachable_until);
  EXPECT_EQ(read.consecutive_connect_failures, sample.consecutive_connect_failures);
}
void expect_same(const policy::PrefixState& read, const policy::PrefixState& sample) {
  expect_same(read.work, sample.work);
  EXPECT_EQ(read.replicas, sample.replicas);
}
void expect_same(const policy::ReplicaStatistics& read, const policy::ReplicaStatistics& sample) {
  EXPECT_EQ(read.health, sample.health);
  EXPECT_EQ(read.health_updated_at, sample.health_updated_at);
  EXPECT_EQ(read.slow_start_tokens, sample.slow_start_tokens);
  EXPECT_EQ(read.slow_start_updated_at, sample.slow_start_updated_at);
  expect_same(read.time_in_system, sample.time_in_system);
  EXPECT_EQ(read.rejecting_until, sample.rejecting_until);
  EXPECT_EQ(read.unreachable_until, sample.unreachable_until);
  EXPECT_EQ(read.consecutive_connect_failures, sample.consecutive_connect_failures);
}
template <typename Table>
void expect_same_table(const Table& read, const Table& sample) {
  ASSERT_EQ(read.size(), sample.size());
  for (const auto& [key, value] : sample) {
    ASSERT_EQ(read.count(key), 1u);
    expect_same(read.at(key), value);
  }
}
void expect_same_sums(const policy::LearnedState& read, const policy::LearnedState& sample) {
  EXPECT_EQ(read.started_at, sample.started_at);
  expect_same(read.time_in_system, sample.time_in_system);
  expect_same(read.arrived_work, sample.arrived_work);
  expect_same(read.hot_window_work, sample.hot_window_work);
  expect_same(read.late_answers, sample.late_answers);
  expect_same(read.answers, sample.answers);
  EXPECT_EQ(read.same_prefix_pairs, sample.same_prefix_pairs);
  EXPECT_EQ(read.all_pairs, sample.all_pairs);
  EXPECT_EQ(read.prefix_widening, sample.prefix_widening);
  EXPECT_EQ(read.admitted_share, sample.admitted_share);
  EXPECT_EQ(read.own_zone_share, sample.own_zone_share);
  EXPECT_EQ(read.mean_value, sample.mean_value);
  EXPECT_EQ(read.mean_raw_work, sample.mean_raw_work);
  EXPECT_EQ(read.mean_prompt_tokens, sample.mean_prompt_tokens);
  EXPECT_EQ(read.peak_fleet_size, sample.peak_fleet_size);
  EXPECT_EQ(read.retry_tokens, sample.retry_tokens);
  EXPECT_EQ(read.hedge_tokens, sample.hedge_tokens);
}
void expect_same(const policy::LearnedState& read, const policy::LearnedState& sample) {
  expect_same_sums(read, sample);
  expect_same_table(read.time_in_system_by_kind, sample.time_in_system_by_kind);
  expect_same_table(read.prefill_costs, sample.prefill_costs);
  expect_same_table(read.largest_live_size, sample.largest_live_size);
  expect_same_table(read.zones, sample.zones);
  expect_same_table(read.prefixes, sample.prefixes);
  expect_same_table(read.replicas, sample.replicas);
  ASSERT_EQ(read.first_event_latency.size(), sample.first_event_latency.size());
  for (std::size_t i = 0; i < sample.first_event_latency.size(); ++i) {
    EXPECT_EQ(read.first_event_latency[i].mean, sample.first_event_latency[i].mean);
    EXPECT_EQ(read.first_event_latency[i].mean_deviation, sample.first_event_latency[i].mean_deviation);
  }
  EXPECT_EQ(read.mean_class_work, sample.mean_class_work);
  EXPECT_EQ(read.quota_tokens, sample.quota_tokens);
  EXPECT_EQ(read.quota_updated_at, sample.quota_updated_at);
  EXPECT_EQ(read.slots, sample.slots);
  EXPECT_EQ(read.own_zone_slots, sample.own_zone_slots);
}
void expect_same(const core::Endpoint& read, const core::Endpoint& sample) {
  EXPECT_EQ(read.address, sample.address);
  EXPECT_EQ(read.replica.id, sample.replica.id);
  EXPECT_EQ(read.replica.zone, sample.replica.zone);
  EXPECT_EQ(read.replica.kind, sample.replica.kind);
  EXPECT_EQ(read.replica.cell, sample.replica.cell);
  EXPECT_EQ(read.replica.health, sample.replica.health);
  EXPECT_EQ(read.replica.size, sample.replica.size);
  EXPECT_EQ(read.replica.started_at, sample.replica.started_at);
}

TEST_F(StoredData, StateSnapshotIsRead) {
  hot_restart::Origin reader = state_writer();
  reader.began = 5 * core::kSecond;
  const auto decoded =
      hot_restart::decode_snapshot(fixture(kStateFile), reader, kStateWrittenAt + core::kMilli);
  ASSERT_EQ(decoded.status().message(), "");
  EXPECT_TRUE(decoded->same_list);
  const core::Broker::ProcessSnapshot& read = decoded->snapshot;
  const core::Broker::ProcessSnapshot sample = sample_state();
  EXPECT_EQ(read.version, sample.version);
  ASSERT_EQ(read.entries.size(), sample.entries.size());
  for (std::size_t i = 0; i < sample.entries.size(); ++i) expect_same(read.entries[i], sample.entries[i]);
  ASSERT_EQ(read.retired.size(), sample.retired.size());
  for (std::size_t i = 0; i < sample.retired.size(); ++i) {
    EXPECT_EQ(read.retired[i].replica, sample.retired[i].replica);
    EXPECT_EQ(read.retired[i].since, sample.retired[i].since);
    EXPECT_EQ(read.retired[i].version, sample.retired[i].version);
  }
  expect_same(read.learned, sample.learned);
}

TEST_F(StoredData, StateSnapshotNamesItsWriter) {
  const auto refusal = [](const hot_restart::Origin& reader, core::Micros now) {
    return std::string(hot_restart::decode_snapshot(fixture(kStateFile), reader, now).status().message());
  };
  hot_restart::Origin reader = state_writer();
  EXPECT_NE(refusal(reader, kStateWrittenAt), "");  // the reader started no later than the writer
  reader.began += 1;
  EXPECT_EQ(refusal(reader, kStateWrittenAt), "");
  EXPECT_NE(refusal(reader, kStateWrittenAt - 1), "");
  EXPECT_EQ(refusal(reader, kStateWrittenAt + 10 * core::kSecond), "");
  EXPECT_NE(refusal(reader, kStateWrittenAt + 10 * core::kSecond + 1), "");
  reader.unix_minus_monotonic += 50 * core::kMilli + 1;
  EXPECT_NE(refusal(reader, kStateWrittenAt), "");
  reader = state_writer();
  reader.began += 1;
  reader.router = "n2";
  EXPECT_NE(refusal(reader, kStateWrittenAt), "");
}

TEST_F(StoredData, StateSnapshotIsWrittenAsBefore) {
  EXPECT_EQ(hot_restart::encode_snapshot(sample_state(), state_writer(), kStateWrittenAt),
            fixture(kStateFile));
}

// ---- a voter's file

TEST_F(StoredData, VoterRecordIsRead) {
  put(kVoterFile, "/record.log");
  coordination::FileRaftStorage disk;
  const absl::StatusOr<coordination::PersistentState> stored = disk.open(folder_);
  ASSERT_EQ(stored.status().message(), "");
  ASSERT_TRUE(stored.ok());
  const coordination::PersistentState& read = *stored;
  const coordination::PersistentState sample = sample_voter_memory();
  EXPECT_EQ(read.head.fleet(), kVoterFleet);
  EXPECT_EQ(read.head.id(), kVoterId);
  EXPECT_EQ(read.head.version(), 1u);
  EXPECT_EQ(read.vote.term(), 3u);
  EXPECT_EQ(read.vote.voted_for(), kVoterId);
  EXPECT_EQ(read.first_index, 3u);
  EXPECT_EQ(read.last_index(), 7u);
  ASSERT_TRUE(read.has_snapshot);
  EXPECT_EQ(read.snapshot.DebugString(), sample.snapshot.DebugString());
  ASSERT_EQ(read.entries.size(), sample.entries.size());
  for (std::size_t i = 0; i < sample.entries.size(); ++i)
    EXPECT_EQ(read.entries[i].DebugString(), sample.entries[i].DebugString());
}

TEST_F(StoredData, VoterRecordHoldsTheCommittedLeaseTable) {
  put(kVoterFile, "/record.log");
  coordination::FileRaftStorage disk;
  absl::StatusOr<coordination::PersistentState> stored = disk.open(folder_);
  ASSERT_EQ(stored.status().message(), "");
  ASSERT_TRUE(stored.ok());
  coordination::CoordinationSettings settings;
  settings.membership.fleet = kVoterFleet;
  settings.self = {"r2", "north", "10.0.0.2:7000", 2000};
  coordination::CoordinationProtocol agent(settings, 1);
  const absl::Status started = agent.start_voting(*std::move(stored), disk);
  ASSERT_EQ(started.message(), "");
  ASSERT_TRUE(started.ok());
  const coordination::LeaseTable& table = agent.lease_table();
  EXPECT_EQ(table.last_number(), 2u);
  ASSERT_EQ(table.jobs_size(), 2);
  EXPECT_EQ(table.jobs(0).name(), "bank");
  EXPECT_EQ(table.jobs(0).owner(), "r1");
  EXPECT_EQ(table.jobs(0).birth(), 1001u);
  EXPECT_EQ(table.jobs(0).number(), 1u);
  EXPECT_EQ(table.jobs(1).name(), "list-north");
  EXPECT_EQ(table.jobs(1).owner(), "r2");
  ASSERT_EQ(table.stocks_size(), 1);
  EXPECT_EQ(table.stocks(0).name(), "monthly");
  EXPECT_EQ(table.stocks(0).window(), 681);
  EXPECT_EQ(table.stocks(0).drawn(), 250'000);
  EXPECT_EQ(table.stocks(0).whole(), 1'000'000);
  EXPECT_EQ(table.stocks(0).serial(), 5u);
  EXPECT_EQ(agent.raft_node()->voters().size(), 3u);
  EXPECT_EQ(agent.raft_node()->term(), 3u);
}

TEST_F(StoredData, VoterRecordIsWrittenAsBefore) {
  ASSERT_EQ(write_voter_record(folder_ + "/voter"), "");
  EXPECT_EQ(file_contents(folder_ + "/voter/record.log"), fixture(kVoterFile));
}

// ---- the counter rows that a router keeps over a restart

void expect_count(const coordination::RequestCounts& count, const std::string& team,
                  const std::string& request_class, const std::vector<std::uint64_t>& numbers) {
  EXPECT_EQ(count.team(), team);
  EXPECT_EQ(count.klass(), request_class);
  EXPECT_EQ((std::vector<std::uint64_t>{count.served(), count.refused(), count.failed(), count.tokens(),
                                        count.worth()}),
            numbers);
}

TEST_F(StoredData, SharedStateIsRead) {
  constexpr core::Micros kNow = 7000 * core::kSecond, kOldestRow = 3600 * core::kSecond;
  shared::SharedState reader = sharing_router("r3", "south", 900);
  ASSERT_TRUE(reader.restore(kNow, fixture(kSharedFile)).ok());
  const auto& rows = reader.counter().table().rows();
  ASSERT_EQ(rows.size(), 2u);

  const auto& other = rows.at({"r1", 100});
  EXPECT_EQ(other.entry.site(), "north");
  EXPECT_EQ(other.entry.version(), 2u);
  ASSERT_EQ(other.entry.counts_size(), 2);
  expect_count(other.entry.counts(0), "acme", "batch", {4, 0, 0, 90'000, 4000});
  expect_count(other.entry.counts(1), "acme", "chat", {11, 3, 2, 8000, 55'000});
  EXPECT_EQ(other.entry.folded_size(), 0);
  // The writer had restored this row itself, so its age there was already kOldestRow plus 12 s.
  EXPECT_EQ(other.sealed, kNow - 2 * kOldestRow - 12 * core::kSecond);

  const auto& writer = rows.at({"r2", 300});
  EXPECT_EQ(writer.entry.site(), "south");
  EXPECT_EQ(writer.entry.version(), 1u);
  ASSERT_EQ(writer.entry.counts_size(), 1);
  expect_count(writer.entry.counts(0), "umbra", "chat", {22, 5, 1, 12'900, 110'000});
  ASSERT_EQ(writer.entry.folded_size(), 1);
  EXPECT_EQ(writer.entry.folded(0).name(), "r2");
  EXPECT_EQ(writer.entry.folded(0).birth(), 200u);
  EXPECT_EQ(writer.entry.folded(0).version(), 1u);
  EXPECT_EQ(writer.sealed, kNow - kOldestRow - 5 * core::kSecond);
}

TEST_F(StoredData, SharedStateIsWrittenAsBefore) {
  EXPECT_EQ(sample_shared_state(), fixture(kSharedPartsFile));
}

// Versions without CounterRow.parts (counts by process) ignore that field. All other bytes must be as those
// versions wrote them.
TEST_F(StoredData, SharedStateIsUnchangedForVersionsWithoutParts) {
  auto rows = shared::decode_counter_snapshot(sample_shared_state());
  ASSERT_TRUE(rows.ok());
  int parts = 0;
  for (coordination::CounterRow& row : *rows->mutable_rows()) {
    parts += row.parts_size();
    row.clear_parts();
  }
  EXPECT_EQ(parts, 2);
  EXPECT_EQ(shared::encode_counter_snapshot(*rows), fixture(kSharedFile));
}

TEST_F(StoredData, SharedStateWithPartsIsReadEntryByEntry) {
  shared::SharedState reader = sharing_router("r3", "south", 900);
  ASSERT_TRUE(reader.restore(core::kSecond, fixture(kSharedPartsFile)).ok());
  const coordination::CounterRow& writer = reader.counter().table().rows().at({"r2", 300}).entry;
  ASSERT_EQ(writer.parts_size(), 2);
  EXPECT_EQ(writer.parts(0).birth(), 200u);
  EXPECT_EQ(writer.parts(0).version(), 1u);
  ASSERT_EQ(writer.parts(0).counts_size(), 1);
  expect_count(writer.parts(0).counts(0), "umbra", "chat", {20, 5, 1, 12'000, 100'000});
  EXPECT_EQ(writer.parts(1).birth(), 300u);
  ASSERT_EQ(writer.parts(1).counts_size(), 1);
  expect_count(writer.parts(1).counts(0), "umbra", "chat", {2, 0, 0, 900, 10'000});
}

// ---- the file in which the processes of a router publish their resource usage

constexpr std::size_t kSlotsFileSize = 576, kFirstSlot = 64, kSlotSize = 64, kSlots = 8;

template <typename Number>
Number number_at(const std::string& bytes, std::size_t offset) {
  Number out{};
  if (offset + sizeof out <= bytes.size()) std::memcpy(&out, bytes.data() + offset, sizeof out);
  return out;
}

struct SlotContents {
  std::uint32_t in_use, stage;
  std::uint64_t descriptors, body_bytes, join_order;
};

void expect_slot(const std::string& bytes, std::size_t slot, const SlotContents& expected) {
  const std::size_t offset = kFirstSlot + slot * kSlotSize;
  EXPECT_EQ(number_at<std::uint32_t>(bytes, offset), expected.in_use);
  EXPECT_EQ(number_at<std::uint32_t>(bytes, offset + 4), expected.stage);
  EXPECT_EQ(number_at<std::uint64_t>(bytes, offset + 8), expected.descriptors);
  EXPECT_EQ(number_at<std::uint64_t>(bytes, offset + 16), expected.body_bytes);
  EXPECT_EQ(number_at<std::uint64_t>(bytes, offset + 24), expected.join_order);
}

TEST_F(StoredData, ProcessSlotsHaveTheirLayout) {
  const std::string bytes = fixture(kProcessSlotsFile);
  ASSERT_EQ(bytes.size(), kSlotsFileSize);
  EXPECT_EQ(bytes.substr(0, 4), "sfts");
  EXPECT_EQ(number_at<std::uint32_t>(bytes, 4), 1u);
  EXPECT_EQ(number_at<std::uint64_t>(bytes, 8), config::hash_name(kSlotsRouter));
  expect_slot(bytes, 0, {1, 2, 812, 700'000, 1});
  expect_slot(bytes, 1, {1, 1, 120, 4096, 2});
  for (std::size_t slot = 2; slot < kSlots; ++slot) expect_slot(bytes, slot, {0, 0, 0, 0, 0});
}

// The two processes that wrote the file no longer exist, so their slots are free. The join order of new
// processes continues from theirs.
TEST_F(StoredData, ProcessSlotsOfEndedProcessesAreReused) {
  put(kProcessSlotsFile, kSlotsName);
  hot_restart::ProcessSlots first, second;
  ASSERT_TRUE(first.join(folder_, kSlotsRouter).ok());
  first.publish({hot_restart::ProcessStage::serving, 33, 2048, 0, 0});
  ASSERT_TRUE(second.join(folder_, kSlotsRouter).ok());
  EXPECT_EQ(first.slot(), 0u);
  EXPECT_EQ(second.slot(), 1u);
  const std::vector<hot_restart::ProcessUsage> seen = second.others();
  ASSERT_EQ(seen.size(), 1u);
  EXPECT_EQ(seen[0].stage, hot_restart::ProcessStage::serving);
  EXPECT_EQ(seen[0].descriptors, 33u);
  EXPECT_EQ(seen[0].body_bytes, 2048u);
  EXPECT_EQ(seen[0].slot, 0u);
  EXPECT_EQ(seen[0].join_order, 3u);
  const std::string bytes = file_contents(folder_ + kSlotsName);
  ASSERT_EQ(bytes.size(), kSlotsFileSize);
  expect_slot(bytes, 0, {1, 1, 33, 2048, 3});
  expect_slot(bytes, 1, {1, 0, 0, 0, 4});
}

TEST_F(StoredData, ProcessSlotsAreWrittenAsBefore) {
  EXPECT_EQ(write_process_slots(folder_), fixture(kProcessSlotsFile));
}

}  // namespace
}  // namespace flintglade::tests
