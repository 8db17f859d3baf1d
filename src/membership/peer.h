// State of a fleet member as known to a router, and the rule for which of two updates about it is newer.
//
// `birth` is the start time of a router's process and distinguishes successive processes under one router
// name. Within one process, a router raises its incarnation to refute a suspicion. The update with the later
// birth is newer, then the one with the higher incarnation, then the one with the worse status.
#pragma once

#include <cstdint>
#include <string>

#include "coordination.pb.h"
#include "core/ports.h"

namespace flintglade::membership {

using coordination::MemberStatus;
using core::Micros;

// The identity that this router announces to other members.
struct Self {
  std::string name;
  std::string site;
  std::string at;           // ADDRESS:PORT that other members send datagrams to
  std::uint64_t birth = 0;  // start time of the process, in microseconds of Unix time
};

struct Peer {
  std::string name, site, at;
  std::uint64_t birth = 0, incarnation = 0;
  MemberStatus standing = coordination::ALIVE;
  Micros since = 0;           // when `standing` last changed, on this router's clock
  std::uint32_t version = 0;  // protocol version of the member's program (kVersion)
  bool operator==(const Peer&) const = default;
};

// The peer's state as a packet carries it.
coordination::MemberState to_member_state(const Peer& peer);
// Whether the update supersedes the known state.
bool is_newer(const coordination::MemberState& update, const Peer& known);
// Whether a correctly working router could have sent the update: checks the lengths of names, the form of
// the address, and the ranges of birth, incarnation and status.
bool is_plausible(const coordination::MemberState& update);
// Whether the member still counts as part of the fleet: it is alive, or suspected but not yet declared dead.
bool is_living(MemberStatus status);

inline constexpr std::size_t kMaxNameBytes = 64;

}  // namespace flintglade::membership
