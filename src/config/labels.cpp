#include "config/labels.h"

#include <algorithm>
#include <charconv>

namespace flintglade::config {
namespace {

constexpr std::int64_t kMaxTimeoutMs = 3'600'000;
constexpr double kMaxWorkHint = 1e9;  // microseconds

template <typename T>
bool to_number(std::string_view text, T& out) {
  const auto [parsed_to, code] = std::from_chars(text.data(), text.data() + text.size(), out);
  return code == std::errc() && parsed_to == text.data() + text.size();
}

bool to_tokens(std::string_view text, double& out) {
  return text.empty() || (to_number(text, out) && out >= 0.0 && out <= 1e9);
}

bool find_index(const std::vector<std::string>& names, std::string_view name, std::uint32_t& out) {
  const auto it = std::find(names.begin(), names.end(), name);
  out = static_cast<std::uint32_t>(it - names.begin());
  return it != names.end();
}

}  // namespace

std::uint64_t hash_name(std::string_view name) {
  std::uint64_t hash = 0xcbf29ce484222325ull;
  for (const char c : name) hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001b3ull;
  return hash;
}

std::uint64_t name_to_key(std::string_view name) {
  std::uint64_t key = 0;
  const auto [parsed_to, code] = std::from_chars(name.data(), name.data() + name.size(), key, 16);
  if (code == std::errc() && parsed_to == name.data() + name.size()) return key;
  return name.empty() ? 0 : hash_name(name);
}

std::string apply(const RequestLabels& request, const Labels& labels, core::Request& out) {
  if (!find_index(labels.classes, request.request_class, out.request_class)) return "the class is unknown";
  if (!labels.tenants.empty() && !find_index(labels.tenants, request.tenant, out.tenant))
    return "the tenant is unknown";
  out.first_event_timeout = labels.patience[out.request_class];
  if (!request.expires_ms.empty()) {
    std::int64_t ms = 0;
    if (!to_number(request.expires_ms, ms) || ms < 0 || ms > kMaxTimeoutMs)
      return "the time to wait is no number of milliseconds";
    out.first_event_timeout = ms * core::kMilli;
  }
  if (!to_tokens(request.prompt_tokens, out.prompt_tokens) ||
      !to_tokens(request.prefix_tokens, out.prefix_tokens) || !to_tokens(request.output_cap, out.output_cap))
    return "a length in tokens is malformed";
  // An invalid work hint is ignored: it is only an estimate, and does not make the request invalid.
  double hint = 0.0;
  if (to_number(request.work_hint, hint) && hint > 0.0 && hint <= kMaxWorkHint) out.work_hint = hint;
  out.session = name_to_key(request.session);
  out.prefix = name_to_key(request.prefix);
  out.is_retry = request.again == "1";
  out.resumed = request.again == "again";
  return "";
}

}  // namespace flintglade::config
