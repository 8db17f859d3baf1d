// Keeps the answers for a set of SRV names fresh: what to ask next, when, and of whom; what is cached and
// until when; what an answer is worth. A state machine without I/O: time is handed in, datagrams and streams
// come and go through Transport. RFC 1035, 2181 (8), 2308, 2782, 5452, 6891, 7766, 8767.
//
// Bounds: questions at once, tries, cached names, records and bytes of an answer, the length of a CNAME
// chain; all in ResolverSettings. One thread.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config/config.h"
#include "core/ports.h"
#include "dns/codec.h"

namespace flintglade::dns {

using config::HostPort;
using core::Micros;
using QueryId = std::uint64_t;  // one use of a socket

struct ResolverSettings {
  std::vector<HostPort> servers;
  Micros timeout = 800 * core::kMilli;
  unsigned tries = 3;
  std::size_t outstanding = 16;
  std::size_t message_bytes = 65535;
  std::size_t records = 4096;
  unsigned cname_chain = 8;
  Micros least_ttl = core::kSecond;
  Micros most_ttl = 3600 * core::kSecond;
  Micros negative_ttl = 30 * core::kSecond;
  Micros stale = 86400 * core::kSecond;
  std::size_t cache_entries = 20000;
};

// The sockets. Every call is answered by events of the same id until close(id), which the resolver always
// says.
class Transport {
 public:
  virtual ~Transport() = default;
  virtual void send(QueryId id, const HostPort& server,
                    std::string message) = 0;  // UDP, from a port of its own
  virtual void open(QueryId id, const HostPort& server, std::string framed) = 0;  // TCP, then these bytes
  virtual void close(QueryId id) = 0;
};

struct Target {  // one SRV record and what its name leads to
  std::string host;
  std::uint16_t port = 0, priority = 0, weight = 0;
  std::vector<std::string> addresses;  // IPv4 where there is any, else IPv6 (which is asked for only then)
  bool unresolved = false;  // its addresses cannot be told now: its servers fail and nothing is cached
  bool stale = false;       // they are past their lifetime
  Micros expires = 0;
};

struct SrvAnswer {
  enum class State { none, present, absent };  // none: no answer yet, or too old to serve
  State state = State::none;
  bool complete = false;  // every target's name has been asked for
  bool stale = false;     // past its lifetime, and its servers fail (RFC 8767)
  std::string why;        // absent: in a few words
  std::vector<Target> targets;
  Micros fetched = 0, expires = 0;
};

class ResolverListener {
 public:
  virtual ~ResolverListener() = default;
  virtual void answered(const std::string& name, const SrvAnswer& answer) = 0;  // new, or confirmed
  virtual void failed(const std::string& name, const std::string& why) = 0;     // what was known stays
};

struct ResolverCounters {
  std::uint64_t queries = 0, truncated = 0, tcp = 0, timeouts = 0, failures = 0, answers = 0;
  std::uint64_t wrong_source = 0, malformed = 0, wrong_id = 0, wrong_question = 0, no_answer = 0;  // dropped
  std::uint64_t glue_refused = 0, chains_refused = 0, records_left_out = 0;
};

class Resolver {
 public:
  using Random = std::function<std::uint64_t()>;
  Resolver(ResolverSettings settings, Random random, Transport& transport, ResolverListener& listener);

  // The names to keep and the settings to keep them by, from now on. What is cached of a kept name stays.
  void configure(Micros now, ResolverSettings settings, std::vector<std::string> names);
  void refresh(Micros now, const std::string& name);  // ask at the next turn, whatever the lifetime

  void wake(Micros now);
  Micros next_timer() const;

  void datagram(Micros now, QueryId id, const HostPort& from, std::string_view bytes);
  void stream(Micros now, QueryId id, std::string_view bytes);
  void broken(Micros now, QueryId id, const std::string& why);

  SrvAnswer answer(Micros now, const std::string& name) const;
  const ResolverSettings& settings() const { return settings_; }
  const ResolverCounters& counters() const { return counters_; }
  std::size_t cached() const { return cache_.size(); }
  std::size_t outstanding() const { return out_.size(); }

 private:
  struct Key {
    std::string name;
    Type type;
    auto operator<=>(const Key&) const = default;
  };
  struct Entry {
    enum class State { unknown, positive, negative, alias };
    State state = State::unknown;
    std::vector<Record> records;
    std::string alias, why;  // where a CNAME leads; why it is negative
    Micros fetched = 0, expires = 0, stale_until = 0;
    Micros due = 0;  // the next question; kNever while one is out
    unsigned failures = 0;
    std::uint64_t mark = 0;
    bool told() const { return state != State::unknown; }
  };
  struct Query {
    Key key;
    std::vector<std::size_t> tried;
    std::size_t server = 0;
    std::uint16_t id = 0;
    bool tcp = false, edns = true;
    Micros deadline = 0;
    unsigned forged = 0;  // datagrams that were no answer of this question
    std::string buffer;
  };
  struct Asked {
    HostPort at;
    unsigned failures = 0;
    Micros bad_until = 0;
    bool no_edns = false;
  };
  struct Watched {
    bool stirred = false;    // something of it has come, or failed to
    std::uint64_t told = 0;  // a fingerprint of what the listener has been told; 0: nothing
  };

  double unit() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Micros lifetime(std::uint32_t ttl, Micros most) const;
  void set_due(const Key& key, Entry& entry, Micros due);
  std::set<std::pair<Micros, Key>>& due_of(const Key& key) {
    return key.type == Type::srv ? due_names_ : due_addresses_;
  }
  bool all_bad(Micros now) const;
  void reach(Micros now);
  void want(Micros now, const Key& key, unsigned depth);
  void start(Micros now, const Key& key);
  void ask(Micros now, Query query);
  void take(Micros now, QueryId id, Query& query, Message message);
  void store(Micros now, const Query& query, const Message& message);
  void keep(Micros now, const Key& key, Entry::State state, std::vector<Record> records, Micros ttl);
  void try_next(Micros now, QueryId id, const std::string& why, bool blame);
  void give_up(Micros now, const Key& key, const std::string& why);
  void tell(Micros now);
  const Entry* follow(std::string name, Type type) const;
  void fill(Micros now, Target& target, bool& complete) const;
  void stir(const Key& key, bool changed);

  ResolverSettings settings_;
  Random random_;
  Transport& transport_;
  ResolverListener& listener_;
  std::vector<Asked> servers_;
  std::size_t turn_ = 0;  // whose turn it is among the servers
  std::map<std::string, Watched> names_;
  std::map<Key, Entry> cache_;
  std::set<std::pair<Micros, Key>> due_names_, due_addresses_;
  std::unordered_map<QueryId, Query> out_;
  std::set<std::pair<Micros, QueryId>> deadlines_;
  QueryId last_id_ = 0;
  std::uint64_t mark_ = 0;
  bool reach_ = false;  // what is wanted may have changed
  Micros tell_at_ = core::kNever, tell_from_ = 0;
  std::vector<std::pair<std::string, std::string>> failed_;
  ResolverCounters counters_;
};

}  // namespace flintglade::dns
