#include "storage/checksummed_file.h"

#include <zlib.h>

#include "absl/status/status.h"

namespace flintglade::storage {
namespace {

// Offsets of the header's fields.
constexpr std::size_t kMagicBytes = 4, kVersionAt = 4, kLengthAt = 8, kChecksumAt = 12, kHeaderBytes = 16;

std::uint32_t checksum(std::string_view bytes) {
  return static_cast<std::uint32_t>(
      ::crc32(0, reinterpret_cast<const Bytef*>(bytes.data()), static_cast<uInt>(bytes.size())));
}

void append_little_endian(std::string& to, std::uint32_t number) {
  for (int shift = 0; shift < 32; shift += 8) to += static_cast<char>(number >> shift);
}

std::uint32_t read_little_endian(std::string_view bytes, std::size_t at) {
  std::uint32_t number = 0;
  for (std::size_t i = 0; i < 4; ++i) {
    number |= std::uint32_t{static_cast<unsigned char>(bytes[at + i])} << (8 * i);
  }
  return number;
}

}  // namespace

std::string encode_checksummed(const FileFormat& form, std::string_view body) {
  std::string out(form.magic);
  append_little_endian(out, form.version);
  append_little_endian(out, static_cast<std::uint32_t>(body.size()));
  append_little_endian(out, checksum(body));
  out += body;
  return out;
}

absl::StatusOr<std::string_view> decode_checksummed(const FileFormat& form, std::string_view bytes) {
  if (bytes.size() < kHeaderBytes || bytes.substr(0, kMagicBytes) != form.magic) {
    return absl::InvalidArgumentError(std::string(form.not_this_form));
  }
  const std::uint32_t version = read_little_endian(bytes, kVersionAt);
  if (version != form.version) {
    return absl::FailedPreconditionError("it is of version " + std::to_string(version));
  }
  const std::string_view body = bytes.substr(kHeaderBytes);
  if (body.size() > form.max_body_bytes || body.size() != read_little_endian(bytes, kLengthAt) ||
      checksum(body) != read_little_endian(bytes, kChecksumAt)) {
    return absl::DataLossError("it is torn");
  }
  return body;
}

}  // namespace flintglade::storage
