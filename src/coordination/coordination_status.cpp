// The coordination status of a router, as `flintglade fleet status` shows it, with its counters.
#include "coordination/coordination_protocol.h"

namespace flintglade::coordination {
namespace {

constexpr Micros kMicrosPerMilli = core::kMilli;

void add_voter_status(const RaftNode& node, Status& out) {
  out.set_role(node.role());
  out.set_why_halted(node.halt_reason());
  out.set_term(node.term());
  out.set_index(node.applied_index());
  out.set_last_index(node.last_index());
  out.set_table_checksum(node.table_checksums().latest().checksum);
  for (const auto& [voter, index] : node.table_checksums().differing_voters()) {
    DifferingVoter& differing = *out.add_differing_voters();
    differing.set_id(voter);
    differing.set_index(index);
  }
}

void add_membership_counters(const membership::Counters& from, Status& out) {
  auto& counters = *out.mutable_counters();
  counters["peers_sent"] = from.sent;
  counters["peers_received"] = from.received;
  counters["peers_bytes_sent"] = from.bytes_sent;
  counters["peers_other_fleet"] = from.other_fleet;
  counters["peers_unreadable"] = from.unreadable;
  counters["peers_not_for_us"] = from.not_for_us;
  counters["peers_absurd"] = from.implausible;
  counters["peers_too_many"] = from.too_many;
  counters["peers_unknown_senders"] = from.unknown_senders;
  counters["peers_introductions_requested"] = from.introductions_requested;
  counters["peers_introductions"] = from.introductions;
  counters["peers_probes"] = from.probes;
  counters["peers_probes_failed"] = from.probes_failed;
  counters["peers_suspected"] = from.suspected;
  counters["peers_refuted"] = from.refuted;
  counters["peers_late_ticks"] = from.late_ticks;
}

}  // namespace

Status CoordinationProtocol::status(Micros now) const {
  Status out;
  out.set_name(settings_.self.name);
  out.set_site(settings_.self.site);
  out.set_birth(swim_.self().birth);
  out.set_leader_at(leader_address_);
  out.set_displaced(is_displaced_);
  out.set_clock_us(now);
  if (raft_node_) add_voter_status(*raft_node_, out);
  *out.mutable_table() = lease_table();
  for (const Voter& voter : voters_) *out.add_voters() = voter;
  for (const HeldLease& held : lease_holder_.valid_leases(now)) *out.add_held() = held;
  *out.add_routers() = membership::to_member_state(swim_.self());
  for (const auto& [name, peer] : swim_.others()) *out.add_routers() = membership::to_member_state(peer);
  out.set_health(swim_.health());
  const bool was_answered = voter_answered_at_ >= 0;
  out.set_record_age_ms(
      was_answered ? static_cast<std::uint64_t>((now - voter_answered_at_) / kMicrosPerMilli) : UINT64_MAX);
  add_counters(out);
  return out;
}

void CoordinationProtocol::add_counters(Status& out) const {
  add_membership_counters(swim_.counters(), out);
  auto& counters = *out.mutable_counters();
  counters["effects_sent"] = effects_sent_;
  counters["effects_taken"] = effects_admitted_;
  counters["effects_refused"] = fencing_tokens_.rejected();
  counters["effects_unproved"] = effects_without_lease_;
}

}  // namespace flintglade::coordination
