#include "coordination/raft_message_codec.h"

#include <algorithm>
#include <cstring>

namespace flintglade::coordination {
namespace {

template <typename Entries>
raft_entry* make_entries(const Entries& from) {
  if (from.empty()) return nullptr;
  auto* out =
      static_cast<raft_entry*>(raft_calloc(static_cast<std::size_t>(from.size()), sizeof(raft_entry)));
  std::string all_data;
  for (const Entry& entry : from) all_data += entry.data();
  char* batch = static_cast<char*>(make_raft_buffer(all_data).base);
  std::size_t i = 0, offset = 0;
  for (const Entry& entry : from) {
    out[i].term = entry.term();
    out[i].type = static_cast<unsigned short>(entry.type());
    out[i].buf = {batch + offset, entry.data().size()};
    out[i].batch = batch;
    offset += entry.data().size();
    ++i;
  }
  return out;
}

void encode_request_vote(const raft_request_vote& from, Raft& to) {
  to.set_term(from.term);
  to.set_candidate(from.candidate_id);
  to.set_last_index(from.last_log_index);
  to.set_last_term(from.last_log_term);
  to.set_disrupt_leader(from.disrupt_leader);
  to.set_pre_vote(from.pre_vote);
}

void encode_request_vote_result(const raft_request_vote_result& from, Raft& to) {
  to.set_term(from.term);
  to.set_granted(from.vote_granted);
  to.set_pre_vote_answer(static_cast<std::uint32_t>(from.pre_vote));
}

void encode_append_entries(const raft_append_entries& from, Raft& to) {
  to.set_term(from.term);
  to.set_previous_index(from.prev_log_index);
  to.set_previous_term(from.prev_log_term);
  to.set_commit(from.leader_commit);
  for (unsigned i = 0; i < from.n_entries; ++i)
    *to.add_entries() = make_entry(from.prev_log_index + 1 + i, from.entries[i]);
}

void encode_append_entries_result(const raft_append_entries_result& from, Raft& to) {
  to.set_term(from.term);
  to.set_rejected(from.rejected);
  to.set_last_index(from.last_log_index);
}

void encode_install_snapshot(const raft_install_snapshot& from, Raft& to) {
  to.set_term(from.term);
  to.set_last_index(from.last_index);
  to.set_last_term(from.last_term);
  to.set_conf_index(from.conf_index);
  append_servers(from.conf, *to.mutable_servers());
  to.set_data(from.data.base, from.data.len);
}

void encode_timeout_now(const raft_timeout_now& from, Raft& to) {
  to.set_term(from.term);
  to.set_last_index(from.last_log_index);
  to.set_last_term(from.last_log_term);
}

bool decode_append_entries(const Raft& from, raft_append_entries& to) {
  std::uint64_t index = from.previous_index();
  for (const Entry& entry : from.entries()) {
    if (entry.index() != ++index || entry.type() < RAFT_COMMAND || entry.type() > RAFT_CHANGE) return false;
  }
  to.term = from.term();
  to.prev_log_index = from.previous_index();
  to.prev_log_term = from.previous_term();
  to.leader_commit = from.commit();
  to.entries = make_raft_entries(from.entries());
  to.n_entries = static_cast<unsigned>(from.entries_size());
  return true;
}

bool decode_install_snapshot(const Raft& from, raft_install_snapshot& to) {
  to.term = from.term();
  to.last_index = from.last_index();
  to.last_term = from.last_term();
  to.conf_index = from.conf_index();
  if (make_configuration(from.servers(), to.conf) != 0) return false;
  to.data = make_raft_buffer(from.data());
  return true;
}

// The part of a message that depends on its type.
bool decode_body(const Raft& from, raft_message& to) {
  switch (from.type()) {
    case RAFT_IO_REQUEST_VOTE:
      to.request_vote = {from.term(),      from.candidate(),      from.last_index(),
                         from.last_term(), from.disrupt_leader(), from.pre_vote()};
      return true;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      if (from.pre_vote_answer() > raft_tribool_false) return false;
      to.request_vote_result = {from.term(), from.granted(),
                                static_cast<raft_tribool>(from.pre_vote_answer())};
      return true;
    case RAFT_IO_APPEND_ENTRIES:
      return decode_append_entries(from, to.append_entries);
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      to.append_entries_result = {from.term(), from.rejected(), from.last_index()};
      return true;
    case RAFT_IO_INSTALL_SNAPSHOT:
      return decode_install_snapshot(from, to.install_snapshot);
    case RAFT_IO_TIMEOUT_NOW:
      to.timeout_now = {from.term(), from.last_index(), from.last_term()};
      return true;
    default:
      return false;
  }
}

}  // namespace

raft_buffer make_raft_buffer(const std::string& bytes) {
  void* base = raft_malloc(std::max<std::size_t>(1, bytes.size()));
  if (base != nullptr && !bytes.empty()) std::memcpy(base, bytes.data(), bytes.size());
  return {base, bytes.size()};
}

void append_servers(const raft_configuration& from, ServerList& to) {
  for (unsigned i = 0; i < from.n; ++i) {
    Server* server = to.Add();
    server->set_id(from.servers[i].id);
    server->set_at(from.servers[i].address);
    server->set_role(from.servers[i].role);
  }
}

int make_configuration(const ServerList& from, raft_configuration& to) {
  raft_configuration_init(&to);
  for (const Server& server : from) {
    const int error = raft_configuration_add(&to, server.id(), server.at().c_str(), server.role());
    if (error == 0) continue;
    raft_configuration_close(&to);
    return error;
  }
  return 0;
}

Entry make_entry(std::uint64_t index, const raft_entry& from) {
  Entry out;
  out.set_index(index);
  out.set_term(from.term);
  out.set_type(from.type);
  out.set_data(from.buf.base, from.buf.len);
  return out;
}

raft_entry* make_raft_entries(const std::deque<Entry>& from) { return make_entries(from); }
raft_entry* make_raft_entries(const google::protobuf::RepeatedPtrField<Entry>& from) {
  return make_entries(from);
}

Raft encode_raft_message(const raft_message& message, const RaftSender& sender) {
  Raft out;
  out.set_sender(sender.id);
  out.set_receiver(message.server_id);
  out.set_sender_at(sender.address);
  out.set_type(message.type);
  switch (message.type) {
    case RAFT_IO_REQUEST_VOTE:
      encode_request_vote(message.request_vote, out);
      break;
    case RAFT_IO_REQUEST_VOTE_RESULT:
      encode_request_vote_result(message.request_vote_result, out);
      break;
    case RAFT_IO_APPEND_ENTRIES:
      encode_append_entries(message.append_entries, out);
      break;
    case RAFT_IO_APPEND_ENTRIES_RESULT:
      encode_append_entries_result(message.append_entries_result, out);
      break;
    case RAFT_IO_INSTALL_SNAPSHOT:
      encode_install_snapshot(message.install_snapshot, out);
      break;
    case RAFT_IO_TIMEOUT_NOW:
      encode_timeout_now(message.timeout_now, out);
      break;
    default:
      break;
  }
  return out;
}

std::optional<raft_message> decode_raft_message(const Raft& message, const std::string& sender_address) {
  raft_message out{};
  out.type = static_cast<unsigned short>(message.type());
  out.server_id = message.sender();
  out.server_address = sender_address.c_str();
  if (!decode_body(message, out)) return std::nullopt;
  return out;
}

}  // namespace flintglade::coordination
