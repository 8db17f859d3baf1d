// The encoding of a frame, which must not change, since all versions read each other's files.
#include "coordination/framed_bytes.h"

#include <gtest/gtest.h>

namespace flintglade::coordination {
namespace {

TEST(FramedBytes, WritesLengthAndChecksumInLittleEndian) {
  // The standard check value of CRC-32: the checksum of "123456789" is 0xcbf43926.
  EXPECT_EQ(encode_frame("123456789"), std::string("\x09\0\0\0\x26\x39\xf4\xcb", 8) + "123456789");
}

TEST(FramedBytes, ReadsTheHeaderThatItWrote) {
  const std::optional<FrameHeader> header = read_frame_header(encode_frame("some payload"));
  ASSERT_TRUE(header.has_value());
  EXPECT_EQ(header->payload_bytes, 12u);
  EXPECT_EQ(header->payload_crc32, crc32_of("some payload"));
}

TEST(FramedBytes, ReadsNoHeaderFromTooFewBytes) {
  EXPECT_FALSE(read_frame_header(std::string(kFrameHeaderBytes - 1, 'x')).has_value());
}

}  // namespace
}  // namespace flintglade::coordination
