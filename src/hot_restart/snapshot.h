// The snapshot that a process of a router writes for its successor: endpoint list, draining replicas and
// learned state. No I/O; the time is a parameter.
//
// The file format is that of storage/checksummed_file.h with the magic "fgst"; the body is a State message. A
// snapshot that is corrupt, too old, of another format version, of another router, or of another machine or
// boot is rejected with an error of one line, and the reader starts without it.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/broker.h"

namespace flintglade::hot_restart {

// The process that writes or reads a snapshot.
struct Origin {
  std::string router;
  std::string discovery;                  // ADDRESS:PORT of the discovery service
  core::Micros began = 0;                 // start of the process on the monotonic clock
  core::Micros unix_minus_monotonic = 0;  // Unix time less the monotonic clock, when the process began
};

inline constexpr std::uint32_t kSnapshotVersion = 1;
// 4,096 prefixes and 300 replicas need 200 KB.
inline constexpr std::size_t kMaxSnapshotBytes = 1u << 20;
inline constexpr core::Micros kMaxSnapshotAge = 10 * core::kSecond;
// The offset of Unix time to the monotonic clock may differ by this much between two processes of one
// machine, since the system clock is adjusted from time to time.
inline constexpr core::Micros kMaxClockStep = 50 * core::kMilli;

std::string encode_snapshot(const core::Broker::ProcessSnapshot& snapshot, const Origin& writer,
                            core::Micros now);

struct DecodedSnapshot {
  core::Broker::ProcessSnapshot snapshot;
  bool same_list = false;  // writer and reader use the same discovery service
};
// In the result, all numbers of the learned state are finite and in the range that the decision module
// supports. Those of the replicas are not checked here: policy/replica_table.cpp corrects sizes and start
// times. An error says in one line why the snapshot cannot be used.
absl::StatusOr<DecodedSnapshot> decode_snapshot(std::string_view bytes, const Origin& reader,
                                                core::Micros now);

// Whether decode_snapshot() failed because the writer did not start before the reader. Mostly the writer is
// the reader itself.
bool is_written_by_younger_process(const absl::Status& status);

}  // namespace flintglade::hot_restart
