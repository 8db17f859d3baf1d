// A client's HTTP request to an RPC, checked here.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "config/labels.h"
#include "core/ports.h"

namespace flintglade::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

inline constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
inline constexpr std::size_t kLargestBody = 256u << 10;

std::string_view path_of(boost::beast::string_view target);  // without the query

// Empty and the RPC, or what is wrong with the request.
std::string to_rpc(Request&& request, const config::Labels& labels, core::Request& out);

}  // namespace flintglade::http
