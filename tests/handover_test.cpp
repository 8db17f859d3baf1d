// What one process leaves for the next: whatever is written comes back, and whatever else comes is refused.
#include <rapidcheck.h>

#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <limits>

#include "check.h"
#include "hot_restart/snapshot.h"

namespace {

using namespace flintglade;
using core::Broker;
using hot_restart::Origin;

const Origin kWriter{"n1", "127.0.0.1:8500", 1'000'000, 1'790'000'000'000'000};
const Origin kReader{"n1", "127.0.0.1:8500", 5'000'000, 1'790'000'000'000'400};
constexpr core::Micros kNow = 6'000'000;

void falsified(bool held) {
  if (!held) std::exit(1);
}
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
    e.replica.started_at = static_cast<double>(boot_ms * 1000 - kWriter.unix_less_monotonic) / 1e6;
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

std::string read(const std::string& bytes, Broker::ProcessSnapshot& out, const Origin& reader = kReader,
                 core::Micros now = kNow) {
  bool same_list = false;
  return hot_restart::decode_snapshot(bytes, reader, now, out, same_list);
}

void what_is_written_is_read() {
  falsified(rc::check("written and read", [] {
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
          std::round(a.started_at * 1e6) + static_cast<double>(kWriter.unix_less_monotonic);
      RC_ASSERT(b.started_at ==
                (a.started_at == 0.0
                     ? 0.0
                     : static_cast<double>(static_cast<std::int64_t>(boot_us) - kReader.unix_less_monotonic) /
                           1e6));
    }
    // All the rest by writing it again.
    Broker::ProcessSnapshot again = after;
    again.entries = before.entries;
    RC_ASSERT(encode_snapshot(again, kWriter, kNow - 1000) == bytes);
  }));
}

void a_changed_byte_is_noticed() {
  falsified(rc::check("changed and cut", [] {
    std::string bytes = encode_snapshot(handed(), kWriter, kNow - 1000);
    const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
    Broker::ProcessSnapshot out;
    RC_ASSERT(read(bytes.substr(0, at), out) != "");
    bytes[at] = static_cast<char>(bytes[at] ^ *rc::gen::inRange(1, 256));
    RC_ASSERT(read(bytes, out) != "");
  }));
}

void only_for_its_heir() {
  const auto by = [](const std::function<void(Origin&, core::Micros&)>& change) {
    Origin reader = kReader;
    core::Micros now = kNow;
    change(reader, now);
    Broker::ProcessSnapshot out;
    return read(encode_snapshot({}, kWriter, kNow - 1000), out, reader, now);
  };
  CHECK(by([](Origin&, core::Micros&) {}) == "");
  CHECK(by([](Origin& r, core::Micros&) { r.router = "n2"; }) == "it is another router's");
  CHECK(by([](Origin& r, core::Micros&) { r.unix_less_monotonic += 60'000; }) == "its clock is another one");
  CHECK(by([](Origin& r, core::Micros&) { r.began = kWriter.began; }) == hot_restart::kWriterNotOlder);
  CHECK(by([](Origin&, core::Micros& now) { now += hot_restart::kMaxSnapshotAge; }) == "it is old");
  CHECK(by([](Origin&, core::Micros& now) { now -= 2000; }) == "it is old");  // of the future
  Broker::ProcessSnapshot h;
  Broker::ProcessSnapshot out;
  bool same_list = true;
  Origin elsewhere = kReader;
  elsewhere.discovery = "127.0.0.1:8501";
  CHECK(hot_restart::decode_snapshot(encode_snapshot(h, kWriter, kNow), elsewhere, kNow, out, same_list) ==
            "" &&
        !same_list);
  for (const double wrong : {std::nan(""), std::numeric_limits<double>::infinity(), -1.0, 1e300}) {
    h.learned.admitted_share = wrong;
    CHECK(read(encode_snapshot(h, kWriter, kNow), out) == "it holds numbers that cannot be");
  }
  h.learned.admitted_share = 1.0;
  h.learned.time_in_system_by_kind[0] = {};
  CHECK(read(encode_snapshot(h, kWriter, kNow), out) == "");
  h.learned.prefill_costs[0] = {0.0, 3.0};  // three samples of no time at all
  CHECK(read(encode_snapshot(h, kWriter, kNow), out) == "it holds numbers that cannot be");
}

}  // namespace

int main() {
  what_is_written_is_read();
  a_changed_byte_is_noticed();
  only_for_its_heir();
  std::printf("3 passed, 0 failed\n");
}
