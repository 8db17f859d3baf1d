#include "discovery/entries.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "config/labels.h"

namespace flintglade::discovery {
namespace {

using Json = nlohmann::json;

std::string string_value(const Json& entry, const char* key) {
  const auto it = entry.find(key);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : "";
}
double number_value(const Json& entry, const char* key, double fallback) {
  const auto it = entry.find(key);
  return it != entry.end() && it->is_number() ? it->get<double>() : fallback;
}
std::uint32_t index_of(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

core::ReplicaId replica_id(std::string_view uid) { return config::hash_name(uid); }

bool parse_list(std::string_view json, const Names& names, core::EndpointListUpdate& out) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return false;
  const auto targets = root.find("targets");
  if (targets == root.end() || !targets->is_array() || targets->size() > kMaxEntries) return false;
  const auto all = root.find("all");
  const bool full = all != root.end() && all->is_boolean() && all->get<bool>();
  out.kind = full ? policy::ListKind::full : policy::ListKind::delta;
  out.version = static_cast<std::uint32_t>(std::clamp(number_value(root, "rev", 0.0), 0.0, 4294967295.0));
  for (const Json& entry : *targets) {
    if (!entry.is_object()) continue;
    const std::string uid = string_value(entry, "uid");
    core::Endpoint endpoint;
    endpoint.address = string_value(entry, "endpoint");
    const std::string state = string_value(entry, "state");
    endpoint.replica.health = state == "Ready"         ? policy::Health::ready
                              : state == "Terminating" ? policy::Health::draining
                                                       : policy::Health::gone;
    if (uid.empty()) continue;
    endpoint.replica.id = replica_id(uid);
    if (state != "Gone" && (endpoint.address.empty() || endpoint.replica.health == policy::Health::gone)) {
      out.unreadable.push_back(endpoint.replica.id);
      continue;
    }
    endpoint.replica.zone = index_of(names.zones, string_value(entry, "az"));
    endpoint.replica.kind = index_of(names.kinds, string_value(entry, "model"));
    endpoint.replica.cell =
        static_cast<std::uint32_t>(std::clamp(number_value(entry, "pod_group", 0.0), 0.0, 1e9));
    endpoint.replica.size = number_value(entry, "capacity_hint", 1.0);
    const double boot_ms = number_value(entry, "boot_ms", 0.0);
    if (boot_ms > 0.0 && boot_ms < 1e15) endpoint.replica.started_at = boot_ms / 1e3;
    out.entries.push_back(std::move(endpoint));
  }
  return true;
}

}  // namespace flintglade::discovery
