#include "storage/checksummed_file.h"

#include <gtest/gtest.h>

#include <string>

namespace flintglade::storage {
namespace {

constexpr FileFormat kFileFormat{"test", 2, 100, "it is something else"};

std::string error_of(const std::string& bytes) {
  return std::string(decode_checksummed(kFileFormat, bytes).status().message());
}

TEST(ChecksummedFile, DecodesTheBodyThatWasEncoded) {
  const std::string bytes = encode_checksummed(kFileFormat, "body");
  const auto body = decode_checksummed(kFileFormat, bytes);
  ASSERT_TRUE(body.ok());
  EXPECT_EQ(*body, "body");
}

TEST(ChecksummedFile, ReportsWhatIsWrong) {
  const std::string bytes = encode_checksummed(kFileFormat, "body");
  EXPECT_EQ(error_of(""), "it is something else");
  EXPECT_EQ(error_of("x" + bytes), "it is something else");
  EXPECT_EQ(error_of(bytes.substr(0, bytes.size() - 1)), "body of 3 bytes, header declares 4");
  EXPECT_EQ(error_of(bytes + "x"), "body of 5 bytes, header declares 4");
  std::string changed = bytes;
  changed.back() = 'x';
  EXPECT_EQ(error_of(changed), "body does not match its checksum");
  EXPECT_EQ(error_of(encode_checksummed({"test", 3, 100, ""}, "body")), "format version 3, expected 2");
  EXPECT_EQ(error_of(encode_checksummed(kFileFormat, std::string(101, 'x'))),
            "body of 101 bytes, at most 100");
}

}  // namespace
}  // namespace flintglade::storage
