#include "discovery/entries.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "config/labels.h"

namespace flintglade::discovery {
namespace {

using Json = nlohmann::json;

std::string text(const Json& entry, const char* key) {
  const auto it = entry.find(key);
  return it != entry.end() && it->is_string() ? it->get<std::string>() : "";
}
double number(const Json& entry, const char* key, double otherwise) {
  const auto it = entry.find(key);
  return it != entry.end() && it->is_number() ? it->get<double>() : otherwise;
}
std::uint32_t position(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<std::uint32_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

}  // namespace

core::ReplicaId replica_id(std::string_view uid) { return config::hash_name(uid); }

bool parse_list(std::string_view json, const Names& names, core::EndpointListUpdate& out) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return false;
  const auto targets = root.find("targets");
  if (targets == root.end() || !targets->is_array() || targets->size() > kMostEntries) return false;
  const auto all = root.find("all");
  const bool whole = all != root.end() && all->is_boolean() && all->get<bool>();
  out.kind = whole ? policy::ListKind::full : policy::ListKind::delta;
  out.version = static_cast<std::uint32_t>(std::clamp(number(root, "rev", 0.0), 0.0, 4294967295.0));
  for (const Json& entry : *targets) {
    if (!entry.is_object()) continue;
    const std::string uid = text(entry, "uid");
    core::Endpoint e;
    e.address = text(entry, "endpoint");
    const std::string state = text(entry, "state");
    e.replica.health = state == "Ready"         ? policy::Health::ready
                       : state == "Terminating" ? policy::Health::draining
                                                : policy::Health::gone;
    if (uid.empty()) continue;
    e.replica.id = replica_id(uid);
    if (state != "Gone" && (e.address.empty() || e.replica.health == policy::Health::gone)) {
      out.unreadable.push_back(e.replica.id);
      continue;
    }
    e.replica.zone = position(names.zones, text(entry, "az"));
    e.replica.kind = position(names.kinds, text(entry, "model"));
    e.replica.cell = static_cast<std::uint32_t>(std::clamp(number(entry, "pod_group", 0.0), 0.0, 1e9));
    e.replica.size = number(entry, "capacity_hint", 1.0);
    const double boot_ms = number(entry, "boot_ms", 0.0);
    if (boot_ms > 0.0 && boot_ms < 1e15) e.replica.started_at = boot_ms / 1e3;
    out.entries.push_back(std::move(e));
  }
  return true;
}

}  // namespace flintglade::discovery
