// Validates a client's HTTP request and converts it to a request of the core.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>

#include "config/labels.h"
#include "core/ports.h"
#include "http/connection_memory.h"

namespace flintglade::http {

using Fields = boost::beast::http::basic_fields<CountingAllocator<char>>;
using Request = boost::beast::http::request<boost::beast::http::string_body, Fields>;

inline constexpr std::string_view kCompletionsPath = "/v1/chat/completions";
inline constexpr std::size_t kLargestBody = 256u << 10;

std::string_view path_of(boost::beast::string_view target);  // without the query

// Sets `out` and returns an empty string, or returns an error message for the client.
std::string to_core_request(Request&& request, const config::Labels& labels, core::Request& out);

}  // namespace flintglade::http
