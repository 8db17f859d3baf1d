#include "simulator_adapter/boot_info.h"

#include <charconv>
#include <cmath>
#include <map>
#include <vector>

namespace flintglade::policy {
namespace {

constexpr std::size_t kMaxItems = 65536;  // the wire has 16 bits for classes and for tenants

// The path=value lines, and conversions of their values. Keeps the first error; an absent path leaves `out`
// as it is.
class SettingsReader {
 public:
  std::string error;
  std::map<std::string, std::string, std::less<>> values;

  void fail(std::string_view path, std::string_view value) {
    if (error.empty()) error = "setting " + std::string(path) + " has the value '" + std::string(value) + "'";
  }
  const std::string* find(const std::string& path) const {
    const auto entry = values.find(path);
    return entry == values.end() ? nullptr : &entry->second;
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
  // Limits the value to +-1e9.
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
    double value = 0.0;
    number(path, value);
    if (value < 0.0 || value > static_cast<double>(kMaxItems)) {
      fail(path, *find(path));
      return 0;
    }
    return static_cast<std::size_t>(value);
  }
  std::vector<std::string> list(const std::string& path) const {
    std::vector<std::string> items;
    const std::string* value = find(path);
    if (value == nullptr || value->empty()) return items;
    std::size_t start = 0;
    for (std::size_t comma = 0; comma != std::string::npos; start = comma + 1) {
      comma = value->find(',', start);
      items.push_back(value->substr(start, comma == std::string::npos ? comma : comma - start));
    }
    return items;
  }
  template <typename T>
  void choice(const std::string& path, T& out, const std::map<std::string, T>& names) {
    const std::string* value = find(path);
    if (value == nullptr) return;
    const auto entry = names.find(*value);
    if (entry == names.end()) return fail(path, *value);
    out = entry->second;
  }
  static bool to_number(const std::string& text, double& out) {
    const auto [end, error_code] = std::from_chars(text.data(), text.data() + text.size(), out);
    return error_code == std::errc() && end == text.data() + text.size() && std::isfinite(out);
  }
};

void read_classes(SettingsReader& reader, Settings& settings) {
  settings.classes.resize(reader.count("classes.count"));
  const auto us_per_1000_tokens = reader.list("family_info.aim_us_per_1000_prompt_tokens");
  for (std::size_t i = 0; i < settings.classes.size(); ++i) {
    const std::string path_prefix = "classes." + std::to_string(i) + ".";
    ClassSettings& class_settings = settings.classes[i];
    reader.number(path_prefix + "aim", class_settings.latency_objective);
    reader.number(path_prefix + "hard_limit", class_settings.hard_limit);
    reader.number(path_prefix + "worth", class_settings.priority_weight);
    reader.number(path_prefix + "late_value", class_settings.late_value);
    reader.number(path_prefix + "key_ttl", class_settings.key_ttl);
    reader.flag(path_prefix + "streamed", class_settings.streamed);
    reader.choice<Semantics>(path_prefix + "semantics", class_settings.semantics,
                             {{"safe", Semantics::idempotent},
                              {"keyed", Semantics::idempotency_key},
                              {"unsafe", Semantics::not_idempotent}});
    reader.choice<IdempotencyScope>(
        path_prefix + "group", class_settings.idempotency_scope,
        {{"all", IdempotencyScope::all}, {"zone", IdempotencyScope::zone}, {"cell", IdempotencyScope::cell}});
    double us = 0.0;
    if (i < us_per_1000_tokens.size()) {
      if (!SettingsReader::to_number(us_per_1000_tokens[i], us))
        reader.fail("family_info.aim_us_per_1000_prompt_tokens", us_per_1000_tokens[i]);
      class_settings.latency_objective_per_1000_tokens = us / 1e6;
    }
  }
}

void read_tenants(SettingsReader& reader, Settings& settings) {
  settings.tenants.resize(reader.count("accounts.count"));
  for (std::size_t i = 0; i < settings.tenants.size(); ++i) {
    const std::string path_prefix = "accounts." + std::to_string(i) + ".";
    reader.number(path_prefix + "quota_per_s", settings.tenants[i].quota_per_s);
    reader.number(path_prefix + "share", settings.tenants[i].share);
  }
}

}  // namespace

std::string parse_boot_info(std::string_view text, Settings& settings) {
  SettingsReader reader;
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
    reader.values.insert_or_assign(std::string(line.substr(0, equals)), std::string(line.substr(equals + 1)));
  }
  read_classes(reader, settings);
  read_tenants(reader, settings);
  reader.integer("balancers", settings.balancers);
  reader.integer("rank", settings.rank);
  reader.integer("az", settings.zone);
  const auto zones = reader.list("failure_domains");
  if (!zones.empty()) settings.zones = static_cast<int>(zones.size());
  reader.number("over_share_worth", settings.over_quota_weight);
  reader.choice<bool>("worth_by", settings.priority_weight_by_work, {{"request", false}, {"work", true}});
  reader.choice<bool>("registry_mode", settings.list_on_request, {{"pushed", false}, {"on_request", true}});
  reader.choice<bool>("registry_mode", settings.list_pushed, {{"pushed", true}, {"on_request", false}});
  reader.choice<WeightSource>("weight_source", settings.weights,
                              {{"silent", WeightSource::silent},
                               {"nominal", WeightSource::nominal},
                               {"rough", WeightSource::rough},
                               {"live", WeightSource::live}});
  reader.flag("callers.marks_retry", settings.marks_retry);
  reader.flag("family_info.resume", settings.resume);
  reader.flag("permissions.may_cancel", settings.may_cancel);
  reader.flag("permissions.may_duplicate", settings.may_duplicate);
  reader.flag("permissions.probing", settings.may_probe);
  reader.flag("permissions.peers", settings.may_peer);
  reader.flag("permissions.retry_after", settings.retry_after);
  reader.integer("permissions.most_tries", settings.max_attempts);
  reader.number("permissions.max_retry_after", settings.max_retry_after);
  reader.number("permissions.dial_timeout", settings.dial_timeout);
  reader.number("prices.cross_zone", settings.price_cross_zone);
  reader.number("prices.waste", settings.price_waste);
  reader.number("prices.late_fail", settings.price_late_fail);
  reader.number("invariants.cold_from", settings.cold_from);
  reader.number("invariants.cold", settings.cold_s);
  reader.number("invariants.fall_multiple", settings.fall_multiple);
  reader.number("invariants.fall", settings.fall_s);
  reader.number("invariants.must_ask_in", settings.must_ask_in);
  return reader.error;
}

}  // namespace flintglade::policy
