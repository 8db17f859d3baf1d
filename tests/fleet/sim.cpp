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

struct Box {
  coordination::CoordinationSettings settings;
  std::unique_ptr<coordination::CoordinationProtocol> agent;
  std::unique_ptr<MemoryDisk> disk;  // of a voter
  double rate = 1.0;
  Micros offset = 0, paused_until = 0, down_until = 0, next_effect = 0;
  std::map<std::string, std::uint64_t> taken;  // the highest number whose effect it took
  // What it shares.
  std::unique_ptr<shared::SharedState> shared_state;
  std::unique_ptr<shared::QuotaHolder> wallet;
  shared::ReplicatedCounter::Counts counts;
  double weight = 0;    // of all requests
  bool leaves = false;  // it has been told to, and has not left yet
  Micros next_ask = 0, next_count = 0, unix_ahead = 0;
  Micros local(Micros t) const { return offset + static_cast<Micros>(rate * static_cast<double>(t)); }
};

struct Flying {
  Micros due;
  std::size_t from, to;
  std::string bytes;
};

class Play {
 public:
  Play(const World& world, const std::vector<Fault>& faults)
      : world_(world), faults_(faults), random_(world.seed) {
    if (!world.budgets.empty()) level_ = static_cast<double>(world.budgets[0].burst);
    std::vector<coordination::VoterAddress> voters;
    for (unsigned i = 0; i < world.voters; ++i) voters.push_back({name(i), i + 1, at(i)});
    for (unsigned i = 0; i < world.routers; ++i) {
      Box& b = boxes_.emplace_back();
      b.settings.membership.fleet = "test";
      b.settings.membership.seeds = {at(0), at(1)};
      b.settings.self = {name(i), i % 2 == 0 ? "north" : "south", at(i), 1'000'000 + i};
      b.settings.voters = voters;
      b.settings.lease_times = i < world.voters ? world.leaders : world.owners;
      for (unsigned j = 0; j < world.jobs; ++j) b.settings.jobs.push_back({"job" + std::to_string(j), ""});
      b.rate = 1.0 + world.drift / 2 * (2.0 * std::uniform_real_distribution<>()(random_) - 1.0);
      b.offset = std::uniform_int_distribution<Micros>(0, 1000 * core::kSecond)(random_);
      b.weight = world.skew > 0 ? (i == 0 ? world.skew : 1.0) : 1.0 / (1.0 + i);
      if (!world.budgets.empty()) b.settings.jobs.push_back({shared::kQuotaAllocatorLease, ""});
      if (i < world.voters) {
        b.disk = std::make_unique<MemoryDisk>();
        std::vector<coordination::Voter> first;
        for (const auto& v : voters) {
          coordination::Voter& one = first.emplace_back();
          one.set_id(v.id);
          one.set_at(v.address);
        }
        b.disk->bytes =
            coordination::encode_raft_log(coordination::RaftNode::initial_state("test", i + 1, first));
      }
      start(i);
    }
  }

  Seen run() {
    for (now_ = 0; now_ < world_.ends * core::kMilli && seen_.broken.empty(); now_ += kStep) {
      step();
      share();
    }
    if (!world_.budgets.empty() && seen_.broken.empty()) equal_at_the_end();
    if (seen_.broken.empty() && seen_.longest_gap_ms > 8000)
      seen_.broken = "a job stood without an owner at the end" + state();
    return seen_;
  }

 private:
  std::string state() const {
    std::string out;
    for (std::size_t i = 0; i < boxes_.size(); ++i) {
      if (!up(i)) continue;
      const coordination::Status s = boxes_[i].agent->status(boxes_[i].local(now_));
      out += "\n" + name(i) + " " + s.role() + " term " + std::to_string(s.term()) + " applied " +
             std::to_string(s.index()) + " of " + std::to_string(s.last_index()) + " leader " +
             s.leader_at() + (s.displaced() ? " displaced" : "") + s.why_halted();
      for (const coordination::Job& j : s.table().jobs())
        out += " " + j.name() + "=" + std::to_string(j.number()) + ":" + j.owner() + ":" + j.wanted();
      for (const coordination::HeldLease& h : s.held()) out += " holds " + h.job();
    }
    return out;
  }
  static std::string name(std::size_t i) { return "r" + std::to_string(i); }
  static std::string at(std::size_t i) { return "10.0.0." + std::to_string(i + 1) + ":7000"; }
  bool up(std::size_t i) const { return boxes_[i].agent != nullptr; }
  bool awake(std::size_t i) const { return up(i) && now_ >= boxes_[i].paused_until; }

  void start(std::size_t i) {
    Box& b = boxes_[i];
    b.settings.self.birth += 1000;
    b.agent = std::make_unique<coordination::CoordinationProtocol>(b.settings, random_());
    if (!world_.budgets.empty()) start_sharing(i);
    if (b.disk) {
      b.disk->fails = false;
      absl::StatusOr<coordination::DecodedRaftLog> log = coordination::decode_raft_log(b.disk->bytes);
      if (!log.ok())
        return broken("a voter could not read its own file: " + std::string(log.status().message()));
      b.disk->bytes.resize(b.disk->bytes.size() - log->torn_bytes);
      const absl::Status started = b.agent->start_voting(std::move(log->state), *b.disk);
      if (!started.ok()) return broken("a voter could not start: " + std::string(started.message()));
    }
    b.agent->start(b.local(now_));
    flush(i);
  }

  void broken(const std::string& what) {
    if (seen_.broken.empty()) seen_.broken = std::to_string(now_ / 1000) + " ms: " + what;
  }

  bool passes(std::size_t from, std::size_t to, Micros& delay) {
    delay = 500 + std::uniform_int_distribution<Micros>(0, 2000)(random_);
    for (const Fault& f : faults_) {
      const Micros begin = f.at * core::kMilli, end = begin + f.length * core::kMilli;
      if (now_ < begin || now_ >= end || now_ >= world_.faults_until * core::kMilli) continue;
      const std::size_t who = f.who % world_.routers, whom = f.whom % world_.routers;
      switch (f.kind) {
        case Fault::Kind::cut_off:
          if (from == who || to == who) return false;
          break;
        case Fault::Kind::cut_from:  // from the voters only
          if ((from == who && to < world_.voters) || (to == who && from < world_.voters)) return false;
          break;
        case Fault::Kind::split:
          if ((from <= who) != (to <= who)) return false;
          break;
        case Fault::Kind::one_way:
          if (from == who && (f.whom % 3 == 0 || to == whom)) return false;
          break;
        case Fault::Kind::lossy:
          if (random_() % 3 == 0) return false;
          break;
        case Fault::Kind::slow:
          delay += std::uniform_int_distribution<Micros>(0, 800 * core::kMilli)(random_);
          break;
        case Fault::Kind::stuck:  // what it writes leaves the machine only then
          if (from == who) delay += end - now_;
          break;
        default:
          break;
      }
    }
    return true;
  }

  // No packet here holds a Status, whose maps protobuf writes in no fixed order: nobody sends a Query.
  void record(std::size_t sender, const membership::Datagram& datagram) {
    ++seen_.datagrams;
    seen_.trace.add_integer(static_cast<std::uint64_t>(now_));
    seen_.trace.add_integer(sender);
    seen_.trace.add_text(datagram.to);
    seen_.trace.add_text(datagram.bytes);
  }
  void record(std::size_t receiver, const coordination::JobNotification& notification) {
    seen_.trace.add_integer(static_cast<std::uint64_t>(now_));
    seen_.trace.add_integer(receiver);
    seen_.trace.add_integer(static_cast<std::uint64_t>(notification.kind));
    seen_.trace.add_text(notification.job);
    seen_.trace.add_integer(notification.number);
  }

  void flush(std::size_t i) {
    std::vector<coordination::JobNotification> words = boxes_[i].agent->take_notifications();
    if (Box& b = boxes_[i]; b.shared_state) {
      for (const coordination::JobNotification& w : words)
        b.shared_state->receive(b.local(now_), *b.agent, w);
    }
    for (const coordination::JobNotification& w : words) record(i, w);
    for (membership::Datagram& d : boxes_[i].agent->take_datagrams()) {
      record(i, d);
      for (std::size_t to = 0; to < boxes_.size(); ++to) {
        if (at(to) != d.to) continue;
        Micros delay = 0;
        if (!passes(i, to, delay)) continue;
        flying_.push_back({now_ + delay, i, to, d.bytes});
        if (random_() % 50 == 0) flying_.push_back({now_ + 3 * delay, i, to, d.bytes});  // twice
      }
    }
    for (const coordination::JobNotification& w : words) {
      if (w.kind != coordination::JobNotification::Kind::effect) continue;
      ++seen_.effects;
      std::uint64_t& highest = boxes_[i].taken[w.job];
      if (w.number < highest)
        broken(name(i) + " took number " + std::to_string(w.number) + " of " + w.job + " after " +
               std::to_string(highest));
      highest = std::max(highest, w.number);
    }
    for (const coordination::Event& e : boxes_[i].agent->take_events()) {
      seen_.refused += e.name == "stale_fencing_token";
      if (e.name != "lease_granted") continue;
      // Each voter applies each grant once in its life; a number never goes to two owners.
      const std::string owner = e.fields[0].second + " " + e.fields[2].second;
      const auto [it, fresh] = granted_.emplace(e.fields[1].second, owner);
      if (!fresh && it->second != owner)
        broken("number " + e.fields[1].second + " was granted as " + it->second + " and as " + owner);
      seen_.grants += fresh;
    }
  }

  void step() {
    for (const Fault& f : faults_) {
      if (f.at * core::kMilli < now_ || f.at * core::kMilli >= now_ + kStep || f.at >= world_.faults_until)
        continue;
      const std::size_t who = f.who % world_.routers;
      const Micros until =
          std::min<Micros>(now_ + f.length * core::kMilli, world_.faults_until * core::kMilli);
      Box& b = boxes_[who];
      if (f.kind == Fault::Kind::pause) b.paused_until = std::max(b.paused_until, until);
      if (f.kind == Fault::Kind::crash && up(who)) {
        b.shared_state.reset();
        b.agent.reset();
        b.down_until = until;
        b.paused_until = 0;
        b.taken.clear();  // a process begins with nothing seen
        if (b.disk && world_.disks_forget) b.disk->bytes.resize(b.disk->bytes.size() * 3 / 4);
      }
      if (f.kind == Fault::Kind::disk_fails && b.disk) b.disk->fails = true;
      if (f.kind == Fault::Kind::move && awake(who)) {
        // An operator at this router's voters: the packet that `fleet move` sends.
        coordination::Packet p;
        p.set_fleet("test");
        p.set_from("operator");
        p.mutable_request()->set_number(1);
        p.mutable_request()->mutable_command()->mutable_move()->set_job("job" +
                                                                        std::to_string(f.whom % world_.jobs));
        p.mutable_request()->mutable_command()->mutable_move()->set_to(name(f.who % world_.routers));
        for (std::size_t v = 0; v < world_.voters; ++v)
          flying_.push_back({now_ + core::kMilli, v, v, p.SerializeAsString()});
      }
    }
    for (std::size_t i = 0; i < boxes_.size(); ++i) {
      // A halted voter's process is started again by whoever looks after it.
      if (up(i) && boxes_[i].agent->raft_node() != nullptr &&
          boxes_[i].agent->raft_node()->role() == "halted" && now_ >= world_.faults_until * core::kMilli) {
        boxes_[i].shared_state.reset();
        boxes_[i].agent.reset();
        boxes_[i].down_until = now_;
        boxes_[i].taken.clear();  // a process begins with nothing seen, as after a crash
      }
      if (!up(i) && now_ >= boxes_[i].down_until) start(i);
    }
    leave();
    std::vector<Flying> due;
    for (std::size_t k = 0; k < flying_.size();) {
      const Flying& f = flying_[k];
      // What comes while a process is stopped waits in its socket.
      if (f.due > now_ || (up(f.to) && !awake(f.to))) {
        ++k;
        continue;
      }
      due.push_back(std::move(flying_[k]));
      flying_[k] = std::move(flying_.back());
      flying_.pop_back();
    }
    std::sort(due.begin(), due.end(), [](const Flying& a, const Flying& b) { return a.due < b.due; });
    for (const Flying& f : due) {
      if (!up(f.to)) continue;
      Box& b = boxes_[f.to];
      if (!world_.fenced) {
        // Planted: a receiver without a fence, told apart by its own count of what it took.
        coordination::Packet p;
        if (p.ParseFromString(f.bytes) && p.has_effect()) {
          std::uint64_t& highest = b.taken[p.effect().job()];
          if (p.effect().number() < highest) broken("without a fence, an older number was taken");
          highest = std::max(highest, p.effect().number());
        }
      }
      b.agent->receive(b.local(now_), at(f.from), f.bytes);
      flush(f.to);
    }
    for (std::size_t i = 0; i < boxes_.size(); ++i) {
      if (!awake(i)) continue;
      Box& b = boxes_[i];
      if (b.local(now_) >= b.agent->next_timer()) b.agent->tick(b.local(now_));
      if (now_ >= b.next_effect) {
        b.next_effect = now_ + 100 * core::kMilli;
        for (unsigned j = 0; j < world_.jobs; ++j) {
          coordination::Effect e;
          e.set_job("job" + std::to_string(j));
          b.agent->send_effect(b.local(now_), e, "");
        }
      }
      flush(i);
    }
    // The rule of leases: whoever could act at this moment is the only one.
    for (unsigned j = 0; j < world_.jobs; ++j) {
      const std::string job = "job" + std::to_string(j);
      std::string who;
      for (std::size_t i = 0; i < boxes_.size(); ++i) {
        if (!awake(i) || !boxes_[i].agent->has_valid_lease(boxes_[i].local(now_), job)) continue;
        if (!who.empty()) broken(job + " is proved at " + who + " and " + name(i));
        who = name(i);
      }
      Micros& since = unowned_[job];
      if (!who.empty()) since = now_;
      const double gap = static_cast<double>(now_ - since) / 1000.0;
      seen_.gap_ms = std::max(seen_.gap_ms, gap);
      if (now_ > world_.faults_until * core::kMilli)
        seen_.longest_gap_ms = std::max(
            seen_.longest_gap_ms, std::min(gap, static_cast<double>(now_ / 1000 - world_.faults_until)));
    }
  }

  void leave() {
    if (world_.leave_at == 0) return;
    for (const std::size_t i : {std::size_t{0}, boxes_.size() - 1}) {
      Box& b = boxes_[i];
      if (!awake(i)) continue;
      if (now_ == world_.leave_at * core::kMilli) {
        b.agent->leave(b.local(now_));
        b.leaves = true;
        flush(i);
      }
      if (!b.leaves || !b.agent->has_left(b.local(now_))) continue;
      b.shared_state.reset();
      b.agent.reset();
      b.leaves = false;
      b.down_until = now_ + core::kSecond;
      b.taken.clear();
    }
  }

  // ---- what routers share

  Micros unix_time(const Box& b) const { return 1'700'000'000 * core::kSecond + now_ + b.unix_ahead; }

  void start_sharing(std::size_t i) {
    Box& b = boxes_[i];
    shared::Settings set;
    set.budgets = world_.budgets;
    set.max_requests_per_s = 4 * world_.asked;
    shared::SharedState::Ports ports;
    ports.unix_time = [this, i] { return unix_time(boxes_[i]); };
    ports.on_lease = [this, i](const coordination::QuotaLease& p) {
      boxes_[i].wallet->on_lease(boxes_[i].local(now_), p);
    };
    ports.lend = [this, i](const std::string& who, const coordination::QuotaRequest& ask) {
      Box& own = boxes_[i];
      if (const auto p = own.wallet->lend(own.local(now_), ask))
        own.shared_state->send_lease(own.local(now_), *own.agent, who, *p);
    };
    ports.on_health_summaries = [](const std::vector<shared::ReplicaHealthSummary>&, shared::FleetSize) {};
    b.shared_state = std::make_unique<shared::SharedState>(set, std::move(ports), b.settings.self, random_());
    std::vector<shared::Budget> budgets = world_.budgets;
    for (shared::Budget& budget : budgets) {
      if (world_.aside_again) budget.reserved_share = 0.6;
    }
    b.wallet = std::make_unique<shared::QuotaHolder>(budgets, std::vector<std::string>{"q", "s"},
                                                     b.settings.self.birth, b.local(now_));
    b.counts.clear();
  }

  void share() {
    if (world_.budgets.empty()) return;
    const shared::Budget& quota = world_.budgets[0];
    // Clocks may mint at a rate that is off by as much as they are.
    level_ = std::min<double>(static_cast<double>(quota.burst),
                              level_ + static_cast<double>(quota.per_s) * (1 + world_.drift) * kStep / 1e6);
    double weights = 0;
    for (const Box& b : boxes_) weights += b.weight;
    for (std::size_t i = 0; i < boxes_.size(); ++i) {
      Box& b = boxes_[i];
      if (i == 1 && now_ > world_.faults_until * core::kMilli / 2)
        b.unix_ahead = static_cast<Micros>(world_.unix_step_s * 1e6);
      for (const ClockStep& clock_step : world_.clock_steps) {
        const Micros at = clock_step.at * core::kMilli;
        if (clock_step.who == i && at >= now_ && at < now_ + kStep)
          b.unix_ahead += static_cast<Micros>(clock_step.seconds * 1e6);
      }
      if (!awake(i)) continue;
      const Micros local = b.local(now_);
      for (std::uint32_t team = 0; team < 2; ++team) {
        const double mean = world_.asked * b.weight / weights * kStep / 1e6;
        for (int n = std::poisson_distribution<>(mean)(random_); n > 0; --n) serve(b, team, local);
      }
      if (now_ >= b.next_ask) {
        b.next_ask = now_ + 50 * core::kMilli;
        for (const auto& q : b.wallet->due_requests(local))
          b.shared_state->request_lease(local, *b.agent, q.request, q.to_peer);
        for (const coordination::QuotaReturn& r : b.wallet->take_returns())
          b.shared_state->return_lease(local, *b.agent, r);
      }
      if (now_ >= b.next_count) {
        b.next_count = now_ + core::kSecond;
        b.shared_state->on_counts(local, b.counts);
        if (world_.intervals) interval_holds(i);
      }
      if (local >= b.shared_state->next_timer()) b.shared_state->tick(local, *b.agent);
      flush(i);
    }
  }

  void serve(Box& b, std::uint32_t team, Micros local) {
    seen_.wanted += team == 0;
    coordination::RequestCounts& c = b.counts[{team == 0 ? "q" : "s", "chat"}];
    if (b.wallet->spend(local, team, 0).verdict != shared::QuotaHolder::Verdict::within) {
      c.set_refused(c.refused() + 1);
      return;
    }
    c.set_served(c.served() + 1);
    ++truth_;
    if (team == 0) {
      ++seen_.served;
      level_ -= shared::kUnit;
      if (level_ < -1) broken("the quota was overspent by " + std::to_string(-level_));
    } else {
      const std::uint64_t n = ++windows_[unix_time(Box{}) / world_.budgets[1].window];
      seen_.stock_served = std::max(seen_.stock_served, n);
      if (static_cast<shared::Amount>(n) * shared::kUnit > world_.budgets[1].whole)
        broken("a stock of " + std::to_string(world_.budgets[1].whole / shared::kUnit) + " was overspent");
    }
  }

  std::pair<std::uint64_t, std::uint64_t> served_as_seen_by(const Box& b) const {
    std::uint64_t least = 0, most = 0;
    for (const auto& [key, total] : b.shared_state->counter().totals(b.local(now_))) {
      least += total.count.served();
      most += total.max_served;
    }
    return {least, most};
  }

  void interval_holds(std::size_t i) {
    const auto [least, most] = served_as_seen_by(boxes_[i]);
    std::set<std::string> heard;
    for (const auto& [process, row] : boxes_[i].shared_state->counter().table().rows())
      heard.insert(process.router);
    if (least > truth_ || (heard.size() == boxes_.size() && most < truth_))
      broken(name(i) + " has counts from " + std::to_string(least) + " to " + std::to_string(most) + " of " +
             std::to_string(truth_));
  }

  // After the last fault all have the same counts; what lives that were killed never told is less than what
  // they can have served between two tellings.
  void equal_at_the_end() {
    std::set<std::uint64_t> all;
    for (std::size_t i = 0; i < boxes_.size(); ++i) {
      boxes_[i].shared_state->on_counts(boxes_[i].local(now_), boxes_[i].counts);
    }
    for (const Micros end = now_ + 12 * core::kSecond; now_ < end; now_ += kStep) {
      step();
      for (std::size_t i = 0; i < boxes_.size(); ++i) {
        Box& b = boxes_[i];
        if (b.local(now_) >= b.shared_state->next_timer()) b.shared_state->tick(b.local(now_), *b.agent);
        flush(i);
      }
    }
    std::uint64_t crashes = 0;
    for (const Fault& f : faults_)
      crashes += f.kind == Fault::Kind::crash || f.kind == Fault::Kind::disk_fails;
    std::string text;
    for (const Box& b : boxes_) {
      all.insert(served_as_seen_by(b).first);
      text += " " + std::to_string(served_as_seen_by(b).first);
      const coordination::Status s = [&] {
        coordination::Status out;
        b.shared_state->status(b.local(now_), *b.agent, out);
        return out;
      }();
      seen_.packets += s.shared().counters().at("sent");
      seen_.bytes += s.shared().counters().at("bytes_sent");
    }
    if (all.size() != 1 || *all.begin() > truth_ || (crashes == 0 && *all.begin() != truth_))
      broken("at the end counts are" + text + " of " + std::to_string(truth_));
  }

  World world_;
  std::vector<Fault> faults_;
  std::mt19937_64 random_;
  std::deque<Box> boxes_;
  std::vector<Flying> flying_;
  std::map<std::string, std::string> granted_;
  std::map<std::string, Micros> unowned_;
  Micros now_ = 0;
  double level_ = 0;  // of a bucket that all requests of the quota together are held to
  std::uint64_t truth_ = 0;
  std::map<std::int64_t, std::uint64_t> windows_;
  Seen seen_;
};

}  // namespace

Seen play(const World& world, const std::vector<Fault>& faults) { return Play(world, faults).run(); }

}  // namespace flintglade::tests
