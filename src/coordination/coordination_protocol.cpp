#include "coordination/coordination_protocol.h"

#include <algorithm>

namespace flintglade::coordination {
namespace {

constexpr std::size_t kMostAsked = 256, kMostWords = 4096;
constexpr Micros kForgetAsked = 5 * core::kSecond;
constexpr Micros kLeaderless =
    3 * core::kSecond;  // nobody has named a leader for so long: the fleet's jobs rest
constexpr Micros kMostLeaving = 500 * core::kMilli;

}  // namespace

CoordinationProtocol::CoordinationProtocol(CoordinationSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      swim_(settings_.peers, settings_.self, seed),
      lease_manager_(settings_.lease, settings_.wanted),
      lease_holder_(settings_.lease, settings_.self.name) {
  for (const VoterAt& v : settings_.voters) {
    Voter voter;
    voter.set_id(v.id);
    voter.set_at(v.at);
    voter.set_votes(true);
    voters_.push_back(voter);
  }
}

absl::Status CoordinationProtocol::vote(PersistentState memory, RaftStorage& storage) {
  node_ = std::make_unique<RaftNode>(
      settings_.self.at, std::move(memory), storage, settings_.node, random_(),
      [this](const std::string& at, const Raft& message) {
        Packet p = swim_.packet("");
        *p.mutable_raft() = message;
        send(at, p);
      },
      [this](const Command& command, const Applied& applied) {
        for (const HeldLease& h : applied.renewed) lease_manager_.renewed(now_, command.renew().owner(), h);
        if (command.has_grant() && applied.changed) {
          lease_manager_.granted(now_, applied.job);
          event("lease_granted",
                {{"job", applied.job},
                 {"number", std::to_string(node_->lease_state_machine().table().last_number())},
                 {"to", command.grant().owner()}});
        }
        if (!applied.changed || !node_->is_leader()) return;
        const Job* job = node_->lease_state_machine().find(applied.job);
        if (job == nullptr) return;
        push(job->owner());
        if (!job->wanted().empty()) push(job->wanted());
      });
  return node_->start(0);
}

void CoordinationProtocol::event(std::string name, std::vector<std::pair<std::string, std::string>> fields,
                                 bool warning) {
  events_.push_back({std::move(name), std::move(fields), warning});
}

void CoordinationProtocol::start(Micros now) {
  now_ = now;
  swim_.start(now);
  next_read_ = now + std::uniform_int_distribution<Micros>(0, settings_.read_every)(random_);
  if (node_) node_->tick(now);
  settle(now);
}

Micros CoordinationProtocol::next() const {
  Micros at = std::min(swim_.next(), lease_holder_.next());
  if (node_) at = std::min({at, node_->next_timer(), lease_manager_.next()});
  if (!votes()) at = std::min(at, next_read_);
  return at;
}

void CoordinationProtocol::tick(Micros now) {
  now_ = now;
  swim_.tick(now);
  if (node_ && now >= node_->next_timer()) node_->tick(now);
  settle(now);
}

// What follows from the new state of all parts, in one order.
void CoordinationProtocol::settle(Micros now) {
  for (const membership::Peer& p : swim_.changed()) {
    static constexpr const char* kNames[] = {"member_alive", "member_suspected", "member_dead",
                                             "member_left"};
    event(kNames[p.standing],
          {{"peer", p.name}, {"at", p.at}, {"site", p.site}, {"incarnation", std::to_string(p.incarnation)}});
  }
  if (swim_.displaced() && !displaced_) {
    displaced_ = true;
    event("displaced_by_newer_process",
          {{"name", settings_.self.name}, {"by", "a process of this name that began later"}}, true);
    lease_holder_.record({}, 0);
  }
  if (node_ && node_->is_halted() && !halted_told_) {
    halted_told_ = true;
    event("raft_node_halted", {{"why", node_->halt_reason()}, {"votes", "no more, until the next start"}},
          true);
  }
  const bool leads = node_ && node_->is_leader();
  if (leads != led_) {
    led_ = leads;
    event(leads ? "leadership_acquired" : "leadership_lost", {{"term", std::to_string(node_->term())}});
    if (leads) {
      lease_manager_.leads(now);
      // What the terms before have left is committed by a first entry of this one.
      Command c;
      c.mutable_renew();
      node_->propose(now, c, [](const absl::Status&, const Applied&) {});
    } else {
      lease_manager_.follows();
    }
  }
  if (leads) {
    for (const Command& c : lease_manager_.decide(now, node_->lease_state_machine(), swim_.living()))
      node_->propose(now, c, [](const absl::Status&, const Applied&) {});
  }
  if (votes()) {
    heard_voter_ = now;
    leader_at_ = node_->leader_address();
    voters_ = node_->voters().empty() ? voters_ : node_->voters();
  }
  if (!leader_at_.empty()) {
    leader_since_ = now;
    if (!had_leader_) event("leader_known", {{"by", leader_at_}});
    had_leader_ = true;
  } else if (had_leader_ && now - leader_since_ > kLeaderless) {
    had_leader_ = false;
    event("leader_unknown", {{"jobs", "rest"}, {"routers", "each do for themselves"}}, true);
  }
  if (displaced_) return;
  if ((!votes()) && now >= next_read_ && !voters_.empty() && leaving_ < 0) {
    next_read_ = now + settings_.read_every / 2 +
                 std::uniform_int_distribution<Micros>(0, settings_.read_every)(random_);
    // The leader's word is kept for as long as it answers.
    if (heard_voter_ >= 0 && now - heard_voter_ > 3 * settings_.read_every) leader_at_.clear();
    Packet p = swim_.packet("");
    p.mutable_read()->set_revision(table_.revision());
    send(voter_at(now), p);
  }
  lease_holder_.record(table(), swim_.self().birth);
  for (const Release& r : lease_holder_.releases(now)) {
    Command c;
    *c.mutable_release() = r;
    ask(now, c);
  }
  if (const auto renew = lease_holder_.renewal(now)) {
    Command c;
    *c.mutable_renew() = *renew;
    ask(now, c);
  }
  for (const LeaseHolder::Change& c : lease_holder_.changes(now)) {
    event(c.starts ? "lease_acquired" : "lease_released",
          c.starts ? std::vector<std::pair<std::string, std::string>>{{"job", c.job},
                                                                      {"number", std::to_string(c.number)}}
                   : std::vector<std::pair<std::string, std::string>>{
                         {"job", c.job}, {"number", std::to_string(c.number)}, {"why", c.why}});
    words_.push_back(
        {c.starts ? Word::What::starts : Word::What::stops, c.job, c.number, {}, "", 0, {}, "", 0});
  }
  // Who leads and goes has another voter lead, once its own jobs are given up: else nobody would grant or
  // renew anything until the others have missed it and held an election.
  if (leaving_ >= 0 && !handing_ && node_ && node_->is_leader() && free_of_jobs()) {
    handing_ = node_->transfer_leadership(now);
    if (handing_) event("leadership_transferred", {{"term", std::to_string(node_->term())}});
  }
  std::erase_if(asked_, [now](const auto& a) { return now - a.second.sent > kForgetAsked; });
}

// ---- requests to the voters

// The leader, if one is known; else the voters by turns.
std::string CoordinationProtocol::voter_at(Micros) {
  if (!leader_at_.empty() && leader_at_ != settings_.self.at) return leader_at_;
  for (std::size_t i = 0; i < voters_.size(); ++i) {
    const Voter& v = voters_[voter_turn_++ % voters_.size()];
    if (v.at() != settings_.self.at) return v.at();
  }
  return "";
}

void CoordinationProtocol::ask(Micros now, const Command& command) {
  if (node_ && node_->is_leader()) {
    goes_in(now, command);
    node_->propose(
        now, command,
        [this, sent = now, renew = command.has_renew()](const absl::Status& status, const Applied& a) {
          if (status.ok() && renew) lease_holder_.renewed(sent, a.renewed);
        });
    return;
  }
  const std::string at = voter_at(now);
  if (at.empty() || asked_.size() >= kMostAsked) return;
  Packet p = swim_.packet("");
  p.mutable_request()->set_number(++numbers_);
  *p.mutable_request()->mutable_command() = command;
  asked_[numbers_] = {now, command.has_renew()};
  // One that does not answer is not asked for ever.
  for (const auto& [number, a] : asked_) {
    if (number != numbers_ && now - a.sent > settings_.ask_again && now - a.sent < 4 * settings_.ask_again &&
        !node_)
      leader_at_.clear();
  }
  send(at, p);
}

void CoordinationProtocol::answered(Micros now, const Reply& reply) {
  const auto it = asked_.find(reply.number());
  if (it == asked_.end()) return;
  const Asked asked = it->second;
  asked_.erase(it);
  if (!reply.done()) {
    if (!node_) leader_at_ = reply.leader_at();
    return;
  }
  heard_voter_ = now;
  if (asked.renew)
    lease_holder_.renewed(asked.sent, std::vector<HeldLease>(reply.held().begin(), reply.held().end()));
}

void CoordinationProtocol::answer(Micros now, const std::string& to, const Request& request) {
  const auto reply = [this, to, number = request.number()](const absl::Status& status,
                                                           const Applied& applied) {
    Packet p = swim_.packet("");
    Reply& r = *p.mutable_reply();
    r.set_number(number);
    r.set_done(status.ok());
    r.set_why(std::string(status.message()));
    if (!status.ok()) r.set_leader_at(leader_at_);
    for (const HeldLease& h : applied.renewed) *r.add_held() = h;
    send(to, p);
  };
  if (!node_ || !node_->is_leader()) {
    if (leader_at_ == settings_.self.at) leader_at_.clear();
    return reply(absl::FailedPreconditionError("not the leader"), {});
  }
  if (request.has_voter_change()) return node_->change_voters(now, request.voter_change(), reply);
  // Only the leader grants.
  if (!request.has_command() || request.command().has_grant())
    return reply(absl::FailedPreconditionError("not for routers to ask"), {});
  if (request.command().has_move()) {
    const Job* job = node_->lease_state_machine().find(request.command().move().job());
    if (job == nullptr) return reply(absl::FailedPreconditionError("no such job"), {});
    const auto living = swim_.living();
    const bool there = std::any_of(living.begin(), living.end(), [&](const membership::Peer& p) {
      return p.name == request.command().move().to() && p.standing == coordination::ALIVE;
    });
    if (!there) return reply(absl::FailedPreconditionError("no such router is alive"), {});
    if (job->owner() == request.command().move().to()) return reply(absl::OkStatus(), {});
  }
  goes_in(now, request.command());
  node_->propose(now, request.command(), reply);
}

// What goes into the log counts already for what is decided next.
void CoordinationProtocol::goes_in(Micros now, const Command& command) {
  for (const HeldLease& h : node_->lease_state_machine().still(command.renew()))
    lease_manager_.renewed(now, command.renew().owner(), h);
}

// ---- the record

Record CoordinationProtocol::record(std::uint64_t known) const {
  Record r;
  r.set_revision(table().revision());
  if (table().revision() > known) *r.mutable_table() = table();
  for (const Voter& v : voters_) *r.add_voters() = v;
  r.set_leader_at(leader_at_);
  return r;
}

void CoordinationProtocol::push(const std::string& router) {
  if (router == settings_.self.name) return;
  const auto it = swim_.others().find(router);
  if (it == swim_.others().end()) return;
  Packet p = swim_.packet(router);
  *p.mutable_record() = record(0);
  send(it->second.at, p);
}

void CoordinationProtocol::take_record(Micros now, const Record& r) {
  if (votes()) return;  // a voter has its own
  heard_voter_ = now;
  leader_at_ = r.leader_at();
  if (r.voters_size() > 0) voters_.assign(r.voters().begin(), r.voters().end());
  if (r.has_table() && r.revision() > table_.revision()) table_ = r.table();
}

// ---- datagrams

void CoordinationProtocol::send(const std::string& at, const Packet& p) {
  if (!at.empty()) out_.push_back({at, p.SerializeAsString()});
}

std::vector<membership::Datagram> CoordinationProtocol::take() {
  std::vector<membership::Datagram> out = swim_.take();
  if (out.empty()) return std::exchange(out_, {});
  std::move(out_.begin(), out_.end(), std::back_inserter(out));
  out_.clear();
  return out;
}

void CoordinationProtocol::receive(Micros now, const std::string& from, std::string_view bytes) {
  now_ = now;
  Packet p;
  const bool ours = p.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) &&
                    (p.fleet() == settings_.peers.fleet || (p.has_query() && p.fleet().empty())) &&
                    (p.to().empty() || p.to() == settings_.self.name);
  if (ours && p.has_query()) {
    Packet answer = swim_.packet("");
    *answer.mutable_status() = status(now);
    if (add_status_) add_status_(now, *answer.mutable_status());
    return send(from, answer);
  }
  if (!ours || p.what_case() < Packet::kRaft) {
    swim_.receive(now, from, bytes);
    return settle(now);
  }
  if (displaced_) return;
  switch (p.what_case()) {
    case Packet::kRaft:
      if (node_) node_->receive(now, p.raft());
      break;
    case Packet::kRequest:
      answer(now, from, p.request());
      break;
    case Packet::kReply:
      answered(now, p.reply());
      break;
    case Packet::kRead: {
      if (!votes()) break;
      Packet back = swim_.packet(p.from());
      *back.mutable_record() = record(p.read().revision());
      send(from, back);
      break;
    }
    case Packet::kRecord:
      take_record(now, p.record());
      break;
    case Packet::kEffect: {
      const Effect& e = p.effect();
      const std::uint64_t seen = fence_.seen(e.job());
      if (!fence_.admit(e.job(), e.number())) {
        event("stale_fencing_token",
              {{"job", e.job()},
               {"number", std::to_string(e.number())},
               {"seen", std::to_string(seen)},
               {"from", p.from()}},
              true);
        break;
      }
      if (seen != e.number())
        event("lease_effect_applied",
              {{"job", e.job()}, {"number", std::to_string(e.number())}, {"from", p.from()}});
      ++effects_taken_;
      if (words_.size() < kMostWords)
        words_.push_back({Word::What::effect, e.job(), e.number(), e, from, e.rev(), {}, "", 0});
      break;
    }
    case Packet::kShare:
      if (words_.size() < kMostWords)
        words_.push_back({Word::What::share, "", 0, {}, from, 0, p.share(), p.from(), p.birth()});
      break;
    case Packet::kWant:
      if (words_.size() < kMostWords)
        words_.push_back({Word::What::want, p.want().job(), 0, {}, from, p.want().rev(), {}, "", 0});
      break;
    default:
      break;
  }
  settle(now);
}

bool CoordinationProtocol::effect(Micros now, Effect effect, const std::string& site, const std::string& to) {
  if (!lease_holder_.proved(now, effect.job())) {
    ++effects_unproved_;
    return false;
  }
  for (const HeldLease& h : lease_holder_.held(now)) {
    if (h.job() == effect.job()) effect.set_number(h.number());
  }
  effect.set_sequence(++sequence_);
  fence_.admit(effect.job(), effect.number());
  ++effects_sent_;
  if (!to.empty()) {
    Packet p = swim_.packet("");
    *p.mutable_effect() = effect;
    send(to, p);
    return true;
  }
  for (const auto& [name, peer] : swim_.others()) {
    if (peer.standing == coordination::DEAD || peer.standing == coordination::LEFT) continue;
    if (!site.empty() && peer.site != site) continue;
    Packet p = swim_.packet(name);
    *p.mutable_effect() = effect;
    send(peer.at, p);
  }
  return true;
}

const membership::Peer* CoordinationProtocol::owner(const std::string& job) const {
  for (const Job& j : table().jobs()) {
    if (j.name() != job || j.owner().empty()) continue;
    const auto it = swim_.others().find(j.owner());
    return it == swim_.others().end() ? nullptr : &it->second;
  }
  return nullptr;
}

void CoordinationProtocol::want(Micros, const std::string& job, std::uint32_t rev) {
  const membership::Peer* to = owner(job);
  if (to == nullptr) return;
  Packet p = swim_.packet(to->name);
  p.mutable_want()->set_job(job);
  p.mutable_want()->set_rev(rev);
  send(to->at, p);
}

void CoordinationProtocol::share(const std::string& name, const std::string& at,
                                 const SharedStateMessage& share) {
  if (displaced_) return;
  Packet p = swim_.packet(name);
  *p.mutable_share() = share;
  send(at, p);
}

void CoordinationProtocol::draw(Micros now, const StockDraw& draw) {
  Command c;
  *c.mutable_draw() = draw;
  ask(now, c);
}

// ---- the end, and what is told

void CoordinationProtocol::leave(Micros now) {
  if (leaving_ >= 0) return;
  now_ = now;
  leaving_ = now;
  lease_holder_.give_up_all();
  settle(now);
  swim_.leave(now);
}

bool CoordinationProtocol::left(Micros now) const {
  if (leaving_ < 0) return false;
  if (now - leaving_ > kMostLeaving) return true;
  return free_of_jobs() && !(handing_ && node_->is_leader());
}

bool CoordinationProtocol::free_of_jobs() const {
  for (const Job& j : table().jobs()) {
    if (j.owner() == settings_.self.name && j.birth() == swim_.self().birth) return false;
  }
  return true;
}

Status CoordinationProtocol::status(Micros now) const {
  Status s;
  s.set_name(settings_.self.name);
  s.set_site(settings_.self.site);
  s.set_birth(swim_.self().birth);
  s.set_leader_at(leader_at_);
  s.set_displaced(displaced_);
  s.set_clock_us(now);
  if (node_) {
    s.set_role(node_->role());
    s.set_why_halted(node_->halt_reason());
    s.set_term(node_->term());
    s.set_index(node_->applied_index());
    s.set_last_index(node_->last_index());
  }
  *s.mutable_table() = table();
  for (const Voter& v : voters_) *s.add_voters() = v;
  for (const HeldLease& h : lease_holder_.held(now)) *s.add_held() = h;
  *s.add_routers() = membership::word_of(swim_.self());
  for (const auto& [name, p] : swim_.others()) *s.add_routers() = membership::word_of(p);
  s.set_health(swim_.health());
  s.set_record_age_ms(heard_voter_ < 0 ? UINT64_MAX
                                       : static_cast<std::uint64_t>((now - heard_voter_) / 1000));
  const membership::Counters& c = swim_.counters();
  auto& counters = *s.mutable_counters();
  counters["peers_sent"] = c.sent;
  counters["peers_received"] = c.received;
  counters["peers_bytes_sent"] = c.bytes_sent;
  counters["peers_other_fleet"] = c.other_fleet;
  counters["peers_unreadable"] = c.unreadable;
  counters["peers_not_for_us"] = c.not_for_us;
  counters["peers_absurd"] = c.absurd;
  counters["peers_too_many"] = c.too_many;
  counters["peers_probes"] = c.probes;
  counters["peers_probes_failed"] = c.probes_failed;
  counters["peers_suspected"] = c.suspected;
  counters["peers_refuted"] = c.refuted;
  counters["peers_late_ticks"] = c.late_ticks;
  counters["effects_sent"] = effects_sent_;
  counters["effects_taken"] = effects_taken_;
  counters["effects_refused"] = fence_.refused();
  counters["effects_unproved"] = effects_unproved_;
  return s;
}

}  // namespace flintglade::coordination
