#include "hot_restart/learned_state_codec.h"

#include <cmath>
#include <type_traits>

namespace flintglade::hot_restart {
namespace {

constexpr double kMaxNumber = 1e15;          // sums of larger numbers lose precision
constexpr double kMaxRelativeLatency = 1e6;  // in multiples of the latency objective
constexpr double kMaxPrefixWidening = 1000.0;

// Each convert() lists the fields of one type once, for both directions: `io` is an Encoder, whose field()
// stores the value in the message, or a Decoder, whose field() loads it from the message.
struct Encoder {
  template <typename Message, typename Getter, typename Setter, typename Value>
  void field(Message& message, Getter, Setter setter, Value& value) const {
    (message.*setter)(value);
  }
};

class Decoder {
 public:
  template <typename Message, typename Getter, typename Setter, typename Value>
  void field(Message& message, Getter getter, Setter, Value& value) {
    value = static_cast<Value>((message.*getter)());
    if constexpr (std::is_floating_point_v<Value>) {
      require(std::isfinite(value) && std::abs(value) < kMaxNumber);
    }
  }
  void require(bool condition) { valid_ = valid_ && condition; }
  bool valid() const { return valid_; }

 private:
  bool valid_ = true;
};

#define FLINTGLADE_FIELD(Type, name, value) io.field(message, &Type::name, &Type::set_##name, value)

template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::DecayingSum& sum) {
  FLINTGLADE_FIELD(State::Decayed, sum, sum.sum);
  FLINTGLADE_FIELD(State::Decayed, at, sum.updated_at);
}

template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::TimeInSystem& time) {
  FLINTGLADE_FIELD(State::Stay, area, time.in_flight_seconds);
  FLINTGLADE_FIELD(State::Stay, sends, time.arrivals);
  FLINTGLADE_FIELD(State::Stay, at, time.updated_at);
}

template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::ReplicaStatistics& replica) {
  FLINTGLADE_FIELD(State::Known, health, replica.health);
  FLINTGLADE_FIELD(State::Known, health_at, replica.health_updated_at);
  FLINTGLADE_FIELD(State::Known, cold_tokens, replica.slow_start_tokens);
  FLINTGLADE_FIELD(State::Known, cold_at, replica.slow_start_updated_at);
  convert(io, *message.mutable_stay(), replica.time_in_system);
  FLINTGLADE_FIELD(State::Known, full_until, replica.rejecting_until);
  FLINTGLADE_FIELD(State::Known, down_until, replica.unreachable_until);
  FLINTGLADE_FIELD(State::Known, down, replica.consecutive_connect_failures);
}

template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::PrefillCost& cost) {
  FLINTGLADE_FIELD(State::Kind, read_cost_s, cost.seconds_per_token);
  FLINTGLADE_FIELD(State::Kind, read_samples, cost.samples);
}

template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::ZoneState& zone) {
  FLINTGLADE_FIELD(State::Zone, down_until, zone.unreachable_until);
  FLINTGLADE_FIELD(State::Zone, down, zone.consecutive_connect_failures);
}

template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::PrefixState& prefix) {
  convert(io, *message.mutable_work(), prefix.work);
  FLINTGLADE_FIELD(State::Prefix, replicas, prefix.replicas);
}

// Everything except the tables.
template <typename Io, typename Message>
void convert(Io& io, Message& message, policy::LearnedState& learned) {
  FLINTGLADE_FIELD(State::Learned, started, learned.started_at);
  convert(io, *message.mutable_stay(), learned.time_in_system);
  convert(io, *message.mutable_arrived(), learned.arrived_work);
  convert(io, *message.mutable_seen(), learned.hot_window_work);
  convert(io, *message.mutable_late(), learned.late_answers);
  convert(io, *message.mutable_judged(), learned.answers);
  FLINTGLADE_FIELD(State::Learned, same, learned.same_prefix_pairs);
  FLINTGLADE_FIELD(State::Learned, pairs, learned.all_pairs);
  FLINTGLADE_FIELD(State::Learned, widen, learned.prefix_widening);
  FLINTGLADE_FIELD(State::Learned, admit, learned.admitted_share);
  FLINTGLADE_FIELD(State::Learned, keep, learned.own_zone_share);
  FLINTGLADE_FIELD(State::Learned, mean_value, learned.mean_value);
  FLINTGLADE_FIELD(State::Learned, raw_mean, learned.mean_raw_work);
  FLINTGLADE_FIELD(State::Learned, prompt_mean, learned.mean_prompt_tokens);
  FLINTGLADE_FIELD(State::Learned, fleet_peak, learned.peak_fleet_size);
  FLINTGLADE_FIELD(State::Learned, saved_retries, learned.retry_tokens);
  FLINTGLADE_FIELD(State::Learned, saved_hedges, learned.hedge_tokens);
}
#undef FLINTGLADE_FIELD

bool in_range(double value, double low, double high) { return value >= low && value <= high; }

bool tables_fit(const State::Learned& message) {
  return message.kinds_size() <= kMaxSnapshotKinds && message.zones_size() <= kMaxSnapshotKinds &&
         message.prefixes_size() <= kMaxSnapshotPrefixes && message.replicas_size() <= kMaxSnapshotReplicas &&
         message.slots_size() <= kMaxSnapshotReplicas && message.own_slots_size() <= kMaxSnapshotReplicas;
}

void decode_kinds(Decoder& io, State::Learned& message, policy::LearnedState& learned) {
  for (State::Kind& kind : *message.mutable_kinds()) {
    convert(io, *kind.mutable_stay(), learned.time_in_system_by_kind[kind.id()]);
    policy::PrefillCost& cost = learned.prefill_costs[kind.id()];
    convert(io, kind, cost);
    learned.largest_live_size[kind.id()] = kind.live_top();
    io.require(kind.live_top() >= 0.0 && kind.live_top() < kMaxNumber);
    io.require(cost.seconds_per_token >= 0.0 &&
               in_range(cost.samples, 0.0, policy::PrefillCost::kMaxSamples));
    io.require(cost.samples == 0.0 || cost.seconds_per_token > 0.0);  // the balancer takes its logarithm
  }
}

void decode_classes(Decoder& io, const State::Learned& message, policy::LearnedState& learned) {
  const auto plausible = [](double value) { return value >= 0.0 && value < kMaxRelativeLatency; };
  for (const State::Class& request_class : message.classes()) {
    learned.first_event_latency.push_back({request_class.wait_mean(), request_class.wait_spread()});
    learned.mean_class_work.push_back(request_class.work());
    io.require(plausible(request_class.wait_mean()) && plausible(request_class.wait_spread()) &&
               plausible(request_class.work()));
  }
}

void decode_tenants(Decoder& io, const State::Learned& message, policy::LearnedState& learned) {
  for (const State::Tenant& tenant : message.tenants()) {
    learned.quota_tokens.push_back(tenant.tokens());
    learned.quota_updated_at.push_back(tenant.at());
    io.require(std::abs(tenant.tokens()) < kMaxNumber && std::abs(tenant.at()) < kMaxNumber);
  }
}

void decode_replicas(Decoder& io, State::Learned& message, policy::LearnedState& learned) {
  for (State::Known& stored : *message.mutable_replicas()) {
    policy::ReplicaStatistics& replica = learned.replicas[stored.id()];
    convert(io, stored, replica);
    io.require(in_range(replica.health, 0.0, 1.0) && replica.consecutive_connect_failures >= 0);
  }
}

}  // namespace

void encode_learned_state(policy::LearnedState learned, State::Learned& message) {
  const Encoder io;
  convert(io, message, learned);
  for (auto& [id, time_in_system] : learned.time_in_system_by_kind) {
    State::Kind& kind = *message.add_kinds();
    kind.set_id(id);
    convert(io, *kind.mutable_stay(), time_in_system);
    convert(io, kind, learned.prefill_costs[id]);
    const auto largest = learned.largest_live_size.find(id);
    kind.set_live_top(largest == learned.largest_live_size.end() ? 0.0 : largest->second);
  }
  for (auto& [id, zone] : learned.zones) {
    State::Zone& stored = *message.add_zones();
    stored.set_id(id);
    convert(io, stored, zone);
  }
  for (auto& [id, prefix] : learned.prefixes) {
    if (message.prefixes_size() == kMaxSnapshotPrefixes) break;
    State::Prefix& stored = *message.add_prefixes();
    stored.set_id(id);
    convert(io, stored, prefix);
  }
  for (std::size_t i = 0; i < learned.first_event_latency.size(); ++i) {
    State::Class& stored = *message.add_classes();
    stored.set_wait_mean(learned.first_event_latency[i].mean);
    stored.set_wait_spread(learned.first_event_latency[i].mean_deviation);
    stored.set_work(learned.mean_class_work[i]);
  }
  for (std::size_t i = 0; i < learned.quota_updated_at.size(); ++i) {
    State::Tenant& stored = *message.add_tenants();
    stored.set_tokens(learned.quota_tokens[i]);
    stored.set_at(learned.quota_updated_at[i]);
  }
  for (auto& [id, replica] : learned.replicas) {
    State::Known& stored = *message.add_replicas();
    stored.set_id(id);
    convert(io, stored, replica);
  }
  message.mutable_slots()->Add(learned.slots.begin(), learned.slots.end());
  message.mutable_own_slots()->Add(learned.own_zone_slots.begin(), learned.own_zone_slots.end());
}

bool decode_learned_state(State::Learned& message, policy::LearnedState& learned) {
  if (!tables_fit(message)) return false;
  Decoder io;
  convert(io, message, learned);
  decode_kinds(io, message, learned);
  for (State::Zone& zone : *message.mutable_zones()) convert(io, zone, learned.zones[zone.id()]);
  for (State::Prefix& prefix : *message.mutable_prefixes()) {
    convert(io, prefix, learned.prefixes[prefix.id()]);
    io.require(prefix.replicas() >= 1);
  }
  decode_classes(io, message, learned);
  decode_tenants(io, message, learned);
  decode_replicas(io, message, learned);
  learned.slots.assign(message.slots().begin(), message.slots().end());
  learned.own_zone_slots.assign(message.own_slots().begin(), message.own_slots().end());
  io.require(learned.admitted_share > 0.0 && learned.admitted_share <= 1.0);
  io.require(in_range(learned.own_zone_share, 0.0, 1.0));
  io.require(in_range(learned.prefix_widening, 1.0, kMaxPrefixWidening));
  io.require(learned.mean_raw_work >= 0.0 && learned.mean_prompt_tokens >= 0.0);
  io.require(learned.time_in_system.arrivals >= 0.0 && learned.arrived_work.sum >= 0.0);
  return io.valid();
}

}  // namespace flintglade::hot_restart
