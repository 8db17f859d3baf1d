// What one process of a router knows, written for the process that takes its place. Pure: bytes in and out,
// time handed in.
//
// The form: 4 bytes "fgst", then, each 4 bytes, lowest first, the version of the form, the length of what
// follows and its CRC-32; then a hot_restart::State message. Whatever is wrong with it, the reader says so in
// one line and starts without: a torn or changed file, one of a newer version, of another router, of another
// machine or boot, too old.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "core/broker.h"

namespace flintglade::hot_restart {

struct Origin {  // of the process that writes, or reads
  std::string router;
  std::string discovery;                 // ADDRESS:PORT
  core::Micros began = 0;                // monotonic
  core::Micros unix_less_monotonic = 0;  // Unix time less the monotonic clock, when the process began
};

inline constexpr std::uint32_t kSnapshotVersion = 1;
inline constexpr std::size_t kMaxSnapshotBytes = 1u
                                                 << 20;  // bytes; 4,096 prefixes and 300 replicas take 200 KB
inline constexpr core::Micros kMaxSnapshotAge = 10 * core::kSecond;
// How far Unix times of one machine may lie apart between two starts: clocks are set now and then.
inline constexpr core::Micros kClocksApart = 50 * core::kMilli;

// What the reader says of a state that a process as young as itself has written: most often, its own.
inline constexpr char kWriterNotOlder[] = "its writer is no older than this process";

std::string encode_snapshot(const core::Broker::ProcessSnapshot& from, const Origin& writer,
                            core::Micros now);

// Empty, and what it says; or why it says nothing to this reader. same_list: its list comes from where ours
// does. Everything in out is finite and within bounds that the module can work with.
std::string decode_snapshot(std::string_view bytes, const Origin& reader, core::Micros now,
                            core::Broker::ProcessSnapshot& out, bool& same_list);

}  // namespace flintglade::hot_restart
