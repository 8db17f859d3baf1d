#include "coordination/raft_library_io.h"

#include <algorithm>
#include <utility>

#include "coordination/raft_message_codec.h"

namespace flintglade::coordination {
namespace {

// A message with its envelope has to fit into one UDP datagram.
constexpr std::size_t kMaxMessageBytes = 48u << 10;

// Returns an error code of the library, or 0. The library frees the snapshot.
int make_raft_snapshot(const Snapshot& from, raft_snapshot*& out) {
  auto* snapshot = static_cast<raft_snapshot*>(raft_calloc(1, sizeof(raft_snapshot)));
  snapshot->index = from.index();
  snapshot->term = from.term();
  snapshot->configuration_index = from.conf_index();
  if (const int error = make_configuration(from.servers(), snapshot->configuration); error != 0) {
    raft_free(snapshot);
    return error;
  }
  snapshot->bufs = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  snapshot->bufs[0] = make_raft_buffer(from.data());
  snapshot->n_bufs = 1;
  out = snapshot;
  return 0;
}

Snapshot make_snapshot(const raft_snapshot& from) {
  Snapshot out;
  out.set_index(from.index);
  out.set_term(from.term);
  out.set_conf_index(from.configuration_index);
  append_servers(from.configuration, *out.mutable_servers());
  for (unsigned i = 0; i < from.n_bufs; ++i)
    out.mutable_data()->append(static_cast<const char*>(from.bufs[i].base), from.bufs[i].len);
  return out;
}

// The index up to which the receiver's log agrees with the leader's if it accepts this message. 0: the
// message covers no entry.
raft_index covered_index(const raft_message& message) {
  switch (message.type) {
    case RAFT_IO_APPEND_ENTRIES:
      return message.append_entries.prev_log_index + message.append_entries.n_entries;
    case RAFT_IO_INSTALL_SNAPSHOT:
      return message.install_snapshot.last_index;
    default:
      return 0;
  }
}

int refuse_configuration(raft_io*, const raft_configuration*) { return RAFT_CANTBOOTSTRAP; }

}  // namespace

RaftLibraryIo::RaftLibraryIo(std::string address, PersistentState state, RaftStorage& storage,
                             std::uint64_t seed, SendFunction send_message, std::function<void()> on_halted)
    : address_(std::move(address)),
      state_(std::move(state)),
      storage_(storage),
      random_(seed),
      send_(std::move(send_message)),
      on_halted_(std::move(on_halted)) {
  io_.version = 1;
  io_.impl = this;
  io_.init = [](raft_io*, raft_id, const char*) { return 0; };
  io_.close = close;
  io_.load = load;
  io_.start = start;
  io_.bootstrap = refuse_configuration;  // a new file already has one: RaftNode::initial_state
  io_.recover = refuse_configuration;
  io_.set_term = set_term;
  io_.set_vote = set_vote;
  io_.send = send;
  io_.append = append;
  io_.truncate = truncate;
  io_.snapshot_put = put_snapshot;
  io_.snapshot_get = get_snapshot;
  io_.time = time;
  io_.random = random;
}

void RaftLibraryIo::receive(raft_message& message) {
  covered_index_ = covered_index(message);
  if (message.type == RAFT_IO_APPEND_ENTRIES) limit_commit_index(message.append_entries);
  on_receive_(&io_, &message);
  run_callbacks();  // the acknowledgement is sent by then, since storage calls are synchronous
  covered_index_ = 0;
}

void RaftLibraryIo::run_callbacks() {
  while (!callbacks_.empty()) {
    const auto callback = std::move(callbacks_.front());
    callbacks_.pop_front();
    callback();
  }
}

int RaftLibraryIo::write_frame(const Frame& frame) {
  state_.apply(frame);
  return finish_write(halt_status_.ok() ? storage_.append(encode_log_frame(frame)) : halt_status_);
}

int RaftLibraryIo::finish_write(const absl::Status& status) {
  if (status.ok()) return 0;
  if (halt_status_.ok()) halt_status_ = status;
  on_halted_();
  return RAFT_IOERR;
}

void RaftLibraryIo::close(raft_io* io, raft_io_close_cb callback) {
  self(io).callbacks_.emplace_back([io, callback] { callback(io); });
}

int RaftLibraryIo::load(raft_io* io, raft_term* term, raft_id* voted_for, raft_snapshot** snapshot,
                        raft_index* start_index, raft_entry* entries[], std::size_t* entry_count) {
  const PersistentState& state = self(io).state_;
  *term = state.vote.term();
  *voted_for = state.vote.voted_for();
  *snapshot = nullptr;
  if (state.has_snapshot) {
    if (const int error = make_raft_snapshot(state.snapshot, *snapshot); error != 0) return error;
  }
  *start_index = state.first_index;
  *entry_count = state.entries.size();
  *entries = make_raft_entries(state.entries);
  return 0;
}

int RaftLibraryIo::start(raft_io* io, unsigned, raft_io_tick_cb on_tick, raft_io_recv_cb on_receive) {
  self(io).on_tick_ = on_tick;
  self(io).on_receive_ = on_receive;
  return 0;
}

int RaftLibraryIo::set_term(raft_io* io, raft_term term) {
  Frame frame;
  frame.mutable_vote()->set_term(term);
  return self(io).write_frame(frame);
}

int RaftLibraryIo::set_vote(raft_io* io, raft_id candidate) {
  Frame frame;
  frame.mutable_vote()->set_term(self(io).state_.vote.term());
  frame.mutable_vote()->set_voted_for(candidate);
  return self(io).write_frame(frame);
}

void RaftLibraryIo::limit_commit_index(raft_append_entries& request) const {
  request.leader_commit = std::min(request.leader_commit, covered_index_);
}

void RaftLibraryIo::limit_acknowledgement(raft_append_entries_result& result) const {
  const bool is_accepted = result.rejected == 0;
  if (is_accepted) result.last_log_index = std::min(result.last_log_index, covered_index_);
}

int RaftLibraryIo::send(raft_io* io, raft_io_send* request, const raft_message* message,
                        raft_io_send_cb callback) {
  RaftLibraryIo& instance = self(io);
  raft_message outgoing = *message;
  if (outgoing.type == RAFT_IO_APPEND_ENTRIES_RESULT)
    instance.limit_acknowledgement(outgoing.append_entries_result);
  const Raft encoded = encode_raft_message(outgoing, {instance.state_.head.id(), instance.address_});
  if (encoded.ByteSizeLong() <= kMaxMessageBytes) instance.send_(message->server_address, encoded);
  // The library sends TimeoutNow, which transfers the leadership, without a callback.
  if (callback != nullptr) instance.callbacks_.emplace_back([request, callback] { callback(request, 0); });
  return 0;
}

int RaftLibraryIo::append(raft_io* io, raft_io_append* request, const raft_entry entries[], unsigned count,
                          raft_io_append_cb callback) {
  RaftLibraryIo& instance = self(io);
  std::string bytes;
  for (unsigned i = 0; i < count; ++i) {
    Frame frame;
    *frame.mutable_entry() = make_entry(instance.state_.last_index() + 1, entries[i]);
    instance.state_.apply(frame);
    bytes += encode_log_frame(frame);
  }
  const int error = instance.finish_write(instance.halt_status_.ok() ? instance.storage_.append(bytes)
                                                                     : instance.halt_status_);
  instance.callbacks_.emplace_back([request, callback, error] { callback(request, error); });
  return 0;
}

int RaftLibraryIo::truncate(raft_io* io, raft_index from) {
  Frame frame;
  frame.set_truncate(from);
  return self(io).write_frame(frame);
}

int RaftLibraryIo::put_snapshot(raft_io* io, unsigned trailing, raft_io_snapshot_put* request,
                                const raft_snapshot* snapshot, raft_io_snapshot_put_cb callback) {
  RaftLibraryIo& instance = self(io);
  PersistentState& state = instance.state_;
  const std::uint64_t index = snapshot->index;
  Frame frame;
  *frame.mutable_snapshot() = make_snapshot(*snapshot);
  if (trailing == 0) {  // a snapshot from the leader: it replaces the whole log
    state.entries.clear();
    state.first_index = index + 1;
    frame.mutable_snapshot()->set_first_kept(index + 1);
  } else {
    frame.mutable_snapshot()->set_first_kept(
        std::max(state.first_index, index > trailing ? index - trailing + 1 : 1));
  }
  state.apply(frame);
  const int error = instance.finish_write(
      instance.halt_status_.ok() ? instance.storage_.rewrite(encode_raft_log(state)) : instance.halt_status_);
  instance.callbacks_.emplace_back([request, callback, error] { callback(request, error); });
  return 0;
}

int RaftLibraryIo::get_snapshot(raft_io* io, raft_io_snapshot_get* request,
                                raft_io_snapshot_get_cb callback) {
  RaftLibraryIo& instance = self(io);
  instance.callbacks_.emplace_back([&instance, request, callback] {
    raft_snapshot* snapshot = nullptr;
    const int error = make_raft_snapshot(instance.state_.snapshot, snapshot);
    callback(request, snapshot, error);
  });
  return 0;
}

raft_time RaftLibraryIo::time(raft_io* io) { return static_cast<raft_time>(self(io).now_ / core::kMilli); }

int RaftLibraryIo::random(raft_io* io, int min, int max) {
  return std::uniform_int_distribution<int>(min, max)(self(io).random_);
}

}  // namespace flintglade::coordination
