// Reads the requests that a pcap savefile holds: HTTP/1.1 over TCP over IPv4, as the platform's clients send
// them. It never captures.
#pragma once

#include <string>
#include <vector>

#include "config/labels.h"
#include "pcap/packets.h"

namespace flintglade::pcap {

struct ReadResult {
  std::vector<CapturedRequest> requests;  // in the order in which they were whole
  std::size_t packets = 0;
  std::size_t skipped = 0;    // packets that are not TCP over IPv4, or cut short
  std::size_t malformed = 0;  // requests that a client of the platform would not send
};

// Empty, or one line that says why the file cannot be read.
std::string read_requests(const std::string& path, const config::Labels& labels, ReadResult& out);

}  // namespace flintglade::pcap
