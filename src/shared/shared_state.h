// A router's part in the state shared by the fleet: it acts as the quota allocator while it holds that job's
// lease, forwards requests for quota leases, and disseminates request counters and replica observations.
//
// No I/O. Extends the coordination protocol and uses its clock and thread. The quota holder and the health
// observer, which the serving path uses, run on the core's thread and are reached through Ports.
//
// Updates are disseminated by gossip (a bounded number of transmissions, each to a few random members) and by
// anti-entropy (periodic digests, each to one random member). A router that missed updates, for a second or
// for an hour, receives them in packets of bounded size at a bounded rate. Source: Demers and others,
// "Epidemic Algorithms for Replicated Database Maintenance" (1987).
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "coordination/coordination_protocol.h"
#include "shared/ejection_policy.h"
#include "shared/fleet_clock.h"
#include "shared/quota_allocator.h"
#include "shared/replicated_counter.h"
#include "shared/versioned_table.h"

namespace flintglade::shared {

class SharedState final : public coordination::ProtocolExtension {
 public:
  using Protocol = coordination::CoordinationProtocol;

  // Callbacks into the router's other components, called on the protocol's thread.
  struct Ports {
    std::function<void(const coordination::QuotaLease&)> on_lease;  // a lease for this router's quota holder
    // Another router requests a lease from this router's quota holder.
    std::function<void(const std::string& router, const coordination::QuotaRequest&)> lend;
    std::function<void(std::vector<ReplicaHealthSummary>, FleetSize)> on_health_summaries;
    std::function<Micros()> unix_time;
  };
  SharedState(Settings settings, Ports ports, const membership::Self& self, std::uint64_t seed);

  // ---- from this router's core
  void request_lease(Micros now, Protocol& protocol, const coordination::QuotaRequest& request, bool to_peer);
  void send_lease(Micros now, Protocol& protocol, const std::string& router,
                  const coordination::QuotaLease& lease);
  void return_lease(Micros now, Protocol& protocol, const coordination::QuotaReturn& message);
  void on_counts(Micros now, const ReplicatedCounter::Counts& counts);
  void on_observations(Micros now, std::vector<coordination::ReplicaObservation> observations);
  // Input for status(): the quota holder's figures, and the replicas that this router avoids because of
  // gossip.
  void on_core_status(coordination::SharedStatus quotas, std::set<core::ReplicaId> avoided) {
    quota_status_ = std::move(quotas);
    avoided_ = std::move(avoided);
  }

  // Saves the counters for this router's next process, and restores them there. On failure, restore() changes
  // nothing and its status message is one line that describes why the bytes cannot be used.
  std::string snapshot(Micros now) const;
  absl::Status restore(Micros now, std::string_view bytes);

  // ---- coordination::ProtocolExtension
  void receive(Micros now, Protocol& protocol, const coordination::JobNotification& notification) override;
  void tick(Micros now, Protocol& protocol) override;
  Micros next_timer() const override;
  void status(Micros now, const Protocol& protocol, coordination::Status& out) const override;

  const ReplicatedCounter& counter() const { return counter_; }

 private:
  using CounterRows = VersionedTable<coordination::CounterRow>;
  using ObservationRows = VersionedTable<coordination::HealthObservations>;

  // ---- received messages
  void receive_message(Micros now, Protocol& protocol, const coordination::JobNotification& notification);
  void receive_lease_request(Micros now, Protocol& protocol, const std::string& router, std::uint64_t birth,
                             const coordination::QuotaRequest& request);
  void receive_update(Micros now, Protocol& protocol, const coordination::SharedStateUpdate& update,
                      Micros extra_delay, const std::string& router);
  // Returns true if the observations were newer than those in the table.
  bool receive_observations(Micros now, const Protocol& protocol,
                            const coordination::HealthObservations& observations, Micros extra_delay);
  void receive_digest(Micros now, Protocol& protocol, const coordination::Digest& digest,
                      const std::string& router);
  bool is_plausible(const coordination::HealthObservations& observations) const;
  void reject(Protocol& protocol, const std::string& router, const std::string& reason);

  // ---- sent messages
  void send(Micros now, Protocol& protocol, const std::string& router,
            coordination::SharedStateMessage message);
  void send_to_random_member(Micros now, Protocol& protocol,
                             const std::vector<const membership::Peer*>& members,
                             coordination::SharedStateMessage message);
  void gossip(Micros now, Protocol& protocol);
  void send_digest(Micros now, Protocol& protocol);
  // The answer to a digest: the rows that are newer here than in the digest or missing from it, in packets of
  // bounded size, and a digest of the versions held here. Both stop when the packets are full.
  struct DigestAnswer {
    std::vector<coordination::SharedStateMessage> packets;
    coordination::Digest digest;
  };
  DigestAnswer answer_to(Micros now, const coordination::Digest& digest) const;
  bool lacks_rows_of(const coordination::Digest& digest) const;
  void publish_health_summaries(Micros now, const Protocol& protocol);
  void run_allocator(Micros now, Protocol& protocol);
  // Schedules a new version of this router's row soon after counts of its earlier processes have been folded
  // in.
  void schedule_fold_seal(Micros now);
  void seal_folds(Micros now);

  static std::vector<const membership::Peer*> living_members(const Protocol& protocol);
  // Number of transmissions of a new row, by fleet size.
  static int transmissions(const Protocol& protocol);
  bool is_allocator(Micros now, const Protocol& protocol) const {
    return quota_allocator_.active() && protocol.has_valid_lease(now, kQuotaAllocatorLease);
  }

  Settings settings_;
  Ports ports_;
  ProcessId self_;
  std::string site_;
  std::mt19937_64 random_;
  QuotaAllocator quota_allocator_;
  ReplicatedCounter counter_;
  ObservationRows observations_;
  std::uint64_t max_own_version_ = 0;  // of received observations that carry this process's name and birth
  FleetClock fleet_clock_;
  std::string next_digest_from_;  // name of the router that the next digest starts from
  Micros next_gossip_ = 0;
  Micros next_digest_ = 0;
  Micros next_allocator_run_ = core::kNever;
  Micros next_fold_seal_ = core::kNever;
  Micros next_summaries_ = core::kNever;
  coordination::SharedStatus quota_status_;
  std::set<core::ReplicaId> avoided_;
  std::vector<ReplicaHealthSummary> health_summaries_;
  struct Counters {
    std::uint64_t sent = 0, received = 0, bytes_sent = 0, rejected = 0;
    std::uint64_t requests_to_peers = 0, no_allocator = 0, digests = 0;
    std::uint64_t too_few_clocks = 0;     // runs of the allocator that skipped draws for lack of other clocks
    std::uint64_t unknown_receivers = 0;  // messages not sent because the receiver is not in the member table
  } counters_;
};

}  // namespace flintglade::shared
