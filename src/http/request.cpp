#include "http/request.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace flintglade::http {
namespace {

namespace beast_http = boost::beast::http;
using beast_http::field;

std::string_view view(boost::beast::string_view s) { return {s.data(), s.size()}; }

// Headers that end at this router: of the connection (RFC 9110, 7.6.1), of the body's framing, and those that
// are said to the router or that it says itself.
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
constexpr std::array<std::string_view, 8> kForTheRouter = {"X-Trace-Id",   "X-Qos",           "X-Customer",
                                                           "X-Object",     "X-Expires-In-Ms", "X-Props",
                                                           "X-Second-Try", "X-Size-Hint"};

bool passes_on(const Request::value_type& header, beast_http::token_list& of_connection) {
  if (std::find(kHopByHop.begin(), kHopByHop.end(), header.name()) != kHopByHop.end()) return false;
  const boost::beast::string_view name = header.name_string();
  const auto is_it = [name](std::string_view other) {
    return boost::beast::iequals(name, boost::beast::string_view(other.data(), other.size()));
  };
  return std::none_of(kForTheRouter.begin(), kForTheRouter.end(), is_it) && !of_connection.exists(name);
}

// What the client says to the replica, an idempotency key say, goes through a router as it is.
void read_metadata(const Request& request, core::Request& out) {
  beast_http::token_list of_connection(request[field::connection]);
  for (const auto& header : request) {
    if (passes_on(header, of_connection))
      out.metadata.emplace_back(view(header.name_string()), view(header.value()));
  }
}

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

std::string to_rpc(Request&& request, const config::Labels& labels, core::Request& out) {
  out.trace_id = view(request["X-Trace-Id"]);
  if (out.trace_id.empty()) return "X-Trace-Id is missing";
  config::RequestLabels said;
  said.request_class = view(request["X-Qos"]);
  said.tenant = view(request["X-Customer"]);
  said.session = view(request["X-Object"]);
  said.expires_ms = view(request["X-Expires-In-Ms"]);
  said.again = view(request["X-Second-Try"]);
  said.work_hint = view(request["X-Size-Hint"]);
  if (!read_props(view(request["X-Props"]), said)) return "X-Props is malformed";
  const std::string wrong = config::apply(said, labels, out);
  if (!wrong.empty()) return wrong;
  read_metadata(request, out);
  out.method = view(request.method_string());
  out.target = view(request.target());
  out.body = std::move(request.body());
  return "";
}

}  // namespace flintglade::http
