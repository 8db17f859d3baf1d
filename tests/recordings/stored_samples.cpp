#include "recordings/stored_samples.h"

#include <algorithm>
#include <fstream>
#include <iterator>

#include "coordination/raft_node.h"
#include "coordination/raft_storage.h"
#include "hot_restart/process_slots.h"

namespace flintglade::tests {

// ---- the state snapshot

namespace {

using policy::Health;

policy::TimeInSystem time_in_system(double in_flight_seconds, double arrivals, double updated_at) {
  policy::TimeInSystem out;
  out.in_flight_seconds = in_flight_seconds;
  out.arrivals = arrivals;
  out.updated_at = updated_at;
  return out;
}
policy::DecayingSum decaying_sum(double sum, double updated_at) {
  policy::DecayingSum out;
  out.sum = sum;
  out.updated_at = updated_at;
  return out;
}
core::Endpoint replica(std::uint64_t id, const std::string& address, Health health, double started_at) {
  core::Endpoint out;
  out.address = address;
  out.replica.id = id;
  out.replica.zone = static_cast<std::uint32_t>(id % 3);
  out.replica.kind = static_cast<std::uint32_t>(id % 2 + 4);
  out.replica.cell = static_cast<std::uint32_t>(id % 5 + 7);
  out.replica.health = health;
  out.replica.size = 0.5 + static_cast<double>(id % 4) / 4;
  out.replica.started_at = started_at;
  return out;
}
policy::ReplicaStatistics known_replica(double step) {
  policy::ReplicaStatistics out;
  out.health = 0.875 - step / 16;
  out.health_updated_at = 5.25 + step / 8;
  out.slow_start_tokens = 1200.5 + step;
  out.slow_start_updated_at = 4.5 + step / 8;
  out.time_in_system = time_in_system(3.5 + step, 2.25 + step, 5.125);
  out.rejecting_until = 6.5 + step;
  out.unreachable_until = 7.75 + step;
  out.consecutive_connect_failures = 3 + static_cast<int>(step);
  return out;
}
void fill_tables(policy::LearnedState& learned) {
  learned.time_in_system_by_kind[4] = time_in_system(11.5, 6.25, 5.5);
  learned.time_in_system_by_kind[5] = time_in_system(12.5, 7.25, 5.75);
  learned.prefill_costs[4].seconds_per_token = 0.000125;
  learned.prefill_costs[4].samples = 20.0;
  learned.prefill_costs[5].seconds_per_token = 0.00025;
  learned.prefill_costs[5].samples = 3.5;
  learned.largest_live_size[4] = 2.5;
  learned.largest_live_size[5] = 0.75;
  learned.zones[0].unreachable_until = 8.25;
  learned.zones[0].consecutive_connect_failures = 2;
  learned.zones[2].unreachable_until = 0.5;
  learned.zones[2].consecutive_connect_failures = 0;
  for (std::uint64_t i = 1; i <= 5; ++i) {
    policy::PrefixState& prefix = learned.prefixes[0x9e3779b97f4a7c15u * i];
    prefix.work = decaying_sum(1000.25 * static_cast<double>(i), 5.0 + static_cast<double>(i) / 16);
    prefix.replicas = static_cast<int>(i);
  }
  learned.first_event_latency = {{0.25, 0.125}, {0.5, 0.0625}};
  learned.mean_class_work = {1.5, 2.75};
  learned.quota_tokens = {40.5, -2.25, 0.0};
  learned.quota_updated_at = {5.5, 5.625, 0.25};
}
void fill_sums(policy::LearnedState& learned) {
  learned.started_at = 0.5;
  learned.time_in_system = time_in_system(21.5, 13.25, 5.875);
  learned.arrived_work = decaying_sum(101.5, 5.8125);
  learned.hot_window_work = decaying_sum(102.5, 5.75);
  learned.late_answers = decaying_sum(3.5, 5.6875);
  learned.answers = decaying_sum(104.5, 5.625);
  learned.same_prefix_pairs = 201.5;
  learned.all_pairs = 302.5;
  learned.prefix_widening = 1.75;
  learned.admitted_share = 0.9375;
  learned.own_zone_share = 0.8125;
  learned.mean_value = 0.625;
  learned.mean_raw_work = 0.375;
  learned.mean_prompt_tokens = 2048.5;
  learned.peak_fleet_size = 17.5;
  learned.retry_tokens = 1.25;
  learned.hedge_tokens = 2.125;
}

}  // namespace

const hot_restart::Origin& state_writer() {
  static const hot_restart::Origin writer{"n1", "127.0.0.1:8500", 1'000'000, 1'790'000'000'000'000};
  return writer;
}

core::Broker::ProcessSnapshot sample_state() {
  core::Broker::ProcessSnapshot out;
  out.version = 43;
  out.entries = {replica(0xa1b2c3d4e5f60708u, "10.1.0.18:8000", Health::ready, 2.5),
                 replica(0x0102030405060708u, "[fd00::7]:8000", Health::draining, 0.0),
                 replica(77, "10.1.0.20:9000", Health::gone, -3600.25)};
  out.retired = {{0x0102030405060708u, 4'250'000, 42}, {77, 3'125'000, 41}};
  fill_sums(out.learned);
  fill_tables(out.learned);
  for (std::size_t i = 0; i < out.entries.size(); ++i) {
    const std::uint64_t id = out.entries[i].replica.id;
    out.learned.replicas[id] = known_replica(static_cast<double>(i));
    out.learned.slots.push_back(id);
  }
  out.learned.own_zone_slots = {77, 0xa1b2c3d4e5f60708u};
  return out;
}

// ---- a voter's file

namespace {

// A version byte, the number of voters (8 bytes), and for each voter its id (8), its zero-terminated address
// (14) and its role (1).
constexpr std::ptrdiff_t kEncodedVoters = 1 + 8 + 3 * (8 + 14 + 1);

std::vector<coordination::Voter> voters() {
  std::vector<coordination::Voter> out(3);
  for (std::uint64_t id = 1; id <= out.size(); ++id) {
    out[id - 1].set_id(id);
    out[id - 1].set_at("10.0.0." + std::to_string(id) + ":7000");
    out[id - 1].set_votes(true);
  }
  return out;
}
coordination::Command grant(const std::string& job, const std::string& owner, std::uint64_t incarnation,
                            std::uint64_t seen) {
  coordination::Command out;
  out.mutable_grant()->set_job(job);
  out.mutable_grant()->set_owner(owner);
  out.mutable_grant()->set_birth(incarnation);
  out.mutable_grant()->set_seen(seen);
  return out;
}
coordination::Command renew() {
  coordination::Command out;
  out.mutable_renew()->set_owner("r1");
  out.mutable_renew()->set_birth(1001);
  out.mutable_renew()->add_held()->set_job("bank");
  out.mutable_renew()->mutable_held(0)->set_number(1);
  return out;
}
coordination::Command release() {
  coordination::Command out;
  out.mutable_release()->set_job("list-north");
  out.mutable_release()->set_number(2);
  return out;
}
coordination::Command move() {
  coordination::Command out;
  out.mutable_move()->set_job("bank");
  out.mutable_move()->set_to("r3");
  return out;
}
coordination::Command draw() {
  coordination::Command out;
  coordination::StockDraw& stock_draw = *out.mutable_draw();
  stock_draw.set_job("bank");
  stock_draw.set_number(1);
  stock_draw.set_serial(5);
  stock_draw.set_stock("monthly");
  stock_draw.set_window(681);
  stock_draw.set_amount(250'000);
  stock_draw.set_whole(1'000'000);
  return out;
}
coordination::Frame vote(std::uint64_t term, std::uint64_t voted_for) {
  coordination::Frame out;
  out.mutable_vote()->set_term(term);
  out.mutable_vote()->set_voted_for(voted_for);
  return out;
}
coordination::Frame entry(std::uint64_t index, std::uint64_t term, const coordination::Command& command) {
  coordination::Frame out;
  out.mutable_entry()->set_index(index);
  out.mutable_entry()->set_term(term);
  out.mutable_entry()->set_type(RAFT_COMMAND);
  out.mutable_entry()->set_data(command.SerializeAsString());
  return out;
}
coordination::Frame truncate(std::uint64_t index) {
  coordination::Frame out;
  out.set_truncate(index);
  return out;
}
// Of the entries up to index 4; the log keeps entries 3 and 4.
coordination::Frame snapshot() {
  coordination::LeaseStateMachine leases;
  leases.apply(grant("bank", "r1", 1001, 0));
  leases.apply(grant("list-north", "r2", 1002, 0));
  leases.apply(draw());
  coordination::Frame out;
  coordination::Snapshot& saved = *out.mutable_snapshot();
  saved.set_index(4);
  saved.set_term(3);
  saved.set_conf_index(1);
  for (const coordination::Voter& voter : voters()) {
    coordination::Server& server = *saved.add_servers();
    server.set_id(voter.id());
    server.set_at(voter.at());
    server.set_role(RAFT_VOTER);
  }
  saved.set_data(leases.save());
  saved.set_first_kept(3);
  return out;
}
std::vector<coordination::Frame> appended_frames() {
  return {vote(2, 1),          entry(2, 2, grant("bank", "r1", 1001, 0)),
          entry(3, 2, move()), vote(3, kVoterId),
          truncate(3),         entry(3, 3, grant("list-north", "r2", 1002, 0)),
          entry(4, 3, draw()), entry(5, 3, renew()),
          snapshot(),          entry(6, 3, release()),
          entry(7, 3, move())};
}

}  // namespace

coordination::PersistentState sample_voter_memory() {
  coordination::PersistentState out;
  out.head.set_fleet(kVoterFleet);
  out.head.set_id(kVoterId);
  out.head.set_version(1);
  out.vote = vote(3, kVoterId).vote();
  out.has_snapshot = true;
  out.snapshot = snapshot().snapshot();
  out.first_index = 3;
  for (const coordination::Frame& frame :
       {entry(3, 3, grant("list-north", "r2", 1002, 0)), entry(4, 3, draw()), entry(5, 3, renew()),
        entry(6, 3, release()), entry(7, 3, move())})
    out.entries.push_back(frame.entry());
  return out;
}

std::string write_voter_record(const std::string& directory) {
  coordination::PersistentState first =
      coordination::RaftNode::initial_state(kVoterFleet, kVoterId, voters());
  // The Raft library pads the encoded voters to a multiple of eight bytes with uninitialised memory.
  std::string& encoded = *first.entries.front().mutable_data();
  std::fill(encoded.begin() + kEncodedVoters, encoded.end(), '\0');
  absl::Status status = coordination::FileRaftStorage::create(directory, first);
  if (!status.ok()) return std::string(status.message());
  coordination::FileRaftStorage storage;
  status = storage.open(directory).status();
  for (const coordination::Frame& frame : appended_frames()) {
    if (status.ok()) status = storage.append(coordination::encode_log_frame(frame));
  }
  return std::string(status.message());
}

// ---- the counter rows that a router keeps over a restart

namespace {

coordination::RequestCounts count(std::uint64_t served, std::uint64_t refused, std::uint64_t failed,
                                  std::uint64_t tokens, std::uint64_t priority_weight) {
  coordination::RequestCounts out;
  out.set_served(served);
  out.set_refused(refused);
  out.set_failed(failed);
  out.set_tokens(tokens);
  out.set_worth(priority_weight);
  return out;
}

}  // namespace

shared::SharedState sharing_router(const std::string& name, const std::string& site,
                                   std::uint64_t incarnation) {
  membership::Self self;
  self.name = name;
  self.site = site;
  self.at = "10.0.0.1:7000";
  self.birth = incarnation;
  return shared::SharedState(shared::Settings{}, shared::SharedState::Ports{}, self, 1);
}

std::string sample_shared_state() {
  constexpr core::Micros kSealed = 40 * core::kSecond;
  shared::SharedState other = sharing_router("r1", "north", 100);
  other.on_counts(kSealed - core::kSecond, {{{"acme", "chat"}, count(7, 2, 1, 5000, 35'000)}});
  other.on_counts(kSealed, {{{"acme", "batch"}, count(4, 0, 0, 90'000, 4000)},
                            {{"acme", "chat"}, count(11, 3, 2, 8000, 55'000)}});
  shared::SharedState earlier = sharing_router("r2", "south", 200);
  earlier.on_counts(kSealed, {{{"umbra", "chat"}, count(20, 5, 1, 12'000, 100'000)}});
  shared::SharedState now = sharing_router("r2", "south", 300);
  if (!now.restore(kSealed, other.snapshot(kSealed + 2 * core::kSecond)).ok()) std::abort();
  if (!now.restore(kSealed, earlier.snapshot(kSealed + 3 * core::kSecond)).ok()) std::abort();
  now.on_counts(kSealed + 5 * core::kSecond, {{{"umbra", "chat"}, count(2, 0, 0, 900, 10'000)}});
  return now.snapshot(kSharedWrittenAt);
}

// ---- the processes' slots

std::string write_process_slots(const std::string& folder) {
  hot_restart::ProcessSlots first, second;
  if (!first.join(folder, kSlotsRouter).ok()) return "";
  first.publish({hot_restart::ProcessStage::draining, 812, 700'000, 0, 0});
  if (!second.join(folder, kSlotsRouter).ok()) return "";
  second.publish({hot_restart::ProcessStage::serving, 120, 4096, 0, 0});
  return file_contents(folder + kSlotsName);
}

std::string file_contents(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace flintglade::tests
