// The state that a voter has to keep across crashes (term, vote, log entries, last snapshot) and its
// encoding.
//
// A file is a sequence of frames (framed_bytes.h), each a Frame message; the first is a Head. Frames are only
// appended; a compaction rewrites the file. Pure functions, callable from any thread. Errors are statuses
// whose message is one line for operators, without the file's name.
//
// An incomplete last frame is cut off when the file is read: its write was never acknowledged. An incomplete
// or damaged frame with more bytes after it means that the file is damaged. Such a file is refused, since a
// voter that lost a vote could vote twice in one term. A damaged byte in the very last frame cannot be
// distinguished from a torn write; docs/fleet.md describes the consequences.
//
// Source: Raft (Ongaro and Ousterhout, 2014), figure 2, 'persistent state on all servers'.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "coordination.pb.h"

namespace flintglade::coordination {

// The version in the Head of files that this program writes; files of a higher one are refused.
inline constexpr std::uint32_t kRaftLogVersion = 1;
// The lease table is a few kilobytes, so a larger file or frame must be damaged.
inline constexpr std::size_t kMaxRaftLogBytes = 64u << 20;
inline constexpr std::size_t kMaxFramePayloadBytes = 4u << 20;

// A voter's persistent state. head.fleet() is empty if there is no file yet.
struct PersistentState {
  Head head;
  Vote vote;
  bool has_snapshot = false;
  Snapshot snapshot;
  std::uint64_t first_index = 1;  // of entries.front(); or of the next entry, if there is none
  std::deque<Entry> entries;

  std::uint64_t last_index() const { return first_index + entries.size() - 1; }
  // Applies one frame of the file.
  void apply(const Frame& frame);
};

// A decoded log, and the number of bytes at its end that belong to an incomplete write.
struct DecodedRaftLog {
  PersistentState state;
  std::size_t torn_bytes = 0;
};

// One encoded frame, to be appended to the file.
std::string encode_log_frame(const Frame& frame);
// The whole state, encoded as the content of a compacted file.
std::string encode_raft_log(const PersistentState& state);
// kResourceExhausted: too large; kDataLoss: damaged; kUnimplemented: of a newer version. Empty input gives a
// state without a head.
absl::StatusOr<DecodedRaftLog> decode_raft_log(std::string_view bytes);

}  // namespace flintglade::coordination
