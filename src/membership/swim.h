// Which routers of the fleet are alive: the SWIM protocol (probes in random order, indirect probes,
// suspicion, incarnations, updates piggybacked on packets) with Lifeguard's local health.
//
// No I/O: time and received datagrams are handed in, datagrams to send are taken out with take(). One thread.
// Times are microseconds of one clock that never runs backwards.
//
// Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017). Four things
// differ from them: several processes may run under one name, one after another (Peer::birth); dead members
// are contacted now and then, so that two halves of a partitioned fleet find each other again; a process that
// was suspended blames nobody for the answers that it missed; and a sender that is not known is asked to
// introduce itself, since SWIM spreads the news of a member once and a fleet may have missed it.
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

// Of the packets; a receiver passes over fields that it does not know.
inline constexpr std::uint32_t kVersion = 1;

struct Settings {
  std::string fleet;              // packets of another fleet are dropped
  Micros period = core::kSecond;  // between two probes
  Micros timeout =
      200 * core::kMilli;       // of a direct probe, before indirect ones are sent; well under the period
  std::size_t helpers = 3;      // members that are asked for an indirect probe
  double suspicion = 4.0;       // minimum suspicion, in periods times log10 of the fleet's size
  double suspicion_most = 3.0;  // maximum suspicion, as a multiple of the minimum
  double retransmit = 4.0;      // transmissions of an update, times log10 of the fleet's size
  Micros sync =
      15 * core::kSecond;  // mean time between exchanges of the full member list with another member
  Micros forget = 600 * core::kSecond;  // after which a dead member is dropped
  std::size_t most_peers = 1024;        // members that are kept; updates on more are dropped and counted
  std::size_t most_bytes = 1300;        // of a datagram
  std::vector<std::string> seeds;       // ADDRESS:PORT to join the fleet at, and to contact now and then
};

struct Datagram {
  std::string to;  // ADDRESS:PORT
  std::string bytes;
};

// Since the start.
struct Counters {
  std::uint64_t sent = 0, received = 0, bytes_sent = 0;
  std::uint64_t other_fleet = 0, unreadable = 0, not_for_us = 0, absurd = 0, too_many = 0;  // dropped
  std::uint64_t unknown_senders = 0;  // packets of members that this one does not know
  std::uint64_t introductions_requested = 0, introductions = 0;
  std::uint64_t probes = 0, probes_failed = 0, suspected = 0, refuted = 0, late_ticks = 0;
};

class Swim {
 public:
  Swim(Settings settings, Self self, std::uint64_t seed);

  void start(Micros now);
  void receive(Micros now, const std::string& from, std::string_view bytes);
  // A packet of this fleet has come that is not of this protocol: a sender that is not known is asked for its
  // state.
  void note_sender(Micros now, const std::string& address, const coordination::Packet& packet);
  // Does all that is due; to be called when next() has come. A late call does not count against other
  // members.
  void tick(Micros now);
  Micros next() const;
  // Tells some members that this one leaves; they spread it. Nothing is sent or answered afterwards.
  void leave(Micros now);

  // An empty packet of this fleet, addressed to this member; empty: to whoever is at the address.
  coordination::Packet packet(const std::string& to_name) const;
  // The datagrams to send, once each.
  std::vector<Datagram> take();
  // Other members whose status, birth or address has changed since the last call.
  std::vector<Peer> changed();

  // Another living process has this router's name and a later birth: this one takes no part any more.
  bool displaced() const { return displaced_; }
  // The other members by name, dead ones included.
  const std::map<std::string, Peer>& others() const { return peers_; }
  Peer self() const;
  // Members that are alive or suspected, this one included, by name.
  std::vector<Peer> living() const;
  // Lifeguard's local health: 0 is healthy; higher values slow down this member's judgement of others.
  int health() const { return health_; }
  const Counters& counters() const { return counters_; }

 private:
  // The probe under way. Empty name: none.
  struct Probe {
    std::string name;
    std::uint64_t number = 0;
    Micros indirect_at = 0;  // when to ask others to probe it
    Micros ends = 0;
    bool indirect = false;  // others have been asked
    std::size_t helpers = 0;
    std::size_t nacks = 0;  // helpers that answered that they did not reach it
  };
  // Another process under our name, which is asked whether it lives. Birth 0: none.
  struct Rival {
    std::uint64_t birth = 0;
    std::uint64_t number = 0;
    Micros ends = 0;
  };
  // An indirect probe that this member makes for another one.
  struct IndirectProbe {
    std::string requester;     // its address
    std::uint64_t number = 0;  // the requester's
    Micros nack_at = 0;
  };

  // A request to a member that is not known here, repeated until it is answered.
  struct IntroductionRequest {
    std::string address;
    int tries_left = 0;
    Micros next_try = 0;
  };

  // ---- what tick() does, in order
  void forgive_missed_answers(Micros late);
  void expire_indirect_probes(Micros now);
  void send_indirect_probes();
  void expire_suspicions(Micros now);
  void outlive_silent_rival(Micros now);
  void start_probe(Micros now);
  void end_probe(Micros now, bool answered);
  void exchange_members(Micros now);
  // Drops those that were dead for too long.
  void forget_dead_members(Micros now);
  void contact_seeds();

  // ---- received packets
  bool accepts(const coordination::Packet& packet);
  void receive_from_own_name(const std::string& from, const coordination::Packet& packet);
  void receive_ack(Micros now, std::uint64_t number);
  void receive_indirect_probe(Micros now, const std::string& from, const coordination::PingFor& request);
  void acknowledge(const std::string& address, const std::string& name, std::uint64_t number,
                   const std::string& about);
  void remind_of_its_status(const std::string& name, std::uint64_t birth);
  // Whether a packet of this process comes from a member that is not known here, or under an earlier birth.
  bool is_unknown(const coordination::Packet& packet) const;
  void request_introduction(Micros now, const std::string& address, const std::string& name);
  void answer_introduction_request(Micros now, const std::string& address, const std::string& name);
  void introduce_to_all(Micros now);
  void repeat_introduction_requests(Micros now);
  void send_own_state(const std::string& address, const std::string& name);

  // ---- updates on members
  void apply(Micros now, const coordination::MemberState& update);
  void apply_to_self(Micros now, const coordination::MemberState& update);
  void confirm_suspicion(const Peer& peer, const coordination::MemberState& update);
  void replace(Micros now, Peer& peer, const coordination::MemberState& update);
  void suspect(Micros now, Peer& peer, const std::string& reported_by);
  SuspicionBounds suspicion_bounds() const;
  void spread_own_state() { gossip_.add(word_of(self())); }

  // ---- sent packets
  // about: a member whose state is to go along, so that it can refute it.
  void send(const std::string& address, coordination::Packet&& packet, const std::string& about = "");
  void transmit(const std::string& address, const coordination::Packet& packet);  // as it is
  void add_updates(coordination::Packet& packet, const std::string& about);
  // The whole member list, in as many datagrams as it takes. answer: the receiver's list is asked for.
  void send_all_members(const std::string& address, const std::string& name, bool answer);

  void adjust_health(int by);
  double log_of_size() const;
  Micros slowed(Micros span) const { return span * (1 + health_); }
  Micros random_span(Micros least, Micros most) {
    return std::uniform_int_distribution<Micros>(least, most)(random_);
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
  std::vector<std::string> probe_order_;  // what is left of this round, the next one last
  std::vector<Datagram> outgoing_;
  std::set<std::string> changed_;
  std::map<std::uint64_t, IndirectProbe> indirect_probes_;  // by the number of our own ping
  Probe probe_;
  Rival rival_;
  std::uint64_t last_number_ = 0;  // of pings
  int health_ = 0;
  Micros next_probe_ = core::kNever;
  Micros next_exchange_ = core::kNever;
  Micros last_tick_ = 0;
  Micros next_list_answer_ = 0;              // earlier requests for the member list are passed over
  Micros next_introduction_ = core::kNever;  // to all members
  int introductions_left_ = 0;               // of this series
  Micros next_series_ = 0;                   // not before then
  std::map<std::string, IntroductionRequest> introduction_requests_;  // by the unknown member's name
  bool left_ = false;
  bool displaced_ = false;
  Counters counters_;
};

}  // namespace flintglade::membership
