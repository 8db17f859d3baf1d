// The decision module: takes the host's events, decides with its parts (slot_table: placement; admission;
// retry_rules), and keeps replicas' health, cold starts and holds itself. The interface, with its types,
// events and actions: include/flintglade/policy/balancer.h
//
// The ordinary path: a request's key (its prefix or its session) is put on a slot by jump consistent hash
// over the ready replicas in order of start time and id. Everything below that is not this path is an
// exception; docs/design.md lists each with the condition under which it acts.
#include "flintglade/policy/balancer.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <map>
#include <unordered_map>
#include <utility>

#include "policy/admission.h"
#include "policy/learned_state.h"
#include "policy/replica_state.h"
#include "policy/request.h"
#include "policy/retry_rules.h"
#include "policy/settings_validation.h"
#include "policy/slot_table.h"

namespace flintglade::policy {
namespace {

// ---- policy constants -------------------------------------------------------------------------------------
// A prefix is the key when it is at least this part of the prompt, or of the mean one if that is shorter:
// below, what a hit saves is less than what a few short prefixes cost by piling onto few replicas.
constexpr double kPrefixPart = 0.5;
// Rough and live sizes understate how far machines differ: a large one is hardly ever seen without load.
constexpr double kMutedPower = 1.6;
// A prefix takes as many replicas as keep its load on each under this part of a replica's fair share.
constexpr double kHotPart = 0.35;
// Observed work is forgotten over this many class aims: long enough for a few dozen requests at each router.
constexpr double kMemoryAims = 10.0;
// Prefixes are spread wider while fewer than this part of their requests find nothing kept.
constexpr double kFirstWiden = 2.0, kMissTarget = 0.1, kWidenStep = 0.2, kWidest = 50.0;
constexpr double kRecentPart = 0.3;   // of that time, the answers by which requests are admitted
constexpr double kFirstGuess = 50.0;  // before repeats are seen, one request in so many shares a prefix
constexpr double kHotMemory = 3.0;    // prefixes stay popular for longer
// Crossings at this price or above put slots of the own zone first: a twentieth of a request's worth each.
constexpr double kDearCrossing = 0.05;
// The own zone takes all its keys until its capacity falls under this part of an even split.
constexpr double kZoneSlack = 0.7;
// Tenants' quotas add up to about this part of what the fleet can do.
constexpr double kQuotaPart = 0.8;
// A cold replica gets this part of the budget under which it falls; the rest is for what others misjudge.
constexpr double kColdPart = 0.5;
// The fleet's largest size is forgotten this much more slowly than arrivals: longer than a release takes.
constexpr double kFleetMemory = 10.0;
// A replica is an outlier below this part of the mean health; above it, picks are ordinary.
constexpr double kOutlier = 0.7;
// Mean stays and speeds are drawn to the usual one by so many; a replica whose stay is this many times the
// usual declines keys, and a kind's speed counts for no more than this.
constexpr double kStaysOfReplica = 2.0, kStaysOfKind = 4.0, kSpeedDrawn = 0.5;
constexpr double kLongStay = 2.0, kMostSpeed = 4.0;
// A replica is crowded when it has more of this router's attempts for its size than this many times the mean
// over all ready ones, and more than so many at all; it declines further keys until it has fewer.
constexpr double kCrowd = 1.5, kCrowdFrom = 6;
constexpr double kFullFor = 1.0;  // one that turned a request away is passed over: it may be draining
// One that could not be reached is passed over for this long, twice that the next time, and so on; and so is
// its zone once so many calls there in a row could not connect: else each replica there would cost a failure.
constexpr double kDownFor = 0.5;
constexpr int kDownMost = 3, kZoneRow = 2;
// Second copies and further attempts for each first one, and how many may be saved up.
constexpr double kRetryRate = 0.2, kRetrySaved = 10.0;
// The second copy goes out between these parts of the aim, where the class's usual wait puts it.
constexpr double kHedgeRate = 0.015, kHedgeFrom = 0.5, kHedgeTo = 0.9;
// A request that nothing may take is held for this part of the time that its client waits, at the most.
constexpr double kHoldPart = 0.5;
// The longest mean wait between asks of a list that fails: releases go on meanwhile, unseen.
constexpr double kMostAskWait = 2.0;
// The same where an agent beside the router is asked: what it has counts as told, whether or not it was
// asked.
constexpr double kMostAgentWait = 0.25;
// How many rehashes look for a slot before the first fit in table order is taken.
constexpr int kMostRehashes = 48;
// The table of prefixes is bounded by this; beyond it the quiet ones go.
constexpr std::size_t kMostPrefixes = 4096;

constexpr std::uint64_t kHedgeAlarm = 1, kHoldAlarm = 2, kListAlarm = 3;  // 0: the request's deadline
constexpr int kCookieShift = 52;                                          // request ids are below 2^52

}  // namespace

class Balancer::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed, double now)
      : settings_(within_bounds(std::move(settings))), seed_(seed) {
    double aims = 0.0;
    for (const ClassSettings& c : settings_.classes) {
      aims += c.latency_objective;
      longest_ = std::max(longest_, c.hard_limit);
    }
    memory_ = std::max(kMemoryAims * aims / static_cast<double>(settings_.classes.size()), 1.0);
    admission_.remember_for(memory_ * kRecentPart);
    past_.started = now;
    past_.widen = kFirstWiden;
    past_.saved_retries = kRetrySaved;
    past_.saved_hedges = 1.0;
    now_ = now;
    past_.waits.resize(settings_.classes.size());
    past_.class_work.assign(settings_.classes.size(), 1.0);
    past_.quota_tokens.assign(settings_.tenants.size(), 3.0);
    past_.quota_at.assign(settings_.tenants.size(), now);
    for (const TenantSettings& t : settings_.tenants) quotas_ += t.quota_per_s;
    zone_first_ = settings_.zones > 1 && settings_.price_cross_zone >= kDearCrossing;
  }

  Impl& begin(double now, ActionSink& sink) {
    if (std::isfinite(now)) now_ = std::max(now_, now);
    sink_ = &sink;
    return *this;
  }

  // ---- the list -------------------------------------------------------------------------------------------
  void on_endpoint_list(const EndpointListChange& change) {
    if (change.kind == ListKind::failed) {
      // The last list stays in force. Ask again after a growing, jittered wait: a list service that fails is
      // most often one that all routers ask at once.
      subscribed_ = false;
      ask_again(std::min(0.5 * std::exp2(std::min(list_failures_++, 6)),
                         settings_.list_pushed ? kMostAgentWait : kMostAskWait));
      return;
    }
    if (change.kind == ListKind::cached) {
      if (settings_.list_on_request) ask_again(0.1);
    } else {
      subscribed_ = true;
      list_failures_ = 0;
    }
    if (change.kind != ListKind::delta) {
      for (ReplicaState& r : replicas_) r.replica.health = Health::gone;
    }
    for (const Replica& w : change.replicas) take_entry(w);
    rebuild();
  }

  // ---- from one process to the next -----------------------------------------------------------------------
  LearnedState learned() const {
    LearnedState out = past_;
    for (const ReplicaState& r : replicas_) {
      if (r.replica.health != Health::gone) out.replicas[r.replica.id] = r;
    }
    for (int r : all_.slots) out.slots.push_back(replicas_[r].replica.id);
    for (int r : own_.slots) out.own_slots.push_back(replicas_[r].replica.id);
    return out;
  }
  // All but what is out: that is counted where it was sent.
  void adopt(LearnedState from) {
    if (from.waits.size() != settings_.classes.size() || from.quota_at.size() != settings_.tenants.size())
      return;
    from.stay.out = past_.stay.out;
    for (auto& [kind, stay] : from.kinds) stay.out = past_.kinds[kind].out;
    for (auto& [id, known] : from.replicas) {
      const auto it = index_.find(id);
      if (it == index_.end()) continue;
      known.stay.out = replicas_[it->second].stay.out;
      static_cast<Known&>(replicas_[it->second]) = known;
    }
    // The slots of leavers come too, or their successors would move everybody's keys.
    for (auto [ids, table] : {std::pair(&from.slots, &all_), std::pair(&from.own_slots, &own_)}) {
      if (settings_.slots > 0) break;
      table->slots.clear();
      for (const ReplicaId id : *ids) {
        const auto [it, fresh] = index_.try_emplace(id, static_cast<int>(replicas_.size()));
        if (fresh) replicas_.emplace_back().replica.id = id;
        table->slots.push_back(it->second);
      }
      table->standing.assign(table->slots.size(), false);
    }
    past_ = std::move(from);
    rebuild();
  }

  void take_entry(const Replica& w) {
    auto [it, fresh] = index_.try_emplace(w.id, static_cast<int>(replicas_.size()));
    if (fresh) replicas_.emplace_back();
    ReplicaState& r = replicas_[it->second];
    const bool restarted = fresh || w.started_at != r.replica.started_at;
    const double size = r.replica.size;
    r.replica = w;
    r.replica.size = w.size > 0.0F && std::isfinite(w.size) ? w.size : (fresh ? 1.0 : size);
    r.replica.started_at = sane(w.started_at, -1e300, now_);
    if (!restarted) return;
    r.health = 1.0;
    r.health_at = now_;
    reached(it->second);
    // Many routers learn of a start together. Each begins with a random part of one request's budget, so that
    // their first requests do not arrive as one burst. One whose part of the budget makes no request in the
    // time that counts begins with a whole one: its requests come there too seldom to burst with the others'.
    r.cold_at = now_;
    r.cold_tokens = few(r) ? 1.0 : unit(mix(seed_, w.id ^ static_cast<std::uint64_t>(now_ * 1e6)));
  }

  void rebuild() {
    std::vector<int> order;
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      if (replicas_[i].ready()) order.push_back(static_cast<int>(i));
    }
    std::sort(order.begin(), order.end(), [this](int a, int b) {
      const Replica &x = replicas_[a].replica, &y = replicas_[b].replica;
      return x.started_at != y.started_at ? x.started_at < y.started_at : x.id < y.id;
    });
    size_replicas();
    all_.update(replicas_, order, settings_.slots);
    std::erase_if(order,
                  [this](int r) { return static_cast<int>(replicas_[r].replica.zone) != settings_.zone; });
    own_.update(replicas_, order, settings_.slots);
    stale_ = true;
  }

  // Sizes say how much of the keys a replica is due. A live figure is lowered by load at that moment, which
  // must not steer ordinary picks; the largest of its kind seen so far comes near the true size. A rough one,
  // or none, is evened out over its kind and corrected by how quickly that kind reads.
  void size_replicas() {
    std::map<std::uint32_t, Kind> kinds;
    for (const ReplicaState& r : replicas_) {
      if (!r.ready()) continue;
      past_.live_top[r.replica.kind] = std::max(past_.live_top[r.replica.kind], r.replica.size);
      kinds[r.replica.kind].size += settings_.weights == WeightSource::silent ? 1.0 : r.replica.size;
      kinds[r.replica.kind].count += 1.0;
    }
    if (by_kind()) compare_speeds(kinds);
    sized_ = now_;
    sizes_.resize(replicas_.size(), 1.0);
    largest_ = 0.0;
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      const Replica& w = replicas_[i].replica;
      if (!replicas_[i].ready()) continue;
      const Kind& kind = kinds[w.kind];
      const double told = settings_.weights == WeightSource::live ? past_.live_top[w.kind] : w.size;
      sizes_[i] = by_kind() ? kind.size / kind.count * kind.speed : told;
      largest_ = std::max(largest_, sizes_[i]);
    }
    const bool muted = settings_.weights == WeightSource::rough || settings_.weights == WeightSource::live;
    pulls_ = sizes_;
    for (double& pull : pulls_) pull = std::pow(pull / largest_, muted ? kMutedPower : 1.0);
  }
  bool by_kind() const {
    return settings_.weights == WeightSource::silent || settings_.weights == WeightSource::rough;
  }
  struct Kind {
    double size = 0.0, count = 0.0, speed = 1.0;  // speed: for its size, as a multiple of the fleet's
  };
  // How quickly a kind reads prompts shows after a few first events, how quickly it makes tokens after
  // longer: in how long its attempts stay. Each counts half where both are known, else the stays alone.
  void compare_speeds(std::map<std::uint32_t, Kind>& kinds) {
    const double usual = past_.stay.mean(1.0, kStaysOfKind);
    double logs = 0.0, samples = 0.0;
    for (auto& [id, kind] : kinds) {
      const ReadCost& cost = past_.read_costs[id];
      kind.speed = cost.samples > 0.0 ? -std::log(cost.per_token * kind.size / kind.count) : 0.0;
      logs += cost.samples * kind.speed;
      samples += cost.samples;
    }
    for (auto& [id, kind] : kinds) {
      const double n = past_.read_costs[id].samples, known = 0.5 * n / (n + kSpeedDrawn);
      const double by_stay = std::log(usual / past_.kinds[id].mean(usual, kStaysOfKind));
      const double log = known * (kind.speed - part(logs, samples)) + (1.0 - known) * by_stay;
      kind.speed = std::clamp(std::exp(log), 1.0 / kMostSpeed, kMostSpeed);
    }
  }

  void ask_again(double wait) {
    const double jittered = wait * (0.5 + unit(seed_ = mix(seed_, 17)));
    sink_->set_timer(std::max(jittered, 0.001), kListAlarm << kCookieShift);
  }

  // ---- how long attempts stay -----------------------------------------------------------------------------
  template <typename Change>
  void change_stays(int index, const Change& change) {
    for (Stay* s : {&replicas_[index].stay, &past_.kinds[replicas_[index].replica.kind], &past_.stay}) {
      s->step(now_, memory_);
      change(*s);
    }
  }

  // ---- what a replica may take ----------------------------------------------------------------------------
  double warm(const ReplicaState& r) const {
    const double age = now_ - r.replica.started_at;
    if (r.replica.started_at == 0.0 || age >= settings_.cold_s) return 1.0;
    return settings_.cold_from + (1.0 - settings_.cold_from) * age / settings_.cold_s;
  }
  double health(const ReplicaState& r) const {
    return 1.0 - (1.0 - r.health) * std::exp((r.health_at - now_) / longest_);
  }
  // Means over the fleet, renewed a few times a second at most, so that a request does not cost a walk.
  void refresh() {
    if (!stale_ && now_ - refreshed_ < 0.1) return;
    stale_ = false;
    if (by_kind() && now_ - sized_ > 1.0) size_replicas();
    const double since = std::min(now_ - refreshed_, 1e6);
    refreshed_ = now_;
    for (auto& [kind, stay] : past_.kinds) stay.step(now_, memory_);
    past_.stay.step(now_, memory_);
    double healths = 0.0, n = 0.0, own = 0.0, all = 0.0;
    fleet_size_ = 0.0;
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      ReplicaState& r = replicas_[i];
      if (!r.ready()) continue;
      r.stay.step(now_, memory_);
      healths += health(r);
      n += 1.0;
      fleet_size_ += sizes_[i];
      all += sizes_[i] * warm(r);
      if (static_cast<int>(r.replica.zone) == settings_.zone && !lost(r)) own += sizes_[i] * warm(r);
    }
    // After a loss, or while a release has most replicas down, arrivals are those of the larger fleet; what
    // one replica carries must not be read off the few that are left.
    past_.fleet_peak = std::max(fleet_size_, past_.fleet_peak * std::exp(-since / (kFleetMemory * memory_)));
    mean_health_ = n > 0.0 ? healths / n : 1.0;
    ready_ = n;
    present_size_ = all;
    own_part_ = std::min(1.0, part(own * settings_.zones, all * kZoneSlack));
    // A zone's traffic can outgrow its replicas: what its routers, an even part of all, must be getting by
    // what this one gets, against what its replicas can do by the quotas.
    const double demand = rate() * settings_.balancers / settings_.zones,
                 can = quotas_ / kQuotaPart * part(own, all);
    if (can > 0.0 && demand * own_part_ > kZoneSlack * can) own_part_ = kZoneSlack * can / demand;
  }
  // This router's new requests a second, in units of the mean one.
  double rate() const {
    const double span = std::clamp(now_ - past_.started, 1.0, memory_);
    return past_.arrived.value(now_, memory_) / (memory_ * (1.0 - std::exp(-span / memory_)));
  }
  bool lost(const ReplicaState& r) const {
    const auto it = past_.zones.find(r.replica.zone);
    return now_ < r.down_until || (it != past_.zones.end() && now_ < it->second.down_until);
  }
  double pass_over(int times) {  // jittered: routers that lost the same replica do not try it again in step
    return now_ + kDownFor * (1 << std::min(times - 1, kDownMost)) * (0.5 + unit(seed_ = mix(seed_, 23)));
  }
  void unreachable(int index) {
    ReplicaState& r = replicas_[index];
    r.down_until = pass_over(++r.down);
    Zone& z = past_.zones[r.replica.zone];
    if (++z.down >= kZoneRow) z.down_until = pass_over(z.down);
    stale_ = true;
  }
  void on_health_warning(double now, ReplicaId id, double span) {
    const auto it = index_.find(id);
    if (it == index_.end()) return;
    ReplicaState& r = replicas_[it->second];
    r.down_until = std::max(r.down_until, now + sane(span, 0.0, 10.0));
    stale_ = true;
  }
  void reached(int index) {
    replicas_[index].down_until = replicas_[index].down = 0;
    past_.zones[replicas_[index].replica.zone] = {};
  }
  // The share of its keys that a replica keeps: 1 on the ordinary path, less while it is cold or an outlier.
  double share(const ReplicaState& r) const {
    const double usual = past_.stay.mean(1.0, kStaysOfKind), own = r.stay.mean(usual, kStaysOfReplica);
    return warm(r) * std::min(1.0, health(r) / (kOutlier * mean_health_)) *
           std::min(1.0, kLongStay * usual / own);
  }

  std::size_t avoided(double now) const {
    return std::count_if(replicas_.begin(), replicas_.end(), [=, this](const ReplicaState& r) {
      return r.ready() && (lost(r) || now < r.full_until || share(r) < 0.5 * warm(r));
    });
  }

  // The hard guard of cold starts. No router knows what the others send, so each keeps to its own part: what
  // a replica of this size gets of this router's work when warm, times how warm it is, times a part of the
  // multiple at which it falls.
  double cold_due(const ReplicaState& r, double size) const {  // in mean requests a second
    return kColdPart * settings_.fall_multiple * warm(r) * part(rate() * size, past_.fleet_peak);
  }
  bool few(const ReplicaState& r) const {
    return cold_due(r, part(fleet_size_, ready_)) * settings_.fall_s < 1.0;
  }
  bool cold_budget(const Request& q, int index, bool spend) {
    ReplicaState& r = replicas_[index];
    if (warm(r) >= 1.0) return true;
    const double due = cold_due(r, sizes_[index]), work = q.work;
    // Where most replicas are cold or gone, those left draw more than their usual part of the requests.
    const double usual = kColdPart * settings_.fall_multiple * part(present_size_, past_.fleet_peak);
    if (!spend && few(r) && unit(mix(q.query.id, r.replica.id ^ seed_)) > usual) return false;
    const double most = std::max(1.0, due * settings_.fall_s * 0.5);
    r.cold_tokens = std::min(most, r.cold_tokens + due * (now_ - r.cold_at));
    r.cold_at = now_;
    // Light requests wait for a whole token too: else the random parts that all routers begin with would go
    // out as one burst of light ones in the first moments after the start.
    if (r.cold_tokens < std::min(std::max(1.0, work), most)) return false;
    if (spend) r.cold_tokens -= work;
    return true;
  }

  // ---- the pick -------------------------------------------------------------------------------------------
  bool may_go_to(const Request& q, int index) const {
    const ReplicaState& r = replicas_[index];
    if (!r.ready()) return false;
    for (const Attempt& t : q.attempts) {
      const Replica& before = replicas_[t.replica].replica;
      if (t.replica == index) return false;  // skip replicas already tried
      if (request_class(q).semantics != Semantics::idempotency_key || !(t.may_have_run || t.out)) continue;
      if (request_class(q).idempotency_scope == IdempotencyScope::zone && before.zone != r.replica.zone)
        return false;
      if (request_class(q).idempotency_scope == IdempotencyScope::cell && before.cell != r.replica.cell)
        return false;
    }
    return true;
  }

  // Walks the key's sequence of slots: the jump of the key, then of the key rehashed with the attempt number.
  // Replicas decline keys beyond their size; those left are the key's own replicas, and a hot prefix starts
  // at the one that its session names. strict: 1, the unreachable decline; 2, those that are cold, crowded or
  // outliers do too, beyond their share.
  int walk(const Request& q, const SlotTable& table, int strict) {
    const auto n = static_cast<std::int32_t>(table.slots.size());
    if (n == 0) return -1;
    std::array<int, kMostRehashes> own{};
    int found = 0;
    for (int i = 0; i < kMostRehashes; ++i) {
      const std::uint64_t key = i == 0 ? q.key : mix(q.key, i);
      const std::int32_t slot = jump_hash(key, n);
      const int index = table.slots[slot];
      if (!table.standing[slot]) continue;
      if (std::find(own.begin(), own.begin() + found, index) != own.begin() + found) continue;
      if (unit(mix(key ^ 0x517e, replicas_[index].replica.id)) > pulls_[index]) continue;
      own[found++] = index;
      if (found > q.spread && fits(q, index, strict)) return index;
    }
    for (int i = 0; i < found; ++i) {
      if (fits(q, own[i], strict)) return own[i];
    }
    return -1;
  }
  bool fits(const Request& q, int index, int strict) {
    if (!may_go_to(q, index)) return false;
    const ReplicaState& r = replicas_[index];
    if (strict > 0 && lost(r)) return false;
    if (strict > 1 && (crowded(index) || unit(mix(q.key ^ 0xc01d, r.replica.id)) >= share(r))) return false;
    return cold_budget(q, index, false);
  }
  bool crowded(int index) const {
    if (now_ < replicas_[index].full_until) return true;
    return replicas_[index].stay.out >
           std::max(kCrowdFrom, kCrowd * part(past_.stay.out, fleet_size_) * sizes_[index]);
  }
  int pick(const Request& q) {
    refresh();
    if (zone_first_ && unit(mix(q.key, 0x20e)) < own_part_ * past_.keep) {
      const int own = walk(q, own_, 2);
      if (own >= 0) return own;
    }
    int index = walk(q, all_, 2);
    if (index < 0) index = walk(q, all_, 1);
    for (int strict = 1; index < 0 && strict >= 0; --strict) {  // the rehashes missed all that fit
      for (std::size_t i = 0; index < 0 && i < all_.members.size(); ++i) {
        if (fits(q, all_.members[i], strict)) index = all_.members[i];
      }
    }
    return index;
  }

  // ---- requests -------------------------------------------------------------------------------------------
  std::size_t class_index(const Request& q) const {
    return std::min<std::size_t>(q.query.request_class, settings_.classes.size() - 1);
  }
  const ClassSettings& request_class(const Request& q) const { return settings_.classes[class_index(q)]; }
  Wait& wait(const Request& q) {
    return past_.waits[std::min<std::size_t>(q.query.request_class, past_.waits.size() - 1)];
  }

  void on_request(const NewRequest& query) {
    auto [it, fresh] = requests_.try_emplace(query.id);
    if (!fresh) return;
    Request& q = it->second;
    q.query = query;
    q.came = now_;
    q.query.deadline = sane(query.deadline, now_, now_ + 4000.0);
    q.query.prompt_tokens = sane(query.prompt_tokens, 0.0, 1e9);
    q.query.prefix_tokens = sane(query.prefix_tokens, 0.0, 1e9);
    q.latency_objective = request_class(q).latency_objective +
                          request_class(q).latency_objective_per_1000_tokens * q.query.prompt_tokens / 1000.0;
    measure(q);
    choose_key(q);
    sink_->set_timer(std::max(0.0, q.query.deadline - now_), query.id);
    past_.saved_retries = std::min(kRetrySaved, past_.saved_retries + kRetryRate);
    past_.saved_hedges = std::min(2.0, past_.saved_hedges + kHedgeRate);
    if (admission_.rejects(q, class_index(q), unit(mix(seed_, q.query.id)))) return refuse(q);
    advance(q);
  }

  // Work relative to this router's mean request: the hint where there is one, else by the prompt's length.
  void measure(Request& q) {
    const double raw = sane(q.query.hint, 0.0, 1e9) > 0.0 ? q.query.hint : 1.0 + q.query.prompt_tokens;
    follow(past_.raw_mean, raw, 0.02);
    follow(past_.prompt_mean, q.query.prompt_tokens, 0.02);
    q.work = std::clamp(raw / past_.raw_mean, 0.1, 10.0);
    if (!q.query.is_retry) past_.arrived.add(now_, memory_, q.work);
    q.excess = q.query.quota_status == QuotaStatus::over;
    if (q.query.tenant >= settings_.tenants.size() || q.query.quota_status != QuotaStatus::unknown) return;
    const double quota = settings_.tenants[q.query.tenant].quota_per_s / settings_.balancers;
    if (!(quota > 0.0)) return;
    double &tokens = past_.quota_tokens[q.query.tenant], &at = past_.quota_at[q.query.tenant];
    // A router sees few of a tenant's requests: a deep bucket keeps chance from looking like excess.
    tokens = std::min(std::max(3.0, quota * memory_), tokens + quota * (now_ - at));
    at = now_;
    q.excess = tokens < 1.0;
    if (!q.excess) tokens -= 1.0;
  }

  void choose_key(Request& q) {
    const NewRequest& query = q.query;
    const std::uint64_t session = query.key != 0 ? query.key : mix(seed_, query.id);
    if (query.prefix_id == 0 ||
        query.prefix_tokens < kPrefixPart * std::min(query.prompt_tokens, past_.prompt_mean)) {
      q.key = mix(session);
      past_.seen.add(now_, kHotMemory * memory_, q.work);
      return;
    }
    q.key = mix(query.prefix_id);
    q.by_prefix = true;
    Prefix& p = past_.prefixes[query.prefix_id];
    // A prefix that alone outweighs a replica's fair share is spread over several of its own replicas, by
    // session. A router sees few requests, so its count is drawn towards the usual share: that of the prefix
    // of an average request, which repeats among all requests show soonest.
    past_.same += p.work.value(now_, kHotMemory * memory_);
    past_.pairs += past_.seen.value(now_, kHotMemory * memory_);
    p.work.add(now_, kHotMemory * memory_, q.work);
    past_.seen.add(now_, kHotMemory * memory_, q.work);
    const double usual = (past_.same + 1.0) / (past_.pairs + kFirstGuess);
    const double widen = usual * reach() > 1.0 ? past_.widen : 1.0;
    const double due = p.work.sum / (past_.seen.sum + 1.0 / usual) * reach() / kHotPart * widen;
    if (due > p.replicas)
      p.replicas = static_cast<int>(std::min(std::ceil(due), std::max(1.0, 0.5 * reach())));
    if (due < 0.6 * p.replicas - 0.6) p.replicas = std::max(1, p.replicas - 1);
    if (due > 0.5 * reach()) {
      q.key = mix(session);
      return;
    }
    q.spread = jump_hash(mix(session), p.replicas);
    // More than a walk reaches: sub-keys of their own, else a few replicas would carry all of a hot prefix.
    if (p.replicas > kMostRehashes / 2) q.key = mix(query.prefix_id, std::exchange(q.spread, 0));
    bound_size(past_.prefixes, kMostPrefixes,
               [this](const auto& e) { return e.second.work.value(now_, kHotMemory * memory_) < 1.0; });
  }
  double reach() const { return zone_first_ ? std::max(1.0, ready_ / settings_.zones) : ready_; }

  // The next step of a request that is neither over nor bound: an attempt, a wait, or the final answer.
  void advance(Request& q) {
    // Further attempts come out of a budget: in a storm of failures they would be the larger part of it.
    const bool spent = !q.attempts.empty() && past_.saved_retries < 1.0;
    if (now_ >= q.query.deadline || !may_send(q, request_class(q), settings_, now_) || spent)
      return any_out(q) ? void() : answer(q);
    const int index = pick(q);
    if (index >= 0) {
      if (!q.attempts.empty()) past_.saved_retries -= 1.0;
      return send(q, index);
    }
    if (any_out(q)) return;
    // Nothing may take it now: no replica is ready, or those left are cold with their budgets spent. Hold it
    // while that can change and it can still earn something. Once every ready replica has been tried, nothing
    // can change for it, and its client is told at once.
    // A client is never kept until near its deadline on the mere hope of a replica.
    const double until = std::min(useful_until(q), q.came + kHoldPart * (q.query.deadline - q.came));
    if (now_ >= until || tried_all(q)) return answer(q);
    sink_->set_timer(std::max(0.005, std::min(q.latency_objective / 10.0, until - now_)),
                     q.query.id | kHoldAlarm << kCookieShift);
  }
  bool tried_all(const Request& q) const {
    for (int i = 0; !q.attempts.empty() && i < static_cast<int>(replicas_.size()); ++i) {
      if (may_go_to(q, i)) return false;
    }
    return !q.attempts.empty();
  }
  double useful_until(const Request& q) const {
    return request_class(q).late_value > 0.0 ? q.query.deadline
                                             : std::min(q.query.deadline, q.came + q.latency_objective);
  }

  void send(Request& q, int index) {
    cold_budget(q, index, true);
    change_stays(index, [](Stay& s) { s.sends += 1.0, s.out += 1.0; });
    q.attempts.push_back(Attempt{index, now_, q.work});
    const double left = q.query.deadline - now_;
    const bool alone = !settings_.may_duplicate || request_class(q).semantics == Semantics::not_idempotent;
    double allow = 0.0;
    // Where no second copy may run beside the first, a silent replica is given up in time for another one.
    if (alone && request_class(q).semantics != Semantics::not_idempotent && may_retry_later(q) && calm()) {
      allow = std::min(left, hedge_after(q));
    }
    sink_->attempt(q.query.id, replicas_[index].replica.id, allow);
    if (!alone && may_retry_later(q)) {
      sink_->set_timer(std::min(left, hedge_after(q)), q.query.id | kHedgeAlarm << kCookieShift);
    }
  }
  bool calm() const { return admission_.in_time(now_) && past_.saved_hedges >= 1.0; }
  bool may_retry_later(const Request& q) const {
    return static_cast<int>(q.attempts.size()) < settings_.max_attempts;
  }
  double hedge_after(const Request& q) {
    const Wait& w = wait(q);
    return q.latency_objective * std::clamp(w.mean + 3.0 * w.spread, kHedgeFrom, kHedgeTo);
  }

  void refuse(Request& q) {
    const double wait =
        settings_.retry_after ? std::min(settings_.max_retry_after, q.latency_objective) : 0.0;
    may_reject(q, request_class(q)) ? sink_->reject(q.query.id, wait) : sink_->fail(q.query.id);
    finish(q);
  }
  void answer(Request& q) {
    // Broken replicas and such out of reach say nothing of load: fewer requests would not have helped.
    const auto broken = [](const Attempt& t) { return t.broken; };
    if (q.attempts.empty() ? ready_ > 0.0 : !std::all_of(q.attempts.begin(), q.attempts.end(), broken))
      note_late(q, true);
    refuse(q);
  }
  void finish(Request& q) {
    q.over = true;
    for (std::size_t i = 0; i < q.attempts.size(); ++i) {
      if (q.attempts[i].out && !q.attempts[i].started && settings_.may_cancel) {
        sink_->stop_attempt(q.query.id, static_cast<std::uint16_t>(i));
      }
    }
    drop_if_done(q);
  }
  void drop_if_done(Request& q) {
    if (q.over && !any_out(q)) requests_.erase(q.query.id);
  }
  void note_late(const Request& q, bool late) {
    if (zone_first_ && !q.attempts.empty()) note_zone(q.attempts.back().replica, late, admission_.step(now_));
    admission_.answered(now_, q, request_class(q), late);
  }

  // Late answers from the own zone let more of its keys cross, until a crossing costs as much as it saves,
  // and late ones from elsewhere fewer; no more cross than an even split would.
  void note_zone(int index, bool late, double step) {
    const bool own = static_cast<int>(replicas_[index].replica.zone) == settings_.zone;
    const double price = std::min(0.5, settings_.price_cross_zone);
    past_.keep += own ? (late ? -past_.keep * step : step * price / (1.0 - price)) : (late ? step : 0.0);
    past_.keep = std::clamp(past_.keep, 1.0 / settings_.zones, 1.0);
  }

  // ---- outcomes -------------------------------------------------------------------------------------------
  // good: 1 = well within the aim, 0 = failed; weight: how much one such result says.
  void judge(int index, double good, double weight) {
    ReplicaState& r = replicas_[index];
    r.health = health(r);
    r.health += weight * (good - r.health);
    r.health_at = now_;
  }
  void judge_wait(const Request& q, const Attempt& t) {
    const double ratio = (now_ - t.sent) / q.latency_objective;
    judge(t.replica, std::clamp((1.25 - ratio) / 0.75, 0.0, 1.0), 0.35);
  }

  Attempt* find_attempt(RequestId id, std::uint32_t attempt, Request*& q) {
    const auto it = requests_.find(id);
    if (it == requests_.end() || attempt >= it->second.attempts.size()) return nullptr;
    q = &it->second;
    return &q->attempts[attempt];
  }

  void on_first_event(const FirstEvent& a) {
    Request* q = nullptr;
    Attempt* t = find_attempt(a.id, a.attempt, q);
    if (t == nullptr || t->started) return;
    t->started = true;
    t->waited = now_ - t->sent;
    reached(t->replica);
    q->bound = true;
    const double ratio = std::max(0.0, now_ - t->sent) / q->latency_objective;
    Wait& w = wait(*q);
    w.spread += 0.05 * (std::abs(ratio - w.mean) - w.spread);
    w.mean += 0.05 * (std::min(ratio, 2.0) - w.mean);
    judge_wait(*q, *t);
    note_late(*q, now_ - q->came > q->latency_objective);
    for (std::size_t i = 0; i < q->attempts.size(); ++i) {
      Attempt& other = q->attempts[i];
      if (!other.out || other.started) continue;
      if (other.sent < t->sent) judge_wait(*q, other);  // a later copy overtook it
      if (settings_.may_cancel) sink_->stop_attempt(a.id, static_cast<std::uint16_t>(i));
    }
  }

  void on_attempt_result(const AttemptResult& r) {
    Request* q = nullptr;
    Attempt* t = find_attempt(r.id, r.attempt, q);
    if (t == nullptr || !t->out) return;
    t->out = false;
    // One that failed did not stay for its answer: it counts neither as quick nor as slow.
    const bool stayed =
        r.outcome == Outcome::ok || r.outcome == Outcome::cancelled || r.outcome == Outcome::timeout;
    const double took = stayed ? 0.0 : now_ - t->sent, gone = stayed ? 0.0 : std::exp(-took / memory_);
    change_stays(t->replica, [=](Stay& s) {
      s.out -= 1.0, s.sends = std::max(0.0, s.sends - gone), s.area = std::max(0.0, s.area - took * gone);
    });
    t->may_have_run =
        r.outcome != Outcome::full && r.outcome != Outcome::connect_failed && r.outcome != Outcome::moot;
    t->broken =
        r.outcome == Outcome::error || r.outcome == Outcome::connect_failed || r.outcome == Outcome::reset;
    switch (r.outcome) {
      case Outcome::ok:
        past_.read_costs[replicas_[t->replica].replica.kind].add(t->started ? t->waited : now_ - t->sent,
                                                                 q->query.prompt_tokens - r.note);
        if (q->by_prefix) {
          const bool kept = r.note >= 0.5 * q->query.prefix_tokens;
          past_.widen =
              kept ? std::min(kWidest, past_.widen * (1.0 + kWidenStep * kMissTarget / (1.0 - kMissTarget)))
                   : std::max(1.0, past_.widen * (1.0 - kWidenStep));
        }
        if (!t->started) {
          judge_wait(*q, *t);
          note_late(*q, now_ - q->came > q->latency_objective);
        }
        break;
      case Outcome::error:
      case Outcome::reset:
        judge(t->replica, 0.0, r.outcome == Outcome::error ? 0.35 : 0.8);
        break;
      case Outcome::timeout:
        if (now_ < q->query.deadline) past_.saved_hedges -= 1.0;  // what follows stands for a second copy
        judge(t->replica, 0.0, 0.5);
        break;
      case Outcome::connect_failed:  // it never ran: nothing is known of how it serves
        unreachable(t->replica);
        break;
      case Outcome::full:  // no failure of the replica: it never ran it
        replicas_[t->replica].full_until = now_ + kFullFor;
        break;
      default:  // cancelled or moot: our own doing
        break;
    }
    if (r.closed) return finish(*q);
    if (q->over) return drop_if_done(*q);
    if (!q->bound && !any_out(*q)) advance(*q);
  }

  void on_client_disconnected(RequestId id) {
    const auto it = requests_.find(id);
    if (it != requests_.end() && !it->second.over) finish(it->second);
  }

  void on_timer(std::uint64_t cookie) {
    const std::uint64_t what = cookie >> kCookieShift;
    if (what == kListAlarm) {
      if (subscribed_) return;
      sink_->subscribe(true);
      return ask_again((settings_.must_ask_in > 0.0 ? settings_.must_ask_in : 10.0) *
                       1.5);  // should no answer come
    }
    const auto it = requests_.find(cookie & ((std::uint64_t{1} << kCookieShift) - 1));
    if (it == requests_.end() || it->second.over || it->second.bound) return;
    Request& q = it->second;
    if (what == kHedgeAlarm) {
      const auto out =
          std::count_if(q.attempts.begin(), q.attempts.end(), [](const Attempt& t) { return t.out; });
      for (const Attempt& t : q.attempts) {
        if (t.out) judge(t.replica, 0.0, 0.35);  // silent beyond the usual wait: known now, not when it ends
      }
      if (out != 1 || now_ >= useful_until(q) || !calm()) return;
      past_.saved_hedges -= 1.0;
      advance(q);
    } else if (what == kHoldAlarm) {
      if (!any_out(q)) advance(q);
    } else if (now_ < q.query.deadline - 1e-6) {
      sink_->set_timer(q.query.deadline - now_, cookie);  // woken early: ask again
    } else {
      // Each request gets its final answer by its own deadline, whatever its attempts do.
      answer(q);
    }
  }

 private:
  Settings settings_;
  std::uint64_t seed_;
  double now_ = 0.0;
  double longest_ = 0.0, memory_ = 1.0;
  ActionSink* sink_ = nullptr;
  std::vector<ReplicaState> replicas_;
  std::map<ReplicaId, int> index_;
  std::vector<double> sizes_, pulls_;
  LearnedState past_;
  Admission admission_{settings_, past_};
  double sized_ = 0.0, largest_ = 0.0, quotas_ = 0.0;
  SlotTable all_, own_;
  bool zone_first_ = false, subscribed_ = false, stale_ = true;
  int list_failures_ = 0;
  double refreshed_ = -1e300, mean_health_ = 1.0, fleet_size_ = 0.0, ready_ = 0.0, own_part_ = 1.0,
         present_size_ = 0.0;
  std::unordered_map<RequestId, Request> requests_;  // looked up only, never walked
};

Balancer::Balancer(Settings settings, std::uint64_t seed, double now)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::on_endpoint_list(double now, const EndpointListChange& c, ActionSink& s) {
  impl_->begin(now, s).on_endpoint_list(c);
}
void Balancer::on_request(double now, const NewRequest& q, ActionSink& s) {
  impl_->begin(now, s).on_request(q);
}
void Balancer::on_first_event(double t, const FirstEvent& a, ActionSink& s) {
  impl_->begin(t, s).on_first_event(a);
}
void Balancer::on_attempt_result(double t, const AttemptResult& r, ActionSink& s) {
  impl_->begin(t, s).on_attempt_result(r);
}
void Balancer::on_client_disconnected(double now, RequestId id, ActionSink& s) {
  impl_->begin(now, s).on_client_disconnected(id);
}
void Balancer::on_timer(double t, std::uint64_t cookie, ActionSink& s) {
  impl_->begin(t, s).on_timer(cookie);
}
void Balancer::on_health_check_result(double now, const HealthCheckResult&, ActionSink& s) {
  impl_->begin(now, s);
}
LearnedState Balancer::learned() const { return impl_->learned(); }
void Balancer::adopt(double now, LearnedState l, ActionSink& s) { impl_->begin(now, s).adopt(std::move(l)); }
void Balancer::on_health_warning(double t, ReplicaId id, double span) {
  impl_->on_health_warning(t, id, span);
}
std::size_t Balancer::avoided(double now) const { return impl_->avoided(now); }
void Balancer::on_gossip(double now, std::uint32_t, std::string_view, ActionSink& s) { impl_->begin(now, s); }

}  // namespace flintglade::policy
