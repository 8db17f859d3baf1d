// The contents of the files under tests/data: tests/data/write_fixtures.cpp wrote these values and
// stored_data_test.cpp expects to read them. Times are in microseconds.
#pragma once

#include <string>

#include "coordination/raft_log.h"
#include "core/broker.h"
#include "hot_restart/snapshot.h"
#include "shared/shared_state.h"

namespace flintglade::tests {

inline constexpr char kStateFile[] = "state_snapshot_v1.bin";
inline constexpr char kVoterFile[] = "voter_record_v1.log";
inline constexpr char kSharedFile[] = "shared_state_v1.bin";  // from versions without CounterRow.parts
inline constexpr char kSharedPartsFile[] = "shared_state_v1_parts.bin";
inline constexpr char kProcessSlotsFile[] = "process_slots_v1.bin";

// ---- the state snapshot that a process writes for its successor

const hot_restart::Origin& state_writer();
inline constexpr core::Micros kStateWrittenAt = 5'999'000;
core::Broker::ProcessSnapshot sample_state();

// ---- a voter's file

inline constexpr char kVoterFleet[] = "glasshouse";
inline constexpr std::uint64_t kVoterId = 2;
// The state that reading the file gives.
coordination::PersistentState sample_voter_memory();
// Creates record.log in this directory as a voter does: the head, then appended votes, entries, a truncation,
// a snapshot and further entries. Returns an empty string, or an error message.
std::string write_voter_record(const std::string& directory);

// ---- the counter rows that a router keeps over a restart

inline constexpr core::Micros kSharedWrittenAt = 50 * core::kSecond;
shared::SharedState sharing_router(const std::string& name, const std::string& site,
                                   std::uint64_t incarnation);
std::string sample_shared_state();

// ---- the file in which the processes of a router publish their resource usage

inline constexpr char kSlotsRouter[] = "n1";
inline constexpr char kSlotsName[] = "/flintglade.seats";  // in the scratch folder
// Writes the slots of two processes in this folder and returns the file's contents while both slots are in
// use.
std::string write_process_slots(const std::string& folder);

std::string file_contents(const std::string& path);

}  // namespace flintglade::tests
