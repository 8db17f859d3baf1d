#include "coordination/audit.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <nlohmann/json.hpp>
#include <tuple>

namespace flintglade::coordination {
namespace {

using Fields = std::map<std::string, std::string>;

// Unix time in ms; -1 if the text is not in the time format of src/log.
std::int64_t parse_time(const std::string& text) {
  std::tm time{};
  int ms = 0;
  const int parsed = std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &time.tm_year, &time.tm_mon,
                                 &time.tm_mday, &time.tm_hour, &time.tm_min, &time.tm_sec, &ms);
  if (parsed != 7) return -1;
  time.tm_year -= 1900;
  time.tm_mon -= 1;
  return static_cast<std::int64_t>(::timegm(&time)) * 1000 + ms;
}

std::uint64_t lease_number(const LogLine& line) { return std::strtoull(line["number"].c_str(), nullptr, 10); }

std::string lease_key(const std::string& job, std::uint64_t number) {
  return job + " " + std::to_string(number);
}

// Earlier versions log the same events under other names; a fleet of mixed versions has both.
std::string_view current_event_name(std::string_view name) {
  if (name == "job_granted") return "lease_granted";
  if (name == "job_starts") return "lease_acquired";
  if (name == "job_stops") return "lease_released";
  if (name == "effect_of") return "lease_effect_applied";
  if (name == "effect_refused") return "stale_fencing_token";
  return name;
}

std::optional<Fields> parse_json_fields(std::string_view text) {
  const auto json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  Fields fields;
  for (const auto& [key, value] : json.items())
    fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
  return fields;
}

// The end of the value that begins at `begin`, including its quotes; npos if a quote is not closed.
std::size_t value_end(std::string_view text, std::size_t begin) {
  if (begin >= text.size() || text[begin] != '"') return std::min(text.find(' ', begin), text.size());
  std::size_t end = begin + 1;
  for (; end < text.size() && text[end] != '"'; ++end) end += text[end] == '\\';
  return end < text.size() ? end + 1 : std::string_view::npos;
}

std::optional<std::string> parse_value(std::string_view value) {
  if (value.empty() || value.front() != '"') return std::string(value);
  const auto json = nlohmann::json::parse(value, nullptr, false);
  if (!json.is_string()) return std::nullopt;
  return json.get<std::string>();
}

std::optional<Fields> parse_text_fields(std::string_view text) {
  Fields fields;
  for (std::size_t begin = 0; begin < text.size();) {
    const std::size_t equals = text.find('=', begin);
    if (equals == std::string_view::npos) return std::nullopt;
    const std::size_t end = value_end(text, equals + 1);
    if (end == std::string_view::npos) return std::nullopt;
    const std::optional<std::string> value = parse_value(text.substr(equals + 1, end - equals - 1));
    if (!value) return std::nullopt;
    fields[std::string(text.substr(begin, equals - begin))] = *value;
    begin = end + 1;
  }
  return fields;
}

}  // namespace

std::optional<LogLine> parse_log_line(std::string_view text) {
  const bool is_json = !text.empty() && text.front() == '{';
  std::optional<Fields> fields = is_json ? parse_json_fields(text) : parse_text_fields(text);
  if (!fields) return std::nullopt;
  LogLine line;
  line.fields = *std::move(fields);
  line.event = line["event"];
  line.ms = parse_time(line["ts"]);
  if (line.event.empty() || line.ms < 0) return std::nullopt;
  return line;
}

void Audit::add_log(const std::string& router, std::string_view log) {
  Process process;
  process.router = router;
  for (std::size_t begin = 0; begin < log.size();) {
    const std::size_t end = std::min(log.find('\n', begin), log.size());
    if (const std::optional<LogLine> line = parse_log_line(log.substr(begin, end - begin))) {
      add_line(*line, process);
      process.last_ms = line->ms;
    } else {
      unparsed_lines_ += end > begin;
    }
    begin = end + 1;
  }
  end_all("its log ends", process);
}

void Audit::add_line(const LogLine& line, Process& process) {
  const std::string_view event = current_event_name(line.event);
  if (event == "listening" && line["wire"] == "http") {  // a new process, which has not seen any token yet
    process.highest_tokens.clear();
    end_all("its process ended", process);
  } else if (event == "lease_granted") {
    add_grant(line, process.router);
  } else if (event == "lease_tables_differ") {
    violations_.push_back("the lease table of voter " + line["voter"] + " differs from that of " +
                          process.router + ", seen after entry " + line["index"]);
  } else if (event == "lease_acquired") {
    begin_ownership(line, process);
  } else if (event == "lease_released") {
    end_ownership(line["job"], line.ms, line["why"], process);
  } else if (event == "lease_effect_applied") {
    add_applied_effect(line, process);
  } else if (event == "stale_fencing_token") {
    ++stale_effects_;
  }
}

void Audit::add_grant(const LogLine& line, const std::string& router) {
  const std::string lease = line["job"] + " " + line["number"];
  const auto [job, is_first_of_number] = jobs_by_number_.emplace(line["number"], line["job"]);
  if (!is_first_of_number && job->second != line["job"])
    violations_.push_back("number " + line["number"] + " was granted for " + job->second + " and, at " +
                          router + ", for " + line["job"]);
  const auto [it, is_first] = granted_.emplace(lease, line["to"]);
  if (is_first || it->second == line["to"]) return;
  violations_.push_back(lease + " was granted to " + it->second + " and, at " + router + ", to " +
                        line["to"]);
}

void Audit::add_applied_effect(const LogLine& line, Process& process) {
  std::uint64_t& highest = process.highest_tokens[line["job"]];
  if (lease_number(line) < highest)
    violations_.push_back(process.router + " applied an effect of " + line["job"] + " " + line["number"] +
                          " after number " + std::to_string(highest));
  highest = std::max(highest, lease_number(line));
}

void Audit::begin_ownership(const LogLine& line, Process& process) {
  const std::string job = line["job"];
  end_ownership(job, line.ms, "it started again", process);
  process.owned[job] = ownerships_.size();
  ownerships_.push_back({job, process.router, lease_number(line), line.ms, -1, ""});
}

void Audit::end_ownership(const std::string& job, std::int64_t at_ms, const std::string& reason,
                          Process& process) {
  const auto it = process.owned.find(job);
  if (it == process.owned.end()) return;
  ownerships_[it->second].to_ms = at_ms;
  ownerships_[it->second].end_reason = reason;
  process.owned.erase(it);
}

void Audit::end_all(const std::string& reason, Process& process) {
  while (!process.owned.empty()) {
    const std::string job = process.owned.begin()->first;
    end_ownership(job, process.last_ms, reason, process);
  }
}

std::vector<Audit::Ownership> Audit::ownerships() const {
  std::vector<Ownership> out = ownerships_;
  std::sort(out.begin(), out.end(), [](const Ownership& a, const Ownership& b) {
    return std::tie(a.job, a.number, a.from_ms) < std::tie(b.job, b.number, b.from_ms);
  });
  return out;
}

std::vector<std::string> Audit::violations() const {
  std::vector<std::string> out = violations_;
  std::map<std::string, std::string> owners;  // "JOB NUMBER" -> its first owner
  for (const Ownership& ownership : ownerships_) {
    const std::string lease = lease_key(ownership.job, ownership.number);
    const std::string prefix = ownership.job + " number " + std::to_string(ownership.number) + " ran at ";
    const auto [owner, is_first] = owners.emplace(lease, ownership.router);
    if (!is_first && owner->second != ownership.router)
      out.push_back(prefix + owner->second + " and at " + ownership.router);
    const auto granted = granted_.find(lease);
    if (granted != granted_.end() && granted->second != ownership.router)
      out.push_back(prefix + ownership.router + " and was granted to " + granted->second);
  }
  return out;
}

}  // namespace flintglade::coordination
