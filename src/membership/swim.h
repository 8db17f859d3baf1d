// Who of a fleet's routers is there: SWIM (probes of one another by turns, asked for through others,
// suspicion, incarnations) with Lifeguard's local health. Pure: no clock, no socket; time and datagrams are
// handed in, and what is to be sent is taken out. Times are microseconds of one clock that never runs
// backwards.
//
// Sources: Das, Gupta, Motivala, "SWIM" (2002); Dadgar, Phillips, Currey, "Lifeguard" (2017). What differs is
// written at the place: births of one name, dead ones that are asked again, and late ticks.
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

namespace flintglade::membership {

using coordination::MemberStatus;
using core::Micros;

inline constexpr std::uint32_t kVersion = 1;

struct Settings {
  std::string fleet;
  Micros period = core::kSecond;        // a probe each, by turns
  Micros timeout = 200 * core::kMilli;  // until others are asked to try; well under the period
  std::size_t helpers = 3;              // whom to ask
  double suspicion = 4.0;               // periods times the logarithm of the fleet's size, at the least
  double suspicion_most = 3.0;          // times that, for what only one has seen
  double retransmit = 4.0;              // how often a word is passed on, times the same logarithm
  Micros sync = 15 * core::kSecond;     // all that is known, to and from one other
  Micros forget = 600 * core::kSecond;  // after which a dead one is no longer asked for
  std::size_t most_peers = 1024;        // names that are kept; words on more are dropped and counted
  std::size_t most_bytes = 1300;        // of a datagram
  std::vector<std::string> seeds;       // ADDRESS:PORT, asked while nobody else is known, and now and then
};

struct Self {
  std::string name, site, at;  // at: where others reach this router
  std::uint64_t birth = 0;     // microseconds of Unix time at the start
};

struct Peer {
  std::string name, site, at;
  std::uint64_t birth = 0, incarnation = 0;
  MemberStatus standing = coordination::ALIVE;
  Micros since = 0;  // of this standing
  std::uint32_t version = 0;
  bool operator==(const Peer&) const = default;
};

coordination::MemberState word_of(const Peer& p);  // what is said of it

struct Datagram {
  std::string to, bytes;
};

struct Counters {
  std::uint64_t sent = 0, received = 0, bytes_sent = 0;
  std::uint64_t other_fleet = 0, unreadable = 0, not_for_us = 0, absurd = 0, too_many = 0;
  std::uint64_t probes = 0, probes_failed = 0, suspected = 0, refuted = 0, late_ticks = 0;
};

class Swim {
 public:
  Swim(Settings settings, Self self, std::uint64_t seed);

  void start(Micros now);
  void receive(Micros now, const std::string& from, std::string_view bytes);
  void tick(
      Micros now);  // call it when next() has come; being late is seen and does not count against others
  Micros next() const;
  // Says good-bye to some others, who pass it on. Nothing is sent or answered from then on.
  void leave(Micros now);

  coordination::Packet packet(
      const std::string& to_name) const;  // addressed, of this fleet, with nothing in it
  std::vector<Datagram> take();           // to be sent
  std::vector<Peer> changed();  // of others: whose standing, birth or address is another since the last call

  // Another living process has this router's name and a later birth: this one takes no part any more.
  bool displaced() const { return displaced_; }
  // Of the others, and this router itself with its own word.
  const std::map<std::string, Peer>& others() const { return peers_; }
  Peer self() const;
  std::vector<Peer> living() const;       // alive or suspected, this router too, by name
  int health() const { return health_; }  // 0 is well; slows this router's judgement of others
  const Counters& counters() const { return counters_; }

 private:
  struct Known {
    std::string by;  // who first suspected it; more of them shorten the wait
    std::set<std::string> witnesses;
    Micros ends = 0;  // of the suspicion
  };
  struct Rumor {
    coordination::MemberState word;
    int times = 0;
  };
  struct Probe {
    std::string name;
    std::uint64_t number = 0;
    Micros sent = 0, ask_at = 0, ends = 0;
    bool asked = false;
    std::size_t helpers = 0, nacks = 0;
  };
  struct Rival {  // another life of our name, which is asked whether it lives
    std::uint64_t birth = 0, number = 0;
    Micros ends = 0;
  };
  struct Relay {  // a ping for somebody else
    std::string to;
    std::uint64_t number = 0;  // theirs
    Micros nack_at = 0;
  };

  void send(const std::string& at, coordination::Packet&& p, const std::string& about = "");
  void add_words(coordination::Packet& p, const std::string& about);
  void send_all(const std::string& at, const std::string& name, bool answer);
  void take(Micros now, const coordination::MemberState& word);
  void take_own(Micros now, const coordination::MemberState& word);
  bool sane(const coordination::MemberState& word) const;
  void set(Micros now, Peer& peer, const coordination::MemberState& word);
  void suspect(Micros now, Peer& peer, const std::string& by);
  void spread(const coordination::MemberState& word);
  void probe(Micros now);
  void end_probe(Micros now, bool answered);
  void heard(const std::string& name, std::uint64_t birth);
  void well(int by);
  double log_size() const;
  Micros slowed(Micros t) const { return t * (1 + health_); }

  Settings settings_;
  Self self_;
  std::uint64_t incarnation_ = 1;
  std::mt19937_64 random_;
  std::map<std::string, Peer> peers_;
  std::map<std::string, Known> suspected_;
  std::map<std::string, Rumor> rumors_;  // the newest word on each name that is still passed on
  std::vector<std::string> turns_;
  std::vector<Datagram> out_;
  std::set<std::string> changed_;
  std::map<std::uint64_t, Relay> relays_;
  Probe probe_;  // name empty: none
  Rival rival_;  // birth 0: none
  std::uint64_t numbers_ = 0;
  int health_ = 0;
  Micros next_probe_ = core::kNever, next_sync_ = core::kNever, last_tick_ = 0, next_answer_ = 0;
  bool left_ = false, displaced_ = false;
  Counters counters_;
};

}  // namespace flintglade::membership
