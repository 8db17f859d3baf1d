// Clients of the KServe front that open calls and never finish their message (libnghttp2, since a gRPC client
// sends whole messages).
#pragma once

#include <cstddef>

namespace flintglade::tests {

struct UnfinishedCallsOptions {
  int connections = 1, calls_per_connection = 1;
  std::size_t message_bytes = 0;  // sent of each message, which declares some more
};

// Opens the calls and sends what the server takes, for this many milliseconds; then closes the connections.
void run_unfinished_calls(unsigned short port, const UnfinishedCallsOptions& options, int milliseconds);

}  // namespace flintglade::tests
