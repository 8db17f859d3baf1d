// A client's HTTP request to an RPC, checked here.
#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "core/ports.h"
#include "http/front.h"

namespace flintglade::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;

// An opaque name to a number: hex where it is hex, else a hash; 0 only for an empty one.
std::uint64_t name_to_key(std::string_view name);

// Empty and the RPC, or what is wrong with the request.
std::string to_rpc(Request&& request, const FrontSettings& settings, core::RpcRequest& out);

}  // namespace flintglade::http
