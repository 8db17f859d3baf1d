// Which of a client's metadata can go on to a replica. gRPC delivers any byte that a client sends, and ends
// the process when it is asked to send metadata with a byte that it does not carry. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace flintglade::kserve {

// Whether gRPC can send metadata of this name and value. A value holds printable ASCII, or any bytes if the
// name ends with `-bin`.
bool is_sendable_metadata(std::string_view name, std::string_view value);

// Whether this is the W3C Trace Context, which always goes on to the replica.
bool is_trace_context(std::string_view name);

// The value of a Trace Context header as gRPC can send it: between the members of a list, a tab is as good as
// a space (W3C Trace Context, 3.3.1). nullopt if another byte cannot be sent: the header is malformed then
// and the request goes on without it, as that page has it for a list that cannot be parsed.
std::optional<std::string> sendable_trace_context(std::string_view value);

}  // namespace flintglade::kserve
