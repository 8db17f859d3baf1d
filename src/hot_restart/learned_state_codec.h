// What the decision module has learned, as a message and back. No I/O.
#pragma once

#include "hot_restart.pb.h"
#include "policy/learned_state.h"

namespace flintglade::hot_restart {

// Larger tables are not written, and not accepted.
inline constexpr int kMaxSnapshotReplicas = 4096;
inline constexpr int kMaxSnapshotPrefixes = 8192;
inline constexpr int kMaxSnapshotKinds = 256;  // of machines, and of zones

void encode_learned_state(policy::LearnedState learned, State::Learned& message);
// False: the message holds numbers that the decision module's arithmetic does not hold for, or too many
// entries.
bool decode_learned_state(State::Learned& message, policy::LearnedState& learned);

}  // namespace flintglade::hot_restart
