#include "http/request.h"

namespace flintglade::http {
namespace {

std::string_view view(boost::beast::string_view s) { return {s.data(), s.size()}; }

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// X-Props: name=value pairs, separated by commas; unknown names are skipped.
bool read_props(std::string_view props, config::RequestLabels& out) {
  while (!props.empty()) {
    const std::size_t comma = props.find(',');
    const std::string_view pair = trim(props.substr(0, comma));
    props.remove_prefix(comma == std::string_view::npos ? props.size() : comma + 1);
    if (pair.empty()) continue;
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) return false;
    const std::string_view name = pair.substr(0, equals), value = pair.substr(equals + 1);
    if (name == "prefix") out.prefix = value;
    if (name == "prompt_len") out.prompt_tokens = value;
    if (name == "prefix_len") out.prefix_tokens = value;
    if (name == "max_out") out.output_cap = value;
  }
  return true;
}

}  // namespace

std::string_view path_of(boost::beast::string_view target) {
  return view(target.substr(0, target.find('?')));
}

std::string to_rpc(Request&& request, const config::Labels& labels, core::RpcRequest& out) {
  out.trace_id = view(request["X-Trace-Id"]);
  if (out.trace_id.empty()) return "X-Trace-Id is missing";
  config::RequestLabels said;
  said.klass = view(request["X-Qos"]);
  said.tenant = view(request["X-Customer"]);
  said.session = view(request["X-Object"]);
  said.expires_ms = view(request["X-Expires-In-Ms"]);
  said.again = view(request["X-Second-Try"]);
  said.work_hint = view(request["X-Size-Hint"]);
  if (!read_props(view(request["X-Props"]), said)) return "X-Props is malformed";
  const std::string wrong = config::apply(said, labels, out);
  if (!wrong.empty()) return wrong;
  out.method = view(request.method_string());
  out.target = view(request.target());
  out.body = std::move(request.body());
  return "";
}

}  // namespace flintglade::http
