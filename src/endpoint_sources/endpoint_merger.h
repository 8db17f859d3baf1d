// Merges several sources of endpoints, which may be late, contradict each other or fail, into one set of
// replicas. Does no I/O; callers pass the time. docs/membership.md defines the merge rule clause by clause;
// each merged endpoint names the clause that decided it.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ports.h"

namespace flintglade::endpoint_sources {

using core::Micros;
using policy::Health;

// The clauses of the merge rule, by their numbers in docs/membership.md.
enum class Clause : std::uint8_t {
  reported = 2,             // a source that answers reports it, and no source says otherwise
  draining = 3,             // a source reports it as draining
  removed = 4,              // a source reports it as removed, or no longer reports it
  reappeared = 5,           // ready again after removal or draining, but not yet for Settings::return_delay
  removal_unconfirmed = 6,  // missing from an answer that removes too many addresses at once
  stale = 7,                // only sources that currently fail report it
  cached = 8,               // from the list cached before the start; no source has answered yet
  standby = 9,              // its priority group is not needed
};
const char* to_string(Clause clause);

struct Settings {
  // A DNS answer that removes more than this fraction of the source's addresses must be confirmed ...
  double max_removed_fraction = 0.5;
  Micros confirm_delay = 30 * core::kSecond;  // ... by another answer after this time
  Micros return_delay = 5 * core::kSecond;    // until an address that was removed or draining is ready again
  Micros source_stale = 86400 * core::kSecond;  // a source that fails for longer is ignored
  double spill_below = 0.7;                     // ready fraction below which a priority group spills traffic
  double spill_end = 0.85;                      // ready fraction at which the group takes all of it again
  Micros spill_hold = 10 * core::kSecond;       // the shortest time for which a group's share stays lowered
};

struct SourceSpec {
  std::string name;
  bool list = false;     // the platform's endpoint list; otherwise DNS
  std::string dns_name;  // DNS: the SRV name
  std::uint32_t zone = 0, kind = 0, cell = 0;
  bool zero_weight_drains = false;  // weight 0 next to larger weights means that the replica drains
};

struct DnsAddress {     // one address of a DNS answer
  std::string address;  // host:port, canonical
  std::string host;     // the SRV target that resolved to it
  std::uint16_t priority = 0, weight = 0;
};
struct ResolvedAddresses {  // a complete, valid answer; it may be empty
  std::vector<DnsAddress> addresses;
  std::vector<std::string> unresolved;  // targets whose addresses are currently unknown
  std::uint64_t fingerprint = 0;        // equal for answers with equal contents; 0: unknown
};

enum class ReportedState : std::uint8_t { ready, draining, removed };

struct AddressReport {  // the latest report of one source on one address
  ReportedState state = ReportedState::ready;
  Micros since = 0;                  // when the source first reported this state
  Micros ready_at = 0;               // a ready address counts as ready only from this time on
  bool removal_unconfirmed = false;  // missing from an answer that is not confirmed yet
  core::Endpoint entry;              // list sources: the list's entry
  std::string host;                  // DNS
  std::uint16_t priority = 0;        // DNS
  double size = 1.0;
  // Removed together with most of its source: the zone went away, which does not mean that the replica
  // restarted.
  bool mass_removal = false;
  // First reported after the source's first answer, or reported again after a removal that was no mass
  // removal: assumed to have just started.
  bool joined_later = false;
};

struct ReportSummary {
  std::string source;
  const char* what;
};
struct MergedEndpoint {
  core::Endpoint endpoint;  // as the core gets it
  Clause clause = Clause::reported;
  std::string source;  // the source that decided
  std::uint16_t priority = 0;
};

struct SourceStatus {
  std::string name;
  const char* state = "";  // waiting, current, failing, lapsed, leaving
  Micros age = -1;         // since its last answer; -1: it has not answered
  std::string error;       // of its last query; empty: the query succeeded
  std::size_t names = 0;   // number of addresses that it reports
  std::uint64_t answers = 0, failures = 0, unconfirmed_removals = 0;
};

class EndpointMerger {
 public:
  EndpointMerger(Settings settings, std::vector<SourceSpec> sources);
  // Applies reloaded settings. A source that keeps its name keeps its reports. The reports of a removed
  // source count until each remaining source has answered or failed.
  void configure(Micros now, Settings settings, std::vector<SourceSpec> sources);

  // The list cached before the start; called before any other update.
  void apply_cached_list(Micros now, const core::EndpointListUpdate& update);
  void apply_list(Micros now, const core::EndpointListUpdate& update);
  void apply_dns_answer(Micros now, const std::string& source, const ResolvedAddresses& answer);
  void on_source_failed(Micros now, const std::string& source, const std::string& why);
  void on_timer(Micros now);
  Micros next_timer() const;

  // The changes since the last call; nullopt if there are none. An address that no source reports any more is
  // included as gone.
  std::optional<core::EndpointListUpdate> take_changes();
  core::EndpointListUpdate full_list() const;

  bool any_answered() const;
  bool all_failed() const;  // no source has answered, and each has failed
  // DNS names to query again, because their last answers removed too many addresses.
  std::vector<std::string> names_to_confirm(Micros now);
  const std::map<std::string, MergedEndpoint>& merged_endpoints() const { return merged_endpoints_; }
  // Incremented whenever the merged endpoints are recomputed.
  std::uint64_t generation() const { return generation_; }
  // What each source last reported on the address.
  std::vector<ReportSummary> report_summaries(const std::string& address, Micros now) const;
  std::vector<SourceStatus> status(Micros now) const;
  // The fraction of the traffic that each priority group gets.
  const std::map<std::uint16_t, double>& traffic_shares() const { return traffic_shares_; }

 private:
  struct Source {
    SourceSpec spec;
    std::map<std::string, AddressReport> reports;  // by address
    bool answered = false;                         // since the start, or since its DNS name changed
    bool failing = false;
    bool leaving = false;  // removed by a reload
    bool only_cached =
        false;  // all its reports are from before the start, or from before a change of its name
    Micros last_answer = -1, last_try = -1, remove_by = 0;
    Micros unconfirmed_since = core::kNever;  // when it first removed too many addresses at once
    bool confirm_requested = false;
    Micros peak_at = 0;
    std::uint64_t fingerprint = 0;  // of its last answer
    std::size_t peak_count = 0;     // the most addresses reported since peak_at
    std::string error;
    std::uint64_t answers = 0, failures = 0, unconfirmed_removals = 0;
    std::map<core::ReplicaId, core::Endpoint> list_entries;  // list sources: the list by its ids
    std::uint32_t version = 0;  // list sources: of the last full list, or of a later delta if higher
  };
  struct PriorityGroup {
    double accepted_fraction = 1.0;  // of the traffic offered to it
    Micros lowered_at = INT64_MIN / 2;
  };

  Source* find(const std::string& name);
  bool lapsed(const Source& source, Micros now) const;
  bool current(const Source& source) const { return source.answered && !source.failing && !source.leaving; }
  void record_answer(Micros now, Source& source);
  void record_report(Micros now, Source& source, const std::string& address, AddressReport report,
                     bool delay_return);
  void record_removal(Micros now, Source& source, const std::string& address);
  void merge_list(Micros now, Source& source, const core::EndpointListUpdate& update, bool first);
  void recompute(Micros now);              // derives the merged endpoints from the reports
  void assign_traffic_shares(Micros now);  // by priority group; scales the replicas' sizes
  void schedule(Micros at) { next_timer_ = std::min(next_timer_, at); }

  Settings settings_;
  std::vector<Source> sources_;
  std::map<std::string, MergedEndpoint> merged_endpoints_;  // by address
  std::map<std::string, core::Endpoint> taken_endpoints_;   // as take_changes() last returned them
  std::map<std::uint16_t, PriorityGroup> groups_;
  std::map<std::uint16_t, double> traffic_shares_;
  Micros next_timer_ = core::kNever;
  std::uint32_t version_ = 0;
  std::uint64_t generation_ = 0;
};

// Derives a replica's id from its address alone, so that the id is the same whichever source reported the
// replica first.
core::ReplicaId replica_id(const std::string& address);

}  // namespace flintglade::endpoint_sources
