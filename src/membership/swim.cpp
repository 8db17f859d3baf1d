#include "membership/swim.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flintglade::membership {
namespace {

// What no honest router says: longer names, births a day ahead, incarnations that nobody can have reached.
constexpr std::size_t kLongestName = 64;
constexpr std::uint64_t kMostIncarnation = 1ull << 40;
constexpr std::uint64_t kLatestBirth = 4'102'444'800'000'000;  // the year 2100, in microseconds
constexpr int kWorstHealth = 8;
constexpr int kWitnesses = 3;  // further ones, that shorten a suspicion to its least
constexpr std::size_t kMostRelays = 64;
// Whole answers of a Sync: many may come back at once after a cut.
constexpr Micros kAnswerApart = 100 * core::kMilli;

int worse(MemberStatus s) { return static_cast<int>(s); }

// Whether a word says something newer than what is known.
bool newer(const coordination::MemberState& w, const Peer& than) {
  if (w.birth() != than.birth) return w.birth() > than.birth;
  // Who has left or is dead in this life comes back by a new incarnation or a new life only.
  if (w.incarnation() != than.incarnation) return w.incarnation() > than.incarnation;
  return worse(w.standing()) > worse(than.standing);
}

}  // namespace

coordination::MemberState word_of(const Peer& p) {
  coordination::MemberState w;
  w.set_name(p.name);
  w.set_site(p.site);
  w.set_at(p.at);
  w.set_birth(p.birth);
  w.set_incarnation(p.incarnation);
  w.set_standing(p.standing);
  w.set_version(p.version);
  return w;
}

Swim::Swim(Settings settings, Self self, std::uint64_t seed)
    : settings_(std::move(settings)), self_(std::move(self)), random_(seed) {}

Peer Swim::self() const {
  return {self_.name,  self_.site,   self_.at,
          self_.birth, incarnation_, left_ ? coordination::LEFT : coordination::ALIVE,
          0,           kVersion};
}

std::vector<Peer> Swim::living() const {
  std::vector<Peer> out;
  bool own = left_ || displaced_;
  for (const auto& [name, p] : peers_) {
    if (!own && self_.name < name) {
      out.push_back(self());
      own = true;
    }
    if (p.standing == coordination::ALIVE || p.standing == coordination::SUSPECT) out.push_back(p);
  }
  if (!own) out.push_back(self());
  return out;
}

double Swim::log_size() const {
  return std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(1, peers_.size() + 1))));
}

void Swim::start(Micros now) {
  last_tick_ = now;
  // Hundreds that start at once do not probe at once.
  next_probe_ = now + std::uniform_int_distribution<Micros>(0, settings_.period)(random_);
  next_sync_ = now;
  spread(word_of(self()));
  tick(now);
}

Micros Swim::next() const {
  if (left_ || displaced_) return core::kNever;
  Micros at = std::min(next_probe_, next_sync_);
  if (!probe_.name.empty()) at = std::min(at, probe_.asked ? probe_.ends : probe_.ask_at);
  for (const auto& [name, k] : suspected_) at = std::min(at, k.ends);
  for (const auto& [number, r] : relays_) at = std::min(at, r.nack_at);
  if (rival_.birth != 0) at = std::min(at, rival_.ends);
  return at;
}

void Swim::tick(Micros now) {
  if (left_ || displaced_) return;
  // A process that was stopped has heard nobody: that nobody answered says nothing about them.
  const Micros late = now - last_tick_;
  last_tick_ = now;
  if (late > 2 * slowed(settings_.period)) {
    ++counters_.late_ticks;
    probe_ = {};
    well(+1);
    for (auto& [name, k] : suspected_) k.ends += late;
    for (auto& [number, r] : relays_) r.nack_at += late;
    next_sync_ = now;
  }
  for (auto it = relays_.begin(); it != relays_.end();) {
    if (now < it->second.nack_at) {
      ++it;
      continue;
    }
    coordination::Packet p = packet("");
    p.mutable_nack()->set_number(it->second.number);
    send(it->second.to, std::move(p));
    it = relays_.erase(it);
  }
  if (!probe_.name.empty() && !probe_.asked && now >= probe_.ask_at) {
    probe_.asked = true;
    const auto it = peers_.find(probe_.name);
    std::vector<const Peer*> helpers;
    for (const auto& [name, p] : peers_) {
      if (name != probe_.name && p.standing == coordination::ALIVE) helpers.push_back(&p);
    }
    std::shuffle(helpers.begin(), helpers.end(), random_);
    if (helpers.size() > settings_.helpers) helpers.resize(settings_.helpers);
    for (const Peer* h : helpers) {
      if (it == peers_.end()) break;
      coordination::Packet p = packet(h->name);
      p.mutable_ping_for()->set_number(probe_.number);
      p.mutable_ping_for()->set_name(it->second.name);
      p.mutable_ping_for()->set_at(it->second.at);
      send(h->at, std::move(p));
    }
    probe_.helpers = helpers.size();
  }
  if (!probe_.name.empty() && now >= probe_.ends) end_probe(now, false);
  for (auto it = suspected_.begin(); it != suspected_.end();) {
    const auto p = peers_.find(it->first);
    if (now < it->second.ends) {
      ++it;
      continue;
    }
    it = suspected_.erase(it);
    if (p == peers_.end() || p->second.standing != coordination::SUSPECT) continue;
    p->second.standing = coordination::DEAD;
    p->second.since = now;
    changed_.insert(p->first);
    coordination::MemberState w = word_of(p->second);
    w.set_by(self_.name);
    spread(w);
  }
  if (rival_.birth != 0 && now >= rival_.ends) {
    self_.birth = std::max(self_.birth, rival_.birth + 1);
    incarnation_ = 1;
    rival_ = {};
    spread(word_of(self()));
  }
  if (now >= next_probe_) probe(now);
  if (now >= next_sync_) {
    next_sync_ = now + settings_.sync / 2 + std::uniform_int_distribution<Micros>(0, settings_.sync)(random_);
    // One that is there; and one that seems dead or a seed, else two halves of a fleet that each took the
    // other for dead would never meet again.
    std::vector<const Peer*> there, gone;
    for (auto it = peers_.begin(); it != peers_.end();) {
      Peer& p = it->second;
      const bool dead = p.standing == coordination::DEAD || p.standing == coordination::LEFT;
      if (dead && now - p.since > settings_.forget) {
        rumors_.erase(it->first);
        it = peers_.erase(it);
        continue;
      }
      if (!dead) there.push_back(&p);
      if (p.standing == coordination::DEAD) gone.push_back(&p);
      ++it;
    }
    const auto any = [&](const auto& of) {
      return of[std::uniform_int_distribution<std::size_t>(0, of.size() - 1)(random_)];
    };
    if (there.empty()) {
      for (const std::string& seed : settings_.seeds) {
        if (seed != self_.at) send_all(seed, "", true);
      }
      next_sync_ =
          now + settings_.period + std::uniform_int_distribution<Micros>(0, settings_.period)(random_);
    } else {
      const Peer* p = any(there);
      send_all(p->at, p->name, true);
      if (!gone.empty()) {
        const Peer* dead = any(gone);
        send_all(dead->at, dead->name, true);
        next_sync_ = std::min(next_sync_, now + 2 * settings_.period);  // a cut that has ended is soon seen
      } else if (!settings_.seeds.empty()) {
        const std::string& seed = any(settings_.seeds);
        if (seed != self_.at) send_all(seed, "", true);
      }
    }
  }
}

void Swim::probe(Micros now) {
  next_probe_ = now + slowed(settings_.period);
  if (!probe_.name.empty()) end_probe(now, false);
  for (std::size_t tries = 0; tries <= peers_.size(); ++tries) {
    if (turns_.empty()) {
      for (const auto& [name, p] : peers_) turns_.push_back(name);
      std::shuffle(turns_.begin(), turns_.end(), random_);
      if (turns_.empty()) return;
    }
    const std::string name = turns_.back();
    turns_.pop_back();
    const auto it = peers_.find(name);
    if (it == peers_.end() || it->second.standing == coordination::DEAD ||
        it->second.standing == coordination::LEFT)
      continue;
    probe_ = {name,  ++numbers_, now, now + slowed(settings_.timeout), now + slowed(settings_.period) - 1,
              false, 0,          0};
    ++counters_.probes;
    coordination::Packet p = packet(name);
    p.mutable_ping()->set_number(probe_.number);
    send(it->second.at, std::move(p), name);
    return;
  }
}

// Lifeguard: who gets no answer, nor a word from those that were to ask, is itself in doubt.
void Swim::end_probe(Micros now, bool answered) {
  const Probe done = std::exchange(probe_, {});
  if (answered) return well(-1);
  ++counters_.probes_failed;
  const auto it = peers_.find(done.name);
  if (done.helpers > 0 && done.nacks < done.helpers) {
    well(+1);
  } else if (done.helpers == 0) {
    well(+1);
  }
  if (it != peers_.end() && it->second.standing == coordination::ALIVE) {
    ++counters_.suspected;
    suspect(now, it->second, self_.name);
  }
}

void Swim::well(int by) { health_ = std::clamp(health_ + by, 0, kWorstHealth); }

void Swim::suspect(Micros now, Peer& peer, const std::string& by) {
  peer.standing = coordination::SUSPECT;
  peer.since = now;
  changed_.insert(peer.name);
  const double least = settings_.suspicion * log_size() * static_cast<double>(settings_.period);
  suspected_[peer.name] = {by, {by}, now + slowed(static_cast<Micros>(least * settings_.suspicion_most))};
  coordination::MemberState w = word_of(peer);
  w.set_by(by);
  spread(w);
}

// ---- what comes

void Swim::receive(Micros now, const std::string& from, std::string_view bytes) {
  if (left_ || displaced_) return;
  ++counters_.received;
  coordination::Packet p;
  if (!p.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++counters_.unreadable;
    return;
  }
  if (p.fleet() != settings_.fleet) {
    ++counters_.other_fleet;
    return;
  }
  // A restart may have given an address to another name. An older life of ours is us all the same.
  if ((!p.to().empty() && p.to() != self_.name) || p.from().empty() || p.from().size() > kLongestName) {
    ++counters_.not_for_us;
    return;
  }
  for (const coordination::MemberState& w : p.words()) take(now, w);
  if (p.from() == self_.name) {
    if (p.birth() > self_.birth && p.what_case() == coordination::Packet::kAck &&
        p.ack().number() == rival_.number) {
      displaced_ = true;
    } else if (p.what_case() == coordination::Packet::kPing) {  // an earlier process of this name asks
      coordination::Packet answer = packet(p.from());
      answer.mutable_ack()->set_number(p.ping().number());
      send(from, std::move(answer));
    }
    return;
  }
  heard(p.from(), p.birth());
  switch (p.what_case()) {
    case coordination::Packet::kPing: {
      coordination::Packet answer = packet(p.from());
      answer.mutable_ack()->set_number(p.ping().number());
      send(from, std::move(answer), p.from());
      break;
    }
    case coordination::Packet::kAck: {
      const auto relay = relays_.find(p.ack().number());
      if (relay != relays_.end()) {
        coordination::Packet on = packet("");
        on.mutable_ack()->set_number(relay->second.number);
        send(relay->second.to, std::move(on));
        relays_.erase(relay);
      } else if (!probe_.name.empty() && p.ack().number() == probe_.number) {
        end_probe(now, true);
      }
      break;
    }
    case coordination::Packet::kPingFor: {
      if (relays_.size() >= kMostRelays) break;
      coordination::Packet ping = packet(p.ping_for().name());
      ping.mutable_ping()->set_number(++numbers_);
      relays_[numbers_] = {from, p.ping_for().number(), now + settings_.timeout};
      send(p.ping_for().at(), std::move(ping), p.ping_for().name());
      break;
    }
    case coordination::Packet::kNack:
      if (!probe_.name.empty() && p.nack().number() == probe_.number) ++probe_.nacks;
      break;
    case coordination::Packet::kSync:
      if (p.sync().answer() && now >= next_answer_) {
        next_answer_ = now + kAnswerApart;
        send_all(from, p.from(), false);
      }
      break;
    default:
      break;
  }
}

// Its packet is no proof that the others reach it: only that it lives, so a dead one's word of its own life
// is asked for by telling it what is said of it.
void Swim::heard(const std::string& name, std::uint64_t birth) {
  const auto it = peers_.find(name);
  if (it == peers_.end() || it->second.birth != birth) return;
  if (it->second.standing == coordination::DEAD || it->second.standing == coordination::SUSPECT)
    spread(word_of(it->second));
}

bool Swim::sane(const coordination::MemberState& w) const {
  return !w.name().empty() && w.name().size() <= kLongestName && w.site().size() <= kLongestName &&
         w.at().size() <= kLongestName && w.at().find(':') != std::string::npos && w.birth() < kLatestBirth &&
         w.incarnation() < kMostIncarnation && coordination::MemberStatus_IsValid(w.standing());
}

void Swim::take(Micros now, const coordination::MemberState& word) {
  if (!sane(word)) {
    ++counters_.absurd;
    return;
  }
  if (word.name() == self_.name) return take_own(now, word);
  const auto it = peers_.find(word.name());
  if (it == peers_.end()) {
    // One that nobody here has known need not be told dead.
    if (word.standing() == coordination::DEAD || word.standing() == coordination::LEFT) return;
    if (peers_.size() >= settings_.most_peers) {
      ++counters_.too_many;
      return;
    }
    set(now, peers_[word.name()], word);
    return;
  }
  Peer& peer = it->second;
  if (!newer(word, peer)) {
    // A further witness of a suspicion shortens it.
    const auto known = suspected_.find(peer.name);
    if (word.standing() != coordination::SUSPECT || peer.standing != coordination::SUSPECT ||
        known == suspected_.end() || word.birth() != peer.birth || word.incarnation() != peer.incarnation ||
        word.by().empty() || !known->second.witnesses.insert(word.by()).second)
      return;
    const double least = settings_.suspicion * log_size() * static_cast<double>(settings_.period),
                 most = least * settings_.suspicion_most;
    const double part = std::log(static_cast<double>(known->second.witnesses.size())) /
                        std::log(static_cast<double>(kWitnesses + 1));
    const double wait = std::max(least, most - (most - least) * part);
    known->second.ends = std::min(known->second.ends, peer.since + slowed(static_cast<Micros>(wait)));
    if (known->second.witnesses.size() <= kWitnesses) spread(word);
    return;
  }
  set(now, peer, word);
}

void Swim::set(Micros now, Peer& peer, const coordination::MemberState& word) {
  const Peer before = peer;
  peer = {word.name(),        word.site(),     word.at(),    word.birth(),
          word.incarnation(), before.standing, before.since, word.version()};
  if (before.name.empty() || before.standing != word.standing() || before.birth != word.birth()) {
    peer.since = now;
    changed_.insert(peer.name);
  }
  if (before.at != peer.at) changed_.insert(peer.name);
  suspected_.erase(peer.name);
  peer.standing = word.standing();
  if (word.standing() == coordination::SUSPECT)
    return suspect(now, peer, word.by().empty() ? "?" : word.by());
  spread(word);
}

// What others say of this router.
void Swim::take_own(Micros now, const coordination::MemberState& word) {
  if (word.birth() > self_.birth) {
    // Another life of our name. At our own address nobody else can live: it was our own, begun under a clock
    // that ran ahead. Elsewhere it is a process that began later, and the name is its.
    if (word.at() == self_.at) {
      self_.birth = word.birth() + 1;
      incarnation_ = 1;
      spread(word_of(self()));
    } else if (rival_.birth != word.birth() &&
               (word.standing() == coordination::ALIVE || word.standing() == coordination::SUSPECT)) {
      // It is asked whether it lives: it may be our own last life, at another address.
      rival_ = {word.birth(), ++numbers_, now + 3 * slowed(settings_.period)};
      coordination::Packet p = packet(self_.name);
      p.mutable_ping()->set_number(rival_.number);
      send(word.at(), std::move(p));
    }
    return;
  }
  if (word.birth() < self_.birth || left_) return;
  if (word.standing() != coordination::ALIVE && word.incarnation() >= incarnation_) {
    incarnation_ = word.incarnation() + 1;
    ++counters_.refuted;
    well(+1);
    spread(word_of(self()));
  }
}

// ---- what goes

coordination::Packet Swim::packet(const std::string& to_name) const {
  coordination::Packet p;
  p.set_fleet(settings_.fleet);
  p.set_version(kVersion);
  p.set_from(self_.name);
  p.set_birth(self_.birth);
  p.set_to(to_name);
  return p;
}

void Swim::spread(const coordination::MemberState& word) { rumors_[word.name()] = {word, 0}; }

// The words passed on least go first; one on the receiver itself before all others, so that it can refute.
void Swim::add_words(coordination::Packet& p, const std::string& about) {
  const int most = static_cast<int>(std::ceil(settings_.retransmit * log_size()));
  std::size_t room = settings_.most_bytes - std::min(settings_.most_bytes, p.ByteSizeLong() + 8);
  const auto add = [&](Rumor& r) {
    const std::size_t size = r.word.ByteSizeLong() + 4;
    if (size > room) return false;
    room -= size;
    *p.add_words() = r.word;
    ++r.times;
    return true;
  };
  if (const auto it = peers_.find(about);
      it != peers_.end() && it->second.standing != coordination::ALIVE && rumors_.count(about) == 0) {
    Rumor once{word_of(it->second), 0};
    add(once);
  }
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [name, r] : rumors_) order.emplace_back(name == about ? -1 : r.times, name);
  std::sort(order.begin(), order.end());
  for (const auto& [times, name] : order) {
    const auto it = rumors_.find(name);
    if (!add(it->second)) break;
    if (it->second.times >= most) rumors_.erase(it);
  }
}

void Swim::send(const std::string& at, coordination::Packet&& p, const std::string& about) {
  if (p.words_size() == 0) add_words(p, about);
  Datagram d{at, p.SerializeAsString()};
  ++counters_.sent;
  counters_.bytes_sent += d.bytes.size();
  out_.push_back(std::move(d));
}

// All that is known, in as many datagrams as it takes.
void Swim::send_all(const std::string& at, const std::string& name, bool answer) {
  coordination::Packet p = packet(name);
  p.mutable_sync()->set_answer(answer);
  *p.add_words() = word_of(self());
  for (const auto& [other, peer] : peers_) {
    if (p.ByteSizeLong() + kLongestName * 4 > settings_.most_bytes) {
      send(at, std::move(p));
      p = packet(name);
      p.mutable_sync();
    }
    coordination::MemberState w = word_of(peer);
    // What only this router suspects is its own to settle.
    if (peer.standing == coordination::SUSPECT) {
      const auto known = suspected_.find(other);
      if (known != suspected_.end()) w.set_by(known->second.by);
    }
    *p.add_words() = w;
  }
  if (p.words_size() > 0) send(at, std::move(p));
}

void Swim::leave(Micros) {
  if (left_ || displaced_) return;
  left_ = true;
  coordination::MemberState w = word_of(self());
  std::vector<const Peer*> to;
  for (const auto& [name, p] : peers_) {
    if (p.standing == coordination::ALIVE || p.standing == coordination::SUSPECT) to.push_back(&p);
  }
  std::shuffle(to.begin(), to.end(), random_);
  if (to.size() > 2 * settings_.helpers) to.resize(2 * settings_.helpers);
  for (const Peer* p : to) {
    coordination::Packet bye = packet(p->name);
    bye.mutable_sync();
    *bye.add_words() = w;
    send(p->at, std::move(bye));
  }
}

std::vector<Datagram> Swim::take() { return std::exchange(out_, {}); }

std::vector<Peer> Swim::changed() {
  std::vector<Peer> out;
  for (const std::string& name : std::exchange(changed_, {})) {
    if (const auto it = peers_.find(name); it != peers_.end()) out.push_back(it->second);
  }
  return out;
}

}  // namespace flintglade::membership
