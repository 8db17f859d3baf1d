// What a router knows of another router of its fleet, and which of two statements about one is newer.
//
// Each process that runs under a router's name has a `birth`; within one process, a router raises its
// incarnation to refute a suspicion. The later birth counts, then the higher incarnation, then the worse
// status.
#pragma once

#include <cstdint>
#include <string>

#include "coordination.pb.h"
#include "core/ports.h"

namespace flintglade::membership {

using coordination::MemberStatus;
using core::Micros;

// This router, as it introduces itself.
struct Self {
  std::string name;
  std::string site;
  std::string at;           // ADDRESS:PORT at which others reach this router
  std::uint64_t birth = 0;  // microseconds of Unix time at the start of the process
};

struct Peer {
  std::string name, site, at;
  std::uint64_t birth = 0, incarnation = 0;
  MemberStatus standing = coordination::ALIVE;
  Micros since = 0;           // when it got this status
  std::uint32_t version = 0;  // of its program
  bool operator==(const Peer&) const = default;
};

// The peer as it stands in a packet.
coordination::MemberState word_of(const Peer& peer);
// Whether the update is newer than what is known.
bool is_newer(const coordination::MemberState& update, const Peer& known);
// Whether it can come from a sound router: lengths, an address, a birth and an incarnation within reason.
bool is_plausible(const coordination::MemberState& update);
// Whether the member takes part: it is alive, or only suspected.
bool is_living(MemberStatus status);

inline constexpr std::size_t kMaxNameBytes = 64;

}  // namespace flintglade::membership
