// Converts what the decision module has learned to and from the State.Learned message. No I/O.
#pragma once

#include "hot_restart.pb.h"
#include "policy/learned_state.h"

namespace flintglade::hot_restart {

// Tables with more entries are rejected when decoded; surplus prefixes are already left out when encoded.
inline constexpr int kMaxSnapshotReplicas = 4096;
inline constexpr int kMaxSnapshotPrefixes = 8192;
inline constexpr int kMaxSnapshotKinds = 256;  // of machine kinds, and of zones

void encode_learned_state(policy::LearnedState learned, State::Learned& message);
// Returns false if a table has too many entries, or a number is outside the range that the decision module's
// arithmetic supports.
bool decode_learned_state(State::Learned& message, policy::LearnedState& learned);

}  // namespace flintglade::hot_restart
