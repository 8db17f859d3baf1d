// A caching stub resolver that keeps the answers for a set of SRV names up to date. It decides which query to
// send next, when and to which server, which responses to accept, and how long to cache them.
//
// Does no I/O: callers pass the time, and datagrams and streams go through Transport. Used on one thread.
// RFC 1035, 2181 (section 8), 2308, 2782, 5452, 6891, 7766, 8767.
//
// ResolverSettings bounds the queries in flight, the servers tried for a query, the cache entries, the
// records and bytes of a response, and the length of a CNAME chain.
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
using QueryId = std::uint64_t;  // identifies one use of a socket

struct ResolverSettings {
  std::vector<HostPort> servers;
  Micros timeout = 800 * core::kMilli;       // of a query over UDP; over TCP it is twice as long
  unsigned tries = 3;                        // servers tried before a query fails
  std::size_t outstanding = 16;              // queries in flight
  std::size_t message_bytes = 65535;         // maximum size of a response over TCP
  std::size_t records = 4096;                // maximum number of records used of each section of a response
  unsigned cname_chain = 8;                  // maximum length
  Micros least_ttl = core::kSecond;          // minimum; shorter TTLs are raised to it
  Micros most_ttl = 3600 * core::kSecond;    // maximum; longer TTLs are lowered to it
  Micros negative_ttl = 30 * core::kSecond;  // maximum TTL of a negative answer
  Micros stale = 86400 * core::kSecond;      // how long an expired answer may be served (RFC 8767)
  std::size_t cache_entries = 20000;
};

// The resolver's sockets. send() and open() lead to calls of datagram(), stream() or transport_failed() with
// the same id, until close(id). The resolver always calls close().
class Transport {
 public:
  virtual ~Transport() = default;
  // Sends over UDP, from a source port that only this query uses.
  virtual void send(QueryId id, const HostPort& server, std::string message) = 0;
  // Connects over TCP and sends the message with its length prefix.
  virtual void open(QueryId id, const HostPort& server, std::string framed) = 0;
  virtual void close(QueryId id) = 0;
};

struct Target {  // one SRV record and the addresses of its host
  std::string host;
  std::uint16_t port = 0, priority = 0, weight = 0;
  std::vector<std::string> addresses;  // IPv4 if the host has any, else IPv6 (queried only then)
  bool unresolved = false;             // addresses unknown: queries fail and no usable answer is cached
  bool stale = false;                  // the addresses have expired
  Micros expires = 0;
};

struct SrvAnswer {
  enum class State { none, present, absent };  // none: no answer yet, or too old to serve
  State state = State::none;
  bool complete = false;  // the addresses of all targets have been queried
  bool stale = false;     // expired, and queries for a newer one fail (RFC 8767)
  std::string why;        // for State::absent: the reason
  std::vector<Target> targets;
  Micros fetched = 0, expires = 0;
};

class ResolverListener {
 public:
  virtual ~ResolverListener() = default;
  // The answer is new, or a query confirmed it.
  virtual void answered(const std::string& name, const SrvAnswer& answer) = 0;
  // A query failed. The last answer stays valid until it is too old to serve.
  virtual void failed(const std::string& name, const std::string& why) = 0;
};

struct ResolverCounters {
  std::uint64_t queries = 0, truncated = 0, tcp = 0, timeouts = 0, failures = 0, answers = 0;
  // Dropped datagrams, by reason. no_answer: a query instead of a response.
  std::uint64_t wrong_source = 0, malformed = 0, wrong_id = 0, wrong_question = 0, no_answer = 0;
  std::uint64_t glue_refused = 0, chains_refused = 0, records_left_out = 0;
};

class Resolver {
 public:
  using Random = std::function<std::uint64_t()>;
  Resolver(ResolverSettings settings, Random random, Transport& transport, ResolverListener& listener);

  // Replaces the settings and the set of watched SRV names. Cached answers for names that remain are kept.
  void configure(Micros now, ResolverSettings settings, std::vector<std::string> names);
  // Queries the SRV name at the next wake(), whatever its TTL.
  void refresh(Micros now, const std::string& name);

  // Handles expired timers, sends queries that are due and notifies the listener. To be called after every
  // other call, and at next_timer().
  void wake(Micros now);
  Micros next_timer() const;

  void datagram(Micros now, QueryId id, const HostPort& from, std::string_view bytes);
  void stream(Micros now, QueryId id, std::string_view bytes);
  void transport_failed(Micros now, QueryId id, const std::string& why);

  SrvAnswer answer(Micros now, const std::string& name) const;
  const ResolverSettings& settings() const { return settings_; }
  const ResolverCounters& counters() const { return counters_; }
  std::size_t cached() const { return cache_.size(); }
  std::size_t outstanding() const { return queries_.size(); }

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
    std::string alias;            // the target of a CNAME
    std::string negative_reason;  // why the answer is negative
    Micros fetched = 0, expires = 0, stale_until = 0;
    Micros due = 0;  // when to send the next query; kNever while one is in flight
    unsigned failures = 0;
    std::uint64_t sweep_generation = 0;  // the last sweep that found the entry in use
    bool known() const { return state != State::unknown; }
  };
  struct Query {
    Key key;
    std::vector<std::size_t> tried_servers;  // indices into servers_, as is server
    std::size_t server = 0;
    std::uint16_t id = 0;
    bool tcp = false, edns = true;
    Micros deadline = 0;
    unsigned mismatched = 0;  // dropped datagrams: possibly forged
    std::string buffer;
  };
  struct Server {
    HostPort address;
    unsigned failures = 0;
    Micros backoff_until = 0;
    bool no_edns = false;
  };
  struct WatchedName {
    bool notification_pending = false;       // a query for it, or for an address, has ended
    std::uint64_t notified_fingerprint = 0;  // of the answer last passed to the listener; 0: none
  };

  double random_fraction() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }
  Micros clamp_ttl(std::uint32_t ttl, Micros max) const;
  void set_due(const Key& key, Entry& entry, Micros due);
  std::set<std::pair<Micros, Key>>& due_queue(const Key& key) {
    return key.type == Type::srv ? due_services_ : due_addresses_;
  }
  bool all_servers_in_backoff(Micros now) const;
  void sweep_cache(Micros now);
  void mark_used(Micros now, const Key& key, unsigned depth);
  void start_query(Micros now, const Key& key);
  void send_query(Micros now, Query query);
  void handle_response(Micros now, QueryId id, Query& query, Message message);
  void store_response(Micros now, const Query& query, const Message& message);
  void update_entry(Micros now, const Key& key, Entry::State state, std::vector<Record> records, Micros ttl);
  void retry(Micros now, QueryId id, const std::string& why, bool server_failed);
  void fail_query(Micros now, const Key& key, const std::string& why);
  void notify_listener(Micros now);
  const Entry* follow_aliases(std::string name, Type type) const;
  void resolve_target(Micros now, Target& target, bool& complete) const;
  void schedule_notification(const Key& key, bool changed);

  ResolverSettings settings_;
  Random random_;
  Transport& transport_;
  ResolverListener& listener_;
  std::vector<Server> servers_;
  std::size_t next_server_ = 0;  // round robin, as an index into servers_
  std::map<std::string, WatchedName> watched_names_;
  std::map<Key, Entry> cache_;
  std::set<std::pair<Micros, Key>> due_services_, due_addresses_;  // SRV queries, and A and AAAA queries
  std::unordered_map<QueryId, Query> queries_;                     // in flight
  std::set<std::pair<Micros, QueryId>> deadlines_;
  QueryId last_id_ = 0;
  std::uint64_t sweep_generation_ = 0;
  bool sweep_needed_ = false;        // the set of entries in use may have changed
  Micros notify_at_ = core::kNever;  // when to notify the listener
  Micros next_notify_at_ = 0;        // the time for a notification that is scheduled now
  std::vector<std::pair<std::string, std::string>> unreported_failures_;  // names and reasons
  ResolverCounters counters_;
};

}  // namespace flintglade::dns
