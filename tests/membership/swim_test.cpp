// SWIM membership: what a router believes of what others say, and how one name stays one process.
#include "membership/swim.h"

#include <gtest/gtest.h>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace flintglade {
namespace {

using core::Micros;

TEST(Swim, AbsurdStatesOfMembersChangeNothing) {
  membership::Settings settings;
  settings.fleet = "f";
  settings.most_peers = 8;
  membership::Swim swim(settings, {"a", "north", "10.0.0.1:1", 1000}, 1);
  swim.start(0);
  const auto receive = [&](const std::function<void(coordination::Packet&)>& fill,
                           const std::string& fleet_name = "f") {
    coordination::Packet packet;
    packet.set_fleet(fleet_name);
    packet.set_from("b");
    packet.set_birth(7);
    packet.mutable_sync();
    fill(packet);
    swim.receive(1000, "10.0.0.2:1", packet.SerializeAsString());
  };
  const auto add_state = [](coordination::Packet& packet, const std::string& name, std::uint64_t birth,
                            std::uint64_t incarnation, const std::string& at) {
    coordination::MemberState* state = packet.add_words();
    state->set_name(name);
    state->set_birth(birth);
    state->set_incarnation(incarnation);
    state->set_at(at);
  };
  receive([&](coordination::Packet& packet) { add_state(packet, "c", 5, 1, "10.0.0.3:1"); }, "another");
  EXPECT_TRUE(swim.others().empty());
  EXPECT_EQ(swim.counters().other_fleet, 1u);
  swim.receive(1000, "x", "garbage");
  EXPECT_EQ(swim.counters().unreadable, 1u);
  receive([&](coordination::Packet& packet) { add_state(packet, "c", UINT64_MAX, 1, "10.0.0.3:1"); });
  receive([&](coordination::Packet& packet) { add_state(packet, "c", 5, UINT64_MAX, "10.0.0.3:1"); });
  receive([&](coordination::Packet& packet) { add_state(packet, std::string(65, 'x'), 5, 1, "10.0.0.3:1"); });
  receive([&](coordination::Packet& packet) { add_state(packet, "c", 5, 1, "nowhere"); });
  EXPECT_TRUE(swim.others().empty());
  EXPECT_EQ(swim.counters().absurd, 4u);
  for (int i = 0; i < 20; ++i)
    receive([&](coordination::Packet& packet) {
      add_state(packet, "n" + std::to_string(i), 5, 1, "10.0.0.3:" + std::to_string(i + 1));
    });
  EXPECT_EQ(swim.others().size(), 8u);
  EXPECT_EQ(swim.counters().too_many, 12u);
  // What others claim of this router it denies, by a higher incarnation.
  receive([&](coordination::Packet& packet) {
    add_state(packet, "a", 1000, 3, "10.0.0.1:1");
    packet.mutable_words(0)->set_standing(coordination::DEAD);
  });
  EXPECT_EQ(swim.self().incarnation, 4u);
  EXPECT_EQ(swim.counters().refuted, 1u);
}

// A process that is told of a later one of its own name, which answers or not: whether it is displaced, and
// its birth after a while.
std::pair<bool, std::uint64_t> meet_later_process(bool answers) {
  membership::Settings settings;
  settings.fleet = "f";
  membership::Swim early(settings, {"a", "", "10.0.0.1:1", 1000}, 1);
  membership::Swim late(settings, {"a", "", "10.0.0.2:1", 2000}, 2);
  early.start(0);
  coordination::Packet packet;
  packet.set_fleet("f");
  packet.set_from("b");
  packet.mutable_sync();
  coordination::MemberState* state = packet.add_words();
  state->set_name("a");
  state->set_at("10.0.0.2:1");
  state->set_birth(2000);
  state->set_incarnation(1);
  early.receive(1000, "10.0.0.3:1", packet.SerializeAsString());
  if (answers) {
    for (const auto& datagram : early.take()) {
      if (datagram.to == "10.0.0.2:1") late.receive(2000, "10.0.0.1:1", datagram.bytes);
    }
    for (const auto& datagram : late.take()) {
      if (datagram.to == "10.0.0.1:1") early.receive(3000, "10.0.0.2:1", datagram.bytes);
    }
  }
  for (Micros time = 0; time < 20 * core::kSecond; time += 100 * core::kMilli) early.tick(time);
  return {early.displaced(), early.self().birth};
}

TEST(Swim, AProcessIsDisplacedByALaterOneOfItsName) { EXPECT_TRUE(meet_later_process(true).first); }

// Such as this router's own last process, under a clock that ran ahead.
TEST(Swim, AProcessOutbidsALaterOneThatDoesNotAnswer) {
  EXPECT_EQ(meet_later_process(false), std::pair(false, std::uint64_t{2001}));
}

}  // namespace
}  // namespace flintglade
