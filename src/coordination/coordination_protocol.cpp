#include "coordination/coordination_protocol.h"

#include <algorithm>
#include <iterator>

namespace flintglade::coordination {
namespace {

// Limit on the notifications that wait to be taken. Further ones are dropped, as if their datagrams were
// lost.
constexpr std::size_t kMaxNotifications = 4096;
// After this time without a known leader, the fleet's jobs count as stopped.
constexpr Micros kLeaderUnknownTimeout = 3 * core::kSecond;
// Limit on the time that a shutdown waits for the voters.
constexpr Micros kMaxLeaveDuration = 500 * core::kMilli;
// A leader that has not answered for this many poll periods gets no further requests.
constexpr int kPollsUntilLeaderForgotten = 3;

const char* event_name(MemberStatus status) {
  static constexpr const char* kNames[] = {"member_alive", "member_suspected", "member_dead", "member_left"};
  return kNames[status];
}

}  // namespace

CoordinationProtocol::CoordinationProtocol(CoordinationSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)),
      random_(seed),
      swim_(settings_.membership, settings_.self, seed),
      lease_manager_(settings_.lease_times, settings_.jobs),
      lease_holder_(settings_.lease_times, settings_.self.name) {
  for (const VoterAddress& configured : settings_.voters) {
    Voter voter;
    voter.set_id(configured.id);
    voter.set_at(configured.address);
    voter.set_votes(true);
    voters_.push_back(voter);
  }
}

absl::Status CoordinationProtocol::start_voting(PersistentState state, RaftStorage& storage) {
  raft_node_ = std::make_unique<RaftNode>(
      settings_.self.at, std::move(state), storage, settings_.raft_times, random_(),
      [this](const std::string& address, const Raft& message) {
        Packet packet = swim_.packet("");
        *packet.mutable_raft() = message;
        send(address, packet);
      },
      [this](const Command& command, const Applied& applied) { on_applied(command, applied); });
  return raft_node_->start(0);
}

void CoordinationProtocol::log_event(std::string name,
                                     std::vector<std::pair<std::string, std::string>> fields, bool warning) {
  events_.push_back({std::move(name), std::move(fields), warning});
}

void CoordinationProtocol::start(Micros now) {
  now_ = now;
  swim_.start(now);
  const Micros period = settings_.lease_table_poll_period;
  next_poll_ = now + std::uniform_int_distribution<Micros>(0, period)(random_);
  if (raft_node_) raft_node_->tick(now);
  run_steps(now);
}

Micros CoordinationProtocol::next_timer() const {
  Micros next = std::min(swim_.next(), lease_holder_.next_timer());
  if (raft_node_) next = std::min({next, raft_node_->next_timer(), lease_manager_.next_timer()});
  if (!is_voting()) next = std::min(next, next_poll_);
  return next;
}

void CoordinationProtocol::tick(Micros now) {
  now_ = now;
  swim_.tick(now);
  if (raft_node_ && now >= raft_node_->next_timer()) raft_node_->tick(now);
  run_steps(now);
}

void CoordinationProtocol::leave(Micros now) {
  if (leaving_since_ >= 0) return;
  now_ = now;
  leaving_since_ = now;
  lease_holder_.release_all();
  run_steps(now);
  swim_.leave(now);
}

bool CoordinationProtocol::has_left(Micros now) const {
  if (leaving_since_ < 0) return false;
  if (now - leaving_since_ > kMaxLeaveDuration) return true;
  return owns_no_job() && !(is_transferring_leadership_ && raft_node_->is_leader());
}

bool CoordinationProtocol::owns_no_job() const {
  for (const Job& job : lease_table().jobs()) {
    if (job.owner() == settings_.self.name && job.birth() == swim_.self().birth) return false;
  }
  return true;
}

void CoordinationProtocol::run_steps(Micros now) {
  log_membership_changes();
  check_displacement();
  check_halt();
  check_lease_tables();
  follow_leadership(now);
  propose_grants(now);
  copy_voter_state(now);
  follow_known_leader(now);
  if (is_displaced_) return;
  poll_lease_table(now);
  renew_and_release(now);
  notify_lease_changes(now);
  transfer_leadership_on_leave(now);
  pending_requests_.forget_old(now);
}

void CoordinationProtocol::log_membership_changes() {
  for (const membership::Peer& peer : swim_.changed()) {
    log_event(event_name(peer.standing), {{"peer", peer.name},
                                          {"at", peer.at},
                                          {"site", peer.site},
                                          {"incarnation", std::to_string(peer.incarnation)}});
  }
}

// A newer process with this router's name has replaced this one in the fleet.
void CoordinationProtocol::check_displacement() {
  if (!swim_.displaced() || is_displaced_) return;
  is_displaced_ = true;
  log_event("displaced_by_newer_process",
            {{"name", settings_.self.name}, {"by", "a process of this name that started later"}}, true);
  lease_holder_.on_lease_table({}, 0);
}

void CoordinationProtocol::check_halt() {
  if (!raft_node_ || !raft_node_->is_halted() || is_halt_logged_) return;
  is_halt_logged_ = true;
  log_event("raft_node_halted",
            {{"why", raft_node_->halt_reason()}, {"votes", "none until this router restarts"}}, true);
}

// A voter whose lease table differs has applied entries that others have not: one number may have two owners.
void CoordinationProtocol::check_lease_tables() {
  if (!raft_node_) return;
  const auto& differing = raft_node_->table_checksums().differing_voters();
  std::erase_if(logged_differing_voters_, [&](std::uint64_t voter) { return !differing.contains(voter); });
  for (const auto& [voter, index] : differing) {
    if (!logged_differing_voters_.insert(voter).second) continue;
    log_event("lease_tables_differ", {{"voter", std::to_string(voter)}, {"index", std::to_string(index)}},
              true);
  }
}

void CoordinationProtocol::follow_leadership(Micros now) {
  const bool leads = is_leader();
  if (leads == was_leader_) return;
  was_leader_ = leads;
  log_event(leads ? "leadership_acquired" : "leadership_lost",
            {{"term", std::to_string(raft_node_->term())}});
  if (!leads) return lease_manager_.on_leadership_lost();
  lease_manager_.on_leadership_acquired(now);
  // A leader can commit entries of earlier terms only through an entry of its own term (Raft, section 5.4.2).
  Command empty_renewal;
  empty_renewal.mutable_renew();
  raft_node_->propose(now, empty_renewal, [](const absl::Status&, const Applied&) {});
}

// The result of a proposal is not needed: a grant that is not committed is decided on again.
void CoordinationProtocol::propose_grants(Micros now) {
  if (!was_leader_) return;
  for (const Command& grant :
       lease_manager_.decide_grants(now, raft_node_->lease_state_machine(), swim_.living()))
    raft_node_->propose(now, grant, [](const absl::Status&, const Applied&) {});
}

void CoordinationProtocol::copy_voter_state(Micros now) {
  if (!is_voting()) return;
  voter_answered_at_ = now;
  leader_address_ = raft_node_->leader_address();
  const std::vector<Voter> voters = raft_node_->voters();
  if (!voters.empty()) voters_ = voters;
}

void CoordinationProtocol::follow_known_leader(Micros now) {
  if (!leader_address_.empty()) {
    leader_known_at_ = now;
    if (!has_known_leader_) log_event("leader_known", {{"by", leader_address_}});
    has_known_leader_ = true;
  } else if (has_known_leader_ && now - leader_known_at_ > kLeaderUnknownTimeout) {
    has_known_leader_ = false;
    log_event("leader_unknown", {{"jobs", "rest"}, {"routers", "each works without the fleet's jobs"}}, true);
  }
}

void CoordinationProtocol::poll_lease_table(Micros now) {
  if (is_voting() || now < next_poll_ || voters_.empty() || leaving_since_ >= 0) return;
  const Micros period = settings_.lease_table_poll_period;
  next_poll_ = now + period / 2 + std::uniform_int_distribution<Micros>(0, period)(random_);
  if (voter_answered_at_ >= 0 && now - voter_answered_at_ > kPollsUntilLeaderForgotten * period)
    leader_address_.clear();
  Packet packet = swim_.packet("");
  packet.mutable_read()->set_revision(lease_table_.revision());
  send(next_voter_address(), packet);
}

void CoordinationProtocol::renew_and_release(Micros now) {
  lease_holder_.on_lease_table(lease_table(), swim_.self().birth);
  for (const Release& release : lease_holder_.take_releases(now)) {
    Command command;
    *command.mutable_release() = release;
    send_command(now, command);
  }
  if (const std::optional<Renew> renewal = lease_holder_.take_renewal(now)) {
    Command command;
    *command.mutable_renew() = *renewal;
    send_command(now, command);
  }
}

void CoordinationProtocol::notify_lease_changes(Micros now) {
  for (const LeaseHolder::Change& change : lease_holder_.take_changes(now)) {
    std::vector<std::pair<std::string, std::string>> fields{{"job", change.job},
                                                            {"number", std::to_string(change.number)}};
    if (!change.acquired) fields.emplace_back("why", change.reason);
    log_event(change.acquired ? "lease_acquired" : "lease_released", std::move(fields));
    JobNotification notification;
    notification.kind =
        change.acquired ? JobNotification::Kind::lease_acquired : JobNotification::Kind::lease_released;
    notification.job = change.job;
    notification.number = change.number;
    notifications_.push_back(std::move(notification));  // never dropped, unlike notifications of datagrams
  }
}

// Runs once this router's own leases are released. Without a transfer no lease would be granted or renewed
// until the other voters time out and elect a new leader.
void CoordinationProtocol::transfer_leadership_on_leave(Micros now) {
  if (leaving_since_ < 0 || is_transferring_leadership_ || !is_leader() || !owns_no_job()) return;
  is_transferring_leadership_ = raft_node_->transfer_leadership(now);
  if (is_transferring_leadership_)
    log_event("leadership_transferred", {{"term", std::to_string(raft_node_->term())}});
}

// The leader, if one is known; otherwise the voters in turn.
std::string CoordinationProtocol::next_voter_address() {
  if (!leader_address_.empty() && leader_address_ != settings_.self.at) return leader_address_;
  for (std::size_t i = 0; i < voters_.size(); ++i) {
    const Voter& voter = voters_[next_voter_++ % voters_.size()];
    if (voter.at() != settings_.self.at) return voter.at();
  }
  return "";
}

void CoordinationProtocol::send_command(Micros now, const Command& command) {
  const bool is_renewal = command.has_renew();
  if (is_leader()) {
    count_proposed_renewal(now, command);
    raft_node_->propose(now, command,
                        [this, now, is_renewal](const absl::Status& status, const Applied& applied) {
                          if (status.ok() && is_renewal) lease_holder_.on_renewed(now, applied.renewed);
                        });
    return;
  }
  const std::string address = next_voter_address();
  if (address.empty() || pending_requests_.is_full()) return;
  Packet packet = swim_.packet("");
  packet.mutable_request()->set_number(pending_requests_.add(now, is_renewal));
  *packet.mutable_request()->mutable_command() = command;
  if (!raft_node_ && pending_requests_.has_timed_out(now, settings_.request_timeout)) leader_address_.clear();
  send(address, packet);
}

void CoordinationProtocol::on_reply(Micros now, const Reply& reply) {
  const std::optional<PendingRequest> request = pending_requests_.take(reply.number());
  if (!request) return;
  if (!reply.done()) {
    if (!raft_node_) leader_address_ = reply.leader_at();
    return;
  }
  voter_answered_at_ = now;
  if (request->is_renewal)
    lease_holder_.on_renewed(request->sent_at, {reply.held().begin(), reply.held().end()});
}

void CoordinationProtocol::on_request(Micros now, const std::string& sender_address, const Request& request) {
  const auto reply = [this, sender_address, number = request.number()](const absl::Status& status,
                                                                       const Applied& applied) {
    Packet packet = swim_.packet("");
    Reply& out = *packet.mutable_reply();
    out.set_number(number);
    out.set_done(status.ok());
    out.set_why(std::string(status.message()));
    if (!status.ok()) out.set_leader_at(leader_address_);
    for (const HeldLease& held : applied.renewed) *out.add_held() = held;
    send(sender_address, packet);
  };
  if (!is_leader()) {
    if (leader_address_ == settings_.self.at) leader_address_.clear();
    return reply(absl::FailedPreconditionError("not the leader"), {});
  }
  if (request.has_voter_change()) return raft_node_->change_voters(now, request.voter_change(), reply);
  if (const absl::Status status = check_request(request); !status.ok()) return reply(status, {});
  const Command& command = request.command();
  if (command.has_move() &&
      raft_node_->lease_state_machine().find(command.move().job())->owner() == command.move().to())
    return reply(absl::OkStatus(), {});
  count_proposed_renewal(now, command);
  raft_node_->propose(now, command, reply);
}

absl::Status CoordinationProtocol::check_request(const Request& request) const {
  // Grants are decided by the leader only, never requested.
  if (!request.has_command() || request.command().has_grant())
    return absl::PermissionDeniedError("not for routers to ask");
  return request.command().has_move() ? check_move(request.command().move()) : absl::OkStatus();
}

absl::Status CoordinationProtocol::check_move(const Move& move) const {
  if (raft_node_->lease_state_machine().find(move.job()) == nullptr)
    return absl::NotFoundError("no such job");
  const std::vector<membership::Peer> living = swim_.living();
  const bool is_alive = std::any_of(living.begin(), living.end(), [&](const membership::Peer& peer) {
    return peer.name == move.to() && peer.standing == coordination::ALIVE;
  });
  return is_alive ? absl::OkStatus() : absl::NotFoundError("no such router is alive");
}

// A proposed renewal already counts when the next grants are decided.
void CoordinationProtocol::count_proposed_renewal(Micros now, const Command& command) {
  for (const HeldLease& held : raft_node_->lease_state_machine().still_held(command.renew()))
    lease_manager_.on_renewed(now, command.renew().owner(), held);
}

void CoordinationProtocol::on_applied(const Command& command, const Applied& applied) {
  for (const HeldLease& held : applied.renewed)
    lease_manager_.on_renewed(now_, command.renew().owner(), held);
  if (!applied.changed) return;
  const LeaseStateMachine& leases = raft_node_->lease_state_machine();
  if (command.has_grant()) {
    lease_manager_.on_granted(now_, applied.job);
    log_event("lease_granted", {{"job", applied.job},
                                {"number", std::to_string(leases.table().last_number())},
                                {"to", command.grant().owner()}});
  }
  if (!raft_node_->is_leader()) return;
  const Job* job = leases.find(applied.job);
  if (job == nullptr) return;
  push_record(job->owner());
  if (!job->wanted().empty()) push_record(job->wanted());
}

Record CoordinationProtocol::make_record(std::uint64_t known_revision) const {
  Record record;
  record.set_revision(lease_table().revision());
  if (lease_table().revision() > known_revision) *record.mutable_table() = lease_table();
  for (const Voter& voter : voters_) *record.add_voters() = voter;
  record.set_leader_at(leader_address_);
  return record;
}

void CoordinationProtocol::push_record(const std::string& router) {
  if (router == settings_.self.name) return;
  const auto it = swim_.others().find(router);
  if (it == swim_.others().end()) return;
  Packet packet = swim_.packet(router);
  *packet.mutable_record() = make_record(0);
  send(it->second.at, packet);
}

void CoordinationProtocol::on_record(Micros now, const Record& record) {
  if (is_voting()) return;  // a voter has the table from its own log
  voter_answered_at_ = now;
  leader_address_ = record.leader_at();
  if (record.voters_size() > 0) voters_.assign(record.voters().begin(), record.voters().end());
  if (record.has_table() && record.revision() > lease_table_.revision()) lease_table_ = record.table();
}

void CoordinationProtocol::send(const std::string& address, const Packet& packet) {
  if (!address.empty()) datagrams_.push_back({address, packet.SerializeAsString()});
}

std::vector<membership::Datagram> CoordinationProtocol::take_datagrams() {
  std::vector<membership::Datagram> out = swim_.take();
  if (out.empty()) return std::exchange(datagrams_, {});
  std::move(datagrams_.begin(), datagrams_.end(), std::back_inserter(out));
  datagrams_.clear();
  return out;
}

// A status query comes from a command that may not know the name of the fleet.
bool CoordinationProtocol::is_for_us(const Packet& packet) const {
  const bool is_our_fleet = packet.fleet() == settings_.membership.fleet;
  const bool is_open_query = packet.has_query() && packet.fleet().empty();
  return (is_our_fleet || is_open_query) && (packet.to().empty() || packet.to() == settings_.self.name);
}

void CoordinationProtocol::receive(Micros now, const std::string& sender_address, std::string_view bytes) {
  now_ = now;
  Packet packet;
  const bool is_ours =
      packet.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) && is_for_us(packet);
  if (is_ours && packet.has_query()) return send_status(now, sender_address);
  // Messages numbered below kRaft belong to membership, which also counts packets that are not for this
  // router.
  if (!is_ours || packet.what_case() < Packet::kRaft) {
    swim_.receive(now, sender_address, bytes);
    return run_steps(now);
  }
  if (is_displaced_) return;
  swim_.note_sender(now, sender_address, packet);
  on_packet(now, sender_address, packet);
  run_steps(now);
}

void CoordinationProtocol::send_status(Micros now, const std::string& address) {
  Packet packet = swim_.packet("");
  *packet.mutable_status() = status(now);
  if (extend_status_) extend_status_(now, *packet.mutable_status());
  send(address, packet);
}

void CoordinationProtocol::on_packet(Micros now, const std::string& sender_address, const Packet& packet) {
  switch (packet.what_case()) {
    case Packet::kRaft:
      if (raft_node_) raft_node_->receive(now, packet.raft());
      break;
    case Packet::kRequest:
      on_request(now, sender_address, packet.request());
      break;
    case Packet::kReply:
      on_reply(now, packet.reply());
      break;
    case Packet::kRead: {
      if (!is_voting()) break;
      Packet answer = swim_.packet(packet.from());
      *answer.mutable_record() = make_record(packet.read().revision());
      send(sender_address, answer);
      break;
    }
    case Packet::kRecord:
      on_record(now, packet.record());
      break;
    case Packet::kEffect:
      on_effect(sender_address, packet);
      break;
    case Packet::kShare:
      on_shared_state(sender_address, packet);
      break;
    case Packet::kWant:
      on_list_request(sender_address, packet.want());
      break;
    default:
      break;
  }
}

void CoordinationProtocol::on_effect(const std::string& sender_address, const Packet& packet) {
  const Effect& effect = packet.effect();
  const std::string token = std::to_string(effect.number());
  const std::uint64_t highest = fencing_tokens_.highest(effect.job());
  if (!fencing_tokens_.admit(effect.job(), effect.number())) {
    log_event("stale_fencing_token",
              {{"job", effect.job()},
               {"number", token},
               {"seen", std::to_string(highest)},
               {"from", packet.from()}},
              true);
    return;
  }
  if (highest != effect.number())
    log_event("lease_effect_applied", {{"job", effect.job()}, {"number", token}, {"from", packet.from()}});
  ++effects_admitted_;
  JobNotification notification;
  notification.kind = JobNotification::Kind::effect;
  notification.job = effect.job();
  notification.number = effect.number();
  notification.effect = effect;
  notification.sender_address = sender_address;
  notification.revision = effect.rev();
  notify(std::move(notification));
}

void CoordinationProtocol::on_shared_state(const std::string& sender_address, const Packet& packet) {
  JobNotification notification;
  notification.kind = JobNotification::Kind::shared_state;
  notification.sender_address = sender_address;
  notification.shared_state = packet.share();
  notification.sender = packet.from();
  notification.sender_start_time = packet.birth();
  notify(std::move(notification));
}

void CoordinationProtocol::on_list_request(const std::string& sender_address, const ListRequest& request) {
  JobNotification notification;
  notification.kind = JobNotification::Kind::list_requested;
  notification.job = request.job();
  notification.sender_address = sender_address;
  notification.revision = request.rev();
  notify(std::move(notification));
}

void CoordinationProtocol::notify(JobNotification notification) {
  if (notifications_.size() < kMaxNotifications) notifications_.push_back(std::move(notification));
}

bool CoordinationProtocol::send_effect(Micros now, Effect effect, const std::string& site,
                                       const std::string& address) {
  if (!lease_holder_.has_valid_lease(now, effect.job())) {
    ++effects_without_lease_;
    return false;
  }
  for (const HeldLease& held : lease_holder_.valid_leases(now)) {
    if (held.job() == effect.job()) effect.set_number(held.number());
  }
  effect.set_sequence(++last_effect_sequence_);
  fencing_tokens_.admit(effect.job(), effect.number());
  ++effects_sent_;
  if (!address.empty()) {
    Packet packet = swim_.packet("");
    *packet.mutable_effect() = effect;
    send(address, packet);
    return true;
  }
  for (const auto& [name, peer] : swim_.others()) {
    if (peer.standing == coordination::DEAD || peer.standing == coordination::LEFT) continue;
    if (!site.empty() && peer.site != site) continue;
    Packet packet = swim_.packet(name);
    *packet.mutable_effect() = effect;
    send(peer.at, packet);
  }
  return true;
}

const membership::Peer* CoordinationProtocol::find_owner(const std::string& job_name) const {
  for (const Job& job : lease_table().jobs()) {
    if (job.name() != job_name || job.owner().empty()) continue;
    const auto it = swim_.others().find(job.owner());
    return it == swim_.others().end() ? nullptr : &it->second;
  }
  return nullptr;
}

void CoordinationProtocol::request_list(const std::string& job, std::uint32_t revision) {
  const membership::Peer* owner = find_owner(job);
  if (owner == nullptr) return;
  Packet packet = swim_.packet(owner->name);
  packet.mutable_want()->set_job(job);
  packet.mutable_want()->set_rev(revision);
  send(owner->at, packet);
}

void CoordinationProtocol::send_shared_state(const std::string& router, const std::string& address,
                                             const SharedStateMessage& message) {
  if (is_displaced_) return;
  Packet packet = swim_.packet(router);
  *packet.mutable_share() = message;
  send(address, packet);
}

void CoordinationProtocol::draw_from_stock(Micros now, const StockDraw& draw) {
  Command command;
  *command.mutable_draw() = draw;
  send_command(now, command);
}

}  // namespace flintglade::coordination
