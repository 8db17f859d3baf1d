#include "coordination/raft_log.h"

#include <algorithm>
#include <optional>

#include "absl/status/status.h"
#include "coordination/framed_bytes.h"

namespace flintglade::coordination {
namespace {

// Drops the entries that a snapshot covers, except those that are kept for followers that are slightly
// behind.
void drop_entries_before(std::uint64_t first_kept, PersistentState& state) {
  while (!state.entries.empty() && state.first_index < first_kept) {
    state.entries.pop_front();
    ++state.first_index;
  }
  if (state.entries.empty()) state.first_index = std::max(state.first_index, first_kept);
}

// The frame at the start of some bytes.
struct ParsedFrame {
  Frame frame;
  std::size_t payload_bytes = 0;  // according to its header, even if the frame is not valid
  bool complete = false;          // the payload is not cut short
  bool valid = false;
};

ParsedFrame parse_frame(std::string_view bytes) {
  ParsedFrame out;
  const std::optional<FrameHeader> header = read_frame_header(bytes);
  if (!header) return out;
  out.payload_bytes = header->payload_bytes;
  out.complete = out.payload_bytes <= bytes.size() - kFrameHeaderBytes;
  if (!out.complete || out.payload_bytes > kMaxFramePayloadBytes) return out;
  const std::string_view payload = bytes.substr(kFrameHeaderBytes, out.payload_bytes);
  out.valid = crc32_of(payload) == header->payload_crc32 &&
              out.frame.ParseFromArray(payload.data(), static_cast<int>(payload.size()));
  return out;
}

// Only the last write can be torn. A length beyond the end of the file may also be a damaged one with valid
// frames after it; but at least a length above the limit is never written.
bool is_torn_write(const ParsedFrame& parsed, std::size_t bytes_left) {
  const bool has_later_bytes = parsed.complete && bytes_left > kFrameHeaderBytes + parsed.payload_bytes;
  return !has_later_bytes && parsed.payload_bytes <= kMaxFramePayloadBytes;
}

// Whether a valid frame is allowed at its position.
absl::Status check_frame(const Frame& frame, bool is_first, const PersistentState& state) {
  if (is_first && !frame.has_head()) return absl::DataLossError("its first frame is not a head");
  if (frame.has_head() && frame.head().version() > kRaftLogVersion)
    return absl::UnimplementedError("written in version " + std::to_string(frame.head().version()) +
                                    " of the format; this program supports versions up to " +
                                    std::to_string(kRaftLogVersion));
  if (frame.has_entry() && frame.entry().index() != state.last_index() + 1)
    return absl::DataLossError("entry " + std::to_string(frame.entry().index()) + " comes after entry " +
                               std::to_string(state.last_index()) + ": not consecutive");
  return absl::OkStatus();
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
      while (!entries.empty() && last_index() >= frame.truncate()) entries.pop_back();
      break;
    case Frame::kSnapshot:
      snapshot = frame.snapshot();
      has_snapshot = true;
      drop_entries_before(snapshot.first_kept(), *this);
      break;
    default:
      break;
  }
}

std::string encode_log_frame(const Frame& frame) { return encode_frame(frame.SerializeAsString()); }

std::string encode_raft_log(const PersistentState& state) {
  std::string out;
  Frame frame;
  *frame.mutable_head() = state.head;
  out += encode_log_frame(frame);
  *frame.mutable_vote() = state.vote;
  out += encode_log_frame(frame);
  if (state.has_snapshot) {
    *frame.mutable_snapshot() = state.snapshot;
    out += encode_log_frame(frame);
  }
  for (const Entry& entry : state.entries) {
    *frame.mutable_entry() = entry;
    out += encode_log_frame(frame);
  }
  return out;
}

absl::StatusOr<DecodedRaftLog> decode_raft_log(std::string_view bytes) {
  if (bytes.size() > kMaxRaftLogBytes)
    return absl::ResourceExhaustedError(std::to_string(bytes.size()) + " bytes, more than the limit of " +
                                        std::to_string(kMaxRaftLogBytes));
  DecodedRaftLog out;
  for (std::size_t offset = 0; offset < bytes.size();) {
    const std::size_t bytes_left = bytes.size() - offset;
    const ParsedFrame parsed = parse_frame(bytes.substr(offset));
    if (!parsed.valid) {
      if (offset == 0) return absl::DataLossError("not a voter's log file, or damaged at its beginning");
      if (!is_torn_write(parsed, bytes_left))
        return absl::DataLossError("damaged at byte " + std::to_string(offset) + " of " +
                                   std::to_string(bytes.size()));
      out.torn_bytes = bytes_left;
      return out;
    }
    if (absl::Status status = check_frame(parsed.frame, offset == 0, out.state); !status.ok()) return status;
    out.state.apply(parsed.frame);
    offset += kFrameHeaderBytes + parsed.payload_bytes;
  }
  return out;
}

}  // namespace flintglade::coordination
