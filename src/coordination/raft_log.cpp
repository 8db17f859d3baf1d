#include "coordination/raft_log.h"

#include <zlib.h>

#include <algorithm>

namespace flintglade::coordination {
namespace {

constexpr std::size_t kPrefix = 8;

void put(std::string& to, std::uint32_t v) {
  for (int i = 0; i < 4; ++i) to.push_back(static_cast<char>(v >> (8 * i)));
}
std::uint32_t get(std::string_view from) {
  std::uint32_t v = 0;
  for (int i = 0; i < 4; ++i) v |= static_cast<std::uint32_t>(static_cast<unsigned char>(from[i])) << (8 * i);
  return v;
}
std::uint32_t checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

}  // namespace

void PersistentState::apply(const Frame& frame) {
  switch (frame.what_case()) {
    case Frame::kHead:
      head = frame.head();
      break;
    case Frame::kVote:
      vote = frame.vote();
      break;
    case Frame::kEntry:
      entries.push_back(frame.entry());
      break;
    case Frame::kTruncate:
      while (!entries.empty() && last() >= frame.truncate()) entries.pop_back();
      break;
    case Frame::kSnapshot: {
      snapshot = frame.snapshot();
      has_snapshot = true;
      while (!entries.empty() && first < snapshot.first_kept()) {
        entries.pop_front();
        ++first;
      }
      if (entries.empty()) first = std::max(first, snapshot.first_kept());
      break;
    }
    default:
      break;
  }
}

std::string frame_bytes(const Frame& frame) {
  const std::string message = frame.SerializeAsString();
  std::string out;
  put(out, static_cast<std::uint32_t>(message.size()));
  put(out, checksum(message));
  return out + message;
}

std::string all_bytes(const PersistentState& memory) {
  std::string out;
  Frame f;
  *f.mutable_head() = memory.head;
  out += frame_bytes(f);
  *f.mutable_vote() = memory.vote;
  out += frame_bytes(f);
  if (memory.has_snapshot) {
    *f.mutable_snapshot() = memory.snapshot;
    out += frame_bytes(f);
  }
  for (const Entry& e : memory.entries) {
    *f.mutable_entry() = e;
    out += frame_bytes(f);
  }
  return out;
}

std::string read_journal(std::string_view bytes, PersistentState& out, std::size_t& torn) {
  out = {};
  torn = 0;
  if (bytes.size() > kMostJournal) return "larger than any record's file";
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::string_view rest = bytes.substr(at);
    const std::size_t length = rest.size() < kPrefix ? 0 : get(rest);
    Frame frame;
    const bool whole = rest.size() >= kPrefix && length <= rest.size() - kPrefix;
    const bool good = whole && length <= kMostFrame &&
                      checksum(rest.substr(kPrefix, length)) == get(rest.substr(4)) &&
                      frame.ParseFromArray(rest.data() + kPrefix, static_cast<int>(length));
    if (!good) {
      // Only the last write can be torn. A length that reaches past the end may be a damaged one, with good
      // frames behind it; a frame is never larger than what one write adds.
      if (at == 0) return "not a voter's file, or its beginning is damaged";
      if ((whole && rest.size() > kPrefix + length) || length > kMostFrame)
        return "damaged at byte " + std::to_string(at) + " of " + std::to_string(bytes.size());
      torn = rest.size();
      return "";
    }
    if (at == 0 && !frame.has_head()) return "does not begin with its head";
    if (frame.has_head() && frame.head().version() > kJournalVersion)
      return "of version " + std::to_string(frame.head().version()) + ", and this program knows " +
             std::to_string(kJournalVersion);
    if (frame.has_entry() && frame.entry().index() != out.last() + 1)
      return "entry " + std::to_string(frame.entry().index()) + " does not follow " +
             std::to_string(out.last());
    out.apply(frame);
    at += kPrefix + length;
  }
  return "";
}

}  // namespace flintglade::coordination
