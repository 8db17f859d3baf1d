#include "endpoint_sources/endpoint_merger.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "config/labels.h"

namespace flintglade::endpoint_sources {

using core::kNever;
using core::kSecond;

namespace {

constexpr Micros kRemovalRetention = 600 * kSecond;  // how long a source's report of a removal is kept
constexpr Micros kSourceRemovalTimeout =
    10 * kSecond;  // a source that a reload removed is dropped after this at the latest
constexpr double kMinReplicaSize = 0.02, kMaxReplicaSize = 50.0;
constexpr double kShareSteps = 8.0;  // shares of priority groups change in steps, so that sizes change rarely

}  // namespace

const char* to_string(Clause clause) {
  switch (clause) {
    case Clause::reported:
      return "named";
    case Clause::draining:
      return "draining";
    case Clause::removed:
      return "gone";
    case Clause::reappeared:
      return "returning";
    case Clause::removal_unconfirmed:
      return "doubted";
    case Clause::stale:
      return "held";
    case Clause::cached:
      return "known";
    case Clause::standby:
      return "standby";
  }
  return "?";
}

core::ReplicaId replica_id(const std::string& address) { return config::hash_name(address); }

EndpointMerger::EndpointMerger(Settings settings, std::vector<SourceSpec> sources) {
  configure(0, settings, std::move(sources));
}

void EndpointMerger::configure(Micros now, Settings settings, std::vector<SourceSpec> specs) {
  settings_ = settings;
  std::vector<Source> configured;
  for (SourceSpec& spec : specs) {
    Source source;
    if (Source* old = find(spec.name); old != nullptr && old->spec.list == spec.list) {
      const bool same = old->spec.dns_name == spec.dns_name;
      source = std::move(*old);
      old->spec.name.clear();
      source.leaving = false;
      // A new DNS name is a new source. The reports of the old one are kept until the new one
      // has answered.
      if (!same) {
        source.answered = source.failing = false;
        source.only_cached = true;
        source.unconfirmed_since = kNever;
        source.error.clear();
      }
    }
    source.spec = std::move(spec);
    configured.push_back(std::move(source));
  }
  for (Source& old : sources_) {
    if (old.spec.name.empty()) continue;
    if (!old.leaving) old.remove_by = now + kSourceRemovalTimeout;
    old.leaving = true;
    configured.push_back(std::move(old));
  }
  sources_ = std::move(configured);
  recompute(now);
}

EndpointMerger::Source* EndpointMerger::find(const std::string& name) {
  const auto it = std::find_if(sources_.begin(), sources_.end(),
                               [&](const Source& s) { return s.spec.name == name && !name.empty(); });
  return it == sources_.end() ? nullptr : &*it;
}

// ---- reports of the sources

void EndpointMerger::record_answer(Micros now, Source& source) {
  source.answered = true;
  source.failing = false;
  source.only_cached = false;
  source.last_answer = source.last_try = now;
  source.error.clear();
  ++source.answers;
}

void EndpointMerger::on_source_failed(Micros now, const std::string& name, const std::string& why) {
  Source* source = find(name);
  if (source == nullptr) return;
  source->failing = true;
  source->last_try = now;
  source->error = why;
  ++source->failures;
  recompute(now);
}

// Records a report on one address. delay_return: an address that this source had reported as draining or
// removed is ready again only after Settings::return_delay.
void EndpointMerger::record_report(Micros now, Source& source, const std::string& address,
                                   AddressReport report, bool delay_return) {
  const auto it = source.reports.find(address);
  report.since = now;
  if (it == source.reports.end()) {
    report.joined_later = source.answered;
  } else {
    const AddressReport& old = it->second;
    const bool was_removed = old.state == ReportedState::removed;
    const bool was_not_ready = old.state != ReportedState::ready;
    if (old.state == report.state) {
      report.since = old.since;
      report.ready_at = old.ready_at;
    } else if (report.state == ReportedState::ready && was_not_ready && delay_return) {
      report.ready_at = now + settings_.return_delay;
    }
    report.joined_later = was_removed ? source.answered && !old.mass_removal : old.joined_later;
  }
  source.reports[address] = std::move(report);
}

void EndpointMerger::record_removal(Micros now, Source& source, const std::string& address) {
  AddressReport& report = source.reports[address];
  if (report.state != ReportedState::removed) report.since = now;
  report.state = ReportedState::removed;
  report.ready_at = 0;
  report.removal_unconfirmed = false;
}

void EndpointMerger::apply_cached_list(Micros now, const core::EndpointListUpdate& update) {
  for (Source& source : sources_) {
    if (!source.spec.list) continue;
    merge_list(now, source, update, true);
    source.only_cached = true;
  }
  recompute(now);
}

void EndpointMerger::apply_list(Micros now, const core::EndpointListUpdate& update) {
  for (Source& source : sources_) {
    if (!source.spec.list || source.leaving) continue;
    merge_list(now, source, update, !source.answered);
    record_answer(now, source);
  }
  recompute(now);
}

void EndpointMerger::merge_list(Micros now, Source& source, const core::EndpointListUpdate& update,
                                bool first) {
  const bool full = update.kind != policy::ListKind::delta;
  // A list whose version went backwards (its service was restored, or another instance answered) may contain
  // replicas that the list received before it had removed. They return only after the delay, as it is unknown
  // which of the two lists is right.
  const bool version_went_back = !first && update.version < source.version;
  source.version = full ? update.version : std::max(source.version, update.version);
  if (full) {
    const std::set<core::ReplicaId> unreadable(update.unreadable.begin(), update.unreadable.end());
    std::erase_if(source.list_entries, [&](const auto& entry) { return !unreadable.contains(entry.first); });
  }
  for (const core::Endpoint& entry : update.entries) {
    if (entry.replica.health == Health::gone) {
      source.list_entries.erase(entry.replica.id);
    } else {
      source.list_entries[entry.replica.id] = entry;  // its address may have changed
    }
  }
  // If the list has several replicas at one address, a ready one wins, then the one that started last.
  std::map<std::string, const core::Endpoint*> occupants;
  for (const auto& [id, entry] : source.list_entries) {
    const core::Endpoint*& at = occupants[entry.address];
    const auto rank = [](const core::Endpoint& e) {
      return std::tuple(e.replica.health == Health::ready, e.replica.started_at, e.replica.id);
    };
    if (at == nullptr || rank(*at) < rank(entry)) at = &entry;
  }
  for (auto& [address, report] : source.reports) {
    if (occupants.count(address) == 0) record_removal(now, source, address);
  }
  for (const auto& [address, entry] : occupants) {
    AddressReport report;
    report.state = entry->replica.health == Health::ready ? ReportedState::ready : ReportedState::draining;
    report.entry = *entry;
    report.size = entry->replica.size;
    record_report(now, source, address, std::move(report), version_went_back);
  }
}

void EndpointMerger::apply_dns_answer(Micros now, const std::string& name, const ResolvedAddresses& answer) {
  Source* known_source = find(name);
  if (known_source == nullptr || known_source->leaving) return;
  Source& source = *known_source;
  // Most answers equal the last one and change nothing.
  if (current(source) && source.unconfirmed_since == kNever && answer.fingerprint != 0 &&
      answer.fingerprint == source.fingerprint)
    return record_answer(now, source);
  source.fingerprint = answer.fingerprint;
  std::map<std::string, AddressReport> addresses;
  // Weights are relative within one priority (RFC 2782). A replica with the mean of the positive weights has
  // size 1.
  std::map<std::uint16_t, std::pair<double, int>> weights;
  for (const DnsAddress& target : answer.addresses) {
    auto& [sum, count] = weights[target.priority];
    sum += target.weight;
    count += target.weight > 0;
  }
  for (const DnsAddress& target : answer.addresses) {
    const auto& [sum, count] = weights[target.priority];
    AddressReport report;
    report.host = target.host;
    report.priority = target.priority;
    if (count > 0)
      report.size = target.weight == 0
                        ? kMinReplicaSize
                        : std::clamp(target.weight * count / sum, kMinReplicaSize, kMaxReplicaSize);
    if (target.weight == 0 && count > 0 && source.spec.zero_weight_drains)
      report.state = ReportedState::draining;
    // Two targets may resolve to one address: it is one replica, of the higher priority (the lower number).
    const auto [it, inserted] = addresses.try_emplace(target.address, report);
    if (!inserted && report.priority < it->second.priority) it->second = std::move(report);
  }
  std::vector<std::string> missing;
  std::size_t reported_before = 0;
  for (const auto& [address, report] : source.reports) {
    if (report.state == ReportedState::removed) continue;
    ++reported_before;
    if (addresses.count(address) != 0) continue;
    const bool unresolved =
        std::find(answer.unresolved.begin(), answer.unresolved.end(), report.host) != answer.unresolved.end();
    if (!unresolved) missing.push_back(address);
  }
  // The limit is relative to the most addresses that the source reported recently, so that many small
  // removals count as one large removal.
  if (now - source.peak_at > settings_.confirm_delay) source.peak_count = 0;
  if (reported_before >= source.peak_count) {
    source.peak_count = reported_before;
    source.peak_at = now;
  }
  const std::size_t remaining = reported_before - missing.size();
  const bool over_limit = source.answered && !missing.empty() &&
                          static_cast<double>(remaining) <
                              (1.0 - settings_.max_removed_fraction) * static_cast<double>(source.peak_count);
  bool unconfirmed = over_limit;
  if (!over_limit) {
    source.unconfirmed_since = kNever;
  } else if (source.unconfirmed_since == kNever) {
    source.unconfirmed_since = now;
    source.confirm_requested = false;
    ++source.unconfirmed_removals;
  } else if (now >= source.unconfirmed_since + settings_.confirm_delay && source.confirm_requested) {
    unconfirmed = false;  // the removal has lasted for confirm_delay and was queried again meanwhile
    source.unconfirmed_since = kNever;
    source.peak_count = 0;
  }
  if (unconfirmed) schedule(source.unconfirmed_since + settings_.confirm_delay);
  for (const std::string& address : missing) {
    if (unconfirmed) {
      source.reports[address].removal_unconfirmed = true;
    } else {
      record_removal(now, source, address);
      source.reports[address].mass_removal = over_limit;
    }
  }
  for (auto& [address, report] : addresses) record_report(now, source, address, std::move(report), true);
  record_answer(now, source);
  recompute(now);
}

std::vector<std::string> EndpointMerger::names_to_confirm(Micros now) {
  std::vector<std::string> out;
  for (Source& s : sources_) {
    if (s.unconfirmed_since == kNever || s.spec.list || s.leaving) continue;
    // Once after half of the delay, and from its end on with each call until an answer comes.
    if (now >= s.unconfirmed_since + settings_.confirm_delay ||
        (!s.confirm_requested && now >= s.unconfirmed_since + settings_.confirm_delay / 2)) {
      s.confirm_requested = true;
      out.push_back(s.spec.dns_name);
    }
  }
  return out;
}

// ---- merged endpoints

// Whether a source has failed for so long that it is ignored. It is not ignored while no other source
// answers: old reports are better than none.
bool EndpointMerger::lapsed(const Source& source, Micros now) const {
  if (!source.failing || source.last_answer < 0 || now - source.last_answer < settings_.source_stale)
    return false;
  return std::any_of(sources_.begin(), sources_.end(), [this](const Source& s) { return current(s); });
}

void EndpointMerger::on_timer(Micros now) {
  if (now >= next_timer_) recompute(now);
}
Micros EndpointMerger::next_timer() const { return next_timer_; }

void EndpointMerger::recompute(Micros now) {
  next_timer_ = kNever;
  ++generation_;
  // A source that a reload removed is dropped once each remaining one has answered or failed.
  const bool all_responded = std::all_of(
      sources_.begin(), sources_.end(), [](const Source& s) { return s.leaving || s.answered || s.failing; });
  std::erase_if(sources_,
                [&](const Source& s) { return s.leaving && (all_responded || now >= s.remove_by); });

  struct Candidate {
    const AddressReport* best = nullptr;  // the report that decides
    const Source* best_source = nullptr;
    int rank = 100;
    Clause clause = Clause::stale;
    const AddressReport* list_report = nullptr;
    std::uint16_t priority = UINT16_MAX;
    bool has_priority = false;
  };
  std::map<std::string, Candidate> candidates;
  for (Source& source : sources_) {
    if (source.leaving) schedule(source.remove_by);
    if (source.unconfirmed_since != kNever) {
      schedule(std::max(now + kSecond, source.confirm_requested
                                           ? source.unconfirmed_since + settings_.confirm_delay
                                           : source.unconfirmed_since + settings_.confirm_delay / 2));
    }
    if (lapsed(source, now)) continue;
    if (source.failing && source.last_answer >= 0)
      schedule(std::max(now + kSecond, source.last_answer + settings_.source_stale));
    for (auto it = source.reports.begin(); it != source.reports.end();) {
      const AddressReport& report = it->second;
      if (report.state == ReportedState::removed && now - report.since >= kRemovalRetention) {
        const bool reported_elsewhere =
            std::any_of(sources_.begin(), sources_.end(), [&](const Source& other) {
              const auto found = other.reports.find(it->first);
              return &other != &source && found != other.reports.end() &&
                     found->second.state != ReportedState::removed;
            });
        if (!reported_elsewhere) {
          it = source.reports.erase(it);
          continue;
        }
      }
      // The worst report wins; among ready ones, the most reliable. The lowest rank decides; ranks of 3 and
      // above mean ready.
      std::pair<int, Clause> rank{5, Clause::stale};
      if (report.state == ReportedState::removed) {
        rank = {0, Clause::removed};
        schedule(std::max(now + kSecond, report.since + kRemovalRetention));
      } else if (report.ready_at > now) {
        rank = {1, Clause::reappeared};
        schedule(report.ready_at);
      } else if (report.state == ReportedState::draining) {
        rank = {2, Clause::draining};
      } else if (report.removal_unconfirmed) {
        rank = {4, Clause::removal_unconfirmed};
      } else if (source.only_cached) {
        rank = {6, Clause::cached};
      } else if (!source.failing && !source.leaving) {
        rank = {3, Clause::reported};
      }
      Candidate& candidate = candidates[it->first];
      if (rank.first < candidate.rank) {
        candidate.rank = rank.first;
        candidate.clause = rank.second;
        candidate.best = &report;
        candidate.best_source = &source;
      }
      if (source.spec.list && report.state != ReportedState::removed) candidate.list_report = &report;
      if (!source.spec.list) {
        candidate.priority =
            std::min(candidate.has_priority ? candidate.priority : report.priority, report.priority);
        candidate.has_priority = true;
      }
      ++it;
    }
  }
  // The list has no priorities: an address that only the list reports belongs to the first group.
  std::uint16_t first_group = UINT16_MAX;
  for (const auto& [address, candidate] : candidates) first_group = std::min(first_group, candidate.priority);
  std::map<std::string, MergedEndpoint> merged_endpoints;
  for (const auto& [address, candidate] : candidates) {
    MergedEndpoint& merged = merged_endpoints[address];
    merged.clause = candidate.clause;
    merged.source = candidate.best_source->spec.name;
    merged.priority = candidate.has_priority ? candidate.priority : first_group;
    if (candidate.list_report != nullptr) {
      // The list's entry is preferred: for DNS sources these values come from the settings or are guessed.
      merged.endpoint = candidate.list_report->entry;
      merged.endpoint.replica.size = candidate.list_report->size;
    } else {
      const SourceSpec& spec = candidate.best_source->spec;
      merged.endpoint.replica.zone = spec.zone;
      merged.endpoint.replica.kind = spec.kind;
      merged.endpoint.replica.cell = spec.cell;
      merged.endpoint.replica.size = candidate.best->size;
      // DNS has no start times. A replica that joins a known set has most likely just started, and needs slow
      // start so that it is not overloaded while cold.
      if (candidate.best->joined_later)
        merged.endpoint.replica.started_at = static_cast<double>(candidate.best->since) / 1e6;
      if (const auto old = merged_endpoints_.find(address);
          old != merged_endpoints_.end() && old->second.endpoint.replica.health == Health::ready &&
          candidate.rank >= 3)
        merged.endpoint.replica.started_at =
            old->second.endpoint.replica.started_at;  // it was ready before: it has not restarted
    }
    merged.endpoint.address = address;
    merged.endpoint.replica.id = replica_id(address);
    merged.endpoint.replica.health = candidate.rank >= 3   ? Health::ready
                                     : candidate.rank == 2 ? Health::draining
                                                           : Health::gone;
  }
  merged_endpoints_ = std::move(merged_endpoints);
  assign_traffic_shares(now);
}

// Splits the traffic over the priority groups, the highest priority first. A group with too few ready
// replicas keeps the fraction of the traffic that it can serve, and the rest spills to the next group. A
// group's fraction is lowered at once. It is raised only after spill_hold, and to 1 only from spill_end on,
// so that it does not flap.
void EndpointMerger::assign_traffic_shares(Micros now) {
  struct Count {
    double total = 0.0, ready = 0.0, ready_size = 0.0;
  };
  std::map<std::uint16_t, Count> counts;
  for (const auto& [address, merged] : merged_endpoints_) {
    Count& count = counts[merged.priority];
    count.total += 1.0;  // with draining and recently removed replicas, which the group is missing
    if (merged.endpoint.replica.health != Health::ready) continue;
    count.ready += 1.0;
    count.ready_size += merged.endpoint.replica.size;
  }
  traffic_shares_.clear();
  double unassigned_share = 1.0, assigned_size = 0.0, assigned_share = 0.0;
  std::map<std::uint16_t, double> size_factors;
  std::erase_if(groups_, [&](const auto& g) { return counts.count(g.first) == 0; });
  for (auto it = counts.begin(); it != counts.end(); ++it) {
    const Count& count = it->second;
    PriorityGroup& group = groups_[it->first];
    const double ready_fraction = count.total > 0.0 ? count.ready / count.total : 0.0;
    const double capacity = std::min(1.0, ready_fraction / settings_.spill_below);
    double step =
        ready_fraction >= settings_.spill_below ? 1.0 : std::floor(capacity * kShareSteps) / kShareSteps;
    if (count.ready > 0.0) step = std::max(step, 1.0 / kShareSteps);
    if (count.ready == 0.0) step = 0.0;
    if (step < group.accepted_fraction) {
      group.accepted_fraction = step;
      group.lowered_at = now;
    } else if (step > group.accepted_fraction) {
      const bool may_raise = step < 1.0 || ready_fraction >= settings_.spill_end;
      if (group.accepted_fraction == 0.0 || (may_raise && now >= group.lowered_at + settings_.spill_hold)) {
        group.accepted_fraction = step;
      } else if (may_raise) {
        schedule(group.lowered_at + settings_.spill_hold);
      }
    }
    const bool later_group_ready =
        std::any_of(std::next(it), counts.end(), [](const auto& o) { return o.second.ready > 0; });
    const double share = later_group_ready ? unassigned_share * group.accepted_fraction
                                           : (count.ready > 0.0 ? unassigned_share : 0.0);
    traffic_shares_[it->first] = share;
    // Scales sizes so that the group's fraction of the total size equals its share of the traffic.
    if (share > 0.0 && count.ready_size > 0.0) {
      size_factors[it->first] =
          assigned_share > 0.0 ? share / assigned_share * assigned_size / count.ready_size : 1.0;
      assigned_size += count.ready_size * size_factors[it->first];
      assigned_share += share;
    }
    unassigned_share -= share;
    if (unassigned_share < 1e-9) unassigned_share = 0.0;
  }
  for (auto& [address, merged] : merged_endpoints_) {
    if (merged.endpoint.replica.health != Health::ready) continue;
    const auto size_factor = size_factors.find(merged.priority);
    if (size_factor == size_factors.end()) {
      merged.endpoint.replica.health = Health::draining;
      merged.clause = Clause::standby;
    } else {
      merged.endpoint.replica.size *= size_factor->second;
    }
  }
}

// ---- results

std::optional<core::EndpointListUpdate> EndpointMerger::take_changes() {
  core::EndpointListUpdate update;
  update.kind = policy::ListKind::delta;
  for (const auto& [address, merged] : merged_endpoints_) {
    const auto it = taken_endpoints_.find(address);
    const auto& replica = merged.endpoint.replica;
    if (it == taken_endpoints_.end() && replica.health == Health::gone) continue;
    if (it != taken_endpoints_.end()) {
      const auto& taken = it->second.replica;
      if (taken.health == replica.health && taken.size == replica.size &&
          taken.started_at == replica.started_at && taken.zone == replica.zone &&
          taken.kind == replica.kind && taken.cell == replica.cell)
        continue;
    }
    update.entries.push_back(merged.endpoint);
    taken_endpoints_[address] = merged.endpoint;
  }
  for (auto it = taken_endpoints_.begin(); it != taken_endpoints_.end();) {
    if (merged_endpoints_.count(it->first) != 0) {
      ++it;
      continue;
    }
    if (it->second.replica.health != Health::gone) {
      update.entries.push_back(it->second);
      update.entries.back().replica.health = Health::gone;
    }
    it = taken_endpoints_.erase(it);
  }
  if (update.entries.empty()) return std::nullopt;
  update.version = ++version_;
  return update;
}

core::EndpointListUpdate EndpointMerger::full_list() const {
  core::EndpointListUpdate update;
  update.kind = policy::ListKind::full;
  update.version = version_;
  for (const auto& [address, merged] : merged_endpoints_) {
    if (merged.endpoint.replica.health != Health::gone) update.entries.push_back(merged.endpoint);
  }
  return update;
}

bool EndpointMerger::any_answered() const {
  return std::any_of(sources_.begin(), sources_.end(), [](const Source& s) { return s.answered; });
}
bool EndpointMerger::all_failed() const {
  return !any_answered() &&
         std::all_of(sources_.begin(), sources_.end(), [](const Source& s) { return s.failing; });
}

std::vector<ReportSummary> EndpointMerger::report_summaries(const std::string& address, Micros now) const {
  std::vector<ReportSummary> out;
  for (const Source& s : sources_) {
    const auto it = s.reports.find(address);
    if (it == s.reports.end()) continue;
    const AddressReport& report = it->second;
    const char* what = report.state == ReportedState::removed    ? "gone"
                       : report.state == ReportedState::draining ? "draining"
                       : report.ready_at > now                   ? "returning"
                       : report.removal_unconfirmed              ? "left out (doubted)"
                                                                 : "ready";
    out.push_back({s.spec.name, what});
  }
  return out;
}

std::vector<SourceStatus> EndpointMerger::status(Micros now) const {
  std::vector<SourceStatus> out;
  for (const Source& s : sources_) {
    SourceStatus status;
    status.name = s.spec.name;
    status.state = s.leaving        ? "leaving"
                   : lapsed(s, now) ? "lapsed"
                   : s.failing      ? "failing"
                   : s.answered     ? "current"
                                    : "waiting";
    status.age = s.last_answer < 0 ? -1 : now - s.last_answer;
    status.error = s.error;
    status.names =
        static_cast<std::size_t>(std::count_if(s.reports.begin(), s.reports.end(), [](const auto& w) {
          return w.second.state != ReportedState::removed;
        }));
    status.answers = s.answers;
    status.failures = s.failures;
    status.unconfirmed_removals = s.unconfirmed_removals;
    out.push_back(std::move(status));
  }
  return out;
}

}  // namespace flintglade::endpoint_sources
