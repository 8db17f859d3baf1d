#include "membership/swim.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace flintglade::membership {
namespace {

constexpr int kMaxHealthPenalty = 8;  // as in the Lifeguard paper
constexpr std::size_t kMaxIndirectProbes = 64;
// Minimum time between two answers with the full member list: many requests may arrive at once after a
// partition.
constexpr Micros kMinListAnswerInterval = 100 * core::kMilli;
// A gap of more than this many periods between ticks means that the process was suspended.
constexpr int kLateTickPeriods = 2;
// Bytes of each datagram reserved for the protobuf tags and lengths of its updates.
constexpr std::size_t kPacketOverheadBytes = 8;
// An update has at most three names and an address, each of at most kMaxNameBytes.
constexpr std::size_t kMaxUpdateBytes = kMaxNameBytes * 4;
constexpr int kRivalPeriods = 3;  // timeout of the ping to another process with this router's name
// Bounds on the packets sent in response to forged names: pending requests, and transmissions of each.
constexpr std::size_t kMaxIntroductionRequests = 64;
constexpr int kIntroductionRequestTries = 5;
constexpr int kIntroductions = 4;  // rounds of introductions to all members in a series, one each period
constexpr int kIntroductionSeriesPeriods = 10;  // minimum time between the starts of two series
// Time until the next exchange while the table holds a dead member, so that the end of a partition is
// detected soon.
constexpr int kExchangePeriodsWithDeadMembers = 2;

}  // namespace

Swim::Swim(Settings settings, Self self, std::uint64_t seed)
    : settings_(std::move(settings)), self_(std::move(self)), random_(seed) {}

Peer Swim::self() const {
  return {self_.name,  self_.site,   self_.at,
          self_.birth, incarnation_, left_ ? coordination::LEFT : coordination::ALIVE,
          0,           kVersion};
}

std::vector<Peer> Swim::living() const {
  std::vector<Peer> out;
  bool self_listed = left_ || displaced_;
  for (const auto& [name, peer] : peers_) {
    if (!self_listed && self_.name < name) {
      out.push_back(self());
      self_listed = true;
    }
    if (is_living(peer.standing)) out.push_back(peer);
  }
  if (!self_listed) out.push_back(self());
  return out;
}

double Swim::log_of_size() const {
  return std::max(1.0, std::log10(static_cast<double>(std::max<std::size_t>(1, peers_.size() + 1))));
}

void Swim::start(Micros now) {
  last_tick_ = now;
  // Random, so that routers that start at the same time do not probe at the same time.
  next_probe_ = now + random_span(0, settings_.period);
  next_exchange_ = now;
  spread_own_state();
  tick(now);
}

Micros Swim::next() const {
  if (left_ || displaced_) return core::kNever;
  Micros at = std::min(next_probe_, next_exchange_);
  if (!probe_.name.empty()) at = std::min(at, probe_.indirect ? probe_.ends : probe_.indirect_at);
  for (const auto& [name, suspicion] : suspicions_) at = std::min(at, suspicion.ends);
  for (const auto& [number, indirect] : indirect_probes_) at = std::min(at, indirect.nack_at);
  if (rival_.birth != 0) at = std::min(at, rival_.ends);
  for (const auto& [name, request] : introduction_requests_) at = std::min(at, request.next_try);
  return std::min(at, next_introduction_);
}

void Swim::tick(Micros now) {
  if (left_ || displaced_) return;
  const Micros late = now - last_tick_;
  last_tick_ = now;
  if (late > kLateTickPeriods * slowed(settings_.period)) {
    forgive_missed_answers(late);
    next_exchange_ = now;
  }
  expire_indirect_probes(now);
  if (!probe_.name.empty() && !probe_.indirect && now >= probe_.indirect_at) send_indirect_probes();
  if (!probe_.name.empty() && now >= probe_.ends) end_probe(now, false);
  expire_suspicions(now);
  if (rival_.birth != 0 && now >= rival_.ends) take_name_from_silent_rival(now);
  if (now >= next_probe_) start_probe(now);
  if (now >= next_exchange_) exchange_members(now);
  if (now >= next_introduction_) introduce_to_all(now);
  repeat_introduction_requests(now);
}

// A suspended process received no packets, so missing answers are no evidence that members have failed.
void Swim::forgive_missed_answers(Micros late) {
  ++counters_.late_ticks;
  probe_ = {};
  adjust_health(+1);
  for (auto& [name, suspicion] : suspicions_) suspicion.ends += late;
  for (auto& [number, indirect] : indirect_probes_) indirect.nack_at += late;
}

void Swim::expire_indirect_probes(Micros now) {
  for (auto it = indirect_probes_.begin(); it != indirect_probes_.end();) {
    if (now < it->second.nack_at) {
      ++it;
      continue;
    }
    coordination::Packet nack = packet("");
    nack.mutable_nack()->set_number(it->second.number);
    send(it->second.requester, std::move(nack));
    it = indirect_probes_.erase(it);
  }
}

void Swim::send_indirect_probes() {
  probe_.indirect = true;
  const auto target = peers_.find(probe_.name);
  std::vector<const Peer*> helpers;
  for (const auto& [name, peer] : peers_) {
    if (name != probe_.name && peer.standing == coordination::ALIVE) helpers.push_back(&peer);
  }
  std::shuffle(helpers.begin(), helpers.end(), random_);
  if (helpers.size() > settings_.helpers) helpers.resize(settings_.helpers);
  probe_.helpers = helpers.size();
  if (target == peers_.end()) return;
  for (const Peer* helper : helpers) {
    coordination::Packet request = packet(helper->name);
    request.mutable_ping_for()->set_number(probe_.number);
    request.mutable_ping_for()->set_name(target->second.name);
    request.mutable_ping_for()->set_at(target->second.at);
    send(helper->at, std::move(request));
  }
}

void Swim::expire_suspicions(Micros now) {
  for (auto it = suspicions_.begin(); it != suspicions_.end();) {
    const auto peer = peers_.find(it->first);
    if (now < it->second.ends) {
      ++it;
      continue;
    }
    it = suspicions_.erase(it);
    if (peer == peers_.end() || peer->second.standing != coordination::SUSPECT) continue;
    peer->second.standing = coordination::DEAD;
    peer->second.since = now;
    changed_.insert(peer->first);
    coordination::MemberState update = to_member_state(peer->second);
    update.set_by(self_.name);
    gossip_.add(update);
  }
}

// A process with this router's name and a later birth that does not answer is taken for an earlier process of
// this router, started while its clock ran ahead, although a later process that cannot be reached is silent,
// too. Takes a still later birth, which supersedes it.
void Swim::take_name_from_silent_rival(Micros) {
  self_.birth = std::max(self_.birth, rival_.birth + 1);
  incarnation_ = 1;
  rival_ = {};
  spread_own_state();
}

void Swim::start_probe(Micros now) {
  next_probe_ = now + slowed(settings_.period);
  if (!probe_.name.empty()) end_probe(now, false);
  for (std::size_t tries = 0; tries <= peers_.size(); ++tries) {
    if (probe_order_.empty()) {
      for (const auto& [name, peer] : peers_) probe_order_.push_back(name);
      std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
      if (probe_order_.empty()) return;
    }
    const std::string name = probe_order_.back();
    probe_order_.pop_back();
    const auto it = peers_.find(name);
    if (it == peers_.end() || !is_living(it->second.standing)) continue;
    probe_ = {};
    probe_.name = name;
    probe_.number = ++last_number_;
    probe_.indirect_at = now + slowed(settings_.timeout);
    probe_.ends = now + slowed(settings_.period) - 1;
    ++counters_.probes;
    coordination::Packet ping = packet(name);
    ping.mutable_ping()->set_number(probe_.number);
    send(it->second.at, std::move(ping), name);
    return;
  }
}

// Lifeguard: if neither the target answers nor all helpers send a nack, this member itself may be at fault.
void Swim::end_probe(Micros now, bool answered) {
  const Probe ended = std::exchange(probe_, {});
  if (answered) return adjust_health(-1);
  ++counters_.probes_failed;
  const bool all_helpers_answered = ended.helpers > 0 && ended.nacks >= ended.helpers;
  if (!all_helpers_answered) adjust_health(+1);
  const auto it = peers_.find(ended.name);
  if (it != peers_.end() && it->second.standing == coordination::ALIVE) {
    ++counters_.suspected;
    suspect(now, it->second, self_.name);
  }
}

void Swim::adjust_health(int by) { health_ = std::clamp(health_ + by, 0, kMaxHealthPenalty); }

void Swim::forget_dead_members(Micros now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (is_living(it->second.standing) || now - it->second.since <= settings_.dead_member_ttl) {
      ++it;
      continue;
    }
    gossip_.remove(it->first);
    it = peers_.erase(it);
  }
}

void Swim::contact_seeds() {
  for (const std::string& seed : settings_.seeds) {
    if (seed != self_.at) send_all_members(seed, "", true);
  }
}

// Exchanges member lists with one live member and with one dead member or seed. Without the latter, two sides
// of a partition that had declared each other dead would never rejoin.
void Swim::exchange_members(Micros now) {
  next_exchange_ = now + settings_.exchange_interval / 2 + random_span(0, settings_.exchange_interval);
  forget_dead_members(now);
  std::vector<const Peer*> living;
  std::vector<const Peer*> dead;
  for (const auto& [name, peer] : peers_) {
    if (is_living(peer.standing)) living.push_back(&peer);
    if (peer.standing == coordination::DEAD) dead.push_back(&peer);
  }
  if (living.empty()) {
    contact_seeds();
    next_exchange_ = now + settings_.period + random_span(0, settings_.period);
    return;
  }
  const Peer* partner = random_item(living);
  send_all_members(partner->at, partner->name, true);
  if (!dead.empty()) {
    const Peer* dead_member = random_item(dead);
    send_all_members(dead_member->at, dead_member->name, true);
    next_exchange_ = std::min(next_exchange_, now + kExchangePeriodsWithDeadMembers * settings_.period);
  } else if (!settings_.seeds.empty()) {
    const std::string seed = random_item(settings_.seeds);
    if (seed != self_.at) send_all_members(seed, "", true);
  }
}

SuspicionBounds Swim::suspicion_bounds() const {
  const double minimum = settings_.suspicion_factor * log_of_size() * static_cast<double>(settings_.period);
  return {minimum, minimum * settings_.max_suspicion_factor};
}

void Swim::suspect(Micros now, Peer& peer, const std::string& reported_by) {
  peer.standing = coordination::SUSPECT;
  peer.since = now;
  changed_.insert(peer.name);
  const Micros ends = now + slowed(static_cast<Micros>(suspicion_bounds().maximum));
  suspicions_[peer.name] = {reported_by, {reported_by}, ends};
  coordination::MemberState update = to_member_state(peer);
  update.set_by(reported_by);
  gossip_.add(update);
}

void Swim::receive(Micros now, const std::string& from, std::string_view bytes) {
  if (left_ || displaced_) return;
  ++counters_.received;
  coordination::Packet received;
  if (!received.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++counters_.unreadable;
    return;
  }
  if (!accepts(received)) return;
  const bool sender_is_unknown = is_unknown(received);
  for (const coordination::MemberState& update : received.words()) apply(now, update);
  if (received.from() == self_.name) return receive_from_own_name(from, received);
  report_status_to_member(received.from(), received.birth());
  switch (received.what_case()) {
    case coordination::Packet::kPing:
      acknowledge(from, received.from(), received.ping().number(), received.from());
      break;
    case coordination::Packet::kAck:
      receive_ack(now, received.ack().number());
      break;
    case coordination::Packet::kPingFor:
      receive_indirect_probe(now, from, received.ping_for());
      break;
    case coordination::Packet::kNack:
      if (!probe_.name.empty() && received.nack().number() == probe_.number) ++probe_.nacks;
      break;
    case coordination::Packet::kSync:
      if (!received.sync().answer()) introduction_requests_.erase(received.from());
      if (received.sync().introduce()) {
        answer_introduction_request(now, from, received.from());
      } else if (received.sync().answer() && now >= next_list_answer_) {
        next_list_answer_ = now + kMinListAnswerInterval;
        send_all_members(from, received.from(), false);
      }
      break;
    default:  // a packet of the coordination protocol
      break;
  }
  // Sent after the answer, which may contain the list of members that the sender then introduces itself to.
  // Asked even if the packet carried the sender's state, since other members may not have received that.
  if (sender_is_unknown) request_introduction(now, from, received.from());
}

bool Swim::accepts(const coordination::Packet& packet) {
  if (packet.fleet() != settings_.fleet) {
    ++counters_.other_fleet;
    return false;
  }
  // After a restart another member may use the address that the packet was sent to. Packets for an earlier
  // process with this router's name are accepted.
  const bool for_us = packet.to().empty() || packet.to() == self_.name;
  if (!for_us || packet.from().empty() || packet.from().size() > kMaxNameBytes) {
    ++counters_.not_for_us;
    return false;
  }
  return true;
}

void Swim::receive_from_own_name(const std::string& from, const coordination::Packet& packet) {
  if (packet.birth() > self_.birth && packet.what_case() == coordination::Packet::kAck &&
      packet.ack().number() == rival_.number) {
    displaced_ = true;
  } else if (packet.what_case() == coordination::Packet::kPing) {  // from an earlier process with this name
    acknowledge(from, packet.from(), packet.ping().number(), "");
  }
}

void Swim::acknowledge(const std::string& address, const std::string& name, std::uint64_t number,
                       const std::string& about) {
  coordination::Packet ack = packet(name);
  ack.mutable_ack()->set_number(number);
  send(address, std::move(ack), about);
}

void Swim::receive_ack(Micros now, std::uint64_t number) {
  const auto indirect = indirect_probes_.find(number);
  if (indirect != indirect_probes_.end()) {
    acknowledge(indirect->second.requester, "", indirect->second.number, "");
    indirect_probes_.erase(indirect);
  } else if (!probe_.name.empty() && number == probe_.number) {
    end_probe(now, true);
  }
}

void Swim::receive_indirect_probe(Micros now, const std::string& from, const coordination::PingFor& request) {
  if (indirect_probes_.size() >= kMaxIndirectProbes) return;
  coordination::Packet ping = packet(request.name());
  ping.mutable_ping()->set_number(++last_number_);
  indirect_probes_[last_number_] = {from, request.number(), now + settings_.timeout};
  send(request.at(), std::move(ping), request.name());
}

// A packet from a member listed as dead or suspected proves that it is alive, but not that other members can
// reach it. Its listed status is queued as gossip, so that it learns of it and can refute it. In the same
// way, a process whose name a later process has taken learns of that process.
void Swim::report_status_to_member(const std::string& name, std::uint64_t birth) {
  const auto it = peers_.find(name);
  if (it == peers_.end() || birth == 0) return;
  const bool is_displaced = birth < it->second.birth;
  const bool is_listed_as_failed =
      birth == it->second.birth &&
      (it->second.standing == coordination::DEAD || it->second.standing == coordination::SUSPECT);
  if (is_displaced || is_listed_as_failed) gossip_.add(to_member_state(it->second));
}

bool Swim::is_unknown(const coordination::Packet& packet) const {
  if (packet.birth() == 0 || packet.from().empty() || packet.from() == self_.name) return false;
  const auto it = peers_.find(packet.from());
  return it == peers_.end() || it->second.birth < packet.birth();
}

void Swim::note_sender(Micros now, const std::string& address, const coordination::Packet& packet) {
  if (left_ || displaced_ || packet.from() == self_.name) return;
  report_status_to_member(packet.from(), packet.birth());
  if (is_unknown(packet)) request_introduction(now, address, packet.from());
}

// A router that was cut off while the others restarted learns of them from their packets, but they lack its
// state, which was disseminated before they started. A member must therefore know every sender that it
// answers.
void Swim::request_introduction(Micros now, const std::string& address, const std::string& name) {
  ++counters_.unknown_senders;
  if (!peers_.contains(name) && peers_.size() >= settings_.max_peers) return;
  const bool pending = introduction_requests_.contains(name);
  if (pending || introduction_requests_.size() >= kMaxIntroductionRequests) return;
  introduction_requests_[name] = {address, kIntroductionRequestTries, now};
  repeat_introduction_requests(now);
}

void Swim::repeat_introduction_requests(Micros now) {
  for (auto it = introduction_requests_.begin(); it != introduction_requests_.end();) {
    IntroductionRequest& pending = it->second;
    if (now < pending.next_try) {
      ++it;
      continue;
    }
    if (pending.tries_left-- == 0) {
      it = introduction_requests_.erase(it);
      continue;
    }
    pending.next_try = now + settings_.timeout;
    ++counters_.introductions_requested;
    coordination::Packet request = packet(it->first);
    request.mutable_sync()->set_answer(true);
    request.mutable_sync()->set_introduce(true);
    // Without piggybacked updates, so as not to use up their bounded transmissions.
    transmit(pending.address, request);
    ++it;
  }
}

// If one member lacks this one's state, others may lack it too, so it is sent to all of them, several times
// because packets may be lost.
void Swim::answer_introduction_request(Micros now, const std::string& address, const std::string& name) {
  ++counters_.introductions;
  send_own_state(address, name);
  if (now < next_series_) return;
  next_series_ = now + kIntroductionSeriesPeriods * settings_.period;
  introductions_left_ = kIntroductions;
  spread_own_state();
  introduce_to_all(now);
}

void Swim::introduce_to_all(Micros now) {
  next_introduction_ = --introductions_left_ > 0 ? now + settings_.period : core::kNever;
  for (const auto& [name, peer] : peers_) {
    if (is_living(peer.standing)) send_own_state(peer.at, name);
  }
}

void Swim::send_own_state(const std::string& address, const std::string& name) {
  coordination::Packet state = packet(name);
  state.mutable_sync();
  *state.add_words() = to_member_state(self());
  send(address, std::move(state));
}

void Swim::apply(Micros now, const coordination::MemberState& update) {
  if (!is_plausible(update)) {
    ++counters_.implausible;
    return;
  }
  if (update.name() == self_.name) return apply_to_self(now, update);
  const auto it = peers_.find(update.name());
  if (it == peers_.end()) {
    // There is no need to record the departure or death of a member that was never in the table.
    if (!is_living(update.standing())) return;
    if (peers_.size() >= settings_.max_peers) {
      ++counters_.too_many;
      return;
    }
    return replace(now, peers_[update.name()], update);
  }
  if (is_newer(update, it->second)) return replace(now, it->second, update);
  confirm_suspicion(it->second, update);
}

// Shortens a suspicion when a further member reports it.
void Swim::confirm_suspicion(const Peer& peer, const coordination::MemberState& update) {
  const auto it = suspicions_.find(peer.name);
  const bool same_suspicion = update.standing() == coordination::SUSPECT &&
                              peer.standing == coordination::SUSPECT && it != suspicions_.end() &&
                              update.birth() == peer.birth && update.incarnation() == peer.incarnation;
  if (!same_suspicion || update.by().empty()) return;
  Suspicion& suspicion = it->second;
  if (!suspicion.reporters.insert(update.by()).second) return;
  const double length = suspicion_length(suspicion_bounds(), suspicion.reporters.size());
  suspicion.ends = std::min(suspicion.ends, peer.since + slowed(static_cast<Micros>(length)));
  if (suspicion.reporters.size() <= kConfirmationsForMinimum) gossip_.add(update);
}

void Swim::replace(Micros now, Peer& peer, const coordination::MemberState& update) {
  const Peer before = peer;
  peer = {update.name(),        update.site(),   update.at(),  update.birth(),
          update.incarnation(), before.standing, before.since, update.version()};
  if (before.name.empty() || before.standing != update.standing() || before.birth != update.birth()) {
    peer.since = now;
    changed_.insert(peer.name);
  }
  if (before.at != peer.at) changed_.insert(peer.name);
  suspicions_.erase(peer.name);
  peer.standing = update.standing();
  if (update.standing() == coordination::SUSPECT) {
    return suspect(now, peer, update.by().empty() ? "?" : update.by());
  }
  gossip_.add(update);
}

// Handles updates about this router that other members have sent.
void Swim::apply_to_self(Micros now, const coordination::MemberState& update) {
  if (update.birth() > self_.birth) {
    // A process with this router's name and a later birth. At this router's own address it can only be an
    // earlier process of this router, started while the clock ran ahead. At another address it is a process
    // that started later and takes over the name.
    if (update.at() == self_.at) {
      self_.birth = update.birth() + 1;
      incarnation_ = 1;
      spread_own_state();
    } else if (rival_.birth != update.birth() && is_living(update.standing())) {
      // Pinged first: it may be this router's previous process, which used another address.
      rival_ = {update.birth(), ++last_number_, now + kRivalPeriods * slowed(settings_.period)};
      coordination::Packet ping = packet(self_.name);
      ping.mutable_ping()->set_number(rival_.number);
      send(update.at(), std::move(ping));
    }
    return;
  }
  if (update.birth() < self_.birth || left_) return;
  if (update.standing() != coordination::ALIVE && update.incarnation() >= incarnation_) {
    incarnation_ = update.incarnation() + 1;
    ++counters_.refuted;
    adjust_health(+1);
    spread_own_state();
  }
}

coordination::Packet Swim::packet(const std::string& to_name) const {
  coordination::Packet out;
  out.set_fleet(settings_.fleet);
  out.set_version(kVersion);
  out.set_from(self_.name);
  out.set_birth(self_.birth);
  out.set_to(to_name);
  return out;
}

void Swim::add_updates(coordination::Packet& packet, const std::string& about) {
  const std::size_t used_bytes = packet.ByteSizeLong() + kPacketOverheadBytes;
  std::size_t remaining_bytes =
      settings_.max_datagram_bytes - std::min(settings_.max_datagram_bytes, used_bytes);
  const auto it = peers_.find(about);
  if (it != peers_.end() && it->second.standing != coordination::ALIVE && !gossip_.contains(about)) {
    append_update(packet, to_member_state(it->second), remaining_bytes);
  }
  const int max_transmissions = static_cast<int>(std::ceil(settings_.retransmit_factor * log_of_size()));
  gossip_.append_to(packet, remaining_bytes, max_transmissions, about);
}

void Swim::send(const std::string& address, coordination::Packet&& packet, const std::string& about) {
  if (packet.words_size() == 0) add_updates(packet, about);
  transmit(address, packet);
}

void Swim::transmit(const std::string& address, const coordination::Packet& packet) {
  Datagram datagram{address, packet.SerializeAsString()};
  ++counters_.sent;
  counters_.bytes_sent += datagram.bytes.size();
  outgoing_.push_back(std::move(datagram));
}

void Swim::send_all_members(const std::string& address, const std::string& name, bool answer) {
  coordination::Packet list = packet(name);
  list.mutable_sync()->set_answer(answer);
  *list.add_words() = to_member_state(self());
  for (const auto& [other, peer] : peers_) {
    if (list.ByteSizeLong() + kMaxUpdateBytes > settings_.max_datagram_bytes) {
      send(address, std::move(list));
      list = packet(name);
      list.mutable_sync();
    }
    coordination::MemberState update = to_member_state(peer);
    if (peer.standing == coordination::SUSPECT) {
      const auto suspicion = suspicions_.find(other);
      if (suspicion != suspicions_.end()) update.set_by(suspicion->second.reported_by);
    }
    *list.add_words() = update;
  }
  if (list.words_size() > 0) send(address, std::move(list));
}

void Swim::leave(Micros) {
  if (left_ || displaced_) return;
  left_ = true;
  std::vector<const Peer*> receivers;
  for (const auto& [name, peer] : peers_) {
    if (is_living(peer.standing)) receivers.push_back(&peer);
  }
  std::shuffle(receivers.begin(), receivers.end(), random_);
  if (receivers.size() > 2 * settings_.helpers) receivers.resize(2 * settings_.helpers);
  for (const Peer* receiver : receivers) send_own_state(receiver->at, receiver->name);
}

std::vector<Datagram> Swim::take() { return std::exchange(outgoing_, {}); }

std::vector<Peer> Swim::changed() {
  std::vector<Peer> out;
  for (const std::string& name : std::exchange(changed_, {})) {
    if (const auto it = peers_.find(name); it != peers_.end()) out.push_back(it->second);
  }
  return out;
}

}  // namespace flintglade::membership
