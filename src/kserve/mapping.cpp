#include "kserve/mapping.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include "kserve/names.h"

namespace flintglade::kserve {
namespace {

constexpr double kCharactersPerToken = 4.0;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::string parameter_text(const inference::InferParameter& parameter) {
  switch (parameter.parameter_choice_case()) {
    case inference::InferParameter::kBoolParam:
      return parameter.bool_param() ? "true" : "false";
    case inference::InferParameter::kInt64Param:
      return std::to_string(parameter.int64_param());
    case inference::InferParameter::kUint64Param:
      return std::to_string(parameter.uint64_param());
    case inference::InferParameter::kStringParam:
      return parameter.string_param();
    case inference::InferParameter::kDoubleParam:
      return std::to_string(static_cast<std::int64_t>(parameter.double_param()));
    case inference::InferParameter::PARAMETER_CHOICE_NOT_SET:
      break;
  }
  return "";
}

// Translates a value by the field's table (such as "1" to "chat"); a value that is not in the table stays as
// is.
std::string translate(const MappedField& field, std::string value) {
  const auto it = field.values.find(value);
  return it == field.values.end() ? value : it->second;
}

std::string resolve_label(const MappedField& field, const char* own_key,
                          const inference::ModelInferRequest& request, const std::string& model_value,
                          const FindMetadata& metadata, const std::string& certificate_value = "") {
  // The router's own metadata keys carry final values: the translation table does not apply.
  if (own_key != nullptr) {
    if (const std::string_view value = metadata(own_key); !value.empty()) return std::string(value);
  }
  for (const std::string& name : field.metadata) {
    if (const std::string_view value = metadata(name); !value.empty())
      return translate(field, std::string(value));
  }
  for (const std::string& name : field.parameters) {
    const auto it = request.parameters().find(name);
    if (it == request.parameters().end()) continue;
    if (std::string value = parameter_text(it->second); !value.empty())
      return translate(field, std::move(value));
  }
  if (!certificate_value.empty()) return certificate_value;
  return model_value.empty() ? field.otherwise : model_value;
}

// Estimates the prompt tokens, for requests that state no count: four characters to a token.
std::string estimate_prompt_tokens(const inference::ModelInferRequest& request) {
  std::size_t bytes = 0;
  for (const std::string& raw : request.raw_input_contents()) bytes += raw.size();
  for (const auto& input : request.inputs()) {
    for (const std::string& element : input.contents().bytes_contents()) bytes += element.size();
  }
  return bytes == 0
             ? ""
             : std::to_string(static_cast<std::uint64_t>(static_cast<double>(bytes) / kCharactersPerToken));
}

std::string to_millis(const std::string& micros) {
  std::int64_t value = 0;
  try {
    std::size_t parsed = 0;
    value = std::stoll(micros, &parsed);
    if (parsed != micros.size()) return micros;  // config::apply reports the error
  } catch (const std::exception&) {
    return micros.empty() ? "" : "x";
  }
  if (value == 0) return "";  // Triton: no timeout
  return std::to_string(value < 0 ? value : std::max<std::int64_t>(1, value / kMicrosPerMilli));
}

}  // namespace

config::RequestLabels MappedLabels::labels() const {
  return {request_class, tenant,     session,    prefix,    prompt_tokens,
          prefix_tokens, output_cap, expires_ms, second_try};
}

MappedLabels map_request(const inference::ModelInferRequest& request, const Model& model,
                         const Mapping& mapping, const FindMetadata& metadata,
                         const CertificateBinding* bound) {
  static const CertificateBinding kNoBinding;
  const CertificateBinding& certificate_binding = bound == nullptr ? kNoBinding : *bound;
  MappedLabels out;
  out.request_class = resolve_label(mapping.request_class, kClass, request, model.request_class, metadata,
                                    certificate_binding.request_class);
  out.tenant =
      resolve_label(mapping.tenant, kTenant, request, model.tenant, metadata, certificate_binding.tenant);
  if (bound != nullptr && out.tenant != bound->tenant)
    out.denied = "the client's certificate does not speak for this tenant";
  out.session = resolve_label(mapping.session, kSession, request, "", metadata);
  out.prefix = resolve_label(mapping.prefix, kPrefix, request, "", metadata);
  out.prompt_tokens = resolve_label(mapping.prompt_tokens, kPromptTokens, request, "", metadata);
  if (out.prompt_tokens.empty()) out.prompt_tokens = estimate_prompt_tokens(request);
  out.prefix_tokens = resolve_label(mapping.prefix_tokens, kPrefixTokens, request, "", metadata);
  out.output_cap = resolve_label(mapping.output_tokens, kMaxOut, request, "", metadata);
  if (const std::string_view expires_ms = metadata(kExpires); !expires_ms.empty()) {
    out.expires_ms = expires_ms;
  } else {
    out.expires_ms = to_millis(resolve_label(mapping.timeout_us, nullptr, request, "", metadata));
  }
  out.second_try = metadata(kSecondTry);
  return out;
}

const CertificateBinding* find_certificate_binding(const std::vector<CertificateBinding>& bound,
                                                   const std::vector<std::string>& sans) {
  const auto matches = [&sans](const CertificateBinding& binding) {
    const bool is_prefix = binding.san.ends_with('*');
    const std::string_view pattern = std::string_view(binding.san).substr(0, binding.san.size() - is_prefix);
    return std::any_of(sans.begin(), sans.end(), [&](const std::string& san) {
      return is_prefix ? san.starts_with(pattern) : san == pattern;
    });
  };
  const auto it = std::find_if(bound.begin(), bound.end(), matches);
  return it == bound.end() ? nullptr : &*it;
}

std::string describe(const Mapping& mapping) {
  std::string out;
  const auto line = [&out](const char* name, const MappedField& field, const char* own_key,
                           const char* fallback) {
    out += std::string("kserve: ") + name + ": ";
    if (own_key != nullptr) out += std::string("metadata ") + own_key;
    for (const std::string& source : field.metadata) out += ", metadata " + source;
    for (const std::string& source : field.parameters) out += ", parameter " + source;
    if (own_key == kClass || own_key == kTenant) out += ", certificate";
    out += std::string(", ") + (field.otherwise.empty() ? fallback : "else '" + field.otherwise + "'") + "\n";
  };
  line("class", mapping.request_class, kClass, "the model's, else refused");
  line("tenant", mapping.tenant, kTenant, "the model's, else refused where the site has tenants");
  line("session", mapping.session, kSession, "else none");
  line("prefix", mapping.prefix, kPrefix, "else none");
  line("prompt tokens", mapping.prompt_tokens, kPromptTokens, "else a quarter of the input's bytes");
  line("prefix tokens", mapping.prefix_tokens, kPrefixTokens, "else none");
  line("output tokens", mapping.output_tokens, kMaxOut, "else none");
  line("patience", mapping.timeout_us, kExpires, "else the class's; the call's own deadline holds too");
  return out;
}

std::string header_value(std::string_view name) {
  constexpr std::size_t kMaxLength = 256;
  constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= ' ' && byte < 0x7f) {
      out += c;
    } else {
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
    if (out.size() > kMaxLength) {  // the hash keeps different long names different
      out.resize(kMaxLength - 17);
      const std::uint64_t hash = config::hash_name(name);
      out += '~';
      for (int shift = 60; shift >= 0; shift -= 4) out += kHex[(hash >> shift) & 15];
      break;
    }
  }
  return out;
}

bool passes_on(std::string_view name) {
  static constexpr std::array<std::string_view, 7> kNotForwarded = {
      "authorization", "content-type", "host", "te", "user-agent", "connection", "cookie"};
  static constexpr std::array<std::string_view, 3> kNotForwardedPrefixes = {"flintglade-", "grpc-", ":"};
  return std::none_of(kNotForwardedPrefixes.begin(), kNotForwardedPrefixes.end(),
                      [name](std::string_view prefix) { return name.substr(0, prefix.size()) == prefix; }) &&
         std::find(kNotForwarded.begin(), kNotForwarded.end(), name) == kNotForwarded.end();
}

}  // namespace flintglade::kserve
