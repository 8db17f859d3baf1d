#include "coordination/raft_node.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace flintglade::coordination {
namespace {

constexpr unsigned kTickMs = 20;
// The record is some kilobytes, so a snapshot is cheap and the log stays short enough for one datagram.
constexpr unsigned kSnapshotAfter = 256, kTrailing = 64;
constexpr std::size_t kMostInMessage = 48u << 10;

void* copied(const std::string& bytes) {
  void* to = raft_malloc(std::max<std::size_t>(1, bytes.size()));
  if (to != nullptr && !bytes.empty()) std::memcpy(to, bytes.data(), bytes.size());
  return to;
}

void fill(const raft_configuration& from, google::protobuf::RepeatedPtrField<Server>& to) {
  for (unsigned i = 0; i < from.n; ++i) {
    Server* s = to.Add();
    s->set_id(from.servers[i].id);
    s->set_at(from.servers[i].address);
    s->set_role(from.servers[i].role);
  }
}
int make(const google::protobuf::RepeatedPtrField<Server>& from, raft_configuration& to) {
  raft_configuration_init(&to);
  for (const Server& s : from) {
    if (const int rc = raft_configuration_add(&to, s.id(), s.at().c_str(), s.role()); rc != 0) {
      raft_configuration_close(&to);
      return rc;
    }
  }
  return 0;
}
Entry entry_of(std::uint64_t index, const raft_entry& from) {
  Entry e;
  e.set_index(index);
  e.set_term(from.term);
  e.set_type(from.type);
  e.set_data(from.buf.base, from.buf.len);
  return e;
}
// All bytes in one batch, as the library frees them: of a message that it does not take, it frees the first
// one's.
raft_entry* entries_of(const auto& from) {
  if (from.empty()) return nullptr;
  auto* out =
      static_cast<raft_entry*>(raft_calloc(static_cast<std::size_t>(from.size()), sizeof(raft_entry)));
  std::string all;
  for (const Entry& e : from) all += e.data();
  char* batch = static_cast<char*>(copied(all));
  std::size_t i = 0, at = 0;
  for (const Entry& e : from) {
    out[i].term = e.term();
    out[i].type = static_cast<unsigned short>(e.type());
    out[i].buf = {batch + at, e.data().size()};
    out[i].batch = batch;
    at += e.data().size();
    ++i;
  }
  return out;
}

}  // namespace

struct RaftNode::Io {
  raft_io io{};
  RaftNode* node;
  raft_io_tick_cb tick = nullptr;
  raft_io_recv_cb receive = nullptr;

  explicit Io(RaftNode* owner) : node(owner) {
    io.version = 1;
    io.impl = this;
    io.init = [](raft_io*, raft_id, const char*) { return 0; };
    io.close = [](raft_io* of, raft_io_close_cb cb) {
      self(of).node->waiting_.emplace_back([of, cb] { cb(of); });
    };
    io.load = load;
    io.start = [](raft_io* of, unsigned msecs, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive) {
      (void)msecs;
      self(of).tick = on_tick;
      self(of).receive = on_receive;
      return 0;
    };
    io.bootstrap = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
    io.recover = [](raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; };
    io.set_term = [](raft_io* of, raft_term term) {
      Frame f;
      f.mutable_vote()->set_term(term);
      return self(of).node->store(f) ? 0 : RAFT_IOERR;
    };
    io.set_vote = [](raft_io* of, raft_id whom) {
      Frame f;
      f.mutable_vote()->set_term(self(of).node->memory_.vote.term());
      f.mutable_vote()->set_voted_for(whom);
      return self(of).node->store(f) ? 0 : RAFT_IOERR;
    };
    io.send = [](raft_io* of, raft_io_send* req, const raft_message* m, raft_io_send_cb cb) {
      RaftNode& node = *self(of).node;
      const Raft message = node.encode(*m);
      if (message.ByteSizeLong() <= kMostInMessage) node.send_(m->server_address, message);
      // Nobody waits for the word that hands the lead over.
      if (cb != nullptr) node.waiting_.emplace_back([req, cb] { cb(req, 0); });
      return 0;
    };
    io.append = [](raft_io* of, raft_io_append* req, const raft_entry entries[], unsigned n,
                   raft_io_append_cb cb) {
      RaftNode& node = *self(of).node;
      std::string bytes;
      for (unsigned i = 0; i < n; ++i) {
        Frame f;
        *f.mutable_entry() = entry_of(node.memory_.last() + 1, entries[i]);
        node.memory_.apply(f);
        bytes += frame_bytes(f);
      }
      const std::string why = node.halted_.empty() ? node.storage_.append(bytes) : node.halted_;
      if (!why.empty()) node.halt(why);
      node.waiting_.emplace_back([req, cb, good = why.empty()] { cb(req, good ? 0 : RAFT_IOERR); });
      return 0;
    };
    io.truncate = [](raft_io* of, raft_index from) {
      Frame f;
      f.set_truncate(from);
      return self(of).node->store(f) ? 0 : RAFT_IOERR;
    };
    io.snapshot_put = snapshot_put;
    io.snapshot_get = [](raft_io* of, raft_io_snapshot_get* req, raft_io_snapshot_get_cb cb) {
      RaftNode& node = *self(of).node;
      node.waiting_.emplace_back([&node, req, cb] {
        raft_snapshot* s = nullptr;
        const int rc = make_snapshot(node.memory_, s);
        cb(req, s, rc);
      });
      return 0;
    };
    io.time = [](raft_io* of) { return static_cast<raft_time>(self(of).node->now_ / core::kMilli); };
    io.random = [](raft_io* of, int min, int max) {
      return std::uniform_int_distribution<int>(min, max)(self(of).node->random_);
    };
  }

  static Io& self(raft_io* of) { return *static_cast<Io*>(of->impl); }

  static int make_snapshot(const PersistentState& memory, raft_snapshot*& out) {
    auto* s = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
    s->index = memory.snapshot.index();
    s->term = memory.snapshot.term();
    s->configuration_index = memory.snapshot.conf_index();
    if (const int rc = make(memory.snapshot.servers(), s->configuration); rc != 0) {
      raft_free(s);
      return rc;
    }
    s->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    s->bufs[0] = {copied(memory.snapshot.data()), memory.snapshot.data().size()};
    s->n_bufs = 1;
    out = s;
    return 0;
  }

  static int load(raft_io* of, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                  raft_index* start_index, raft_entry* entries[], std::size_t* n) {
    const PersistentState& m = self(of).node->memory_;
    *term = m.vote.term();
    *voted_for = m.vote.voted_for();
    *snapshot = nullptr;
    if (m.has_snapshot) {
      if (const int rc = make_snapshot(m, *snapshot); rc != 0) return rc;
    }
    *start_index = m.first;
    *n = m.entries.size();
    *entries = entries_of(m.entries);
    return 0;
  }

  static int snapshot_put(raft_io* of, unsigned trailing, raft_io_snapshot_put* req,
                          const raft_snapshot* snapshot, raft_io_snapshot_put_cb cb) {
    RaftNode& node = *self(of).node;
    Frame f;
    Snapshot& s = *f.mutable_snapshot();
    s.set_index(snapshot->index);
    s.set_term(snapshot->term);
    s.set_conf_index(snapshot->configuration_index);
    fill(snapshot->configuration, *s.mutable_servers());
    for (unsigned i = 0; i < snapshot->n_bufs; ++i)
      s.mutable_data()->append(static_cast<const char*>(snapshot->bufs[i].base), snapshot->bufs[i].len);
    const std::uint64_t index = snapshot->index;
    if (trailing == 0) {  // in place of all that is there
      node.memory_.entries.clear();
      node.memory_.first = index + 1;
      s.set_first_kept(index + 1);
    } else {
      s.set_first_kept(std::max(node.memory_.first, index > trailing ? index - trailing + 1 : 1));
    }
    node.memory_.apply(f);
    const std::string why =
        node.halted_.empty() ? node.storage_.rewrite(all_bytes(node.memory_)) : node.halted_;
    if (!why.empty()) node.halt(why);
    node.waiting_.emplace_back([req, cb, good = why.empty()] { cb(req, good ? 0 : RAFT_IOERR); });
    return 0;
  }
};

RaftNode::RaftNode(std::string at, PersistentState memory, RaftStorage& storage, RaftTimes times,
                   std::uint64_t seed, Send send, OnApply on_apply)
    : at_(std::move(at)),
      memory_(std::move(memory)),
      storage_(storage),
      times_(times),
      random_(seed),
      send_(std::move(send)),
      on_apply_(std::move(on_apply)),
      io_(std::make_unique<Io>(this)) {
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = [](raft_fsm* of, const raft_buffer* buf, void** result) {
    RaftNode& node = *static_cast<RaftNode*>(of->data);
    Command command;
    Applied applied;
    if (command.ParseFromArray(buf->base, static_cast<int>(buf->len))) applied = node.jobs_.apply(command);
    // The word to the proposer comes next, with this in hand.
    static thread_local Applied kept;
    kept = applied;
    *result = &kept;
    if (node.on_apply_) node.on_apply_(command, applied);
    return 0;
  };
  fsm_.snapshot = [](raft_fsm* of, raft_buffer* bufs[], unsigned* n) {
    const std::string bytes = static_cast<RaftNode*>(of->data)->jobs_.save();
    *bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
    (*bufs)[0] = {copied(bytes), bytes.size()};
    *n = 1;
    return 0;
  };
  fsm_.restore = [](raft_fsm* of, raft_buffer* buf) {
    const bool good =
        static_cast<RaftNode*>(of->data)->jobs_.load({static_cast<const char*>(buf->base), buf->len});
    raft_free(buf->base);
    return good ? 0 : RAFT_MALFORMED;
  };
}

RaftNode::~RaftNode() {
  if (!started_) return;
  raft_close(&raft_, [](raft* of) { static_cast<RaftNode*>(of->data)->closed_ = true; });
  while (!closed_ && !waiting_.empty()) settle();
  changing_.reset();
}

std::string RaftNode::start(Micros now) {
  now_ = now;
  int rc = raft_init(&raft_, &io_->io, &fsm_, memory_.head.id(), at_.c_str());
  if (rc != 0) return raft_strerror(rc);
  raft_.data = this;
  raft_set_election_timeout(&raft_, times_.election_ms);
  raft_set_heartbeat_timeout(&raft_, times_.heartbeat_ms);
  raft_set_snapshot_threshold(&raft_, kSnapshotAfter);
  raft_set_snapshot_trailing(&raft_, kTrailing);
  raft_set_pre_vote(&raft_, true);  // one that was cut off does not unseat a leader at its return
  rc = raft_start(&raft_);
  started_ = true;
  if (rc != 0) return std::string(raft_strerror(rc)) + ": " + raft_errmsg(&raft_);
  settle();
  next_ = now + kTickMs * core::kMilli;
  return "";
}

void RaftNode::tick(Micros now) {
  if (!halted_.empty() || !started_) return;
  now_ = now;
  next_ = now + kTickMs * core::kMilli;
  io_->tick(&io_->io);
  settle();
}

void RaftNode::settle() {
  while (!waiting_.empty()) {
    const auto first = std::move(waiting_.front());
    waiting_.pop_front();
    first();
  }
}

bool RaftNode::store(const Frame& frame) {
  memory_.apply(frame);
  const std::string why = halted_.empty() ? storage_.append(frame_bytes(frame)) : halted_;
  if (!why.empty()) halt(why);
  return why.empty();
}

void RaftNode::halt(const std::string& why) {
  if (halted_.empty()) halted_ = why.empty() ? "halted" : why;
  next_ = core::kNever;
}

bool RaftNode::leads() const { return halted_.empty() && started_ && raft_.state == RAFT_LEADER; }
std::string RaftNode::role() const {
  if (!halted_.empty()) return "halted";
  switch (raft_.state) {
    case RAFT_LEADER:
      return "leader";
    case RAFT_CANDIDATE:
      return "candidate";
    default:
      return "follower";
  }
}
std::string RaftNode::leader_at() const {
  raft_id id = 0;
  const char* at = nullptr;
  if (started_ && halted_.empty()) raft_leader(const_cast<raft*>(&raft_), &id, &at);
  return at == nullptr ? "" : at;
}
std::vector<Voter> RaftNode::voters() const {
  std::vector<Voter> out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    Voter v;
    v.set_id(raft_.configuration.servers[i].id);
    v.set_at(raft_.configuration.servers[i].address);
    v.set_votes(raft_.configuration.servers[i].role == RAFT_VOTER);
    out.push_back(v);
  }
  return out;
}

void RaftNode::propose(Micros now, const Command& command, Done done) {
  now_ = now;
  if (!leads()) return done(false, "not the leader", {});
  const std::string bytes = command.SerializeAsString();
  raft_buffer buffer{copied(bytes), bytes.size()};
  auto* p = new Proposal{{}, this, std::move(done)};
  p->request.data = p;
  const int rc =
      raft_apply(&raft_, &p->request, &buffer, 1, [](struct raft_apply* req, int status, void* result) {
        const std::unique_ptr<Proposal> own(static_cast<Proposal*>(req->data));
        const Applied applied = status == 0 && result != nullptr ? *static_cast<Applied*>(result) : Applied{};
        own->done(status == 0, status == 0 ? "" : raft_strerror(status), applied);
      });
  if (rc != 0) {
    const std::unique_ptr<Proposal> own(p);
    raft_free(buffer.base);
    own->done(false, raft_strerror(rc), {});
  }
  settle();
}

void RaftNode::change(Micros now, const VoterChange& change, Done done) {
  now_ = now;
  if (!leads()) return done(false, "not the leader", {});
  if (changing_) return done(false, "another change of voters is under way", {});
  changing_ = std::make_unique<Changing>(Changing{{}, this, std::move(done), change.id()});
  changing_->request.data = changing_.get();
  static constexpr raft_change_cb ended = [](raft_change* req, int status) {
    RaftNode& node = *static_cast<Changing*>(req->data)->node;
    const std::unique_ptr<Changing> own = std::move(node.changing_);
    own->done(status == 0, status == 0 ? "" : raft_strerror(status), {});
  };
  int rc = 0;
  if (change.add()) {
    rc = raft_add(&raft_, &changing_->request, change.id(), change.at().c_str(),
                  [](raft_change* req, int status) {
                    auto* c = static_cast<Changing*>(req->data);
                    RaftNode& node = *c->node;
                    if (status == 0) status = raft_assign(&node.raft_, req, c->id, RAFT_VOTER, ended);
                    if (status != 0) ended(req, status);
                  });
  } else {
    rc = raft_remove(&raft_, &changing_->request, change.id(), ended);
  }
  if (rc != 0) ended(&changing_->request, rc);
  settle();
}

bool RaftNode::hand_over(Micros now) {
  now_ = now;
  if (!leads() || transfers_) return false;
  transfer_.data = this;
  const int rc = raft_transfer(&raft_, &transfer_, 0, [](struct raft_transfer* req) {
    static_cast<RaftNode*>(req->data)->transfers_ = false;
  });
  transfers_ = rc == 0;
  settle();
  return rc == 0;
}

// ---- messages

Raft RaftNode::encode(const raft_message& m) const {
  Raft out;
  out.set_sender(memory_.head.id());
  out.set_receiver(m.server_id);
  out.set_sender_at(at_);
  out.set_type(m.type);
  switch (m.type) {
    case RAFT_IO_REQUEST_VOTE:
      out.set_term(m.request_vote.term);
      out.set_candidate(m.request_vote.candidate_id);
      out.set_last_index(m.request_vote.last_log_index);
      out.set_last_term(m.request_vote.last_log_term);
      out.set_disrupt_leader(m.request_vote.disrupt_leader);
      out.set_pre_vote(m.request_vote.pre_vote);
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      out.set_term(m.request_vote_result.term);
      out.set_granted(m.request_vote_result.vote_granted);
      out.set_pre_vote_answer(static_cast<std::uint32_t>(m.request_vote_result.pre_vote));
      break;
    case RAFT_IO_APPEND_ENTRIES:
      out.set_term(m.append_entries.term);
      out.set_previous_index(m.append_entries.prev_log_index);
      out.set_previous_term(m.append_entries.prev_log_term);
      out.set_commit(m.append_entries.leader_commit);
      for (unsigned i = 0; i < m.append_entries.n_entries; ++i)
        *out.add_entries() = entry_of(m.append_entries.prev_log_index + 1 + i, m.append_entries.entries[i]);
      break;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      out.set_term(m.append_entries_result.term);
      out.set_rejected(m.append_entries_result.rejected);
      out.set_last_index(m.append_entries_result.last_log_index);
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      out.set_term(m.install_snapshot.term);
      out.set_last_index(m.install_snapshot.last_index);
      out.set_last_term(m.install_snapshot.last_term);
      out.set_conf_index(m.install_snapshot.conf_index);
      fill(m.install_snapshot.conf, *out.mutable_servers());
      out.set_data(m.install_snapshot.data.base, m.install_snapshot.data.len);
      break;
    case RAFT_IO_TIMEOUT_NOW:
      out.set_term(m.timeout_now.term);
      out.set_last_index(m.timeout_now.last_log_index);
      out.set_last_term(m.timeout_now.last_log_term);
      break;
    default:
      break;
  }
  return out;
}

void RaftNode::receive(Micros now, const Raft& in) {
  if (!halted_.empty() || !started_ || in.receiver() != id() || in.sender() == id()) return;
  now_ = now;
  // Only from servers that the configuration knows, but for one that knows none yet.
  std::string from;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    if (raft_.configuration.servers[i].id == in.sender()) from = raft_.configuration.servers[i].address;
  }
  if (from.empty()) {
    if (raft_.configuration.n > 0) return;
    from = in.sender_at();
  }
  raft_message m{};
  m.type = static_cast<unsigned short>(in.type());
  m.server_id = in.sender();
  m.server_address = from.c_str();
  switch (in.type()) {
    case RAFT_IO_REQUEST_VOTE:
      m.request_vote = {in.term(),      in.candidate(),      in.last_index(),
                        in.last_term(), in.disrupt_leader(), in.pre_vote()};
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      if (in.pre_vote_answer() > raft_tribool_false) return;
      m.request_vote_result = {in.term(), in.granted(), static_cast<raft_tribool>(in.pre_vote_answer())};
      break;
    case RAFT_IO_APPEND_ENTRIES: {
      std::uint64_t index = in.previous_index();
      for (const Entry& e : in.entries()) {
        if (e.index() != ++index || e.type() < RAFT_COMMAND || e.type() > RAFT_CHANGE) return;
      }
      m.append_entries.term = in.term();
      m.append_entries.prev_log_index = in.previous_index();
      m.append_entries.prev_log_term = in.previous_term();
      m.append_entries.leader_commit = in.commit();
      m.append_entries.entries = entries_of(in.entries());
      m.append_entries.n_entries = static_cast<unsigned>(in.entries_size());
      break;
    }
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      m.append_entries_result = {in.term(), in.rejected(), in.last_index()};
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      m.install_snapshot.term = in.term();
      m.install_snapshot.last_index = in.last_index();
      m.install_snapshot.last_term = in.last_term();
      m.install_snapshot.conf_index = in.conf_index();
      if (make(in.servers(), m.install_snapshot.conf) != 0) return;
      m.install_snapshot.data = {copied(in.data()), in.data().size()};
      break;
    case RAFT_IO_TIMEOUT_NOW:
      m.timeout_now = {in.term(), in.last_index(), in.last_term()};
      break;
    default:
      return;
  }
  io_->receive(&io_->io, &m);
  settle();
}

PersistentState RaftNode::first_memory(const std::string& fleet, std::uint64_t id,
                                       const std::vector<Voter>& voters) {
  PersistentState out;
  out.head.set_fleet(fleet);
  out.head.set_id(id);
  out.head.set_version(kJournalVersion);
  if (voters.empty()) return out;
  raft_configuration conf;
  raft_configuration_init(&conf);
  for (const Voter& v : voters) raft_configuration_add(&conf, v.id(), v.at().c_str(), RAFT_VOTER);
  raft_buffer buffer{};
  if (raft_configuration_encode(&conf, &buffer) == 0) {
    Frame f;
    Entry* e = f.mutable_entry();
    e->set_index(1);
    e->set_term(1);
    e->set_type(RAFT_CHANGE);
    e->set_data(buffer.base, buffer.len);
    out.apply(f);
    out.vote.set_term(1);
    raft_free(buffer.base);
  }
  raft_configuration_close(&conf);
  return out;
}

}  // namespace flintglade::coordination
