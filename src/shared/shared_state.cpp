#include "shared/shared_state.h"

#include <zlib.h>

#include <cmath>

namespace flintglade::shared {
namespace {
constexpr Micros kBankTick = 100 * core::kMilli, kOpinionTick = 250 * core::kMilli;
constexpr Micros kClockKept = 30 * core::kSecond;
constexpr Micros kMostAge = 3600 * core::kSecond;
constexpr std::uint64_t kMostVersion = std::uint64_t{1} << 53;
constexpr std::size_t kMarks = 40, kMostClocks = 4096, kMostName = 64;
constexpr std::size_t kMostPackets = 8;  // of news, in answer to one digest
constexpr std::size_t kMostRow = 48u << 10;
constexpr std::uint32_t kSnapshotVersion = 1;
constexpr char kMagic[] = "fgsh";

std::uint32_t checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}
}  // namespace

SharedState::SharedState(Settings settings, Ports ports, const membership::Self& self, std::uint64_t seed)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      self_(self.name, self.birth),
      site_(self.site),
      random_(seed),
      quota_allocator_(settings_.budgets),
      counter_(settings_, self.name, self.birth, self.site),
      seen_(settings_.most_rows) {}

// ---- what this router has to say

void SharedState::ask(Micros now, coordination::CoordinationProtocol& agent,
                      const coordination::QuotaRequest& ask, bool to_peer) {
  if (!to_peer && is_bank(now, agent)) {
    if (const auto p = quota_allocator_.asked(now, self_.first, self_.second, ask)) ports_.parcel(*p);
    return;
  }
  coordination::SharedStateMessage s;
  *s.mutable_ask() = ask;
  const membership::Peer* bank = agent.find_owner(kQuotaAllocatorLease);
  if (!to_peer && bank != nullptr) return share(now, agent, bank->name, std::move(s));
  counters_.no_bank += !to_peer;
  const auto others = living(agent);
  if (others.empty()) return;
  ++counters_.asks_passed;
  share(now, agent, others[random_() % others.size()]->name, std::move(s));
}

void SharedState::lent(Micros now, coordination::CoordinationProtocol& agent, const std::string& to,
                       const coordination::QuotaLease& parcel) {
  coordination::SharedStateMessage s;
  *s.mutable_parcel() = parcel;
  share(now, agent, to, std::move(s));
}

void SharedState::give_back(Micros now, coordination::CoordinationProtocol& agent,
                            const coordination::QuotaReturn& back) {
  if (quota_allocator_.open() && quota_allocator_.number() == back.bank()) {
    quota_allocator_.returned(now, self_.first, back);
    return;
  }
  // To the bank that handed it out, and to no other: it could be handed out twice.
  for (const coordination::Job& j : agent.lease_table().jobs()) {
    if (j.name() != kQuotaAllocatorLease || j.number() != back.bank() || j.owner().empty()) continue;
    coordination::SharedStateMessage s;
    *s.mutable_back() = back;
    share(now, agent, j.owner(), std::move(s));
  }
}

void SharedState::counted(Micros now, const ReplicatedCounter::Counts& counts) {
  if (settings_.counts && counter_.seal(now, counts)) counter_.rows().all()[self_].passes = 4;
}

void SharedState::saw(Micros now, std::vector<coordination::ReplicaObservation> cases) {
  coordination::HealthObservations seen;
  seen.set_name(self_.first);
  seen.set_birth(self_.second);
  seen.set_site(site_);
  seen.set_version(std::max(seen_.version(self_), own_seen_) + 1);
  for (coordination::ReplicaObservation& c : cases) *seen.add_cases() = std::move(c);
  seen_.take(now, std::move(seen), 0, 5);
  next_gossip_ = now;
}

// ---- what comes

bool SharedState::sane(const coordination::HealthObservations& seen) const {
  if (seen.name().empty() || seen.name().size() > kMostName || seen.site().size() > kMostName ||
      seen.version() == 0 || seen.version() > kMostVersion || seen.birth() == 0 || seen.age_us() < 0 ||
      seen.age_us() > kMostAge || static_cast<std::size_t>(seen.cases_size()) > settings_.most_cases)
    return false;
  return std::all_of(seen.cases().begin(), seen.cases().end(), [](const coordination::ReplicaObservation& c) {
    return c.age_us() >= 0 && c.age_us() <= kMostAge;
  });
}

void SharedState::absurd(coordination::CoordinationProtocol& agent, const std::string& from,
                         const std::string& what) {
  ++counters_.absurd;
  agent.log_event("shared_state_message_rejected", {{"from", from}, {"why", what}}, true);
}

// How much longer than the quickest one of this life this packet was on its way.
Micros SharedState::late(Micros now, const std::string& who, std::uint64_t birth, Micros sent) {
  if (clocks_.size() >= kMostClocks && clocks_.count(who) == 0) clocks_.erase(clocks_.begin());
  Clock& c = clocks_[who];
  const Micros apart = now - sent;
  if (c.birth != birth) c = {birth, apart, 0, -1};
  c.least = std::min(c.least, apart);
  return apart - c.least;
}

Micros SharedState::fleet_time(Micros now) const {
  std::vector<Micros> apart{0};
  for (const auto& [who, c] : clocks_) {
    if (c.heard >= 0 && now - c.heard < kClockKept) apart.push_back(c.unix_apart);
  }
  std::nth_element(apart.begin(), apart.begin() + static_cast<std::ptrdiff_t>(apart.size() / 2), apart.end());
  return ports_.unix_time() + apart[apart.size() / 2];
}

void SharedState::receive(Micros now, coordination::CoordinationProtocol& agent,
                          const coordination::JobNotification& notification) {
  using Kind = coordination::JobNotification::Kind;
  if (notification.job == kQuotaAllocatorLease && notification.kind == Kind::lease_acquired) {
    quota_allocator_.starts(now, notification.number);
    next_bank_ = now;
  }
  if (notification.job == kQuotaAllocatorLease && notification.kind == Kind::lease_released) {
    quota_allocator_.stops();
    next_bank_ = core::kNever;
  }
  if (notification.kind != Kind::shared_state) return;
  ++counters_.received;
  const coordination::SharedStateMessage& s = notification.shared_state;
  if (notification.sender.empty() || notification.sender.size() > kMostName || notification.sender == self_.first || notification.sender_birth == 0) {
    return absurd(agent, notification.sender_address, "no name");
  }
  const Micros longer = late(now, notification.sender, notification.sender_birth, s.sent_us());
  Clock& clock = clocks_[notification.sender];
  clock.unix_apart = s.unix_us() - ports_.unix_time();
  clock.heard = now;
  switch (s.what_case()) {
    case coordination::SharedStateMessage::kAsk:
      answer(now, agent, notification.sender_address, notification.sender, notification.sender_birth, s.ask());
      break;
    case coordination::SharedStateMessage::kParcel:
      ports_.parcel(s.parcel());
      break;
    case coordination::SharedStateMessage::kBack:
      quota_allocator_.returned(now, notification.sender, s.back());
      break;
    case coordination::SharedStateMessage::kNews:
      take(now, agent, s.news(), longer, notification.sender);
      break;
    case coordination::SharedStateMessage::kDigest:
      take(now, agent, s.digest(), notification.sender);
      break;
    default:
      break;
  }
}

void SharedState::answer(Micros now, coordination::CoordinationProtocol& agent, const std::string&,
                         const std::string& who, std::uint64_t birth, const coordination::QuotaRequest& ask) {
  if (ask.want() < 0 || ask.want() > kMostAmount || ask.demand() < 0 || ask.demand() > kMostAmount)
    return absurd(agent, who, "an amount that cannot be");
  if (!is_bank(now, agent)) return ports_.lend(who, ask);
  const auto parcel = quota_allocator_.asked(now, who, birth, ask);
  if (!parcel) return;
  coordination::SharedStateMessage s;
  *s.mutable_parcel() = *parcel;
  share(now, agent, who, std::move(s));
}

void SharedState::take(Micros now, coordination::CoordinationProtocol& agent,
                       const coordination::SharedStateUpdate& news, Micros longer, const std::string& from) {
  std::string wrong;
  for (const coordination::CounterRow& row : news.rows()) {
    const std::string why = counter_.take(now, row, longer, passes(agent));
    if (!why.empty()) wrong = "row of " + row.name().substr(0, kMostName) + ": " + why;
  }
  bool heard = false;
  for (const coordination::HealthObservations& seen : news.seen()) {
    if (!sane(seen)) {
      wrong = "words of " + seen.name().substr(0, kMostName) + ": numbers that cannot be";
    } else if (seen.name() != self_.first) {
      heard = seen_.take(now, seen, longer, passes(agent)) || heard;
    } else if (seen.birth() == self_.second) {
      // Somebody speaks in our name. What we say next goes before it.
      own_seen_ = std::max<std::uint64_t>(own_seen_, seen.version());
    }
  }
  if (!wrong.empty()) absurd(agent, from, wrong);
  if (heard) next_opinions_ = now;
}

// Who has the newer version of a row sends it; what is newer there is asked for, once.
void SharedState::take(Micros now, coordination::CoordinationProtocol& agent,
                       const coordination::Digest& digest, const std::string& who) {
  std::map<Life, std::uint64_t> marks;
  for (const coordination::VersionMark& m : digest.marks()) {
    if (marks.size() < 2 * kMarks) marks[{m.name(), m.birth()}] = m.version();
  }
  coordination::Digest back;
  back.set_from(digest.from());
  back.set_to(digest.to());
  bool lacks = false;
  std::vector<coordination::SharedStateMessage> out(1);
  std::size_t bytes = 0;
  for (const auto& [life, h] : counter_.rows().all()) {
    if (life.first < digest.from() || (!digest.to().empty() && life.first >= digest.to())) continue;
    if (back.marks_size() < static_cast<int>(2 * kMarks)) {
      coordination::VersionMark& mark = *back.add_marks();
      mark.set_name(life.first);
      mark.set_birth(life.second);
      mark.set_version(h.entry.version());
    }
    const auto mark = marks.find(life);
    const std::uint64_t theirs = mark == marks.end() ? 0 : mark->second;
    if (theirs > h.entry.version()) lacks = true;
    if (theirs >= h.entry.version()) continue;
    const std::size_t size = h.entry.ByteSizeLong() + 16;
    if (size > kMostRow) continue;
    if (bytes > 0 && bytes + size > settings_.most_bytes) {
      if (out.size() == kMostPackets) break;
      out.emplace_back();
      bytes = 0;
    }
    bytes += size;
    *out.back().mutable_news()->add_rows() = VersionedTable<coordination::CounterRow>::aged(now, h);
  }
  for (const auto& [life, version] : marks) lacks = lacks || counter_.rows().version(life) < version;
  for (coordination::SharedStateMessage& s : out) {
    if (s.has_news()) share(now, agent, who, std::move(s));
  }
  if (!lacks || !digest.answer()) return;
  coordination::SharedStateMessage s;
  *s.mutable_digest() = back;
  share(now, agent, who, std::move(s));
}

// ---- what goes out

std::vector<const membership::Peer*> SharedState::living(
    const coordination::CoordinationProtocol& agent) const {
  std::vector<const membership::Peer*> out;
  for (const auto& [name, p] : agent.membership().others()) {
    if (p.standing == coordination::ALIVE || p.standing == coordination::SUSPECT) out.push_back(&p);
  }
  return out;
}

int SharedState::passes(const coordination::CoordinationProtocol& agent) const {
  return 2 + static_cast<int>(std::log2(1.0 + static_cast<double>(agent.membership().others().size())) / 2);
}

void SharedState::share(Micros now, coordination::CoordinationProtocol& agent, const std::string& to,
                        coordination::SharedStateMessage share) {
  const auto it = agent.membership().others().find(to);
  if (it == agent.membership().others().end()) return;
  share.set_sent_us(now);
  share.set_unix_us(ports_.unix_time());
  ++counters_.sent;
  counters_.bytes += share.ByteSizeLong();
  agent.send_shared_state(to, it->second.at, share);
}

void SharedState::gossip(Micros now, coordination::CoordinationProtocol& agent) {
  const auto others = living(agent);
  coordination::SharedStateMessage s;
  std::size_t bytes = 0;
  const auto add = [&](auto& heard, auto adder) {
    for (auto& [life, h] : heard.all()) {
      const std::size_t size = h.entry.ByteSizeLong() + 16;
      if (h.passes <= 0 || size > kMostRow || (bytes > 0 && bytes + size > settings_.most_bytes)) continue;
      bytes += size;
      --h.passes;
      adder(h);
    }
  };
  add(seen_, [&](const auto& h) {
    *s.mutable_news()->add_seen() = VersionedTable<coordination::HealthObservations>::aged(now, h);
  });
  add(counter_.rows(), [&](const auto& h) {
    *s.mutable_news()->add_rows() = VersionedTable<coordination::CounterRow>::aged(now, h);
  });
  if (!s.has_news() || others.empty()) return;
  std::vector<const membership::Peer*> to;
  std::sample(others.begin(), others.end(), std::back_inserter(to), settings_.fan_out, random_);
  for (const membership::Peer* p : to) share(now, agent, p->name, s);
}

void SharedState::compare(Micros now, coordination::CoordinationProtocol& agent) {
  const auto others = living(agent);
  if (others.empty()) return;
  coordination::SharedStateMessage s;
  coordination::Digest& d = *s.mutable_digest();
  d.set_from(compared_);
  d.set_answer(true);
  compared_.clear();
  for (const auto& [life, h] : counter_.rows().all()) {
    if (life.first < d.from()) continue;
    if (d.marks_size() >= static_cast<int>(kMarks) && life.first != d.marks(d.marks_size() - 1).name()) {
      compared_ = life.first;
      break;
    }
    coordination::VersionMark& mark = *d.add_marks();
    mark.set_name(life.first);
    mark.set_birth(life.second);
    mark.set_version(h.entry.version());
  }
  d.set_to(compared_);
  ++counters_.digests;
  share(now, agent, others[random_() % others.size()]->name, std::move(s));
}

void SharedState::tell_opinions(Micros now, const coordination::CoordinationProtocol& agent) {
  std::erase_if(seen_.all(), [&](const auto& h) {
    return h.first != self_ && now - h.second.sealed > 4 * settings_.keep;
  });
  health_summaries_ = weigh(now, settings_, seen_, self_.first);
  std::set<std::string> sites{site_};
  std::size_t routers = 1;
  for (const membership::Peer* p : living(agent)) {
    ++routers;
    sites.insert(p->site);
  }
  ports_.opinions(health_summaries_, routers, sites.size());
  next_opinions_ = health_summaries_.empty() ? core::kNever : now + kOpinionTick;
}

void SharedState::tick(Micros now, coordination::CoordinationProtocol& agent) {
  if (now >= next_gossip_) {
    next_gossip_ = now + settings_.gossip;
    gossip(now, agent);
  }
  if (now >= next_compare_) {
    next_compare_ = now + settings_.compare / 2 +
                    static_cast<Micros>(random_() % static_cast<std::uint64_t>(settings_.compare));
    if (settings_.counts) compare(now, agent);
  }
  if (now >= next_opinions_) tell_opinions(now, agent);
  if (now >= next_bank_) {
    next_bank_ = quota_allocator_.open() ? now + kBankTick : core::kNever;
    quota_allocator_.record(agent.lease_table());
    if (is_bank(now, agent)) {
      for (const coordination::StockDraw& d : quota_allocator_.draws(now, fleet_time(now)))
        agent.draw_from_stock(now, d);
    }
  }
}

Micros SharedState::next_timer() const {
  return std::min({next_gossip_, next_compare_, next_opinions_, next_bank_});
}

// ---- what lasts

std::string SharedState::snapshot(Micros now) const {
  coordination::SharedStateUpdate news;
  for (const auto& [life, h] : counter_.rows().all())
    *news.add_rows() = VersionedTable<coordination::CounterRow>::aged(now, h);
  const std::string body = news.SerializeAsString();
  std::string out = kMagic;
  for (const std::uint32_t n : {kSnapshotVersion, static_cast<std::uint32_t>(body.size()), checksum(body)}) {
    for (int shift = 0; shift < 32; shift += 8) out += static_cast<char>(n >> shift);
  }
  return out + body;
}

std::string SharedState::restore(Micros now, std::string_view bytes) {
  if (bytes.empty()) return "";
  const auto number = [&](std::size_t at) {
    std::uint32_t n = 0;
    for (std::size_t i = 0; i < 4; ++i)
      n |= std::uint32_t{static_cast<unsigned char>(bytes[at + i])} << (8 * i);
    return n;
  };
  if (bytes.size() < 16 || bytes.substr(0, 4) != kMagic) return "it is no snapshot of counts";
  if (number(4) != kSnapshotVersion) return "it is of version " + std::to_string(number(4));
  const std::string_view body = bytes.substr(16);
  if (body.size() != number(8) || checksum(body) != number(12)) return "it is torn";
  coordination::SharedStateUpdate news;
  if (!news.ParseFromArray(body.data(), static_cast<int>(body.size()))) return "it cannot be read";
  // How old it is nobody knows: as old as a row can be.
  for (const coordination::CounterRow& row : news.rows()) counter_.take(now, row, kMostAge, 2);
  return "";
}

void SharedState::status(Micros now, const coordination::CoordinationProtocol& agent,
                         coordination::Status& out) const {
  coordination::SharedStatus& s = *out.mutable_shared();
  s = quota_holder_;
  s.set_bank(is_bank(now, agent));
  for (const auto& [key, t] : counter_.totals(now)) {
    auto& total = *s.add_totals();
    std::tie(*total.mutable_team(), *total.mutable_klass(), *total.mutable_site()) = key;
    total.set_served(t.count.served());
    total.set_refused(t.count.refused());
    total.set_failed(t.count.failed());
    total.set_tokens(t.count.tokens());
    total.set_worth(t.count.worth());
    total.set_most(t.most_served);
    total.set_age_us(t.oldest);
  }
  for (const ReplicaHealthSummary& o : health_summaries_) {
    auto& heard = *s.add_heard();
    heard.set_replica(o.replica);
    heard.set_bad(o.bad);
    heard.set_good(o.good);
    heard.set_sites(o.sites);
    heard.set_age_us(o.age);
    heard.set_avoided(avoided_.count(o.replica) > 0);
  }
  s.set_rows(counter_.rows().all().size());
  s.set_rows_dropped(counter_.rows().dropped());
  auto& counters = *s.mutable_counters();
  counters["sent"] = counters_.sent;
  counters["received"] = counters_.received;
  counters["bytes_sent"] = counters_.bytes;
  counters["absurd"] = counters_.absurd;
  counters["asks_passed"] = counters_.asks_passed;
  counters["no_bank"] = counters_.no_bank;
  counters["digests"] = counters_.digests;
  const QuotaAllocator::Counters& b = quota_allocator_.counters();
  counters["bank_asks"] = b.asks;
  counters["bank_again"] = b.again;
  counters["bank_parts"] = b.parts;
  counters["bank_dry"] = b.dry;
  counters["bank_returned"] = b.returned;
  counters["bank_unknown"] = b.unknown;
  counters["bank_draws"] = b.draws;
}

}  // namespace flintglade::shared
