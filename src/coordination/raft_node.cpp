#include "coordination/raft_node.h"

#include <utility>

#include "coordination/framed_bytes.h"
#include "coordination/raft_message_codec.h"

namespace flintglade::coordination {
namespace {

constexpr Micros kTickPeriod = 20 * core::kMilli;
// The lease table is a few kilobytes, so snapshots are cheap, and frequent ones keep the log short enough for
// one datagram.
constexpr unsigned kEntriesPerSnapshot = 256;
constexpr unsigned kEntriesKeptBySnapshot = 64;

absl::Status library_error(int error) {
  return error == 0 ? absl::OkStatus() : absl::UnavailableError(raft_strerror(error));
}

}  // namespace

RaftNode::RaftNode(std::string address, PersistentState state, RaftStorage& storage, RaftTimes times,
                   std::uint64_t seed, SendFunction send, OnApply on_apply)
    : address_(std::move(address)),
      times_(times),
      on_apply_(std::move(on_apply)),
      io_(
          address_, std::move(state), storage, seed,
          [this, send = std::move(send)](const std::string& to, const Raft& message) {
            send(to,
                 message.type() == RAFT_IO_APPEND_ENTRIES_RESULT ? with_table_checksum(message) : message);
          },
          [this] { next_tick_ = core::kNever; }) {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = apply_command;
  fsm_.snapshot = save_snapshot;
  fsm_.restore = restore_snapshot;
}

RaftNode::~RaftNode() {
  if (!is_started_) return;
  raft_close(&raft_, [](raft* library) { static_cast<RaftNode*>(library->data)->is_closed_ = true; });
  while (!is_closed_ && io_.has_callbacks()) io_.run_callbacks();
  pending_voter_change_.reset();
}

absl::Status RaftNode::start(Micros now) {
  set_time(now);
  int error = raft_init(&raft_, io_.library_handle(), &fsm_, id(), address_.c_str());
  if (error != 0) return library_error(error);
  raft_.data = this;
  raft_set_election_timeout(&raft_, times_.election_ms);
  raft_set_heartbeat_timeout(&raft_, times_.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, kEntriesPerSnapshot);
  raft_set_snapshot_trailing(&raft_, kEntriesKeptBySnapshot);
  raft_set_pre_vote(&raft_, true);  // a voter that reconnects does not depose the leader
  error = raft_start(&raft_);
  is_started_ = true;
  if (error != 0)
    return absl::UnavailableError(std::string(raft_strerror(error)) + ": " + raft_errmsg(&raft_));
  io_.run_callbacks();
  next_tick_ = now + kTickPeriod;
  return absl::OkStatus();
}

void RaftNode::tick(Micros now) {
  if (is_halted() || !is_started_) return;
  set_time(now);
  next_tick_ = now + kTickPeriod;
  io_.tick();
  io_.run_callbacks();
}

int RaftNode::apply_command(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
  RaftNode& node = *static_cast<RaftNode*>(fsm->data);
  Command command;
  Applied applied;
  if (command.ParseFromArray(buffer->base, static_cast<int>(buffer->len)))
    applied = node.lease_state_machine_.apply(command);
  node.record_table_checksum(node.raft_.last_applied + 1);
  // The library calls on_proposal_done next, with this pointer.
  static thread_local Applied last_applied;
  last_applied = applied;
  *result = &last_applied;
  if (node.on_apply_) node.on_apply_(command, applied);
  return 0;
}

int RaftNode::save_snapshot(raft_fsm* fsm, raft_buffer* buffers[], unsigned* buffer_count) {
  const std::string bytes = static_cast<RaftNode*>(fsm->data)->lease_state_machine_.save();
  *buffers = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  (*buffers)[0] = make_raft_buffer(bytes);
  *buffer_count = 1;
  return 0;
}

int RaftNode::restore_snapshot(raft_fsm* fsm, raft_buffer* buffer) {
  LeaseStateMachine& machine = static_cast<RaftNode*>(fsm->data)->lease_state_machine_;
  const bool parsed = machine.load({static_cast<const char*>(buffer->base), buffer->len});
  raft_free(buffer->base);
  return parsed ? 0 : RAFT_MALFORMED;
}

void RaftNode::record_table_checksum(std::uint64_t index) {
  table_checksums_.record({index, crc32_of(lease_state_machine_.save())});
}

Raft RaftNode::with_table_checksum(const Raft& message) const {
  Raft out = message;
  const TableChecksum latest = table_checksums_.latest();
  out.set_applied_index(latest.index);
  out.set_table_checksum(latest.checksum);
  return out;
}

bool RaftNode::is_leader() const { return !is_halted() && is_started_ && raft_.state == RAFT_LEADER; }

std::string RaftNode::role() const {
  if (is_halted()) return "halted";
  switch (raft_.state) {
    case RAFT_LEADER:
      return "leader";
    case RAFT_CANDIDATE:
      return "candidate";
    default:
      return "follower";
  }
}

std::string RaftNode::leader_address() const {
  raft_id id = 0;
  const char* address = nullptr;
  if (is_started_ && !is_halted()) raft_leader(const_cast<raft*>(&raft_), &id, &address);
  return address == nullptr ? "" : address;
}

std::vector<Voter> RaftNode::voters() const {
  std::vector<Voter> out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    Voter voter;
    voter.set_id(raft_.configuration.servers[i].id);
    voter.set_at(raft_.configuration.servers[i].address);
    voter.set_votes(raft_.configuration.servers[i].role == RAFT_VOTER);
    out.push_back(voter);
  }
  return out;
}

void RaftNode::propose(Micros now, const Command& command, ProposalCallback done) {
  set_time(now);
  if (!is_leader()) return done(absl::FailedPreconditionError("not the leader"), {});
  raft_buffer buffer = make_raft_buffer(command.SerializeAsString());
  auto proposal = std::make_unique<Proposal>(Proposal{{}, std::move(done)});
  proposal->request.data = proposal.get();
  const int error = raft_apply(&raft_, &proposal->request, &buffer, 1, on_proposal_done);
  if (error == 0) {
    (void)proposal.release();  // owned by on_proposal_done now
  } else {
    raft_free(buffer.base);
    proposal->done(library_error(error), {});
  }
  io_.run_callbacks();
}

void RaftNode::on_proposal_done(struct raft_apply* request, int error, void* result) {
  const std::unique_ptr<Proposal> proposal(static_cast<Proposal*>(request->data));
  const Applied applied = error == 0 && result != nullptr ? *static_cast<Applied*>(result) : Applied{};
  proposal->done(library_error(error), applied);
}

void RaftNode::change_voters(Micros now, const VoterChange& change, ProposalCallback done) {
  set_time(now);
  if (!is_leader()) return done(absl::FailedPreconditionError("not the leader"), {});
  if (pending_voter_change_) return done(absl::UnavailableError("another change of voters is under way"), {});
  pending_voter_change_ =
      std::make_unique<PendingVoterChange>(PendingVoterChange{{}, this, std::move(done), change.id()});
  raft_change* request = &pending_voter_change_->request;
  request->data = pending_voter_change_.get();
  const int error = change.add() ? raft_add(&raft_, request, change.id(), change.at().c_str(), on_voter_added)
                                 : raft_remove(&raft_, request, change.id(), on_voter_change_done);
  if (error != 0) on_voter_change_done(request, error);
  io_.run_callbacks();
}

void RaftNode::on_voter_added(raft_change* request, int error) {
  auto* change = static_cast<PendingVoterChange*>(request->data);
  if (error == 0)
    error = raft_assign(&change->node->raft_, request, change->voter_id, RAFT_VOTER, on_voter_change_done);
  if (error != 0) on_voter_change_done(request, error);
}

void RaftNode::on_voter_change_done(raft_change* request, int error) {
  RaftNode& node = *static_cast<PendingVoterChange*>(request->data)->node;
  const std::unique_ptr<PendingVoterChange> change = std::move(node.pending_voter_change_);
  change->done(library_error(error), {});
}

bool RaftNode::transfer_leadership(Micros now) {
  set_time(now);
  if (!is_leader() || is_transferring_) return false;
  transfer_request_.data = this;
  const raft_id any_voter = 0;
  const int error = raft_transfer(&raft_, &transfer_request_, any_voter, [](struct raft_transfer* request) {
    static_cast<RaftNode*>(request->data)->is_transferring_ = false;
  });
  is_transferring_ = error == 0;
  io_.run_callbacks();
  return error == 0;
}

std::string RaftNode::address_of(std::uint64_t id) const {
  std::string out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    if (raft_.configuration.servers[i].id == id) out = raft_.configuration.servers[i].address;
  }
  return out;
}

void RaftNode::receive(Micros now, const Raft& message) {
  if (is_halted() || !is_started_ || message.receiver() != id() || message.sender() == id()) return;
  set_time(now);
  // Accepts messages from servers of the configuration only; a voter without a configuration accepts any
  // sender.
  std::string sender_address = address_of(message.sender());
  if (sender_address.empty()) {
    if (raft_.configuration.n > 0) return;
    sender_address = message.sender_at();
  }
  std::optional<raft_message> decoded = decode_raft_message(message, sender_address);
  if (!decoded) return;
  if (message.applied_index() > 0)
    table_checksums_.compare(message.sender(), {message.applied_index(), message.table_checksum()});
  io_.receive(*decoded);
}

PersistentState RaftNode::initial_state(const std::string& fleet, std::uint64_t id,
                                        const std::vector<Voter>& voters) {
  PersistentState out;
  out.head.set_fleet(fleet);
  out.head.set_id(id);
  out.head.set_version(kRaftLogVersion);
  if (voters.empty()) return out;
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  for (const Voter& voter : voters)
    raft_configuration_add(&configuration, voter.id(), voter.at().c_str(), RAFT_VOTER);
  raft_buffer buffer{};
  if (raft_configuration_encode(&configuration, &buffer) == 0) {
    Frame frame;
    Entry* entry = frame.mutable_entry();
    entry->set_index(1);
    entry->set_term(1);
    entry->set_type(RAFT_CHANGE);
    entry->set_data(buffer.base, buffer.len);
    out.apply(frame);
    out.vote.set_term(1);
    raft_free(buffer.base);
  }
  raft_configuration_close(&configuration);
  return out;
}

}  // namespace flintglade::coordination
