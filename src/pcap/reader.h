// Reads the requests in a pcap savefile: HTTP/1.1 over TCP over IPv4, as the platform's clients send them. It
// only reads files and never captures from an interface.
#pragma once

#include <string>
#include <vector>

#include "config/labels.h"
#include "pcap/packets.h"

namespace flintglade::pcap {

struct ReadResult {
  std::vector<CapturedRequest> requests;  // ordered by when their last byte was captured
  std::size_t packets = 0;
  std::size_t skipped = 0;  // packets that are truncated or not TCP over IPv4
  // Requests that do not follow the platform's request format, or exceed the limit for one file.
  std::size_t malformed = 0;
};

// Returns an empty string, or a one-line error when the file cannot be read.
std::string read_requests(const std::string& path, const config::Labels& labels, ReadResult& out);

}  // namespace flintglade::pcap
