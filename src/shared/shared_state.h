// What a router of the fleet does for what all share: it is the bank while it owns that job, passes asks on,
// spreads counts and judgements. Pure, beside the coordination::Agent and on its clock and thread; the wallet
// and the witness, which the serving path uses, are elsewhere and reached through Ports.
//
// News travel as rumors, a few times each to a few others, and by digests with one other now and then: what a
// router missed, for a second or for an hour, comes in packets of a bounded size at a bounded pace.
#pragma once

#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "coordination/coordination_protocol.h"
#include "shared/health_gossip.h"
#include "shared/quota_allocator.h"
#include "shared/replicated_counter.h"

namespace flintglade::shared {

class SharedState final : public coordination::ProtocolExtension {
 public:
  struct Ports {
    std::function<void(const coordination::QuotaLease&)> parcel;  // for this router's wallet
    std::function<void(const std::string& from, const coordination::QuotaRequest&)>
        lend;  // another router asks ours
    // What has been heard of replicas, and of how many routers and sites.
    std::function<void(std::vector<ReplicaHealthSummary>, std::size_t routers, std::size_t sites)> opinions;
    std::function<Micros()> unix_time;
  };
  SharedState(Settings settings, Ports ports, const membership::Self& self, std::uint64_t seed);

  // ---- from this router's core
  void ask(Micros now, coordination::CoordinationProtocol& agent, const coordination::QuotaRequest& ask,
           bool to_peer);
  void lent(Micros now, coordination::CoordinationProtocol& agent, const std::string& to,
            const coordination::QuotaLease& parcel);
  void give_back(Micros now, coordination::CoordinationProtocol& agent,
                 const coordination::QuotaReturn& back);
  void counted(Micros now, const ReplicatedCounter::Counts& counts);
  void saw(Micros now, std::vector<coordination::ReplicaObservation> cases);
  // For whoever asks: the wallet, and the replicas that hearsay has this router avoid now.
  void core_says(coordination::SharedStatus wallet, std::set<core::ReplicaId> avoided) {
    quota_holder_ = std::move(wallet);
    avoided_ = std::move(avoided);
  }
  // What a process of this router before has left.
  std::string restore(Micros now, std::string_view bytes);
  std::string snapshot(Micros now) const;

  // ---- coordination::ProtocolExtension
  void receive(Micros now, coordination::CoordinationProtocol& agent,
               const coordination::JobNotification& notification) override;
  void tick(Micros now, coordination::CoordinationProtocol& agent) override;
  Micros next_timer() const override;
  void status(Micros now, const coordination::CoordinationProtocol& agent,
              coordination::Status& out) const override;

  const ReplicatedCounter& ledger() const { return counter_; }
  const VersionedTable<coordination::HealthObservations>& seen() const { return seen_; }
  const QuotaAllocator& bank() const { return quota_allocator_; }

 private:
  void share(Micros now, coordination::CoordinationProtocol& agent, const std::string& to,
             coordination::SharedStateMessage share);
  void answer(Micros now, coordination::CoordinationProtocol& agent, const std::string& at,
              const std::string& who, std::uint64_t birth, const coordination::QuotaRequest& ask);
  void take(Micros now, coordination::CoordinationProtocol& agent,
            const coordination::SharedStateUpdate& news, Micros late, const std::string& from);
  void take(Micros now, coordination::CoordinationProtocol& agent, const coordination::Digest& digest,
            const std::string& at);
  void gossip(Micros now, coordination::CoordinationProtocol& agent);
  void compare(Micros now, coordination::CoordinationProtocol& agent);
  Micros late(Micros now, const std::string& who, std::uint64_t birth, Micros sent);
  std::vector<const membership::Peer*> living(const coordination::CoordinationProtocol& agent) const;
  bool sane(const coordination::HealthObservations& seen) const;
  void absurd(coordination::CoordinationProtocol& agent, const std::string& from, const std::string& what);
  int passes(const coordination::CoordinationProtocol& agent) const;
  void tell_opinions(Micros now, const coordination::CoordinationProtocol& agent);
  bool is_bank(Micros now, const coordination::CoordinationProtocol& agent) const {
    return quota_allocator_.open() && agent.has_valid_lease(now, kQuotaAllocatorLease);
  }

  Settings settings_;
  Ports ports_;
  Life self_;
  std::string site_;
  std::mt19937_64 random_;
  QuotaAllocator quota_allocator_;
  ReplicatedCounter counter_;
  VersionedTable<coordination::HealthObservations> seen_;
  std::uint64_t own_seen_ = 0;  // the highest version that was heard in our name
  struct Clock {
    std::uint64_t birth = 0;
    Micros least = 0;                   // of receiving less sending, on both clocks
    Micros unix_apart = 0, heard = -1;  // of their Unix time from ours
  };
  std::map<std::string, Clock> clocks_;
  std::string compared_;  // up to which name digests have gone
  Micros next_gossip_ = 0, next_compare_ = 0, next_bank_ = core::kNever;
  Micros next_opinions_ = core::kNever;
  Micros fleet_time(Micros now) const;  // Unix time: the middle one of all routers' that were heard lately
  coordination::SharedStatus quota_holder_;
  std::set<core::ReplicaId> avoided_;
  std::vector<ReplicaHealthSummary> health_summaries_;
  struct Counters {
    std::uint64_t sent = 0, received = 0, bytes = 0, absurd = 0, asks_passed = 0, no_bank = 0, digests = 0;
  } counters_;
};

}  // namespace flintglade::shared
