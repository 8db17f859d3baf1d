#include "hot_restart/snapshot.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "absl/status/status.h"
#include "hot_restart.pb.h"
#include "hot_restart/learned_state_codec.h"
#include "storage/checksummed_file.h"

namespace flintglade::hot_restart {
namespace {

using core::Micros;

constexpr storage::FileFormat kFileFormat{"fgst", kSnapshotVersion, kMaxSnapshotBytes,
                                          "not a router state file"};

State::Replica encode_endpoint(const core::Endpoint& endpoint, const Origin& writer) {
  State::Replica out;
  out.set_id(endpoint.replica.id);
  out.set_address(endpoint.address);
  out.set_zone(endpoint.replica.zone);
  out.set_kind(endpoint.replica.kind);
  out.set_cell(endpoint.replica.cell);
  out.set_health(static_cast<std::uint32_t>(endpoint.replica.health));
  out.set_size(endpoint.replica.size);
  if (endpoint.replica.started_at != 0.0) {
    out.set_born_unix_us(std::llround(endpoint.replica.started_at * 1e6) + writer.unix_minus_monotonic);
  }
  return out;
}

policy::Health health_of(std::uint32_t stored) {
  switch (stored) {
    case static_cast<std::uint32_t>(policy::Health::ready):
      return policy::Health::ready;
    case static_cast<std::uint32_t>(policy::Health::draining):
      return policy::Health::draining;
    default:
      return policy::Health::gone;
  }
}

core::Endpoint decode_endpoint(const State::Replica& stored, const Origin& reader) {
  core::Endpoint out;
  out.address = stored.address();
  out.replica.id = stored.id();
  out.replica.zone = stored.zone();
  out.replica.kind = stored.kind();
  out.replica.cell = stored.cell();
  out.replica.health = health_of(stored.health());
  out.replica.size = stored.size();
  // Converted with the reader's clock offset, as for start times in the reader's own endpoint list: otherwise
  // the same start time would look like a restart of the replica.
  if (stored.born_unix_us() != 0) {
    out.replica.started_at = static_cast<double>(stored.born_unix_us() - reader.unix_minus_monotonic) / 1e6;
  }
  return out;
}

// Returns an error if the reader cannot use a snapshot of this writer.
absl::Status check_origin(const State& state, const Origin& reader, Micros now) {
  if (state.router() != reader.router) {
    return absl::FailedPreconditionError("written by another router: " + state.router());
  }
  const Micros clock_step = std::abs(state.unix_less_monotonic_us() - reader.unix_minus_monotonic);
  if (clock_step > kMaxClockStep) {
    return absl::FailedPreconditionError("clock offset differs by " + std::to_string(clock_step) +
                                         " us (at most " + std::to_string(kMaxClockStep) +
                                         "): other boot, other machine, or the clock was set");
  }
  if (state.began_us() >= reader.began) {
    return absl::AlreadyExistsError("written by a process that did not start before this one");
  }
  if (state.written_us() > now || now - state.written_us() > kMaxSnapshotAge) {
    return absl::OutOfRangeError("written in the future or more than " +
                                 std::to_string(kMaxSnapshotAge / core::kSecond) + " s ago");
  }
  if (state.replicas_size() > kMaxSnapshotReplicas || state.retired_size() > kMaxSnapshotReplicas) {
    return absl::ResourceExhaustedError("more than " + std::to_string(kMaxSnapshotReplicas) + " replicas");
  }
  return absl::OkStatus();
}

}  // namespace

std::string encode_snapshot(const core::Broker::ProcessSnapshot& snapshot, const Origin& writer, Micros now) {
  State state;
  state.set_router(writer.router);
  state.set_discovery(writer.discovery);
  state.set_began_us(writer.began);
  state.set_written_us(now);
  state.set_unix_less_monotonic_us(writer.unix_minus_monotonic);
  state.set_version(snapshot.version);
  for (const core::Endpoint& endpoint : snapshot.entries) {
    *state.add_replicas() = encode_endpoint(endpoint, writer);
  }
  for (const auto& retired : snapshot.retired) {
    State::Word& out = *state.add_retired();
    out.set_replica(retired.replica);
    out.set_since_us(retired.since);
    out.set_version(retired.version);
  }
  encode_learned_state(snapshot.learned, *state.mutable_learned());
  return storage::encode_checksummed(kFileFormat, state.SerializeAsString());
}

absl::StatusOr<DecodedSnapshot> decode_snapshot(std::string_view bytes, const Origin& reader, Micros now) {
  const auto body = storage::decode_checksummed(kFileFormat, bytes);
  if (!body.ok()) return body.status();
  State state;
  if (!state.ParseFromArray(body->data(), static_cast<int>(body->size()))) {
    return absl::DataLossError("body is not a valid State message");
  }
  if (absl::Status usable = check_origin(state, reader, now); !usable.ok()) return usable;
  DecodedSnapshot decoded;
  decoded.same_list = state.discovery() == reader.discovery;
  decoded.snapshot.version = state.version();
  for (const State::Replica& stored : state.replicas()) {
    decoded.snapshot.entries.push_back(decode_endpoint(stored, reader));
  }
  for (const State::Word& stored : state.retired()) {
    decoded.snapshot.retired.push_back(
        {stored.replica(), std::min(stored.since_us(), now), stored.version()});
  }
  if (!decode_learned_state(*state.mutable_learned(), decoded.snapshot.learned)) {
    return absl::InvalidArgumentError("learned state has too many entries or a number out of range");
  }
  return decoded;
}

bool is_written_by_younger_process(const absl::Status& status) { return absl::IsAlreadyExists(status); }

}  // namespace flintglade::hot_restart
