#include "http/request.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace flintglade::http {
namespace {

namespace beast_http = boost::beast::http;
using beast_http::field;

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// Headers that are not forwarded to the replica: those of the connection (RFC 9110, 7.6.1), those of the
// body's framing, those addressed to the router, and those that the router sets itself.
constexpr std::array kHopByHop = {field::connection,
                                  field::keep_alive,
                                  field::proxy_authenticate,
                                  field::proxy_authorization,
                                  field::proxy_connection,
                                  field::te,
                                  field::trailer,
                                  field::transfer_encoding,
                                  field::upgrade,
                                  field::content_length,
                                  field::expect,
                                  field::host};
constexpr std::array<std::string_view, 8> kRouterHeaders = {"X-Trace-Id",   "X-Qos",           "X-Customer",
                                                            "X-Object",     "X-Expires-In-Ms", "X-Props",
                                                            "X-Second-Try", "X-Size-Hint"};

bool is_end_to_end(const Request::value_type& header, beast_http::token_list& connection_options) {
  if (std::find(kHopByHop.begin(), kHopByHop.end(), header.name()) != kHopByHop.end()) return false;
  const boost::beast::string_view name = header.name_string();
  const auto matches = [name](std::string_view other) {
    return boost::beast::iequals(name, boost::beast::string_view(other.data(), other.size()));
  };
  return std::none_of(kRouterHeaders.begin(), kRouterHeaders.end(), matches) &&
         !connection_options.exists(name);
}

// Copies the client's end-to-end headers, for example an idempotency key, which the replica receives
// unchanged.
void read_metadata(const Request& request, core::Request& out) {
  beast_http::token_list connection_options(request[field::connection]);
  for (const auto& header : request) {
    if (is_end_to_end(header, connection_options))
      out.metadata.add(view(header.name_string()), view(header.value()));
  }
  out.metadata.shrink_to_fit();
}

std::string_view trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ') text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ') text.remove_suffix(1);
  return text;
}

// X-Props: comma-separated name=value pairs; unknown names are ignored.
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

std::string to_core_request(Request&& request, const config::Labels& labels, core::Request& out) {
  out.trace_id = view(request["X-Trace-Id"]);
  if (out.trace_id.empty()) return "X-Trace-Id is missing";
  config::RequestLabels request_labels;
  request_labels.request_class = view(request["X-Qos"]);
  request_labels.tenant = view(request["X-Customer"]);
  request_labels.session = view(request["X-Object"]);
  request_labels.expires_ms = view(request["X-Expires-In-Ms"]);
  request_labels.again = view(request["X-Second-Try"]);
  request_labels.work_hint = view(request["X-Size-Hint"]);
  if (!read_props(view(request["X-Props"]), request_labels)) return "X-Props is malformed";
  const std::string error = config::apply(request_labels, labels, out);
  if (!error.empty()) return error;
  read_metadata(request, out);
  out.method = view(request.method_string());
  out.target = view(request.target());
  out.body = std::move(request.body());
  return "";
}

}  // namespace flintglade::http
