#include "coordination/audit.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <nlohmann/json.hpp>

namespace flintglade::coordination {
namespace {

std::int64_t read_time(const std::string& text) {
  std::tm t{};
  int ms = 0;
  if (std::sscanf(text.c_str(), "%4d-%2d-%2dT%2d:%2d:%2d.%3dZ", &t.tm_year, &t.tm_mon, &t.tm_mday, &t.tm_hour,
                  &t.tm_min, &t.tm_sec, &ms) != 7)
    return -1;
  t.tm_year -= 1900;
  t.tm_mon -= 1;
  return static_cast<std::int64_t>(::timegm(&t)) * 1000 + ms;
}

std::uint64_t number(const LogLine& line, const char* key = "number") {
  return std::strtoull(line[key].c_str(), nullptr, 10);
}

// Logs of earlier versions name the same events otherwise; a fleet of mixed versions has both.
std::string_view current_event_name(std::string_view name) {
  if (name == "job_granted") return "lease_granted";
  if (name == "job_starts") return "lease_acquired";
  if (name == "job_stops") return "lease_released";
  if (name == "effect_of") return "lease_effect_applied";
  if (name == "effect_refused") return "stale_fencing_token";
  return name;
}

}  // namespace

bool read_line(std::string_view text, LogLine& out) {
  out = {};
  if (!text.empty() && text.front() == '{') {
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object()) return false;
    for (const auto& [key, value] : json.items())
      out.fields[key] = value.is_string() ? value.get<std::string>() : value.dump();
  } else {
    for (std::size_t at = 0; at < text.size();) {
      const std::size_t mark = text.find('=', at);
      if (mark == std::string_view::npos) return false;
      const std::string key(text.substr(at, mark - at));
      std::size_t end = mark + 1;
      if (end < text.size() && text[end] == '"') {
        for (++end; end < text.size() && text[end] != '"'; ++end) end += text[end] == '\\';
        if (end >= text.size()) return false;
        const auto value = nlohmann::json::parse(text.substr(mark + 1, end - mark), nullptr, false);
        if (!value.is_string()) return false;
        out.fields[key] = value.get<std::string>();
        ++end;
      } else {
        end = std::min(text.find(' ', end), text.size());
        out.fields[key] = std::string(text.substr(mark + 1, end - mark - 1));
      }
      at = end + 1;
    }
  }
  out.event = out["event"];
  out.ms = read_time(out["ts"]);
  return !out.event.empty() && out.ms >= 0;
}

void Audit::read(const std::string& router, std::string_view log) {
  std::map<std::string, std::uint64_t> taken;
  std::map<std::string, std::size_t> running;
  std::int64_t last = 0;
  const auto ends = [&](const std::string& job, std::int64_t at, const std::string& why) {
    const auto it = running.find(job);
    if (it == running.end()) return;
    owners_[it->second].to_ms = at;
    owners_[it->second].why = why;
    running.erase(it);
  };
  for (std::size_t at = 0; at < log.size();) {
    const std::size_t end = std::min(log.find('\n', at), log.size());
    LogLine line;
    if (!read_line(log.substr(at, end - at), line)) {
      unread_ += end > at;
      at = end + 1;
      continue;
    }
    at = end + 1;
    const std::string job = line["job"], what = job + " " + line["number"];
    const std::string_view event = current_event_name(line.event);
    if (event == "listening" && line["wire"] == "http") {  // a new process: what it has seen is nothing
      taken.clear();
      while (!running.empty()) ends(running.begin()->first, last, "its process ended");
    } else if (event == "lease_granted") {
      const auto [it, fresh] = granted_.emplace(what, line["to"]);
      if (!fresh && it->second != line["to"])
        broken_.push_back(what + " was granted to " + it->second + " and, at " + router + ", to " +
                          line["to"]);
    } else if (event == "lease_acquired") {
      ends(job, line.ms, "it started again");
      running[job] = owners_.size();
      owners_.push_back({job, router, number(line), line.ms, -1, ""});
    } else if (event == "lease_released") {
      ends(job, line.ms, line["why"]);
    } else if (event == "lease_effect_applied") {
      std::uint64_t& highest = taken[job];
      if (number(line) < highest)
        broken_.push_back(router + " took an effect of " + what + " after number " + std::to_string(highest));
      highest = std::max(highest, number(line));
    } else if (event == "stale_fencing_token") {
      ++refused_;
    }
    last = line.ms;
  }
  while (!running.empty()) ends(running.begin()->first, last, "its log ends");
}

std::vector<Audit::Owner> Audit::owners() const {
  std::vector<Owner> out = owners_;
  std::sort(out.begin(), out.end(), [](const Owner& a, const Owner& b) {
    return std::tie(a.job, a.number, a.from_ms) < std::tie(b.job, b.number, b.from_ms);
  });
  return out;
}

std::vector<std::string> Audit::broken() const {
  std::vector<std::string> out = broken_;
  std::map<std::pair<std::string, std::uint64_t>, std::string> owned;
  for (const Owner& o : owners_) {
    const auto [it, fresh] = owned.emplace(std::pair(o.job, o.number), o.router);
    if (!fresh && it->second != o.router)
      out.push_back(o.job + " number " + std::to_string(o.number) + " ran at " + it->second + " and at " +
                    o.router);
    const auto granted = granted_.find(o.job + " " + std::to_string(o.number));
    if (granted != granted_.end() && granted->second != o.router)
      out.push_back(o.job + " number " + std::to_string(o.number) + " ran at " + o.router +
                    " and was granted to " + granted->second);
  }
  return out;
}

}  // namespace flintglade::coordination
