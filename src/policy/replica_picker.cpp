#include "policy/replica_picker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace flintglade::policy {
namespace {

// Salts of the hashes that decide whether a replica accepts a key, to make them independent of placement.
constexpr std::uint64_t kCapacitySalt = 0x517e, kShareSalt = 0xc01d;

// Whether both replicas are in the scope within which repeats of one idempotency key are dropped.
bool same_scope(const ClassSettings& request_class, const Replica& first, const Replica& second) {
  switch (request_class.idempotency_scope) {
    case IdempotencyScope::zone:
      return first.zone == second.zone;
    case IdempotencyScope::cell:
      return first.cell == second.cell;
    case IdempotencyScope::all:
      break;
  }
  return true;
}

}  // namespace

ReplicaPicker::ReplicaPicker(const Settings& settings, ReplicaTable& replicas,
                             const ReplicaCapacity& capacity, const ReplicaLoad& load,
                             const OutlierDetection& outliers, SlowStart& slow_start,
                             const ZonePreference& zones)
    : settings_(settings),
      replicas_(replicas),
      capacity_(capacity),
      load_(load),
      outliers_(outliers),
      slow_start_(slow_start),
      zones_(zones) {}

int ReplicaPicker::pick(const Request& request, double now) {
  if (zones_.prefers_own_zone(request)) {
    const int index = pick_from_slots(request, own_zone_slots_, Strictness::healthy, now);
    if (index >= 0) return index;
  }
  int index = pick_from_slots(request, slots_, Strictness::healthy, now);
  if (index < 0) index = pick_from_slots(request, slots_, Strictness::reachable, now);
  // The rehashes may have missed all eligible replicas.
  if (index < 0) index = first_eligible(request, Strictness::reachable, now);
  if (index < 0) index = first_eligible(request, Strictness::allowed, now);
  return index;
}

bool ReplicaPicker::any_candidate_left(const Request& request) const {
  for (std::size_t i = 0; i < replicas_.size(); ++i) {
    if (is_candidate(request, static_cast<int>(i))) return true;
  }
  return false;
}

// Whether the replica is ready, not tried yet, and allowed by the idempotency of the request's class.
bool ReplicaPicker::is_candidate(const Request& request, int index) const {
  const ReplicaState& state = replicas_[index];
  if (!state.ready()) return false;
  const ClassSettings& request_class = class_of(request, settings_);
  for (const Attempt& attempt : request.attempts) {
    if (attempt.replica_index == index) return false;
    const bool may_have_effect = attempt.may_have_run || attempt.in_flight;
    if (request_class.semantics != Semantics::idempotency_key || !may_have_effect) continue;
    if (!same_scope(request_class, replicas_[attempt.replica_index].replica, state.replica)) return false;
  }
  return true;
}

bool ReplicaPicker::is_eligible(const Request& request, int index, Strictness strictness, double now) {
  if (!is_candidate(request, index)) return false;
  const ReplicaState& state = replicas_[index];
  if (strictness >= Strictness::reachable && outliers_.is_unreachable(state, now)) return false;
  if (strictness >= Strictness::healthy) {
    if (load_.is_overloaded(index, now)) return false;
    const double share = outliers_.kept_share(state, slow_start_.warm_share(state, now), now);
    if (unit_interval(mix(request.key ^ kShareSalt, state.replica.id)) >= share) return false;
  }
  return slow_start_.allows(request, index, now);
}

// Tries the key's sequence of slots: the jump hash of the key, then of the key rehashed with the step number.
// Replicas accept only the fraction of keys that matches their size; those that accept this key are the key's
// own replicas, and a hot prefix starts at the one selected by the session (first_choice).
int ReplicaPicker::pick_from_slots(const Request& request, const SlotTable& table, Strictness strictness,
                                   double now) {
  const auto slots = static_cast<std::int32_t>(table.slots().size());
  if (slots == 0) return -1;
  std::array<int, kMaxRehashes> own_replicas{};
  int found = 0;
  for (int step = 0; step < kMaxRehashes; ++step) {
    const std::uint64_t key = step == 0 ? request.key : mix(request.key, step);
    const std::int32_t slot = jump_hash(key, slots);
    const int index = table.slots()[slot];
    if (table.is_tombstone(slot)) continue;
    const auto end_of_found = own_replicas.begin() + found;
    if (std::find(own_replicas.begin(), end_of_found, index) != end_of_found) continue;
    const double draw = unit_interval(mix(key ^ kCapacitySalt, replicas_[index].replica.id));
    if (draw > capacity_.key_acceptance(index)) continue;
    own_replicas[found++] = index;
    if (found > request.first_choice && is_eligible(request, index, strictness, now)) return index;
  }
  for (int i = 0; i < found; ++i) {
    if (is_eligible(request, own_replicas[i], strictness, now)) return own_replicas[i];
  }
  return -1;
}

int ReplicaPicker::first_eligible(const Request& request, Strictness strictness, double now) {
  for (const int index : slots_.members()) {
    if (is_eligible(request, index, strictness, now)) return index;
  }
  return -1;
}

void ReplicaPicker::update_slots() {
  std::vector<int> ready = replicas_.ready_in_start_order();
  slots_.update(replicas_, ready, settings_.slots);
  std::erase_if(
      ready, [this](int index) { return static_cast<int>(replicas_[index].replica.zone) != settings_.zone; });
  own_zone_slots_.update(replicas_, ready, settings_.slots);
}

void ReplicaPicker::restore_slots(const std::vector<std::uint64_t>& slots,
                                  const std::vector<std::uint64_t>& own_zone_slots) {
  if (settings_.slots > 0) return;
  restore(slots_, slots);
  restore(own_zone_slots_, own_zone_slots);
}

// Includes the slots of replicas that have left: without these, the slot numbers would shift and most keys
// would move to other replicas.
void ReplicaPicker::restore(SlotTable& table, const std::vector<std::uint64_t>& ids) {
  std::vector<int> slots;
  slots.reserve(ids.size());
  for (const ReplicaId id : ids) slots.push_back(replicas_.find_or_add(id));
  table.restore(std::move(slots));
}

void ReplicaPicker::append_ids(const SlotTable& table, std::vector<std::uint64_t>& ids) const {
  for (const int index : table.slots()) {
    const bool is_filled = index >= 0;  // fixed slots are empty until a replica is ready
    if (is_filled) ids.push_back(replicas_[index].replica.id);
  }
}

}  // namespace flintglade::policy
