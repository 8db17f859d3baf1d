// Which connections give way when descriptors or memory are short.
#include "http/connection_eviction.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace flintglade::http {
namespace {

constexpr core::Micros kNow = 100 * core::kSecond, kMs = core::kMilli;

// A request that has been received in part: when it began, when it last made progress, and what it holds.
ConnectionState partial(core::Micros began_ms_ago, core::Micros progress_ms_ago, std::size_t held_bytes) {
  ConnectionState state;
  state.partial_request = true;
  state.connected_at = state.request_started_at = kNow - began_ms_ago * kMs;
  state.last_activity = kNow - progress_ms_ago * kMs;
  state.held_bytes = held_bytes;
  return state;
}
ConnectionState trickling(core::Micros began_ms_ago, core::Micros progress_ms_ago, std::size_t held_bytes) {
  ConnectionState state = partial(began_ms_ago, progress_ms_ago, held_bytes);
  state.received_since_progress = true;
  return state;
}
std::optional<std::size_t> for_memory(const std::vector<ConnectionState>& connections) {
  return ConnectionEviction::choose_for_memory(connections, kNow);
}

// Guards against connections that keep their place by a byte now and then.
TEST(ConnectionEviction, AFewBytesNowAndThenDoNotKeepAConnection) {
  EXPECT_EQ(ConnectionEviction::eviction_rank(trickling(2000, 160, 0), kNow), 1);
  EXPECT_EQ(ConnectionEviction::eviction_rank(trickling(2000, 140, 0), kNow),
            ConnectionEviction::kNotEvictable);
  EXPECT_EQ(ConnectionEviction::eviction_rank(partial(2000, 160, 0), kNow),
            ConnectionEviction::kNotEvictable);
}

TEST(ConnectionEviction, ForMemoryTheRequestThatIsUnlikelyToBeCompletedGivesWay) {
  const ConnectionState stalled = partial(900, 300, 1000), stalled_longer = partial(900, 400, 1000),
                        slow = trickling(900, 200, 1000), progressing = partial(900, 10, 1000),
                        newer = partial(300, 10, 1000), begun = partial(20, 10, 1000);
  EXPECT_EQ(for_memory({stalled, stalled_longer, slow, progressing}), 2u);
  EXPECT_EQ(for_memory({progressing, stalled, stalled_longer, newer}), 2u);
  EXPECT_EQ(for_memory({begun, progressing, newer}), 2u);
  EXPECT_EQ(for_memory({begun}), 0u);
  EXPECT_EQ(for_memory({}), std::nullopt);
  EXPECT_EQ(for_memory({partial(900, 300, 0)}), std::nullopt);
}

TEST(ConnectionEviction, ForMemorySmallRequestsDoNotGiveWayToLargeOnes) {
  EXPECT_EQ(for_memory({partial(2000, 900, 4000), partial(20, 10, 250'000)}), 1u);
  // The large one that arrives now raises the average above what the others hold.
  EXPECT_EQ(for_memory({partial(2000, 900, 100'000), partial(2000, 900, 100'000), partial(20, 10, 250'000)}),
            0u);
}

// Whatever the connections are: one gives way as long as any partial request holds memory.
TEST(ConnectionEviction, ForMemoryAlwaysOneGivesWay) {
  EXPECT_TRUE(rc::check([] {
    std::vector<ConnectionState> connections;
    std::size_t held = 0;
    for (int i = *rc::gen::inRange(0, 20); i > 0; --i) {
      ConnectionState state = partial(*rc::gen::inRange(0, 3000), *rc::gen::inRange(0, 3000),
                                      *rc::gen::inRange<std::size_t>(0, 300'000));
      state.partial_request = *rc::gen::arbitrary<bool>();
      state.busy = *rc::gen::arbitrary<bool>();
      state.received_since_progress = *rc::gen::arbitrary<bool>();
      if (state.partial_request) held += state.held_bytes;
      connections.push_back(state);
    }
    const std::optional<std::size_t> chosen = for_memory(connections);
    RC_ASSERT(chosen.has_value() == (held > 0));
    if (chosen) RC_ASSERT(connections[*chosen].partial_request && connections[*chosen].held_bytes > 0);
  }));
}

}  // namespace
}  // namespace flintglade::http
