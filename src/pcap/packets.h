// One TCP segment of a savefile, and the conversation that it belongs to.
#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>

#include "core/ports.h"

namespace flintglade::pcap {

struct Side {
  std::array<std::uint8_t, 4> address{};
  std::uint16_t port = 0;
  auto operator<=>(const Side&) const = default;
};
struct Conversation {
  Side client, server;
  auto operator<=>(const Conversation&) const = default;
};

struct CapturedRequest {
  core::Micros at = 0;  // when its last byte was on the wire, from the file's first packet on
  Conversation conversation;
  std::string head;  // start line and fields as they were, for the record
  core::Request rpc;
};

}  // namespace flintglade::pcap
