// What one process leaves for the next: whatever is written comes back, and whatever else comes is refused.
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

double some(double most) { return *rc::gen::inRange(0, 1'000'000) / 1e6 * most; }
flintglade::policy::TimeInSystem stay() { return {some(100), some(100), 0.0, some(6)}; }
flintglade::policy::DecayingSum decayed() { return {some(1000), some(6)}; }

Broker::ProcessSnapshot handed() {
  Broker::ProcessSnapshot h;
  h.version = *rc::gen::arbitrary<std::uint32_t>();
  const int replicas = *rc::gen::inRange(0, 40), prefixes = *rc::gen::inRange(0, 300);
  for (int i = 0; i < replicas; ++i) {
    core::Endpoint e;
    e.replica.id = *rc::gen::arbitrary<std::uint64_t>();
    e.address = "10.0.0." + std::to_string(i) + ":8000";
    e.replica.zone = *rc::gen::inRange(0, 5);
    e.replica.kind = *rc::gen::inRange(0, 5);
    e.replica.health = static_cast<flintglade::policy::Health>(*rc::gen::inRange(0, 3));
    e.replica.size = some(4);
    // As the list gives it: whole milliseconds of Unix time on the writer's clock.
    const std::int64_t boot_ms = *rc::gen::inRange<std::int64_t>(1'789'999'000'000, 1'790'000'001'000);
    e.replica.started_at = static_cast<double>(boot_ms * 1000 - kWriter.unix_minus_monotonic) / 1e6;
    if (*rc::gen::inRange(0, 3) == 0) e.replica.started_at = 0.0;
    h.entries.push_back(e);
    if (e.replica.health != flintglade::policy::Health::ready)
      h.retired.push_back({e.replica.id, *rc::gen::inRange<core::Micros>(0, kNow), h.version});
    flintglade::policy::ReplicaStatistics& k = h.learned.replicas[e.replica.id];
    k = {some(1), some(6), some(5), some(6), stay(), some(9), some(9), *rc::gen::inRange(0, 9)};
    h.learned.slots.push_back(e.replica.id);
    if (e.replica.zone == 1) h.learned.own_zone_slots.push_back(e.replica.id);
    h.learned.time_in_system_by_kind[e.replica.kind] = stay();
    h.learned.prefill_costs[e.replica.kind] = {1e-6 + some(1), some(20)};
    h.learned.largest_live_size[e.replica.kind] = some(4);
    h.learned.zones[e.replica.zone] = {some(9), *rc::gen::inRange(0, 9)};
  }
  for (int i = 0; i < prefixes; ++i)
    h.learned.prefixes[*rc::gen::arbitrary<std::uint64_t>()] = {decayed(), *rc::gen::inRange(1, 20)};
  for (int i = 0; i < 3; ++i) {
    h.learned.first_event_latency.push_back({some(2), some(1)});
    h.learned.mean_class_work.push_back(some(5));
    h.learned.quota_tokens.push_back(some(50));
    h.learned.quota_updated_at.push_back(some(6));
  }
  h.learned.time_in_system = stay();
  h.learned.arrived_work = decayed();
  h.learned.hot_window_work = decayed();
  h.learned.late_answers = decayed();
  h.learned.answers = decayed();
  h.learned.same_prefix_pairs = some(1e6);
  h.learned.all_pairs = some(1e6);
  h.learned.prefix_widening = 1.0 + some(49);
  h.learned.admitted_share = 0.1 + some(0.9);
  h.learned.own_zone_share = some(1);
  h.learned.peak_fleet_size = some(100);
  h.learned.mean_prompt_tokens = some(1e5);
  return h;
}

// The snapshot, or the line that says why it can't be used; "" where it can.
std::string read(const std::string& bytes, Broker::ProcessSnapshot& out, const Origin& reader = kReader,
                 core::Micros now = kNow) {
  auto decoded = hot_restart::decode_snapshot(bytes, reader, now);
  if (!decoded.ok()) return std::string(decoded.status().message());
  out = std::move(decoded->snapshot);
  return "";
}

TEST(Snapshot, WhatIsEncodedIsDecoded) {
  EXPECT_TRUE(rc::check("encoded and decoded", [] {
    const Broker::ProcessSnapshot before = handed();
    const std::string bytes = encode_snapshot(before, kWriter, kNow - 1000);
    Broker::ProcessSnapshot after;
    RC_ASSERT(read(bytes, after) == "");
    RC_ASSERT(after.version == before.version && after.entries.size() == before.entries.size());
    for (std::size_t i = 0; i < before.entries.size(); ++i) {
      const flintglade::policy::Replica &a = before.entries[i].replica, &b = after.entries[i].replica;
      RC_ASSERT(a.id == b.id && a.zone == b.zone && a.kind == b.kind && a.health == b.health &&
                a.size == b.size);
      RC_ASSERT(before.entries[i].address == after.entries[i].address);
      // By the reader's clock, to the bit: else the list would seem to tell of a restart.
      const double boot_us =
          std::round(a.started_at * 1e6) + static_cast<double>(kWriter.unix_minus_monotonic);
      RC_ASSERT(b.started_at == (a.started_at == 0.0
                                     ? 0.0
                                     : static_cast<double>(static_cast<std::int64_t>(boot_us) -
                                                           kReader.unix_minus_monotonic) /
                                           1e6));
    }
    // All the rest by writing it again.
    Broker::ProcessSnapshot again = after;
    again.entries = before.entries;
    RC_ASSERT(encode_snapshot(again, kWriter, kNow - 1000) == bytes);
  }));
}

TEST(Snapshot, AChangedByteAndAShortFileAreNoticed) {
  EXPECT_TRUE(rc::check("changed and cut", [] {
    std::string bytes = encode_snapshot(handed(), kWriter, kNow - 1000);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    Broker::ProcessSnapshot out;
    RC_ASSERT(read(bytes.substr(0, at), out) != "");
    bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(read(bytes, out) != "");
  }));
}

std::string refusal(const std::function<void(Origin& reader, core::Micros& now)>& change) {
  Origin reader = kReader;
  core::Micros now = kNow;
  change(reader, now);
  Broker::ProcessSnapshot out;
  return read(encode_snapshot({}, kWriter, kNow - 1000), out, reader, now);
}

TEST(Snapshot, IsForALaterProcessOfTheSameRouterAndMachineOnly) {
  EXPECT_EQ(refusal([](Origin&, core::Micros&) {}), "");
  EXPECT_EQ(refusal([](Origin& reader, core::Micros&) { reader.router = "n2"; }), "it is another router's");
  EXPECT_EQ(refusal([](Origin& reader, core::Micros&) { reader.unix_minus_monotonic += 60'000; }),
            "its clock is another one");
  EXPECT_EQ(refusal([](Origin& reader, core::Micros&) { reader.began = kWriter.began; }),
            "its writer is no older than this process");
  EXPECT_EQ(refusal([](Origin&, core::Micros& now) { now += hot_restart::kMaxSnapshotAge; }), "it is old");
  EXPECT_EQ(refusal([](Origin&, core::Micros& now) { now -= 2000; }), "it is old");  // of the future
}

TEST(Snapshot, TellsAWriterThatIsNotOlderFromOtherErrors) {
  Origin reader = kReader;
  reader.began = kWriter.began;
  const std::string bytes = encode_snapshot({}, kWriter, kNow - 1000);
  EXPECT_TRUE(
      hot_restart::is_written_by_younger_process(hot_restart::decode_snapshot(bytes, reader, kNow).status()));
  EXPECT_FALSE(hot_restart::is_written_by_younger_process(
      hot_restart::decode_snapshot("nothing", reader, kNow).status()));
}

TEST(Snapshot, TellsWhetherTheEndpointListComesFromTheSamePlace) {
  Origin elsewhere = kReader;
  elsewhere.discovery = "127.0.0.1:8501";
  const auto decoded = hot_restart::decode_snapshot(encode_snapshot({}, kWriter, kNow), elsewhere, kNow);
  ASSERT_TRUE(decoded.ok());
  EXPECT_FALSE(decoded->same_list);
}

TEST(Snapshot, NumbersThatTheDecisionModuleCantWorkWithAreRefused) {
  constexpr char kRefused[] = "it holds numbers that cannot be";
  Broker::ProcessSnapshot snapshot;
  Broker::ProcessSnapshot out;
  for (const double wrong : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 1e300}) {
    snapshot.learned.admitted_share = wrong;
    EXPECT_EQ(read(encode_snapshot(snapshot, kWriter, kNow), out), kRefused);
  }
  snapshot.learned.admitted_share = 1.0;
  snapshot.learned.time_in_system_by_kind[0] = {};
  EXPECT_EQ(read(encode_snapshot(snapshot, kWriter, kNow), out), "");
  snapshot.learned.prefill_costs[0] = {0.0, 3.0};  // three samples of no time at all
  EXPECT_EQ(read(encode_snapshot(snapshot, kWriter, kNow), out), kRefused);
}

}  // namespace
