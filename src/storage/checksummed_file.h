// The format of small files that one process writes for another: a magic of 4 bytes; then, each as 4 bytes in
// little-endian order, the format version, the length of the body and the CRC-32 of the body; then the body.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace flintglade::storage {

struct FileFormat {
  std::string_view magic;  // 4 bytes
  std::uint32_t version = 1;
  std::size_t max_body_bytes = 0;
  std::string_view magic_error;  // the error message for bytes without this magic
};

std::string encode_checksummed(const FileFormat& format, std::string_view body);
// Returns the body as a view into `bytes`. An error says in one line what is wrong.
absl::StatusOr<std::string_view> decode_checksummed(const FileFormat& format, std::string_view bytes);

}  // namespace flintglade::storage
