#include "fleet/sim.h"

#include <algorithm>

#include "coordination/raft_log.h"

namespace flintglade::tests {
namespace {

constexpr Micros kStep = 5 * core::kMilli;

struct MemoryDisk final : coordination::RaftStorage {
  std::string bytes;
  bool fails = false;
  absl::Status append(const std::string& more) override {
    if (fails) return absl::ResourceExhaustedError("no space");
    bytes += more;
    return absl::OkStatus();
  }
  absl::Status rewrite(const std::string& all) override {
    if (fails) return absl::ResourceExhaustedError("no space");
    bytes = all;
    return absl::OkStatus();
  }
};

// A router of the fleet. Its process is running if `protocol` is set.
struct SimulatedRouter {
  coordination::CoordinationSettings settings;
  std::unique_ptr<coordination::CoordinationProtocol> protocol;
  std::unique_ptr<MemoryDisk> disk;  // of a voter
  double clock_rate = 1.0;
  Micros clock_offset = 0, paused_until = 0, down_until = 0, next_effect = 0;
  std::map<std::string, std::uint64_t>
      accepted_numbers;  // by job: the highest number whose effect it has accepted
  // Shared state.
  std::unique_ptr<shared::SharedState> shared_state;
  std::unique_ptr<shared::QuotaHolder> quota_holder;
  shared::ReplicatedCounter::Counts counts;
  double weight = 0;     // relative share of all requests
  bool leaving = false;  // has begun to leave and has not left yet
  Micros next_lease_request = 0, next_count_report = 0, unix_offset = 0;
  Micros local(Micros t) const {
    return clock_offset + static_cast<Micros>(clock_rate * static_cast<double>(t));
  }
};

struct PacketInFlight {
  Micros due;
  std::size_t from, to;
  std::string bytes;
};

class Simulation {
 public:
  Simulation(const World& world, const std::vector<Fault>& faults)
      : world_(world), faults_(faults), random_(world.seed) {
    if (!world.budgets.empty()) quota_level_ = static_cast<double>(world.budgets[0].burst);
    std::vector<coordination::VoterAddress> voters;
    for (unsigned i = 0; i < world.voters; ++i) voters.push_back({name(i), i + 1, address(i)});
    for (unsigned i = 0; i < world.routers; ++i) {
      SimulatedRouter& router = routers_.emplace_back();
      router.settings.membership.fleet = "test";
      router.settings.membership.seeds = {address(0), address(1)};
      router.settings.self = {name(i), i % 2 == 0 ? "north" : "south", address(i), 1'000'000 + i};
      router.settings.voters = voters;
      router.settings.lease_times = i < world.voters ? world.leaders : world.owners;
      for (unsigned j = 0; j < world.jobs; ++j)
        router.settings.jobs.push_back({"job" + std::to_string(j), ""});
      router.clock_rate = 1.0 + world.drift / 2 * (2.0 * std::uniform_real_distribution<>()(random_) - 1.0);
      router.clock_offset = std::uniform_int_distribution<Micros>(0, 1000 * core::kSecond)(random_);
      router.weight = world.skew > 0 ? (i == 0 ? world.skew : 1.0) : 1.0 / (1.0 + i);
      if (!world.budgets.empty()) router.settings.jobs.push_back({shared::kQuotaAllocatorLease, ""});
      if (i < world.voters) {
        router.disk = std::make_unique<MemoryDisk>();
        std::vector<coordination::Voter> initial_voters;
        for (const auto& v : voters) {
          coordination::Voter& voter = initial_voters.emplace_back();
          voter.set_id(v.id);
          voter.set_at(v.address);
        }
        router.disk->bytes = coordination::encode_raft_log(
            coordination::RaftNode::initial_state("test", i + 1, initial_voters));
      }
      start(i);
    }
  }

  SimulationResult run() {
    for (now_ = 0; now_ < world_.ends * core::kMilli && result_.violation.empty(); now_ += kStep) {
      step();
      step_shared_state();
    }
    if (!world_.budgets.empty() && result_.violation.empty()) check_final_counts();
    if (result_.violation.empty() && result_.longest_gap_ms > 8000)
      result_.violation = "a job had no owner for more than 8 s after the faults" + describe_state();
    return result_;
  }

 private:
  std::string describe_state() const {
    std::string out;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (!is_running(i)) continue;
      const coordination::Status status = routers_[i].protocol->status(routers_[i].local(now_));
      out += "\n" + name(i) + " " + status.role() + " term " + std::to_string(status.term()) + " applied " +
             std::to_string(status.index()) + " of " + std::to_string(status.last_index()) + " leader " +
             status.leader_at() + (status.displaced() ? " displaced" : "") + status.why_halted();
      for (const coordination::Job& job : status.table().jobs())
        out += " " + job.name() + "=" + std::to_string(job.number()) + ":" + job.owner() + ":" + job.wanted();
      for (const coordination::HeldLease& lease : status.held()) out += " holds " + lease.job();
    }
    return out;
  }
  static std::string name(std::size_t i) { return "r" + std::to_string(i); }
  static std::string address(std::size_t i) { return "10.0.0." + std::to_string(i + 1) + ":7000"; }
  bool is_running(std::size_t i) const { return routers_[i].protocol != nullptr; }
  bool is_awake(std::size_t i) const { return is_running(i) && now_ >= routers_[i].paused_until; }

  void start(std::size_t i) {
    SimulatedRouter& router = routers_[i];
    router.settings.self.birth += 1000;
    router.protocol = std::make_unique<coordination::CoordinationProtocol>(router.settings, random_());
    if (!world_.budgets.empty()) start_sharing(i);
    if (router.disk) {
      router.disk->fails = false;
      absl::StatusOr<coordination::DecodedRaftLog> log = coordination::decode_raft_log(router.disk->bytes);
      if (!log.ok())
        return report_violation("a voter could not decode its own Raft log: " +
                                std::string(log.status().message()));
      router.disk->bytes.resize(router.disk->bytes.size() - log->torn_bytes);
      const absl::Status started = router.protocol->start_voting(std::move(log->state), *router.disk);
      if (!started.ok())
        return report_violation("a voter could not start: " + std::string(started.message()));
    }
    router.protocol->start(router.local(now_));
    flush_output(i);
  }

  void report_violation(const std::string& what) {
    if (result_.violation.empty()) result_.violation = std::to_string(now_ / 1000) + " ms: " + what;
  }

  bool passes(std::size_t from, std::size_t to, Micros& delay) {
    delay = 500 + std::uniform_int_distribution<Micros>(0, 2000)(random_);
    for (const Fault& fault : faults_) {
      const Micros begin = fault.at * core::kMilli, end = begin + fault.length * core::kMilli;
      if (now_ < begin || now_ >= end || now_ >= world_.faults_until * core::kMilli) continue;
      const std::size_t who = fault.who % world_.routers, whom = fault.whom % world_.routers;
      switch (fault.kind) {
        case Fault::Kind::cut_off:
          if (from == who || to == who) return false;
          break;
        case Fault::Kind::cut_from:
          if ((from == who && to < world_.voters) || (to == who && from < world_.voters)) return false;
          break;
        case Fault::Kind::split:
          if ((from <= who) != (to <= who)) return false;
          break;
        case Fault::Kind::one_way:
          if (from == who && (fault.whom % 3 == 0 || to == whom)) return false;
          break;
        case Fault::Kind::lossy:
          if (random_() % 3 == 0) return false;
          break;
        case Fault::Kind::slow:
          delay += std::uniform_int_distribution<Micros>(0, 800 * core::kMilli)(random_);
          break;
        case Fault::Kind::stuck:  // its packets leave the machine when the fault ends
          if (from == who) delay += end - now_;
          break;
        default:
          break;
      }
    }
    return true;
  }

  // The trace is deterministic because no packet contains a Status, whose maps protobuf serializes in no
  // fixed order: the simulation sends no Query.
  void record(std::size_t sender, const membership::Datagram& datagram) {
    ++result_.datagrams;
    result_.trace.add_integer(static_cast<std::uint64_t>(now_));
    result_.trace.add_integer(sender);
    result_.trace.add_text(datagram.to);
    result_.trace.add_text(datagram.bytes);
  }
  void record(std::size_t receiver, const coordination::JobNotification& notification) {
    result_.trace.add_integer(static_cast<std::uint64_t>(now_));
    result_.trace.add_integer(receiver);
    result_.trace.add_integer(static_cast<std::uint64_t>(notification.kind));
    result_.trace.add_text(notification.job);
    result_.trace.add_integer(notification.number);
  }

  void flush_output(std::size_t i) {
    std::vector<coordination::JobNotification> notifications = routers_[i].protocol->take_notifications();
    if (SimulatedRouter& router = routers_[i]; router.shared_state) {
      for (const coordination::JobNotification& notification : notifications)
        router.shared_state->receive(router.local(now_), *router.protocol, notification);
    }
    for (const coordination::JobNotification& notification : notifications) record(i, notification);
    for (membership::Datagram& datagram : routers_[i].protocol->take_datagrams()) {
      record(i, datagram);
      for (std::size_t to = 0; to < routers_.size(); ++to) {
        if (address(to) != datagram.to) continue;
        Micros delay = 0;
        if (!passes(i, to, delay)) continue;
        in_flight_.push_back({now_ + delay, i, to, datagram.bytes});
        if (random_() % 50 == 0)
          in_flight_.push_back({now_ + 3 * delay, i, to, datagram.bytes});  // duplicated
      }
    }
    for (const coordination::JobNotification& notification : notifications) {
      if (notification.kind != coordination::JobNotification::Kind::effect) continue;
      ++result_.effects;
      std::uint64_t& highest = routers_[i].accepted_numbers[notification.job];
      if (notification.number < highest)
        report_violation(name(i) + " accepted number " + std::to_string(notification.number) + " of " +
                         notification.job + " after " + std::to_string(highest));
      highest = std::max(highest, notification.number);
    }
    for (const coordination::Event& event : routers_[i].protocol->take_events()) {
      result_.refused += event.name == "stale_fencing_token";
      if (event.name == "lease_tables_differ")
        report_violation(name(i) + " has another lease table than voter " + event.fields[0].second +
                         " after entry " + event.fields[1].second);
      if (event.name != "lease_granted") continue;
      // Each process of a voter applies each grant once, and no number is granted to two owners.
      const std::string owner = event.fields[0].second + " " + event.fields[2].second;
      const auto [it, fresh] = granted_.emplace(event.fields[1].second, owner);
      if (!fresh && it->second != owner)
        report_violation("number " + event.fields[1].second + " was granted as " + it->second + " and as " +
                         owner);
      result_.grants += fresh;
    }
  }

  void step() {
    for (const Fault& fault : faults_) {
      if (fault.at * core::kMilli < now_ || fault.at * core::kMilli >= now_ + kStep ||
          fault.at >= world_.faults_until)
        continue;
      const std::size_t who = fault.who % world_.routers;
      const Micros until =
          std::min<Micros>(now_ + fault.length * core::kMilli, world_.faults_until * core::kMilli);
      SimulatedRouter& router = routers_[who];
      if (fault.kind == Fault::Kind::pause) router.paused_until = std::max(router.paused_until, until);
      if (fault.kind == Fault::Kind::crash && is_running(who)) {
        router.shared_state.reset();
        router.protocol.reset();
        router.down_until = until;
        router.paused_until = 0;
        router.accepted_numbers.clear();  // a new process has accepted nothing yet
        if (router.disk && world_.disks_forget) router.disk->bytes.resize(router.disk->bytes.size() * 3 / 4);
      }
      if (fault.kind == Fault::Kind::disk_fails && router.disk) router.disk->fails = true;
      if (fault.kind == Fault::Kind::move && is_awake(who)) {
        // The packet that an operator's `fleet move` sends to the voters.
        coordination::Packet packet;
        packet.set_fleet("test");
        packet.set_from("operator");
        packet.mutable_request()->set_number(1);
        packet.mutable_request()->mutable_command()->mutable_move()->set_job(
            "job" + std::to_string(fault.whom % world_.jobs));
        packet.mutable_request()->mutable_command()->mutable_move()->set_to(name(fault.who % world_.routers));
        for (std::size_t v = 0; v < world_.voters; ++v)
          in_flight_.push_back({now_ + core::kMilli, v, v, packet.SerializeAsString()});
      }
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      // After the faults the operator restarts the process of a halted voter.
      if (is_running(i) && routers_[i].protocol->raft_node() != nullptr &&
          routers_[i].protocol->raft_node()->role() == "halted" &&
          now_ >= world_.faults_until * core::kMilli) {
        routers_[i].shared_state.reset();
        routers_[i].protocol.reset();
        routers_[i].down_until = now_;
        routers_[i].accepted_numbers.clear();  // a new process has accepted nothing yet, as after a crash
      }
      if (!is_running(i) && now_ >= routers_[i].down_until) start(i);
    }
    leave();
    std::vector<PacketInFlight> due;
    for (std::size_t k = 0; k < in_flight_.size();) {
      const PacketInFlight& packet = in_flight_[k];
      // Packets for a stopped process wait in its socket.
      if (packet.due > now_ || (is_running(packet.to) && !is_awake(packet.to))) {
        ++k;
        continue;
      }
      due.push_back(std::move(in_flight_[k]));
      in_flight_[k] = std::move(in_flight_.back());
      in_flight_.pop_back();
    }
    std::sort(due.begin(), due.end(), [](const PacketInFlight& first, const PacketInFlight& second) {
      return first.due < second.due;
    });
    for (const PacketInFlight& packet : due) {
      if (!is_running(packet.to)) continue;
      SimulatedRouter& router = routers_[packet.to];
      if (!world_.fenced) {
        // Planted bug: a receiver without fencing. The check uses the numbers it has accepted.
        coordination::Packet received;
        if (received.ParseFromString(packet.bytes) && received.has_effect()) {
          std::uint64_t& highest = router.accepted_numbers[received.effect().job()];
          if (received.effect().number() < highest)
            report_violation("a receiver without fencing accepted a lower fencing token than before");
          highest = std::max(highest, received.effect().number());
        }
      }
      router.protocol->receive(router.local(now_), address(packet.from), packet.bytes);
      flush_output(packet.to);
    }
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      if (!is_awake(i)) continue;
      SimulatedRouter& router = routers_[i];
      if (router.local(now_) >= router.protocol->next_timer()) router.protocol->tick(router.local(now_));
      if (now_ >= router.next_effect) {
        router.next_effect = now_ + 100 * core::kMilli;
        for (unsigned j = 0; j < world_.jobs; ++j) {
          coordination::Effect effect;
          effect.set_job("job" + std::to_string(j));
          router.protocol->send_effect(router.local(now_), effect, "");
        }
      }
      flush_output(i);
    }
    // Mutual exclusion of leases: at most one router may act as the owner of a job at any time.
    for (unsigned j = 0; j < world_.jobs; ++j) {
      const std::string job = "job" + std::to_string(j);
      std::string owner;
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        if (!is_awake(i) || !routers_[i].protocol->has_valid_lease(routers_[i].local(now_), job)) continue;
        if (!owner.empty())
          report_violation("the lease on " + job + " is valid at both " + owner + " and " + name(i));
        owner = name(i);
      }
      Micros& last_owned = last_owned_[job];
      if (!owner.empty()) last_owned = now_;
      const double gap = static_cast<double>(now_ - last_owned) / 1000.0;
      result_.gap_ms = std::max(result_.gap_ms, gap);
      if (now_ > world_.faults_until * core::kMilli)
        result_.longest_gap_ms = std::max(
            result_.longest_gap_ms, std::min(gap, static_cast<double>(now_ / 1000 - world_.faults_until)));
    }
  }

  void leave() {
    if (world_.leave_at == 0) return;
    for (const std::size_t i : {std::size_t{0}, routers_.size() - 1}) {
      SimulatedRouter& router = routers_[i];
      if (!is_awake(i)) continue;
      if (now_ == world_.leave_at * core::kMilli) {
        router.protocol->leave(router.local(now_));
        router.leaving = true;
        flush_output(i);
      }
      if (!router.leaving || !router.protocol->has_left(router.local(now_))) continue;
      router.shared_state.reset();
      router.protocol.reset();
      router.leaving = false;
      router.down_until = now_ + core::kSecond;
      router.accepted_numbers.clear();
    }
  }

  // ---- shared state

  Micros unix_time(const SimulatedRouter& router) const {
    return 1'700'000'000 * core::kSecond + now_ + router.unix_offset;
  }

  void start_sharing(std::size_t i) {
    SimulatedRouter& router = routers_[i];
    shared::Settings settings;
    settings.budgets = world_.budgets;
    settings.max_requests_per_s = 4 * world_.requests_per_s;
    shared::SharedState::Ports ports;
    ports.unix_time = [this, i] { return unix_time(routers_[i]); };
    ports.on_lease = [this, i](const coordination::QuotaLease& lease) {
      routers_[i].quota_holder->on_lease(routers_[i].local(now_), lease);
    };
    ports.lend = [this, i](const std::string& requester, const coordination::QuotaRequest& request) {
      SimulatedRouter& own = routers_[i];
      if (const auto lease = own.quota_holder->lend(own.local(now_), request))
        own.shared_state->send_lease(own.local(now_), *own.protocol, requester, *lease);
    };
    ports.on_health_summaries = [](const std::vector<shared::ReplicaHealthSummary>&, shared::FleetSize) {};
    router.shared_state =
        std::make_unique<shared::SharedState>(settings, std::move(ports), router.settings.self, random_());
    std::vector<shared::Budget> budgets = world_.budgets;
    for (shared::Budget& budget : budgets) {
      if (world_.over_reserve) budget.reserved_share = 0.6;
    }
    router.quota_holder = std::make_unique<shared::QuotaHolder>(
        budgets, std::vector<std::string>{"q", "s"}, router.settings.self.birth, router.local(now_));
    router.counts.clear();
  }

  void step_shared_state() {
    if (world_.budgets.empty()) return;
    const shared::Budget& quota = world_.budgets[0];
    // The allocator may mint faster by as much as its clock drifts.
    quota_level_ =
        std::min<double>(static_cast<double>(quota.burst),
                         quota_level_ + static_cast<double>(quota.per_s) * (1 + world_.drift) * kStep / 1e6);
    double weights = 0;
    for (const SimulatedRouter& router : routers_) weights += router.weight;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      SimulatedRouter& router = routers_[i];
      if (i == 1 && now_ > world_.faults_until * core::kMilli / 2)
        router.unix_offset = static_cast<Micros>(world_.unix_step_s * 1e6);
      for (const ClockStep& clock_step : world_.clock_steps) {
        const Micros at = clock_step.at * core::kMilli;
        if (clock_step.who == i && at >= now_ && at < now_ + kStep)
          router.unix_offset += static_cast<Micros>(clock_step.seconds * 1e6);
      }
      if (!is_awake(i)) continue;
      const Micros local = router.local(now_);
      for (std::uint32_t team = 0; team < 2; ++team) {
        const double mean = world_.requests_per_s * router.weight / weights * kStep / 1e6;
        for (int n = std::poisson_distribution<>(mean)(random_); n > 0; --n) serve(router, team, local);
      }
      if (now_ >= router.next_lease_request) {
        router.next_lease_request = now_ + 50 * core::kMilli;
        for (const auto& due : router.quota_holder->due_requests(local))
          router.shared_state->request_lease(local, *router.protocol, due.request, due.to_peer);
        for (const coordination::QuotaReturn& message : router.quota_holder->take_returns())
          router.shared_state->return_lease(local, *router.protocol, message);
      }
      if (now_ >= router.next_count_report) {
        router.next_count_report = now_ + core::kSecond;
        router.shared_state->on_counts(local, router.counts);
        if (world_.check_bounds) check_bounds_at(i);
      }
      if (local >= router.shared_state->next_timer()) router.shared_state->tick(local, *router.protocol);
      flush_output(i);
    }
  }

  void serve(SimulatedRouter& router, std::uint32_t team, Micros local) {
    result_.wanted += team == 0;
    coordination::RequestCounts& count = router.counts[{team == 0 ? "q" : "s", "chat"}];
    if (router.quota_holder->spend(local, team, 0).verdict != shared::QuotaHolder::Verdict::within) {
      count.set_refused(count.refused() + 1);
      return;
    }
    count.set_served(count.served() + 1);
    ++true_count_;
    if (team == 0) {
      ++result_.served;
      quota_level_ -= shared::kUnit;
      if (quota_level_ < -1) report_violation("the quota was overspent by " + std::to_string(-quota_level_));
    } else {
      const std::uint64_t served = ++stock_served_[unix_time(SimulatedRouter{}) / world_.budgets[1].window];
      result_.stock_served = std::max(result_.stock_served, served);
      if (static_cast<shared::Amount>(served) * shared::kUnit > world_.budgets[1].window_total)
        report_violation("a stock of " + std::to_string(world_.budgets[1].window_total / shared::kUnit) +
                         " was overspent");
    }
  }

  std::pair<std::uint64_t, std::uint64_t> served_bounds(const SimulatedRouter& router) const {
    std::uint64_t lower = 0, upper = 0;
    for (const auto& [key, total] : router.shared_state->counter().totals(router.local(now_))) {
      lower += total.count.served();
      upper += total.max_served;
    }
    return {lower, upper};
  }

  void check_bounds_at(std::size_t i) {
    const auto [lower, upper] = served_bounds(routers_[i]);
    std::set<std::string> known_routers;
    for (const auto& [process, row] : routers_[i].shared_state->counter().table().rows())
      known_routers.insert(process.router);
    if (lower > true_count_ || (known_routers.size() == routers_.size() && upper < true_count_))
      report_violation(name(i) + " has bounds " + std::to_string(lower) + " and " + std::to_string(upper) +
                       " for a true count of " + std::to_string(true_count_));
  }

  // After the last fault all routers must converge on the same total. It equals the true count unless a
  // process crashed or halted, and may be lower then, because such a process can have served requests that it
  // never published.
  void check_final_counts() {
    std::set<std::uint64_t> totals;
    for (std::size_t i = 0; i < routers_.size(); ++i) {
      routers_[i].shared_state->on_counts(routers_[i].local(now_), routers_[i].counts);
    }
    for (const Micros end = now_ + 12 * core::kSecond; now_ < end; now_ += kStep) {
      step();
      for (std::size_t i = 0; i < routers_.size(); ++i) {
        SimulatedRouter& router = routers_[i];
        if (router.local(now_) >= router.shared_state->next_timer())
          router.shared_state->tick(router.local(now_), *router.protocol);
        flush_output(i);
      }
    }
    std::uint64_t crashes = 0;
    for (const Fault& fault : faults_)
      crashes += fault.kind == Fault::Kind::crash || fault.kind == Fault::Kind::disk_fails;
    std::string text;
    for (const SimulatedRouter& router : routers_) {
      totals.insert(served_bounds(router).first);
      text += " " + std::to_string(served_bounds(router).first);
      const coordination::Status status = [&] {
        coordination::Status out;
        router.shared_state->status(router.local(now_), *router.protocol, out);
        return out;
      }();
      result_.packets += status.shared().counters().at("sent");
      result_.bytes += status.shared().counters().at("bytes_sent");
    }
    if (totals.size() != 1 || *totals.begin() > true_count_ ||
        (crashes == 0 && *totals.begin() != true_count_))
      report_violation("at the end the routers' totals are" + text + " for a true count of " +
                       std::to_string(true_count_));
  }

  World world_;
  std::vector<Fault> faults_;
  std::mt19937_64 random_;
  std::deque<SimulatedRouter> routers_;
  std::vector<PacketInFlight> in_flight_;
  std::map<std::string, std::string> granted_;  // by fencing token: job and owner
  std::map<std::string, Micros> last_owned_;    // by job: last time that it had an owner
  Micros now_ = 0;
  double quota_level_ = 0;  // of a token bucket that checks the whole fleet's requests against the quota
  std::uint64_t true_count_ = 0;                        // requests served by all routers
  std::map<std::int64_t, std::uint64_t> stock_served_;  // requests served from the stock, by window
  SimulationResult result_;
};

}  // namespace

SimulationResult play(const World& world, const std::vector<Fault>& faults) {
  return Simulation(world, faults).run();
}

}  // namespace flintglade::tests
