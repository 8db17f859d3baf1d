// C-Raft's messages, entries and configurations as protobuf messages, and back.
//
// Pure; any thread. What is made for the library is allocated the way in which the library frees it.
#pragma once

extern "C" {
#include <raft.h>  // has no guard of its own for C++
}

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "coordination.pb.h"

namespace flintglade::coordination {

using ServerList = google::protobuf::RepeatedPtrField<Server>;

// A copy of the bytes that the library may free. Its base is null where there is no memory.
raft_buffer make_raft_buffer(const std::string& bytes);

void append_servers(const raft_configuration& from, ServerList& to);
// The library's error, or 0. On an error `to` needs no closing.
int make_configuration(const ServerList& from, raft_configuration& to);

Entry make_entry(std::uint64_t index, const raft_entry& from);
// Entries of a log or of a message, in one allocation for all their bytes: of a message that it does not
// take, the library frees only the first entry's. Null if there are none.
raft_entry* make_raft_entries(const std::deque<Entry>& from);
raft_entry* make_raft_entries(const google::protobuf::RepeatedPtrField<Entry>& from);

// Who a message comes from.
struct RaftSender {
  std::uint64_t id = 0;
  std::string address;
};

Raft encode_raft_message(const raft_message& message, const RaftSender& sender);
// Nothing if a field has a value that the library would not survive. `sender_address` has to outlive the
// result.
std::optional<raft_message> decode_raft_message(const Raft& message, const std::string& sender_address);

}  // namespace flintglade::coordination
