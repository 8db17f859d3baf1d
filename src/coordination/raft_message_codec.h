// Conversion of C-Raft's messages, entries and configurations to protobuf messages and back.
//
// Pure functions, callable from any thread. Results for the library are allocated with its allocator, and the
// library frees them.
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

// A copy of the bytes, which the library may free. Its base is null if the allocation failed.
raft_buffer make_raft_buffer(const std::string& bytes);

void append_servers(const raft_configuration& from, ServerList& to);
// Returns an error code of the library, or 0. After an error, `to` must not be closed by the caller.
int make_configuration(const ServerList& from, raft_configuration& to);

Entry make_entry(std::uint64_t index, const raft_entry& from);
// Entries of a log or of a message; null if there are none. All their data is in one allocation, because for
// a message that it rejects the library frees only the data of the first entry.
raft_entry* make_raft_entries(const std::deque<Entry>& from);
raft_entry* make_raft_entries(const google::protobuf::RepeatedPtrField<Entry>& from);

// The sender of a message.
struct RaftSender {
  std::uint64_t id = 0;
  std::string address;
};

Raft encode_raft_message(const raft_message& message, const RaftSender& sender);
// Nullopt if a field has a value that would crash the library. `sender_address` has to outlive the result.
std::optional<raft_message> decode_raft_message(const Raft& message, const std::string& sender_address);

}  // namespace flintglade::coordination
