// What one process of a router knows, written for the process that takes its place. No I/O; time is handed
// in.
//
// The form is that of storage/checksummed_file.h with the magic "fgst"; the body is a State message. Whatever
// is wrong with it, the reader says so in one line and starts without it: a torn or changed file, one of a
// newer version, of another router, of another machine or boot, too old.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/broker.h"

namespace flintglade::hot_restart {

// The process that writes, or reads.
struct Origin {
  std::string router;
  std::string discovery;                  // ADDRESS:PORT
  core::Micros began = 0;                 // on the monotonic clock
  core::Micros unix_minus_monotonic = 0;  // Unix time less the monotonic clock, when the process began
};

inline constexpr std::uint32_t kSnapshotVersion = 1;
// 4,096 prefixes and 300 replicas take 200 KB.
inline constexpr std::size_t kMaxSnapshotBytes = 1u << 20;
inline constexpr core::Micros kMaxSnapshotAge = 10 * core::kSecond;
// How far Unix times of one machine may lie apart between two starts: clocks are set now and then.
inline constexpr core::Micros kMaxClockStep = 50 * core::kMilli;

std::string encode_snapshot(const core::Broker::ProcessSnapshot& snapshot, const Origin& writer,
                            core::Micros now);

struct DecodedSnapshot {
  core::Broker::ProcessSnapshot snapshot;
  bool same_list = false;  // its endpoint list comes from where the reader's does
};
// All numbers are finite and within bounds that the decision module can work with. Not OK: one line that says
// why the snapshot can't be used.
absl::StatusOr<DecodedSnapshot> decode_snapshot(std::string_view bytes, const Origin& reader,
                                                core::Micros now);

// Whether decode_snapshot() failed because the writer is no older than the reader: most often, it is the
// reader itself.
bool is_written_by_younger_process(const absl::Status& status);

}  // namespace flintglade::hot_restart
