#include "simulator_adapter/boot_info.h"

#include <charconv>
#include <cmath>
#include <map>
#include <vector>

namespace flintglade::policy {
namespace {

constexpr std::size_t kMostItems = 65536;  // classes and tenants are u16 on the wire

class Lines {
 public:
  std::string error;
  std::map<std::string, std::string, std::less<>> values;

  void fail(std::string_view path, std::string_view value) {
    if (error.empty()) error = "setting " + std::string(path) + " has the value '" + std::string(value) + "'";
  }
  const std::string* find(const std::string& path) const {
    const auto it = values.find(path);
    return it == values.end() ? nullptr : &it->second;
  }
  void number(const std::string& path, double& out) {
    const std::string* value = find(path);
    if (value == nullptr) return;
    double parsed = 0.0;
    if (to_number(*value, parsed)) {
      out = parsed;
    } else {
      fail(path, *value);
    }
  }
  void integer(const std::string& path, int& out) {
    double parsed = out;
    number(path, parsed);
    out = static_cast<int>(std::fmin(std::fmax(parsed, -1e9), 1e9));
  }
  void flag(const std::string& path, bool& out) {
    const std::string* value = find(path);
    if (value == nullptr) return;
    if (*value != "true" && *value != "false") return fail(path, *value);
    out = *value == "true";
  }
  std::size_t count(const std::string& path) {
    double n = 0.0;
    number(path, n);
    if (n < 0.0 || n > static_cast<double>(kMostItems)) {
      fail(path, *find(path));
      return 0;
    }
    return static_cast<std::size_t>(n);
  }
  std::vector<std::string> list(const std::string& path) const {
    std::vector<std::string> items;
    const std::string* value = find(path);
    if (value == nullptr || value->empty()) return items;
    std::size_t from = 0;
    for (std::size_t comma = 0; comma != std::string::npos; from = comma + 1) {
      comma = value->find(',', from);
      items.push_back(value->substr(from, comma == std::string::npos ? comma : comma - from));
    }
    return items;
  }
  template <typename T>
  void choice(const std::string& path, T& out, const std::map<std::string, T>& names) {
    const std::string* value = find(path);
    if (value == nullptr) return;
    const auto it = names.find(*value);
    if (it == names.end()) return fail(path, *value);
    out = it->second;
  }
  static bool to_number(const std::string& text, double& out) {
    const auto [end, code] = std::from_chars(text.data(), text.data() + text.size(), out);
    return code == std::errc() && end == text.data() + text.size() && std::isfinite(out);
  }
};

void read_classes(Lines& in, Settings& s) {
  s.classes.resize(in.count("classes.count"));
  const auto per_k = in.list("family_info.aim_us_per_1000_prompt_tokens");
  for (std::size_t i = 0; i < s.classes.size(); ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    ClassSettings& c = s.classes[i];
    in.number(at + "aim", c.latency_objective);
    in.number(at + "hard_limit", c.hard_limit);
    in.number(at + "worth", c.priority_weight);
    in.number(at + "late_value", c.late_value);
    in.number(at + "key_ttl", c.key_ttl);
    in.flag(at + "streamed", c.streamed);
    in.choice<Semantics>(at + "semantics", c.semantics,
                         {{"safe", Semantics::idempotent},
                          {"keyed", Semantics::idempotency_key},
                          {"unsafe", Semantics::not_idempotent}});
    in.choice<IdempotencyScope>(
        at + "group", c.idempotency_scope,
        {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}});
    double us = 0.0;
    if (i < per_k.size()) {
      if (!Lines::to_number(per_k[i], us)) in.fail("family_info.aim_us_per_1000_prompt_tokens", per_k[i]);
      c.latency_objective_per_1000_tokens = us / 1e6;
    }
  }
}

void read_tenants(Lines& in, Settings& s) {
  s.tenants.resize(in.count("accounts.count"));
  for (std::size_t i = 0; i < s.tenants.size(); ++i) {
    const std::string at = "accounts." + std::to_string(i) + ".";
    in.number(at + "quota_per_s", s.tenants[i].quota_per_s);
    in.number(at + "share", s.tenants[i].share);
  }
}

}  // namespace

std::string parse_boot_info(std::string_view text, Settings& s) {
  Lines in;
  while (!text.empty()) {
    const std::size_t newline = text.find('\n');
    std::string_view line = text.substr(0, newline);
    text.remove_prefix(newline == std::string_view::npos ? text.size() : newline + 1);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    if (line.empty()) continue;
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      return "settings line without path=value: '" + std::string(line.substr(0, 80)) + "'";
    }
    in.values.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
  }
  read_classes(in, s);
  read_tenants(in, s);
  in.integer("balancers", s.balancers);
  in.integer("rank", s.rank);
  in.integer("az", s.zone);
  const auto zones = in.list("failure_domains");
  if (!zones.empty()) s.zones = static_cast<int>(zones.size());
  in.number("over_share_worth", s.over_quota_weight);
  in.choice<bool>("worth_by", s.priority_weight_by_work, {{"request", false}, {"work", true}});
  in.choice<bool>("registry_mode", s.list_on_request, {{"pushed", false}, {"on_request", true}});
  in.choice<bool>("registry_mode", s.list_pushed, {{"pushed", true}, {"on_request", false}});
  in.choice<WeightSource>("weight_source", s.weights,
                          {{"silent", WeightSource::silent},
                           {"nominal", WeightSource::nominal},
                           {"rough", WeightSource::rough},
                           {"live", WeightSource::live}});
  in.flag("callers.marks_retry", s.marks_retry);
  in.flag("family_info.resume", s.resume);
  in.flag("permissions.may_cancel", s.may_cancel);
  in.flag("permissions.may_duplicate", s.may_duplicate);
  in.flag("permissions.probing", s.may_probe);
  in.flag("permissions.peers", s.may_peer);
  in.flag("permissions.retry_after", s.retry_after);
  in.integer("permissions.most_tries", s.max_attempts);
  in.number("permissions.max_retry_after", s.max_retry_after);
  in.number("permissions.dial_timeout", s.dial_timeout);
  in.number("prices.cross_zone", s.price_cross_zone);
  in.number("prices.waste", s.price_waste);
  in.number("prices.late_fail", s.price_late_fail);
  in.number("invariants.cold_from", s.cold_from);
  in.number("invariants.cold", s.cold_s);
  in.number("invariants.fall_multiple", s.fall_multiple);
  in.number("invariants.fall", s.fall_s);
  in.number("invariants.must_ask_in", s.must_ask_in);
  return in.error;
}

}  // namespace flintglade::policy
