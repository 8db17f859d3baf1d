// Snapshots of random content are decoded as they were encoded; corrupt, foreign and old ones are rejected.
#include "hot_restart/snapshot.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <limits>

namespace {

using namespace flintglade;
using core::Broker;
using hot_restart::Origin;

const Origin kWriter{"n1", "127.0.0.1:8500", 1'000'000, 1'790'000'000'000'000};
const Origin kReader{"n1", "127.0.0.1:8500", 5'000'000, 1'790'000'000'000'400};
constexpr core::Micros kNow = 6'000'000;

double random_below(double limit) { return *rc::gen::inRange(0, 1'000'000) / 1e6 * limit; }
flintglade::policy::TimeInSystem random_time_in_system() {
  return {random_below(100), random_below(100), 0.0, random_below(6)};
}
flintglade::policy::DecayingSum random_decaying_sum() { return {random_below(1000), random_below(6)}; }

Broker::ProcessSnapshot random_snapshot() {
  Broker::ProcessSnapshot snapshot;
  snapshot.version = *rc::gen::arbitrary<std::uint32_t>();
  const int replicas = *rc::gen::inRange(0, 40), prefixes = *rc::gen::inRange(0, 300);
  for (int i = 0; i < replicas; ++i) {
    core::Endpoint endpoint;
    endpoint.replica.id = *rc::gen::arbitrary<std::uint64_t>();
    endpoint.address = "10.0.0." + std::to_string(i) + ":8000";
    endpoint.replica.zone = *rc::gen::inRange(0, 5);
    endpoint.replica.kind = *rc::gen::inRange(0, 5);
    endpoint.replica.health = static_cast<flintglade::policy::Health>(*rc::gen::inRange(0, 3));
    endpoint.replica.size = random_below(4);
    // As in an endpoint list: a whole number of milliseconds of Unix time, converted to the writer's clock.
    const std::int64_t boot_ms = *rc::gen::inRange<std::int64_t>(1'789'999'000'000, 1'790'000'001'000);
    endpoint.replica.started_at = static_cast<double>(boot_ms * 1000 - kWriter.unix_minus_monotonic) / 1e6;
    if (*rc::gen::inRange(0, 3) == 0) endpoint.replica.started_at = 0.0;
    snapshot.entries.push_back(endpoint);
    if (endpoint.replica.health != flintglade::policy::Health::ready)
      snapshot.retired.push_back(
          {endpoint.replica.id, *rc::gen::inRange<core::Micros>(0, kNow), snapshot.version});
    flintglade::policy::ReplicaStatistics& statistics = snapshot.learned.replicas[endpoint.replica.id];
    statistics = {random_below(1),         random_below(6), random_below(5), random_below(6),
                  random_time_in_system(), random_below(9), random_below(9), *rc::gen::inRange(0, 9)};
    snapshot.learned.slots.push_back(endpoint.replica.id);
    if (endpoint.replica.zone == 1) snapshot.learned.own_zone_slots.push_back(endpoint.replica.id);
    snapshot.learned.time_in_system_by_kind[endpoint.replica.kind] = random_time_in_system();
    snapshot.learned.prefill_costs[endpoint.replica.kind] = {1e-6 + random_below(1), random_below(20)};
    snapshot.learned.largest_live_size[endpoint.replica.kind] = random_below(4);
    snapshot.learned.zones[endpoint.replica.zone] = {random_below(9), *rc::gen::inRange(0, 9)};
  }
  for (int i = 0; i < prefixes; ++i)
    snapshot.learned.prefixes[*rc::gen::arbitrary<std::uint64_t>()] = {random_decaying_sum(),
                                                                       *rc::gen::inRange(1, 20)};
  for (int i = 0; i < 3; ++i) {
    snapshot.learned.first_event_latency.push_back({random_below(2), random_below(1)});
    snapshot.learned.mean_class_work.push_back(random_below(5));
    snapshot.learned.quota_tokens.push_back(random_below(50));
    snapshot.learned.quota_updated_at.push_back(random_below(6));
  }
  snapshot.learned.time_in_system = random_time_in_system();
  snapshot.learned.arrived_work = random_decaying_sum();
  snapshot.learned.hot_window_work = random_decaying_sum();
  snapshot.learned.late_answers = random_decaying_sum();
  snapshot.learned.answers = random_decaying_sum();
  snapshot.learned.same_prefix_pairs = random_below(1e6);
  snapshot.learned.all_pairs = random_below(1e6);
  snapshot.learned.prefix_widening = 1.0 + random_below(49);
  snapshot.learned.admitted_share = 0.1 + random_below(0.9);
  snapshot.learned.own_zone_share = random_below(1);
  snapshot.learned.peak_fleet_size = random_below(100);
  snapshot.learned.mean_prompt_tokens = random_below(1e5);
  return snapshot;
}

// Decodes into `out`. Returns the error message, empty on success.
std::string decode(const std::string& bytes, Broker::ProcessSnapshot& out, const Origin& reader = kReader,
                   core::Micros now = kNow) {
  auto decoded = hot_restart::decode_snapshot(bytes, reader, now);
  if (!decoded.ok()) return std::string(decoded.status().message());
  out = std::move(decoded->snapshot);
  return "";
}

TEST(Snapshot, WhatIsEncodedIsDecoded) {
  EXPECT_TRUE(rc::check("encoded and decoded", [] {
    const Broker::ProcessSnapshot before = random_snapshot();
    const std::string bytes = encode_snapshot(before, kWriter, kNow - 1000);
    Broker::ProcessSnapshot after;
    RC_ASSERT(decode(bytes, after) == "");
    RC_ASSERT(after.version == before.version && after.entries.size() == before.entries.size());
    for (std::size_t i = 0; i < before.entries.size(); ++i) {
      const flintglade::policy::Replica &written = before.entries[i].replica,
                                        &read = after.entries[i].replica;
      RC_ASSERT(written.id == read.id && written.zone == read.zone && written.kind == read.kind &&
                written.health == read.health && written.size == read.size);
      RC_ASSERT(before.entries[i].address == after.entries[i].address);
      // Converted to the reader's clock exactly: otherwise the next endpoint list would look like a restart.
      const double boot_us =
          std::round(written.started_at * 1e6) + static_cast<double>(kWriter.unix_minus_monotonic);
      RC_ASSERT(read.started_at == (written.started_at == 0.0
                                        ? 0.0
                                        : static_cast<double>(static_cast<std::int64_t>(boot_us) -
                                                              kReader.unix_minus_monotonic) /
                                              1e6));
    }
    // Everything else is compared by encoding it again.
    Broker::ProcessSnapshot again = after;
    again.entries = before.entries;
    RC_ASSERT(encode_snapshot(again, kWriter, kNow - 1000) == bytes);
  }));
}

TEST(Snapshot, AChangedByteAndATruncatedFileAreRejected) {
  EXPECT_TRUE(rc::check("changed and truncated", [] {
    std::string bytes = encode_snapshot(random_snapshot(), kWriter, kNow - 1000);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    Broker::ProcessSnapshot out;
    RC_ASSERT(decode(bytes.substr(0, at), out) != "");
    bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(decode(bytes, out) != "");
  }));
}

std::string decode_error(const std::function<void(Origin& reader, core::Micros& now)>& change) {
  Origin reader = kReader;
  core::Micros now = kNow;
  change(reader, now);
  Broker::ProcessSnapshot out;
  return decode(encode_snapshot({}, kWriter, kNow - 1000), out, reader, now);
}

TEST(Snapshot, IsAcceptedOnlyByALaterProcessOfTheSameRouterAndMachine) {
  constexpr char kWrongAge[] = "written in the future or more than 10 s ago";
  EXPECT_EQ(decode_error([](Origin&, core::Micros&) {}), "");
  EXPECT_EQ(decode_error([](Origin& reader, core::Micros&) { reader.router = "n2"; }),
            "written by another router: n1");
  EXPECT_EQ(
      decode_error([](Origin& reader, core::Micros&) { reader.unix_minus_monotonic += 60'000; }),
      "clock offset differs by 60400 us (at most 50000): other boot, other machine, or the clock was set");
  EXPECT_EQ(decode_error([](Origin& reader, core::Micros&) { reader.began = kWriter.began; }),
            "written by a process that did not start before this one");
  EXPECT_EQ(decode_error([](Origin&, core::Micros& now) { now += hot_restart::kMaxSnapshotAge; }), kWrongAge);
  EXPECT_EQ(decode_error([](Origin&, core::Micros& now) { now -= 2000; }),
            kWrongAge);  // written in the future
}

TEST(Snapshot, AWriterThatIsNotOlderIsDistinguishedFromOtherErrors) {
  Origin reader = kReader;
  reader.began = kWriter.began;
  const std::string bytes = encode_snapshot({}, kWriter, kNow - 1000);
  EXPECT_TRUE(
      hot_restart::is_written_by_younger_process(hot_restart::decode_snapshot(bytes, reader, kNow).status()));
  EXPECT_FALSE(hot_restart::is_written_by_younger_process(
      hot_restart::decode_snapshot("not a snapshot", reader, kNow).status()));
}

TEST(Snapshot, ReportsWhetherTheEndpointListHasTheSameSource) {
  Origin reader = kReader;
  reader.discovery = "127.0.0.1:8501";
  const auto decoded = hot_restart::decode_snapshot(encode_snapshot({}, kWriter, kNow), reader, kNow);
  ASSERT_TRUE(decoded.ok());
  EXPECT_FALSE(decoded->same_list);
}

TEST(Snapshot, NumbersOutsideTheDecisionModulesRangeAreRejected) {
  constexpr char kRejected[] = "learned state has too many entries or a number out of range";
  Broker::ProcessSnapshot snapshot;
  Broker::ProcessSnapshot out;
  for (const double invalid : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 1e300}) {
    snapshot.learned.admitted_share = invalid;
    EXPECT_EQ(decode(encode_snapshot(snapshot, kWriter, kNow), out), kRejected);
  }
  snapshot.learned.admitted_share = 1.0;
  snapshot.learned.time_in_system_by_kind[0] = {};
  EXPECT_EQ(decode(encode_snapshot(snapshot, kWriter, kNow), out), "");
  snapshot.learned.prefill_costs[0] = {0.0, 3.0};  // three samples, but a cost of 0
  EXPECT_EQ(decode(encode_snapshot(snapshot, kWriter, kNow), out), kRejected);
}

}  // namespace
