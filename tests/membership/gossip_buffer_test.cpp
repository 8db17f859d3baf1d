#include "membership/gossip_buffer.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace flintglade::membership {
namespace {

constexpr std::size_t kLargePacketBytes = 10'000;
constexpr int kMaxTransmissions = 3;

coordination::MemberState update_about(const std::string& name) {
  coordination::MemberState update;
  update.set_name(name);
  update.set_at("10.0.0.1:1");
  return update;
}

std::vector<std::string> sent_names(GossipBuffer& buffer, std::size_t max_bytes,
                                    const std::string& first = "") {
  coordination::Packet packet;
  buffer.append_to(packet, max_bytes, kMaxTransmissions, first);
  std::vector<std::string> names;
  for (const coordination::MemberState& update : packet.words()) names.push_back(update.name());
  return names;
}

TEST(GossipBuffer, SendsTheLeastTransmittedUpdateFirst) {
  GossipBuffer buffer;
  buffer.add(update_about("a"));
  EXPECT_EQ(sent_names(buffer, kLargePacketBytes), (std::vector<std::string>{"a"}));
  buffer.add(update_about("b"));
  EXPECT_EQ(sent_names(buffer, kLargePacketBytes), (std::vector<std::string>{"b", "a"}));
}

TEST(GossipBuffer, SendsTheUpdateAboutTheGivenMemberBeforeAllOthers) {
  GossipBuffer buffer;
  for (const char* name : {"a", "b", "c"}) buffer.add(update_about(name));
  EXPECT_EQ(sent_names(buffer, kLargePacketBytes, "c"), (std::vector<std::string>{"c", "a", "b"}));
}

TEST(GossipBuffer, StopsWhenThePacketIsFull) {
  GossipBuffer buffer;
  for (const char* name : {"a", "b", "c"}) buffer.add(update_about(name));
  const std::size_t two_updates = 2 * (update_about("a").ByteSizeLong() + 4);
  EXPECT_EQ(sent_names(buffer, two_updates), (std::vector<std::string>{"a", "b"}));
  EXPECT_EQ(sent_names(buffer, two_updates).front(), "c");
}

TEST(GossipBuffer, DropsAnUpdateAfterItsLastTransmissionAndKeepsOneUpdatePerMember) {
  GossipBuffer buffer;
  buffer.add(update_about("a"));
  for (int i = 0; i < kMaxTransmissions; ++i) EXPECT_EQ(sent_names(buffer, kLargePacketBytes).size(), 1u);
  EXPECT_TRUE(sent_names(buffer, kLargePacketBytes).empty());
  buffer.add(update_about("a"));
  buffer.add(update_about("a"));
  EXPECT_EQ(sent_names(buffer, kLargePacketBytes).size(), 1u);
}

}  // namespace
}  // namespace flintglade::membership
