#include "shared/shared_state.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <map>
#include <utility>

#include "shared/counter_snapshot.h"

namespace flintglade::shared {
namespace {

constexpr Micros kAllocatorPeriod = 100 * core::kMilli;
constexpr std::size_t kMinClocks = 2;  // clocks of other routers needed to open a stock's window
constexpr Micros kSummaryPeriod = 250 * core::kMilli;
// Of an observation. Also added to the age of restored rows, since the time since they were saved is unknown.
constexpr Micros kMaxAge = 3600 * core::kSecond;
constexpr std::uint64_t kMaxVersion = std::uint64_t{1} << 53;
constexpr std::size_t kMaxNameBytes = 64;
constexpr int kDigestMarks = 40;
// Marks read from a digest, and sent in the answer to one: rows may have been added in the meantime.
constexpr int kMaxDigestMarks = 2 * kDigestMarks;
constexpr std::size_t kMaxAnswerPackets = 8;     // packets of rows in answer to one digest
constexpr std::size_t kMaxRowBytes = 48u << 10;  // a larger row does not fit a datagram
constexpr std::size_t kRowOverheadBytes = 16;    // protobuf tags and lengths around a row
constexpr int kOwnRowTransmissions = 4;
constexpr int kOwnObservationTransmissions = 5;
constexpr int kRestoredRowTransmissions = 2;
constexpr int kObservationTtls = 4;  // rows of observations are dropped after this many observation_ttl

using coordination::SharedStateMessage;

coordination::VersionMark version_mark(const ProcessId& process, std::uint64_t version) {
  coordination::VersionMark mark;
  mark.set_name(process.router);
  mark.set_birth(process.birth);
  mark.set_version(version);
  return mark;
}

bool in_range(const coordination::Digest& digest, const std::string& router) {
  return router >= digest.from() && (digest.to().empty() || router < digest.to());
}

std::map<ProcessId, std::uint64_t> versions_in(const coordination::Digest& digest) {
  std::map<ProcessId, std::uint64_t> versions;
  for (const coordination::VersionMark& mark : digest.marks()) {
    if (versions.size() < kMaxDigestMarks) versions[{mark.name(), mark.birth()}] = mark.version();
  }
  return versions;
}

}  // namespace

SharedState::SharedState(Settings settings, Ports ports, const membership::Self& self, std::uint64_t seed)
    : settings_(std::move(settings)),
      ports_(std::move(ports)),
      self_{self.name, self.birth},
      site_(self.site),
      random_(seed),
      quota_allocator_(settings_.budgets),
      counter_(settings_, self.name, self.birth, self.site),
      observations_(settings_.max_rows) {}

void SharedState::request_lease(Micros now, Protocol& protocol, const coordination::QuotaRequest& request,
                                bool to_peer) {
  if (!to_peer && is_allocator(now, protocol)) {
    const auto lease = quota_allocator_.allocate(now, self_.router, self_.birth, request);
    if (lease) ports_.on_lease(*lease);
    return;
  }
  SharedStateMessage message;
  *message.mutable_ask() = request;
  const membership::Peer* allocator = protocol.find_owner(kQuotaAllocatorLease);
  if (!to_peer && allocator != nullptr) return send(now, protocol, allocator->name, std::move(message));
  counters_.no_allocator += !to_peer;
  const auto members = living_members(protocol);
  if (members.empty()) return;
  ++counters_.requests_to_peers;
  send_to_random_member(now, protocol, members, std::move(message));
}

void SharedState::send_lease(Micros now, Protocol& protocol, const std::string& router,
                             const coordination::QuotaLease& lease) {
  SharedStateMessage message;
  *message.mutable_parcel() = lease;
  send(now, protocol, router, std::move(message));
}

void SharedState::return_lease(Micros now, Protocol& protocol, const coordination::QuotaReturn& message) {
  if (quota_allocator_.active() && quota_allocator_.fencing_token() == message.bank()) {
    quota_allocator_.take_back(now, self_.router, message);
    return;
  }
  // Returned only to the allocator that granted it: with any other, the amount could be granted twice.
  for (const coordination::Job& job : protocol.lease_table().jobs()) {
    if (job.name() != kQuotaAllocatorLease || job.number() != message.bank() || job.owner().empty()) continue;
    SharedStateMessage out;
    *out.mutable_back() = message;
    send(now, protocol, job.owner(), std::move(out));
  }
}

void SharedState::on_counts(Micros now, const ReplicatedCounter::Counts& counts) {
  if (!settings_.counts || !counter_.seal(now, counts)) return;
  counter_.table().rows()[self_].transmissions_left = kOwnRowTransmissions;
}

void SharedState::schedule_fold_seal(Micros now) {
  if (counter_.has_unsealed_folds()) next_fold_seal_ = std::min(next_fold_seal_, now + settings_.gossip);
}

// Otherwise the folded counts would be missing from all totals until this router counts a request of its own,
// which may never happen.
void SharedState::seal_folds(Micros now) {
  next_fold_seal_ = core::kNever;
  if (!settings_.counts || !counter_.seal_folds(now)) return;
  counter_.table().rows()[self_].transmissions_left = kOwnRowTransmissions;
}

void SharedState::on_observations(Micros now, std::vector<coordination::ReplicaObservation> observations) {
  coordination::HealthObservations row;
  row.set_name(self_.router);
  row.set_birth(self_.birth);
  row.set_site(site_);
  row.set_version(std::max(observations_.version(self_), max_own_version_) + 1);
  for (coordination::ReplicaObservation& observation : observations)
    *row.add_cases() = std::move(observation);
  observations_.merge(now, std::move(row), 0, kOwnObservationTransmissions);
  next_gossip_ = now;
}

bool SharedState::is_plausible(const coordination::HealthObservations& observations) const {
  const auto plausible_age = [](std::int64_t age) { return age >= 0 && age <= kMaxAge; };
  if (observations.name().empty() || observations.name().size() > kMaxNameBytes) return false;
  if (observations.site().size() > kMaxNameBytes || observations.birth() == 0) return false;
  if (observations.version() == 0 || observations.version() > kMaxVersion) return false;
  if (static_cast<std::size_t>(observations.cases_size()) > settings_.max_observations) return false;
  return plausible_age(observations.age_us()) &&
         std::all_of(observations.cases().begin(), observations.cases().end(),
                     [&](const coordination::ReplicaObservation& observation) {
                       return plausible_age(observation.age_us());
                     });
}

void SharedState::reject(Protocol& protocol, const std::string& router, const std::string& reason) {
  ++counters_.rejected;
  protocol.log_event("shared_state_message_rejected", {{"from", router}, {"why", reason}}, true);
}

void SharedState::receive(Micros now, Protocol& protocol, const coordination::JobNotification& notification) {
  using Kind = coordination::JobNotification::Kind;
  if (notification.kind == Kind::shared_state) return receive_message(now, protocol, notification);
  if (notification.job != kQuotaAllocatorLease) return;
  if (notification.kind == Kind::lease_acquired) {
    quota_allocator_.start(now, notification.number);
    next_allocator_run_ = now;
  } else if (notification.kind == Kind::lease_released) {
    quota_allocator_.stop();
    next_allocator_run_ = core::kNever;
  }
}

void SharedState::receive_message(Micros now, Protocol& protocol,
                                  const coordination::JobNotification& notification) {
  ++counters_.received;
  if (notification.sender.empty() || notification.sender.size() > kMaxNameBytes ||
      notification.sender == self_.router || notification.sender_start_time == 0) {
    return reject(protocol, notification.sender_address, "sender without a valid name or birth");
  }
  const SharedStateMessage& message = notification.shared_state;
  const Micros extra_delay =
      fleet_clock_.on_packet(now, notification.sender, notification.sender_start_time, message.sent_us());
  fleet_clock_.on_unix_time(now, notification.sender, message.unix_us());
  switch (message.what_case()) {
    case SharedStateMessage::kAsk:
      return receive_lease_request(now, protocol, notification.sender, notification.sender_start_time,
                                   message.ask());
    case SharedStateMessage::kParcel:
      return ports_.on_lease(message.parcel());
    case SharedStateMessage::kBack:
      quota_allocator_.take_back(now, notification.sender, message.back());
      return;
    case SharedStateMessage::kNews:
      return receive_update(now, protocol, message.news(), extra_delay, notification.sender);
    case SharedStateMessage::kDigest:
      return receive_digest(now, protocol, message.digest(), notification.sender);
    default:  // unknown to this program version
      return;
  }
}

void SharedState::receive_lease_request(Micros now, Protocol& protocol, const std::string& router,
                                        std::uint64_t birth, const coordination::QuotaRequest& request) {
  if (request.want() < 0 || request.want() > kMaxAmount || request.demand() < 0 ||
      request.demand() > kMaxAmount) {
    return reject(protocol, router, "lease request with an implausible amount");
  }
  if (!is_allocator(now, protocol)) return ports_.lend(router, request);
  const auto lease = quota_allocator_.allocate(now, router, birth, request);
  if (lease) send_lease(now, protocol, router, *lease);
}

void SharedState::receive_update(Micros now, Protocol& protocol,
                                 const coordination::SharedStateUpdate& update, Micros extra_delay,
                                 const std::string& router) {
  std::string reason;
  for (const coordination::CounterRow& row : update.rows()) {
    const absl::Status merged = counter_.merge(now, row, extra_delay, transmissions(protocol));
    if (merged.ok()) continue;
    reason = "row of " + row.name().substr(0, kMaxNameBytes) + ": " + std::string(merged.message());
  }
  schedule_fold_seal(now);
  bool new_observations = false;
  for (const coordination::HealthObservations& observations : update.seen()) {
    if (!is_plausible(observations)) {
      reason = "observations of " + observations.name().substr(0, kMaxNameBytes) +
               ": implausible names, numbers or sizes";
    } else if (receive_observations(now, protocol, observations, extra_delay)) {
      new_observations = true;
    }
  }
  if (!reason.empty()) reject(protocol, router, reason);
  if (new_observations) next_summaries_ = now;
}

bool SharedState::receive_observations(Micros now, const Protocol& protocol,
                                       const coordination::HealthObservations& observations,
                                       Micros extra_delay) {
  if (observations.name() != self_.router) {
    return observations_.merge(now, observations, extra_delay, transmissions(protocol));
  }
  // Another process uses this process's name and birth: this one's next version must be higher.
  if (observations.birth() == self_.birth) {
    max_own_version_ = std::max<std::uint64_t>(max_own_version_, observations.version());
  }
  return false;
}

SharedState::DigestAnswer SharedState::answer_to(Micros now, const coordination::Digest& digest) const {
  const auto versions = versions_in(digest);
  DigestAnswer answer;
  answer.packets.resize(1);
  answer.digest.set_from(digest.from());
  answer.digest.set_to(digest.to());
  std::size_t packet_bytes = 0;
  for (const auto& [process, row] : counter_.table().rows()) {
    if (!in_range(digest, process.router)) continue;
    if (answer.digest.marks_size() < kMaxDigestMarks) {
      *answer.digest.add_marks() = version_mark(process, row.entry.version());
    }
    const auto mark = versions.find(process);
    if (mark != versions.end() && mark->second >= row.entry.version()) continue;
    const std::size_t row_bytes = row.entry.ByteSizeLong() + kRowOverheadBytes;
    if (row_bytes > kMaxRowBytes) continue;
    if (packet_bytes > 0 && packet_bytes + row_bytes > settings_.max_packet_bytes) {
      if (answer.packets.size() == kMaxAnswerPackets) break;
      answer.packets.emplace_back();
      packet_bytes = 0;
    }
    packet_bytes += row_bytes;
    *answer.packets.back().mutable_news()->add_rows() = CounterRows::with_age(now, row);
  }
  if (!answer.packets.back().has_news()) answer.packets.pop_back();
  return answer;
}

bool SharedState::lacks_rows_of(const coordination::Digest& digest) const {
  const auto versions = versions_in(digest);
  return std::any_of(versions.begin(), versions.end(), [this](const auto& entry) {
    return counter_.table().version(entry.first) < entry.second;
  });
}

// Sends the rows that are newer here. If the digest's sender has newer rows, requests them with a digest that
// is not answered by another one.
void SharedState::receive_digest(Micros now, Protocol& protocol, const coordination::Digest& digest,
                                 const std::string& router) {
  DigestAnswer answer = answer_to(now, digest);
  for (SharedStateMessage& packet : answer.packets) send(now, protocol, router, std::move(packet));
  if (!lacks_rows_of(digest) || !digest.answer()) return;
  SharedStateMessage message;
  *message.mutable_digest() = std::move(answer.digest);
  send(now, protocol, router, std::move(message));
}

std::vector<const membership::Peer*> SharedState::living_members(const Protocol& protocol) {
  std::vector<const membership::Peer*> members;
  for (const auto& [name, member] : protocol.membership().others()) {
    if (membership::is_living(member.standing)) members.push_back(&member);
  }
  return members;
}

int SharedState::transmissions(const Protocol& protocol) {
  const double members = 1.0 + static_cast<double>(protocol.membership().others().size());
  return 2 + static_cast<int>(std::log2(members) / 2);
}

void SharedState::send(Micros now, Protocol& protocol, const std::string& router,
                       SharedStateMessage message) {
  const auto member = protocol.membership().others().find(router);
  if (member == protocol.membership().others().end()) {
    ++counters_.unknown_receivers;
    return;
  }
  message.set_sent_us(now);
  message.set_unix_us(ports_.unix_time());
  ++counters_.sent;
  counters_.bytes_sent += message.ByteSizeLong();
  protocol.send_shared_state(router, member->second.at, message);
}

void SharedState::send_to_random_member(Micros now, Protocol& protocol,
                                        const std::vector<const membership::Peer*>& members,
                                        SharedStateMessage message) {
  send(now, protocol, members[random_() % members.size()]->name, std::move(message));
}

// Observations first, since they expire sooner.
void SharedState::gossip(Micros now, Protocol& protocol) {
  const auto members = living_members(protocol);
  SharedStateMessage message;
  std::size_t bytes = 0;
  const auto add_rows = [&](auto& rows, const auto& add) {
    for (auto& [process, row] : rows) {
      const std::size_t row_bytes = row.entry.ByteSizeLong() + kRowOverheadBytes;
      const bool fits = bytes == 0 || bytes + row_bytes <= settings_.max_packet_bytes;
      if (row.transmissions_left <= 0 || row_bytes > kMaxRowBytes || !fits) continue;
      bytes += row_bytes;
      --row.transmissions_left;
      add(row);
    }
  };
  add_rows(observations_.rows(), [&](const ObservationRows::Row& row) {
    *message.mutable_news()->add_seen() = ObservationRows::with_age(now, row);
  });
  add_rows(counter_.table().rows(), [&](const CounterRows::Row& row) {
    *message.mutable_news()->add_rows() = CounterRows::with_age(now, row);
  });
  if (!message.has_news() || members.empty()) return;
  std::vector<const membership::Peer*> receivers;
  std::sample(members.begin(), members.end(), std::back_inserter(receivers), settings_.fan_out, random_);
  for (const membership::Peer* receiver : receivers) send(now, protocol, receiver->name, message);
}

// Covers the rows that follow those of the last digest, so that successive digests cycle through all rows.
void SharedState::send_digest(Micros now, Protocol& protocol) {
  const auto members = living_members(protocol);
  if (members.empty()) return;
  SharedStateMessage message;
  coordination::Digest& digest = *message.mutable_digest();
  digest.set_from(next_digest_from_);
  digest.set_answer(true);
  next_digest_from_.clear();
  for (const auto& [process, row] : counter_.table().rows()) {
    if (process.router < digest.from()) continue;
    const bool full = digest.marks_size() >= kDigestMarks;
    if (full && process.router != digest.marks(digest.marks_size() - 1).name()) {
      next_digest_from_ = process.router;
      break;
    }
    *digest.add_marks() = version_mark(process, row.entry.version());
  }
  digest.set_to(next_digest_from_);
  ++counters_.digests;
  send_to_random_member(now, protocol, members, std::move(message));
}

void SharedState::publish_health_summaries(Micros now, const Protocol& protocol) {
  std::erase_if(observations_.rows(), [&](const auto& entry) {
    return entry.first != self_ && now - entry.second.sealed > kObservationTtls * settings_.observation_ttl;
  });
  health_summaries_ = summarize_health(now, settings_, observations_, self_.router);
  const auto members = living_members(protocol);
  std::set<std::string> sites{site_};
  for (const membership::Peer* member : members) sites.insert(member->site);
  ports_.on_health_summaries(health_summaries_, {members.size() + 1, sites.size()});
  next_summaries_ = health_summaries_.empty() ? core::kNever : now + kSummaryPeriod;
}

void SharedState::run_allocator(Micros now, Protocol& protocol) {
  next_allocator_run_ = quota_allocator_.active() ? now + kAllocatorPeriod : core::kNever;
  quota_allocator_.on_record(protocol.lease_table());
  if (!is_allocator(now, protocol)) return;
  // With too few other clocks to outvote its own, a router whose clock is wrong would open the wrong window.
  const std::size_t others = living_members(protocol).size();
  if (fleet_clock_.known_clocks(now) < std::min(kMinClocks, others)) {
    ++counters_.too_few_clocks;
    return;
  }
  const Micros fleet_unix_time = fleet_clock_.fleet_unix_time(now, ports_.unix_time());
  for (const coordination::StockDraw& draw : quota_allocator_.due_draws(now, fleet_unix_time)) {
    protocol.draw_from_stock(now, draw);
  }
}

void SharedState::tick(Micros now, Protocol& protocol) {
  if (now >= next_fold_seal_) seal_folds(now);
  if (now >= next_gossip_) {
    next_gossip_ = now + settings_.gossip;
    gossip(now, protocol);
  }
  if (now >= next_digest_) {
    const auto jitter = static_cast<Micros>(random_() % static_cast<std::uint64_t>(settings_.compare));
    next_digest_ = now + settings_.compare / 2 + jitter;
    if (settings_.counts) send_digest(now, protocol);
  }
  if (now >= next_summaries_) publish_health_summaries(now, protocol);
  if (now >= next_allocator_run_) run_allocator(now, protocol);
}

Micros SharedState::next_timer() const {
  return std::min({next_gossip_, next_digest_, next_summaries_, next_allocator_run_, next_fold_seal_});
}

std::string SharedState::snapshot(Micros now) const {
  coordination::SharedStateUpdate rows;
  for (const auto& [process, row] : counter_.table().rows())
    *rows.add_rows() = CounterRows::with_age(now, row);
  return encode_counter_snapshot(rows);
}

absl::Status SharedState::restore(Micros now, std::string_view bytes) {
  if (bytes.empty()) return absl::OkStatus();
  const auto rows = decode_counter_snapshot(bytes);
  if (!rows.ok()) return rows.status();
  for (const coordination::CounterRow& row : rows->rows()) {
    // An implausible row is skipped; the others are still used.
    counter_.merge(now, row, kMaxAge, kRestoredRowTransmissions).IgnoreError();
  }
  schedule_fold_seal(now);
  return absl::OkStatus();
}

void SharedState::status(Micros now, const Protocol& protocol, coordination::Status& out) const {
  coordination::SharedStatus& shared = *out.mutable_shared();
  shared = quota_status_;
  shared.set_bank(is_allocator(now, protocol));
  for (const auto& [key, total] : counter_.totals(now)) {
    auto& row = *shared.add_totals();
    row.set_team(key.team);
    row.set_klass(key.request_class);
    row.set_site(key.site);
    row.set_served(total.count.served());
    row.set_refused(total.count.refused());
    row.set_failed(total.count.failed());
    row.set_tokens(total.count.tokens());
    row.set_worth(total.count.worth());
    row.set_most(total.max_served);
    row.set_age_us(total.oldest);
  }
  for (const ReplicaHealthSummary& summary : health_summaries_) {
    auto& row = *shared.add_heard();
    row.set_replica(summary.replica);
    row.set_bad(summary.bad);
    row.set_good(summary.good);
    row.set_sites(summary.sites);
    row.set_age_us(summary.age);
    row.set_avoided(avoided_.contains(summary.replica));
  }
  shared.set_rows(counter_.table().rows().size());
  shared.set_rows_dropped(counter_.table().dropped());
  // Operators' scripts read these keys, so they must not change.
  auto& counters = *shared.mutable_counters();
  counters["sent"] = counters_.sent;
  counters["received"] = counters_.received;
  counters["bytes_sent"] = counters_.bytes_sent;
  counters["absurd"] = counters_.rejected;
  counters["asks_passed"] = counters_.requests_to_peers;
  counters["no_bank"] = counters_.no_allocator;
  counters["digests"] = counters_.digests;
  counters["too_few_clocks"] = counters_.too_few_clocks;
  counters["unknown_receivers"] = counters_.unknown_receivers;
  counters["counter_folds"] = counter_.counters().folds;
  counters["counter_rows_superseded"] = counter_.counters().superseded;
  counters["counter_rows_not_counted"] = counter_.counters().not_counted;
  const QuotaAllocator::Counters& allocator = quota_allocator_.counters();
  counters["bank_asks"] = allocator.requests;
  counters["bank_again"] = allocator.repeated;
  counters["bank_parts"] = allocator.leases;
  counters["bank_dry"] = allocator.refusals;
  counters["bank_returned"] = allocator.returned;
  counters["bank_unknown"] = allocator.unknown;
  counters["bank_draws"] = allocator.draws;
}

}  // namespace flintglade::shared
