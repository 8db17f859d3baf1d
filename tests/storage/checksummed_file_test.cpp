#include "storage/checksummed_file.h"

#include <gtest/gtest.h>

#include <string>

namespace flintglade::storage {
namespace {

constexpr FileForm kForm{"test", 2, 100, "not a test file"};

std::string error_of(const std::string& bytes) {
  return std::string(decode_checksummed(kForm, bytes).status().message());
}

TEST(ChecksummedFile, ReturnsTheBody) {
  const std::string bytes = encode_checksummed(kForm, "body");
  const auto body = decode_checksummed(kForm, bytes);
  ASSERT_TRUE(body.ok());
  EXPECT_EQ(*body, "body");
}

TEST(ChecksummedFile, ReportsTheError) {
  const std::string bytes = encode_checksummed(kForm, "body");
  EXPECT_EQ(error_of(""), "not a test file");
  EXPECT_EQ(error_of("x" + bytes), "not a test file");
  EXPECT_EQ(error_of(bytes.substr(0, bytes.size() - 1)), "it is torn");
  EXPECT_EQ(error_of(bytes + "x"), "it is torn");
  std::string changed = bytes;
  changed.back() = 'x';
  EXPECT_EQ(error_of(changed), "it is torn");
  EXPECT_EQ(error_of(encode_checksummed({"test", 3, 100, ""}, "body")), "it is of version 3");
  EXPECT_EQ(error_of(encode_checksummed(kForm, std::string(101, 'x'))), "it is torn");
}

}  // namespace
}  // namespace flintglade::storage
