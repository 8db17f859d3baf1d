// `fleet audit`: reads the logs of a fleet's routers and checks the rules of leases and fencing tokens.
//
// Pure functions of the logs. The rules are checked by lease numbers, independent of the routers' clocks;
// only the durations between ownerships depend on clocks.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flintglade::coordination {

struct LogLine {
  std::int64_t ms = -1;  // Unix time
  std::string event;     // the name in the log, which may be one of an earlier version
  std::map<std::string, std::string> fields;

  // Empty if there is no such field.
  std::string operator[](const std::string& key) const {
    const auto it = fields.find(key);
    return it == fields.end() ? "" : it->second;
  }
};

// Parses a line that src/log wrote, as text or as JSON. Nullopt if the line is not one or is incomplete.
std::optional<LogLine> parse_log_line(std::string_view text);

class Audit {
 public:
  // One router's ownership of a job under one lease number, according to its own log.
  struct Ownership {
    std::string job, router;
    std::uint64_t number = 0;
    std::int64_t from_ms = 0, to_ms = -1;
    std::string end_reason;
  };

  // Adds a router's log, oldest line first. Lines that cannot be parsed are skipped and counted. A log may
  // contain several consecutive processes of the router.
  void add_log(const std::string& router, std::string_view log);

  // One line for each violation of a rule.
  std::vector<std::string> violations() const;
  // Sorted by job and number.
  std::vector<Ownership> ownerships() const;
  std::uint64_t unparsed_lines() const { return unparsed_lines_; }
  // Number of effects that were rejected for a stale fencing token.
  std::uint64_t stale_effects() const { return stale_effects_; }

 private:
  // State of the process whose lines are being read.
  struct Process {
    std::string router;
    std::map<std::string, std::uint64_t> highest_tokens;  // by job: of the effects that it applied
    std::map<std::string, std::size_t> owned;             // by job: the index in ownerships_
    std::int64_t last_ms = 0;
  };

  void add_line(const LogLine& line, Process& process);
  void add_grant(const LogLine& line, const std::string& router);
  void add_applied_effect(const LogLine& line, Process& process);
  void begin_ownership(const LogLine& line, Process& process);
  void end_ownership(const std::string& job, std::int64_t at_ms, const std::string& reason, Process& process);
  void end_all(const std::string& reason, Process& process);

  std::vector<Ownership> ownerships_;
  std::vector<std::string> violations_;
  // From the voters' logs. A number is granted once in the whole lease table, whatever the job.
  std::map<std::string, std::string> granted_;         // "JOB NUMBER" -> the new owner
  std::map<std::string, std::string> jobs_by_number_;  // NUMBER -> the job
  std::uint64_t unparsed_lines_ = 0, stale_effects_ = 0;
};

}  // namespace flintglade::coordination
