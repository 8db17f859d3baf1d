#include "dns/resolver.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "config/labels.h"

namespace flintglade::dns {

namespace {

using core::kMilli;
using core::kNever;
using core::kSecond;

constexpr std::uint16_t kUdpSize = 1232;      // passes any link without fragmentation (DNS flag day 2020)
constexpr unsigned kMaxMismatched = 8;        // dropped datagrams after which the query is sent over TCP
constexpr Micros kNotifyDelay = 20 * kMilli;  // answers that arrive together cause one notification
constexpr Micros kServerBackoff = 250 * kMilli, kMaxServerBackoff = 15 * kSecond;
constexpr Micros kQueryBackoff = 500 * kMilli, kMaxQueryBackoff = 5 * kSecond;

Micros exponential_backoff(Micros initial, unsigned failures, Micros max) {
  return std::min(max, initial << std::min(failures, 10u));
}

}  // namespace

Resolver::Resolver(ResolverSettings settings, Random random, Transport& transport, ResolverListener& listener)
    : random_(std::move(random)), transport_(transport), listener_(listener) {
  configure(0, std::move(settings), {});
}

void Resolver::configure(Micros now, ResolverSettings settings, std::vector<std::string> names) {
  std::vector<Server> servers;
  for (const HostPort& address : settings.servers) {
    Server server{address, 0, 0, false};
    for (const Server& old : servers_) {
      if (old.address.host == address.host && old.address.port == address.port) server = old;
    }
    servers.push_back(std::move(server));
  }
  // Queries in flight refer to the old servers by index, so they are cancelled and due again now.
  for (auto& [id, query] : queries_) {
    transport_.close(id);
    set_due(query.key, cache_[query.key], now);
  }
  queries_.clear();
  deadlines_.clear();
  servers_ = std::move(servers);
  settings_ = std::move(settings);
  std::map<std::string, WatchedName> watched_names;
  for (const std::string& name : names) {
    const std::string key = canonical(name);
    if (key.empty()) continue;
    const auto old = watched_names_.find(key);
    watched_names[key] = old == watched_names_.end() ? WatchedName{} : std::move(old->second);
  }
  watched_names_ = std::move(watched_names);
  sweep_needed_ = true;
}

void Resolver::refresh(Micros now, const std::string& name) {
  const auto it = cache_.find({canonical(name), Type::srv});
  if (it != cache_.end() && it->second.due != kNever && it->second.due > now)
    set_due(it->first, it->second, now);
}

// RFC 2181, section 8: a TTL with the top bit set counts as 0. Without the lower bound, a TTL of 0 would
// cause queries without pause.
Micros Resolver::clamp_ttl(std::uint32_t ttl, Micros max) const {
  const Micros duration = ttl > 0x7fffffffu ? 0 : static_cast<Micros>(ttl) * kSecond;
  return std::clamp(duration, std::min(settings_.least_ttl, max), max);
}

void Resolver::set_due(const Key& key, Entry& entry, Micros due) {
  auto& queue = due_queue(key);
  if (entry.due != kNever) queue.erase({entry.due, key});
  entry.due = due;
  if (due != kNever) queue.emplace(due, key);
}

bool Resolver::all_servers_in_backoff(Micros now) const {
  return std::all_of(servers_.begin(), servers_.end(),
                     [now](const Server& s) { return s.backoff_until > now; });
}

// ---- cache entries in use

// Marks the entries that the watched names lead to and drops all others, so that the cache holds only what
// the answers need.
void Resolver::sweep_cache(Micros now) {
  sweep_needed_ = false;
  ++sweep_generation_;
  for (const auto& [name, watched] : watched_names_) mark_used(now, {name, Type::srv}, 0);
  for (auto it = cache_.begin(); it != cache_.end();) {
    const bool used = it->second.sweep_generation == sweep_generation_;
    if (!used && it->second.due != kNever) due_queue(it->first).erase({it->second.due, it->first});
    // An entry with a query in flight is dropped by the sweep after that query has ended.
    it = !used && it->second.due != kNever ? cache_.erase(it) : std::next(it);
  }
}

// Marks an entry and those it leads to. A missing entry is created, and its query is due now. depth: number
// of CNAME records followed so far.
void Resolver::mark_used(Micros now, const Key& key, unsigned depth) {
  if (depth > settings_.cname_chain) return;
  auto it = cache_.find(key);
  if (it == cache_.end()) {
    if (cache_.size() >= settings_.cache_entries) {
      ++counters_.records_left_out;
      return;
    }
    it = cache_.emplace(key, Entry{}).first;
    it->second.due = kNever;
    set_due(key, it->second, now);
  }
  Entry& entry = it->second;
  if (entry.sweep_generation == sweep_generation_) return;
  entry.sweep_generation = sweep_generation_;
  if (entry.state == Entry::State::alias) return mark_used(now, {entry.alias, key.type}, depth + 1);
  if (key.type != Type::srv || entry.state != Entry::State::positive) return;
  for (const Record& r : entry.records) {
    if (r.value == ".") continue;
    mark_used(now, {r.value, Type::a}, 0);
    // With both families, one replica would count as two, and there would be twice as many queries.
    const Entry* v4 = follow_aliases(r.value, Type::a);
    if (v4 != nullptr && v4->state == Entry::State::negative) mark_used(now, {r.value, Type::aaaa}, 0);
  }
}

// ---- queries

void Resolver::wake(Micros now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    ++counters_.timeouts;
    const QueryId id = deadlines_.begin()->second;
    retry(now, id, "query timed out", true);
  }
  if (sweep_needed_) sweep_cache(now);
  // SRV queries come before address queries: they show which replicas are draining or were removed. While all
  // servers fail, only SRV queries are sent; their success shows that a server works again.
  for (auto* queue : {&due_services_, &due_addresses_}) {
    while (queries_.size() < settings_.outstanding && !queue->empty() && queue->begin()->first <= now) {
      if (servers_.empty() || (queue == &due_addresses_ && all_servers_in_backoff(now))) break;
      start_query(now, Key(queue->begin()->second));
    }
  }
  if (now >= notify_at_) notify_listener(now);
}

Micros Resolver::next_timer() const {
  Micros next = notify_at_;
  if (sweep_needed_) next = 0;
  if (!deadlines_.empty()) next = std::min(next, deadlines_.begin()->first);
  if (queries_.size() < settings_.outstanding && !servers_.empty()) {
    if (!due_services_.empty()) next = std::min(next, due_services_.begin()->first);
    if (!due_addresses_.empty()) {
      Micros server_available = kNever;
      for (const Server& server : servers_)
        server_available = std::min(server_available, server.backoff_until);
      next = std::min(next, std::max(server_available, due_addresses_.begin()->first));
    }
  }
  return next;
}

void Resolver::start_query(Micros now, const Key& key) {
  set_due(key, cache_[key], kNever);
  Query query;
  query.key = key;
  send_query(now, std::move(query));
}

// Picks servers round robin. Servers in backoff come last, after them those already tried for this query. A
// query over TCP keeps the server that it was sent to over UDP.
void Resolver::send_query(Micros now, Query query) {
  std::size_t best = 0;
  std::tuple<bool, Micros> best_rank{true, kNever};
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::size_t index = (next_server_ + i) % servers_.size();
    const bool tried =
        std::find(query.tried_servers.begin(), query.tried_servers.end(), index) != query.tried_servers.end();
    const std::tuple<bool, Micros> rank{
        tried, servers_[index].backoff_until > now ? servers_[index].backoff_until : 0};
    if (rank < best_rank) {
      best_rank = rank;
      best = index;
    }
  }
  if (!query.tcp) {
    query.server = best;
    next_server_ = (best + 1) % servers_.size();
    query.tried_servers.push_back(best);
  }
  const Server& server = servers_[query.server];
  query.edns = !server.no_edns;
  query.id = static_cast<std::uint16_t>(random_());
  query.mismatched = 0;
  query.buffer.clear();
  query.deadline = now + (query.tcp ? 2 : 1) * settings_.timeout;
  const QueryId id = ++last_id_;
  std::string message = encode_query(query.id, query.key.name, query.key.type, query.edns ? kUdpSize : 0);
  deadlines_.emplace(query.deadline, id);
  ++counters_.queries;
  const bool tcp = query.tcp;
  queries_[id] = std::move(query);
  if (tcp) {
    ++counters_.tcp;
    message.insert(0, {static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)});
    transport_.open(id, server.address, std::move(message));
  } else {
    transport_.send(id, server.address, std::move(message));
  }
}

// ---- responses

// RFC 5452, section 9: a datagram is dropped unless it comes from the queried server and has the id and the
// question of the query. The query then goes on waiting for the genuine response.
void Resolver::datagram(Micros now, QueryId id, const HostPort& from, std::string_view bytes) {
  const auto it = queries_.find(id);
  if (it == queries_.end() || it->second.tcp) return;
  Query& query = it->second;
  const HostPort& server = servers_[query.server].address;
  const auto drop = [&](std::uint64_t& counter) {
    ++counter;
    // Many mismatches may be an attempt to forge a response. Over TCP only an on-path attacker can do that.
    if (++query.mismatched < kMaxMismatched) return;
    Query retried = std::move(query);
    deadlines_.erase({retried.deadline, id});
    queries_.erase(it);
    transport_.close(id);
    retried.tcp = true;
    send_query(now, std::move(retried));
  };
  if (from.host != server.host || from.port != server.port) return drop(counters_.wrong_source);
  auto message = decode(bytes, settings_.records);
  if (!message) return drop(counters_.malformed);
  if (!message->is_response) return drop(counters_.no_answer);
  if (message->id != query.id) return drop(counters_.wrong_id);
  if (message->question_name != query.key.name ||
      message->question_type != static_cast<std::uint16_t>(query.key.type))
    return drop(counters_.wrong_question);
  handle_response(now, id, query, std::move(*message));
}

void Resolver::stream(Micros now, QueryId id, std::string_view bytes) {
  const auto it = queries_.find(id);
  if (it == queries_.end() || !it->second.tcp) return;
  Query& query = it->second;
  query.buffer.append(bytes.substr(
      0, settings_.message_bytes + 2 - std::min(query.buffer.size(), settings_.message_bytes + 2)));
  if (query.buffer.size() < 2) return;
  const std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(query.buffer[0])) << 8 |
                           static_cast<unsigned char>(query.buffer[1]);
  if (size > settings_.message_bytes)
    return retry(now, id,
                 "response over TCP has " + std::to_string(size) + " bytes, more than the limit of " +
                     std::to_string(settings_.message_bytes),
                 false);
  if (query.buffer.size() < size + 2) return;
  auto message = decode(std::string_view(query.buffer).substr(2, size), settings_.records);
  if (!message) ++counters_.malformed;
  if (message && message->id != query.id) ++counters_.wrong_id;
  const bool matches = message && message->is_response && !message->truncated && message->id == query.id &&
                       message->question_name == query.key.name &&
                       message->question_type == static_cast<std::uint16_t>(query.key.type);
  if (!matches) return retry(now, id, "message received over TCP does not answer the query", true);
  handle_response(now, id, query, std::move(*message));
}

void Resolver::transport_failed(Micros now, QueryId id, const std::string& why) {
  if (queries_.count(id) != 0) retry(now, id, why, true);
}

void Resolver::handle_response(Micros now, QueryId id, Query& query, Message message) {
  Server& server = servers_[query.server];
  if (message.truncated) {  // RFC 7766, 5
    ++counters_.truncated;
    Query retried = std::move(query);
    deadlines_.erase({retried.deadline, id});
    queries_.erase(id);
    transport_.close(id);
    retried.tcp = true;
    return send_query(now, std::move(retried));
  }
  const auto rcode = static_cast<Rcode>(message.rcode);
  if (query.edns && !message.edns && (rcode == Rcode::formerr || rcode == Rcode::notimp)) {
    // RFC 6891, section 7: the server does not support EDNS. The query is repeated without it, which does not
    // count as a failure of the server.
    server.no_edns = true;
    query.tried_servers.pop_back();
    return retry(now, id, "server does not support EDNS", false);
  }
  if (rcode != Rcode::ok && rcode != Rcode::nxdomain)
    return retry(now, id, "response has rcode " + std::to_string(message.rcode), true);
  const auto authority_has = [&](Type type) {
    return std::any_of(message.authority.begin(), message.authority.end(),
                       [type](const Record& r) { return r.type == type; });
  };
  if (rcode == Rcode::ok && message.answers.empty() && authority_has(Type::ns) && !authority_has(Type::soa))
    return retry(now, id, "response is a referral", true);  // not authoritative, and does not recurse
  server.failures = 0;
  server.backoff_until = 0;
  ++counters_.answers;
  const Query completed = std::move(query);
  deadlines_.erase({completed.deadline, id});
  queries_.erase(id);
  transport_.close(id);
  store_response(now, completed, message);
}

void Resolver::store_response(Micros now, const Query& query, const Message& message) {
  // Follows the CNAME records from the name in the question. All other records of the answer section are
  // unsolicited and ignored.
  std::string final_name = query.key.name;
  Micros ttl = settings_.most_ttl;
  unsigned links = 0;
  for (bool followed = true; followed;) {
    followed = false;
    for (const Record& r : message.answers) {
      if (r.type != Type::cname || r.owner != final_name || r.value == final_name) continue;
      if (++links > settings_.cname_chain) {
        ++counters_.chains_refused;
        return fail_query(now, query.key,
                          "CNAME chain has more than " + std::to_string(settings_.cname_chain) + " links");
      }
      ttl = std::min(ttl, clamp_ttl(r.ttl, settings_.most_ttl));
      final_name = r.value;
      followed = true;
      break;
    }
  }
  std::vector<Record> records;
  for (const Record& r : message.answers) {
    if (r.type != query.key.type || r.owner != final_name) continue;
    ttl = std::min(ttl, clamp_ttl(r.ttl, settings_.most_ttl));
    records.push_back(r);
  }
  // Sorted and without duplicates, so that responses with the same records compare equal.
  std::sort(records.begin(), records.end(), [](const Record& a, const Record& b) {
    return std::tie(a.priority, a.value, a.port, a.weight) < std::tie(b.priority, b.value, b.port, b.weight);
  });
  records.erase(std::unique(records.begin(), records.end(),
                            [](const Record& a, const Record& b) {
                              return a.value == b.value && a.port == b.port && a.priority == b.priority;
                            }),
                records.end());
  if (!records.empty()) {
    update_entry(now, query.key, Entry::State::positive, std::move(records), ttl);
    if (query.key.type != Type::srv) return;
    // Glue counts only below the domain of the queried SRV name: its servers must not answer for other
    // domains (cache poisoning).
    const std::string& service = query.key.name;
    const std::string domain = service.substr(service.find('.', service.find('.') + 1) + 1);
    std::map<Key, std::vector<Record>> glue;
    const std::vector<Record>& targets = cache_[query.key].records;
    for (const Record& r : message.additional) {
      if (r.type != Type::a && r.type != Type::aaaa) continue;
      const bool is_target =
          std::any_of(targets.begin(), targets.end(), [&r](const Record& t) { return t.value == r.owner; });
      if (is_target && within(r.owner, domain)) {
        glue[{r.owner, r.type}].push_back(r);
      } else {
        ++counters_.glue_refused;
      }
    }
    for (auto& [key, glue_records] : glue) {
      if (cache_.count(key) == 0 && cache_.size() >= settings_.cache_entries) continue;
      const auto [it, inserted] = cache_.try_emplace(key);
      if (!inserted && it->second.due == kNever) continue;  // a query for it is in flight and has precedence
      Micros glue_ttl = settings_.most_ttl;
      for (const Record& r : glue_records)
        glue_ttl = std::min(glue_ttl, clamp_ttl(r.ttl, settings_.most_ttl));
      std::sort(glue_records.begin(), glue_records.end(),
                [](const Record& a, const Record& b) { return a.value < b.value; });
      update_entry(now, key, Entry::State::positive, std::move(glue_records), glue_ttl);
    }
    return;
  }
  if (final_name != query.key.name && static_cast<Rcode>(message.rcode) == Rcode::ok) {
    update_entry(now, query.key, Entry::State::alias, {}, ttl);
    cache_[query.key].alias = final_name;
    return;
  }
  // RFC 2308, section 5: the SOA record gives the TTL, up to settings_.negative_ttl. Without one it is 5 s.
  Micros negative_ttl = std::min(settings_.negative_ttl, 5 * kSecond);
  for (const Record& r : message.authority) {
    if (r.type == Type::soa) negative_ttl = clamp_ttl(std::min(r.ttl, r.minimum), settings_.negative_ttl);
  }
  update_entry(now, query.key, Entry::State::negative, {}, negative_ttl);
  cache_[query.key].negative_reason = static_cast<Rcode>(message.rcode) == Rcode::nxdomain
                                          ? "the name does not exist"
                                          : "the name has no record of this type";
}

void Resolver::update_entry(Micros now, const Key& key, Entry::State state, std::vector<Record> records,
                            Micros ttl) {
  Entry& entry = cache_[key];
  const bool changed =
      entry.state != state || entry.records.size() != records.size() ||
      !std::equal(
          records.begin(), records.end(), entry.records.begin(), [](const Record& a, const Record& b) {
            return a.value == b.value && a.port == b.port && a.weight == b.weight && a.priority == b.priority;
          });
  if (changed || entry.sweep_generation != sweep_generation_) sweep_needed_ = true;
  entry.state = state;
  entry.records = std::move(records);
  entry.fetched = now;
  entry.expires = now + ttl;
  entry.stale_until = entry.expires + settings_.stale;
  entry.failures = 0;
  // Refreshes at 80 to 90 % of the TTL: before the entry expires, and at random so that queries spread out.
  set_due(key, entry, now + static_cast<Micros>(static_cast<double>(ttl) * (0.8 + 0.1 * random_fraction())));
  next_notify_at_ = now + kNotifyDelay;
  schedule_notification(key, changed);
}

// Sends a query again over UDP, or fails it if its tries are used up. server_failed: the server is put in
// backoff.
void Resolver::retry(Micros now, QueryId id, const std::string& why, bool server_failed) {
  const auto it = queries_.find(id);
  Query query = std::move(it->second);
  deadlines_.erase({query.deadline, id});
  queries_.erase(it);
  transport_.close(id);
  if (server_failed) {
    Server& server = servers_[query.server];
    const Micros wait = exponential_backoff(kServerBackoff, server.failures++, kMaxServerBackoff);
    server.backoff_until =
        now + static_cast<Micros>(static_cast<double>(wait) * (0.5 + 0.5 * random_fraction()));
  }
  if (query.tried_servers.size() >= settings_.tries) return fail_query(now, query.key, why);
  query.tcp = false;
  send_query(now, std::move(query));
}

void Resolver::fail_query(Micros now, const Key& key, const std::string& why) {
  ++counters_.failures;
  Entry& entry = cache_[key];
  if (entry.sweep_generation != sweep_generation_) sweep_needed_ = true;  // no longer in use
  const Micros wait = exponential_backoff(kQueryBackoff, entry.failures++, kMaxQueryBackoff);
  set_due(key, entry, now + static_cast<Micros>(static_cast<double>(wait) * (0.5 + 0.5 * random_fraction())));
  if (watched_names_.count(key.name) != 0 && key.type == Type::srv)
    unreported_failures_.emplace_back(key.name, why);
  next_notify_at_ = now + kNotifyDelay;
  schedule_notification(key, entry.failures == 1);
}

// ---- notifications

const Resolver::Entry* Resolver::follow_aliases(std::string name, Type type) const {
  for (unsigned i = 0; i <= settings_.cname_chain; ++i) {
    const auto it = cache_.find({name, type});
    if (it == cache_.end()) return nullptr;
    if (it->second.state != Entry::State::alias) return &it->second;
    name = it->second.alias;
  }
  return nullptr;
}

void Resolver::resolve_target(Micros now, Target& target, bool& complete) const {
  for (const Type type : {Type::a, Type::aaaa}) {
    const Entry* entry = follow_aliases(target.host, type);
    if (entry == nullptr) {
      // Not queried yet, or the cache is full.
      if (cache_.size() < settings_.cache_entries) complete = false;
      break;
    }
    if (!entry->known() || now >= entry->stale_until) {
      if (!entry->known() && entry->failures == 0) complete = false;
      break;
    }
    if (entry->state != Entry::State::positive) {
      if (type == Type::aaaa) return;  // known to have no address, which is an answer
      continue;
    }
    for (const Record& r : entry->records) target.addresses.push_back(r.value);
    target.expires = entry->expires;
    target.stale = now >= entry->expires;
    return;
  }
  target.unresolved = true;  // no usable answer
}

SrvAnswer Resolver::answer(Micros now, const std::string& name) const {
  SrvAnswer out;
  const Entry* entry = follow_aliases(canonical(name), Type::srv);
  if (entry == nullptr || !entry->known() || now >= entry->stale_until) return out;
  out.complete = true;
  out.fetched = entry->fetched;
  out.expires = entry->expires;
  out.stale = now >= entry->expires && entry->failures > 0;
  if (entry->state == Entry::State::negative) {
    out.state = SrvAnswer::State::absent;
    out.why = entry->negative_reason;
    return out;
  }
  for (const Record& r : entry->records) {
    if (r.value == ".") continue;
    Target target;
    target.host = r.value;
    target.port = r.port;
    target.priority = r.priority;
    target.weight = r.weight;
    resolve_target(now, target, out.complete);
    out.targets.push_back(std::move(target));
  }
  out.state = out.targets.empty() ? SrvAnswer::State::absent : SrvAnswer::State::present;
  if (out.targets.empty()) out.why = "the service is not offered";  // RFC 2782: the only target is '.'
  return out;
}

// Schedules a notification for the watched name itself, or for all of them if another record changed.
void Resolver::schedule_notification(const Key& key, bool changed) {
  if (key.type == Type::srv && watched_names_.count(key.name) != 0) {
    watched_names_[key.name].notification_pending = true;
  } else if (changed) {
    for (auto& [name, watched] : watched_names_) watched.notification_pending = true;
  } else {
    return;
  }
  notify_at_ = std::min(notify_at_, next_notify_at_);
}

void Resolver::notify_listener(Micros now) {
  notify_at_ = kNever;
  for (auto& [name, watched] : watched_names_) {
    if (!std::exchange(watched.notification_pending, false)) continue;
    const SrvAnswer current = answer(now, name);
    if (current.state == SrvAnswer::State::none || !current.complete) continue;
    std::string contents = std::to_string(static_cast<int>(current.state)) +
                           (current.stale ? " stale " : " ") + std::to_string(current.fetched);
    for (const Target& target : current.targets) {
      contents += "\n" + target.host + " " + std::to_string(target.port) + " " +
                  std::to_string(target.priority) + " " + std::to_string(target.weight) +
                  (target.unresolved ? " ?" : "");
      for (const std::string& address : target.addresses) contents += " " + address;
    }
    const std::uint64_t fingerprint = config::hash_name(contents);
    if (watched.notified_fingerprint == fingerprint) continue;
    watched.notified_fingerprint = fingerprint;
    listener_.answered(name, current);
  }
  for (const auto& [name, why] : std::exchange(unreported_failures_, {})) listener_.failed(name, why);
}

}  // namespace flintglade::dns
