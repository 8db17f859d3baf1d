#include "hot_restart/snapshot.h"

#include <zlib.h>

#include <algorithm>
#include <cmath>
#include <cstring>

#include "hot_restart.pb.h"

namespace flintglade::hot_restart {
namespace {

using core::Micros;

constexpr std::size_t kHead = 16;
constexpr char kMagic[] = "fgst";
constexpr int kMostReplicas = 4096, kMostPrefixes = 8192, kMostKinds = 256;

std::uint32_t checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}
void put(std::string& out, std::uint32_t x) {
  for (int i = 0; i < 4; ++i) out += static_cast<char>(x >> (8 * i) & 0xff);
}
std::uint32_t get(std::string_view from, std::size_t at) {
  std::uint32_t x = 0;
  for (std::size_t i = 0; i < 4; ++i)
    x |= static_cast<std::uint32_t>(static_cast<unsigned char>(from[at + i])) << (8 * i);
  return x;
}

// One place says which field is which, for both ways: io is an Out or an In, and its field() writes or reads.
struct Out {
  template <typename Message, typename Get, typename Set, typename T>
  void field(Message& m, Get, Set set, T& value) const {
    (m.*set)(value);
  }
};
struct In {
  // Numbers that no writer of ours gives: out of hand, or none.
  mutable bool sound = true;
  template <typename Message, typename Get, typename Set, typename T>
  void field(Message& m, Get get, Set, T& value) const {
    value = static_cast<T>((m.*get)());
    if constexpr (std::is_floating_point_v<T>)
      sound = sound && std::isfinite(value) && std::abs(value) < 1e15;
  }
};
#define FIELD(Type, name, value) io.field(m, &Type::name, &Type::set_##name, value)

template <typename Io, typename M>
void all(const Io& io, M& m, policy::DecayingSum& d) {
  FIELD(State::Decayed, sum, d.sum);
  FIELD(State::Decayed, at, d.updated_at);
}
template <typename Io, typename M>
void all(const Io& io, M& m, policy::TimeInSystem& s) {
  FIELD(State::Stay, area, s.in_flight_seconds);
  FIELD(State::Stay, sends, s.arrivals);
  FIELD(State::Stay, at, s.updated_at);
}
template <typename Io, typename M>
void all(const Io& io, M& m, policy::ReplicaStatistics& k) {
  FIELD(State::Known, health, k.health);
  FIELD(State::Known, health_at, k.health_updated_at);
  FIELD(State::Known, cold_tokens, k.slow_start_tokens);
  FIELD(State::Known, cold_at, k.slow_start_updated_at);
  all(io, *m.mutable_stay(), k.time_in_system);
  FIELD(State::Known, full_until, k.rejecting_until);
  FIELD(State::Known, down_until, k.unreachable_until);
  FIELD(State::Known, down, k.consecutive_connect_failures);
}
template <typename Io, typename M>
void all(const Io& io, M& m, policy::PrefillCost& c) {
  FIELD(State::Kind, read_cost_s, c.seconds_per_token);
  FIELD(State::Kind, read_samples, c.samples);
}
template <typename Io, typename M>
void all(const Io& io, M& m, policy::ZoneState& z) {
  FIELD(State::Zone, down_until, z.unreachable_until);
  FIELD(State::Zone, down, z.consecutive_connect_failures);
}
template <typename Io, typename M>
void all(const Io& io, M& m, policy::PrefixState& p) {
  all(io, *m.mutable_work(), p.work);
  FIELD(State::Prefix, replicas, p.replicas);
}
template <typename Io, typename M>
void sums(const Io& io, M& m, policy::LearnedState& l) {
  FIELD(State::Learned, started, l.started_at);
  all(io, *m.mutable_stay(), l.time_in_system);
  all(io, *m.mutable_arrived(), l.arrived_work);
  all(io, *m.mutable_seen(), l.hot_window_work);
  all(io, *m.mutable_late(), l.late_answers);
  all(io, *m.mutable_judged(), l.answers);
  FIELD(State::Learned, same, l.same_prefix_pairs);
  FIELD(State::Learned, pairs, l.all_pairs);
  FIELD(State::Learned, widen, l.prefix_widening);
  FIELD(State::Learned, admit, l.admitted_share);
  FIELD(State::Learned, keep, l.own_zone_share);
  FIELD(State::Learned, mean_value, l.mean_value);
  FIELD(State::Learned, raw_mean, l.mean_raw_work);
  FIELD(State::Learned, prompt_mean, l.mean_prompt_tokens);
  FIELD(State::Learned, fleet_peak, l.peak_fleet_size);
  FIELD(State::Learned, saved_retries, l.retry_tokens);
  FIELD(State::Learned, saved_hedges, l.hedge_tokens);
}
#undef FIELD

void write(policy::LearnedState l, State::Learned& m) {
  const Out io;
  sums(io, m, l);
  for (auto& [id, stay] : l.time_in_system_by_kind) {
    State::Kind& to = *m.add_kinds();
    to.set_id(id);
    all(io, *to.mutable_stay(), stay);
    all(io, to, l.prefill_costs[id]);
    const auto top = l.largest_live_size.find(id);
    to.set_live_top(top == l.largest_live_size.end() ? 0.0 : top->second);
  }
  for (auto& [id, zone] : l.zones) {
    State::Zone& to = *m.add_zones();
    to.set_id(id);
    all(io, to, zone);
  }
  for (auto& [id, prefix] : l.prefixes) {
    if (m.prefixes_size() == kMostPrefixes) break;
    State::Prefix& to = *m.add_prefixes();
    to.set_id(id);
    all(io, to, prefix);
  }
  for (std::size_t i = 0; i < l.first_event_latency.size(); ++i) {
    State::Class& to = *m.add_classes();
    to.set_wait_mean(l.first_event_latency[i].mean);
    to.set_wait_spread(l.first_event_latency[i].mean_deviation);
    to.set_work(l.mean_class_work[i]);
  }
  for (std::size_t i = 0; i < l.quota_updated_at.size(); ++i) {
    State::Tenant& to = *m.add_tenants();
    to.set_tokens(l.quota_tokens[i]);
    to.set_at(l.quota_updated_at[i]);
  }
  for (auto& [id, known] : l.replicas) {
    State::Known& to = *m.add_replicas();
    to.set_id(id);
    all(io, to, known);
  }
  m.mutable_slots()->Add(l.slots.begin(), l.slots.end());
  m.mutable_own_slots()->Add(l.own_zone_slots.begin(), l.own_zone_slots.end());
}

// False: it holds what no writer of ours gives.
bool read(State::Learned& m, policy::LearnedState& l) {
  const In io;
  if (m.kinds_size() > kMostKinds || m.zones_size() > kMostKinds || m.prefixes_size() > kMostPrefixes ||
      m.replicas_size() > kMostReplicas || m.slots_size() > kMostReplicas ||
      m.own_slots_size() > kMostReplicas)
    return false;
  sums(io, m, l);
  for (State::Kind& from : *m.mutable_kinds()) {
    all(io, *from.mutable_stay(), l.time_in_system_by_kind[from.id()]);
    policy::PrefillCost& cost = l.prefill_costs[from.id()];
    all(io, from, cost);
    l.largest_live_size[from.id()] = from.live_top();
    io.sound = io.sound && from.live_top() >= 0.0 && from.live_top() < 1e15 &&
               cost.seconds_per_token >= 0.0 && cost.samples >= 0.0 &&
               cost.samples <= policy::PrefillCost::kMaxSamples &&
               (cost.samples == 0.0 || cost.seconds_per_token > 0.0);  // its logarithm is taken
  }
  for (State::Zone& from : *m.mutable_zones()) all(io, from, l.zones[from.id()]);
  for (State::Prefix& from : *m.mutable_prefixes()) {
    all(io, from, l.prefixes[from.id()]);
    io.sound = io.sound && from.replicas() >= 1;
  }
  for (const State::Class& from : m.classes()) {
    l.first_event_latency.push_back({from.wait_mean(), from.wait_spread()});
    l.mean_class_work.push_back(from.work());
    io.sound = io.sound && from.wait_mean() >= 0.0 && from.wait_mean() < 1e6 && from.wait_spread() >= 0.0 &&
               from.wait_spread() < 1e6 && from.work() >= 0.0 && from.work() < 1e6;
  }
  for (const State::Tenant& from : m.tenants()) {
    l.quota_tokens.push_back(from.tokens());
    l.quota_updated_at.push_back(from.at());
    io.sound = io.sound && std::abs(from.tokens()) < 1e15 && std::abs(from.at()) < 1e15;
  }
  for (State::Known& from : *m.mutable_replicas()) {
    policy::ReplicaStatistics& known = l.replicas[from.id()];
    all(io, from, known);
    io.sound =
        io.sound && known.health >= 0.0 && known.health <= 1.0 && known.consecutive_connect_failures >= 0;
  }
  l.slots.assign(m.slots().begin(), m.slots().end());
  l.own_zone_slots.assign(m.own_slots().begin(), m.own_slots().end());
  return io.sound && l.admitted_share > 0.0 && l.admitted_share <= 1.0 && l.own_zone_share >= 0.0 &&
         l.own_zone_share <= 1.0 && l.prefix_widening >= 1.0 && l.prefix_widening <= 1000.0 &&
         l.mean_raw_work >= 0.0 && l.mean_prompt_tokens >= 0.0 && l.time_in_system.arrivals >= 0.0 &&
         l.arrived_work.sum >= 0.0;
}

}  // namespace

std::string encode_snapshot(const core::Broker::ProcessSnapshot& from, const Origin& writer, Micros now) {
  State state;
  state.set_router(writer.router);
  state.set_discovery(writer.discovery);
  state.set_began_us(writer.began);
  state.set_written_us(now);
  state.set_unix_less_monotonic_us(writer.unix_less_monotonic);
  state.set_version(from.version);
  for (const core::Endpoint& e : from.entries) {
    State::Replica& to = *state.add_replicas();
    to.set_id(e.replica.id);
    to.set_address(e.address);
    to.set_zone(e.replica.zone);
    to.set_kind(e.replica.kind);
    to.set_cell(e.replica.cell);
    to.set_health(static_cast<std::uint32_t>(e.replica.health));
    to.set_size(e.replica.size);
    if (e.replica.started_at != 0.0)
      to.set_born_unix_us(std::llround(e.replica.started_at * 1e6) + writer.unix_less_monotonic);
  }
  for (const core::Broker::ProcessSnapshot::RetiredReplica& w : from.retired) {
    State::Word& to = *state.add_retired();
    to.set_replica(w.replica);
    to.set_since_us(w.since);
    to.set_version(w.version);
  }
  write(from.learned, *state.mutable_learned());
  const std::string body = state.SerializeAsString();
  std::string out(kMagic, 4);
  put(out, kSnapshotVersion);
  put(out, static_cast<std::uint32_t>(body.size()));
  put(out, checksum(body));
  return out + body;
}

std::string decode_snapshot(std::string_view bytes, const Origin& reader, Micros now,
                            core::Broker::ProcessSnapshot& out, bool& same_list) {
  if (bytes.size() < kHead || bytes.substr(0, 4) != std::string_view(kMagic, 4))
    return "it is no state of a router";
  if (get(bytes, 4) != kSnapshotVersion) return "it is of version " + std::to_string(get(bytes, 4));
  const std::string_view body = bytes.substr(kHead);
  if (body.size() > kMaxSnapshotBytes || body.size() != get(bytes, 8) || checksum(body) != get(bytes, 12))
    return "it is torn";
  State state;
  if (!state.ParseFromArray(body.data(), static_cast<int>(body.size()))) return "it cannot be read";
  if (state.router() != reader.router) return "it is another router's";
  if (std::abs(state.unix_less_monotonic_us() - reader.unix_less_monotonic) > kClocksApart)
    return "its clock is another one";
  if (state.began_us() >= reader.began) return kWriterNotOlder;
  if (state.written_us() > now || now - state.written_us() > kMaxSnapshotAge) return "it is old";
  if (state.replicas_size() > kMostReplicas || state.retired_size() > kMostReplicas) return "it is too large";
  out = {};
  same_list = state.discovery() == reader.discovery;
  out.version = state.version();
  for (const State::Replica& from : state.replicas()) {
    core::Endpoint e;
    e.address = from.address();
    e.replica.id = from.id();
    e.replica.zone = from.zone();
    e.replica.kind = from.kind();
    e.replica.cell = from.cell();
    e.replica.health = from.health() == 1   ? policy::Health::ready
                       : from.health() == 2 ? policy::Health::draining
                                            : policy::Health::gone;
    e.replica.size = from.size();
    // By the reader's own offset, as the list will tell it: the same start may not look like another.
    if (from.born_unix_us() != 0)
      e.replica.started_at = static_cast<double>(from.born_unix_us() - reader.unix_less_monotonic) / 1e6;
    out.entries.push_back(std::move(e));
  }
  for (const State::Word& from : state.retired())
    out.retired.push_back({from.replica(), std::min(from.since_us(), now), from.version()});
  return read(*state.mutable_learned(), out.learned) ? "" : "it holds numbers that cannot be";
}

}  // namespace flintglade::hot_restart
