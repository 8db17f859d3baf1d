#include "config/config.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "simulator_adapter/boot_info.h"

namespace flintglade::config {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxFileBytes = 16u << 20;

std::string flat_value(const Json& value) {
  std::string text = value.is_string() ? value.get<std::string>() : value.is_null() ? "" : value.dump();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text;
}

void flatten(const Json& value, const std::string& path, std::string& out) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) flatten(item, path.empty() ? key : path + "." + key, out);
    return;
  }
  if (!value.is_array()) {
    out += path + "=" + flat_value(value) + "\n";
    return;
  }
  if (std::any_of(value.begin(), value.end(), [](const Json& item) { return item.is_structured(); })) {
    out += path + ".count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), out);
    return;
  }
  out += path + "=";
  for (std::size_t i = 0; i < value.size(); ++i) out += (i > 0 ? "," : "") + flat_value(value[i]);
  out += "\n";
}

std::string read_host_port(const Json& root, const char* key, HostPort& out) {
  const auto it = root.find(key);
  if (it == root.end()) return "";
  if (!it->is_string() || !parse_host_port(it->get<std::string>(), out))
    return std::string("config: ") + key + " is not of the form ADDRESS:PORT";
  return "";
}

std::string read_count(const Json& root, const char* key, std::size_t min, std::size_t& out) {
  const auto it = root.find(key);
  if (it == root.end()) return "";
  if (!it->is_number() || it->get<double>() < static_cast<double>(min) || it->get<double>() > 1e9)
    return std::string("config: limits.") + key + " is not a number from " + std::to_string(min) +
           " to 1000000000";
  out = static_cast<std::size_t>(it->get<double>());
  return "";
}

std::string read_seconds(const Json& settings, const char* group, const char* key, core::Micros& out) {
  const auto section = settings.find(group);
  if (section == settings.end() || !section->is_object() || !section->contains(key)) return "";
  const Json& value = (*section)[key];
  if (!value.is_number() || value.get<double>() < 0.0 || value.get<double>() > 4000.0)
    return std::string("config: settings.") + group + "." + key +
           " is not a number of seconds from 0 to 4000";
  out = static_cast<core::Micros>(value.get<double>() * 1e6);
  return "";
}

void read_names(const Json& settings, const char* key, std::vector<std::string>& out) {
  const auto it = settings.find(key);
  if (it == settings.end() || !it->is_array()) return;
  for (const Json& item : *it) {
    const Json* name = item.is_object() && item.contains("name") ? &item["name"] : &item;
    out.push_back(name->is_string() ? name->get<std::string>() : "");
  }
}

// The part of the file that takes effect only at a start: everything except discovery's address, the cached
// list, the seed, and the times that a reload applies.
std::string restart_only_part(Json root) {
  for (const char* key : {"discovery", "known", "seed"}) root.erase(key);
  for (const auto& [group, key] :
       std::initializer_list<std::pair<const char*, const char*>>{{"invariants", "drain_grace"},
                                                                  {"invariants", "grace_to_answer"},
                                                                  {"permissions", "dial_timeout"},
                                                                  {"permissions", "conn_idle"}}) {
    Json& settings = root["settings"];
    if (settings.contains(group) && settings[group].is_object()) settings[group].erase(key);
  }
  return root.dump();
}

std::string first_error(std::initializer_list<std::string> errors) {
  for (const std::string& error : errors) {
    if (!error.empty()) return error;
  }
  return "";
}

}  // namespace

bool parse_host_port(std::string_view text, HostPort& out) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  std::string_view host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') host = host.substr(1, host.size() - 2);
  const char* end = text.data() + text.size();
  const auto [parsed_to, code] = std::from_chars(text.data() + colon + 1, end, out.port);
  out.host = host;
  return code == std::errc() && parsed_to == end;
}

std::string host_port(const std::string& host, int port) {
  const bool is_ipv6 = host.find(':') != std::string::npos;
  return (is_ipv6 ? "[" + host + "]" : host) + ":" + std::to_string(port);
}

std::string flatten(std::string_view json, std::string& error) {
  std::string out;
  const Json value = Json::parse(json, nullptr, false);
  if (value.is_object()) {
    flatten(value, "", out);
  } else {
    error = "config: settings are not a JSON object";
  }
  return out;
}

std::string parse(std::string_view json, Config& out) {
  const Json root = Json::parse(json, nullptr, false);
  if (!root.is_object()) return "config: not a JSON object";
  if (root.contains("name") && root["name"].is_string()) out.name = root["name"].get<std::string>();
  std::string error = first_error({read_host_port(root, "listen", out.listen),
                                   read_host_port(root, "discovery", out.discovery),
                                   read_host_port(root, "admin_addr", out.admin)});
  if (!error.empty()) return error;
  if (const auto seed = root.find("seed"); seed != root.end()) {
    const std::string text = seed->is_string() ? seed->get<std::string>() : seed->dump();
    const auto [parsed_to, code] = std::from_chars(text.data(), text.data() + text.size(), out.seed, 16);
    if (code != std::errc() || parsed_to != text.data() + text.size())
      return "config: seed is not a hexadecimal number";
  }
  if (const auto limits = root.find("limits"); limits != root.end() && limits->is_object()) {
    error = first_error({read_count(*limits, "memory_mb", 32, out.memory_mb),
                         read_count(*limits, "sockets", 64, out.sockets)});
    if (!error.empty()) return error;
  }
  if (root.contains("known")) out.known = root["known"].dump();
  const auto settings = root.find("settings");
  if (settings == root.end() || !settings->is_object())
    return "config: settings are missing or not an object";
  std::string lines;
  flatten(*settings, "", lines);
  error = policy::parse_boot_info(lines, out.module);
  if (!error.empty()) return "config: " + error;
  if (out.module.classes.empty()) return "config: settings.classes is missing or empty";
  // Without it the module would wait for a list that is never sent, and the router would answer every request
  // with 503.
  if (!settings->contains("registry_mode"))
    return "config: settings.registry_mode is missing (on_request: the router asks for its list)";
  // Over sockets the list must always be requested, whatever registry_mode is: even an agent that pushes
  // lists sends them only on request.
  out.module.list_on_request = true;
  out.fixed = restart_only_part(root);
  read_names(*settings, "classes", out.classes);
  read_names(*settings, "accounts", out.tenants);
  read_names(*settings, "failure_domains", out.zones);
  read_names(*settings, "models", out.kinds);
  return first_error({read_seconds(*settings, "invariants", "drain_grace", out.drain_grace),
                      read_seconds(*settings, "invariants", "grace_to_answer", out.answer_grace),
                      read_seconds(*settings, "permissions", "dial_timeout", out.dial_timeout),
                      read_seconds(*settings, "permissions", "conn_idle", out.conn_idle)});
}

namespace {

std::string load(Config& out, bool reloading) {
  const char* path = std::getenv("GW_CONFIG");
  if (path == nullptr || *path == '\0') return "config: GW_CONFIG is not set to a file";
  std::ifstream file(path, std::ios::binary);
  if (!file) return "config: " + std::string(path) + " cannot be read";
  std::string text(std::istreambuf_iterator<char>(file), {});
  if (text.size() > kMaxFileBytes)
    return "config: " + std::string(path) + " has " + std::to_string(text.size()) + " bytes; the limit is " +
           std::to_string(kMaxFileBytes);
  std::string error = parse(text, out);
  if (!error.empty()) return error;
  if (const char* name = std::getenv("GW_NAME")) out.name = name;
  const auto address = [&error](const char* variable, HostPort& to) {
    const char* value = std::getenv(variable);
    if (value != nullptr && !parse_host_port(value, to) && error.empty())
      error = std::string("config: ") + variable + " is not of the form ADDRESS:PORT";
  };
  address("GW_LISTEN", out.listen);
  if (!reloading || out.discovery.host.empty()) address("GW_DISCOVERY", out.discovery);
  if (out.admin.host.empty()) address("GW_ADMIN_ADDR", out.admin);
  if (const char* scratch = std::getenv("TMPDIR")) out.scratch = scratch;
  if (const char* fd = std::getenv("GW_ACCEPT_FD"); fd != nullptr && *fd != '\0') {
    const char* end = fd + std::strlen(fd);
    const auto [parsed_to, code] = std::from_chars(fd, end, out.accept_fd);
    if (code != std::errc() || parsed_to != end || out.accept_fd < 0)
      return "config: GW_ACCEPT_FD is not a descriptor number: " + std::string(fd);
  }
  if (!error.empty()) return error;
  if (out.listen.host.empty()) return "config: neither listen nor GW_LISTEN sets an address to listen on";
  if (out.discovery.host.empty())
    return "config: neither discovery nor GW_DISCOVERY sets the address of discovery";
  return "";
}

}  // namespace

std::string load(Config& out) { return load(out, false); }
std::string reload(Config& out) { return load(out, true); }

}  // namespace flintglade::config
