// What a voter has to remember across crashes (term, vote, log entries, last snapshot) and its encoding.
//
// A file is a sequence of frames (framed_bytes.h), each a Frame message; the first is a Head. Frames are only
// appended; a compaction writes the file anew. Pure; any thread. Errors are statuses whose message is one
// line for operators, without the file's name.
//
// A last frame that is incomplete is cut off when the file is read: nobody was told that its write was done.
// An incomplete or damaged frame with more bytes behind it means a damaged file, which is refused: a voter
// that forgot a vote could vote twice in one term. A damaged byte in the very last frame cannot be told from
// a torn write; docs/fleet.md says what that can cost.
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
// The lease table is some kilobytes, so anything larger than these is damage.
inline constexpr std::size_t kMaxRaftLogBytes = 64u << 20;
inline constexpr std::size_t kMaxFramePayloadBytes = 4u << 20;

// A voter's persistent state. head.fleet() is empty where no file exists yet.
struct PersistentState {
  Head head;
  Vote vote;
  bool has_snapshot = false;
  Snapshot snapshot;
  std::uint64_t first_index = 1;  // of entries.front(); or of the next entry, if there is none
  std::deque<Entry> entries;

  std::uint64_t last_index() const { return first_index + entries.size() - 1; }
  // Replays one frame of the file.
  void apply(const Frame& frame);
};

// A log that was read, and how many bytes at its end belong to a write that was never finished.
struct DecodedRaftLog {
  PersistentState state;
  std::size_t torn_bytes = 0;
};

// One frame, as it is appended to the file.
std::string encode_log_frame(const Frame& frame);
// The whole state, as a compacted file begins.
std::string encode_raft_log(const PersistentState& state);
// kResourceExhausted: too large; kDataLoss: damaged; kUnimplemented: of a newer version. No bytes at all give
// a state without a head.
absl::StatusOr<DecodedRaftLog> decode_raft_log(std::string_view bytes);

}  // namespace flintglade::coordination
