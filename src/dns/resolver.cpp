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

constexpr std::uint16_t kUdpSize = 1232;    // what crosses any link whole (DNS flag day 2020)
constexpr unsigned kMostForged = 8;         // datagrams that are no answer, before the question goes over TCP
constexpr Micros kTellEvery = 20 * kMilli;  // many addresses that come together make one answer
constexpr Micros kServerBackOff = 250 * kMilli, kMostServerBackOff = 15 * kSecond;
constexpr Micros kFailedBackOff = 500 * kMilli, kMostFailedBackOff = 5 * kSecond;

Micros doubled(Micros first, unsigned times, Micros most) {
  return std::min(most, first << std::min(times, 10u));
}

}  // namespace

Resolver::Resolver(ResolverSettings settings, Random random, Transport& transport, ResolverListener& listener)
    : random_(std::move(random)), transport_(transport), listener_(listener) {
  configure(0, std::move(settings), {});
}

void Resolver::configure(Micros now, ResolverSettings settings, std::vector<std::string> names) {
  std::vector<Asked> servers;
  for (const HostPort& at : settings.servers) {
    Asked fresh{at, 0, 0, false};
    for (const Asked& old : servers_) {
      if (old.at.host == at.host && old.at.port == at.port) fresh = old;
    }
    servers.push_back(std::move(fresh));
  }
  // Questions under way point at the old servers by position: they are asked anew.
  for (auto& [id, query] : out_) {
    transport_.close(id);
    set_due(query.key, cache_[query.key], now);
  }
  out_.clear();
  deadlines_.clear();
  servers_ = std::move(servers);
  settings_ = std::move(settings);
  std::map<std::string, Watched> kept;
  for (const std::string& name : names) {
    const std::string key = canonical(name);
    if (key.empty()) continue;
    const auto old = names_.find(key);
    kept[key] = old == names_.end() ? Watched{} : std::move(old->second);
  }
  names_ = std::move(kept);
  reach_ = true;
}

void Resolver::refresh(Micros now, const std::string& name) {
  const auto it = cache_.find({canonical(name), Type::srv});
  if (it != cache_.end() && it->second.due != kNever && it->second.due > now)
    set_due(it->first, it->second, now);
}

// RFC 2181, 8: a lifetime with the top bit set counts as 0. Below the least it would be asked for without
// end.
Micros Resolver::lifetime(std::uint32_t ttl, Micros most) const {
  const Micros span = ttl > 0x7fffffffu ? 0 : static_cast<Micros>(ttl) * kSecond;
  return std::clamp(span, std::min(settings_.least_ttl, most), most);
}

void Resolver::set_due(const Key& key, Entry& entry, Micros due) {
  auto& queue = due_of(key);
  if (entry.due != kNever) queue.erase({entry.due, key});
  entry.due = due;
  if (due != kNever) queue.emplace(due, key);
}

bool Resolver::all_bad(Micros now) const {
  return std::all_of(servers_.begin(), servers_.end(), [now](const Asked& s) { return s.bad_until > now; });
}

// ---- what is wanted
// -------------------------------------------------------------------------------------------

// Marks what the watched names lead to; what nothing leads to any more is dropped, so that the cache holds no
// more than the answers do.
void Resolver::reach(Micros now) {
  reach_ = false;
  ++mark_;
  for (const auto& [name, watched] : names_) want(now, {name, Type::srv}, 0);
  for (auto it = cache_.begin(); it != cache_.end();) {
    const bool wanted = it->second.mark == mark_;
    if (!wanted && it->second.due != kNever) due_of(it->first).erase({it->second.due, it->first});
    // An entry with a question out is dropped once that has ended.
    it = !wanted && it->second.due != kNever ? cache_.erase(it) : std::next(it);
  }
}

void Resolver::want(Micros now, const Key& key, unsigned depth) {
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
  if (entry.mark == mark_) return;
  entry.mark = mark_;
  if (entry.state == Entry::State::alias) return want(now, {entry.alias, key.type}, depth + 1);
  if (key.type != Type::srv || entry.state != Entry::State::positive) return;
  for (const Record& r : entry.records) {
    if (r.value == ".") continue;
    want(now, {r.value, Type::a}, 0);
    // Both at once would make two replicas of one, and twice the questions.
    const Entry* v4 = follow(r.value, Type::a);
    if (v4 != nullptr && v4->state == Entry::State::negative) want(now, {r.value, Type::aaaa}, 0);
  }
}

// ---- asking
// ---------------------------------------------------------------------------------------------------

void Resolver::wake(Micros now) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    ++counters_.timeouts;
    const QueryId id = deadlines_.begin()->second;
    try_next(now, id, "no answer in time", true);
  }
  if (reach_) reach(now);
  // Names before addresses: they tell who drains or is gone. While every server fails, names alone are asked
  // for, and their answers show when it is over.
  for (auto* queue : {&due_names_, &due_addresses_}) {
    while (out_.size() < settings_.outstanding && !queue->empty() && queue->begin()->first <= now) {
      if (servers_.empty() || (queue == &due_addresses_ && all_bad(now))) break;
      start(now, Key(queue->begin()->second));
    }
  }
  if (now >= tell_at_) tell(now);
}

Micros Resolver::next_timer() const {
  Micros at = tell_at_;
  if (reach_) at = 0;
  if (!deadlines_.empty()) at = std::min(at, deadlines_.begin()->first);
  if (out_.size() < settings_.outstanding && !servers_.empty()) {
    if (!due_names_.empty()) at = std::min(at, due_names_.begin()->first);
    if (!due_addresses_.empty()) {
      Micros open = kNever;
      for (const Asked& s : servers_) open = std::min(open, s.bad_until);
      at = std::min(at, std::max(open, due_addresses_.begin()->first));
    }
  }
  return at;
}

void Resolver::start(Micros now, const Key& key) {
  set_due(key, cache_[key], kNever);
  Query query;
  query.key = key;
  ask(now, std::move(query));
}

// In turn, but servers that failed of late come last, and one that has failed this question after all others.
void Resolver::ask(Micros now, Query query) {
  std::size_t best = 0;
  std::tuple<bool, Micros> least{true, kNever};
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const std::size_t s = (turn_ + i) % servers_.size();
    const bool tried = std::find(query.tried.begin(), query.tried.end(), s) != query.tried.end();
    const std::tuple<bool, Micros> rank{tried, servers_[s].bad_until > now ? servers_[s].bad_until : 0};
    if (rank < least) {
      least = rank;
      best = s;
    }
  }
  if (!query.tcp) {
    query.server = best;
    turn_ = (best + 1) % servers_.size();
    query.tried.push_back(best);
  }
  const Asked& server = servers_[query.server];
  query.edns = !server.no_edns;
  query.id = static_cast<std::uint16_t>(random_());
  query.forged = 0;
  query.buffer.clear();
  query.deadline = now + (query.tcp ? 2 : 1) * settings_.timeout;
  const QueryId id = ++last_id_;
  std::string message = encode_query(query.id, query.key.name, query.key.type, query.edns ? kUdpSize : 0);
  deadlines_.emplace(query.deadline, id);
  ++counters_.queries;
  const bool tcp = query.tcp;
  out_[id] = std::move(query);
  if (tcp) {
    ++counters_.tcp;
    message.insert(0, {static_cast<char>(message.size() >> 8), static_cast<char>(message.size() & 0xff)});
    transport_.open(id, server.at, std::move(message));
  } else {
    transport_.send(id, server.at, std::move(message));
  }
}

// ---- answers
// --------------------------------------------------------------------------------------------------

// RFC 5452, 9: what does not come from the server that was asked, with the id and the question that were
// sent, is not looked at, and the wait for the true answer goes on.
void Resolver::datagram(Micros now, QueryId id, const HostPort& from, std::string_view bytes) {
  const auto it = out_.find(id);
  if (it == out_.end() || it->second.tcp) return;
  Query& query = it->second;
  const HostPort& at = servers_[query.server].at;
  const auto drop = [&](std::uint64_t& reason) {
    ++reason;
    // Somebody may be guessing. Over TCP he would have to be on the path.
    if (++query.forged < kMostForged) return;
    Query again = std::move(query);
    deadlines_.erase({again.deadline, id});
    out_.erase(it);
    transport_.close(id);
    again.tcp = true;
    ask(now, std::move(again));
  };
  if (from.host != at.host || from.port != at.port) return drop(counters_.wrong_source);
  auto message = decode(bytes, settings_.records);
  if (!message) return drop(counters_.malformed);
  if (!message->answer) return drop(counters_.no_answer);
  if (message->id != query.id) return drop(counters_.wrong_id);
  if (message->question != query.key.name || message->asked != static_cast<std::uint16_t>(query.key.type))
    return drop(counters_.wrong_question);
  take(now, id, query, std::move(*message));
}

void Resolver::stream(Micros now, QueryId id, std::string_view bytes) {
  const auto it = out_.find(id);
  if (it == out_.end() || !it->second.tcp) return;
  Query& query = it->second;
  query.buffer.append(bytes.substr(
      0, settings_.message_bytes + 2 - std::min(query.buffer.size(), settings_.message_bytes + 2)));
  if (query.buffer.size() < 2) return;
  const std::size_t size = static_cast<std::size_t>(static_cast<unsigned char>(query.buffer[0])) << 8 |
                           static_cast<unsigned char>(query.buffer[1]);
  if (size > settings_.message_bytes)
    return try_next(now, id, "an answer of " + std::to_string(size) + " bytes", false);
  if (query.buffer.size() < size + 2) return;
  auto message = decode(std::string_view(query.buffer).substr(2, size), settings_.records);
  if (!message) ++counters_.malformed;
  if (message && message->id != query.id) ++counters_.wrong_id;
  const bool fits = message && message->answer && !message->truncated && message->id == query.id &&
                    message->question == query.key.name &&
                    message->asked == static_cast<std::uint16_t>(query.key.type);
  if (!fits) return try_next(now, id, "an answer over TCP that is none", true);
  take(now, id, query, std::move(*message));
}

void Resolver::broken(Micros now, QueryId id, const std::string& why) {
  if (out_.count(id) != 0) try_next(now, id, why, true);
}

void Resolver::take(Micros now, QueryId id, Query& query, Message message) {
  Asked& server = servers_[query.server];
  if (message.truncated) {  // RFC 7766, 5
    ++counters_.truncated;
    Query again = std::move(query);
    deadlines_.erase({again.deadline, id});
    out_.erase(id);
    transport_.close(id);
    again.tcp = true;
    return ask(now, std::move(again));
  }
  const auto rcode = static_cast<Rcode>(message.rcode);
  if (query.edns && !message.edns && (rcode == Rcode::formerr || rcode == Rcode::notimp)) {
    // RFC 6891, 7: it does not know EDNS. It is asked again without, which is no failure of its.
    server.no_edns = true;
    query.tried.pop_back();
    return try_next(now, id, "no EDNS", false);
  }
  if (rcode != Rcode::ok && rcode != Rcode::nxdomain)
    return try_next(now, id, "rcode " + std::to_string(message.rcode), true);
  const auto has = [&](Type type) {
    return std::any_of(message.authority.begin(), message.authority.end(),
                       [type](const Record& r) { return r.type == type; });
  };
  if (rcode == Rcode::ok && message.answers.empty() && has(Type::ns) && !has(Type::soa))
    return try_next(now, id, "a referral", true);  // it neither has the name nor looks it up
  server.failures = 0;
  server.bad_until = 0;
  ++counters_.answers;
  const Query done = std::move(query);
  deadlines_.erase({done.deadline, id});
  out_.erase(id);
  transport_.close(id);
  store(now, done, message);
}

void Resolver::store(Micros now, const Query& query, const Message& message) {
  // Along the CNAMEs that start at the question; whatever else the answer section holds was not asked for.
  std::string at = query.key.name;
  Micros ttl = settings_.most_ttl;
  unsigned steps = 0;
  for (bool moved = true; moved;) {
    moved = false;
    for (const Record& r : message.answers) {
      if (r.type != Type::cname || r.owner != at || r.value == at) continue;
      if (++steps > settings_.cname_chain) {
        ++counters_.chains_refused;
        return give_up(now, query.key, "a CNAME chain without end");
      }
      ttl = std::min(ttl, lifetime(r.ttl, settings_.most_ttl));
      at = r.value;
      moved = true;
      break;
    }
  }
  std::vector<Record> found;
  for (const Record& r : message.answers) {
    if (r.type != query.key.type || r.owner != at) continue;
    ttl = std::min(ttl, lifetime(r.ttl, settings_.most_ttl));
    found.push_back(r);
  }
  // Order and doubles say nothing: two answers with the same records are the same.
  std::sort(found.begin(), found.end(), [](const Record& a, const Record& b) {
    return std::tie(a.priority, a.value, a.port, a.weight) < std::tie(b.priority, b.value, b.port, b.weight);
  });
  found.erase(std::unique(found.begin(), found.end(),
                          [](const Record& a, const Record& b) {
                            return a.value == b.value && a.port == b.port && a.priority == b.priority;
                          }),
              found.end());
  if (!found.empty()) {
    keep(now, query.key, Entry::State::positive, std::move(found), ttl);
    if (query.key.type != Type::srv) return;
    // Glue counts only below the domain whose SRV names were asked for: nobody there can speak for another.
    const std::string& name = query.key.name;
    const std::string domain = name.substr(name.find('.', name.find('.') + 1) + 1);
    std::map<Key, std::vector<Record>> glue;
    const std::vector<Record>& targets = cache_[query.key].records;
    for (const Record& r : message.additional) {
      if (r.type != Type::a && r.type != Type::aaaa) continue;
      const bool asked =
          std::any_of(targets.begin(), targets.end(), [&r](const Record& t) { return t.value == r.owner; });
      if (asked && within(r.owner, domain)) {
        glue[{r.owner, r.type}].push_back(r);
      } else {
        ++counters_.glue_refused;
      }
    }
    for (auto& [key, records] : glue) {
      if (cache_.count(key) == 0 && cache_.size() >= settings_.cache_entries) continue;
      const auto [at, fresh] = cache_.try_emplace(key);
      if (!fresh && at->second.due == kNever) continue;  // its own question is out, and knows better
      Micros span = settings_.most_ttl;
      for (const Record& r : records) span = std::min(span, lifetime(r.ttl, settings_.most_ttl));
      std::sort(records.begin(), records.end(),
                [](const Record& a, const Record& b) { return a.value < b.value; });
      keep(now, key, Entry::State::positive, std::move(records), span);
    }
    return;
  }
  if (at != query.key.name && static_cast<Rcode>(message.rcode) == Rcode::ok) {
    keep(now, query.key, Entry::State::alias, {}, ttl);
    cache_[query.key].alias = at;
    return;
  }
  // RFC 2308, 5: as long as the SOA says, and no longer than the operator's bound.
  Micros span = std::min(settings_.negative_ttl, 5 * kSecond);
  for (const Record& r : message.authority) {
    if (r.type == Type::soa) span = lifetime(std::min(r.ttl, r.minimum), settings_.negative_ttl);
  }
  keep(now, query.key, Entry::State::negative, {}, span);
  cache_[query.key].why = static_cast<Rcode>(message.rcode) == Rcode::nxdomain
                              ? "there is no such name"
                              : "the name has no such record";
}

void Resolver::keep(Micros now, const Key& key, Entry::State state, std::vector<Record> records, Micros ttl) {
  Entry& entry = cache_[key];
  const bool changed =
      entry.state != state || entry.records.size() != records.size() ||
      !std::equal(
          records.begin(), records.end(), entry.records.begin(), [](const Record& a, const Record& b) {
            return a.value == b.value && a.port == b.port && a.weight == b.weight && a.priority == b.priority;
          });
  if (changed || entry.mark != mark_) reach_ = true;
  entry.state = state;
  entry.records = std::move(records);
  entry.fetched = now;
  entry.expires = now + ttl;
  entry.stale_until = entry.expires + settings_.stale;
  entry.failures = 0;
  // A little before its end, and not all at one moment.
  set_due(key, entry, now + static_cast<Micros>(static_cast<double>(ttl) * (0.8 + 0.1 * unit())));
  tell_from_ = now + kTellEvery;
  stir(key, changed);
}

void Resolver::try_next(Micros now, QueryId id, const std::string& why, bool blame) {
  const auto it = out_.find(id);
  Query query = std::move(it->second);
  deadlines_.erase({query.deadline, id});
  out_.erase(it);
  transport_.close(id);
  if (blame) {
    Asked& server = servers_[query.server];
    const Micros wait = doubled(kServerBackOff, server.failures++, kMostServerBackOff);
    server.bad_until = now + static_cast<Micros>(static_cast<double>(wait) * (0.5 + 0.5 * unit()));
  }
  if (query.tried.size() >= settings_.tries) return give_up(now, query.key, why);
  query.tcp = false;
  ask(now, std::move(query));
}

void Resolver::give_up(Micros now, const Key& key, const std::string& why) {
  ++counters_.failures;
  Entry& entry = cache_[key];
  if (entry.mark != mark_) reach_ = true;  // nobody wants it any more
  const Micros wait = doubled(kFailedBackOff, entry.failures++, kMostFailedBackOff);
  set_due(key, entry, now + static_cast<Micros>(static_cast<double>(wait) * (0.5 + 0.5 * unit())));
  if (names_.count(key.name) != 0 && key.type == Type::srv) failed_.emplace_back(key.name, why);
  tell_from_ = now + kTellEvery;
  stir(key, entry.failures == 1);
}

// ---- telling
// --------------------------------------------------------------------------------------------------

const Resolver::Entry* Resolver::follow(std::string name, Type type) const {
  for (unsigned i = 0; i <= settings_.cname_chain; ++i) {
    const auto it = cache_.find({name, type});
    if (it == cache_.end()) return nullptr;
    if (it->second.state != Entry::State::alias) return &it->second;
    name = it->second.alias;
  }
  return nullptr;
}

void Resolver::fill(Micros now, Target& target, bool& complete) const {
  for (const Type type : {Type::a, Type::aaaa}) {
    const Entry* e = follow(target.host, type);
    if (e == nullptr) {
      // Not asked for yet, or no room for it.
      if (cache_.size() < settings_.cache_entries) complete = false;
      break;
    }
    if (!e->told() || now >= e->stale_until) {
      if (!e->told() && e->failures == 0) complete = false;
      break;
    }
    if (e->state != Entry::State::positive) {
      if (type == Type::aaaa) return;  // a name that is known to have no address is an answer
      continue;
    }
    for (const Record& r : e->records) target.addresses.push_back(r.value);
    target.expires = e->expires;
    target.stale = now >= e->expires;
    return;
  }
  target.unresolved = true;  // one that nobody would tell is not
}

SrvAnswer Resolver::answer(Micros now, const std::string& name) const {
  SrvAnswer out;
  const Entry* entry = follow(canonical(name), Type::srv);
  if (entry == nullptr || !entry->told() || now >= entry->stale_until) return out;
  out.complete = true;
  out.fetched = entry->fetched;
  out.expires = entry->expires;
  out.stale = now >= entry->expires && entry->failures > 0;
  if (entry->state == Entry::State::negative) {
    out.state = SrvAnswer::State::absent;
    out.why = entry->why;
    return out;
  }
  for (const Record& r : entry->records) {
    if (r.value == ".") continue;
    Target target;
    target.host = r.value;
    target.port = r.port;
    target.priority = r.priority;
    target.weight = r.weight;
    fill(now, target, out.complete);
    out.targets.push_back(std::move(target));
  }
  out.state = out.targets.empty() ? SrvAnswer::State::absent : SrvAnswer::State::present;
  if (out.targets.empty()) out.why = "the service is not offered";  // RFC 2782: a target of '.'
  return out;
}

// What may have to be told: the name itself, or all of them for an address that changed.
void Resolver::stir(const Key& key, bool changed) {
  if (key.type == Type::srv && names_.count(key.name) != 0) {
    names_[key.name].stirred = true;
  } else if (changed) {
    for (auto& [name, watched] : names_) watched.stirred = true;
  } else {
    return;
  }
  tell_at_ = std::min(tell_at_, tell_from_);
}

void Resolver::tell(Micros now) {
  tell_at_ = kNever;
  for (auto& [name, watched] : names_) {
    if (!std::exchange(watched.stirred, false)) continue;
    const SrvAnswer told = answer(now, name);
    if (told.state == SrvAnswer::State::none || !told.complete) continue;
    std::string all = std::to_string(static_cast<int>(told.state)) + (told.stale ? " stale " : " ") +
                      std::to_string(told.fetched);
    for (const Target& t : told.targets) {
      all += "\n" + t.host + " " + std::to_string(t.port) + " " + std::to_string(t.priority) + " " +
             std::to_string(t.weight) + (t.unresolved ? " ?" : "");
      for (const std::string& a : t.addresses) all += " " + a;
    }
    const std::uint64_t print = config::hash_name(all);
    if (watched.told == print) continue;
    watched.told = print;
    listener_.answered(name, told);
  }
  for (const auto& [name, why] : std::exchange(failed_, {})) listener_.failed(name, why);
}

}  // namespace flintglade::dns
