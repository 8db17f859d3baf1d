// Recordings of the state machines of a fleet, each fed with a fixed stream of events: complete simulated
// fleets (coordination::CoordinationProtocol, coordination::RaftNode, membership::Swim and
// shared::SharedState on tests/fleet/sim.h), the merge of endpoint sources
// (endpoint_sources::EndpointMerger), and health gossip (shared::HealthObserver, shared::EjectionPolicy).
// Recorded is a hash of all outputs: of a simulated fleet each datagram with its time and each notification
// to a router's jobs, of the others each returned value.
//
// The values guard against unintended changes of behaviour. A value is changed only in a commit that
// changes behaviour on purpose, and its message says which behaviour and why.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "endpoint_sources/endpoint_merger.h"
#include "fleet/sim.h"
#include "recordings/fnv_hash.h"
#include "shared/ejection_policy.h"

namespace flintglade::tests {
namespace {

// Draws events with its own integer arithmetic, as distributions differ between standard libraries.
class EventRandom {
 public:
  explicit EventRandom(std::uint64_t seed) : engine_(seed) {}
  std::uint64_t below(std::uint64_t bound) { return engine_() % bound; }
  std::uint64_t between(std::uint64_t least, std::uint64_t bound) { return least + below(bound - least); }
  bool one_in(std::uint64_t n) { return below(n) == 0; }

 private:
  std::mt19937_64 engine_;
};

// ---- simulated fleets

constexpr unsigned kFirstFaultMs = 1500;
constexpr unsigned kLastFaultMs = 11'000;
constexpr unsigned kLongestFaultMs = 4000;

World short_world(std::uint64_t seed) {
  World world;
  world.seed = seed;
  world.faults_until = 12'000;
  world.ends = 22'000;
  return world;
}

World sharing_world(std::uint64_t seed) {
  World world = short_world(seed);
  world.jobs = 1;
  world.unix_step_s = 3600.0;
  shared::Budget quota;
  quota.name = quota.team = "q";
  quota.per_s = 60 * shared::kUnit;
  quota.burst = 90 * shared::kUnit;
  quota.routers = world.routers;
  shared::Budget stock;
  stock.name = stock.team = "s";
  stock.window_total = 700 * shared::kUnit;
  stock.window = 10 * core::kSecond;
  stock.routers = world.routers;
  world.budgets = {quota, stock};
  return world;
}

// `rounds` faults of every kind; the seed determines them.
std::vector<Fault> faults_of_every_kind(std::uint64_t seed, unsigned rounds, unsigned routers) {
  EventRandom random(seed);
  std::vector<Fault> faults;
  for (unsigned round = 0; round < rounds; ++round) {
    for (int kind = 0; kind < static_cast<int>(Fault::Kind::kKinds); ++kind) {
      Fault& fault = faults.emplace_back();
      fault.kind = static_cast<Fault::Kind>(kind);
      fault.who = static_cast<unsigned>(random.below(routers));
      fault.whom = static_cast<unsigned>(random.below(routers));
      fault.at = static_cast<unsigned>(random.between(kFirstFaultMs, kLastFaultMs));
      fault.length = static_cast<unsigned>(random.between(50, kLongestFaultMs));
    }
  }
  return faults;
}

struct FleetRecording {
  std::uint64_t datagrams, trace;
};

void expect_recorded(const SimulationResult& seen, const FleetRecording& recorded) {
  EXPECT_EQ(seen.violation, "");
  EXPECT_EQ(seen.datagrams, recorded.datagrams);
  EXPECT_EQ(seen.trace.value(), recorded.trace);
}

constexpr FleetRecording kCalmFleet{5849, 0x74fe7197959d4efcu};
constexpr FleetRecording kFleetWithEveryFault{4441, 0xce9c8db7cc779928u};
constexpr FleetRecording kFleetOfFiveVoters{9857, 0x6f2784f8042c6f68u};
constexpr FleetRecording kCalmSharing{10386, 0x2327b789bb01f848u};
constexpr FleetRecording kSharingWithEveryFault{9987, 0x4aef8b5b0ea917beu};
constexpr FleetRecording kTightSharing{11021, 0xbbe0d9f2c42b3060u};

constexpr FleetRecording kLongFleet{25313, 0xab014dddf5c7d699u};
constexpr FleetRecording kFleetWithLeavingRouters{5777, 0x55b3f5c2ccc74ce7u};
constexpr FleetRecording kIdleSharing{6584, 0xe6329955dd394a5u};

TEST(FleetRecording, WithoutFaults) { expect_recorded(play(short_world(11), {}), kCalmFleet); }

TEST(FleetRecording, WithFaultsOfEveryKind) {
  const World world = short_world(12);
  expect_recorded(play(world, faults_of_every_kind(12, 2, world.routers)), kFleetWithEveryFault);
}

TEST(FleetRecording, FiveVotersAmongNineRouters) {
  World world = short_world(13);
  world.routers = 9;
  world.voters = 5;
  world.jobs = 4;
  expect_recorded(play(world, faults_of_every_kind(13, 1, world.routers)), kFleetOfFiveVoters);
}

TEST(FleetRecording, BudgetsAndCountersWithoutFaults) {
  expect_recorded(play(sharing_world(14), {}), kCalmSharing);
}

TEST(FleetRecording, BudgetsAndCountersWithFaultsOfEveryKind) {
  const World world = sharing_world(15);
  expect_recorded(play(world, faults_of_every_kind(15, 1, world.routers)), kSharingWithEveryFault);
}

TEST(FleetRecording, DemandAboveTheBudgets) {
  World world = sharing_world(16);
  world.requests_per_s = 900.0;
  world.skew = 6.0;
  world.budgets[0].burst = 40 * shared::kUnit;
  expect_recorded(
      play(world, {{Fault::Kind::cut_from, 0, 1, 3000, 2500}, {Fault::Kind::crash, 4, 0, 6000, 900}}),
      kTightSharing);
}

// Runs long enough for the Raft log to be compacted, and for a router that is stopped repeatedly to reach the
// worst score of its own health (SWIM Lifeguard).
TEST(FleetRecording, LongRunWithARouterThatIsOftenStopped) {
  World world = short_world(17);
  world.faults_until = 90'000;
  world.ends = 100'000;
  std::vector<Fault> faults = faults_of_every_kind(17, 1, world.routers);
  for (unsigned at = 20'000; at < 85'000; at += 2500)
    faults.push_back({Fault::Kind::cut_off, 6, 0, at, 2100});
  expect_recorded(play(world, faults), kLongFleet);
}

TEST(FleetRecording, RoutersThatLeave) {
  World world = short_world(18);
  world.leave_at = 7000;
  expect_recorded(play(world, {}), kFleetWithLeavingRouters);
}

// Counter rows stay unchanged for some time.
TEST(FleetRecording, AlmostNoDemand) {
  World world = sharing_world(19);
  world.requests_per_s = 0.3;
  expect_recorded(play(world, {}), kIdleSharing);
}

// ---- the merge of endpoint sources

using endpoint_sources::EndpointMerger;

constexpr int kAddresses = 24;
constexpr int kEvents = 6000;
const std::vector<std::string> kDnsSources{"a", "b", "c"};

std::string address(std::uint64_t n) { return "10.0.0." + std::to_string(n) + ":8000"; }

endpoint_sources::SourceSpec list_source() {
  endpoint_sources::SourceSpec spec;
  spec.name = "list";
  spec.list = true;
  return spec;
}

endpoint_sources::SourceSpec dns_source(const std::string& name, std::uint32_t zone) {
  endpoint_sources::SourceSpec spec;
  spec.name = name;
  spec.dns_name = "_m._tcp." + name + ".";
  spec.zone = zone;
  spec.zero_weight_drains = zone % 2 == 0;
  return spec;
}

// The sources after a reload: the list, and the DNS sources whose bit in `kept` is set.
std::vector<endpoint_sources::SourceSpec> sources(std::uint64_t kept) {
  std::vector<endpoint_sources::SourceSpec> out{list_source()};
  for (std::uint32_t i = 0; i < kDnsSources.size(); ++i) {
    if (((kept >> i) & 1) != 0) out.push_back(dns_source(kDnsSources[i], i));
  }
  return out;
}

class MergeRecorder {
 public:
  explicit MergeRecorder(std::uint64_t seed) : random_(seed) {
    merger_.apply_cached_list(now_, list_update(policy::ListKind::full, 6));
    record();
  }

  std::uint64_t play() {
    for (int event = 0; event < kEvents; ++event) {
      pass_time();
      one_event();
      record();
    }
    return hash_.value();
  }

 private:
  // Most steps are short; some are longer than every delay in the settings except source_stale.
  void pass_time() {
    const core::Micros longest = random_.one_in(40) ? 60 * core::kSecond : 2 * core::kSecond;
    const core::Micros end =
        now_ + static_cast<core::Micros>(random_.below(static_cast<std::uint64_t>(longest)));
    while (merger_.next_timer() <= end) {
      now_ = std::max(now_, merger_.next_timer());
      merger_.on_timer(now_);
      record();
    }
    now_ = end;
  }

  void one_event() {
    const std::uint64_t kind = random_.below(100);
    if (kind < 30) return merger_.apply_list(now_, next_list());
    if (kind < 80) return merger_.apply_dns_answer(now_, random_dns_source(), dns_answer());
    if (kind < 92)
      return merger_.on_source_failed(now_, random_.one_in(4) ? "list" : random_dns_source(), "no answer");
    if (kind < 97) return merger_.on_timer(now_);
    reload();
  }

  void reload() {
    endpoint_sources::Settings settings;
    settings.max_removed_fraction = static_cast<double>(random_.between(2, 9)) / 10.0;
    settings.confirm_delay = static_cast<core::Micros>(random_.between(5, 40)) * core::kSecond;
    settings.return_delay = static_cast<core::Micros>(random_.between(1, 9)) * core::kSecond;
    settings.source_stale = static_cast<core::Micros>(random_.between(20, 200)) * core::kSecond;
    settings.spill_hold = static_cast<core::Micros>(random_.between(1, 20)) * core::kSecond;
    merger_.configure(now_, settings, sources(random_.below(8)));
  }

  std::string random_dns_source() { return kDnsSources[random_.below(kDnsSources.size())]; }

  core::EndpointListUpdate next_list() {
    if (random_.one_in(30))
      version_ = static_cast<std::uint32_t>(random_.below(version_ + 1));  // the version goes back
    ++version_;
    const std::uint64_t kind = random_.below(8);
    if (kind == 0) return list_update(policy::ListKind::full, random_.between(4, kAddresses));
    if (kind == 1) return list_update(policy::ListKind::cached, random_.between(4, kAddresses));
    return list_update(policy::ListKind::delta, random_.between(1, 4));
  }

  core::EndpointListUpdate list_update(policy::ListKind kind, std::uint64_t entries) {
    core::EndpointListUpdate update;
    update.kind = kind;
    update.version = version_;
    for (std::uint64_t i = 0; i < entries; ++i) update.entries.push_back(list_entry(kind));
    if (random_.one_in(20)) update.unreadable.push_back(random_.between(1, kAddresses));
    return update;
  }

  core::Endpoint list_entry(policy::ListKind kind) {
    core::Endpoint entry;
    entry.replica.id = random_.between(1, kAddresses);
    // Sometimes an id moves to another address.
    entry.address = address(random_.one_in(25) ? random_.between(1, kAddresses) : entry.replica.id);
    entry.replica.zone = static_cast<std::uint32_t>(random_.below(3));
    entry.replica.kind = static_cast<std::uint32_t>(random_.below(2));
    entry.replica.cell = static_cast<std::uint32_t>(random_.below(4));
    const std::uint64_t health = random_.below(10);
    entry.replica.health = health < 7                                     ? policy::Health::ready
                           : health < 9 || kind == policy::ListKind::full ? policy::Health::draining
                                                                          : policy::Health::gone;
    entry.replica.size = static_cast<double>(random_.between(1, 9)) / 4.0;
    entry.replica.started_at = random_.one_in(3) ? static_cast<double>(random_.below(100)) : 0.0;
    return entry;
  }

  endpoint_sources::ResolvedAddresses dns_answer() {
    endpoint_sources::ResolvedAddresses answer;
    if (random_.one_in(15)) return answer;  // an empty answer
    const std::uint64_t one_missing_in = random_.one_in(8) ? 2 : 12;
    for (std::uint64_t n = 1; n < kAddresses; n += random_.between(1, 4)) {
      if (random_.one_in(one_missing_in)) continue;
      answer.addresses.push_back({address(n), "h" + std::to_string(n) + ".",
                                  static_cast<std::uint16_t>(random_.one_in(3) ? 10 : 0),
                                  static_cast<std::uint16_t>(random_.below(5))});
    }
    if (random_.one_in(10))
      answer.unresolved.push_back("h" + std::to_string(random_.between(1, kAddresses)) + ".");
    if (random_.one_in(3)) answer.fingerprint = random_.between(1, 4);
    return answer;
  }

  // ---- outputs of the merge

  void record() {
    hash_.add_integer(static_cast<std::uint64_t>(now_));
    const auto changes = merger_.take_changes();
    hash_.add_integer(changes.has_value());
    if (changes) add(*changes);
    for (const auto& [merged_address, merged] : merger_.merged_endpoints()) {
      hash_.add_text(merged_address);
      add(merged.endpoint);
      hash_.add_integer(static_cast<std::uint64_t>(merged.clause));
      hash_.add_text(merged.source);
      hash_.add_integer(merged.priority);
    }
    for (const auto& [priority, share] : merger_.traffic_shares()) {
      hash_.add_integer(priority);
      hash_.add_double(share);
    }
    hash_.add_integer(static_cast<std::uint64_t>(merger_.next_timer()));
    record_sources();
  }

  void record_sources() {
    hash_.add_integer(merger_.any_answered());
    hash_.add_integer(merger_.all_failed());
    for (const std::string& name : merger_.names_to_confirm(now_)) hash_.add_text(name);
    for (const endpoint_sources::SourceStatus& source : merger_.status(now_)) {
      hash_.add_text(source.name);
      hash_.add_integer(static_cast<std::uint64_t>(source.age));
      hash_.add_integer(source.names);
      for (const std::uint64_t n : {source.answers, source.failures, source.unconfirmed_removals})
        hash_.add_integer(n);
    }
  }

  void add(const core::EndpointListUpdate& update) {
    hash_.add_integer(static_cast<std::uint64_t>(update.kind));
    hash_.add_integer(update.version);
    hash_.add_integer(update.entries.size());
    for (const core::Endpoint& entry : update.entries) add(entry);
    for (const core::ReplicaId id : update.unreadable) hash_.add_integer(id);
  }

  void add(const core::Endpoint& endpoint) {
    hash_.add_text(endpoint.address);
    hash_.add_integer(endpoint.replica.id);
    for (const std::uint32_t n : {endpoint.replica.zone, endpoint.replica.kind, endpoint.replica.cell})
      hash_.add_integer(n);
    hash_.add_integer(static_cast<std::uint64_t>(endpoint.replica.health));
    hash_.add_double(endpoint.replica.size);
    hash_.add_double(endpoint.replica.started_at);
  }

  EventRandom random_;
  EndpointMerger merger_{endpoint_sources::Settings{}, sources(3)};
  core::Micros now_ = 100 * core::kSecond;
  std::uint32_t version_ = 1;
  FnvHash hash_;
};

constexpr std::uint64_t kMergeSeed21 = 0x4964a55a5a3bdaau;
constexpr std::uint64_t kMergeSeed22 = 0xd8ec4949d8118dd2u;

TEST(MembershipRecording, FirstStreamOfEvents) { EXPECT_EQ(MergeRecorder(21).play(), kMergeSeed21); }
TEST(MembershipRecording, SecondStreamOfEvents) { EXPECT_EQ(MergeRecorder(22).play(), kMergeSeed22); }

// ---- health gossip, which the simulated fleets do not exchange

constexpr std::uint64_t kReplicas = 12;
constexpr std::uint64_t kRouters = 6;
constexpr int kHealthEvents = 4000;

// Several routers observe the same replicas fail and serve, and send their observations to the first one.
class HealthGossipRecorder {
 public:
  explicit HealthGossipRecorder(std::uint64_t seed)
      : random_(seed), routers_(kRouters, shared::HealthObserver(settings())) {
    for (std::uint64_t replica = 1; replica <= kReplicas; ++replica) ready_.insert(replica);
  }

  std::uint64_t play() {
    for (int i = 0; i < kHealthEvents; ++i) {
      now_ += static_cast<core::Micros>(random_.below(80'000));
      one_event(routers_[random_.below(kRouters)]);
      if (random_.one_in(3)) send_observations(random_.below(kRouters));
      if (random_.one_in(4)) summarize_and_eject();
    }
    return hash_.value();
  }
  std::size_t ejections() const { return ejections_; }

 private:
  static shared::Settings settings() {
    shared::Settings out;
    out.health_gossip = true;
    return out;
  }

  void one_event(shared::HealthObserver& router) {
    const std::uint64_t replica = random_.between(1, kReplicas + 1);
    if (random_.one_in(10)) return router.on_first_event(now_, replica);
    if (fails(replica) && !random_.one_in(10)) return router.on_attempt_ended(now_, replica, failure());
    router.on_attempt_ended(now_, replica, random_.one_in(30) ? failure() : policy::Outcome::ok);
  }

  // Replicas 1 to 4 alternate between failing and serving, 7 s each.
  bool fails(std::uint64_t replica) const {
    return replica <= 4 && (now_ / (7 * core::kSecond) + static_cast<core::Micros>(replica)) % 2 == 0;
  }

  policy::Outcome failure() { return static_cast<policy::Outcome>(random_.below(8)); }

  void send_observations(std::uint64_t router) {
    hash_.add_integer(routers_[router].take_changed());
    coordination::HealthObservations observations;
    observations.set_name("r" + std::to_string(router));
    observations.set_birth(1);
    observations.set_site(router % 2 == 0 ? "north" : "south");
    observations.set_version(++version_);
    for (const coordination::ReplicaObservation& observation : routers_[router].observations(now_)) {
      *observations.add_cases() = observation;
      hash_.add_text(observation.SerializeAsString());
    }
    received_.merge(now_, observations, static_cast<core::Micros>(random_.below(300'000)), 0);
  }

  void summarize_and_eject() {
    const auto summaries = shared::summarize_health(now_, settings_, received_, "r0");
    for (const shared::ReplicaHealthSummary& summary : summaries) {
      hash_.add_integer(summary.replica);
      for (const std::uint32_t n : {summary.bad, summary.good, summary.sites}) hash_.add_integer(n);
      hash_.add_integer(static_cast<std::uint64_t>(summary.age));
    }
    for (const auto& ejection :
         shared::EjectionPolicy(settings_).ejections(now_, summaries, ready_, routers_[0], {kRouters, 2})) {
      ++ejections_;
      hash_.add_integer(ejection.replica);
      hash_.add_integer(static_cast<std::uint64_t>(ejection.span));
    }
  }

  EventRandom random_;
  shared::Settings settings_ = settings();
  std::vector<shared::HealthObserver> routers_;
  shared::VersionedTable<coordination::HealthObservations> received_{kRouters};
  std::set<core::ReplicaId> ready_;
  core::Micros now_ = 100 * core::kSecond;
  std::uint64_t version_ = 0;
  std::size_t ejections_ = 0;
  FnvHash hash_;
};

constexpr std::uint64_t kHealthGossipSeed31 = 0x2476663fb88aa5c3u;

TEST(HealthGossipRecording, ObservationsAndEjections) {
  HealthGossipRecorder recorder(31);
  EXPECT_EQ(recorder.play(), kHealthGossipSeed31);
  EXPECT_GT(recorder.ejections(), 0u);
}

}  // namespace
}  // namespace flintglade::tests
