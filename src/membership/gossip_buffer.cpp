#include "membership/gossip_buffer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace flintglade::membership {
namespace {

// Protobuf tag and length prefix of an update nested in a packet.
constexpr std::size_t kUpdateOverheadBytes = 4;

}  // namespace

bool append_update(coordination::Packet& packet, const coordination::MemberState& update,
                   std::size_t& remaining_bytes) {
  const std::size_t size = update.ByteSizeLong() + kUpdateOverheadBytes;
  if (size > remaining_bytes) return false;
  remaining_bytes -= size;
  *packet.add_words() = update;
  return true;
}

void GossipBuffer::append_to(coordination::Packet& packet, std::size_t max_bytes, int max_transmissions,
                             const std::string& first) {
  std::vector<std::pair<int, std::string>> order;
  for (const auto& [name, entry] : entries_) {
    order.emplace_back(name == first ? -1 : entry.transmissions, name);
  }
  std::sort(order.begin(), order.end());
  std::size_t remaining_bytes = max_bytes;
  for (const auto& [priority, name] : order) {
    const auto it = entries_.find(name);
    if (!append_update(packet, it->second.update, remaining_bytes)) break;
    if (++it->second.transmissions >= max_transmissions) entries_.erase(it);
  }
}

}  // namespace flintglade::membership
