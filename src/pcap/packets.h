// Types shared by the reader and the writer of pcap savefiles.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

#include "core/ports.h"

namespace flintglade::pcap {

struct SocketAddress {
  std::array<std::uint8_t, 4> address{};
  std::uint16_t port = 0;
  auto operator<=>(const SocketAddress&) const = default;
};
// The two ends of a TCP connection.
struct Conversation {
  SocketAddress client, server;
  auto operator<=>(const Conversation&) const = default;
};

struct CapturedRequest {
  core::Micros at = 0;  // capture time of its last byte, relative to the first packet of the file
  Conversation conversation;
  std::string head;  // request line and headers, unchanged; a replay writes them to its record
  core::Request rpc;
};

}  // namespace flintglade::pcap
