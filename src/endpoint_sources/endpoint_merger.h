// One replica set out of several sources that lag, disagree and fail. No I/O; time is handed in. The rule is
// written down, clause by clause, in docs/membership.md; each verdict names its clause.
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

// The clauses of the rule, by their numbers in docs/membership.md.
enum class Clause : std::uint8_t {
  named = 2,      // a source that answers names it, and none speaks against it
  draining = 3,   // a source says that it drains
  gone = 4,       // a source says that it is gone, or has left it out
  returning = 5,  // named again, but not for long enough yet
  doubted = 6,    // left out by an answer that drops too many at once
  held = 7,       // only sources that fail now name it
  known = 8,      // known from before the start; no source has answered yet
  standby = 9,    // its priority group is not needed
};
const char* to_string(Clause clause);

struct Settings {
  double guard_part = 0.5;
  Micros guard = 30 * core::kSecond;
  Micros back_after = 5 * core::kSecond;
  Micros source_stale = 86400 * core::kSecond;
  double spill_below = 0.7;
  double spill_end = 0.85;
  Micros spill_hold = 10 * core::kSecond;
};

struct SourceSpec {
  std::string name;
  bool list = false;     // the platform's list; else DNS
  std::string dns_name;  // DNS: the SRV name
  std::uint32_t zone = 0, kind = 0, cell = 0;
  bool zero_drains = false;  // weight 0 beside larger ones means: drains
};

struct Named {          // one address that a DNS answer names
  std::string address;  // host:port, canonical
  std::string host;     // the target by which it is named
  std::uint16_t priority = 0, weight = 0;
};
struct DnsFacts {  // a whole, valid answer; an empty one names nobody
  std::vector<Named> named;
  std::vector<std::string> unresolved;  // targets whose addresses cannot be told now
  std::uint64_t fingerprint = 0;        // equal ones say the same; 0: not known
};

enum class Standing : std::uint8_t { ready, draining, gone };

struct Word {  // what one source says of one address
  Standing standing = Standing::ready;
  Micros since = 0;            // when it first said so
  Micros back_at = 0;          // ready only from then on, if that is later than now
  bool doubted = false;        // left out by an answer that is not believed yet
  core::Endpoint entry;        // what the list says of it
  std::string host;            // DNS
  std::uint16_t priority = 0;  // DNS
  double size = 1.0;
  bool all_at_once = false;  // gone with most of its source: a matter of the zone, not of the machine
  bool new_since = false;    // named for the first time after its source had answered: it has just started
};

struct Said {
  std::string source;
  const char* what;
};
struct Verdict {
  core::Endpoint endpoint;  // as the core is to have it
  Clause clause = Clause::named;
  std::string source;  // that decided
  std::uint16_t priority = 0;
};

struct SourceStatus {
  std::string name;
  const char* state = "";  // waiting, current, failing, lapsed
  Micros age = -1;         // since its last answer; -1: none
  std::string error;       // of its last ask; empty: it went well
  std::size_t names = 0;   // addresses that it names
  std::uint64_t answers = 0, failures = 0, doubts = 0;
};

class EndpointMerger {
 public:
  EndpointMerger(Settings settings, std::vector<SourceSpec> sources);
  // A reload. A source of an old name keeps what it said; what a removed one said counts until each new one
  // has answered or failed.
  void configure(Micros now, Settings settings, std::vector<SourceSpec> sources);

  void known(Micros now, const core::EndpointListUpdate& news);  // before anything else
  void list(Micros now, const core::EndpointListUpdate& news);
  void dns(Micros now, const std::string& source, const DnsFacts& facts);
  void failed(Micros now, const std::string& source, const std::string& why);
  void wake(Micros now);
  Micros next_timer() const;

  // What changed since the last call; nothing if nothing did. An address that no source names any more is
  // gone.
  std::optional<core::EndpointListUpdate> changes();
  core::EndpointListUpdate whole() const;  // all that there is to tell

  bool answered() const;                            // some source has
  bool all_failed() const;                          // none has, and each has failed to
  std::vector<std::string> to_confirm(Micros now);  // DNS names whose doubted answer needs a second look
  const std::map<std::string, Verdict>& verdicts() const { return verdicts_; }
  std::uint64_t generation() const { return generation_; }  // grows whenever the verdicts are derived anew
  std::vector<Said> said(const std::string& address, Micros now) const;
  std::vector<SourceStatus> status(Micros now) const;
  // Groups by priority: what part of the traffic each gets.
  const std::map<std::uint16_t, double>& shares() const { return shares_; }

 private:
  struct Source {
    SourceSpec spec;
    std::map<std::string, Word> words;
    bool answered = false;  // since the start, or since its name changed
    bool failing = false;
    bool leaving = false;     // removed by a reload
    bool only_known = false;  // all it says is from before the start
    Micros last_answer = -1, last_try = -1, leave_by = 0;
    Micros doubt_since = core::kNever;
    bool asked_again = false;
    Micros peak_at = 0;
    std::uint64_t fingerprint = 0;  // of its last answer
    std::size_t peak = 0;           // most addresses named since peak_at
    std::string error;
    std::uint64_t answers = 0, failures = 0, doubts = 0;
    std::map<core::ReplicaId, core::Endpoint> listed;  // the list, by its ids
    std::uint32_t version = 0;                         // the highest seen
  };
  struct Group {
    double kept = 1.0;  // what part of its traffic it can take
    Micros lowered = INT64_MIN / 2;
  };

  Source* find(const std::string& name);
  bool lapsed(const Source& source, Micros now) const;
  bool current(const Source& source) const { return source.answered && !source.failing && !source.leaving; }
  void good(Micros now, Source& source);
  void say(Micros now, Source& source, const std::string& address, Word word, bool held_back);
  void drop(Micros now, Source& source, const std::string& address);
  void take_list(Micros now, Source& source, const core::EndpointListUpdate& news, bool first);
  void settle(Micros now);  // derives the verdicts
  void spread(Micros now);  // priority groups and sizes
  void alarm(Micros at) { alarm_ = std::min(alarm_, at); }

  Settings settings_;
  std::vector<Source> sources_;
  std::map<std::string, Verdict> verdicts_;
  std::map<std::string, core::Endpoint> told_;
  std::map<std::uint16_t, Group> groups_;
  std::map<std::uint16_t, double> shares_;
  Micros alarm_ = core::kNever;
  std::uint32_t version_ = 0;
  std::uint64_t generation_ = 0;
};

// A replica's id is made of its address alone, so that it is the same whichever source named it first.
core::ReplicaId replica_id(const std::string& address);

}  // namespace flintglade::endpoint_sources
