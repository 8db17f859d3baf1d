#include "policy/hot_prefixes.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/replica_picker.h"

namespace flintglade::policy {
namespace {

// A prefix is the key when it is at least this part of the prompt, or of the mean one if that is shorter:
// below, what a hit saves is less than what a few short prefixes cost by piling onto few replicas.
constexpr double kMinPrefixPart = 0.5;
// A prefix takes as many replicas as keep its load on each under this part of a replica's fair share.
constexpr double kHotPartOfFairShare = 0.35;
// Prefixes stay popular for longer than load counts: the window is this multiple.
constexpr double kPopularityWindows = 3.0;
// Before repeats are seen, one request in so many counts as sharing a prefix.
constexpr double kPriorPairs = 50.0;
// Prefixes are spread wider while fewer than this part of their requests find nothing cached. A miss narrows
// the spread by the step, a hit widens it by as much less as misses are to be rarer.
constexpr double kTargetMissPart = 0.1, kWideningStep = 0.2, kFirstWidening = 2.0, kMaxWidening = 50.0;
// An answer counts as a hit when at least this part of the prefix was cached.
constexpr double kHitPart = 0.5;
// One that wants more than this part of all candidates is placed by session alone.
constexpr double kMaxPartOfCandidates = 0.5;
// The spread shrinks only well below the wanted number, so that it does not swing.
constexpr double kShrinkBelow = 0.6;
// The table of prefixes is bounded by this; beyond it the idle ones are erased.
constexpr std::size_t kMaxPrefixes = 4096;
constexpr double kIdleWork = 1.0;  // less than one mean request in the window

}  // namespace

HotPrefixes::HotPrefixes(LearnedState& learned, const FleetSummary& fleet, const ZonePreference& zones,
                         const RandomState& random, double load_window_s)
    : learned_(learned),
      fleet_(fleet),
      zones_(zones),
      random_(random),
      window_s_(kPopularityWindows * load_window_s) {
  learned_.prefix_widening = kFirstWidening;
}

void HotPrefixes::choose_key(Request& request, double now) {
  const NewRequest& received = request.received;
  const std::uint64_t session = received.key != 0 ? received.key : mix(random_.seed, received.id);
  const double min_prefix_tokens =
      kMinPrefixPart * std::min(received.prompt_tokens, learned_.mean_prompt_tokens);
  if (received.prefix_id == 0 || received.prefix_tokens < min_prefix_tokens) {
    request.key = mix(session);
    learned_.hot_window_work.add(now, window_s_, request.work);
    return;
  }
  request.key = mix(received.prefix_id);
  request.keyed_by_prefix = true;
  PrefixState& prefix = learned_.prefixes[received.prefix_id];
  const double wanted = wanted_replicas(prefix, request.work, now);
  const int spread = update_spread(prefix, wanted);
  if (wanted > kMaxPartOfCandidates * zones_.candidate_replicas(fleet_)) {
    request.key = mix(session);
    return;
  }
  request.first_choice = jump_hash(mix(session), spread);
  // More than one walk over the slots reaches: sub-keys of their own, else a few replicas would carry all of
  // a hot prefix.
  if (spread > kMaxRehashes / 2)
    request.key = mix(received.prefix_id, static_cast<std::uint64_t>(std::exchange(request.first_choice, 0)));
  bound_size(learned_.prefixes, kMaxPrefixes,
             [this, now](const auto& entry) { return entry.second.work.value(now, window_s_) < kIdleWork; });
}

// Counts the request. A router sees few requests, so its count of one prefix is drawn towards the usual
// share: that of the prefix of an average request, which repeats among all requests show soonest.
double HotPrefixes::wanted_replicas(PrefixState& prefix, double work, double now) {
  learned_.same_prefix_pairs += prefix.work.value(now, window_s_);
  learned_.all_pairs += learned_.hot_window_work.value(now, window_s_);
  prefix.work.add(now, window_s_, work);
  learned_.hot_window_work.add(now, window_s_, work);
  const double candidates = zones_.candidate_replicas(fleet_);
  const double usual_share = (learned_.same_prefix_pairs + 1.0) / (learned_.all_pairs + kPriorPairs);
  const double widening = usual_share * candidates > 1.0 ? learned_.prefix_widening : 1.0;
  const double share = prefix.work.sum / (learned_.hot_window_work.sum + 1.0 / usual_share);
  return share * candidates / kHotPartOfFairShare * widening;
}

int HotPrefixes::update_spread(PrefixState& prefix, double wanted) const {
  const double max_replicas = std::max(1.0, kMaxPartOfCandidates * zones_.candidate_replicas(fleet_));
  if (wanted > prefix.replicas) prefix.replicas = static_cast<int>(std::min(std::ceil(wanted), max_replicas));
  if (wanted < kShrinkBelow * prefix.replicas - kShrinkBelow)
    prefix.replicas = std::max(1, prefix.replicas - 1);
  return prefix.replicas;
}

void HotPrefixes::on_answer(const Request& request, double cached_tokens) {
  if (!request.keyed_by_prefix) return;
  double& widening = learned_.prefix_widening;
  if (cached_tokens >= kHitPart * request.received.prefix_tokens) {
    widening =
        std::min(kMaxWidening, widening * (1.0 + kWideningStep * kTargetMissPart / (1.0 - kTargetMissPart)));
  } else {
    widening = std::max(1.0, widening * (1.0 - kWideningStep));
  }
}

}  // namespace flintglade::policy
