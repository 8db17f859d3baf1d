#include "endpoint_sources/endpoint_merger.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "config/labels.h"

namespace flintglade::endpoint_sources {

using core::kNever;
using core::kSecond;

namespace {

constexpr Micros kGoneMemory = 600 * kSecond;  // how long a source's last word on an address is kept
constexpr Micros kLeave = 10 * kSecond;        // a removed source is dropped by then at the latest
constexpr double kSmallSize = 0.02, kMostSize = 50.0;
constexpr double kSteps = 8.0;  // shares of priority groups move in steps, so that sizes seldom change

}  // namespace

const char* to_string(Clause clause) {
  switch (clause) {
    case Clause::named:
      return "named";
    case Clause::draining:
      return "draining";
    case Clause::gone:
      return "gone";
    case Clause::returning:
      return "returning";
    case Clause::doubted:
      return "doubted";
    case Clause::held:
      return "held";
    case Clause::known:
      return "known";
    case Clause::standby:
      return "standby";
  }
  return "?";
}

core::ReplicaId replica_id(const std::string& address) { return config::hash_name(address); }

EndpointMerger::EndpointMerger(Settings settings, std::vector<SourceSpec> sources) {
  configure(0, settings, std::move(sources));
}

void EndpointMerger::configure(Micros now, Settings settings, std::vector<SourceSpec> specs) {
  settings_ = settings;
  std::vector<Source> fresh;
  for (SourceSpec& spec : specs) {
    Source source;
    if (Source* old = find(spec.name); old != nullptr && old->spec.list == spec.list) {
      const bool same = old->spec.dns_name == spec.dns_name;
      source = std::move(*old);
      old->spec.name.clear();
      source.leaving = false;
      // Another name is another source. What the old one said is held until the new one has answered.
      if (!same) {
        source.answered = source.failing = false;
        source.only_known = true;
        source.doubt_since = kNever;
        source.error.clear();
      }
    }
    source.spec = std::move(spec);
    fresh.push_back(std::move(source));
  }
  for (Source& old : sources_) {
    if (old.spec.name.empty()) continue;
    if (!old.leaving) old.leave_by = now + kLeave;
    old.leaving = true;
    fresh.push_back(std::move(old));
  }
  sources_ = std::move(fresh);
  settle(now);
}

EndpointMerger::Source* EndpointMerger::find(const std::string& name) {
  const auto it = std::find_if(sources_.begin(), sources_.end(),
                               [&](const Source& s) { return s.spec.name == name && !name.empty(); });
  return it == sources_.end() ? nullptr : &*it;
}

// ---- what sources say
// -----------------------------------------------------------------------------------------

void EndpointMerger::good(Micros now, Source& source) {
  source.answered = true;
  source.failing = false;
  source.only_known = false;
  source.last_answer = source.last_try = now;
  source.error.clear();
  ++source.answers;
}

void EndpointMerger::failed(Micros now, const std::string& name, const std::string& why) {
  Source* source = find(name);
  if (source == nullptr) return;
  source->failing = true;
  source->last_try = now;
  source->error = why;
  ++source->failures;
  settle(now);
}

// One word on one address. held_back: what this source had called gone comes back only after a while.
void EndpointMerger::say(Micros now, Source& source, const std::string& address, Word word, bool held_back) {
  const auto it = source.words.find(address);
  word.since = now;
  if (it == source.words.end()) {
    word.new_since = source.answered;
  } else {
    const Word& old = it->second;
    const bool was_out = old.standing == Standing::gone;
    const bool was_bad = old.standing != Standing::ready;
    if (old.standing == word.standing) {
      word.since = old.since;
      word.back_at = old.back_at;
    } else if (word.standing == Standing::ready && was_bad && held_back) {
      word.back_at = now + settings_.back_after;
    }
    word.new_since = was_out ? source.answered && !old.all_at_once : old.new_since;
  }
  source.words[address] = std::move(word);
}

void EndpointMerger::drop(Micros now, Source& source, const std::string& address) {
  Word& word = source.words[address];
  if (word.standing != Standing::gone) word.since = now;
  word.standing = Standing::gone;
  word.back_at = 0;
  word.doubted = false;
}

void EndpointMerger::known(Micros now, const core::EndpointListUpdate& news) {
  for (Source& source : sources_) {
    if (!source.spec.list) continue;
    take_list(now, source, news, true);
    source.only_known = true;
  }
  settle(now);
}

void EndpointMerger::list(Micros now, const core::EndpointListUpdate& news) {
  for (Source& source : sources_) {
    if (!source.spec.list || source.leaving) continue;
    take_list(now, source, news, !source.answered);
    good(now, source);
  }
  settle(now);
}

void EndpointMerger::take_list(Micros now, Source& source, const core::EndpointListUpdate& news, bool first) {
  const bool whole = news.kind != policy::ListKind::delta;
  // A list that was set back (its service restored, another instance asked) may not bring back what it has
  // already called gone; only time can tell which of the two was right.
  const bool older = !first && news.version < source.version;
  source.version = whole ? news.version : std::max(source.version, news.version);
  if (whole) source.listed.clear();
  for (const core::Endpoint& entry : news.entries) {
    if (entry.replica.health == Health::gone) {
      source.listed.erase(entry.replica.id);
    } else {
      source.listed[entry.replica.id] = entry;  // under its new address, if that moved
    }
  }
  // An address belongs to whom the list has there: one that is ready, the youngest, goes first.
  std::map<std::string, const core::Endpoint*> occupants;
  for (const auto& [id, entry] : source.listed) {
    const core::Endpoint*& at = occupants[entry.address];
    const auto rank = [](const core::Endpoint& e) {
      return std::tuple(e.replica.health == Health::ready, e.replica.started_at, e.replica.id);
    };
    if (at == nullptr || rank(*at) < rank(entry)) at = &entry;
  }
  for (auto& [address, word] : source.words) {
    if (occupants.count(address) == 0) drop(now, source, address);
  }
  for (const auto& [address, entry] : occupants) {
    Word word;
    word.standing = entry->replica.health == Health::ready ? Standing::ready : Standing::draining;
    word.entry = *entry;
    word.size = entry->replica.size;
    say(now, source, address, std::move(word), older);
  }
}

void EndpointMerger::dns(Micros now, const std::string& name, const DnsFacts& facts) {
  Source* found = find(name);
  if (found == nullptr || found->leaving) return;
  Source& source = *found;
  // An answer that says what the last one did changes nothing; most do.
  if (current(source) && source.doubt_since == kNever && facts.fingerprint != 0 &&
      facts.fingerprint == source.fingerprint)
    return good(now, source);
  source.fingerprint = facts.fingerprint;
  std::map<std::string, Word> named;
  // Weights are shares within one priority (RFC 2782); the mean of them is a replica of size 1.
  std::map<std::uint16_t, std::pair<double, int>> weights;
  for (const Named& n : facts.named) {
    auto& [sum, count] = weights[n.priority];
    sum += n.weight;
    count += n.weight > 0;
  }
  for (const Named& n : facts.named) {
    const auto& [sum, count] = weights[n.priority];
    Word word;
    word.host = n.host;
    word.priority = n.priority;
    if (count > 0)
      word.size = n.weight == 0 ? kSmallSize : std::clamp(n.weight * count / sum, kSmallSize, kMostSize);
    if (n.weight == 0 && count > 0 && source.spec.zero_drains) word.standing = Standing::draining;
    // Two targets may lead to one address: it is one replica, of the better priority.
    const auto [it, first] = named.try_emplace(n.address, word);
    if (!first && word.priority < it->second.priority) it->second = std::move(word);
  }
  std::vector<std::string> left_out;
  std::size_t before = 0;
  for (const auto& [address, word] : source.words) {
    if (word.standing == Standing::gone) continue;
    ++before;
    if (named.count(address) != 0) continue;
    const bool unresolved =
        std::find(facts.unresolved.begin(), facts.unresolved.end(), word.host) != facts.unresolved.end();
    if (!unresolved) left_out.push_back(address);
  }
  // The guard counts from the most that the source has named of late, so that many small steps are one large
  // one.
  if (now - source.peak_at > settings_.guard) source.peak = 0;
  if (before >= source.peak) {
    source.peak = before;
    source.peak_at = now;
  }
  const std::size_t stay = before - left_out.size();
  const bool too_many =
      source.answered && !left_out.empty() &&
      static_cast<double>(stay) < (1.0 - settings_.guard_part) * static_cast<double>(source.peak);
  bool doubt = too_many;
  if (!too_many) {
    source.doubt_since = kNever;
  } else if (source.doubt_since == kNever) {
    source.doubt_since = now;
    source.asked_again = false;
    ++source.doubts;
  } else if (now >= source.doubt_since + settings_.guard && source.asked_again) {
    doubt = false;  // it has stood, and was asked for again meanwhile
    source.doubt_since = kNever;
    source.peak = 0;
  }
  if (doubt) alarm(source.doubt_since + settings_.guard);
  for (const std::string& address : left_out) {
    if (doubt) {
      source.words[address].doubted = true;
    } else {
      drop(now, source, address);
      source.words[address].all_at_once = too_many;
    }
  }
  for (auto& [address, word] : named) say(now, source, address, std::move(word), true);
  good(now, source);
  settle(now);
}

std::vector<std::string> EndpointMerger::to_confirm(Micros now) {
  std::vector<std::string> out;
  for (Source& s : sources_) {
    if (s.doubt_since == kNever || s.spec.list || s.leaving) continue;
    // Half-way through, and from the end on until an answer comes.
    if (now >= s.doubt_since + settings_.guard ||
        (!s.asked_again && now >= s.doubt_since + settings_.guard / 2)) {
      s.asked_again = true;
      out.push_back(s.spec.dns_name);
    }
  }
  return out;
}

// ---- verdicts
// -------------------------------------------------------------------------------------------------

// A source that has failed for very long has no say beside one that answers; alone it is better than nothing.
bool EndpointMerger::lapsed(const Source& source, Micros now) const {
  if (!source.failing || source.last_answer < 0 || now - source.last_answer < settings_.source_stale)
    return false;
  return std::any_of(sources_.begin(), sources_.end(), [this](const Source& s) { return current(s); });
}

void EndpointMerger::wake(Micros now) {
  if (now >= alarm_) settle(now);
}
Micros EndpointMerger::next_timer() const { return alarm_; }

void EndpointMerger::settle(Micros now) {
  alarm_ = kNever;
  ++generation_;
  // A removed source goes once each that stays has answered or failed.
  const bool all_heard = std::all_of(sources_.begin(), sources_.end(),
                                     [](const Source& s) { return s.leaving || s.answered || s.failing; });
  std::erase_if(sources_, [&](const Source& s) { return s.leaving && (all_heard || now >= s.leave_by); });

  struct Sum {
    const Word* best = nullptr;  // the word that speaks for it with the most weight
    const Source* best_source = nullptr;
    int rank = 100;
    Clause clause = Clause::held;
    const Word* listed = nullptr;
    std::uint16_t priority = UINT16_MAX;
    bool prioritised = false;
  };
  std::map<std::string, Sum> sums;
  for (Source& source : sources_) {
    if (source.leaving) alarm(source.leave_by);
    if (source.doubt_since != kNever) {
      alarm(std::max(now + kSecond, source.asked_again ? source.doubt_since + settings_.guard
                                                       : source.doubt_since + settings_.guard / 2));
    }
    if (lapsed(source, now)) continue;
    if (source.failing && source.last_answer >= 0)
      alarm(std::max(now + kSecond, source.last_answer + settings_.source_stale));
    for (auto it = source.words.begin(); it != source.words.end();) {
      const Word& word = it->second;
      if (word.standing == Standing::gone && now - word.since >= kGoneMemory) {
        const bool named_elsewhere = std::any_of(sources_.begin(), sources_.end(), [&](const Source& o) {
          const auto w = o.words.find(it->first);
          return &o != &source && w != o.words.end() && w->second.standing != Standing::gone;
        });
        if (!named_elsewhere) {
          it = source.words.erase(it);
          continue;
        }
      }
      // The worst word wins; among good ones, the one with the best ground. Clause 2 and the numbers there.
      std::pair<int, Clause> rank{5, Clause::held};
      if (word.standing == Standing::gone) {
        rank = {0, Clause::gone};
        alarm(std::max(now + kSecond, word.since + kGoneMemory));
      } else if (word.back_at > now) {
        rank = {1, Clause::returning};
        alarm(word.back_at);
      } else if (word.standing == Standing::draining) {
        rank = {2, Clause::draining};
      } else if (word.doubted) {
        rank = {4, Clause::doubted};
      } else if (source.only_known) {
        rank = {6, Clause::known};
      } else if (!source.failing && !source.leaving) {
        rank = {3, Clause::named};
      }
      Sum& sum = sums[it->first];
      if (rank.first < sum.rank) {
        sum.rank = rank.first;
        sum.clause = rank.second;
        sum.best = &word;
        sum.best_source = &source;
      }
      if (source.spec.list && word.standing != Standing::gone) sum.listed = &word;
      if (!source.spec.list) {
        sum.priority = std::min(sum.prioritised ? sum.priority : word.priority, word.priority);
        sum.prioritised = true;
      }
      ++it;
    }
  }
  // The list knows no priorities: what it alone names belongs to the first group.
  std::uint16_t first_group = UINT16_MAX;
  for (const auto& [address, sum] : sums) first_group = std::min(first_group, sum.priority);
  std::map<std::string, Verdict> fresh;
  for (const auto& [address, sum] : sums) {
    Verdict& v = fresh[address];
    v.clause = sum.clause;
    v.source = sum.best_source->spec.name;
    v.priority = sum.prioritised ? sum.priority : first_group;
    if (sum.listed != nullptr) {
      // What the list knows of a machine goes before what DNS leaves to guess.
      v.endpoint = sum.listed->entry;
      v.endpoint.replica.size = sum.listed->size;
    } else {
      const SourceSpec& spec = sum.best_source->spec;
      v.endpoint.replica.zone = spec.zone;
      v.endpoint.replica.kind = spec.kind;
      v.endpoint.replica.cell = spec.cell;
      v.endpoint.replica.size = sum.best->size;
      // DNS tells no start. One that joins a set which is already known has most likely just started, and a
      // cold replica may not be pushed over.
      if (sum.best->new_since) v.endpoint.replica.started_at = static_cast<double>(sum.best->since) / 1e6;
      if (const auto old = verdicts_.find(address);
          old != verdicts_.end() && old->second.endpoint.replica.health == Health::ready && sum.rank >= 3)
        v.endpoint.replica.started_at =
            old->second.endpoint.replica.started_at;  // it runs: it has not started anew
    }
    v.endpoint.address = address;
    v.endpoint.replica.id = replica_id(address);
    v.endpoint.replica.health = sum.rank >= 3   ? Health::ready
                                : sum.rank == 2 ? Health::draining
                                                : Health::gone;
  }
  verdicts_ = std::move(fresh);
  spread(now);
}

// Groups of higher priority first. A group that lacks replicas keeps the part of the traffic that it can
// take; the rest goes on to the next. Lowered at once, raised after a wait and only well above the threshold.
void EndpointMerger::spread(Micros now) {
  struct Count {
    double known = 0.0, ready = 0.0, size = 0.0;
  };
  std::map<std::uint16_t, Count> counts;
  for (const auto& [address, v] : verdicts_) {
    Count& c = counts[v.priority];
    c.known += 1.0;  // with those that drain or went of late: they are what it lacks
    if (v.endpoint.replica.health != Health::ready) continue;
    c.ready += 1.0;
    c.size += v.endpoint.replica.size;
  }
  shares_.clear();
  double left = 1.0, taken_size = 0.0, taken_share = 0.0;
  std::map<std::uint16_t, double> factor;
  std::erase_if(groups_, [&](const auto& g) { return counts.count(g.first) == 0; });
  for (auto it = counts.begin(); it != counts.end(); ++it) {
    const Count& c = it->second;
    Group& group = groups_[it->first];
    const double part = c.known > 0.0 ? c.ready / c.known : 0.0;
    const double can = std::min(1.0, part / settings_.spill_below);
    double step = part >= settings_.spill_below ? 1.0 : std::floor(can * kSteps) / kSteps;
    if (c.ready > 0.0) step = std::max(step, 1.0 / kSteps);
    if (c.ready == 0.0) step = 0.0;
    if (step < group.kept) {
      group.kept = step;
      group.lowered = now;
    } else if (step > group.kept) {
      const bool well = step < 1.0 || part >= settings_.spill_end;
      if (group.kept == 0.0 || (well && now >= group.lowered + settings_.spill_hold)) {
        group.kept = step;
      } else if (well) {
        alarm(group.lowered + settings_.spill_hold);
      }
    }
    const bool others =
        std::any_of(std::next(it), counts.end(), [](const auto& o) { return o.second.ready > 0; });
    const double share = others ? left * group.kept : (c.ready > 0.0 ? left : 0.0);
    shares_[it->first] = share;
    // Sizes are scaled so that the group's part of all sizes is its share of the traffic.
    if (share > 0.0 && c.size > 0.0) {
      factor[it->first] = taken_share > 0.0 ? share / taken_share * taken_size / c.size : 1.0;
      taken_size += c.size * factor[it->first];
      taken_share += share;
    }
    left -= share;
    if (left < 1e-9) left = 0.0;
  }
  for (auto& [address, v] : verdicts_) {
    if (v.endpoint.replica.health != Health::ready) continue;
    const auto f = factor.find(v.priority);
    if (f == factor.end()) {
      v.endpoint.replica.health = Health::draining;
      v.clause = Clause::standby;
    } else {
      v.endpoint.replica.size *= f->second;
    }
  }
}

// ---- telling
// --------------------------------------------------------------------------------------------------

std::optional<core::EndpointListUpdate> EndpointMerger::changes() {
  core::EndpointListUpdate news;
  news.kind = policy::ListKind::delta;
  for (const auto& [address, v] : verdicts_) {
    const auto it = told_.find(address);
    const auto& r = v.endpoint.replica;
    if (it == told_.end() && r.health == Health::gone) continue;
    if (it != told_.end()) {
      const auto& o = it->second.replica;
      if (o.health == r.health && o.size == r.size && o.started_at == r.started_at && o.zone == r.zone &&
          o.kind == r.kind && o.cell == r.cell)
        continue;
    }
    news.entries.push_back(v.endpoint);
    told_[address] = v.endpoint;
  }
  for (auto it = told_.begin(); it != told_.end();) {
    if (verdicts_.count(it->first) != 0) {
      ++it;
      continue;
    }
    if (it->second.replica.health != Health::gone) {
      news.entries.push_back(it->second);
      news.entries.back().replica.health = Health::gone;
    }
    it = told_.erase(it);
  }
  if (news.entries.empty()) return std::nullopt;
  news.version = ++version_;
  return news;
}

core::EndpointListUpdate EndpointMerger::whole() const {
  core::EndpointListUpdate news;
  news.kind = policy::ListKind::full;
  news.version = version_;
  for (const auto& [address, v] : verdicts_) {
    if (v.endpoint.replica.health != Health::gone) news.entries.push_back(v.endpoint);
  }
  return news;
}

bool EndpointMerger::answered() const {
  return std::any_of(sources_.begin(), sources_.end(), [](const Source& s) { return s.answered; });
}
bool EndpointMerger::all_failed() const {
  return !answered() &&
         std::all_of(sources_.begin(), sources_.end(), [](const Source& s) { return s.failing; });
}

std::vector<Said> EndpointMerger::said(const std::string& address, Micros now) const {
  std::vector<Said> out;
  for (const Source& s : sources_) {
    const auto it = s.words.find(address);
    if (it == s.words.end()) continue;
    const Word& w = it->second;
    const char* what = w.standing == Standing::gone       ? "gone"
                       : w.standing == Standing::draining ? "draining"
                       : w.back_at > now                  ? "returning"
                       : w.doubted                        ? "left out (doubted)"
                                                          : "ready";
    out.push_back({s.spec.name, what});
  }
  return out;
}

std::vector<SourceStatus> EndpointMerger::status(Micros now) const {
  std::vector<SourceStatus> out;
  for (const Source& s : sources_) {
    SourceStatus st;
    st.name = s.spec.name;
    st.state = s.leaving        ? "leaving"
               : lapsed(s, now) ? "lapsed"
               : s.failing      ? "failing"
               : s.answered     ? "current"
                                : "waiting";
    st.age = s.last_answer < 0 ? -1 : now - s.last_answer;
    st.error = s.error;
    st.names = static_cast<std::size_t>(std::count_if(
        s.words.begin(), s.words.end(), [](const auto& w) { return w.second.standing != Standing::gone; }));
    st.answers = s.answers;
    st.failures = s.failures;
    st.doubts = s.doubts;
    out.push_back(std::move(st));
  }
  return out;
}

}  // namespace flintglade::endpoint_sources
