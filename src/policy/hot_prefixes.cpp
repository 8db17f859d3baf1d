#include "policy/hot_prefixes.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/replica_picker.h"

namespace flintglade::policy {
namespace {

// A request is keyed by its prefix if that is at least this fraction of its prompt, or of the mean prompt if
// that is shorter. With shorter prefixes a cache hit saves less than the imbalance costs that arises when a
// few short prefixes concentrate on few replicas.
constexpr double kMinPrefixFraction = 0.5;
// A prefix gets enough replicas to keep its load on each below this fraction of a replica's fair share.
constexpr double kHotFractionOfFairShare = 0.35;
// Prefixes stay popular for longer than the load window: their window is this multiple of it.
constexpr double kPopularityWindows = 3.0;
// Prior: before repeats have been observed, one pair of requests in this many counts as sharing a prefix.
constexpr double kPriorPairs = 50.0;
// Prefixes are spread wider while less than this fraction of their requests are cache misses. A miss narrows
// the spread by the step; a hit widens it by the step scaled such that the two balance at the target.
constexpr double kTargetMissFraction = 0.1, kWideningStep = 0.2, kInitialWidening = 2.0, kMaxWidening = 50.0;
// An answer counts as a cache hit if at least this fraction of the prefix was cached.
constexpr double kHitFraction = 0.5;
// A prefix that needs more than this fraction of all candidates is placed by session alone.
constexpr double kMaxFractionOfCandidates = 0.5;
// The spread shrinks only well below the desired number, to avoid oscillation.
constexpr double kShrinkBelow = 0.6;
// Maximum size of the table of prefixes; above it, idle entries are erased.
constexpr std::size_t kMaxPrefixes = 4096;
constexpr double kIdleWork = 1.0;  // a prefix with less than one mean request in the window is idle

}  // namespace

HotPrefixes::HotPrefixes(LearnedState& learned, const FleetSummary& fleet, const ZonePreference& zones,
                         const RandomState& random, double load_window_s)
    : learned_(learned),
      fleet_(fleet),
      zones_(zones),
      random_(random),
      window_s_(kPopularityWindows * load_window_s) {
  learned_.prefix_widening = kInitialWidening;
}

void HotPrefixes::choose_key(Request& request, double now) {
  const NewRequest& received = request.received;
  const std::uint64_t session = received.key != 0 ? received.key : mix(random_.seed, received.id);
  const double min_prefix_tokens =
      kMinPrefixFraction * std::min(received.prompt_tokens, learned_.mean_prompt_tokens);
  if (received.prefix_id == 0 || received.prefix_tokens < min_prefix_tokens) {
    request.key = mix(session);
    learned_.hot_window_work.add(now, window_s_, request.work);
    return;
  }
  request.key = mix(received.prefix_id);
  request.keyed_by_prefix = true;
  PrefixState& prefix = learned_.prefixes[received.prefix_id];
  const double desired = desired_replicas(prefix, request.work, now);
  const int spread = update_spread(prefix, desired);
  if (desired > kMaxFractionOfCandidates * zones_.candidate_replicas(fleet_)) {
    request.key = mix(session);
    return;
  }
  request.first_choice = jump_hash(mix(session), spread);
  // The rehashes of one key reach only a limited number of replicas, which would carry the whole load of a
  // hot prefix. With a larger spread each part gets its own key.
  if (spread > kMaxRehashes / 2)
    request.key = mix(received.prefix_id, static_cast<std::uint64_t>(std::exchange(request.first_choice, 0)));
  limit_size(learned_.prefixes, kMaxPrefixes,
             [this, now](const auto& entry) { return entry.second.work.value(now, window_s_) < kIdleWork; });
}

// Counts the request and returns the desired number of replicas for its prefix. A router sees few requests,
// so the share of one prefix is smoothed towards the usual share: that of the prefix of an average request,
// which can be estimated soonest, from repeats among all requests.
double HotPrefixes::desired_replicas(PrefixState& prefix, double work, double now) {
  learned_.same_prefix_pairs += prefix.work.value(now, window_s_);
  learned_.all_pairs += learned_.hot_window_work.value(now, window_s_);
  prefix.work.add(now, window_s_, work);
  learned_.hot_window_work.add(now, window_s_, work);
  const double candidates = zones_.candidate_replicas(fleet_);
  const double usual_share = (learned_.same_prefix_pairs + 1.0) / (learned_.all_pairs + kPriorPairs);
  const double widening = usual_share * candidates > 1.0 ? learned_.prefix_widening : 1.0;
  const double share = prefix.work.sum / (learned_.hot_window_work.sum + 1.0 / usual_share);
  return share * candidates / kHotFractionOfFairShare * widening;
}

int HotPrefixes::update_spread(PrefixState& prefix, double desired_replicas) const {
  const double max_replicas = std::max(1.0, kMaxFractionOfCandidates * zones_.candidate_replicas(fleet_));
  if (desired_replicas > prefix.replicas)
    prefix.replicas = static_cast<int>(std::min(std::ceil(desired_replicas), max_replicas));
  if (desired_replicas < kShrinkBelow * prefix.replicas - kShrinkBelow)
    prefix.replicas = std::max(1, prefix.replicas - 1);
  return prefix.replicas;
}

void HotPrefixes::on_answer(const Request& request, double cached_tokens) {
  if (!request.keyed_by_prefix) return;
  double& widening = learned_.prefix_widening;
  if (cached_tokens >= kHitFraction * request.received.prefix_tokens) {
    widening = std::min(kMaxWidening,
                        widening * (1.0 + kWideningStep * kTargetMissFraction / (1.0 - kTargetMissFraction)));
  } else {
    widening = std::max(1.0, widening * (1.0 - kWideningStep));
  }
}

}  // namespace flintglade::policy
