// How far reading runs ahead of the event loop.
#include "kserve/read_ahead.h"

#include <gtest/gtest.h>

namespace flintglade::kserve {
namespace {

TEST(ReadAhead, ReadsOnWithoutTheEventLoopUpToTheMessageLimit) {
  ReadAhead reads;
  EXPECT_TRUE(reads.start());
  for (std::size_t i = 1; i < ReadAhead::kMaxMessages; ++i) EXPECT_TRUE(reads.on_message(1));
  EXPECT_FALSE(reads.on_message(1));
  EXPECT_TRUE(reads.on_handled(1));
  EXPECT_FALSE(reads.on_handled(1)) << "one read at a time";
}

TEST(ReadAhead, StopsAtTheByteLimit) {
  ReadAhead reads;
  EXPECT_TRUE(reads.start());
  EXPECT_TRUE(reads.on_message(ReadAhead::kMaxBytes - 1));
  EXPECT_FALSE(reads.on_message(1));
  EXPECT_TRUE(reads.on_handled(ReadAhead::kMaxBytes - 1));
}

TEST(ReadAhead, StartsNoReadBetweenAPauseAndItsResume) {
  ReadAhead reads;
  EXPECT_TRUE(reads.start());
  reads.pause();
  EXPECT_FALSE(reads.on_message(1));
  EXPECT_FALSE(reads.on_handled(1));
  EXPECT_TRUE(reads.resume());
  EXPECT_FALSE(reads.resume()) << "one read at a time";
}

TEST(ReadAhead, IsFinishedOnceTheLastReadHasReturned) {
  ReadAhead reads;
  EXPECT_TRUE(reads.start());
  reads.stop();
  EXPECT_FALSE(reads.is_finished());
  EXPECT_FALSE(reads.on_message(1));
  EXPECT_TRUE(reads.is_finished());
}

TEST(ReadAhead, StartsNoReadAfterAFailedOne) {
  ReadAhead reads;
  EXPECT_TRUE(reads.start());
  EXPECT_TRUE(reads.on_message(1));
  reads.on_end();
  EXPECT_FALSE(reads.on_handled(1));
  EXPECT_FALSE(reads.resume());
  EXPECT_TRUE(reads.is_finished());
}

}  // namespace
}  // namespace flintglade::kserve
