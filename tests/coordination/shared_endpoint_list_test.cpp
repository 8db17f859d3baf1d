// The endpoint list that one router of a site reads for all of them.
#include "coordination/shared_endpoint_list.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

namespace flintglade::coordination {
namespace {

using State = SharedEndpointList::State;

struct ManualClock final : core::Clock {
  Micros time = 0;
  Micros now() override { return time; }
};

// Records the outgoing calls of one router's list.
struct Recorder {
  bool is_watch_open = false;
  std::vector<std::string> applied;
  std::vector<Effect> sent;
  std::vector<std::uint32_t> requests;

  SharedEndpointList::Ports ports() {
    SharedEndpointList::Ports out;
    out.set_watch_open = [this](bool on) { is_watch_open = on; };
    out.apply_line = [this](std::string_view text) {
      applied.emplace_back(text);
      return true;
    };
    out.publish = [this](Effect effect) { sent.push_back(std::move(effect)); };
    out.send = [this](Effect effect, const std::string&) { sent.push_back(std::move(effect)); };
    out.request_lines = [this](std::uint32_t revision) { requests.push_back(revision); };
    return out;
  }
};

// A reader and a follower that both have revision 1; the reader's first heartbeat has reached the follower.
class SharedEndpointListTest : public ::testing::Test {
 protected:
  SharedEndpointListTest() {
    for (SharedEndpointList* list : {&reader_, &follower_}) {
      list->subscribe(true);
      list->on_watch_line(0, 1, "whole");
    }
    reader_.set_reader(true);
    reader_.tick();
    if (!reader_side_.sent.empty()) follower_.on_effect(reader_side_.sent[0]);
  }
  // The reader reads revisions 2 to 4; the datagram with the second of them is lost.
  void lose_a_line() {
    reader_.on_watch_line(1, 2, "two");
    reader_.on_watch_line(2, 3, "three");
    reader_.on_watch_line(3, 4, "four");
    follower_.on_effect(reader_side_.sent[1]);
    clock_.time += settings_.heartbeat_period;
    follower_.on_effect(reader_side_.sent[3]);
  }
  void answer_list_request() {
    reader_.on_list_request(2, "x");
    follower_.on_effect(reader_side_.sent.back());
  }
  // Until the follower's timeout only effects of another discovery service arrive.
  void lose_the_reader() {
    Effect other;
    other.set_source("other");
    other.set_rev(9);
    clock_.time += settings_.reader_timeout;
    follower_.on_effect(other);
    clock_.time += settings_.fallback_jitter;
    follower_.tick();
  }

  ManualClock clock_;
  SharedEndpointList::Settings settings_;
  Recorder reader_side_, follower_side_;
  SharedEndpointList reader_{clock_, settings_, reader_side_.ports(), "d", 1};
  SharedEndpointList follower_{clock_, settings_, follower_side_.ports(), "d", 2};
};

TEST_F(SharedEndpointListTest, AFollowerClosesItsWatchOnceItHasTheReadersRevision) {
  ASSERT_EQ(reader_side_.sent.size(), 1u);
  EXPECT_EQ(reader_side_.sent[0].rev(), 1u);
  EXPECT_EQ(follower_.state(), State::following);
  EXPECT_FALSE(follower_side_.is_watch_open);
  EXPECT_TRUE(reader_side_.is_watch_open);
}

TEST_F(SharedEndpointListTest, AFollowerRequestsAMissedLineBeforeItAppliesLaterOnes) {
  lose_a_line();
  EXPECT_EQ(follower_side_.applied, std::vector<std::string>{"two"});
  EXPECT_EQ(follower_side_.requests, std::vector<std::uint32_t>{2});
  answer_list_request();
  ASSERT_EQ(follower_side_.applied.size(), 3u);
  EXPECT_EQ(follower_side_.applied.back(), "four");
  EXPECT_EQ(follower_.state(), State::following);
}

TEST_F(SharedEndpointListTest, AFollowerOpensItsWatchWhenItsReaderIsSilent) {
  lose_a_line();
  answer_list_request();
  lose_the_reader();
  EXPECT_EQ(follower_.state(), State::alone);
  EXPECT_TRUE(follower_side_.is_watch_open);
}

TEST_F(SharedEndpointListTest, ARouterFollowsAgainOnlyOnceItHasTheReadersRevision) {
  lose_a_line();
  answer_list_request();
  lose_the_reader();
  Effect ahead = reader_side_.sent.back();
  ahead.clear_lines();
  ahead.set_rev(7);
  follower_.on_effect(ahead);
  EXPECT_EQ(follower_.state(), State::alone);
  EXPECT_TRUE(follower_side_.is_watch_open);
}

TEST_F(SharedEndpointListTest, AFormerReaderKeepsItsWatchOpen) {
  reader_.set_reader(false);
  EXPECT_EQ(reader_.state(), State::alone);
  EXPECT_TRUE(reader_side_.is_watch_open);
}

TEST_F(SharedEndpointListTest, ARouterWithAnOpenWatchKeepsItOpenAtAnotherSource) {
  lose_the_reader();
  follower_.set_source("other");
  EXPECT_TRUE(follower_side_.is_watch_open);
}

TEST_F(SharedEndpointListTest, AFollowerOpensItsWatchAtAnotherSource) {
  follower_.set_source("other");
  EXPECT_EQ(follower_.state(), State::alone);
  EXPECT_TRUE(follower_side_.is_watch_open);
}

}  // namespace
}  // namespace flintglade::coordination
