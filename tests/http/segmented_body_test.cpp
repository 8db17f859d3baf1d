// Bodies that are being received, and what they allocate.
#include "http/segmented_body.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "http/receive_progress.h"

namespace flintglade::http {
namespace {

// Guards against memory that grows faster than the bytes that have been received.
TEST(SegmentedBuffer, AllocatesAtMostOneBlockBeyondTheBytesReceived) {
  std::size_t sum = 0;
  MemoryCounter counter(sum);
  SegmentedBuffer body(counter);
  std::string expected;
  for (std::size_t piece = 1; expected.size() < 256 * 1024; piece = piece * 3 % 5003) {
    const std::string bytes(piece, static_cast<char>('a' + piece % 26));
    body.append(bytes);
    expected += bytes;
    const std::size_t blocks = expected.size() / SegmentedBuffer::kBlockSize + 1;
    ASSERT_LE(counter.bytes(), blocks * (SegmentedBuffer::kBlockSize + 2 * sizeof(char*)) + 64);
  }
  EXPECT_EQ(body.size(), expected.size());
  const std::string taken = body.take();
  EXPECT_EQ(taken, expected);
  EXPECT_EQ(taken.capacity(), expected.size());
  EXPECT_EQ(counter.bytes(), 0u);
  EXPECT_EQ(sum, 0u);
  body.append("again");
  EXPECT_EQ(body.take(), "again");
}

// Guards against a stalled request that looks alive since a byte comes now and then.
TEST(ReceiveProgress, IsGrowthByAFractionOfWhatHasBeenReceived) {
  ReceiveProgress progress;
  progress.on_received(3200, 1);
  EXPECT_EQ(progress.last_progress_at(), 1);
  EXPECT_FALSE(progress.received_since_progress());
  for (core::Micros now = 2; now < 101; ++now) progress.on_received(1, now);
  EXPECT_EQ(progress.last_progress_at(), 1);
  EXPECT_TRUE(progress.received_since_progress());
  progress.on_received(1, 101);
  EXPECT_EQ(progress.last_progress_at(), 101);
}

// A client that takes 2 s to send its request in equal pieces is never mistaken for one that has stalled.
TEST(ReceiveProgress, ASteadySenderMakesProgressOftenWhateverItsPieces) {
  for (const int pieces : {14, 20, 33, 50, 100, 1000}) {
    for (const std::size_t piece : {1, 40, 2000}) {
      ReceiveProgress progress;
      core::Micros longest = 0;
      for (int i = 0; i < pieces; ++i) {
        const core::Micros now = 2 * core::kSecond * i / pieces;
        if (i > 0) longest = std::max(longest, now - progress.last_progress_at());
        progress.on_received(piece, now);
      }
      EXPECT_LE(longest, 150 * core::kMilli) << pieces << " pieces of " << piece;
    }
  }
}

}  // namespace
}  // namespace flintglade::http
