#include "membership/peer.h"

namespace flintglade::membership {
namespace {

// No router reaches a higher incarnation: it is raised by one for each refuted suspicion.
constexpr std::uint64_t kMaxIncarnation = 1ull << 40;
constexpr std::uint64_t kMaxBirth = 4'102'444'800'000'000;  // the year 2100, in microseconds of Unix time

// Statuses are numbered from best to worst.
int severity(MemberStatus status) { return static_cast<int>(status); }

}  // namespace

coordination::MemberState to_member_state(const Peer& peer) {
  coordination::MemberState update;
  update.set_name(peer.name);
  update.set_site(peer.site);
  update.set_at(peer.at);
  update.set_birth(peer.birth);
  update.set_incarnation(peer.incarnation);
  update.set_standing(peer.standing);
  update.set_version(peer.version);
  return update;
}

bool is_newer(const coordination::MemberState& update, const Peer& known) {
  if (update.birth() != known.birth) return update.birth() > known.birth;
  // A member that left or was declared dead rejoins only with a higher incarnation or a later birth.
  if (update.incarnation() != known.incarnation) return update.incarnation() > known.incarnation;
  return severity(update.standing()) > severity(known.standing);
}

bool is_plausible(const coordination::MemberState& update) {
  return !update.name().empty() && update.name().size() <= kMaxNameBytes &&
         update.site().size() <= kMaxNameBytes && update.at().size() <= kMaxNameBytes &&
         update.at().find(':') != std::string::npos && update.birth() < kMaxBirth &&
         update.incarnation() < kMaxIncarnation && coordination::MemberStatus_IsValid(update.standing());
}

bool is_living(MemberStatus status) {
  return status == coordination::ALIVE || status == coordination::SUSPECT;
}

}  // namespace flintglade::membership
