// What a voter has to remember over all crashes, as bytes: its term and vote, the log, the last snapshot.
// Pure.
//
// A file is a row of frames: length (4 bytes, little-endian), CRC-32 of the message (4 bytes), a Frame
// message. The first is a Head. Frames are only added; a compaction writes the file anew.
//
// Read back, a last frame that is not whole is cut off: its write was never said to be done. The same of any
// frame with more behind it is a damaged file, which is refused: a voter that forgot a vote could give it
// twice. A damaged byte in the very last frame cannot be told from a torn write; docs/fleet.md says what that
// can cost.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "coordination.pb.h"

namespace flintglade::coordination {

inline constexpr std::uint32_t kJournalVersion = 1;
inline constexpr std::size_t kMostJournal = 64u << 20;  // a larger file is refused
inline constexpr std::size_t kMostFrame = 4u << 20;

struct PersistentState {
  Head head;
  Vote vote;
  bool has_snapshot = false;
  Snapshot snapshot;
  std::uint64_t first = 1;  // index of the first entry
  std::deque<Entry> entries;
  std::uint64_t last() const { return first + entries.size() - 1; }

  void apply(const Frame& frame);
};

std::string frame_bytes(const Frame& frame);
// The whole memory, as a file begins.
std::string all_bytes(const PersistentState& memory);

// Empty: read. Else one line that says why this file cannot be used. torn: how many bytes at its end are to
// be cut off. A file of no bytes gives a memory without a head.
std::string read_journal(std::string_view bytes, PersistentState& out, std::size_t& torn);

}  // namespace flintglade::coordination
