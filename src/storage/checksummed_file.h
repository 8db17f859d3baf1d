// The form of small files that one process leaves for another: 4 bytes that name what it is; then, each 4
// bytes, least significant first, the version of the form, the length of what follows and its CRC-32; then
// the body.
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
  std::string_view not_this_form;  // the error for bytes that are something else
};

std::string encode_checksummed(const FileFormat& form, std::string_view body);
// The body, as a part of `bytes`. Not OK: one line that says what is wrong.
absl::StatusOr<std::string_view> decode_checksummed(const FileFormat& form, std::string_view bytes);

}  // namespace flintglade::storage
