#include "http/request.h"

#include <algorithm>
#include <charconv>

namespace flintglade::http {
namespace {

std::string_view view(boost::beast::string_view s) { return {s.data(), s.size()}; }

template <typename T>
bool to_number(std::string_view text, T& out) {
  const auto [at, code] = std::from_chars(text.data(), text.data() + text.size(), out);
  return code == std::errc() && at == text.data() + text.size();
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// X-Props: name=value pairs, separated by commas; unknown names are skipped.
bool read_props(std::string_view props, core::RpcRequest& out) {
  while (!props.empty()) {
    const std::size_t comma = props.find(',');
    const std::string_view pair = trim(props.substr(0, comma));
    props.remove_prefix(comma == std::string_view::npos ? props.size() : comma + 1);
    if (pair.empty()) continue;
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return false;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    double* number = name == "prompt_len"   ? &out.prompt_tokens
                     : name == "prefix_len" ? &out.prefix_tokens
                     : name == "max_out"    ? &out.output_cap
                                            : nullptr;
    if (name == "prefix") out.prefix = name_to_key(value);
    if (number != nullptr && (!to_number(value, *number) || !(*number >= 0.0 && *number <= 1e9)))
      return false;
  }
  return true;
}

bool position(const std::vector<std::string>& names, std::string_view name, std::uint32_t& out) {
  const auto it = std::find(names.begin(), names.end(), name);
  out = static_cast<std::uint32_t>(it - names.begin());
  return it != names.end();
}

}  // namespace

std::uint64_t name_to_key(std::string_view name) {
  std::uint64_t key = 0;
  const auto [at, code] = std::from_chars(name.data(), name.data() + name.size(), key, 16);
  if (code == std::errc() && at == name.data() + name.size()) return key;
  key = 0xcbf29ce484222325ull;
  for (const char c : name) key = (key ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return name.empty() ? 0 : key;
}

std::string to_rpc(Request&& request, const FrontSettings& settings, core::RpcRequest& out) {
  out.trace_id = view(request["X-Trace-Id"]);
  if (out.trace_id.empty()) return "X-Trace-Id is missing";
  if (!position(settings.classes, view(request["X-Qos"]), out.klass)) return "X-Qos names no class";
  if (!settings.tenants.empty() && !position(settings.tenants, view(request["X-Customer"]), out.tenant))
    return "X-Customer names no tenant";
  out.patience = settings.patience[out.klass];
  if (const auto expires = view(request["X-Expires-In-Ms"]); !expires.empty()) {
    std::int64_t ms = 0;
    if (!to_number(expires, ms) || ms < 0 || ms > 3'600'000) return "X-Expires-In-Ms is no time";
    out.patience = ms * core::kMilli;
  }
  if (!read_props(view(request["X-Props"]), out)) return "X-Props is malformed";
  const auto again = view(request["X-Second-Try"]);
  out.is_retry = again == "1";
  out.resumed = again == "again";
  out.session = name_to_key(view(request["X-Object"]));
  out.method = view(request.method_string());
  out.target = view(request.target());
  out.body = std::move(request.body());
  return "";
}

}  // namespace flintglade::http
