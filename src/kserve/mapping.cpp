#include "kserve/mapping.h"

#include <algorithm>
#include <array>
#include <cstdint>

#include "kserve/names.h"

namespace flintglade::kserve {
namespace {

constexpr double kCharactersPerToken = 4.0;
constexpr std::int64_t kMicrosPerMilli = 1000;

std::string text(const inference::InferParameter& p) {
  switch (p.parameter_choice_case()) {
    case inference::InferParameter::kBoolParam:
      return p.bool_param() ? "true" : "false";
    case inference::InferParameter::kInt64Param:
      return std::to_string(p.int64_param());
    case inference::InferParameter::kUint64Param:
      return std::to_string(p.uint64_param());
    case inference::InferParameter::kStringParam:
      return p.string_param();
    case inference::InferParameter::kDoubleParam:
      return std::to_string(static_cast<std::int64_t>(p.double_param()));
    case inference::InferParameter::PARAMETER_CHOICE_NOT_SET:
      break;
  }
  return "";
}

// Values of a field may be translated ("1" to "chat"); what is not in the table stands for itself.
std::string translated(const MappedField& field, std::string value) {
  const auto it = field.values.find(value);
  return it == field.values.end() ? value : it->second;
}

std::string find(const MappedField& field, const char* own, const inference::ModelInferRequest& request,
                 const std::string& of_model, const FindMetadata& metadata,
                 const std::string& of_certificate = "") {
  // Our own metadata says what it means: no table stands between.
  if (own != nullptr) {
    if (const std::string_view said = metadata(own); !said.empty()) return std::string(said);
  }
  for (const std::string& name : field.metadata) {
    if (const std::string_view said = metadata(name); !said.empty())
      return translated(field, std::string(said));
  }
  for (const std::string& name : field.parameters) {
    const auto it = request.parameters().find(name);
    if (it == request.parameters().end()) continue;
    if (std::string said = text(it->second); !said.empty()) return translated(field, std::move(said));
  }
  if (!of_certificate.empty()) return of_certificate;
  return of_model.empty() ? field.otherwise : of_model;
}

// Tokens of a prompt that nobody counted: its characters, by the protocol's four to a token.
std::string estimate(const inference::ModelInferRequest& request) {
  std::size_t bytes = 0;
  for (const std::string& raw : request.raw_input_contents()) bytes += raw.size();
  for (const auto& input : request.inputs()) {
    for (const std::string& b : input.contents().bytes_contents()) bytes += b.size();
  }
  return bytes == 0
             ? ""
             : std::to_string(static_cast<std::uint64_t>(static_cast<double>(bytes) / kCharactersPerToken));
}

std::string to_millis(const std::string& micros) {
  std::int64_t n = 0;
  try {
    std::size_t used = 0;
    n = std::stoll(micros, &used);
    if (used != micros.size()) return micros;  // apply() says what is wrong with it
  } catch (const std::exception&) {
    return micros.empty() ? "" : "x";
  }
  if (n == 0) return "";  // Triton: no time-out
  return std::to_string(n < 0 ? n : std::max<std::int64_t>(1, n / kMicrosPerMilli));
}

}  // namespace

config::RequestLabels Mapped::labels() const {
  return {request_class, tenant,     session,    prefix, prompt_tokens,
          prefix_tokens, output_cap, expires_ms, again};
}

Mapped map_request(const inference::ModelInferRequest& request, const Model& model, const Mapping& m,
                   const FindMetadata& metadata, const Bound* bound) {
  static const Bound kNone;
  const Bound& by_certificate = bound == nullptr ? kNone : *bound;
  Mapped out;
  out.request_class =
      find(m.request_class, kClass, request, model.request_class, metadata, by_certificate.request_class);
  out.tenant = find(m.tenant, kTenant, request, model.tenant, metadata, by_certificate.tenant);
  if (bound != nullptr && out.tenant != bound->tenant)
    out.denied = "the client's certificate does not speak for this tenant";
  out.session = find(m.session, kSession, request, "", metadata);
  out.prefix = find(m.prefix, kPrefix, request, "", metadata);
  out.prompt_tokens = find(m.prompt_tokens, kPromptTokens, request, "", metadata);
  if (out.prompt_tokens.empty()) out.prompt_tokens = estimate(request);
  out.prefix_tokens = find(m.prefix_tokens, kPrefixTokens, request, "", metadata);
  out.output_cap = find(m.output_tokens, kMaxOut, request, "", metadata);
  if (const std::string_view own = metadata(kExpires); !own.empty()) {
    out.expires_ms = own;
  } else {
    out.expires_ms = to_millis(find(m.timeout_us, nullptr, request, "", metadata));
  }
  out.again = metadata(kSecondTry);
  return out;
}

const Bound* find_bound(const std::vector<Bound>& bound, const std::vector<std::string>& sans) {
  const auto meets = [&sans](const Bound& b) {
    const bool any_rest = b.san.ends_with('*');
    const std::string_view begin = std::string_view(b.san).substr(0, b.san.size() - any_rest);
    return std::any_of(sans.begin(), sans.end(), [&](const std::string& san) {
      return any_rest ? san.starts_with(begin) : san == begin;
    });
  };
  const auto it = std::find_if(bound.begin(), bound.end(), meets);
  return it == bound.end() ? nullptr : &*it;
}

std::string describe(const Mapping& m) {
  std::string out;
  const auto line = [&out](const char* name, const MappedField& f, const char* own, const char* last) {
    out += std::string("kserve: ") + name + ": ";
    if (own != nullptr) out += std::string("metadata ") + own;
    for (const std::string& s : f.metadata) out += ", metadata " + s;
    for (const std::string& s : f.parameters) out += ", parameter " + s;
    if (own == kClass || own == kTenant) out += ", certificate";
    out += std::string(", ") + (f.otherwise.empty() ? last : "else '" + f.otherwise + "'") + "\n";
  };
  line("class", m.request_class, kClass, "the model's, else refused");
  line("tenant", m.tenant, kTenant, "the model's, else refused where the site has tenants");
  line("session", m.session, kSession, "else none");
  line("prefix", m.prefix, kPrefix, "else none");
  line("prompt tokens", m.prompt_tokens, kPromptTokens, "else a quarter of the input's bytes");
  line("prefix tokens", m.prefix_tokens, kPrefixTokens, "else none");
  line("output tokens", m.output_tokens, kMaxOut, "else none");
  line("patience", m.timeout_us, kExpires, "else the class's; the call's own deadline holds too");
  return out;
}

std::string header_value(std::string_view name) {
  constexpr std::size_t kLongest = 256;
  constexpr char kHex[] = "0123456789abcdef";
  std::string out;
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (byte >= ' ' && byte < 0x7f) {
      out += c;
    } else {
      out += {'%', kHex[byte >> 4], kHex[byte & 15]};
    }
    if (out.size() > kLongest) {  // two long names differ still
      out.resize(kLongest - 17);
      const std::uint64_t hash = config::hash_name(name);
      out += '~';
      for (int shift = 60; shift >= 0; shift -= 4) out += kHex[(hash >> shift) & 15];
      break;
    }
  }
  return out;
}

bool passes_on(std::string_view name) {
  static constexpr std::array<std::string_view, 7> kStripped = {
      "authorization", "content-type", "host", "te", "user-agent", "connection", "cookie"};
  static constexpr std::array<std::string_view, 3> kPrefixes = {"flintglade-", "grpc-", ":"};
  return std::none_of(kPrefixes.begin(), kPrefixes.end(),
                      [name](std::string_view p) { return name.substr(0, p.size()) == p; }) &&
         std::find(kStripped.begin(), kStripped.end(), name) == kStripped.end();
}

}  // namespace flintglade::kserve
