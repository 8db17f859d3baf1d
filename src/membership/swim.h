// Fleet membership and failure detection: the SWIM protocol (probes in random order, indirect probes,
// suspicion, incarnations, updates piggybacked on packets) with Lifeguard's local health.
//
// No I/O: the caller passes in the time and received datagrams, and sends the datagrams that take() returns.
// Single-threaded. Times are microseconds of one monotonic clock.
//
// Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017). Four
// differences from them:
// - Successive processes may run under one router name; Peer::birth distinguishes them.
// - Dead members are contacted periodically, so that the two sides of a healed partition rejoin.
// - A process that was suspended by the operating system does not count the answers that it missed meanwhile
//   as failures of other members.
// - A sender missing from the member table is asked to introduce itself: SWIM disseminates a join once, and a
//   fleet may have missed it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination.pb.h"
#include "core/ports.h"
#include "membership/gossip_buffer.h"
#include "membership/peer.h"
#include "membership/suspicion.h"

namespace flintglade::membership {

// Version of the packet format. Receivers ignore unknown fields.
inline constexpr std::uint32_t kVersion = 1;

struct Settings {
  std::string fleet;              // name of the fleet; packets of other fleets are dropped
  Micros period = core::kSecond;  // interval between probes
  // Of a direct probe, before indirect ones are sent; should be well under the period.
  Micros timeout = 200 * core::kMilli;
  std::size_t helpers = 3;        // number of members asked to make an indirect probe
  double suspicion_factor = 4.0;  // minimum suspicion timeout: suspicion_factor * period * log10(fleet size)
  double max_suspicion_factor = 3.0;  // maximum suspicion timeout, as a multiple of the minimum
  double retransmit_factor = 4.0;     // transmissions of each update: retransmit_factor * log10(fleet size)
  // Mean time between exchanges of the full member list with a random member.
  Micros exchange_interval = 15 * core::kSecond;
  Micros dead_member_ttl = 600 * core::kSecond;  // how long a dead member stays in the table
  // Size limit of the member table; updates about further members are dropped and counted.
  std::size_t max_peers = 1024;
  std::size_t max_datagram_bytes = 1300;
  std::vector<std::string> seeds;  // ADDRESS:PORT of members to join through and to contact periodically
};

struct Datagram {
  std::string to;  // ADDRESS:PORT
  std::string bytes;
};

// Event counts since the start of the process.
struct Counters {
  std::uint64_t sent = 0, received = 0, bytes_sent = 0;
  std::uint64_t other_fleet = 0, unreadable = 0, not_for_us = 0, implausible = 0, too_many = 0;  // dropped
  std::uint64_t unknown_senders = 0;  // packets from senders missing from the member table
  std::uint64_t introductions_requested = 0, introductions = 0;
  std::uint64_t probes = 0, probes_failed = 0, suspected = 0, refuted = 0, late_ticks = 0;
};

class Swim {
 public:
  Swim(Settings settings, Self self, std::uint64_t seed);

  void start(Micros now);
  void receive(Micros now, const std::string& from, std::string_view bytes);
  // Handles the sender of a packet of this fleet that belongs to another protocol: a sender missing from the
  // member table is asked to introduce itself.
  void note_sender(Micros now, const std::string& address, const coordination::Packet& packet);
  // Runs all due timers; to be called at next(). Other members are not blamed for missed answers when the
  // call comes late.
  void tick(Micros now);
  Micros next() const;
  // Notifies a few members that this one is leaving; they disseminate it. Afterwards this member neither
  // sends nor answers packets.
  void leave(Micros now);

  // A packet with only the header fields, addressed to the member `to_name`, or if that is empty, to
  // whichever member has the address.
  coordination::Packet packet(const std::string& to_name) const;
  // Returns the queued outgoing datagrams and empties the queue.
  std::vector<Datagram> take();
  // Returns the other members whose status, birth or address has changed since the last call.
  std::vector<Peer> changed();

  // Whether a live process with this router's name and a later birth has displaced this one, which then no
  // longer takes part in the protocol.
  bool displaced() const { return displaced_; }
  // All other members in the table by name, including dead ones.
  const std::map<std::string, Peer>& others() const { return peers_; }
  Peer self() const;
  // Members that are alive or suspected, including this one, sorted by name.
  std::vector<Peer> living() const;
  // Lifeguard's local health multiplier: 0 is healthy; higher values lengthen this member's timeouts.
  int health() const { return health_; }
  const Counters& counters() const { return counters_; }

 private:
  // The probe in progress; none if `name` is empty.
  struct Probe {
    std::string name;
    std::uint64_t number = 0;
    Micros indirect_at = 0;  // when to request indirect probes
    Micros ends = 0;
    bool indirect = false;  // indirect probes have been requested
    std::size_t helpers = 0;
    std::size_t nacks = 0;  // helpers that reported that the target did not answer them either
  };
  // Another process that uses this router's name and is being pinged to find out whether it is alive; none if
  // `birth` is 0.
  struct Rival {
    std::uint64_t birth = 0;
    std::uint64_t number = 0;
    Micros ends = 0;
  };
  // An indirect probe that this member makes on behalf of another member.
  struct IndirectProbe {
    std::string requester;     // the requester's address
    std::uint64_t number = 0;  // the requester's probe number
    Micros nack_at = 0;
  };

  // A request to a member missing from the table to introduce itself, repeated until it is answered or out of
  // tries.
  struct IntroductionRequest {
    std::string address;
    int tries_left = 0;
    Micros next_try = 0;
  };

  // ---- steps of tick(), in order
  void forgive_missed_answers(Micros late);
  void expire_indirect_probes(Micros now);
  void send_indirect_probes();
  void expire_suspicions(Micros now);
  void take_name_from_silent_rival(Micros now);
  void start_probe(Micros now);
  void end_probe(Micros now, bool answered);
  void exchange_members(Micros now);
  // Drops members that have been dead for longer than dead_member_ttl.
  void forget_dead_members(Micros now);
  void contact_seeds();

  // ---- received packets
  bool accepts(const coordination::Packet& packet);
  void receive_from_own_name(const std::string& from, const coordination::Packet& packet);
  void receive_ack(Micros now, std::uint64_t number);
  void receive_indirect_probe(Micros now, const std::string& from, const coordination::PingFor& request);
  void acknowledge(const std::string& address, const std::string& name, std::uint64_t number,
                   const std::string& about);
  void report_status_to_member(const std::string& name, std::uint64_t birth);
  // Whether the packet's sender is missing from the member table, or is there with an earlier birth.
  bool is_unknown(const coordination::Packet& packet) const;
  void request_introduction(Micros now, const std::string& address, const std::string& name);
  void answer_introduction_request(Micros now, const std::string& address, const std::string& name);
  void introduce_to_all(Micros now);
  void repeat_introduction_requests(Micros now);
  void send_own_state(const std::string& address, const std::string& name);

  // ---- membership updates
  void apply(Micros now, const coordination::MemberState& update);
  void apply_to_self(Micros now, const coordination::MemberState& update);
  void confirm_suspicion(const Peer& peer, const coordination::MemberState& update);
  void replace(Micros now, Peer& peer, const coordination::MemberState& update);
  void suspect(Micros now, Peer& peer, const std::string& reported_by);
  SuspicionBounds suspicion_bounds() const;
  void spread_own_state() { gossip_.add(to_member_state(self())); }

  // ---- sent packets
  // Piggybacks updates, first the one about the member `about`, so that it can refute its status.
  void send(const std::string& address, coordination::Packet&& packet, const std::string& about = "");
  // Queues the packet without piggybacked updates.
  void transmit(const std::string& address, const coordination::Packet& packet);
  void add_updates(coordination::Packet& packet, const std::string& about);
  // Sends the full member list, split over several datagrams if needed. `answer` requests the receiver's list
  // in return.
  void send_all_members(const std::string& address, const std::string& name, bool answer);

  void adjust_health(int by);
  double log_of_size() const;
  Micros slowed(Micros span) const { return span * (1 + health_); }
  Micros random_span(Micros minimum, Micros maximum) {
    return std::uniform_int_distribution<Micros>(minimum, maximum)(random_);
  }
  template <typename Items>
  auto random_item(const Items& items) {
    return items[std::uniform_int_distribution<std::size_t>(0, items.size() - 1)(random_)];
  }

  Settings settings_;
  Self self_;
  std::uint64_t incarnation_ = 1;
  std::mt19937_64 random_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, Suspicion> suspicions_;
  GossipBuffer gossip_;
  std::vector<std::string> probe_order_;  // members still to be probed in this round, the next one last
  std::vector<Datagram> outgoing_;
  std::set<std::string> changed_;
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;  // by the number of this member's ping
  Probe probe_;
  Rival rival_;
  std::uint64_t last_number_ = 0;  // of the pings sent by this member
  int health_ = 0;
  Micros next_probe_ = core::kNever;
  Micros next_exchange_ = core::kNever;
  Micros last_tick_ = 0;
  Micros next_list_answer_ = 0;              // requests for the member list are ignored until then
  Micros next_introduction_ = core::kNever;  // next round of introductions to all members
  int introductions_left_ = 0;               // rounds left in this series
  Micros next_series_ = 0;                   // earliest start of the next series
  std::map<std::string, IntroductionRequest> introduction_requests_;  // by name of the unknown member
  bool left_ = false;
  bool displaced_ = false;
  Counters counters_;
};

}  // namespace flintglade::membership
